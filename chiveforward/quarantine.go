package chiveforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"chivedrift/chivehealth"
	"chivedrift/chivequarantine"
	"chivedrift/chiverequest"
)

// Quarantine keeps requests away from endpoints that crash under them.
type Quarantine interface {
	// Admit returns what may be done with a request that was accepted.
	Admit(now time.Time, request *chiverequest.Request) chivequarantine.Admission
	// Quarantined reports whether a request that is under way is quarantined by now.
	Quarantined(now time.Time, request *chiverequest.Request) chivequarantine.Admission
	// Crashed takes that an endpoint failed while it had the request.
	Crashed(now time.Time, request *chiverequest.Request, failure chivehealth.Failure)
	// Answered takes that an endpoint answered the request completely.
	Answered(now time.Time, request *chiverequest.Request)
	// Alive takes that an endpoint, by its incarnation, answered a request that was sent to it at a time.
	Alive(now time.Time, endpoint string, sent time.Time)
	// Failed broadcasts the failure of an endpoint that other nodes may not notice.
	Failed(now time.Time, failure chivehealth.Failure)
	// Watch has a function called when the request is quarantined, until stop is.
	Watch(request *chiverequest.Request, quarantined func()) (stop func())
}

// noQuarantine quarantines nothing.
type noQuarantine struct{}

// Admit lets every request pass.
func (noQuarantine) Admit(time.Time, *chiverequest.Request) chivequarantine.Admission {
	return chivequarantine.Admission{}
}

// Quarantined lets every request pass.
func (noQuarantine) Quarantined(time.Time, *chiverequest.Request) chivequarantine.Admission {
	return chivequarantine.Admission{}
}

// Crashed does nothing.
func (noQuarantine) Crashed(time.Time, *chiverequest.Request, chivehealth.Failure) {}

// Answered does nothing.
func (noQuarantine) Answered(time.Time, *chiverequest.Request) {}

// Alive does nothing.
func (noQuarantine) Alive(time.Time, string, time.Time) {}

// Failed does nothing.
func (noQuarantine) Failed(time.Time, chivehealth.Failure) {}

// Watch never calls.
func (noQuarantine) Watch(*chiverequest.Request, func()) (stop func()) { return func() {} }

// errQuarantined is the cause of an attempt that was cancelled since its request is quarantined.
var errQuarantined = errors.New("engines crash under the request")

// isQuarantined ends a request that is quarantined before its first attempt; one that is a probe gets a single attempt.
func (r *run) isQuarantined(ctx context.Context) bool {
	admission := r.f.o.Quarantine.Admit(time.Now(), r.request)
	r.probe = admission.Probe
	if admission.Quarantined {
		r.giveUpQuarantined(ctx, admission)
	}
	return admission.Quarantined
}

// giveUpQuarantined answers at once: what was sent to no endpoint did not run and will not, of anything else that is not known.
func (r *run) giveUpQuarantined(ctx context.Context, admission chivequarantine.Admission) {
	r.giveUp(ctx, CodeQuarantined, "engines crashed under this request; it is quarantined", admission.RetryAfter)
	if r.result.Status == http.StatusBadGateway {
		r.result.RetryAfter = admission.RetryAfter
	}
}

// quarantinedMeanwhile ends a request that was quarantined while it was under way. Its next attempt would crash the next endpoint.
func (r *run) quarantinedMeanwhile(ctx context.Context) bool {
	admission := r.f.o.Quarantine.Quarantined(time.Now(), r.request)
	if !admission.Quarantined || r.probe {
		return false
	}
	r.giveUpQuarantined(ctx, admission)
	return true
}
