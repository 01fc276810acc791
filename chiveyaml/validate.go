package chiveyaml

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Violation is a rule that a decoded value breaks, at the path of the field.
type Violation struct {
	Path    string
	Message string
}

var rules = newRules()

// Validate checks a value against its validate tags and returns every violation, with list elements named as in Document.
func Validate(value any) []Violation {
	var broken validator.ValidationErrors
	if err := rules.Struct(value); !errors.As(err, &broken) {
		return nil
	}
	violations := make([]Violation, 0, len(broken))
	for _, rule := range broken {
		_, path, _ := strings.Cut(rule.Namespace(), ".")
		violations = append(violations, Violation{Path: namedPath(reflect.ValueOf(value), path), Message: expectation(rule)})
	}
	return violations
}

func newRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(fieldName)
	mustRegister(v, "ipport", func(field validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(field.Field().String())
		return err == nil
	})
	mustRegister(v, "digest", func(field validator.FieldLevel) bool {
		raw, err := hex.DecodeString(field.Field().String())
		return err == nil && len(raw) == digestBytes
	})
	return v
}

const digestBytes = 32

func mustRegister(v *validator.Validate, tag string, rule validator.Func) {
	if err := v.RegisterValidation(tag, rule); err != nil {
		panic(fmt.Sprintf("chiveyaml: rule %s: %v", tag, err))
	}
}

func expectation(rule validator.FieldError) string {
	found := fmt.Sprintf("found %v", rule.Value())
	switch rule.Tag() {
	case "required":
		return "missing; a value is required"
	case "ipport":
		return "expected an IP number and port such as 127.0.0.1:9000 (no host names), " + found
	case "digest":
		return "expected a SHA-256 as 64 hexadecimal digits"
	case "min", "gte":
		return fmt.Sprintf("expected at least %s, %s", rule.Param(), found)
	case "max", "lte":
		return fmt.Sprintf("expected at most %s, %s", rule.Param(), found)
	case "oneof":
		return fmt.Sprintf("expected one of %s, %s", strings.ReplaceAll(rule.Param(), " ", ", "), found)
	case "unique":
		return "expected no duplicate " + rule.Param()
	}
	return fmt.Sprintf("breaks the rule %s %s, %s", rule.Tag(), rule.Param(), found)
}

// namedPath turns classes[2].tier into classes[chat].tier, the form that keeps its meaning across merges.
func namedPath(value reflect.Value, path string) string {
	named := make([]string, 0, strings.Count(path, ".")+1)
	for _, step := range strings.Split(path, ".") {
		for value.Kind() == reflect.Pointer {
			value = value.Elem()
		}
		field, index, indexed := strings.Cut(strings.TrimSuffix(step, "]"), "[")
		value = fieldByName(value, field)
		if !indexed {
			named = append(named, step)
			continue
		}
		i, err := strconv.Atoi(index)
		if err != nil || !value.IsValid() || i >= value.Len() {
			return path
		}
		value = value.Index(i)
		named = append(named, field+"["+elementName(value, index)+"]")
	}
	return strings.Join(named, ".")
}

func fieldByName(value reflect.Value, name string) reflect.Value {
	if value.Kind() != reflect.Struct {
		return reflect.Value{}
	}
	for i := range value.NumField() {
		if fieldName(value.Type().Field(i)) == name {
			return value.Field(i)
		}
	}
	return reflect.Value{}
}

func elementName(value reflect.Value, index string) string {
	if name := fieldByName(value, nameField); name.IsValid() && name.Kind() == reflect.String && name.String() != "" {
		return name.String()
	}
	return index
}
