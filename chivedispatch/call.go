package chivedispatch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"chivedrift/chiveschedule"
)

// ending tells how one attempt ended.
type ending string

const (
	endedComplete  ending = "complete"
	endedBroken    ending = "broken"
	endedStalled   ending = "stalled"
	endedRefused   ending = "refused_by_endpoint"
	endedError     ending = "error_from_endpoint"
	endedPreempted ending = "preempted"
	endedCaller    ending = "caller_gone"
	endedDeadline  ending = "deadline"
)

// NotRunHeader is set by an endpoint whose refusal proves that nothing ran.
const NotRunHeader = "Endpoint-Not-Run"

const (
	requestIDHeader = "X-Request-Id"
	readerBytes     = 16 << 10
	eventGap        = "\n"
	maxErrorBytes   = 64 << 10
	maxWholeBytes   = 16 << 20
	progressEvery   = 5 * time.Second
)

var (
	errStalled   = errors.New("endpoint stalled")
	errPreempted = errors.New("preempted")
	errDeadline  = errors.New("deadline passed")
	errEnded     = errors.New("stream ended before its end mark")
)

// call is one attempt of a request on one endpoint.
type call struct {
	d       *Dispatcher
	work    *Work
	slot    *chiveschedule.Slot
	answer  *Answer
	sink    Sink
	started time.Time
	before  int64
	touched atomic.Bool
	stall   *time.Timer
	cancel  context.CancelCauseFunc

	progressed time.Time
	status     int
	body       []byte
	err        error
}

// run carries the attempt out and tells how it ended.
func (c *call) run(parent context.Context) ending {
	ctx, cancel := context.WithCancelCause(parent)
	c.cancel = cancel
	defer cancel(nil)
	c.stall = time.AfterFunc(c.work.Class.Stall(), func() { cancel(errStalled) })
	defer c.stall.Stop()
	if c.work.Whole {
		// The engine of an answer that is not streamed sends nothing until it is done; only the deadline bounds it.
		c.stall.Stop()
	}
	go c.watchPreemption(ctx)
	response, err := c.send(ctx)
	if err != nil {
		return c.broken(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return c.refused(ctx, response)
	}
	if c.work.Whole {
		return c.readWhole(ctx, response)
	}
	return c.relay(ctx, response.Body)
}

func (c *call) watchPreemption(ctx context.Context) {
	select {
	case <-c.slot.Preempted():
		c.cancel(errPreempted)
	case <-ctx.Done():
	}
}

func (c *call) send(ctx context.Context) (*http.Response, error) {
	body, err := c.work.body(c.answer, c.slot.Grant().Priority)
	if err != nil {
		return nil, fmt.Errorf("request body: %w", err)
	}
	address := c.slot.Endpoint().Address
	if !c.work.Repeatable {
		return c.sendOnce(ctx, address, body)
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.touched.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), address, body)
	if err != nil {
		return nil, err
	}
	return c.d.pooled.RoundTrip(request) //nolint:wrapcheck // shown to operators as it is
}

func (c *call) sendOnce(ctx context.Context, address string, body []byte) (*http.Response, error) {
	transport := newOnce(c.d.self, c.d.network)
	request, err := c.request(ctx, address, body)
	if err != nil {
		return nil, err
	}
	response, err := transport.transport.RoundTrip(request)
	c.touched.Store(transport.touched())
	return response, err //nolint:wrapcheck // shown to operators as it is
}

func (c *call) request(ctx context.Context, address string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.work.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err //nolint:wrapcheck // shown to operators as it is
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(requestIDHeader, c.work.ID)
	return request, nil
}

// broken tells the reasons for a broken attempt apart.
func (c *call) broken(ctx context.Context, err error) ending {
	c.err = err
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return endedBroken
	case errors.Is(cause, errStalled):
		c.err = errStalled
		return endedStalled
	case errors.Is(cause, errPreempted):
		return endedPreempted
	case errors.Is(cause, errDeadline):
		c.err = errDeadline
		return endedDeadline
	}
	return endedCaller
}

// refused reads an answer that is not 200: a refusal that proves that nothing ran, or an error.
func (c *call) refused(ctx context.Context, response *http.Response) ending {
	c.status = response.StatusCode
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return c.broken(ctx, err)
	}
	c.body = body
	c.err = fmt.Errorf("endpoint answered %s", response.Status)
	if response.Header.Get(NotRunHeader) == "true" {
		c.touched.Store(false)
		return endedRefused
	}
	return endedError
}

func (c *call) readWhole(ctx context.Context, response *http.Response) ending {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWholeBytes))
	if err != nil {
		return c.broken(ctx, err)
	}
	c.body = body
	return endedComplete
}

// relay passes on complete events only: of an event that was cut the caller sees nothing, so that a resumed stream
// repeats no token and drops none.
func (c *call) relay(ctx context.Context, body io.Reader) ending {
	from := bufio.NewReaderSize(body, readerBytes)
	for {
		line, err := readLine(from)
		if err != nil {
			return c.cut(ctx, err)
		}
		event, ok := parseChunk(line)
		if !ok {
			continue
		}
		c.stall.Reset(c.work.Class.Stall())
		if event.done {
			return endedComplete
		}
		if err := c.deliver(event, from.Buffered() > len(eventGap)); err != nil {
			c.err = err
			return endedCaller
		}
	}
}

// cut is the end of a stream without its end mark; when the finish reason had come, nothing is missing.
func (c *call) cut(ctx context.Context, err error) ending {
	if c.answer.complete() {
		return endedComplete
	}
	if errors.Is(err, io.EOF) {
		err = errEnded
	}
	return c.broken(ctx, err)
}

func (c *call) deliver(event chunk, more bool) error {
	if c.answer.complete() && len(event.usage) == 0 {
		return nil
	}
	now := time.Now()
	c.answer.add(now, event)
	if len(event.text) > 0 {
		c.report(now)
	}
	return c.sink.Event(event.data, more)
}

// report tells the scheduler of the first token and then now and again, so that it notices a straggler before a long answer ends.
func (c *call) report(now time.Time) {
	if !c.progressed.IsZero() && now.Sub(c.progressed) < progressEvery {
		return
	}
	c.progressed = now
	c.slot.Progress(c.lengths(now))
}

func (c *call) lengths(now time.Time) chiveschedule.Ending {
	e := chiveschedule.Ending{Tokens: c.answer.tokens - c.before}
	if c.before == 0 && c.answer.tokens > 0 {
		e.First = c.answer.first.Sub(c.started)
	}
	e.Stream = now.Sub(c.started) - e.First
	return e
}

// readLine returns the next whole line without copying it where it fits into the buffer.
func readLine(from *bufio.Reader) ([]byte, error) {
	line, err := from.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err //nolint:wrapcheck // told apart by its identity
	}
	long := append([]byte(nil), line...)
	for {
		line, err = from.ReadSlice('\n')
		long = append(long, line...)
		if err == nil {
			return long, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) || len(long) > maxWholeBytes {
			return nil, err //nolint:wrapcheck // told apart by its identity
		}
	}
}
