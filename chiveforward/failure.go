package chiveforward

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveevent"
	"chivedrift/chivehealth"
)

const (
	// evidenceWait is how long a request whose attempt broke waits for the health check, so that its next attempt knows of the crash.
	evidenceWait = 25 * time.Millisecond
	// acceptedAfter is how long an attempt without an answer has to have run to count as accepted: an endpoint with too many connections
	// resets a new one sooner, and the requests on its other connections run on.
	acceptedAfter = 20 * time.Millisecond
	// inconclusiveFor is how long an attempt is remembered whose break has no conclusive evidence: the endpoint's successor registers within that.
	inconclusiveFor = 3 * time.Second
	// inconclusiveMost bounds the memory; the oldest are dropped.
	inconclusiveMost = 256
	// recheckAfter is when an endpoint that reset an attempt at once is checked again: an overloaded one has taken connections by then.
	recheckAfter = time.Second
)

// errReplaced is the cause of an attempt that was cancelled since another process has taken the endpoint's place.
var errReplaced = errors.New("another process has taken the endpoint's place")

// brokenAttempt is an attempt whose break has no conclusive evidence yet.
type brokenAttempt struct {
	call *call
	at   time.Time
}

// brokenAttempts are such attempts, the oldest first.
type brokenAttempts struct {
	mu  sync.Mutex
	all []brokenAttempt
}

func (b *brokenAttempts) add(one brokenAttempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.all) >= inconclusiveMost {
		b.all = slices.Delete(b.all, 0, 1)
	}
	b.all = append(b.all, one)
}

// take removes and returns the recent attempts at some endpoints.
func (b *brokenAttempts) take(now time.Time, isMeant func(Target) bool) []brokenAttempt {
	b.sweep(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	var taken []brokenAttempt
	b.all = slices.DeleteFunc(b.all, func(one brokenAttempt) bool {
		if isMeant(one.call.target) {
			taken = append(taken, one)
			return true
		}
		return false
	})
	return taken
}

// sweep drops the attempts that are too old: each keeps a request with its body.
func (b *brokenAttempts) sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = slices.DeleteFunc(b.all, func(one brokenAttempt) bool { return now.Sub(one.at) >= inconclusiveFor })
}

// explainBreak looks for evidence that the endpoint failed under an attempt that broke, and reports it. The next attempt waits for that a short while
// at most.
func (f *Forwarder) explainBreak(ctx context.Context, c *call) {
	brokeAt := time.Now()
	f.inFlight.broke(c.target.Incarnation, brokeAt)
	if c.replaced {
		f.reportCrash(c, chivehealth.EvidenceReplaced, brokeAt)
		return
	}
	check := f.health.Start(c.target.healthTarget())
	judge := func() { f.judgeBreak(c, check, brokeAt) }
	select {
	case <-check.Done():
		judge()
	case <-ctx.Done():
		go judge()
	case <-time.After(evidenceWait):
		go judge()
	}
}

// judgeBreak reports the failure of an endpoint under an attempt that broke, where the evidence is strong enough.
func (f *Forwarder) judgeBreak(c *call, check *chivehealth.Check, brokeAt time.Time) {
	result := check.Result()
	switch evidence := result.Evidence; {
	case result.Alive && !check.Began().Before(brokeAt):
	case evidence == chivehealth.EvidenceRefused:
		f.reportCrash(c, evidence, brokeAt)
	case !c.endpointWasAlive && !c.wasAccepted(brokeAt):
		// The endpoint may have failed before the attempt; where it refuses, such an attempt would not have reached it.
	case evidence == chivehealth.EvidenceReplaced, evidence != chivehealth.EvidenceNone && c.wasAccepted(brokeAt):
		f.reportCrash(c, evidence, brokeAt)
	default:
		f.inconclusive.add(brokenAttempt{c, brokeAt})
		if evidence != chivehealth.EvidenceNone {
			time.AfterFunc(recheckAfter, func() { f.recheck(c, brokeAt) })
		}
	}
}

// recheck looks again at an endpoint that reset an attempt at once and a health check too.
func (f *Forwarder) recheck(c *call, brokeAt time.Time) {
	result := f.health.Start(c.target.healthTarget()).Result()
	isMeant := func(t Target) bool { return t.Incarnation == c.target.Incarnation }
	if result.Alive || result.Evidence == chivehealth.EvidenceNone {
		return
	}
	if _, lastActivity := f.inFlight.at(c.target.Incarnation); lastActivity.After(brokeAt) {
		return
	}
	for _, d := range f.inconclusive.take(time.Now(), isMeant) {
		f.reportCrash(d.call, result.Evidence, d.at)
	}
}

// reportCrash reports that the endpoint of an attempt failed under it, unless it was to end.
func (f *Forwarder) reportCrash(c *call, evidence chivehealth.Evidence, at time.Time) {
	r := c.run
	leaving := c.place.Leaving(at)
	chiveevent.EndpointCrashed.Log(context.Background(), f.o.Logger, chiveevent.Request(r.request.ID), chiveevent.Content(r.request.Content),
		slog.String("route", r.request.Route.Name), slog.String("team", r.request.Team), slog.String("endpoint", c.target.ID),
		slog.String("evidence", evidence.String()), slog.Int64("took_ms", max(at.Sub(c.began), 0).Milliseconds()),
		slog.Bool("answering", c.answering.Load()), slog.Bool("leaving", leaving))
	if !leaving {
		f.o.Quarantine.Crashed(time.Now(), r.request, c.target.failure(evidence, at))
	}
}

// registered holds which endpoint has which address, as the directory has it.
type registered struct {
	mu        sync.Mutex
	addressOf map[string]string
}

func newRegistered() *registered {
	return &registered{addressOf: make(map[string]string)}
}

// apply takes a change of the directory, and returns whether it replaced the process of a target: by a later one under its id, or by another endpoint
// at its address while it is not registered any more.
func (r *registered) apply(diff chivedirectory.Diff) (replaced func(Target) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	incarnations := make(map[string]string, len(diff.Changed))
	for _, e := range diff.Gone {
		delete(r.addressOf, e.ID)
	}
	for _, e := range diff.Changed {
		r.addressOf[e.ID] = e.Address
		incarnations[e.ID] = e.Incarnation().Key()
	}
	return func(t Target) bool {
		if now, changed := incarnations[t.ID]; changed {
			return now != t.Incarnation
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if _, present := r.addressOf[t.ID]; present {
			return false
		}
		return r.isTaken(t.Address)
	}
}

// isTaken reports whether an endpoint is registered at an address. That is asked for the few requests under way at an endpoint that left, so the
// addresses have no index; the caller holds the lock.
func (r *registered) isTaken(address string) bool {
	for _, taken := range r.addressOf {
		if taken == address {
			return true
		}
	}
	return false
}

// ApplyEndpoints takes a change of the directory: attempts at processes that others have replaced are cancelled, since nothing answers them any more.
func (f *Forwarder) ApplyEndpoints(diff chivedirectory.Diff) {
	replaced := f.registered.apply(diff)
	for _, t := range f.inFlight.targets() {
		if !replaced(t) {
			continue
		}
		calls, _ := f.inFlight.at(t.Incarnation)
		for _, c := range calls {
			c.cancel(errReplaced)
		}
	}
	for _, d := range f.inconclusive.take(time.Now(), replaced) {
		f.reportCrash(d.call, chivehealth.EvidenceReplaced, d.at)
	}
}
