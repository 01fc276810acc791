package chiveentry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"chivedrift/chivecaller"
	"chivedrift/chiveevent"
	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
)

// exchange is one request on a caller's connection, from its header until its response has been written out. The handler and
// the connection end in any order.
type exchange struct {
	entry *Entry
	id    string

	mu       sync.Mutex
	route    string
	received time.Time
	result   chiveforward.Result
	handled  bool
	ended    bool
	ending   chivecaller.Ending
}

// newExchange returns the exchange of a request. conn may be nil.
func (e *Entry) newExchange(conn *chivecaller.Conn, id string) *exchange {
	x := &exchange{entry: e, id: id}
	if conn != nil {
		conn.SetID(id)
		conn.OnResponseEnd(x.connectionEnded)
	}
	return x
}

// logUnserved logs that a connection was closed with bytes of another request behind the last one.
func (e *Entry) logUnserved(u chivecaller.Unserved) {
	chiveevent.RequestUnserved.Log(context.Background(), e.options.Logger, append([]slog.Attr{chiveevent.Request(u.ID)}, u.Attributes()...)...)
}

// logClosed logs that the node closes a connection that was open for further requests.
func (e *Entry) logClosed(closed chivecaller.Closed) {
	chiveevent.ConnClosed.Log(context.Background(), e.options.Logger, slog.String("closing", closed.Closing().String()), slog.Int("requests", closed.Requests()))
}

// logStoppedListening logs that the node accepts no more connections.
func (e *Entry) logStoppedListening(unaccepted int) {
	attributes := append([]slog.Attr{slog.Int("unaccepted", unaccepted)}, e.stopTimes(time.Time{}, time.Time{})...)
	chiveevent.StoppedListening.Log(context.Background(), e.options.Logger, attributes...)
}

// setResult sets what is known of the request once the forwarder has returned.
func (x *exchange) setResult(request *chiverequest.Request, result chiveforward.Result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.route, x.received, x.result = request.Route.Name, request.Received, result
}

// connectionEnded records how the response ended on the connection.
func (x *exchange) connectionEnded(ending chivecaller.Ending) {
	x.mu.Lock()
	x.ended, x.ending = true, ending
	x.mu.Unlock()
	x.logIfCut()
}

// handlerEnded records that the handler has ended.
func (x *exchange) handlerEnded() {
	x.mu.Lock()
	x.handled = true
	x.mu.Unlock()
	x.logIfCut()
}

// logIfCut logs, once both have ended, a response that was not written out while the node was stopping.
func (x *exchange) logIfCut() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.handled || !x.ended || x.ending == chivecaller.Written {
		return
	}
	times := x.entry.stopTimes(x.received, x.result.Sent)
	if times == nil {
		return
	}
	if x.ending == chivecaller.Cut {
		x.entry.stops.cut.Add(1)
	}
	attributes := append([]slog.Attr{
		chiveevent.Request(x.id), slog.String("route", x.route), slog.String("ending", x.ending.String()), slog.String("outcome", string(x.result.Outcome)),
		slog.String("code", x.result.Code), slog.Bool("begun", x.result.Started), slog.Int("events", x.result.Events),
	}, times...)
	chiveevent.ResponseCut.Log(context.Background(), x.entry.options.Logger, attributes...)
}

// stopTimes returns log attributes that relate a request to the shutdown, or nil before it begins: when its last byte was read
// and its last attempt was sent, and how much of the shutdown was left when its last byte was read. Zero times are omitted.
func (e *Entry) stopTimes(received, sent time.Time) []slog.Attr {
	began, cut := e.options.Shutdown.Times()
	if began.IsZero() {
		return nil
	}
	attributes := []slog.Attr{slog.Int64("since_stop_ms", time.Since(began).Milliseconds())}
	if !received.IsZero() {
		attributes = append(attributes, slog.Int64("read_after_stop_ms", received.Sub(began).Milliseconds()))
		if !cut.IsZero() {
			attributes = append(attributes, slog.Int64("stop_left_ms", cut.Sub(received).Milliseconds()))
		}
	}
	if !sent.IsZero() {
		attributes = append(attributes, slog.Int64("sent_after_stop_ms", sent.Sub(began).Milliseconds()))
	}
	return attributes
}
