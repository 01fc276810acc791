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
	"sync/atomic"
	"time"

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

// ErrSilent is why an attempt was given up whose endpoint sent nothing for too long.
var ErrSilent = errors.New("the endpoint sent nothing for too long")

var (
	errForeign   = errors.New("the answer belongs to another request")
	errCutEvent  = errors.New("the stream ended inside an event")
	errPreempted = errors.New("the place was wanted back")
)

// call is one attempt of a request on one endpoint.
type call struct {
	run        *run
	place      Place
	target     Target
	connection *connection
	began      time.Time
	silence    *time.Timer
	touched    bool
	// answering means that an event of the answer has come.
	answering atomic.Bool
	// cancel ends the attempt for a reason; it may be called from other goroutines while the attempt is in flight.
	cancel context.CancelCauseFunc
	// lastActivity is where the endpoint's activity is noted.
	lastActivity *activity
	// endpointWasAlive means that the endpoint had answered shortly before the attempt began, and nothing there had broken since.
	endpointWasAlive bool
	// replaced means that the attempt was cancelled since another process has taken the endpoint's place.
	replaced bool
	status   int
	err      error
	whole    *whole
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

// carry makes the attempt and tells how it ended.
func (c *call) carry(parent context.Context) ending {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	c.cancel = cancel
	c.lastActivity = c.run.f.inFlight.begin(c)
	defer c.run.f.inFlight.end(c)
	if patience, limited := c.patience(parent); limited {
		c.silence = time.AfterFunc(patience, func() { cancel(ErrSilent) })
		defer c.silence.Stop()
	}
	if preempted := c.place.Preempted(); preempted != nil {
		stop := watch(ctx, preempted, func() { cancel(errPreempted) })
		defer stop()
	}
	// Copies of a request that crashes engines may wait at several when that is known; those that have sent nothing yet are cancelled.
	if !c.run.probe {
		defer c.run.f.o.Quarantine.Watch(c.run.request, func() { c.quarantine(cancel) })()
	}
	response, err := c.send(ctx)
	if err != nil {
		return c.broken(ctx, parent, err)
	}
	defer response.Body.Close()
	c.status = response.StatusCode
	switch c.run.f.o.Dialect.Judge(c.run.request, response) {
	case chiverequest.VerdictNotRun:
		c.touched = false
		c.finish(response)
		return endedRefused
	case chiverequest.VerdictElsewhere:
		c.connection.close()
		return endedElsewhere
	case chiverequest.VerdictForeign:
		return c.broken(ctx, parent, errForeign)
	case chiverequest.VerdictAnswer:
		c.noteAnswer()
	}
	if !isEventStream(response.Header) {
		c.run.noteStarted()
	}
	if isEventStream(response.Header) && response.StatusCode == http.StatusOK {
		return c.relay(ctx, parent, response)
	}
	return c.readWhole(ctx, parent, response)
}

// quarantine cancels the attempt, unless its engine has begun to answer.
func (c *call) quarantine(cancel context.CancelCauseFunc) {
	if !c.answering.Load() {
		cancel(errQuarantined)
	}
}

// noteAnswer notes the head of the endpoint's own answer. A process that crashed before the request was sent would not have answered.
func (c *call) noteAnswer() {
	c.lastActivity.note(time.Now())
	if c.target.Unique {
		c.run.f.o.Quarantine.Alive(time.Now(), c.target.Incarnation, c.began)
	}
}

// wasAccepted reports whether the endpoint had taken the request when the attempt broke.
func (c *call) wasAccepted(brokeAt time.Time) bool {
	return c.answering.Load() || brokeAt.Sub(c.began) >= acceptedAfter
}

// watch calls heard when a channel closes before the context ends; stop waits until nothing is called any more.
func watch(ctx context.Context, closed <-chan struct{}, heard func()) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-closed:
			heard()
		case <-ctx.Done():
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// patience bounds the wait for an answer that another endpoint could still give in time. Where the operator says how long an
// endpoint may be silent, that holds; else an idempotent request is tried elsewhere while its time still allows it.
func (c *call) patience(ctx context.Context) (time.Duration, bool) {
	if silence := c.run.request.Silence; silence > 0 {
		return silence, true
	}
	route := c.run.request.Route
	if route.Repeat != chivetable.RepeatAlways || c.run.sent+1 >= route.Attempts {
		return 0, false
	}
	deadline, _ := ctx.Deadline()
	return min(time.Duration(patienceShare*float64(time.Until(deadline))), patienceTargets*route.Target), true
}

// heard notes that the endpoint sent something.
func (c *call) heard() {
	c.lastActivity.note(time.Now())
	if silence := c.run.request.Silence; silence > 0 {
		c.silence.Reset(silence)
	}
}

// send writes the request on a connection of its own for as long as the attempt takes.
func (c *call) send(ctx context.Context) (*http.Response, error) {
	fresh := len(c.run.result.Tries) > 0 || (c.run.f.o.Rules.FreshOnce && c.run.request.Route.Repeat == chivetable.RepeatNever)
	c.connection = c.run.f.connections.get(c.target.Incarnation, fresh)
	request, err := c.build(ctx)
	if err != nil {
		return nil, err
	}
	response, err := c.connection.transport.RoundTrip(request)
	c.touched = c.connection.touched()
	if err != nil {
		c.connection.close()
		return nil, err //nolint:wrapcheck // logged as it is
	}
	return response, nil
}

func (c *call) build(ctx context.Context) (*http.Request, error) {
	r := c.run.request
	header := r.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	content, err := c.run.f.o.Dialect.Prepare(header, chiverequest.Send{Request: r, Endpoint: c.target.ID, Left: c.run.left(), After: c.run.last, FetchFrom: c.place.FetchFrom()})
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	var body io.Reader
	if len(content) > 0 {
		body = bytes.NewReader(content)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.target.Address, body)
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	// Without this net/http would send the body again on its own where it takes the request for harmless.
	request.GetBody = nil
	// The target goes out as it came in: decoding and encoding it again may change what the endpoint sees.
	request.URL = &url.URL{Scheme: "http", Host: c.target.Address, Opaque: r.Target}
	request.Host = r.Host
	request.Header = header
	if _, given := header["User-Agent"]; !given {
		header["User-Agent"] = nil
	}
	return request, nil
}

// broken tells the reasons for a broken attempt apart.
func (c *call) broken(ctx, parent context.Context, err error) ending {
	c.err = err
	if c.connection != nil {
		c.connection.close()
	}
	cause := context.Cause(ctx)
	switch {
	case parent.Err() != nil:
		return endedCaller
	case errors.Is(cause, errPreempted):
		return endedPreempted
	case errors.Is(cause, errQuarantined):
		return endedQuarantined
	case errors.Is(cause, errReplaced):
		c.err, c.replaced = errReplaced, true
	case errors.Is(cause, ErrSilent):
		c.err = ErrSilent
	}
	if !c.touched {
		return endedUnreached
	}
	return endedBroken
}

// finish reads the rest of a short answer, so that its connection can be used again.
func (c *call) finish(response *http.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, wholeBytes)); err != nil {
		c.connection.close()
		return
	}
	c.keep(response)
}

// keep keeps the connection for another request, unless the endpoint is about to close it.
func (c *call) keep(response *http.Response) {
	if response.Close {
		c.connection.close()
		return
	}
	c.run.f.connections.put(c.target.Incarnation, c.connection, response.Header)
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
		return c.callerFailed(err)
	}
	buffer := make([]byte, connectionBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			c.heard()
			if writeErr := c.run.sink.Write(buffer[:n], false); writeErr != nil {
				return c.callerFailed(writeErr)
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
	stream := c.run.request.Stream
	if stream == nil {
		stream = &idStream{run: c.run, response: response, from: c.run.last}
	}
	events := newEventReader(response.Body)
	for {
		// Only the wait for the endpoint counts: a caller that reads slowly holds up the loop, and must not make the engine look slow.
		asked := time.Now()
		e, rest, err := events.next()
		if err != nil {
			return c.streamEnd(ctx, parent, response, stream, rest, err)
		}
		c.heard()
		c.answering.Store(true)
		c.run.noteStarted()
		now := time.Now()
		c.place.Event(now, now.Sub(asked))
		c.run.noteEvent(now.Sub(asked))
		ended, err := stream.Event(e.data, e.id, events.more())
		if err != nil {
			return c.callerFailed(err)
		}
		if ended {
			c.finish(response)
			return endedComplete
		}
	}
}

// callerFailed is the end of an attempt whose answer could not be passed on.
func (c *call) callerFailed(err error) ending {
	c.err = err
	c.connection.close()
	return endedCaller
}

// streamEnd tells a stream that is over from one that broke. A stream without a length whose connection just ends inside
// an event was cut, though nothing on the connection says so.
func (c *call) streamEnd(ctx, parent context.Context, response *http.Response, stream chiverequest.Stream, rest []byte, err error) ending {
	if stream.Whole() {
		c.connection.close()
		return endedComplete
	}
	if !errors.Is(err, io.EOF) || c.run.request.Stream != nil {
		return c.broken(ctx, parent, err)
	}
	if len(rest) > 0 {
		if !isChunked(response) {
			return c.broken(ctx, parent, errCutEvent)
		}
		c.run.start(response.StatusCode, response.Header)
		if err := c.run.sink.Write(rest, true); err != nil {
			return c.callerFailed(err)
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
