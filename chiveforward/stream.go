package chiveforward

import (
	"net/http"
)

// idStream forwards a stream whose events have increasing IDs. Each event is passed on once and in order, across all
// attempts.
type idStream struct {
	state    *requestState
	response *http.Response
	// resumedAfter is the ID of the last event that had been passed on when the attempt began.
	resumedAfter string
}

// Event passes an event on unless an earlier attempt already did. Events of the current attempt are never dropped,
// whatever their IDs: the response would look complete but differ from the one that the endpoint sent.
func (s *idStream) Event(data []byte, id string, more bool) (done bool, err error) {
	r := s.state
	if !isAfter(id, s.resumedAfter) {
		return false, nil
	}
	r.startResponse(s.response.StatusCode, s.response.Header)
	if err := r.sink.Write(data, !more); err != nil {
		return false, err
	}
	r.result.Events++
	if id != "" {
		r.lastEventID = id
	}
	return false, nil
}

// Whole returns false, because a stream of this kind has no event that marks its end.
func (s *idStream) Whole() bool { return false }
