package chiveentry

import (
	"net/http"
	"sync/atomic"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chivememory"
	"chivedrift/chiverequest"
)

// StopCounts are the numbers of requests that a planned stop affected.
type StopCounts struct {
	// Refused requests were not run, Unanswered ones were answered before the cut although an endpoint may have run them.
	Refused    int64 `json:"refused"`
	Unanswered int64 `json:"unanswered"`
	// Cut requests are those whose connection the stop closed before the response was written out.
	Cut int64 `json:"cut"`
}

type stopCounters struct {
	refused    atomic.Int64
	unanswered atomic.Int64
	cut        atomic.Int64
}

// count counts a request that ended without a response of an endpoint.
func (c *stopCounters) count(code string, outcome chiveforward.Outcome) {
	switch {
	case code != chiveforward.CodeStopping:
	case outcome == chiveforward.NotRun:
		c.refused.Add(1)
	default:
		c.unanswered.Add(1)
	}
}

// StopCounts returns the numbers of requests that a planned stop has affected.
func (e *Entry) StopCounts() StopCounts {
	return StopCounts{Refused: e.stops.refused.Load(), Unanswered: e.stops.unanswered.Load(), Cut: e.stops.cut.Load()}
}

// readBody reads the body of a request as long as the request could still end before the node stops, and refuses it as soon as it
// could not.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, request *chiverequest.Request, limit int64, memory *chivememory.Reservation) ([]byte, error) {
	if !e.options.Shutdown.MayBegin(time.Now(), request, 0) {
		return nil, newStoppingRefusal()
	}
	tooLate, controller := atomic.Bool{}, http.NewResponseController(w)
	stop := e.options.Shutdown.OnTooLate(request, func() {
		tooLate.Store(true)
		// Without deadlines, as for a handler without a listener, the timeout of the body still applies.
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	body, err := ReadBody(w, r, limit, memory)
	stop()
	if tooLate.Load() {
		return nil, newStoppingRefusal()
	}
	return body, err
}

// newStoppingRefusal returns the refusal of a request that the node would cut before it could end.
func newStoppingRefusal() *FailureError {
	f := newRefusal(http.StatusServiceUnavailable, chiveforward.CodeStopping, "this node is stopping and could not complete the request")
	f.RetryAfter = chiveforward.RetryAfterStopping
	return f
}

// unreadBodyTime returns for how long a stopping node reads the body of a request that it has answered, so that the connection ends in
// order before the cut.
func (e *Entry) unreadBodyTime() time.Duration {
	_, cut := e.options.Shutdown.Times()
	if cut.IsZero() {
		return unreadBodyTimeout
	}
	return max(0, min(unreadBodyTimeout, time.Until(cut)/unreadBodyDivisor))
}
