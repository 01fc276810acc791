package chivedispatch

import (
	"bytes"
	"strconv"
	"time"
)

// Sink takes an answer on its way to the caller; its calls come from one goroutine.
type Sink interface {
	// Event passes on the data of one complete event of the stream; more tells that others are already there.
	Event(data []byte, more bool) error
}

// Answer is what has been delivered of one request, over all of its attempts.
type Answer struct {
	text   []byte
	finish []byte
	usage  []byte
	tokens int64
	first  time.Time
	last   time.Time
}

// Tokens returns how many tokens were delivered.
func (a *Answer) Tokens() int64 { return a.tokens }

// Text returns the delivered text as the inside of a JSON string.
func (a *Answer) Text() []byte { return a.text }

// Finish returns the engine's finish reason, empty while there is none.
func (a *Answer) Finish() []byte { return a.finish }

// Usage returns the engine's usage object, empty when it sent none.
func (a *Answer) Usage() []byte { return a.usage }

// First returns when the first token came.
func (a *Answer) First() time.Time { return a.first }

// Pace returns the mean time between tokens, zero for fewer than two.
func (a *Answer) Pace() time.Duration {
	if a.tokens < 2 {
		return 0
	}
	return a.last.Sub(a.first) / time.Duration(a.tokens-1)
}

// complete reports whether nothing of the text is missing.
func (a *Answer) complete() bool { return len(a.finish) > 0 }

// add notes a chunk that is about to be delivered.
func (a *Answer) add(now time.Time, c chunk) {
	if len(c.text) > 0 {
		if a.tokens == 0 {
			a.first = now
		}
		a.tokens++
		a.last = now
		a.text = append(a.text, c.text...)
	}
	if len(c.finish) > 0 {
		a.finish = append(a.finish[:0], c.finish...)
	}
	if len(c.usage) > 0 {
		a.usage = append(a.usage[:0], c.usage...)
	}
}

// resumeField lays out the field that tells an engine where to go on.
func (a *Answer) resumeField() []byte {
	field := bytes.NewBuffer(make([]byte, 0, len(a.text)+64))
	field.WriteString(`{"tokens":`)
	field.WriteString(strconv.FormatInt(a.tokens, 10))
	field.WriteString(`,"text":"`)
	field.Write(a.text)
	field.WriteString(`"}`)
	return field.Bytes()
}
