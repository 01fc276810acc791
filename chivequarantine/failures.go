package chivequarantine

import (
	"context"
	"log/slog"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivehealth"
	"chivedrift/chivewire"
)

// failureRetention is how long a broadcast failure is remembered so that it is forwarded only once. It exceeds the time
// that a broadcast takes to cross the fleet.
const failureRetention = 10 * time.Second

// recentFailures maps endpoints to the time at which this node first saw their failure broadcast. Many nodes detect the
// same failure at about the same time; only the first broadcast is forwarded.
type recentFailures map[string]time.Time

// add records a failed endpoint and reports whether it was not recorded yet.
func (f recentFailures) add(now time.Time, endpoint string) bool {
	if _, seen := f[endpoint]; seen {
		return false
	}
	f[endpoint] = now
	return true
}

func (f recentFailures) expire(now time.Time) {
	for endpoint, at := range f {
		if now.Sub(at) >= failureRetention {
			delete(f, endpoint)
		}
	}
}

// OnFailure sets the callback for failures that other nodes broadcast. The callback returns when this node last saw the
// endpoint alive after the failure, or the zero time. It must not block, and must be set before Start.
func (s *Service) OnFailure(handle func(chivehealth.Failure) (alive time.Time)) { s.onFailure = handle }

// OnCrash sets the callback for crashes that other nodes report. It must not block, and must be set before Start.
func (s *Service) OnCrash(handle func(chivehealth.Failure)) { s.onCrash = handle }

// Failed broadcasts a failure that this node detected and that other nodes may not notice by themselves. Each node then
// reports its own requests on that endpoint.
func (s *Service) Failed(now time.Time, failure chivehealth.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failures.add(now, failure.Endpoint) {
		return
	}
	s.enqueueFailure(FailureReport{
		Endpoint: failure.Endpoint, FailureDomain: failure.FailureDomain, Evidence: failure.Evidence, Reporter: s.options.Mesh.Self(),
		AgeMs: now.Sub(failure.At).Milliseconds(),
	})
}

// receiveFailure handles a failure that another node detected, and forwards it once.
func (s *Service) receiveFailure(now time.Time, from string, report FailureReport) {
	s.mu.Lock()
	isNew := s.failures.add(now, report.Endpoint)
	if isNew {
		s.enqueueFailure(report)
	}
	s.mu.Unlock()
	if !isNew {
		return
	}
	failure := report.failure(now)
	chiveevent.FailureReceived.Log(context.Background(), s.options.Logger, slog.String("endpoint", failure.Endpoint),
		slog.String("evidence", failure.Evidence.String()), slog.String("reporter", report.Reporter), slog.String("from", from))
	if alive := s.onFailure(failure); !alive.IsZero() {
		s.send(report.Reporter, chivewire.KindEndpointAlive, AliveUpdate{[]AliveReport{{failure.Endpoint, now.Sub(alive).Milliseconds()}}})
	}
}
