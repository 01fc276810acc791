package chivedispatch

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chiveschedule"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the dispatcher registers.
const ServiceName = "dispatch"

// Slots is what the dispatcher needs of the scheduling.
type Slots interface {
	// Acquire waits for a slot.
	Acquire(ctx context.Context, ask chiveschedule.Ask) (*chiveschedule.Slot, error)
}

// Fleet hears which endpoints take no new work.
type Fleet interface {
	// EndpointLeaves tells the fleet that an endpoint, by its address, takes no new work.
	EndpointLeaves(address string)
}

// Dispatcher runs requests on endpoints and is responsible for their outcome.
type Dispatcher struct {
	self    string
	network chivewire.Network
	slots   Slots
	fleet   Fleet
	logger  *slog.Logger
	pooled  *http.Transport
	budget  *Budget
	waste   *Waste
}

// New returns a dispatcher that calls endpoints over a network.
func New(self string, network chivewire.Network, slots Slots, fleet Fleet, logger *slog.Logger) *Dispatcher {
	return &Dispatcher{
		self: self, network: network, slots: slots, fleet: fleet, logger: logger,
		pooled: newPooledTransport(self, network), budget: NewBudget(), waste: &Waste{},
	}
}

// Start does nothing: requests run on their callers' goroutines.
func (d *Dispatcher) Start(context.Context) error { return nil }

// Stop closes idle connections.
func (d *Dispatcher) Stop(context.Context) error {
	d.pooled.CloseIdleConnections()
	return nil
}

// Dump returns the retry credits and the work that was thrown away.
func (d *Dispatcher) Dump() any {
	return struct {
		Credits map[string]float64 `json:"retry_credits"`
		Waste   WasteState         `json:"waste"`
	}{d.budget.Credits(), d.waste.State()}
}

// run is the state of one request over its attempts.
type run struct {
	d       *Dispatcher
	work    *Work
	sink    Sink
	answer  *Answer
	exclude []string
	result  Result
	touched bool
}

const (
	maxAttempts = 6
	minuteRetry = time.Minute
)

// Run carries a model request through to its outcome; answer holds what was delivered.
func (d *Dispatcher) Run(parent context.Context, work *Work, sink Sink) (Result, *Answer) {
	ctx, cancel := context.WithDeadlineCause(parent, work.Deadline, errDeadline)
	defer cancel()
	d.budget.Earn(work.Class.Name, work.Class.RetryBudgetPercent)
	r := &run{d: d, work: work, sink: sink, answer: &Answer{}}
	for attempt := 1; ; attempt++ {
		slot, err := d.slots.Acquire(ctx, chiveschedule.Ask{Pool: work.Pool, Request: work.slotRequest(attempt, r.answer.tokens, r.exclude)})
		if err != nil {
			r.giveUp(ctx, err)
			return r.result, r.answer
		}
		if r.attempt(ctx, attempt, slot) {
			return r.result, r.answer
		}
	}
}

// attempt runs one attempt and reports whether the request has its outcome.
func (r *run) attempt(ctx context.Context, number int, slot *chiveschedule.Slot) bool {
	if slot.Endpoint().Address == "" {
		slot.Done(chiveschedule.Ending{Result: chiveschedule.ResultReturned})
		return false
	}
	c := &call{d: r.d, work: r.work, slot: slot, answer: r.answer, sink: r.sink, started: time.Now(), before: r.answer.tokens}
	ended := c.run(ctx)
	lengths := c.lengths(time.Now())
	lengths.Result = slotResult(ended)
	slot.Done(lengths)
	r.note(number, slot, c, ended)
	r.touched = r.touched || c.touched.Load()
	if ended == endedRefused && c.status == http.StatusServiceUnavailable {
		r.d.fleet.EndpointLeaves(slot.Endpoint().Address)
	}
	return r.judge(ctx, number, slot, c, ended)
}

func slotResult(ended ending) chiveschedule.Result {
	switch ended {
	case endedComplete, endedError:
		return chiveschedule.ResultOK
	case endedBroken, endedStalled:
		return chiveschedule.ResultFailed
	case endedRefused:
		return chiveschedule.ResultRefused
	case endedPreempted, endedCaller, endedDeadline:
		return chiveschedule.ResultCancelled
	}
	return chiveschedule.ResultCancelled
}

func (r *run) note(number int, slot *chiveschedule.Slot, c *call, ended ending) {
	grant := slot.Grant()
	a := Attempt{
		Number: number, Endpoint: grant.Endpoint, Reason: grant.Reason, Candidates: grant.Candidates, QueuedMs: grant.QueuedMs,
		Resumed: c.before, Tokens: r.answer.tokens - c.before, Ended: string(ended), Touched: c.touched.Load(),
	}
	if c.err != nil {
		a.Error = c.err.Error()
	}
	r.result.Queued += time.Duration(grant.QueuedMs) * time.Millisecond
	r.result.Attempts = append(r.result.Attempts, a)
}

// judge decides from an attempt's ending whether the request is over or goes on elsewhere.
func (r *run) judge(ctx context.Context, number int, slot *chiveschedule.Slot, c *call, ended ending) bool {
	switch ended {
	case endedComplete:
		r.result.Outcome, r.result.Status, r.result.Body = Completed, http.StatusOK, c.body
		return true
	case endedError:
		r.result.Outcome, r.result.Status, r.result.Body = Failed, c.status, c.body
		r.result.Code, r.result.Message = CodeEndpointError, "the endpoint answered with an error"
		return true
	case endedPreempted:
		return r.afterPreemption()
	case endedCaller, endedDeadline:
		r.end(CodeDeadline, "the request's time ran out while it was running", 0)
		return true
	case endedBroken, endedStalled, endedRefused:
		return r.afterBreak(ctx, number, slot, c)
	}
	return true
}

// afterPreemption goes on with the rest of the answer; only what may run again is ever preempted half-way.
func (r *run) afterPreemption() bool {
	if r.mayRepeat() {
		return false
	}
	r.end(CodeBroken, "the attempt was given up and may not be repeated", 0)
	return true
}

// afterBreak tries another endpoint when that is safe: nothing reached the endpoint, or the request may run again. The
// budget bounds repeated work, so a try that reached nobody costs none of it.
func (r *run) afterBreak(ctx context.Context, number int, slot *chiveschedule.Slot, c *call) bool {
	chiveevent.RequestBroken.Log(ctx, r.d.logger, slog.String("request", r.work.ID), slog.String("endpoint", slot.Endpoint().Name),
		slog.Any("error", c.err))
	r.exclude = append(r.exclude, slot.Endpoint().Name)
	touched := c.touched.Load()
	if number < maxAttempts && (!touched || (r.mayRepeat() && r.d.budget.Spend(r.work.Class.Name))) {
		if touched {
			r.d.waste.addRepeat(r.work.PromptTokens)
		}
		return false
	}
	r.end(CodeBroken, "the endpoint broke off", time.Second)
	return true
}

// mayRepeat tells whether the rest of the request may run again: a whole answer that is not streamed starts over.
func (r *run) mayRepeat() bool { return r.work.Repeatable }

// Error codes, as callers see them.
const (
	CodeEndpointError = "endpoint_error"
	CodeDeadline      = "deadline_passed"
	CodeBroken        = "endpoint_broken"
	CodeRefused       = "capacity"
)

// end gives up the request and books what was delivered of it as thrown away.
func (r *run) end(code, message string, after time.Duration) {
	r.result.giveUp(r.touched, code, message, after)
	r.d.waste.addThrown(r.answer.tokens)
}

// giveUp ends a request that got no slot.
func (r *run) giveUp(ctx context.Context, err error) {
	var refused *chiveschedule.RefusedError
	switch {
	case errors.As(err, &refused):
		r.end(CodeRefused, refused.Reason, refused.RetryAfter)
	case errors.Is(context.Cause(ctx), errDeadline):
		r.end(CodeDeadline, "the request's time ran out before it got a slot", time.Second)
	case ctx.Err() != nil:
		r.end(CodeDeadline, "the caller went away", 0)
	default:
		r.end(CodeRefused, err.Error(), minuteRetry)
	}
}
