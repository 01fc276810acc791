package chivedispatch

import (
	"bytes"
	"strconv"
	"time"
)

// Sink writes a response to the caller. Its methods are called from one goroutine.
type Sink interface {
	// Event writes the data of one complete event of the stream. more is true if further events have already been
	// received, so that they can be flushed together.
	Event(data []byte, more bool) error
}

// Answer is the part of a model response that has been delivered to the caller, over all attempts of the request.
type Answer struct {
	text         []byte
	finishReason []byte
	usage        []byte
	tokens       int64
	firstTokenAt time.Time
	lastTokenAt  time.Time
}

// Tokens returns the number of delivered tokens.
func (a *Answer) Tokens() int64 { return a.tokens }

// Text returns the delivered text as the contents of a JSON string: escaped and without quotes.
func (a *Answer) Text() []byte { return a.text }

// Finish returns the engine's finish reason, or nothing before it has been received.
func (a *Answer) Finish() []byte { return a.finishReason }

// Usage returns the engine's usage object, or nothing if it sent none.
func (a *Answer) Usage() []byte { return a.usage }

// First returns the time at which the first token was received, or the zero time.
func (a *Answer) First() time.Time { return a.firstTokenAt }

// Pace returns the mean time between tokens, or zero for fewer than two tokens.
func (a *Answer) Pace() time.Duration {
	if a.tokens < 2 {
		return 0
	}
	return a.lastTokenAt.Sub(a.firstTokenAt) / time.Duration(a.tokens-1)
}

// isComplete reports whether the whole text has been delivered: the finish reason follows the last token.
func (a *Answer) isComplete() bool { return len(a.finishReason) > 0 }

// addChunk records a chunk that is about to be delivered.
func (a *Answer) addChunk(now time.Time, c chunk) {
	if len(c.text) > 0 {
		if a.tokens == 0 {
			a.firstTokenAt = now
		}
		a.tokens++
		a.lastTokenAt = now
		a.text = append(a.text, c.text...)
	}
	if len(c.finishReason) > 0 {
		a.finishReason = append(a.finishReason[:0], c.finishReason...)
	}
	if len(c.usage) > 0 {
		a.usage = append(a.usage[:0], c.usage...)
	}
}

// resumeField encodes the request field that tells an engine after which token to resume.
func (a *Answer) resumeField() []byte {
	field := bytes.NewBuffer(make([]byte, 0, len(a.text)+64))
	field.WriteString(`{"tokens":`)
	field.WriteString(strconv.FormatInt(a.tokens, 10))
	field.WriteString(`,"text":"`)
	field.Write(a.text)
	field.WriteString(`"}`)
	return field.Bytes()
}
