package chiveforward

import (
	"context"
	"errors"
	"log/slog"
	"math"
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

	// last is the last event that the caller has.
	last string
	// touched tells that a byte of some attempt may have reached an endpoint that did not prove that it ran nothing.
	touched bool
	// sent counts the attempts that may have run, refusals those that certainly did not.
	sent     int
	refusals int
	exclude  []string
	// spare is an endpoint's error that is passed on when no other endpoint does better.
	spare *whole
}

// attempt makes one attempt and reports whether the request has its outcome.
func (r *run) attempt(ctx context.Context) bool {
	place, err := r.take(ctx)
	if err != nil {
		return r.refuse(ctx, err)
	}
	c := &call{run: r, place: place, began: time.Now()}
	r.logSent(ctx, place)
	ended := c.carry(ctx)
	passedOver := place.Done(time.Now(), endings[ended])
	r.logEnded(ctx, c, ended, passedOver)
	return r.judge(ctx, c, ended)
}

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
)

var endingNames = [...]string{"complete", "endpoint_error", "broken", "unreached", "refused_by_endpoint", "other_endpoint", "given_up"}

var endings = [...]chiveplace.Ending{
	chiveplace.EndedWell, chiveplace.EndedError, chiveplace.EndedBroken, chiveplace.EndedBroken, chiveplace.EndedFull, chiveplace.EndedGone,
	chiveplace.EndedCaller,
}

// take waits a short while for a place.
func (r *run) take(ctx context.Context) (*chiveplace.Place, error) {
	pool := r.f.Pool(r.request.Pool)
	if pool == nil {
		return nil, &chiveplace.RefusedError{Reason: "the pool has no endpoints", RetryAfter: time.Second}
	}
	ask := chiveplace.Ask{Request: r.request.ID, Prompt: r.request.Prompt, Exclude: r.exclude}
	until := time.Now().Add(r.request.Route.Target / queueShare)
	for {
		place, err := pool.Take(time.Now(), ask)
		if err == nil {
			return place, nil
		}
		if time.Now().After(until) || r.result.Started {
			return nil, err
		}
		select {
		case <-time.After(queuePoll):
		case <-ctx.Done():
			return nil, err
		}
	}
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
		r.giveUp(ctx, CodeNoPlace, refused.Reason, refused.RetryAfter)
		return true
	}
	r.giveUp(ctx, CodeNoPlace, err.Error(), time.Second)
	return true
}

// judge decides from an attempt's ending whether the request is over or goes on elsewhere.
func (r *run) judge(ctx context.Context, c *call, ended ending) bool {
	r.exclude = append(r.exclude, c.place.Endpoint().ID)
	switch ended {
	case endedComplete:
		r.result.Outcome = Completed
		return true
	case endedCaller:
		r.touched = r.touched || c.touched
		r.giveUp(ctx, CodeDeadline, "the request's time ran out at the endpoint", 0)
		return true
	case endedUnreached, endedElsewhere:
		r.refusals++
		if r.refusals <= refusalsMost && ctx.Err() == nil {
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

// afterRefusal goes on elsewhere while that may still help: the endpoint has said that it did not run the request.
func (r *run) afterRefusal(ctx context.Context) bool {
	r.refusals++
	if r.refusals < refusalsMost && ctx.Err() == nil && r.spend(ctx) {
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
	}
	again := r.request.Route.Repeat != chivetable.RepeatNever && r.sent < r.request.Route.Attempts && ctx.Err() == nil
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

// spend asks the budget for a repeat.
func (r *run) spend(ctx context.Context) bool {
	if r.f.o.Budget.Spend(time.Now(), r.request.Pool) {
		return true
	}
	state := r.f.o.Budget.State(time.Now(), r.request.Pool)
	chiveevent.RepeatDenied.Log(ctx, r.f.o.Logger, chiveevent.Request(r.request.ID), slog.String("pool", r.request.Pool),
		slog.Int("repeats", state.Repeats), slog.Int("requests", state.Requests), slog.Float64("allowed", state.Allowed), slog.Int("nodes", state.Nodes))
	return false
}

// logSent writes one line for an attempt that is about to be made, with what decided for its endpoint.
func (r *run) logSent(ctx context.Context, place *chiveplace.Place) {
	endpoint := place.Endpoint()
	loss, nextBest, nextLoss := place.Loss()
	r.result.Attempts++
	r.result.Endpoint = endpoint.ID
	attributes := []slog.Attr{
		chiveevent.Request(r.request.ID), slog.Int("attempt", r.result.Attempts), slog.String("pool", r.request.Pool),
		slog.String("endpoint", endpoint.ID), slog.String("address", endpoint.Address), slog.String("because", place.Reason()),
		slog.Int("candidates", place.Candidates()), slog.Float64("cost", rounded(loss)), slog.Int64("tokens_to_read", place.Reads()),
		slog.Int64("left_ms", time.Until(r.request.Deadline).Milliseconds()), slog.String("after_event", r.last),
	}
	if nextBest != "" {
		attributes = append(attributes, slog.String("next_best", nextBest), slog.Float64("next_cost", rounded(nextLoss)))
	}
	chiveevent.AttemptSent.Log(ctx, r.f.o.Logger, attributes...)
}

// logEnded writes one line for an attempt that was made.
func (r *run) logEnded(ctx context.Context, c *call, ended ending, passedOver time.Duration) {
	attributes := []slog.Attr{
		chiveevent.Request(r.request.ID), slog.Int("attempt", r.result.Attempts), slog.String("endpoint", c.place.Endpoint().ID),
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

// rounded keeps log lines short.
func rounded(cost float64) float64 { return math.Round(cost*roundTo) / roundTo }

const roundTo = 1000
