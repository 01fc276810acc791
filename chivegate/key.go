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
	codeKeyTooOld  = "key_too_old"
	codeNotClaimed = "claim_not_written"
	codeKeyInUse   = "key_in_use"
	retryClaim     = 2 * time.Second
	repeatedHeader = "Chivedrift-Repeated"
)

// claim holds a request that may not be repeated and carries a key until it owns the key; settled tells that the
// request was answered instead: from the owner's outcome, as unknown, or as not run.
func (g *Gate) claim(w http.ResponseWriter, r *http.Request, a *admission, pool string, class *chiveconfig.Class) (held *chiveclaim.Claim, settled bool) {
	if class.Repeatable || a.key == "" {
		return nil, false
	}
	ctx, cancel := context.WithDeadline(r.Context(), a.deadline)
	defer cancel()
	window := time.Duration(a.config.Routing.ClaimWindowS) * time.Second
	held, outcome, err := g.o.Claims.Begin(ctx, chiveclaim.KeyOf(a.team, pool, a.key), a.id, window)
	switch {
	case errors.Is(err, chiveclaim.ErrTooOld):
		g.refuse(w, r, a, &failure{
			status: http.StatusConflict, kind: kindInvalid, code: codeKeyTooOld, message: "this key is older than the claim window; nothing was run for this request",
			outcome: chivedispatch.NotRun,
		})
	case err != nil:
		g.refuse(w, r, a, &failure{
			status: http.StatusServiceUnavailable, kind: kindCapacity, code: codeNotClaimed, message: "the key could not be claimed; nothing was run",
			outcome: chivedispatch.NotRun, after: retryClaim,
		})
	case held != nil && time.Now().After(a.deadline):
		// The holder may have been paused between the claim and here. Nobody else can run the request, and its
		// caller no longer waits: it gives the key back and says so.
		g.o.Claims.Free(held)
		g.refuse(w, r, a, &failure{
			status: http.StatusGatewayTimeout, kind: kindCapacity, code: chivedispatch.CodeDeadline, message: "the request's time ran out before it ran",
			outcome: chivedispatch.NotRun, after: time.Second,
		})
	case held != nil:
		return held, false
	default:
		g.answerRepeated(w, r, a, outcome)
	}
	return nil, true
}

// answerRepeated answers a request whose key another request owns.
func (g *Gate) answerRepeated(w http.ResponseWriter, r *http.Request, a *admission, outcome *chiveclaim.Outcome) {
	if outcome == nil {
		g.refuse(w, r, a, &failure{
			status: http.StatusConflict, kind: kindEndpoint, code: codeKeyInUse, message: "another request holds this key and its end is not known",
			outcome: chivedispatch.Unknown, after: retryClaim,
		})
		return
	}
	word := chivedispatch.Outcome(outcome.Word)
	if word == chivedispatch.Unknown || outcome.BodyLeftOut {
		g.refuse(w, r, a, &failure{
			status: http.StatusConflict, kind: kindEndpoint, code: codeKeyInUse, message: "the request with this key ended as " + outcome.Word + "; its answer was not kept",
			outcome: word,
		})
		return
	}
	header := w.Header()
	header.Set("Content-Type", outcome.ContentType)
	header.Set(HeaderRequestID, a.id)
	header.Set(HeaderOutcome, outcome.Word)
	header.Set(repeatedHeader, "true")
	g.metrics.outcome("", word)
	w.WriteHeader(outcome.Status)
	// When this fails the caller is gone, and nobody is left to tell.
	_, _ = w.Write(outcome.Body)
}

// settle records a claimed request's end; only "not-run" frees the key.
func (g *Gate) settle(claim *chiveclaim.Claim, result chivedispatch.Result, contentType string) {
	if result.Outcome == chivedispatch.NotRun {
		g.o.Claims.Free(claim)
		return
	}
	g.o.Claims.Finish(claim, chiveclaim.Outcome{
		Word: string(result.Outcome), Status: result.Status, ContentType: contentType, Body: result.Body, BodyLeftOut: contentType == "",
	})
}
