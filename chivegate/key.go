package chivegate

import (
	"context"
	"errors"
	"net/http"
	"time"

	"chivedrift/chiveclaim"
	"chivedrift/chiveconfig"
	"chivedrift/chivedispatch"
)

const (
	codeKeyTooOld       = "key_too_old"
	codeClaimNotWritten = "claim_not_written"
	codeKeyInUse        = "key_in_use"
	claimRetryAfter     = 2 * time.Second
	headerRepeated      = "Chivedrift-Repeated"
)

// claim claims the idempotency key of a request that must not run more than once; it returns nil for a request that
// needs no claim. answered is true if the claim was not obtained and a response has been written: the recorded outcome
// of the request that holds the key, or an error with outcome unknown or not-run.
func (g *Gate) claim(w http.ResponseWriter, r *http.Request, a *admittedRequest, pool string, class *chiveconfig.Class) (claim *chiveclaim.Claim, answered bool) {
	if class.Repeatable || a.idempotencyKey == "" {
		return nil, false
	}
	ctx, cancel := context.WithDeadline(r.Context(), a.deadline)
	defer cancel()
	window := time.Duration(a.config.Routing.ClaimWindowS) * time.Second
	claim, outcome, err := g.options.Claims.Begin(ctx, chiveclaim.KeyOf(a.team, pool, a.idempotencyKey), a.id, window)
	switch {
	case errors.Is(err, chiveclaim.ErrTooOld):
		g.refuse(w, r, a, &failure{
			status: http.StatusConflict, errorType: errorTypeInvalid, code: codeKeyTooOld, message: "this key is older than the claim window; nothing was run for this request",
			outcome: chivedispatch.NotRun,
		})
	case err != nil:
		g.refuse(w, r, a, &failure{
			status: http.StatusServiceUnavailable, errorType: errorTypeCapacity, code: codeClaimNotWritten, message: "the key could not be claimed; nothing was run",
			outcome: chivedispatch.NotRun, retryAfter: claimRetryAfter,
		})
	case claim != nil && time.Now().After(a.deadline):
		// The process may have been paused after the claim was written. No other node can run the request and its
		// caller has stopped waiting, so the key is released.
		g.options.Claims.Free(claim)
		g.refuse(w, r, a, &failure{
			status: http.StatusGatewayTimeout, errorType: errorTypeCapacity, code: chivedispatch.CodeDeadline, message: "the request's time ran out before it ran",
			outcome: chivedispatch.NotRun, retryAfter: time.Second,
		})
	case claim != nil:
		return claim, false
	default:
		g.replayOutcome(w, r, a, outcome)
	}
	return nil, true
}

// replayOutcome responds to a request whose key another request holds.
func (g *Gate) replayOutcome(w http.ResponseWriter, r *http.Request, a *admittedRequest, outcome *chiveclaim.Outcome) {
	if outcome == nil {
		g.refuse(w, r, a, &failure{
			status: http.StatusConflict, errorType: errorTypeEndpoint, code: codeKeyInUse, message: "another request holds this key and its end is not known",
			outcome: chivedispatch.Unknown, retryAfter: claimRetryAfter,
		})
		return
	}
	requestOutcome := chivedispatch.Outcome(outcome.Word)
	if requestOutcome == chivedispatch.Unknown || outcome.BodyLeftOut {
		g.refuse(w, r, a, &failure{
			status: http.StatusConflict, errorType: errorTypeEndpoint, code: codeKeyInUse, message: "the request with this key ended as " + outcome.Word + "; its answer was not kept",
			outcome: requestOutcome,
		})
		return
	}
	header := w.Header()
	header.Set("Content-Type", outcome.ContentType)
	header.Set(HeaderRequestID, a.id)
	header.Set(HeaderOutcome, outcome.Word)
	header.Set(headerRepeated, "true")
	g.metrics.countOutcome("", requestOutcome)
	w.WriteHeader(outcome.Status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(outcome.Body)
}

// recordOutcome records the outcome of a request that holds a claim; if the request did not run, it releases the key.
func (g *Gate) recordOutcome(claim *chiveclaim.Claim, result chivedispatch.Result, contentType string) {
	if result.Outcome == chivedispatch.NotRun {
		g.options.Claims.Free(claim)
		return
	}
	g.options.Claims.Finish(claim, chiveclaim.Outcome{
		Word: string(result.Outcome), Status: result.Status, ContentType: contentType, Body: result.Body, BodyLeftOut: contentType == "",
	})
}
