package chivetrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// Line is one log line and the process that wrote it.
type Line struct {
	// Process is the last word before the line's JSON object, or the name of the log if there is none.
	Process    string
	At         time.Time
	Event      int
	Text       string
	Level      string
	Fields     map[string]any
	fieldNames []string
}

// maxLineBytes is the limit on the length of a log line.
const maxLineBytes = 1 << 20

// Read reads the lines of a log and skips those without a valid JSON object or time. Log collectors may put words
// before the object; the last of them is taken as the name of the process.
func Read(reader io.Reader, name string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, maxLineBytes/16), maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes(), name); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

func parseLine(raw []byte, name string) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{Process: name, Fields: make(map[string]any)}
	if err := json.Unmarshal(raw[start:], &line.Fields); err != nil {
		return Line{}, false
	}
	if words := strings.Fields(string(raw[:start])); len(words) > 0 {
		line.Process = words[len(words)-1]
	}
	text, _ := line.Fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return Line{}, false
	}
	number, _ := line.Fields["event"].(float64)
	line.At, line.Event = at, int(number)
	line.Text, _ = line.Fields["msg"].(string)
	line.Level, _ = line.Fields["level"].(string)
	line.fieldNames = objectFieldNames(raw[start:])
	return line, true
}

// objectFieldNames returns the field names of a JSON object in their order, since writers put the most important fields
// first.
func objectFieldNames(object []byte) []string {
	decoder := json.NewDecoder(bytes.NewReader(object))
	if _, err := decoder.Token(); err != nil {
		return nil
	}
	var names []string
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return names
		}
		text, ok := name.(string)
		if !ok {
			return names
		}
		names = append(names, text)
		var skipped json.RawMessage
		if err := decoder.Decode(&skipped); err != nil {
			return names
		}
	}
	return names
}

// textField returns a field's value if it is a string, and the empty string otherwise.
func (l *Line) textField(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}
