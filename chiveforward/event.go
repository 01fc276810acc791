package chiveforward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream; engines send a few tokens an event.
const maxEventBytes = 1 << 20

// errEventTooLong ends a stream whose event has no end.
var errEventTooLong = fmt.Errorf("an event of the stream is longer than %d bytes", maxEventBytes)

var idField = []byte("id:")

// event is one complete event of a stream, byte for byte, and its id.
type event struct {
	data []byte
	id   string
}

// eventReader cuts a stream into its events: lines up to an empty one.
type eventReader struct {
	from *bufio.Reader
	data []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{from: bufio.NewReaderSize(body, connectionBuffer)}
}

// next returns the next complete event; its bytes are valid until the next call. At the end of the stream rest holds the
// bytes of an event that was cut off.
func (r *eventReader) next() (e event, rest []byte, err error) {
	r.data = r.data[:0]
	for {
		from := len(r.data)
		if err := r.line(); err != nil {
			return event{}, r.data, err
		}
		line := bytes.TrimRight(r.data[from:], "\r\n")
		if len(line) == 0 {
			e.data = r.data
			return e, nil, nil
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			e.id = string(bytes.TrimSpace(value))
		}
	}
}

// line appends the next line, its end included.
func (r *eventReader) line() error {
	for {
		piece, err := r.from.ReadSlice('\n')
		r.data = append(r.data, piece...)
		if err == nil {
			return nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err //nolint:wrapcheck // told apart by its identity
		}
		if len(r.data) > maxEventBytes {
			return errEventTooLong
		}
	}
}

// more reports whether bytes of a further event are already there.
func (r *eventReader) more() bool { return r.from.Buffered() > 0 }

// after reports whether an event comes after the last one that was delivered; ids that are not numbers are taken as they come.
func after(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	newer, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return id != last
	}
	older, err := strconv.ParseInt(last, 10, 64)
	return err != nil || newer > older
}
