package chiveforward

import (
	"net/http"
	"time"
)

// wholeResponse holds a response until it is complete, so that an error can take its place until then.
type wholeResponse struct {
	sink Sink
	held reservation
	// giveUp is called if there is no memory for the rest.
	giveUp             func()
	status             int
	header             http.Header
	body               []byte
	endsWithConnection bool
}

// EndsWithConnection holds that the body ends with the connection.
func (w *wholeResponse) EndsWithConnection() { w.endsWithConnection = true }

// Start holds the status and the header.
func (w *wholeResponse) Start(status int, header http.Header) { w.status, w.header = status, header }

// Write holds a piece of the body.
func (w *wholeResponse) Write(data []byte, _ bool) error {
	if !w.held.reserve(len(w.body) + len(data)) {
		w.giveUp()
		return errHeldBytes
	}
	w.body = append(w.body, data...)
	return nil
}

// passOn passes the response on.
func (w *wholeResponse) passOn() {
	if w.endsWithConnection {
		w.sink.EndsWithConnection()
	}
	w.sink.Start(w.status, w.header)
	// A write error means that the caller has disconnected; there is nobody to report it to.
	_ = w.sink.Write(w.body, false)
}

// holdIfLate makes the response be passed on once it is complete if the request comes late in a stop that could cut it. giveUp ends the
// request.
func (r *requestState) holdIfLate(now time.Time, giveUp func()) {
	if r.forwarder.options.Shutdown.mayCut(now, r.request) {
		r.whole = &wholeResponse{sink: r.sink, held: reservation{total: &r.forwarder.held}, giveUp: giveUp}
		r.sink = r.whole
	}
}

// passOnWhole passes on a response that was held, unless it is not complete.
func (r *requestState) passOnWhole() {
	if r.whole == nil || !r.result.Started {
		return
	}
	defer r.whole.held.release()
	if r.result.Outcome != Completed && r.result.Outcome != Failed {
		r.result.Started = false
		return
	}
	r.result.First = time.Since(r.request.Arrival)
	r.whole.passOn()
}
