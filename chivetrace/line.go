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

// Line is one log line with the process that wrote it.
type Line struct {
	// Process is the name in front of the line, or that of the file.
	Process string
	At      time.Time
	Event   int
	Text    string
	Level   string
	Fields  map[string]any
	order   []string
}

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// Read reads log lines; what is no JSON object is passed over. Words in front of the object, as collectors of several logs
// write them, name the process: the last of them counts.
func Read(from io.Reader, name string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, maxLine/16), maxLine)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes(), name); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

func parse(raw []byte, name string) (Line, bool) {
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
	line.order = fieldOrder(raw[start:])
	return line, true
}

// fieldOrder returns the names of an object's fields as they stand, since their writer put the most telling first.
func fieldOrder(object []byte) []string {
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

// field returns a text field.
func (l *Line) field(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}
