package chiveforward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivequarantine"
	"chivedrift/chiverequest"
)

// Quarantine keeps requests from endpoints that end under them.
type Quarantine interface {
	// Admit tells what may be done with a request that has come.
	Admit(now time.Time, request *chiverequest.Request) chivequarantine.Admission
	// Held tells whether a request that is under way is held back by now.
	Held(now time.Time, request *chiverequest.Request) chivequarantine.Admission
	// Ended takes that an endpoint ended while it had the request.
	Ended(now time.Time, request *chiverequest.Request, endpoint, failureDomain string)
	// Answered takes that an endpoint answered the request whole.
	Answered(now time.Time, request *chiverequest.Request)
	// Watch has a function called when the request is held back, until stop is.
	Watch(request *chiverequest.Request, held func()) (stop func())
}

// noQuarantine holds no request back.
type noQuarantine struct{}

// Admit lets every request pass.
func (noQuarantine) Admit(time.Time, *chiverequest.Request) chivequarantine.Admission {
	return chivequarantine.Admission{}
}

// Held holds no request back.
func (noQuarantine) Held(time.Time, *chiverequest.Request) chivequarantine.Admission {
	return chivequarantine.Admission{}
}

// Ended does nothing.
func (noQuarantine) Ended(time.Time, *chiverequest.Request, string, string) {}

// Answered does nothing.
func (noQuarantine) Answered(time.Time, *chiverequest.Request) {}

// Watch never calls.
func (noQuarantine) Watch(*chiverequest.Request, func()) (stop func()) { return func() {} }

// errHeld is the cause of an attempt that was broken off since its request is held back.
var errHeld = errors.New("engines end under the request")

// isHeld ends a request that is held back before its first attempt; one that is to be tried gets a single attempt.
func (r *run) isHeld(ctx context.Context) bool {
	admission := r.f.o.Quarantine.Admit(time.Now(), r.request)
	r.trial = admission.Trial
	if admission.Held {
		r.giveUpHeld(ctx, admission)
	}
	return admission.Held
}

// giveUpHeld answers at once: what was sent to no endpoint did not run and will not, of anything else that is not known.
func (r *run) giveUpHeld(ctx context.Context, admission chivequarantine.Admission) {
	r.giveUp(ctx, CodeHeld, "engines ended under this request; it is held back", admission.RetryAfter)
	if r.result.Status == http.StatusBadGateway {
		r.result.RetryAfter = admission.RetryAfter
	}
}

// heldMeanwhile ends a request that came to be held back while it was under way. Its next attempt would end the next endpoint.
func (r *run) heldMeanwhile(ctx context.Context) bool {
	admission := r.f.o.Quarantine.Held(time.Now(), r.request)
	if !admission.Held || r.trial {
		return false
	}
	r.giveUpHeld(ctx, admission)
	return true
}

// noteEnd tells that an endpoint ended while it had the request, unless it was to end.
func (r *run) noteEnd(ctx context.Context, c *call) {
	chiveevent.EndpointEnded.Log(ctx, r.f.o.Logger, chiveevent.Request(r.request.ID), chiveevent.Content(r.request.Content),
		slog.String("route", r.request.Route.Name), slog.String("team", r.request.Team), slog.String("endpoint", c.target.ID),
		slog.Int64("took_ms", time.Since(c.began).Milliseconds()), slog.Int("events", r.result.Events), slog.Bool("leaving", c.place.Leaving()))
	if !c.place.Leaving() {
		r.f.o.Quarantine.Ended(time.Now(), r.request, c.target.Incarnation, c.target.FailureDomain)
	}
}
