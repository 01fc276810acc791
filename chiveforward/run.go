package chiveforward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

// run is the state of one request over its attempts.
type run struct {
	f       *Forwarder
	request *chiverequest.Request
	sink    Sink
	result  Result

	watch stopwatch
	// last is the last event that the caller has.
	last string
	// touched means that a byte of some attempt may have reached an endpoint that did not prove that it ran nothing.
	touched bool
	// sent counts the attempts that may have run, refusals those that certainly did not.
	sent     int
	refusals int
	exclude  []string
	// events counts the events of all attempts.
	events int
	// started means that an endpoint has answered an attempt of the request and OnStart was called.
	started bool
	// probe means that the request is sent although engines crashed under it: it gets one attempt.
	probe bool
	// spare is an endpoint's error that is passed on when no other endpoint does better.
	spare *whole
}

// attempt makes one attempt and reports whether the request has its outcome.
func (r *run) attempt(ctx context.Context) bool {
	place, err := r.f.o.Places.Take(ctx, r.request, r.exclude)
	if err != nil {
		return r.refuse(ctx, err)
	}
	if r.left() <= 0 {
		place.Done(time.Now(), chiveplace.EndedCaller)
		r.giveUp(ctx, CodeDeadline, "the request's time ran out while the machine was suspended", 0)
		return true
	}
	if r.quarantinedMeanwhile(ctx) {
		place.Done(time.Now(), chiveplace.EndedCaller)
		return true
	}
	c := &call{run: r, place: place, target: place.Target(), began: time.Now()}
	r.logSent(ctx, c)
	ended := c.carry(ctx)
	passedOver := place.Done(time.Now(), endings[ended])
	r.note(c, ended)
	r.logEnded(ctx, c, ended, passedOver)
	if ended == endedBroken {
		r.f.explainBreak(ctx, c)
	}
	return r.judge(ctx, c, ended)
}

// left is how long the caller still waits, also when the machine was suspended meanwhile.
func (r *run) left() time.Duration { return time.Until(r.request.Deadline) - r.watch.suspended() }

// ending tells how one attempt ended.
type ending uint8

const (
	endedComplete ending = iota
	// endedError is an answer by which the endpoint reports a failure of its own.
	endedError
	endedBroken
	// endedUnreached is an attempt of which no byte left.
	endedUnreached
	endedRefused
	endedElsewhere
	// endedCaller is an attempt that was given up because the caller left or its time ran out.
	endedCaller
	// endedPreempted is an attempt whose place was wanted back.
	endedPreempted
	// endedQuarantined is an attempt that was cancelled since its request was quarantined.
	endedQuarantined
)

var endingNames = [...]string{"complete", "endpoint_error", "broken", "unreached", "refused_by_endpoint", "other_endpoint", "given_up", "preempted", "quarantined"}

var endings = [...]chiveplace.Ending{
	chiveplace.EndedWell, chiveplace.EndedError, chiveplace.EndedBroken, chiveplace.EndedBroken, chiveplace.EndedFull, chiveplace.EndedGone,
	chiveplace.EndedCaller, chiveplace.EndedCaller, chiveplace.EndedCaller,
}

// refuse ends a request that found no place.
func (r *run) refuse(ctx context.Context, err error) bool {
	if r.passSpare() {
		return true
	}
	if ctx.Err() != nil {
		r.giveUp(ctx, CodeDeadline, "the request's time ran out before it got a place", 0)
		return true
	}
	var refused *chiveplace.RefusedError
	if errors.As(err, &refused) {
		r.result.Expected = refused.Expected
		r.giveUp(ctx, CodeNoPlace, refused.Reason, refused.RetryAfter)
		return true
	}
	r.giveUp(ctx, CodeNoPlace, err.Error(), time.Second)
	return true
}

// judge decides from an attempt's ending whether the request is over or goes on elsewhere.
func (r *run) judge(ctx context.Context, c *call, ended ending) bool {
	r.exclude = append(r.exclude, c.target.Incarnation)
	switch ended {
	case endedComplete:
		r.f.o.Quarantine.Answered(time.Now(), r.request)
		r.result.Outcome = Completed
		return true
	case endedQuarantined:
		r.touched = r.touched || c.touched
		return r.quarantinedMeanwhile(ctx) || r.afterBreak(ctx, c, ended)
	case endedCaller:
		r.touched = r.touched || c.touched
		r.giveUp(ctx, CodeDeadline, "the request's time ran out at the endpoint", 0)
		return true
	case endedPreempted:
		return r.afterPreemption(ctx, c)
	case endedUnreached, endedElsewhere:
		r.refusals++
		if r.refusals <= r.f.o.Rules.Refusals && ctx.Err() == nil {
			return false
		}
		r.giveUp(ctx, CodeBroken, "no endpoint could be reached", retryAfterBreak)
		return true
	case endedRefused:
		return r.afterRefusal(ctx)
	case endedError, endedBroken:
		r.touched = true
		r.sent++
		return r.afterBreak(ctx, c, ended)
	}
	return true
}

// afterPreemption goes on with the rest of the answer: the place was given up for others, so that costs no repeat.
func (r *run) afterPreemption(ctx context.Context, c *call) bool {
	r.touched = r.touched || c.touched
	r.exclude = r.exclude[:len(r.exclude)-1]
	if !c.touched || r.request.Route.Repeat != chivetable.RepeatNever {
		return false
	}
	r.giveUp(ctx, CodeBroken, "the attempt was given up and may not be repeated", 0)
	return true
}

// afterRefusal goes on elsewhere while that may still help: the endpoint has said that it did not run the request.
func (r *run) afterRefusal(ctx context.Context) bool {
	r.refusals++
	if r.refusals < r.f.o.Rules.Refusals && ctx.Err() == nil && (!r.f.o.Rules.RefusalsCost || r.spend(ctx)) {
		return false
	}
	if r.passSpare() {
		return true
	}
	r.giveUp(ctx, CodeRefused, "the endpoints have no room", retryAfterRefusal)
	return true
}

// afterBreak goes on elsewhere when the request may run again, its attempts are not used up and the budget allows it.
func (r *run) afterBreak(ctx context.Context, c *call, ended ending) bool {
	if ended == endedError {
		r.spare = c.whole
		if !r.f.o.Rules.RetryErrors {
			return r.passSpare()
		}
	}
	if r.quarantinedMeanwhile(ctx) {
		return true
	}
	again := !r.probe && r.request.Route.Repeat != chivetable.RepeatNever && r.sent < r.request.Route.Attempts && ctx.Err() == nil
	if again && r.spend(ctx) {
		return false
	}
	if r.passSpare() {
		return true
	}
	r.giveUp(ctx, CodeBroken, "the endpoint broke off", 0)
	return true
}

// passSpare passes on an endpoint's error where nothing better came.
func (r *run) passSpare() bool {
	if r.spare == nil || r.result.Started {
		return false
	}
	r.spare.pass(r)
	r.result.Outcome = Failed
	return true
}

const (
	// retryAfterRefusal is about the time in which an engine ends one of its requests.
	retryAfterRefusal = 250 * time.Millisecond
	// retryAfterBreak is about the time in which a lost endpoint's entry lapses or its successor is known.
	retryAfterBreak = 500 * time.Millisecond
)

// giveUp gives the outcome of a request without an answer: "not run" only when no byte of any attempt can have arrived.
func (r *run) giveUp(ctx context.Context, code, message string, after time.Duration) {
	r.result.Code, r.result.Message = code, message
	callerGone := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline)
	switch {
	case !r.touched:
		r.result.Outcome, r.result.Status, r.result.RetryAfter = NotRun, http.StatusServiceUnavailable, after
	case ctx.Err() != nil:
		r.result.Outcome, r.result.Status = Unknown, http.StatusGatewayTimeout
	default:
		r.result.Outcome, r.result.Status = Unknown, http.StatusBadGateway
	}
	if callerGone {
		r.result.Code, r.result.Message = CodeCallerGone, "the caller left"
	}
}

// noteStarted calls OnStart the first time an endpoint answers an attempt.
func (r *run) noteStarted() {
	if !r.started {
		r.started = true
		r.f.o.OnStart(r.request)
	}
}

// noteEvent notes how long an event was waited for; the first one's wait is no pause.
func (r *run) noteEvent(waited time.Duration) {
	r.events++
	if r.events > 1 {
		r.result.Pause = max(r.result.Pause, waited)
	}
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

// spend asks the budget for a repeat.
func (r *run) spend(ctx context.Context) bool {
	now := time.Now()
	if r.f.o.Repeats.Spend(now, r.request) {
		return true
	}
	attributes := append([]slog.Attr{chiveevent.Request(r.request.ID), slog.String("pool", r.request.Pool)}, r.f.o.Repeats.Explain(now, r.request)...)
	chiveevent.RepeatDenied.Log(ctx, r.f.o.Logger, attributes...)
	return false
}

func (r *run) note(c *call, ended ending) {
	r.result.Tries = append(r.result.Tries, Try{Endpoint: c.target.ID, Ended: endingNames[ended], Touched: c.touched, Status: c.status, Err: c.err})
}

// logSent writes one line for an attempt that is about to be made, with what decided for its endpoint.
func (r *run) logSent(ctx context.Context, c *call) {
	attributes := []slog.Attr{
		chiveevent.Request(r.request.ID), slog.Int("attempt", len(r.result.Tries)+1), slog.String("pool", r.request.Pool),
		slog.String("endpoint", c.target.ID), slog.String("address", c.target.Address),
		slog.Int64("left_ms", r.left().Milliseconds()), slog.String("after_event", r.last),
	}
	chiveevent.AttemptSent.Log(ctx, r.f.o.Logger, append(attributes, c.place.Why()...)...)
}

// logEnded writes one line for an attempt that was made.
func (r *run) logEnded(ctx context.Context, c *call, ended ending, passedOver time.Duration) {
	attributes := []slog.Attr{
		chiveevent.Request(r.request.ID), slog.Int("attempt", len(r.result.Tries)), slog.String("endpoint", c.target.ID),
		slog.String("ended", endingNames[ended]), slog.Bool("touched", c.touched), slog.Int("status", c.status),
		slog.Int("events", r.result.Events), slog.Int64("took_ms", time.Since(c.began).Milliseconds()),
	}
	if passedOver > 0 {
		attributes = append(attributes, slog.Int64("endpoint_passed_over_ms", passedOver.Milliseconds()))
	}
	if c.err != nil {
		attributes = append(attributes, slog.String("error", c.err.Error()))
	}
	chiveevent.AttemptEnded.Log(ctx, r.f.o.Logger, attributes...)
}
