package chivedispatch

import (
	"bytes"
)

// An engine's stream is server-sent events with one JSON chunk each. The relay passes the bytes on as they are and
// only looks for what it needs to resume a broken stream: the raw text of each token, the finish reason, the end.

var (
	dataPrefix   = []byte("data:")
	doneMark     = []byte("[DONE]")
	contentField = []byte(`"content":"`)
	textField    = []byte(`"text":"`)
	finishField  = []byte(`"finish_reason":"`)
	usageField   = []byte(`"usage":{`)
)

// chunk is what the relay needs to know of one event; its slices are views into the event's bytes.
type chunk struct {
	data   []byte
	text   []byte
	finish []byte
	usage  []byte
	done   bool
}

// parseChunk looks into one line of the stream; ok is false for a line that is not data.
func parseChunk(line []byte) (c chunk, ok bool) {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return chunk{}, false
	}
	c.data = bytes.TrimSpace(data)
	if bytes.Equal(c.data, doneMark) {
		c.done = true
		return c, true
	}
	c.text = stringAfter(c.data, contentField)
	if c.text == nil {
		c.text = stringAfter(c.data, textField)
	}
	c.finish = stringAfter(c.data, finishField)
	c.usage = objectAfter(c.data, usageField)
	return c, true
}

// stringAfter returns the raw JSON string that follows a field's opening, without its quotes, or nil.
func stringAfter(data, opening []byte) []byte {
	start := bytes.Index(data, opening)
	if start < 0 {
		return nil
	}
	rest := data[start+len(opening):]
	for i := 0; i < len(rest); i++ {
		switch rest[i] {
		case '\\':
			i++
		case '"':
			return rest[:i]
		}
	}
	return nil
}

// objectAfter returns the flat or nested JSON object that follows a field's opening, with its braces, or nil.
func objectAfter(data, opening []byte) []byte {
	start := bytes.Index(data, opening)
	if start < 0 {
		return nil
	}
	rest := data[start+len(opening)-1:]
	depth := 0
	for i, b := range rest {
		switch b {
		case '{':
			depth++
		case '}':
			depth--
		}
		if depth == 0 {
			return rest[:i+1]
		}
	}
	return nil
}
