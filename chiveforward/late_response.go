package chiveforward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chivewire"
)

// maxLateBytes limits the body of a response to an earlier request that is discarded while one waits for its own.
const maxLateBytes = 1 << 20

var (
	errLateTooLong = fmt.Errorf("response to another request is longer than %d bytes", maxLateBytes)
	errHeadTooLong = fmt.Errorf("response head is longer than %d bytes", maxHeadBytes)
	errLateEndless = errors.New("response to another request ends only with the connection")
	errLateJoined  = errors.New("body of a response to another request holds the start of a response")
)

// isLateFunc reports whether a response names another request than the one in flight.
type isLateFunc func(response *http.Response) bool

// expect makes the connection discard the late copies of responses to earlier requests until the response to this one
// arrives.
func (c *connection) expect(dialect chiverequest.EndpointDialect, request *chiverequest.Request) {
	c.late.Store(0)
	if !c.reused {
		return
	}
	c.head.Expect()
	isLate := isLateFunc(func(response *http.Response) bool {
		return dialect.Identify(request, response) == chiverequest.IdentityOther && !chiverequest.IsJoined(response)
	})
	c.isLate.Store(&isLate)
}

// lateResponses returns how many late responses came before the attempt's own.
func (a *attempt) lateResponses() int64 {
	if a.connection == nil {
		return 0
	}
	return a.connection.late.Load()
}

// Read receives bytes from the endpoint, without late responses. A malformed head is an error.
func (c *trackedConn) Read(data []byte) (int, error) {
	return c.connection.head.Read(data)
}

// ownReader reads from a connection, without late responses.
type ownReader struct{ conn *trackedConn }

// Read receives bytes from the endpoint.
func (r ownReader) Read(data []byte) (int, error) { return r.conn.readOwn(data) }

// readOwn receives bytes from the endpoint, without late responses.
func (c *trackedConn) readOwn(data []byte) (int, error) {
	if len(c.held) > 0 {
		if c.connection.rejectsReceived() {
			return 0, errUnsolicited
		}
		n := copy(data, c.held)
		c.held = c.held[n:]
		return n, nil
	}
	n, err := c.receive(data)
	isLate := c.connection.isLate.Load()
	if n == 0 || isLate == nil {
		return n, err
	}
	defer c.connection.isLate.Store(nil)
	if isOwnHead(data[:n], *isLate) {
		return n, err
	}
	if c.held, err = c.discardLate(data[:n], *isLate); err != nil {
		return 0, err
	}
	n = copy(data, c.held)
	c.held = c.held[n:]
	return n, nil
}

// headReaders holds the readers of heads that arrive in one piece, as nearly all do.
var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connectionBufferSize) }}

// isOwnHead reports whether the received bytes begin with the whole head of a response that is not late.
func isOwnHead(received []byte, isLate isLateFunc) bool {
	reader, ok := headReaders.Get().(*bufio.Reader)
	if !ok {
		return false
	}
	defer headReaders.Put(reader)
	reader.Reset(bytes.NewReader(received))
	response, err := http.ReadResponse(reader, nil) //nolint:bodyclose // the body is read by net/http
	return err == nil && !isInterim(response) && !isLate(response)
}

// isInterim reports whether a final response to the same request follows.
func isInterim(response *http.Response) bool {
	return response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols
}

// readFinal reads the head of a final response and the interim ones before it, which need not name their request.
func readFinal(reader *bufio.Reader) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || !isInterim(response) {
			return response, err //nolint:wrapcheck // only compared with nil
		}
	}
}

// discardLate returns what was received from the first response on that is not late; first is the start of it.
func (c *trackedConn) discardLate(first []byte, isLate isLateFunc) ([]byte, error) {
	limited := &io.LimitedReader{R: io.MultiReader(bytes.NewReader(first), receiver{c})}
	recorder := &recorder{source: limited}
	reader := bufio.NewReaderSize(recorder, connectionBufferSize)
	for {
		// What is not a response is passed on too, for net/http to reject.
		limited.N = maxHeadBytes
		response, err := readFinal(reader) //nolint:bodyclose // the body stays on the connection
		if limited.N <= 0 {
			return nil, errHeadTooLong
		}
		if isResponse := err == nil; !isResponse || !isLate(response) {
			return recorder.bytes, nil
		}
		c.connection.late.Add(1)
		if err := checkHead(recorder.bytes[:len(recorder.bytes)-reader.Buffered()]); err != nil {
			return nil, fmt.Errorf("late response: %w", err)
		}
		if !chiverequest.FramingOf(response).ProvesEnd() {
			return nil, errLateEndless
		}
		recorder.stop()
		limited.N = maxLateBytes
		if _, err := io.Copy(&lateBody{}, response.Body); err != nil {
			return nil, fmt.Errorf("late response: %w", err)
		}
		if limited.N <= 0 {
			return nil, errLateTooLong
		}
		if err := recorder.restart(reader); err != nil {
			return nil, err
		}
		c.connection.arrival.begin(time.Now())
	}
}

// checkHead checks the head of a response and of the interim ones before it.
func checkHead(head []byte) error {
	var check chivewire.HeadCheck
	_, err := check.Check(head)
	return err
}

// statusLineBytes is the length of a status line up to its code.
const statusLineBytes = len("HTTP/1.1 200")

// lateBody discards the body of a late response, up to a status line: a body that was cut off, or that never came since its request
// was a HEAD, would take the next response's place.
type lateBody struct{ last []byte }

// Write discards bytes of the body.
func (b *lateBody) Write(data []byte) (int, error) {
	b.last = append(b.last, data[:min(len(data), statusLineBytes)]...)
	if chiverequest.HasStatusLine(string(b.last)) || chiverequest.HasStatusLine(string(data)) {
		return 0, errLateJoined
	}
	end := b.last
	if len(data) >= statusLineBytes {
		end = data
	}
	b.last = append(b.last[:0], end[max(0, len(end)-statusLineBytes):]...)
	return len(data), nil
}

// receiver reads from a connection, late responses included.
type receiver struct{ conn *trackedConn }

// Read receives bytes from the endpoint.
func (r receiver) Read(data []byte) (int, error) { return r.conn.receive(data) }

// recorder is a reader that keeps what was read from its source.
type recorder struct {
	source  io.Reader
	bytes   []byte
	stopped bool
}

// Read reads from the source.
func (r *recorder) Read(data []byte) (int, error) {
	n, err := r.source.Read(data)
	if !r.stopped {
		r.bytes = append(r.bytes, data[:n]...)
	}
	return n, err //nolint:wrapcheck // passed on as it is
}

// stop forgets what was read and keeps nothing more.
func (r *recorder) stop() { r.bytes, r.stopped = r.bytes[:0], true }

// restart keeps what is read from now on, after what the reader on top has read ahead.
func (r *recorder) restart(ahead *bufio.Reader) error {
	unread, err := ahead.Peek(ahead.Buffered())
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("late response: %w", err)
	}
	r.bytes, r.stopped = append(r.bytes[:0], unread...), false
	return nil
}
