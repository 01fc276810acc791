package chiveforward

import (
	"context"
	"log/slog"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivehealth"
	"chivedrift/chivekernel"
)

const (
	// silencePoll is how often endpoints are looked at for silence.
	silencePoll = 250 * time.Millisecond
	// silentAfter is how long an endpoint with a stream under way has to be silent to be checked: several times the longest step of an engine.
	silentAfter = time.Second
	// unansweredAfter is the same where all attempts wait for their first event, which under load takes longer.
	unansweredAfter = 2 * time.Second
	// silenceCheckEvery is the time between two checks of a silent endpoint.
	silenceCheckEvery = time.Second
	// stalledAfter is how long the running streams of an endpoint that answers health checks have to stand still for it to count as stalled.
	stalledAfter = 2 * time.Second
	// implicatedWithin is how long after an endpoint's last activity an attempt may have begun to count as one under which it failed: one that
	// began later found it failed already.
	implicatedWithin = time.Second
	// failedFor is how long a silent endpoint counts as failed before it is checked again, and how long it is ejected: a request that is sent then
	// reports whether it answers.
	failedFor = 4 * time.Second
	// readDelay is how long what an endpoint sent may have waited to be read here.
	readDelay = 500 * time.Millisecond
)

// watchSilence looks for endpoints that have gone silent on every attempt under way: where a host lost power or an engine hangs, no connection breaks.
func (f *Forwarder) watchSilence(ctx context.Context) {
	last := time.Now()
	chivekernel.Every(ctx, silencePoll, func(now time.Time) {
		// A node that stood still has read nothing meanwhile, which looks as if all endpoints had been silent.
		if now.Sub(last) > 2*silencePoll {
			f.inFlight.resetSilence(now)
		}
		for incarnation, at := range f.inFlight.takeAlive(last) {
			f.o.Quarantine.Alive(now, incarnation, at.Add(-readDelay))
		}
		last = now
		for _, s := range f.inFlight.takeSilent(now) {
			go f.explainSilence(s)
		}
	})
}

// explainSilence looks for evidence that a silent endpoint failed, and reports it for the attempts that are under way there.
func (f *Forwarder) explainSilence(s silence) {
	result := f.health.Start(s.target.healthTarget()).Result()
	evidence := result.Evidence
	switch {
	case result.TimedOut:
		evidence = chivehealth.EvidenceUnreachable
	case result.Alive && s.streaming && s.target.Unique && time.Since(s.since) >= stalledAfter:
		evidence = chivehealth.EvidenceStalled
	}
	if evidence == chivehealth.EvidenceNone || !f.inFlight.markFailed(s.target.Incarnation, s.since) {
		return
	}
	failure := s.target.failure(evidence, s.since)
	chiveevent.EndpointFailed.Log(context.Background(), f.o.Logger, slog.String("endpoint", failure.Endpoint), slog.String("evidence", evidence.String()),
		slog.Int64("silent_ms", time.Since(failure.At).Milliseconds()))
	f.eject(failure.Endpoint)
	f.reportFailure(failure)
	f.o.Quarantine.Failed(time.Now(), failure)
}

// eject keeps new requests of this node from an endpoint that it found silent. Its attempts under way go on, so that an answer which comes late is
// delivered; other nodes eject it when they find the same.
func (f *Forwarder) eject(incarnation string) {
	calls, _ := f.inFlight.at(incarnation)
	for _, c := range calls {
		c.place.Eject(time.Now().Add(failedFor))
	}
}

// PeerFailure takes a failure that another node found. Attempts that are under way here may be what the endpoint failed under; nothing else may
// show that to this node. Where the endpoint has answered here since, it returns when that was; else the zero time.
func (f *Forwarder) PeerFailure(failure chivehealth.Failure) (alive time.Time) {
	if _, lastActivity := f.inFlight.at(failure.Endpoint); lastActivity.Add(-readDelay).After(failure.At) {
		return lastActivity.Add(-readDelay)
	}
	if f.inFlight.markFailed(failure.Endpoint, failure.At.Add(readDelay)) {
		f.reportFailure(failure)
	}
	return time.Time{}
}

// reportFailure reports the failure of an endpoint for the attempts that are under way there.
func (f *Forwarder) reportFailure(failure chivehealth.Failure) {
	calls, _ := f.inFlight.at(failure.Endpoint)
	for _, c := range calls {
		if c.began.Before(failure.At.Add(implicatedWithin)) {
			f.reportCrash(c, failure.Evidence, failure.At)
		}
	}
}
