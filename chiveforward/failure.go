package chiveforward

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveevent"
	"chivedrift/chivehealth"
	"chivedrift/chiverequest"
)

const (
	// healthCheckWait is how long a request waits for the health check of an endpoint in the same region after its attempt
	// broke off, so that the next attempt takes a crash into account.
	healthCheckWait = 25 * time.Millisecond
	// checkRoundTrips is the number of round trips of a health check, and of an attempt that is reset as soon as it has
	// connected.
	checkRoundTrips = 2
	// checkWaitDivisor is the ratio of a request's target to the longest time that it waits for the health check of an
	// endpoint in another region.
	checkWaitDivisor = 4
	// acceptedAfter is how long an attempt without a response must have run for an endpoint in the same region to count as
	// having accepted the request. An endpoint with too many connections resets a new one sooner than that, while the requests
	// on its other connections continue.
	acceptedAfter = 20 * time.Millisecond
	// recheckDelay is the delay before a second health check of an endpoint that reset an attempt immediately. An
	// endpoint that was only overloaded accepts connections again by then.
	recheckDelay = time.Second
)

// errReplaced is the cause of an attempt that was cancelled because another process replaced the endpoint's.
var errReplaced = errors.New("endpoint process was replaced by another process")

// investigateBreak checks whether the endpoint of a broken attempt crashed, and reports it if so. It returns after
// f.healthCheckWait at the latest; a check that takes longer continues in the background.
func (f *Forwarder) investigateBreak(ctx context.Context, a *attempt) {
	brokeAt := time.Now()
	f.inFlight.recordBreak(a.target.Incarnation, brokeAt)
	if a.endpointReplaced {
		f.reportBreak(a, chivehealth.EvidenceReplaced, brokeAt)
		return
	}
	check := f.health.Start(a.target.healthEndpoint(f.options.Distances))
	ended := a.withoutContent()
	evaluate := func() { f.evaluateBreak(ended, check, brokeAt) }
	select {
	case <-check.Done():
		evaluate()
	case <-ctx.Done():
		go evaluate()
	case <-time.After(f.healthCheckWait(a)):
		go evaluate()
	}
}

// healthCheckWait returns how long the request of a broken attempt waits for the health check: no longer than for one of an
// endpoint in the same region if the check cannot end within a share of the target. A target of 0 stands for none.
func (f *Forwarder) healthCheckWait(a *attempt) time.Duration {
	distances, domain, target := f.options.Distances, a.target.FailureDomain, a.state.request.Route.Target
	wait, most := distances.WaitForDomain(domain, healthCheckWait, checkRoundTrips), target/checkWaitDivisor
	switch {
	case target == 0 || wait <= most:
		return wait
	case most <= checkRoundTrips*distances.Map().ToDomain(domain):
		return healthCheckWait
	default:
		return max(most, healthCheckWait)
	}
}

// evaluateBreak reports a crash of the endpoint during a broken attempt, without its request's content, if the evidence is strong enough.
func (f *Forwarder) evaluateBreak(a *attempt, check *chivehealth.Check, brokeAt time.Time) {
	result := check.Result()
	switch evidence := result.Evidence; {
	case result.Alive && !check.Began().Before(brokeAt):
	case evidence == chivehealth.EvidenceRefused:
		f.reportBreak(a, evidence, brokeAt)
	case !a.endpointWasAlive && !a.wasAccepted(brokeAt):
		// The endpoint may have failed before the attempt began. With EvidenceRefused this cannot be: an endpoint that
		// had already been refusing connections would not have received the attempt.
		f.keepEnded(endedAttempt{a, brokeAt, endedAtUnprovedEndpoint})
	case evidence == chivehealth.EvidenceReplaced, evidence != chivehealth.EvidenceNone && a.wasAccepted(brokeAt):
		f.reportBreak(a, evidence, brokeAt)
	default:
		f.keepEnded(endedAttempt{a, brokeAt, endedInconclusively})
		if evidence != chivehealth.EvidenceNone {
			time.AfterFunc(recheckDelay, func() { f.recheck(a, brokeAt) })
		}
	}
}

// recheck repeats the health check of an endpoint that immediately reset both an attempt and a first health check.
func (f *Forwarder) recheck(a *attempt, brokeAt time.Time) {
	result := f.health.Start(a.target.healthEndpoint(f.options.Distances)).Result()
	isSameProcess := func(t Target) bool { return t.Incarnation == a.target.Incarnation }
	if result.Alive || result.Evidence == chivehealth.EvidenceNone {
		return
	}
	if _, lastActivity := f.inFlight.attemptsAt(a.target.Incarnation); lastActivity.After(brokeAt) {
		return
	}
	for _, e := range f.ended.takeInconclusive(time.Now(), isSameProcess) {
		f.reportBreak(e.attempt, result.Evidence, e.endedAt)
	}
}

// reportBreak reports that an endpoint crashed under an attempt that broke off here. It crashed earlier by the time that
// the end of the connection took: nodes at different distances then report the same time, by which crashes that have one
// cause are recognized.
func (f *Forwarder) reportBreak(a *attempt, evidence chivehealth.Evidence, brokeAt time.Time) {
	at := brokeAt.Add(-f.options.Distances.FromDomain(a.target.FailureDomain))
	f.reportCrash(a, evidence, at)
	f.reportEnded(a.target.failure(evidence, at))
}

// reportCrash reports that an endpoint failed during an attempt, unless its end was planned.
func (f *Forwarder) reportCrash(a *attempt, evidence chivehealth.Evidence, at time.Time) {
	r := a.state
	leaving := a.place.Leaving(at)
	chiveevent.EndpointCrashed.Log(context.Background(), f.options.Logger, chiveevent.Request(r.request.ID), chiveevent.Content(r.request.Content),
		slog.String("route", r.request.Route.Name), slog.String("team", r.request.Team), slog.String("endpoint", a.target.ID),
		slog.String("evidence", evidence.String()), slog.Int64("took_ms", max(at.Sub(a.startedAt), 0).Milliseconds()),
		slog.Bool("answering", a.streaming.Load()), slog.Bool("leaving", leaving), slog.String("parts", partNames(r.request)))
	if !leaving {
		f.options.Quarantine.Crashed(time.Now(), r.request, a.target.failure(evidence, at), a.begun.Load())
	}
}

// partNames returns the names of the prompt parts that other requests may have, separated by commas.
func partNames(request *chiverequest.Request) string {
	names := make([]string, 0, len(request.Shared))
	for _, p := range request.Shared {
		names = append(names, p.Name)
	}
	return strings.Join(names, ",")
}

// registeredAddresses holds the addresses of the endpoints in the directory, by ID.
type registeredAddresses struct {
	mu   sync.Mutex
	byID map[string]string
}

func newRegisteredAddresses() *registeredAddresses {
	return &registeredAddresses{byID: make(map[string]string)}
}

// apply applies a directory change. The function that it returns reports whether the change replaced a target's
// process: by a later process with the same ID, or by another endpoint at the address of a target that is no longer
// registered.
func (r *registeredAddresses) apply(diff chivedirectory.Diff) (replaced func(Target) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	incarnations := make(map[string]string, len(diff.Changed))
	for _, e := range diff.Gone {
		delete(r.byID, e.ID)
	}
	for _, e := range diff.Changed {
		r.byID[e.ID] = e.Address
		incarnations[e.ID] = e.Incarnation().Key()
	}
	return func(t Target) bool {
		if current, changed := incarnations[t.ID]; changed {
			return current != t.Incarnation
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if _, present := r.byID[t.ID]; present {
			return false
		}
		return r.contains(t.Address)
	}
}

// contains reports whether an endpoint is registered at an address. The caller holds the lock. Addresses have no index,
// because this is only called for the few endpoints that have left while attempts are in flight there.
func (r *registeredAddresses) contains(address string) bool {
	for _, registered := range r.byID {
		if registered == address {
			return true
		}
	}
	return false
}

// ApplyEndpoints applies a directory change. Attempts at processes that were replaced are cancelled, since they will
// never be answered.
func (f *Forwarder) ApplyEndpoints(diff chivedirectory.Diff) {
	replaced := f.registered.apply(diff)
	for _, t := range f.inFlight.activeTargets() {
		if !replaced(t) {
			continue
		}
		attempts, _ := f.inFlight.attemptsAt(t.Incarnation)
		for _, a := range attempts {
			a.cancel(errReplaced)
		}
	}
	for _, e := range f.ended.takeInconclusive(time.Now(), replaced) {
		f.reportBreak(e.attempt, chivehealth.EvidenceReplaced, e.endedAt)
	}
}
