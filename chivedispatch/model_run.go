package chivedispatch

import (
	"bytes"
	"errors"
	"net/http"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

// progressInterval is the time between progress reports to the scheduler.
const progressInterval = 5 * time.Second

// modelRun is the state of one model request over all of its attempts. It encodes the body of each attempt, handles the
// events of the engines' streams and buffers a response that is not streamed.
type modelRun struct {
	dispatcher    *Dispatcher
	request       *Work
	sink          Sink
	response      *Answer
	attemptNumber int
	placements    []*slotPlacement

	lastProgress time.Time
	status       int
	responseBody []byte
}

func (m *modelRun) class() *chiveconfig.Class { return m.request.Class }

// forwardRequest returns the request in the forwarder's form.
func (m *modelRun) forwardRequest() *chiverequest.Request {
	request := m.request
	r := &chiverequest.Request{
		ID: request.ID, Route: routeForClass(request.Class, request.Repeatable, maxAttempts), Pool: request.Pool, Team: request.Team, Method: http.MethodPost, Target: request.Path, Content: request.Content,
		Header: http.Header{"Content-Type": {"application/json"}}, Arrival: request.Arrival, Deadline: request.Deadline, Silence: request.Class.Stall(),
		Stream: m, Source: m,
	}
	if request.Whole {
		// An engine that does not stream sends nothing until the response is complete; only the deadline limits it.
		r.Silence = 0
	}
	return r
}

// routeForClass returns a route with the settings of a class, for the forwarder.
func routeForClass(class *chiveconfig.Class, repeatable bool, attempts int) *chivetable.Route {
	route := &chivetable.Route{Name: class.Name, Target: class.FirstToken(), Attempts: attempts}
	if repeatable {
		route.Repeat = chivetable.RepeatResume
	}
	return route
}

// requestBody encodes the body of the current attempt, with the position to resume from.
func (m *modelRun) requestBody() ([]byte, error) {
	return m.request.requestBody(m.response, m.placements[len(m.placements)-1].slot.Grant().Priority)
}

// Event parses the chunks of one event and delivers them to the caller.
func (m *modelRun) Event(data []byte, _ string, more bool) (ended bool, err error) {
	for len(data) > 0 {
		line, rest, _ := bytes.Cut(data, newline)
		data = rest
		c, ok := parseChunk(line)
		if !ok {
			continue
		}
		if c.done {
			return true, nil
		}
		if err := m.deliver(c, more); err != nil {
			return false, err
		}
	}
	return false, nil
}

var newline = []byte("\n")

// Whole reports whether the finish reason has been received, so that no text is missing.
func (m *modelRun) Whole() bool { return m.response.isComplete() }

func (m *modelRun) deliver(c chunk, more bool) error {
	if m.response.isComplete() && len(c.usage) == 0 {
		return nil
	}
	now := time.Now()
	m.response.addChunk(now, c)
	if len(c.text) > 0 {
		m.reportProgress(now)
	}
	return m.sink.Event(c.data, more)
}

// reportProgress reports the first token of an attempt to the scheduler and then its progress at intervals, so that the
// scheduler detects a slow engine before a long response ends.
func (m *modelRun) reportProgress(now time.Time) {
	placement := m.placements[len(m.placements)-1]
	if m.lastProgress.After(placement.startedAt) && now.Sub(m.lastProgress) < progressInterval {
		return
	}
	m.lastProgress = now
	placement.slot.Progress(placement.attemptReport(now))
}

// EndsWithConnection does nothing: the end of the text, or of a JSON document, shows whether it is whole.
func (m *modelRun) EndsWithConnection() {}

// Start records the status of a response that is not streamed.
func (m *modelRun) Start(status int, _ http.Header) { m.status = status }

// Write appends to the body of a response that is not streamed.
func (m *modelRun) Write(data []byte, _ bool) error {
	m.responseBody = append(m.responseBody, data...)
	return nil
}

// toResult converts the forwarder's result into a Result.
func (m *modelRun) toResult(forwarded *chiveforward.Result) Result {
	r := Result{Outcome: forwarded.Outcome, Status: http.StatusOK, Body: m.responseBody}
	switch {
	case endedWithoutResponse(forwarded):
		r.setFailure(forwarded)
		m.dispatcher.waste.addDiscarded(m.response.tokens)
	case m.status != 0 && m.status != http.StatusOK:
		r.Outcome, r.Status = Failed, m.status
		r.Code, r.Message = CodeEndpointError, "the endpoint answered with an error"
	}
	for i, attempt := range forwarded.Tries {
		m.addAttempt(&r, i, attempt, forwarded)
	}
	return r
}

func (m *modelRun) addAttempt(result *Result, index int, attempt chiveforward.Try, forwarded *chiveforward.Result) {
	placement := m.placements[index]
	grant := placement.slot.Grant()
	result.Queued += time.Duration(grant.QueuedMs) * time.Millisecond
	entry := Attempt{
		Number: index + 1, Endpoint: grant.Endpoint, Reason: grant.Reason, Candidates: grant.Candidates, QueuedMs: grant.QueuedMs,
		Resumed: placement.tokensBefore, Tokens: placement.tokensAfter - placement.tokensBefore, Ended: endReason(attempt, forwarded), Touched: attempt.Touched,
	}
	if attempt.Err != nil {
		entry.Error = attempt.Err.Error()
	}
	result.Attempts = append(result.Attempts, entry)
	if attempt.Touched && index+1 < len(forwarded.Tries) {
		m.dispatcher.waste.addRepeatedPrompt(m.request.PromptTokens)
	}
}

// Values of Attempt.Ended.
const (
	endedComplete = "complete"
	endedBroken   = "broken"
	endedStalled  = "stalled"
	endedError    = "error_from_endpoint"
	endedCaller   = "caller_gone"
	endedDeadline = "deadline"
)

// endReason returns the value of Attempt.Ended for an attempt of the forwarder.
func endReason(attempt chiveforward.Try, forwarded *chiveforward.Result) string {
	switch attempt.Ended {
	case "complete":
		if attempt.Status >= http.StatusBadRequest {
			return endedError
		}
		return endedComplete
	case "endpoint_error":
		return endedError
	case "broken", "unreached":
		if errors.Is(attempt.Err, chiveforward.ErrSilent) {
			return endedStalled
		}
		return endedBroken
	case "given_up":
		if forwarded.Code == chiveforward.CodeCallerGone {
			return endedCaller
		}
		return endedDeadline
	}
	return attempt.Ended
}
