package chiveforward

import (
	"net/http"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chivetable"
)

// originRecordInterval is how often the origin of a long stream is recorded again, so that its records are kept.
const originRecordInterval = 2 * time.Minute

// recordOrigin records where the stream began, before its first event is passed on. From then on only endpoints of the
// same software version may go on with it: another version's events would not fit.
func (r *requestState) recordOrigin(now time.Time, target Target) {
	if r.forwarder.options.Streams == nil || (!r.originRecordedAt.IsZero() && now.Sub(r.originRecordedAt) < originRecordInterval) {
		return
	}
	r.originRecordedAt = now
	if r.request.Origin == nil {
		origin := chiverequest.NewOrigin(r.request.Pool, target.Version, target.Incarnation)
		r.request.Origin = &origin
	}
	attempt := r.request.ID
	if r.request.Resumes != "" {
		attempt = r.request.Resumes
	}
	if attempt != "" && r.request.Route.Repeat == chivetable.RepeatResume {
		r.forwarder.options.Streams.Begin(r.request.Team, attempt, *r.request.Origin)
	}
}

// recordPosition records where another attempt would have to go on once an event has been passed on.
func (r *requestState) recordPosition(e event) {
	if r.request.Stream != nil || !e.hasFields {
		return
	}
	isNumbered := positionOf(e.id).known
	if isNumbered {
		r.lastEventID = e.id
	}
	r.lacksPosition = !isNumbered
}

// idStream forwards the events of a stream to the caller.
type idStream struct {
	state    *requestState
	response *http.Response
	framing  chiverequest.Framing
}

// Event passes an event on.
func (s *idStream) Event(data []byte, _ string, more bool) (done bool, err error) {
	r := s.state
	r.startResponse(s.response.StatusCode, withoutLength(s.response.Header), s.framing)
	r.isStream = true
	if err := r.sink.Write(data, !more); err != nil {
		return false, err
	}
	r.result.Events++
	return false, nil
}

// withoutLength returns a header without the length of the body: another endpoint may go on with the stream, and its events
// need not have the same number of bytes.
func withoutLength(header http.Header) http.Header {
	if header.Get("Content-Length") == "" {
		return header
	}
	header = header.Clone()
	header.Del("Content-Length")
	return header
}

// Whole returns false, because a stream of this kind has no event that marks its end.
func (s *idStream) Whole() bool { return false }
