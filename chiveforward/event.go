package chiveforward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"chivedrift/chiverequest"
)

// maxEventBytes limits one event of a stream; engines send a few tokens per event.
const maxEventBytes = 1 << 20

// errEventTooLong ends a stream with an event that exceeds maxEventBytes.
var errEventTooLong = fmt.Errorf("stream event is longer than %d bytes", maxEventBytes)

const (
	idField = "id"
	// retryField sets the caller's reconnection time and is not part of an event.
	retryField = "retry"
)

// event is one complete event of a stream, with its unmodified bytes and its ID.
type event struct {
	data []byte
	id   string
	// hasFields means that there is more to the event than comments.
	hasFields bool
	// isMalformed means that a line is no field of an event, or that the event goes on as the head of a response.
	isMalformed bool
	// hasStatusLine means that the value of a field holds the status line of a response.
	hasStatusLine bool
}

// protocolName begins a status line. Fields without it are not converted to text.
var protocolName = []byte("HTTP/1.")

// isEventField reports whether the name of a field is one that all events may have.
func isEventField(name []byte) bool {
	switch string(name) {
	case idField, retryField, "data", "event":
		return true
	}
	return false
}

// addLine adds a line of the event, without its line break.
func (e *event) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == 0 || string(name) == retryField {
		return
	}
	e.hasFields = true
	// Data may hold a status line, but fields of a head follow only where another response was joined with the event.
	e.isMalformed = e.isMalformed || !isFieldName(name) || e.hasStatusLine && !isEventField(name)
	e.hasStatusLine = e.hasStatusLine || bytes.Contains(value, protocolName) && chiverequest.HasStatusLine(string(value))
	if string(name) == idField {
		e.id = string(bytes.TrimSpace(value))
	}
}

// isFieldName reports whether a name consists of letters, digits and hyphens, as the names of fields do.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if c != '-' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return true
}

// eventReader splits a stream into events. An empty line ends an event.
type eventReader struct {
	reader  *bufio.Reader
	arrival *arrival
	held    reservation
	buffer  []byte
}

func newEventReader(body io.Reader, arrival *arrival, held *heldBytes) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, connectionBufferSize), arrival: arrival, held: reservation{total: held}}
}

// close returns the memory that the reader has reserved.
func (r *eventReader) close() { r.held.release() }

// reset prepares for the next event. The memory of a large one is not kept for the smaller ones that follow.
func (r *eventReader) reset() {
	r.buffer = r.buffer[:0]
	if cap(r.buffer) > freeHeldBytes {
		r.buffer = nil
	}
	r.held.release()
}

// next returns the next complete event, whose bytes are valid until the next call. On an error, partial holds the bytes
// of an incomplete event.
func (r *eventReader) next() (e event, partial []byte, err error) {
	r.reset()
	if _, err := r.reader.Peek(1); err != nil {
		return event{}, nil, err //nolint:wrapcheck // callers compare it with io.EOF
	}
	r.arrival.begin(time.Now())
	defer r.arrival.end()
	for {
		lineStart := len(r.buffer)
		if err := r.readLine(); err != nil {
			return event{}, r.buffer, err
		}
		line := bytes.TrimRight(r.buffer[lineStart:], "\r\n")
		if len(line) == 0 {
			e.data = r.buffer
			return e, nil, nil
		}
		e.addLine(line)
	}
}

// readLine appends the next line to the buffer, including its line break.
func (r *eventReader) readLine() error {
	for {
		fragment, err := r.reader.ReadSlice('\n')
		if len(r.buffer)+len(fragment) > maxEventBytes {
			return errEventTooLong
		}
		if !r.held.reserve(len(r.buffer) + len(fragment)) {
			return errHeldBytes
		}
		r.buffer = append(r.buffer, fragment...)
		if err == nil {
			return nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err //nolint:wrapcheck // callers compare it with io.EOF
		}
	}
}

var lineBreaks = strings.NewReplacer("\r\n", "\n", "\r", "\n")

// endsInsideEvent reports whether the rest of a stream has fields of an event that no empty line ends. Lines may also end
// with carriage returns.
func endsInsideEvent(rest []byte) bool {
	text := lineBreaks.Replace(string(rest))
	if end := strings.LastIndex(text, "\n\n"); end >= 0 {
		text = text[end:]
	}
	return hasFields([]byte(text))
}

// hasFields reports whether some lines of a stream are fields of events. Comments are not.
func hasFields(rest []byte) bool {
	for line := range strings.SplitSeq(lineBreaks.Replace(string(rest)), "\n") {
		if line != "" && !strings.HasPrefix(line, ":") {
			return true
		}
	}
	return false
}

// hasBuffered reports whether bytes of a further event have already arrived.
func (r *eventReader) hasBuffered() bool { return r.reader.Buffered() > 0 }
