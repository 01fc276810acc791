package chiveforward

import (
	"context"
	"errors"
	"time"

	"chivedrift/chiveduration"
)

// RetryAfterStopping is short because another node can serve the request at once.
const RetryAfterStopping = 50 * time.Millisecond

const stoppingMessage = "this node is stopping and could not complete the request"

// errStopping is the cancellation cause of a request that the node would cut before it could end.
var errStopping = errors.New("node is stopping")

// mayBegin reports whether an attempt that begins now ends before the node stops.
func (r *requestState) mayBegin() bool {
	ranFor := time.Duration(0)
	if r.hasPassedOnPart() {
		ranFor = r.ranFor
	}
	return r.forwarder.options.Shutdown.MayBegin(time.Now(), r.request, ranFor)
}

// takePlace waits for an endpoint as long as an attempt could end before the node stops; otherwise the error is errStopping.
func (r *requestState) takePlace(parent context.Context) (Place, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	if !r.hasPassedOnPart() {
		defer r.forwarder.options.Shutdown.OnTooLate(r.request, func() { cancel(errStopping) })()
	}
	r.awaitPermit(ctx)
	place, err := r.forwarder.options.Places.Take(ctx, r.request, r.exclude)
	if err != nil && errors.Is(context.Cause(ctx), errStopping) {
		return nil, errStopping
	}
	return place, err
}

// untilLastAnswers returns a context that is cancelled before the node cuts the request, early enough for an answer, unless the
// response has begun by then. The response to a late request begins once it is complete.
func (r *requestState) untilLastAnswers(parent context.Context) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	r.holdIfLate(time.Now(), func() { cancel(errStopping) })
	stopWatch := r.forwarder.options.Shutdown.OnLastAnswers(func() {
		if !r.begun.Load() {
			cancel(errStopping)
		}
	})
	return ctx, func() {
		stopWatch()
		cancel(nil)
	}
}

// giveUpStopping ends a request of which no attempt may begin any more.
func (r *requestState) giveUpStopping(ctx context.Context) bool {
	if !r.forwardErrorResponse() {
		r.giveUp(ctx, CodeStopping, stoppingMessage, RetryAfterStopping)
	}
	return true
}

// recordDuration records how long the request ran if it shows how long such requests last: it was completed from its beginning,
// or ran until its deadline.
func (r *requestState) recordDuration(ctx context.Context) {
	isWhole := r.result.Outcome == Completed && r.request.LastEvent == ""
	if isWhole || r.ranFor > 0 && errors.Is(context.Cause(ctx), errDeadline) {
		r.forwarder.options.Shutdown.Record(r.request, chiveduration.Ran{Took: r.ranFor, Events: r.result.Events, Streamed: r.result.Started && !r.wasBuffered})
	}
}
