package chiveforward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

// requestState is the state of one request across its attempts.
type requestState struct {
	forwarder *Forwarder
	request   *chiverequest.Request
	sink      Sink
	result    Result

	suspension suspensionTimer
	// lastEventID is the ID of the last event that was passed to the caller.
	lastEventID string
	// mayHaveRun means that some attempt may have reached an endpoint that did not confirm that the request was not run.
	mayHaveRun bool
	// mayHaveArrived means that some attempt may have reached an endpoint, so that further ones are retries.
	mayHaveArrived bool
	// lastOutcome is the outcome of the last attempt.
	lastOutcome attemptOutcome
	// chargedAt is when the retry budget was charged for an attempt that has not arrived since; zero if there is no such
	// charge.
	chargedAt time.Time
	// attemptsUsed counts the attempts that broke off or returned an endpoint's error, which Route.Attempts limits.
	// attemptsNotRun counts the attempts that certainly did not run.
	attemptsUsed   int
	attemptsNotRun int
	exclude        []string
	// refusedAt holds the addresses from which refusals of attempts came. Another one from there may be a copy: it names the
	// same request.
	refusedAt []string
	// events counts the events of all attempts.
	events int
	// isStream means that the part of the response that was passed on consists of events.
	isStream bool
	// lacksPosition means that the last of these has no number, so that no other attempt can go on behind it.
	lacksPosition bool
	// originRecordedAt is when the stream's origin was last recorded; zero before the first event.
	originRecordedAt time.Time
	// begun means that a part of the response was passed on; other goroutines may read it.
	begun atomic.Bool
	// whole holds the response until it is complete; nil if it is passed on as it comes.
	whole *wholeResponse
	// endsWithConnection means that the response that was passed on ends with the caller's connection.
	endsWithConnection bool
	// wasBuffered means that the response was passed on once it was complete.
	wasBuffered bool
	// ranFor is how long the attempts have run.
	ranFor time.Duration
	// startReported means that an endpoint has responded to an attempt and OnStart was called.
	startReported bool
	// probe means that the request is a quarantine probe: although engines crashed while running it, it gets one
	// attempt.
	probe bool
	// errorResponse is an endpoint's error response, which is forwarded if no other endpoint gives a better one.
	errorResponse *bufferedResponse
}

// runAttempt makes one attempt and reports whether the request has ended.
func (r *requestState) runAttempt(ctx context.Context) bool {
	if !r.mayBegin() {
		return r.giveUpStopping(ctx)
	}
	if !r.chargeRepeat(ctx) {
		return r.giveUpAfter(ctx, r.lastOutcome)
	}
	place, err := r.takePlace(ctx)
	if err != nil {
		return r.giveUpWithoutPlace(ctx, err)
	}
	if !r.mayBegin() {
		place.Done(time.Now(), chiveplace.EndedCaller)
		return r.giveUpStopping(ctx)
	}
	if r.remainingTime() <= 0 {
		place.Done(time.Now(), chiveplace.EndedCaller)
		r.giveUp(ctx, CodeDeadline, "the request's time ran out while the machine was suspended", 0)
		return true
	}
	if r.giveUpIfQuarantined(ctx) {
		place.Done(time.Now(), chiveplace.EndedCaller)
		return true
	}
	if !r.chargeRepeat(ctx) {
		place.Done(time.Now(), chiveplace.EndedCaller)
		return r.giveUpAfter(ctx, r.lastOutcome)
	}
	a := &attempt{state: r, place: place, target: place.Target(), startedAt: time.Now()}
	r.result.Sent = a.startedAt
	r.logAttemptSent(ctx, a)
	outcome := a.execute(ctx)
	r.ranFor += time.Since(a.startedAt)
	ejectedFor := place.Done(time.Now(), a.ending(outcome))
	r.recordAttempt(a, outcome)
	r.logAttemptEnded(ctx, a, ejectedFor)
	r.recordArrival(a)
	r.recordRefusal(a, outcome)
	r.lastOutcome = outcome
	if outcome == attemptBroken {
		r.forwarder.investigateBreak(ctx, a)
	}
	if outcome == attemptQuarantined {
		r.forwarder.keepEnded(endedAttempt{a.withoutContent(), time.Now(), endedByQuarantine})
	}
	return r.handleOutcome(ctx, a, outcome)
}

// remainingTime returns the time until the deadline, reduced by the time for which the machine was suspended.
func (r *requestState) remainingTime() time.Duration {
	return time.Until(r.request.Deadline) - r.suspension.suspended()
}

// attemptOutcome is the outcome of one attempt.
type attemptOutcome uint8

const (
	attemptCompleted attemptOutcome = iota
	// attemptEndpointError means that the endpoint responded with an error of its own.
	attemptEndpointError
	attemptBroken
	// attemptUnreached means that no byte of the request was sent.
	attemptUnreached
	attemptRefused
	attemptMisdirected
	// attemptCancelled means that the caller left or the deadline passed.
	attemptCancelled
	// attemptPreempted means that a more urgent request needed the capacity.
	attemptPreempted
	// attemptQuarantined means that the attempt was cancelled because its request was quarantined.
	attemptQuarantined
)

var attemptOutcomeNames = [...]string{"complete", "endpoint_error", "broken", "unreached", "refused_by_endpoint", "other_endpoint", "given_up", "preempted", "quarantined"}

var placeEndings = [...]chiveplace.Ending{
	chiveplace.EndedWell, chiveplace.EndedError, chiveplace.EndedBroken, chiveplace.EndedBroken, chiveplace.EndedFull, chiveplace.EndedGone,
	chiveplace.EndedCaller, chiveplace.EndedCaller, chiveplace.EndedCaller,
}

// ending returns what an outcome says about the endpoint: nothing if the attempt was withdrawn before its first byte.
func (a *attempt) ending(outcome attemptOutcome) chiveplace.Ending {
	if outcome == attemptUnreached && a.connection != nil && a.connection.withdrawn.Load() {
		return chiveplace.EndedCaller
	}
	return placeEndings[outcome]
}

// giveUpWithoutPlace ends a request for which no endpoint was found.
func (r *requestState) giveUpWithoutPlace(ctx context.Context, err error) bool {
	if errors.Is(err, errStopping) {
		return r.giveUpStopping(ctx)
	}
	if r.forwardErrorResponse() {
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

// handleOutcome updates the request after an attempt. It returns true if the request has ended and false if it is to be
// retried on another endpoint.
func (r *requestState) handleOutcome(ctx context.Context, a *attempt, outcome attemptOutcome) bool {
	r.exclude = append(r.exclude, a.target.Incarnation)
	switch outcome {
	case attemptCompleted:
		r.forwarder.options.Quarantine.Answered(time.Now(), r.request)
		r.result.Outcome = Completed
		return true
	case attemptQuarantined:
		r.mayHaveRun = r.mayHaveRun || a.mayHaveRun
		return r.giveUpIfQuarantined(ctx) || r.retryOrGiveUp(ctx, a, outcome)
	case attemptCancelled:
		r.mayHaveRun = r.mayHaveRun || a.mayHaveRun
		r.giveUp(ctx, CodeDeadline, "the request's time ran out at the endpoint", 0)
		return true
	case attemptPreempted:
		return r.afterPreemption(ctx, a)
	case attemptUnreached, attemptMisdirected:
		r.attemptsNotRun++
		if r.attemptsNotRun <= r.forwarder.options.Rules.Refusals && ctx.Err() == nil {
			return false
		}
		return r.giveUpAfter(ctx, outcome)
	case attemptRefused:
		// The endpoint has stated that it did not run the request, so running it elsewhere is safe.
		r.attemptsNotRun++
		if r.attemptsNotRun < r.forwarder.options.Rules.Refusals && ctx.Err() == nil {
			return false
		}
		return r.giveUpAfter(ctx, outcome)
	case attemptEndpointError, attemptBroken:
		r.mayHaveRun = true
		r.attemptsUsed++
		return r.retryOrGiveUp(ctx, a, outcome)
	}
	return true
}

// recordRefusal records the address from which a refusal of an attempt came.
func (r *requestState) recordRefusal(a *attempt, outcome attemptOutcome) {
	if outcome == attemptRefused || outcome == attemptMisdirected {
		r.refusedAt = append(r.refusedAt, a.target.Address)
	}
}

// wasRefusedAt reports whether an earlier attempt was refused by an endpoint at an address.
func (r *requestState) wasRefusedAt(address string) bool {
	return slices.Contains(r.refusedAt, address)
}

// afterPreemption retries the request, or resumes its stream, unless it may have run and must not run twice.
func (r *requestState) afterPreemption(ctx context.Context, a *attempt) bool {
	r.mayHaveRun = r.mayHaveRun || a.mayHaveRun
	r.exclude = r.exclude[:len(r.exclude)-1]
	if !a.mayHaveRun || r.mayGoOn() {
		return false
	}
	r.giveUp(ctx, CodeBroken, "the attempt was given up and may not be repeated", 0)
	return true
}

// retryOrGiveUp retries the request if it is repeatable and has attempts left.
func (r *requestState) retryOrGiveUp(ctx context.Context, a *attempt, outcome attemptOutcome) bool {
	if outcome == attemptEndpointError {
		r.errorResponse = a.buffered
		if !r.forwarder.options.Rules.RetryErrors && r.forwardErrorResponse() {
			return true
		}
	}
	if r.giveUpIfQuarantined(ctx) {
		return true
	}
	if !r.probe && r.mayGoOn() && r.attemptsUsed < r.request.Route.Attempts && ctx.Err() == nil {
		return false
	}
	return r.giveUpAfter(ctx, outcome)
}

// mayGoOn reports whether another endpoint may run the request although one may have begun to: after a part of the response was
// passed on, only a stream that may be resumed goes on, from an event with a number.
func (r *requestState) mayGoOn() bool {
	switch r.request.Route.Repeat {
	case chivetable.RepeatResume:
		return !r.result.Started || r.isStream && !r.lacksPosition
	case chivetable.RepeatAlways:
		return !r.result.Started
	case chivetable.RepeatNever:
	}
	return false
}

// hasPassedOnPart reports whether events or bytes of a response were passed on, so that only the rest of it may follow.
func (r *requestState) hasPassedOnPart() bool {
	return r.result.Started || r.request.Stream != nil && r.events > 0
}

// giveUpAfter ends a request that is not tried again after an attempt with the given outcome.
func (r *requestState) giveUpAfter(ctx context.Context, outcome attemptOutcome) bool {
	switch {
	case outcome == attemptUnreached || outcome == attemptMisdirected:
		r.giveUp(ctx, CodeBroken, "no endpoint could be reached", retryAfterUnreachable)
	case r.forwardErrorResponse():
	case outcome == attemptRefused:
		r.giveUp(ctx, CodeRefused, "the endpoints have no room", retryAfterRefusal)
	default:
		r.giveUp(ctx, CodeBroken, "the endpoint broke off", 0)
	}
	return true
}

// forwardErrorResponse forwards an endpoint's error response if there is one and no part of a response was passed on
// yet.
func (r *requestState) forwardErrorResponse() bool {
	if r.errorResponse == nil || r.result.Started {
		return false
	}
	r.errorResponse.writeTo(r)
	r.result.Outcome = Failed
	return true
}

const (
	// retryAfterRefusal is about the time in which an engine finishes one of its requests.
	retryAfterRefusal = 250 * time.Millisecond
	// retryAfterUnreachable is about the time in which the entry of a lost endpoint expires or its successor registers.
	retryAfterUnreachable = 500 * time.Millisecond
	// maxChargeAge is how long before its attempt a retry may have been charged. The budget keeps a charge for a little
	// longer than the window in which arrivals count; a charge that is older when its attempt is sent would expire first.
	maxChargeAge = 250 * time.Millisecond
)

// giveUp sets the result of a request without a response. The outcome is NotRun only if it is certain for each attempt
// that no byte was sent or that the endpoint did not run the request.
func (r *requestState) giveUp(ctx context.Context, code, message string, retryAfter time.Duration) {
	r.result.Code, r.result.Message = code, message
	cause := context.Cause(ctx)
	if errors.Is(cause, errStopping) {
		r.result.Code, r.result.Message, retryAfter = CodeStopping, stoppingMessage, RetryAfterStopping
	}
	callerGone := cause != nil && !errors.Is(cause, errDeadline) && !errors.Is(cause, errStopping)
	switch {
	case !r.mayHaveRun:
		r.result.Outcome, r.result.Status, r.result.RetryAfter = NotRun, http.StatusServiceUnavailable, retryAfter
	case errors.Is(cause, errDeadline), callerGone:
		r.result.Outcome, r.result.Status = Unknown, http.StatusGatewayTimeout
	default:
		r.result.Outcome, r.result.Status = Unknown, http.StatusBadGateway
	}
	if callerGone {
		r.result.Code, r.result.Message = CodeCallerGone, "the caller left"
	}
}

// reportStart calls OnStart when an endpoint first responds to an attempt.
func (r *requestState) reportStart() {
	if !r.startReported {
		r.startReported = true
		r.forwarder.options.OnStart(r.request)
	}
}

// recordEvent records the time spent waiting for an event. The wait for the first event does not count as a pause.
func (r *requestState) recordEvent(waited time.Duration) {
	r.events++
	if r.events > 1 {
		r.result.Pause = max(r.result.Pause, waited)
	}
}

// startResponse passes on the status and the header, once for all attempts.
func (r *requestState) startResponse(status int, header http.Header, framing chiverequest.Framing) {
	if r.result.Started {
		return
	}
	r.result.Started = true
	r.begun.Store(r.whole == nil)
	r.result.Status = status
	r.result.First = time.Since(r.request.Arrival)
	if !framing.ProvesEnd() {
		r.endsWithConnection = true
		r.sink.EndsWithConnection()
	}
	r.sink.Start(status, header)
}

// chargeRepeat charges the next attempt to the retry budget if it costs something, and reports whether it may be sent.
func (r *requestState) chargeRepeat(ctx context.Context) bool {
	if !r.nextAttemptCosts() || r.isCharged() {
		return true
	}
	if !r.spendRetry(ctx) {
		return false
	}
	r.chargedAt = time.Now()
	return true
}

// isCharged reports whether the next attempt has been charged. Only a budget of arrivals depends on when they arrive.
func (r *requestState) isCharged() bool {
	return !r.chargedAt.IsZero() && (!r.forwarder.options.Rules.ArrivalsCost || time.Since(r.chargedAt) < maxChargeAge)
}

// nextAttemptCosts reports whether the next attempt is charged to the retry budget.
func (r *requestState) nextAttemptCosts() bool {
	if r.forwarder.options.Rules.ArrivalsCost {
		return r.mayHaveArrived
	}
	return r.lastOutcome == attemptEndpointError || r.lastOutcome == attemptBroken || r.lastOutcome == attemptQuarantined
}

// spendRetry charges a retry to the budget and logs when it is denied.
func (r *requestState) spendRetry(ctx context.Context) bool {
	now := time.Now()
	if r.forwarder.options.Repeats.Spend(now, r.request) {
		return true
	}
	attributes := append([]slog.Attr{chiveevent.Request(r.request.ID), slog.String("pool", r.request.Pool)}, r.forwarder.options.Repeats.Explain(now, r.request)...)
	chiveevent.RepeatDenied.Log(ctx, r.forwarder.options.Logger, attributes...)
	return false
}

// isRepeat reports whether an attempt may have reached an endpoint after an earlier one of the request had.
func (r *requestState) isRepeat(a *attempt) bool { return r.mayHaveArrived && a.mayHaveArrived }

// recordArrival counts an attempt that is a retry where it arrives, which uses up its charge.
func (r *requestState) recordArrival(a *attempt) {
	if r.isRepeat(a) {
		r.forwarder.repeated.Add(1)
	}
	if a.mayHaveArrived {
		r.mayHaveArrived, r.chargedAt = true, time.Time{}
	}
}
