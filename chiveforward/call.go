package chiveforward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

const (
	// wholeBytes is the most of an answer that is held back until it is complete; what is larger is passed on as it comes.
	wholeBytes = 1 << 20
	// patienceShare is the part of the time left after which an idempotent request without an answer is tried elsewhere.
	patienceShare = 0.4
	// patienceTargets is the most patience, in targets of the route.
	patienceTargets = 2
)

var (
	errForeign  = errors.New("the answer belongs to another request")
	errSilent   = errors.New("no answer in the time that leaves room for another attempt")
	errCutEvent = errors.New("the stream ended inside an event")
)

// call is one attempt of a request on one endpoint.
type call struct {
	run     *run
	place   *chiveplace.Place
	lane    *lane
	began   time.Time
	touched bool
	status  int
	err     error
	whole   *whole
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// pass hands the answer to the caller.
func (w *whole) pass(r *run) {
	r.start(w.status, w.header)
	// When this fails the caller is gone, and nobody is left to tell.
	_ = r.sink.Write(w.body, false)
}

// start passes on the head of an answer, once for all attempts.
func (r *run) start(status int, header http.Header) {
	if r.result.Started {
		return
	}
	r.result.Started = true
	r.result.Status = status
	r.result.First = time.Since(r.request.Arrival)
	r.sink.Start(status, header)
}

// carry makes the attempt and tells how it ended.
func (c *call) carry(parent context.Context) ending {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	if patience, limited := c.patience(parent); limited {
		timer := time.AfterFunc(patience, func() { cancel(errSilent) })
		defer timer.Stop()
	}
	response, err := c.send(ctx)
	if err != nil {
		return c.broken(ctx, parent, err)
	}
	defer response.Body.Close()
	c.status = response.StatusCode
	switch c.run.f.o.Dialect.Judge(c.run.request, response) {
	case chiverequest.VerdictNotRun:
		c.finish(response)
		return endedRefused
	case chiverequest.VerdictElsewhere:
		c.lane.close()
		return endedElsewhere
	case chiverequest.VerdictForeign:
		return c.broken(ctx, parent, errForeign)
	case chiverequest.VerdictAnswer:
	}
	if isEventStream(response.Header) && response.StatusCode == http.StatusOK {
		return c.relay(ctx, parent, response)
	}
	return c.readWhole(ctx, parent, response)
}

// patience bounds the wait for an answer that another endpoint could still give in time.
func (c *call) patience(ctx context.Context) (time.Duration, bool) {
	route := c.run.request.Route
	if route.Repeat != chivetable.RepeatAlways || c.run.sent+1 >= route.Attempts {
		return 0, false
	}
	deadline, _ := ctx.Deadline()
	return min(time.Duration(patienceShare*float64(time.Until(deadline))), patienceTargets*route.Target), true
}

// send writes the request on a connection of its own for as long as the attempt takes.
func (c *call) send(ctx context.Context) (*http.Response, error) {
	endpoint := c.place.Endpoint()
	c.lane = c.run.f.lanes.get(endpoint.ID, c.run.result.Attempts > 1)
	request, err := c.build(ctx, endpoint.Address)
	if err != nil {
		return nil, err
	}
	response, err := c.lane.transport.RoundTrip(request)
	c.touched = c.lane.touched()
	if err != nil {
		c.lane.close()
		return nil, err //nolint:wrapcheck // logged as it is
	}
	return response, nil
}

func (c *call) build(ctx context.Context, address string) (*http.Request, error) {
	r := c.run.request
	var body io.Reader
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address, body)
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	// Without this net/http would send the body again on its own where it takes the request for harmless.
	request.GetBody = nil
	// The target goes out as it came in: decoding and encoding it again may change what the endpoint sees.
	request.URL = &url.URL{Scheme: "http", Host: address, Opaque: r.Target}
	request.Host = r.Host
	request.Header = r.Header.Clone()
	if _, given := request.Header["User-Agent"]; !given {
		request.Header["User-Agent"] = nil
	}
	c.run.f.o.Dialect.Prepare(request.Header, chiverequest.Send{
		Request: r, Endpoint: c.place.Endpoint().ID, Left: time.Until(r.Deadline), After: c.run.last,
	})
	return request, nil
}

// broken tells the reasons for a broken attempt apart.
func (c *call) broken(ctx, parent context.Context, err error) ending {
	c.err = err
	if c.lane != nil {
		c.lane.close()
	}
	if parent.Err() != nil {
		return endedCaller
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		c.err = errSilent
	}
	if !c.touched {
		return endedUnreached
	}
	return endedBroken
}

// finish reads the rest of a short answer, so that its connection can be used again.
func (c *call) finish(response *http.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, wholeBytes)); err != nil {
		c.lane.close()
		return
	}
	c.keep(response)
}

// keep keeps the connection for another request, unless the endpoint is about to close it.
func (c *call) keep(response *http.Response) {
	if response.Close {
		c.lane.close()
		return
	}
	c.run.f.lanes.put(c.place.Endpoint().ID, c.lane, response.Header)
}

// readWhole passes on an answer that is not a stream once it is complete, so that one that breaks can still be had elsewhere.
func (c *call) readWhole(ctx, parent context.Context, response *http.Response) ending {
	body, err := io.ReadAll(io.LimitReader(response.Body, wholeBytes+1))
	if err != nil {
		return c.broken(ctx, parent, err)
	}
	if len(body) > wholeBytes {
		return c.passLarge(ctx, parent, response, body)
	}
	c.keep(response)
	c.whole = &whole{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		return endedError
	}
	c.whole.pass(c.run)
	return endedComplete
}

func (c *call) passLarge(ctx, parent context.Context, response *http.Response, head []byte) ending {
	c.run.start(response.StatusCode, response.Header)
	if err := c.run.sink.Write(head, false); err != nil {
		return c.broken(ctx, parent, err)
	}
	buffer := make([]byte, laneBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if writeErr := c.run.sink.Write(buffer[:n], false); writeErr != nil {
				return c.broken(ctx, parent, writeErr)
			}
		}
		if errors.Is(err, io.EOF) {
			c.keep(response)
			return endedComplete
		}
		if err != nil {
			return c.broken(ctx, parent, err)
		}
	}
}

// relay passes on complete events only: of an event that was cut the caller sees nothing, so that a stream that goes on
// elsewhere repeats no event and drops none.
func (c *call) relay(ctx, parent context.Context, response *http.Response) ending {
	events := newEventReader(response.Body)
	for {
		e, rest, err := events.next()
		if err != nil {
			return c.streamEnd(ctx, parent, response, rest, err)
		}
		c.place.Started()
		if !after(e.id, c.run.last) {
			continue
		}
		c.run.start(response.StatusCode, response.Header)
		if err := c.run.sink.Write(e.data, !events.more()); err != nil {
			return c.broken(ctx, parent, err)
		}
		c.run.result.Events++
		if e.id != "" {
			c.run.last = e.id
		}
	}
}

// streamEnd tells a stream that is over from one that broke. A stream without a length whose connection just ends inside
// an event was cut, though nothing on the connection says so.
func (c *call) streamEnd(ctx, parent context.Context, response *http.Response, rest []byte, err error) ending {
	if !errors.Is(err, io.EOF) {
		return c.broken(ctx, parent, err)
	}
	if len(rest) > 0 {
		if !isChunked(response) {
			return c.broken(ctx, parent, errCutEvent)
		}
		c.run.start(response.StatusCode, response.Header)
		if err := c.run.sink.Write(rest, true); err != nil {
			return c.broken(ctx, parent, err)
		}
	}
	c.run.start(response.StatusCode, response.Header)
	c.keep(response)
	return endedComplete
}

func isChunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 || response.ContentLength >= 0
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}
