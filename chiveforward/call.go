package chiveforward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

const (
	// maxBufferedBytes is the largest response body that is buffered until it is complete, if the other attempts leave the
	// memory; larger ones are forwarded as they arrive.
	maxBufferedBytes = 1 << 20
	// silenceTimeoutShare is the share of the remaining time after which an idempotent request without a response is
	// retried on another endpoint.
	silenceTimeoutShare = 0.4
	// silenceTimeoutTargets limits that timeout, as a multiple of the route's target latency.
	silenceTimeoutTargets = 2
	// maxDrainedBytes and drainTimeout limit the rest of a response that is read only to keep its connection.
	maxDrainedBytes = 64 << 10
	drainTimeout    = 100 * time.Millisecond
)

// ErrSilent is the error of an attempt whose endpoint sent nothing within the silence timeout.
var ErrSilent = errors.New("endpoint sent no data within the silence timeout")

var (
	errMismatchedResponse = errors.New("response belongs to another request")
	errNoFinalStatus      = errors.New("response has no final status")
	errTruncatedEvent     = errors.New("stream ended inside an event")
	errUnprovedEnd        = errors.New("rest of a stream ended with its connection, which does not prove that it is whole")
	errPreempted          = errors.New("attempt preempted by a more urgent request")
	errRefusedBefore      = errors.New("refusal may be a copy of that of an earlier attempt at the same address")
	errInvalidResponse    = errors.New("response lacks what shows callers that it is the endpoint's")
	errNotTheRest         = errors.New("response is no stream that goes on with the one that was passed on")
)

// attempt is one attempt of a request on one endpoint.
type attempt struct {
	state      *requestState
	place      Place
	target     Target
	connection *connection
	// kept means that the connection had carried other requests. The connection itself may carry the next one already.
	kept      bool
	startedAt time.Time
	// silence limits how long the endpoint may send nothing; nil for no limit.
	silence *silenceTimer
	// mayHaveRun means that a byte of the request may have been sent and that the endpoint did not confirm that it was
	// not run.
	mayHaveRun bool
	// mayHaveArrived means that a byte of the request may have been sent, whatever the endpoint did with it.
	mayHaveArrived bool
	// streaming means that an event of the response has arrived.
	streaming atomic.Bool
	// begun means that a second event has arrived: the endpoint did not crash when it began to answer.
	begun atomic.Bool
	// cancel cancels the attempt with a cause. Other goroutines may call it while the attempt is in flight.
	cancel context.CancelCauseFunc
	// lastActivity is the endpoint's last activity, shared by all attempts there.
	lastActivity *activityTime
	// endpointWasAlive means that the endpoint had responded shortly before the attempt began and no attempt there had
	// broken off since.
	endpointWasAlive bool
	// endpointReplaced means that the attempt was cancelled because another process replaced the endpoint's.
	endpointReplaced bool
	// status is the status of the endpoint's response, named whether that names the request; zero before it.
	status int
	named  bool
	// responseNames is which request the endpoint's response named; empty without a response.
	responseNames string
	// framing is how the endpoint's response states where its body ends; it has no meaning while responseNames is empty.
	framing  chiverequest.Framing
	err      error
	buffered *bufferedResponse
}

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status  int
	header  http.Header
	framing chiverequest.Framing
	body    []byte
}

// writeTo passes the response to the caller.
func (b *bufferedResponse) writeTo(r *requestState) {
	r.wasBuffered = true
	r.startResponse(b.status, b.header, b.framing)
	// A write error means that the caller has disconnected; there is nobody to report it to.
	_ = r.sink.Write(b.body, false)
}

// execute makes the attempt and returns its outcome.
func (a *attempt) execute(parent context.Context) attemptOutcome {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	a.cancel = cancel
	a.lastActivity = a.state.forwarder.inFlight.add(a)
	defer a.state.forwarder.inFlight.remove(a)
	if timeout, limited := a.silenceTimeout(parent); limited {
		a.silence = newSilenceTimer(timeout, func() { cancel(ErrSilent) })
		defer a.silence.stop()
	}
	if preempted := a.place.Preempted(); preempted != nil {
		stop := callOnClose(ctx, preempted, func() { cancel(errPreempted) })
		defer stop()
	}
	// Copies of a request that crashes engines may be waiting at several of them when it is quarantined. Those that
	// have not begun to stream are cancelled.
	if !a.state.probe {
		defer a.state.forwarder.options.Quarantine.Watch(a.state.request, func() { a.cancelForQuarantine(cancel) })()
	}
	response, err := a.send(ctx)
	if err != nil {
		return a.classifyError(ctx, parent, err)
	}
	defer response.Body.Close()
	return a.handleResponse(ctx, parent, response)
}

// handleResponse handles a response, of which nothing is read before it is known to answer the request.
func (a *attempt) handleResponse(ctx, parent context.Context, response *http.Response) attemptOutcome {
	dialect := a.state.forwarder.options.Dialect
	identity := dialect.Identify(a.state.request, response)
	a.responseNames, a.framing = namesOfIdentities[identity], chiverequest.FramingOf(response)
	if response.StatusCode < http.StatusOK {
		return a.classifyError(ctx, parent, errNoFinalStatus)
	}
	matched, ok := chiverequest.Match(identity, response, !a.connection.reused)
	if !ok {
		return a.classifyError(ctx, parent, errMismatchedResponse)
	}
	a.status, a.named = matched.Status(), matched.Named()
	verdict := dialect.Judge(matched)
	if verdict.IsRefusal() && a.state.wasRefusedAt(a.target.Address) {
		return a.classifyError(ctx, parent, errRefusedBefore)
	}
	if verdict == chiverequest.VerdictInvalid {
		return a.classifyError(ctx, parent, errInvalidResponse)
	}
	if verdict != chiverequest.VerdictElsewhere {
		a.recordLimits(ctx, matched)
		a.recordNotice(ctx, matched)
		a.state.forwarder.recordWarmUp(ctx, a.target.ID, a.target.Incarnation, matched)
	}
	switch verdict {
	case chiverequest.VerdictNotRun:
		a.mayHaveRun = false
		a.drain(response)
		return attemptRefused
	case chiverequest.VerdictElsewhere:
		a.connection.close()
		return attemptMisdirected
	case chiverequest.VerdictAnswer, chiverequest.VerdictUnproved, chiverequest.VerdictInvalid:
	}
	return a.forwardAnswer(ctx, parent, response, verdict)
}

// forwardAnswer passes on the response of an endpoint that has run the request.
func (a *attempt) forwardAnswer(ctx, parent context.Context, response *http.Response, verdict chiverequest.Verdict) attemptOutcome {
	a.recordResponse()
	a.recordActivity()
	if verdict == chiverequest.VerdictUnproved && a.state.request.Route.Repeat == chivetable.RepeatNever {
		// Its caller would try the request again, which may have run.
		a.drain(response)
		return attemptEndpointError
	}
	if a.state.hasPassedOnPart() && !canBeRest(response) {
		a.err = errNotTheRest
		a.drain(response)
		return attemptEndpointError
	}
	if !isEventStream(response.Header) {
		a.state.reportStart()
	}
	if isStream(response) {
		return a.forwardStream(ctx, parent, response)
	}
	return a.forwardBuffered(ctx, parent, response)
}

// cancelForQuarantine cancels the attempt unless its response has begun to stream.
func (a *attempt) cancelForQuarantine(cancel context.CancelCauseFunc) {
	if !a.streaming.Load() {
		cancel(errQuarantined)
	}
}

// recordResponse records that the endpoint responded itself. This refutes reports that its process crashed before the
// request was sent.
func (a *attempt) recordResponse() {
	a.lastActivity.record(time.Now())
	if a.target.Unique {
		a.state.forwarder.options.Quarantine.Alive(time.Now(), a.target.Incarnation, a.startedAt)
	}
}

// wasAccepted reports whether the endpoint is taken to have accepted the request before the attempt broke off.
func (a *attempt) wasAccepted(brokeAt time.Time) bool {
	distances := a.state.forwarder.options.Distances
	return a.streaming.Load() || brokeAt.Sub(a.startedAt) >= distances.LeastForDomain(a.target.FailureDomain, acceptedAfter, checkRoundTrips)
}

// callOnClose calls onClose when the channel is closed before the context ends. After stop returns, onClose is no
// longer running and will not be called.
func callOnClose(ctx context.Context, closed <-chan struct{}, onClose func()) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-closed:
			onClose()
		case <-ctx.Done():
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// silenceTimeout returns how long the attempt waits for data from the endpoint. A timeout set by the operator takes
// precedence. Otherwise an idempotent request with attempts left is cancelled early enough for another endpoint to
// answer it in time; other requests have no such timeout.
func (a *attempt) silenceTimeout(ctx context.Context) (time.Duration, bool) {
	if timeout := a.state.request.Silence; timeout > 0 {
		return timeout, true
	}
	route := a.state.request.Route
	if route.Repeat != chivetable.RepeatAlways || a.state.attemptsUsed+1 >= route.Attempts {
		return 0, false
	}
	deadline, _ := ctx.Deadline()
	return min(time.Duration(silenceTimeoutShare*float64(time.Until(deadline))), silenceTimeoutTargets*route.Target), true
}

// recordActivity records that the endpoint sent data, and restarts the silence timeout. Once part of a response was passed on
// that another endpoint cannot go on with, only a timeout set by the operator cancels it.
func (a *attempt) recordActivity() {
	a.lastActivity.record(time.Now())
	switch {
	case a.silence == nil:
	case a.state.request.Silence == 0 && !a.state.mayGoOn():
		a.silence.stop()
	default:
		a.silence.restart()
	}
}

// send sends the request and returns the response head. If unsolicited bytes have closed a kept connection before the request was
// written on it, the request goes on a new one.
func (a *attempt) send(ctx context.Context) (*http.Response, error) {
	// The response to a request without an ID can only be matched if it is the first one of its connection.
	forceNew := len(a.state.result.Tries) > 0 || a.state.request.ID == ""
	response, err := a.sendOnce(ctx, forceNew)
	if err != nil && a.connection.reused && a.connection.rejected.Load() && !a.mayHaveArrived && ctx.Err() == nil {
		return a.sendOnce(ctx, true)
	}
	return response, err
}

// sendOnce writes the request on a connection that no other attempt uses at the same time, and returns the response head.
func (a *attempt) sendOnce(ctx context.Context, forceNew bool) (*http.Response, error) {
	timeout := a.state.forwarder.options.Distances.WaitForDomain(a.target.FailureDomain, dialTimeout, dialRoundTrips)
	a.connection = a.state.forwarder.connections.get(a.target, timeout, forceNew)
	a.kept = a.connection.reused
	a.connection.stillWanted = func() bool { return a.place.Accepts(time.Now()) }
	request, err := a.buildRequest(ctx)
	if err != nil {
		return nil, err
	}
	a.connection.expect(a.state.forwarder.options.Dialect, a.state.request)
	a.connection.arrival.await()
	response, err := a.connection.transport.RoundTrip(request)
	a.connection.arrival.end()
	a.mayHaveArrived = a.connection.mayHaveSent()
	a.mayHaveRun = a.mayHaveArrived
	if err != nil {
		a.connection.close()
		return nil, err //nolint:wrapcheck // logged without a prefix
	}
	return response, nil
}

func (a *attempt) buildRequest(ctx context.Context) (*http.Request, error) {
	r := a.state.request
	header := r.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	content, err := a.state.forwarder.options.Dialect.Prepare(header, chiverequest.Send{Request: r, Endpoint: a.target.ID, Left: a.state.remainingTime(), After: a.state.lastEventID, FetchFrom: a.place.FetchFrom()})
	if err != nil {
		return nil, fmt.Errorf("prepare request: %w", err)
	}
	var body io.Reader
	if len(content) > 0 {
		body = bytes.NewReader(content)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+a.target.Address, body)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	// Without GetBody, net/http cannot resend the body by itself when it considers the request repeatable.
	request.GetBody = nil
	if request.URL, err = requestURL(a.target.Address, r.Target); err != nil {
		return nil, err
	}
	request.Host = r.Host
	request.Header = header
	if _, present := header["User-Agent"]; !present {
		header["User-Agent"] = nil
	}
	return request, nil
}

// classifyError determines the outcome of a failed attempt from its error and cancellation cause.
func (a *attempt) classifyError(ctx, parent context.Context, err error) attemptOutcome {
	a.err = err
	if a.connection != nil {
		a.connection.close()
	}
	cause := context.Cause(ctx)
	switch {
	case parent.Err() != nil:
		return attemptCancelled
	case errors.Is(cause, errPreempted):
		return attemptPreempted
	case errors.Is(cause, errQuarantined):
		return attemptQuarantined
	case errors.Is(cause, errReplaced):
		a.err, a.endpointReplaced = errReplaced, true
	case errors.Is(cause, ErrSilent):
		a.err = ErrSilent
	}
	if !a.mayHaveRun {
		return attemptUnreached
	}
	return attemptBroken
}

// drain reads the rest of a response that is short and already on its way, so that the connection can be reused.
func (a *attempt) drain(response *http.Response) {
	timer := time.AfterFunc(drainTimeout, a.connection.close)
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainedBytes+1))
	if !timer.Stop() || err != nil || n > maxDrainedBytes {
		a.connection.close()
		return
	}
	a.returnConnection(response)
}

// returnConnection returns the connection to the pool, unless the endpoint is about to close it or the next response could
// not be matched to its request.
func (a *attempt) returnConnection(response *http.Response) {
	if response.Close || !a.named {
		a.connection.close()
		return
	}
	a.state.forwarder.connections.put(a.target.Incarnation, a.connection, response.Header)
}

// forwardBuffered forwards a response that is not a stream once it is complete. Until then, a response that breaks off
// can still be requested from another endpoint.
func (a *attempt) forwardBuffered(ctx, parent context.Context, response *http.Response) attemptOutcome {
	held := reservation{total: &a.state.forwarder.held}
	defer held.release()
	body, complete, err := readHeld(response.Body, &held, a.recordActivity)
	if err != nil {
		return a.classifyError(ctx, parent, err)
	}
	if !complete {
		return a.forwardLarge(ctx, parent, response, body, &held)
	}
	a.returnConnection(response)
	a.buffered = &bufferedResponse{status: response.StatusCode, header: response.Header, framing: a.framing, body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		return attemptEndpointError
	}
	a.buffered.writeTo(a.state)
	return attemptCompleted
}

func (a *attempt) forwardLarge(ctx, parent context.Context, response *http.Response, head []byte, held *reservation) attemptOutcome {
	a.state.startResponse(response.StatusCode, response.Header, a.framing)
	if err := a.state.sink.Write(head, false); err != nil {
		return a.sinkFailed(err)
	}
	held.release()
	a.recordActivity()
	buffer := make([]byte, connectionBufferSize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			a.recordActivity()
			if writeErr := a.state.sink.Write(buffer[:n], false); writeErr != nil {
				return a.sinkFailed(writeErr)
			}
		}
		if errors.Is(err, io.EOF) {
			a.returnConnection(response)
			return attemptCompleted
		}
		if err != nil {
			return a.classifyError(ctx, parent, err)
		}
	}
}

// forwardStream forwards complete events only. Of an event that was cut off the caller sees nothing, so a stream that
// is resumed on another endpoint neither repeats nor loses one.
func (a *attempt) forwardStream(ctx, parent context.Context, response *http.Response) attemptOutcome {
	stream, sequence := a.state.request.Stream, &eventSequence{hasJoined: true}
	if stream == nil {
		stream = &idStream{state: a.state, response: response, framing: a.framing}
		sequence = newEventSequence(a.state.lastEventID, a.state.request.Route.Stream, !a.framing.ProvesEnd())
	}
	events := newEventReader(response.Body, &a.connection.arrival, &a.state.forwarder.held)
	defer events.close()
	for {
		// Only the time spent waiting for the endpoint counts. A caller that reads slowly blocks this loop and must not
		// make the engine look slow.
		waitStart := time.Now()
		e, partial, err := events.next()
		if err != nil {
			return a.finishStream(ctx, parent, response, stream, sequence, partial, err)
		}
		a.recordActivity()
		isNew, err := sequence.next(e)
		if err != nil {
			return a.classifyError(ctx, parent, err)
		}
		a.recordEvent(waitStart)
		if !isNew {
			continue
		}
		a.state.recordPosition(e)
		done, err := stream.Event(e.data, e.id, events.hasBuffered())
		if err != nil {
			return a.sinkFailed(err)
		}
		if done {
			a.drain(response)
			return attemptCompleted
		}
	}
}

// recordEvent records an event for which the attempt has waited.
func (a *attempt) recordEvent(waitStart time.Time) {
	now := time.Now()
	if a.streaming.Swap(true) && !a.begun.Swap(true) {
		a.state.forwarder.options.Quarantine.Begun(now, a.state.request)
	}
	a.state.reportStart()
	a.place.Event(now, now.Sub(waitStart))
	a.state.recordEvent(now.Sub(waitStart))
	a.state.recordOrigin(now, a.target)
}

// sinkFailed ends an attempt whose response could not be passed to the caller.
func (a *attempt) sinkFailed(err error) attemptOutcome {
	a.err = err
	a.connection.close()
	return attemptCancelled
}

// finishStream determines whether a stream was complete when it ended: both its encoding and its last event must be. An
// endpoint that stops inside an event may still end the encoding.
func (a *attempt) finishStream(ctx, parent context.Context, response *http.Response, stream chiverequest.Stream, sequence *eventSequence, partial []byte, err error) attemptOutcome {
	if stream.Whole() {
		a.connection.close()
		return attemptCompleted
	}
	if !errors.Is(err, io.EOF) || a.state.request.Stream != nil {
		return a.classifyError(ctx, parent, err)
	}
	if len(partial) > 0 {
		if endsInsideEvent(partial) || !a.framing.ProvesEnd() || sequence.isResumed() && hasFields(partial) {
			return a.classifyError(ctx, parent, errTruncatedEvent)
		}
		a.state.startResponse(response.StatusCode, response.Header, a.framing)
		if err := a.state.sink.Write(partial, true); err != nil {
			return a.sinkFailed(err)
		}
	}
	if a.hasUnprovedEnd() {
		return a.classifyError(ctx, parent, errUnprovedEnd)
	}
	a.state.startResponse(response.StatusCode, response.Header, a.framing)
	a.returnConnection(response)
	return attemptCompleted
}

// hasUnprovedEnd reports whether nothing but the end of its connection ended the response although the caller was promised a
// length or a last chunk, with which the caller would take it for whole.
func (a *attempt) hasUnprovedEnd() bool {
	return !a.framing.ProvesEnd() && a.state.result.Started && !a.state.endsWithConnection
}

func isEventStream(header http.Header) bool {
	mediaType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// isStream reports whether a response consists of events.
func isStream(response *http.Response) bool {
	return isEventStream(response.Header) && chiverequest.IsSuccess(response.StatusCode) && response.StatusCode != http.StatusNoContent
}

// canBeRest reports whether a response may go on with a stream of which a part was passed on.
func canBeRest(response *http.Response) bool {
	return isStream(response) && response.Header.Get("Content-Encoding") == ""
}
