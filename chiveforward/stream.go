package chiveforward

import (
	"net/http"
)

// idStream passes on a stream whose events have rising ids: each once, in order, over all attempts.
type idStream struct {
	run      *run
	response *http.Response
	// from is the last event that the caller had when the attempt began.
	from string
}

// Event passes an event on unless the caller has it from an earlier attempt. Within one attempt nothing is left out, whatever its
// ids: the answer would look whole and not be the endpoint's.
func (s *idStream) Event(data []byte, id string, more bool) (ended bool, err error) {
	r := s.run
	if !after(id, s.from) {
		return false, nil
	}
	r.start(s.response.StatusCode, s.response.Header)
	if err := r.sink.Write(data, !more); err != nil {
		return false, err
	}
	r.result.Events++
	if id != "" {
		r.last = id
	}
	return false, nil
}

// Whole is never known before the end.
func (s *idStream) Whole() bool { return false }
