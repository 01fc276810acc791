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

// progressEvery is how often the scheduler hears how an answer goes on.
const progressEvery = 5 * time.Second

// modelRun is one model request over all of its attempts: it lays out each attempt's body, takes the events of the engines'
// streams, and holds an answer that came in one piece.
type modelRun struct {
	d      *Dispatcher
	work   *Work
	sink   Sink
	answer *Answer
	number int
	places []*slotPlace

	progressed time.Time
	status     int
	content    []byte
}

func (m *modelRun) class() *chiveconfig.Class { return m.work.Class }

// request is the work as the forwarder sees it.
func (m *modelRun) request() *chiverequest.Request {
	w := m.work
	r := &chiverequest.Request{
		ID: w.ID, Route: routeOf(w.Class, w.Repeatable, maxAttempts), Pool: w.Pool, Team: w.Team, Method: http.MethodPost, Target: w.Path, Content: w.Content,
		Header: http.Header{"Content-Type": {"application/json"}}, Arrival: w.Arrival, Deadline: w.Deadline, Silence: w.Class.Stall(),
		Stream: m, Source: m,
	}
	if w.Whole {
		// The engine of an answer that is not streamed sends nothing until it is done; only the deadline bounds it.
		r.Silence = 0
	}
	return r
}

// routeOf is a class as the forwarder sees it.
func routeOf(class *chiveconfig.Class, repeatable bool, attempts int) *chivetable.Route {
	route := &chivetable.Route{Name: class.Name, Target: class.FirstToken(), Attempts: attempts}
	if repeatable {
		route.Repeat = chivetable.RepeatResume
	}
	return route
}

// body lays out an attempt, with where to go on.
func (m *modelRun) body() ([]byte, error) {
	return m.work.body(m.answer, m.places[len(m.places)-1].slot.Grant().Priority)
}

// Event passes on the chunks of one event.
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

// Whole tells that nothing is missing once the finish reason has come.
func (m *modelRun) Whole() bool { return m.answer.complete() }

func (m *modelRun) deliver(c chunk, more bool) error {
	if m.answer.complete() && len(c.usage) == 0 {
		return nil
	}
	now := time.Now()
	m.answer.add(now, c)
	if len(c.text) > 0 {
		m.report(now)
	}
	return m.sink.Event(c.data, more)
}

// report tells the scheduler of the first token and then now and again, so that it notices a straggler before a long answer ends.
func (m *modelRun) report(now time.Time) {
	place := m.places[len(m.places)-1]
	if m.progressed.After(place.started) && now.Sub(m.progressed) < progressEvery {
		return
	}
	m.progressed = now
	place.slot.Progress(place.lengths(now))
}

// Start takes the head of an answer that is no stream.
func (m *modelRun) Start(status int, _ http.Header) { m.status = status }

// Write takes a piece of such an answer.
func (m *modelRun) Write(data []byte, _ bool) error {
	m.content = append(m.content, data...)
	return nil
}

// finish turns the forwarder's result into the one that callers and explanations know.
func (m *modelRun) finish(from *chiveforward.Result) Result {
	r := Result{Outcome: from.Outcome, Status: http.StatusOK, Body: m.content}
	switch {
	case isGivenUp(from):
		r.giveUp(from)
		m.d.waste.addThrown(m.answer.tokens)
	case m.status != 0 && m.status != http.StatusOK:
		r.Outcome, r.Status = Failed, m.status
		r.Code, r.Message = CodeEndpointError, "the endpoint answered with an error"
	}
	for i, t := range from.Tries {
		m.note(&r, i, t, from)
	}
	return r
}

func (m *modelRun) note(r *Result, i int, t chiveforward.Try, from *chiveforward.Result) {
	place := m.places[i]
	grant := place.slot.Grant()
	r.Queued += time.Duration(grant.QueuedMs) * time.Millisecond
	a := Attempt{
		Number: i + 1, Endpoint: grant.Endpoint, Reason: grant.Reason, Candidates: grant.Candidates, QueuedMs: grant.QueuedMs,
		Resumed: place.before, Tokens: place.after - place.before, Ended: endedWord(t, from), Touched: t.Touched,
	}
	if t.Err != nil {
		a.Error = t.Err.Error()
	}
	r.Attempts = append(r.Attempts, a)
	if t.Touched && i+1 < len(from.Tries) {
		m.d.waste.addRepeat(m.work.PromptTokens)
	}
}

// Words for how an attempt ended, as explanations show them.
const (
	endedComplete = "complete"
	endedBroken   = "broken"
	endedStalled  = "stalled"
	endedError    = "error_from_endpoint"
	endedCaller   = "caller_gone"
	endedDeadline = "deadline"
)

// endedWord is the explanation's word for a try.
func endedWord(t chiveforward.Try, from *chiveforward.Result) string {
	switch t.Ended {
	case "complete":
		if t.Status >= http.StatusBadRequest {
			return endedError
		}
		return endedComplete
	case "endpoint_error":
		return endedError
	case "broken", "unreached":
		if errors.Is(t.Err, chiveforward.ErrSilent) {
			return endedStalled
		}
		return endedBroken
	case "given_up":
		if from.Code == chiveforward.CodeCallerGone {
			return endedCaller
		}
		return endedDeadline
	}
	return t.Ended
}
