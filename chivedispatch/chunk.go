package chivedispatch

import (
	"bytes"
)

// An engine's stream consists of server-sent events with one JSON chunk each. The dispatcher forwards their data
// unchanged and extracts only what it needs to resume an interrupted stream: the raw text of each token, the finish
// reason, the usage and the end marker.

var (
	dataPrefix         = []byte("data:")
	doneMarker         = []byte("[DONE]")
	contentPrefix      = []byte(`"content":"`)
	textPrefix         = []byte(`"text":"`)
	finishReasonPrefix = []byte(`"finish_reason":"`)
	usagePrefix        = []byte(`"usage":{`)
)

// chunk holds the fields extracted from one event; its slices alias the event's bytes.
type chunk struct {
	data         []byte
	text         []byte
	finishReason []byte
	usage        []byte
	done         bool
}

// parseChunk parses one line of the stream; ok is false for a line that is not a data field.
func parseChunk(line []byte) (c chunk, ok bool) {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return chunk{}, false
	}
	c.data = bytes.TrimSpace(data)
	if bytes.Equal(c.data, doneMarker) {
		c.done = true
		return c, true
	}
	c.text = stringAfter(c.data, contentPrefix)
	if c.text == nil {
		c.text = stringAfter(c.data, textPrefix)
	}
	c.finishReason = stringAfter(c.data, finishReasonPrefix)
	c.usage = objectAfter(c.data, usagePrefix)
	return c, true
}

// stringAfter returns the raw contents of the JSON string whose field name and opening quote are prefix, without the
// closing quote, or nil.
func stringAfter(data, prefix []byte) []byte {
	start := bytes.Index(data, prefix)
	if start < 0 {
		return nil
	}
	rest := data[start+len(prefix):]
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

// objectAfter returns the JSON object, including its braces, whose field name and opening brace are prefix, or nil.
func objectAfter(data, prefix []byte) []byte {
	start := bytes.Index(data, prefix)
	if start < 0 {
		return nil
	}
	rest := data[start+len(prefix)-1:]
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
