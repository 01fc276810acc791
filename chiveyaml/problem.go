package chiveyaml

import (
	"fmt"
	"strings"
)

// FieldError is one mistake in a file, with what was expected instead.
type FieldError struct {
	File    string
	Line    int
	Field   string
	Message string
}

// String formats a problem as file:line: field: message.
func (p FieldError) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Message)
}

// FieldErrors is the error that carries every mistake found in a document.
type FieldErrors []FieldError

// Error joins the problems, one a line.
func (p FieldErrors) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}
