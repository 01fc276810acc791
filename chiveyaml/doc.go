// Package chiveyaml decodes operators' YAML strictly and reports every problem at once with its file, line and field.
package chiveyaml
