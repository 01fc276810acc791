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
	// silencePollInterval is how often endpoints are examined for silence.
	silencePollInterval = 250 * time.Millisecond
	// streamSilenceThreshold is how long an endpoint with a stream in progress must be silent before it is checked. It
	// is several times the longest step of an engine.
	streamSilenceThreshold = time.Second
	// responseSilenceThreshold applies instead if all attempts are waiting for their first event, which takes longer
	// under load.
	responseSilenceThreshold = 2 * time.Second
	// silenceCheckInterval is the minimum time between two health checks of a silent endpoint.
	silenceCheckInterval = time.Second
	// stallThreshold is how long the streams of an endpoint that answers health checks must be silent for it to count
	// as stalled.
	stallThreshold = 2 * time.Second
	// implicationWindow is how long after an endpoint's last activity an attempt may have begun to be implicated in its
	// failure. When a later attempt began, the endpoint had already failed.
	implicationWindow = time.Second
	// failedDuration is how long a silent endpoint counts as failed and stays ejected. After that, the next request
	// sent to it shows whether it responds.
	failedDuration = 4 * time.Second
	// maxReadDelay is the longest time that received data may have waited before this node read it.
	maxReadDelay = 500 * time.Millisecond
)

// detectSilence looks for endpoints that are silent on every attempt in flight. If a host loses power or an engine
// hangs, no connection breaks.
func (f *Forwarder) detectSilence(ctx context.Context) {
	lastPoll := time.Now()
	chivekernel.Every(ctx, silencePollInterval, func(now time.Time) {
		// After a pause of this process nothing has been read, so every endpoint would seem silent.
		if now.Sub(lastPoll) > 2*silencePollInterval {
			f.inFlight.resetSilence(now)
		}
		for incarnation, at := range f.inFlight.activeSince(lastPoll) {
			f.options.Quarantine.Alive(now, incarnation, at.Add(-maxReadDelay))
		}
		lastPoll = now
		for _, s := range f.inFlight.takeSilent(now) {
			go f.investigateSilence(s)
		}
	})
}

// investigateSilence checks whether a silent endpoint failed, and reports it for the attempts in flight there if so.
func (f *Forwarder) investigateSilence(s silentEndpoint) {
	result := f.health.Start(s.target.healthEndpoint(f.options.Distances)).Result()
	evidence := result.Evidence
	if f.options.PathLost(s.target.Address) {
		// The connections are silent since the node is cut off from the endpoint.
		return
	}
	switch {
	case result.TimedOut:
		evidence = chivehealth.EvidenceUnreachable
	case result.Alive && s.streaming && s.target.Unique && time.Since(s.since) >= stallThreshold:
		evidence = chivehealth.EvidenceStalled
	}
	if evidence == chivehealth.EvidenceNone || !f.inFlight.markFailed(s.target.Incarnation, s.since) {
		return
	}
	failure := s.target.failure(evidence, s.since)
	chiveevent.EndpointFailed.Log(context.Background(), f.options.Logger, slog.String("endpoint", failure.Endpoint), slog.String("evidence", evidence.String()),
		slog.Int64("silent_ms", time.Since(failure.At).Milliseconds()))
	f.eject(failure.Endpoint)
	f.reportFailure(failure)
	f.options.Quarantine.Failed(time.Now(), failure)
}

// eject keeps new requests of this node from an endpoint that it found silent. Attempts in flight continue, so that a
// late response is still delivered. Other nodes eject the endpoint when they detect the silence themselves.
func (f *Forwarder) eject(incarnation string) {
	attempts, _ := f.inFlight.attemptsAt(incarnation)
	for _, a := range attempts {
		a.place.Eject(time.Now().Add(failedDuration))
	}
}

// PeerFailure handles a failure that another node detected. Attempts in flight on this node may be implicated, and this
// node may have no other way to notice. If the endpoint has responded to this node since the failure, PeerFailure
// returns the time of that response, otherwise the zero time.
func (f *Forwarder) PeerFailure(failure chivehealth.Failure) (alive time.Time) {
	if _, lastActivity := f.inFlight.attemptsAt(failure.Endpoint); lastActivity.Add(-maxReadDelay).After(failure.At) {
		return lastActivity.Add(-maxReadDelay)
	}
	if f.inFlight.markFailed(failure.Endpoint, failure.At.Add(maxReadDelay)) {
		f.reportFailure(failure)
	}
	return time.Time{}
}

// reportFailure reports the failure of an endpoint for the attempts in flight there, and for those that ended before it was
// detected.
func (f *Forwarder) reportFailure(failure chivehealth.Failure) {
	attempts, _ := f.inFlight.attemptsAt(failure.Endpoint)
	for _, a := range attempts {
		if a.startedAt.Before(failure.At.Add(implicationWindow)) {
			f.reportCrash(a, failure.Evidence, failure.At)
		}
	}
	f.reportEnded(failure)
}
