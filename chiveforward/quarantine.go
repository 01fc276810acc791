package chiveforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"chivedrift/chivehealth"
	"chivedrift/chiveplace"
	"chivedrift/chivequarantine"
	"chivedrift/chiverequest"
)

// Quarantine blocks requests that crash endpoints.
type Quarantine interface {
	// Admit decides whether an accepted request may be sent.
	Admit(now time.Time, request *chiverequest.Request) chivequarantine.Admission
	// Quarantined reports whether a request in progress has been quarantined.
	Quarantined(now time.Time, request *chiverequest.Request) chivequarantine.Admission
	// Permit reports whether a request may be sent now whose parts are suspicious: of such requests, the fleet sends one at
	// a time.
	Permit(ctx context.Context, now time.Time, request *chiverequest.Request) bool
	// Crashed records that an endpoint failed while it processed the request; begun means that it had begun to answer.
	Crashed(now time.Time, request *chiverequest.Request, failure chivehealth.Failure, begun bool)
	// Begun records that an endpoint has begun to answer the request.
	Begun(now time.Time, request *chiverequest.Request)
	// Answered records that an endpoint answered the request completely.
	Answered(now time.Time, request *chiverequest.Request)
	// Alive records that an endpoint, identified by its incarnation, responded to a request that was sent at the given
	// time.
	Alive(now time.Time, endpoint string, sent time.Time)
	// Failed broadcasts the failure of an endpoint that other nodes may not notice.
	Failed(now time.Time, failure chivehealth.Failure)
	// Watch calls a function when the request is quarantined, until stop is called.
	Watch(request *chiverequest.Request, onQuarantine func()) (stop func())
}

// noQuarantine quarantines nothing.
type noQuarantine struct{}

// Admit admits every request.
func (noQuarantine) Admit(time.Time, *chiverequest.Request) chivequarantine.Admission {
	return chivequarantine.Admission{}
}

// Quarantined admits every request.
func (noQuarantine) Quarantined(time.Time, *chiverequest.Request) chivequarantine.Admission {
	return chivequarantine.Admission{}
}

// Permit permits every request.
func (noQuarantine) Permit(context.Context, time.Time, *chiverequest.Request) bool { return true }

// Crashed does nothing.
func (noQuarantine) Crashed(time.Time, *chiverequest.Request, chivehealth.Failure, bool) {}

// Begun does nothing.
func (noQuarantine) Begun(time.Time, *chiverequest.Request) {}

// Answered does nothing.
func (noQuarantine) Answered(time.Time, *chiverequest.Request) {}

// Alive does nothing.
func (noQuarantine) Alive(time.Time, string, time.Time) {}

// Failed does nothing.
func (noQuarantine) Failed(time.Time, chivehealth.Failure) {}

// Watch never calls the function.
func (noQuarantine) Watch(*chiverequest.Request, func()) (stop func()) { return func() {} }

// errQuarantined is the cause of an attempt that was cancelled because its request was quarantined.
var errQuarantined = errors.New("request was quarantined because engines crashed while running it")

// refuseIfQuarantined ends a request that was quarantined before its first attempt. A probe is admitted with a single
// attempt.
func (r *requestState) refuseIfQuarantined(ctx context.Context) bool {
	admission := r.forwarder.options.Quarantine.Admit(time.Now(), r.request)
	r.probe = admission.Probe
	if admission.Quarantined {
		r.giveUpQuarantined(ctx, admission)
	}
	return admission.Quarantined
}

// giveUpQuarantined ends a quarantined request immediately. A request that reached no endpoint is NotRun; otherwise its
// outcome is unknown.
func (r *requestState) giveUpQuarantined(ctx context.Context, admission chivequarantine.Admission) {
	r.giveUp(ctx, CodeQuarantined, "engines crashed under this request; it is quarantined", admission.RetryAfter)
	if r.result.Status == http.StatusBadGateway {
		r.result.RetryAfter = admission.RetryAfter
	}
}

// giveUpIfQuarantined ends a request that was quarantined while in progress. A further attempt could crash another
// endpoint.
func (r *requestState) giveUpIfQuarantined(ctx context.Context) bool {
	admission := r.forwarder.options.Quarantine.Quarantined(time.Now(), r.request)
	if !admission.Quarantined || r.probe {
		return false
	}
	r.giveUpQuarantined(ctx, admission)
	return true
}

// permitPollInterval is how often a request with a suspicious part asks for its permit.
const permitPollInterval = 40 * time.Millisecond

// awaitPermit waits until a request with a suspicious part may be sent, at most as long as a request waits for a place.
func (r *requestState) awaitPermit(ctx context.Context) {
	end := time.Now().Add(chiveplace.Patience(r.request.Route.Target))
	for !r.probe && !r.forwarder.options.Quarantine.Permit(ctx, time.Now(), r.request) && time.Now().Before(end) {
		select {
		case <-time.After(permitPollInterval):
		case <-ctx.Done():
			return
		}
		if r.forwarder.options.Quarantine.Quarantined(time.Now(), r.request).Quarantined {
			return
		}
	}
}
