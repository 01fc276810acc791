package chiveyaml

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Document is a parsed file together with the line of each of its fields.
//
// Fields are found by a path such as classes[chat].tier: an element of a list goes by its name
// field where it has one, so that the path survives a merge that moves the element.
type Document struct {
	file     string
	data     []byte
	lines    map[string]int
	problems FieldErrors
}

// Parse reads a file's bytes and checks the shape of every field against T, without decoding.
func Parse[T any](file string, data []byte) (*Document, error) {
	d := &Document{file: file, data: data, lines: make(map[string]int)}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, FieldErrors{syntaxProblem(file, err)}
	}
	if len(tree.Docs) > 1 {
		return nil, FieldErrors{{File: file, Line: 1, Field: "document", Message: "expected one YAML document in the file"}}
	}
	if len(tree.Docs) == 1 && tree.Docs[0].Body != nil {
		d.check(tree.Docs[0].Body, reflect.TypeFor[T](), "")
	}
	if len(d.problems) > 0 {
		return nil, d.problems
	}
	return d, nil
}

// Decode parses, decodes and returns the document and its value.
func Decode[T any](file string, data []byte) (*Document, T, error) {
	var value T
	d, err := Parse[T](file, data)
	if err != nil {
		return nil, value, err
	}
	if err := yaml.NewDecoder(bytes.NewReader(data)).Decode(&value); err != nil && len(bytes.TrimSpace(data)) > 0 {
		return nil, value, FieldErrors{syntaxProblem(file, err)}
	}
	return d, value, nil
}

// Generic returns the document as plain maps and lists, the form that overlays are merged in.
func (d *Document) Generic() (map[string]any, error) {
	value := make(map[string]any)
	if err := yaml.Unmarshal(d.data, &value); err != nil {
		return nil, FieldErrors{syntaxProblem(d.file, err)}
	}
	return value, nil
}

// File returns the name the document was read from.
func (d *Document) File() string { return d.file }

// Has reports whether the document itself gives a field.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// Line returns the line of a field, or of its nearest enclosing field that the document has; 0 when it has none.
func (d *Document) Line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// Problem makes a problem at a field of this document.
func (d *Document) Problem(path, format string, args ...any) FieldError {
	return FieldError{File: d.file, Line: max(d.Line(path), 1), Field: path, Message: fmt.Sprintf(format, args...)}
}

func (d *Document) addf(node ast.Node, path, format string, args ...any) {
	if path == "" {
		path = "document"
	}
	line := node.GetToken().Position.Line
	d.problems = append(d.problems, FieldError{File: d.file, Line: line, Field: path, Message: fmt.Sprintf(format, args...)})
}

func (d *Document) check(node ast.Node, shape reflect.Type, path string) {
	if path != "" {
		d.lines[path] = node.GetToken().Position.Line
	}
	for shape.Kind() == reflect.Pointer {
		shape = shape.Elem()
	}
	switch shape.Kind() {
	case reflect.Struct:
		d.checkMapping(node, shape, path)
	case reflect.Slice:
		d.checkList(node, shape, path)
	default:
		d.checkScalar(node, shape, path)
	}
}

func (d *Document) checkMapping(node ast.Node, shape reflect.Type, path string) {
	entries, ok := mappingEntries(node)
	if !ok {
		d.addf(node, path, "expected a mapping of fields, found %s", node.Type())
		return
	}
	fields := fieldTypes(shape)
	seen := make(map[string]bool)
	for _, entry := range entries {
		name := entry.Key.String()
		field := join(path, name)
		kind, known := fields[name]
		switch {
		case !known:
			d.addf(entry.Key, field, "unknown field; expected one of %s", strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
		case seen[name]:
			d.addf(entry.Key, field, "field given twice")
		default:
			d.check(entry.Value, kind, field)
			d.lines[field] = entry.Key.GetToken().Position.Line
		}
		seen[name] = true
	}
}

func (d *Document) checkList(node ast.Node, shape reflect.Type, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addf(node, path, "expected a list, found %s", node.Type())
		return
	}
	seen := make(map[string]bool)
	for i, element := range list.Values {
		key := elementKey(element, i)
		if seen[key] {
			d.addf(element, path, "duplicate name %q in the list", key)
		}
		seen[key] = true
		d.check(element, shape.Elem(), path+"["+key+"]")
	}
}

func (d *Document) checkScalar(node ast.Node, shape reflect.Type, path string) {
	text := node.GetToken().Value
	switch shape.Kind() {
	case reflect.Int, reflect.Int64:
		if _, ok := node.(*ast.IntegerNode); !ok {
			d.addf(node, path, "expected a whole number, found %q", text)
		}
	case reflect.Float64:
		_, whole := node.(*ast.IntegerNode)
		if _, fraction := node.(*ast.FloatNode); !whole && !fraction {
			d.addf(node, path, "expected a number, found %q", text)
		}
	case reflect.Bool:
		if _, ok := node.(*ast.BoolNode); !ok {
			d.addf(node, path, "expected true or false, found %q", text)
		}
	case reflect.String:
		if _, ok := node.(*ast.StringNode); !ok {
			d.addf(node, path, "expected a text (put it in quotes), found %q", text)
		}
	default:
		panic("chiveyaml: no rule for fields of type " + shape.String())
	}
}

func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}, true
	}
	return nil, false
}

func elementKey(element ast.Node, i int) string {
	if entries, ok := mappingEntries(element); ok {
		for _, entry := range entries {
			if entry.Key.String() == nameField {
				return entry.Value.GetToken().Value
			}
		}
	}
	return strconv.Itoa(i)
}

const nameField = "name"

func fieldTypes(shape reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, shape.NumField())
	for i := range shape.NumField() {
		fields[fieldName(shape.Field(i))] = shape.Field(i).Type
	}
	return fields
}

func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func syntaxProblem(file string, err error) FieldError {
	problem := FieldError{File: file, Line: 1, Field: "document", Message: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		problem.Message = located.GetMessage()
		if token := located.GetToken(); token != nil {
			problem.Line = token.Position.Line
		}
	}
	return problem
}
