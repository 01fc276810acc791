package chiveentry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chiveforward"
	"chivedrift/chivekernel"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
	"chivedrift/chivewire"

	"github.com/uber-go/tally/v4"
)

// ServiceName is the name under which the entry registers.
const ServiceName = "entry"

const (
	// headerTime bounds how long a header may take to arrive where the operator sets no bound or a longer one.
	headerTime = 10 * time.Second
	// idleTime is how long an idle connection is kept where the operator sets no bound or a longer one: longer than any caller's
	// pool keeps it, so that the caller closes first and no request crosses the closing.
	idleTime = 2 * time.Minute
	// lateEvery is how often the operator's bounds on waiting connections, of some seconds, are looked at.
	lateEvery = 500 * time.Millisecond
	// headerMost bounds a header before the configuration's own limit is looked at.
	headerMost = 1 << 20
	// stopPoll is how often a stop looks whether all requests are done.
	stopPoll = 20 * time.Millisecond
	// comeBack is when a caller should come back to a node that has no configuration yet: another node has one.
	comeBack = 200 * time.Millisecond
	// comeBackWhenFull is when a caller should come back to a node whose memory is used up: some requests have ended by then.
	comeBackWhenFull = time.Second
	// comeBackWhenReconfigured is when a caller should come back with a request that only another configuration would let run.
	comeBackWhenReconfigured = 10 * time.Second
)

// Forwarder carries an accepted request through to its outcome.
type Forwarder interface {
	// Run carries a request through to its outcome.
	Run(ctx context.Context, request *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result
}

// Options are the parts an entry is made of.
type Options struct {
	Address   string
	Network   chivewire.Network
	Dialect   chiverequest.CallerDialect
	Forwarder Forwarder
	// Full tells that the node has no memory for another request; nil means never.
	Full   func() bool
	Scope  tally.Scope
	Logger *slog.Logger
}

// Entry is the callers' side of a node.
type Entry struct {
	o        Options
	server   *chivewire.HTTPServer
	table    atomic.Pointer[chivetable.Table]
	metrics  *metrics
	conns    *callerConns
	leaving  atomic.Bool
	inFlight atomic.Int64
	accepted atomic.Int64
	duties   chivekernel.Duties
}

// New returns an entry that does not listen yet.
func New(o Options) *Entry {
	e := &Entry{o: o, metrics: newMetrics(o.Scope), conns: newCallerConns()}
	e.server = chivewire.NewHTTPServer(&http.Server{
		Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerMost,
		ErrorLog:    slog.NewLogLogger(o.Logger.Handler(), slog.LevelDebug),
		ConnContext: e.conns.enter, ConnState: e.conns.changed,
	})
	return e
}

// SetTable takes a configuration that came into force.
func (e *Entry) SetTable(table *chivetable.Table) { e.table.Store(table) }

// Handler returns what serves callers, for use without a listener.
func (e *Entry) Handler() http.Handler { return e.server.Handler() }

// Start listens for callers.
func (e *Entry) Start(ctx context.Context) error {
	if err := e.server.Start(e.o.Network, e.o.Address); err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	e.duties.Begin(ctx, e.boundWaiting)
	return nil
}

// boundWaiting holds callers' connections to the bounds of the configuration in force.
func (e *Entry) boundWaiting(ctx context.Context) {
	chivekernel.Every(ctx, lateEvery, func(now time.Time) {
		if table := e.table.Load(); table != nil {
			e.conns.closeLate(now, table.Limits())
		}
	})
}

// Leave asks callers, with each answer, to take their connection elsewhere.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Stop takes no new connections and waits for the requests in flight until the context ends, then breaks off what is left.
func (e *Entry) Stop(ctx context.Context) error {
	e.Leave()
	e.server.StopListening()
	// Idle connections are closed too: on those no answer asks the caller to leave, and a request that came on one near the
	// end would be cut.
	e.conns.closeIdle()
	for e.inFlight.Load() > 0 && ctx.Err() == nil {
		select {
		case <-time.After(stopPoll):
		case <-ctx.Done():
		}
	}
	err := e.server.Close()
	e.duties.End()
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	return nil
}

// InFlight returns how many requests are being served.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Dump returns how much is being served.
func (e *Entry) Dump() any {
	return struct {
		InFlight int64 `json:"in_flight"`
		Accepted int64 `json:"accepted"`
		Leaving  bool  `json:"leaving"`
	}{e.inFlight.Load(), e.accepted.Load(), e.leaving.Load()}
}

// serve takes one request from its checks to its outcome.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if conn := connOf(r); conn != nil && !conn.serve() {
		// The stop closed the connection while this request was on its way: it is not passed on, and the caller sees that.
		panic(http.ErrAbortHandler)
	}
	e.accepted.Add(1)
	asked, err := e.o.Dialect.Read(r.Header)
	if err != nil {
		e.refuse(w, r, asked, nil, refusal(http.StatusBadRequest, "invalid_header", err.Error()))
		return
	}
	request, err := e.admit(w, r, asked)
	if err != nil {
		e.refuse(w, r, asked, request, err)
		return
	}
	e.carry(w, r, request)
}

// admit checks a request against the configuration in force.
func (e *Entry) admit(w http.ResponseWriter, r *http.Request, asked chiverequest.Asked) (*chiverequest.Request, error) {
	if e.o.Full != nil && e.o.Full() {
		f := refusal(http.StatusServiceUnavailable, "no_memory", "this node has no memory for another request")
		f.RetryAfter = comeBackWhenFull
		return nil, f
	}
	table := e.table.Load()
	if table == nil {
		f := refusal(http.StatusServiceUnavailable, "no_configuration", "this node has no configuration yet")
		f.RetryAfter = comeBack
		return nil, f
	}
	now := time.Now()
	target := requestTarget(r)
	path, _, _ := strings.Cut(target, "?")
	request := &chiverequest.Request{ID: asked.ID, TableVersion: table.Version(), Arrival: now}
	route, ok := table.Match(r.Host, path)
	if !ok {
		return request, refusal(http.StatusNotFound, "no_route", "no route for this host and path")
	}
	request.Route = route
	team, err := teamOf(table, route, asked.Key)
	if err != nil {
		return request, err
	}
	if err := reside(request, team); err != nil {
		return request, err
	}
	if err := CheckHeader(r.Header, table.Limits().HeaderBytes); err != nil {
		return request, err
	}
	if request.Body, err = ReadBody(w, r, table.Limits().BodyBytes); err != nil {
		return request, err
	}
	request.Deadline = now.Add(waitOf(route, asked))
	rank(request, table, team)
	describe(request, table, asked)
	e.copyCall(request, r, target)
	return request, nil
}

// reside notes in which regions a request may be served, and refuses one that may be served in none.
func reside(request *chiverequest.Request, team *chivetable.Team) error {
	request.Residency = request.Route.Residency
	if team != nil {
		request.Residency = request.Residency.Intersect(team.Residency)
	}
	if !request.Residency.AllowsNone() {
		return nil
	}
	f := refusal(http.StatusServiceUnavailable, "no_allowed_region", "the regions of the route and of the team have none in common")
	f.RetryAfter = comeBackWhenReconfigured
	return f
}

// rank chooses the pool of a request, and its rank there.
func rank(request *chiverequest.Request, table *chivetable.Table, team *chivetable.Team) {
	request.Pool = request.Route.PoolFor(rand.Float64())
	request.Rank = table.RankOf(request.Pool, request.Route, team)
	if team != nil {
		request.Team = team.Name
	}
}

// describe adds what the caller said of the prompt and what the route promises for it.
func describe(request *chiverequest.Request, table *chivetable.Table, asked chiverequest.Asked) {
	request.Prompt, request.LastEvent = asked.Prompt, asked.LastEvent
	if request.Prompt == nil {
		return
	}
	route := request.Route
	request.Prompt.Pause, request.Prompt.Target = route.Pause, route.Target
	request.Prompt.Rank, request.Prompt.Urgent = request.Rank, table.UrgentTarget(request.Pool, route)
}

// copyCall adds what is passed on to an endpoint: the call without the fields that concern only this connection or this node.
func (e *Entry) copyCall(request *chiverequest.Request, r *http.Request, target string) {
	request.Method, request.Target, request.Host = r.Method, target, r.Host
	request.Content = chiverequest.NewFingerprint(request.Team, r.Method, r.Host, target, request.Body)
	request.Header = r.Header.Clone()
	DropConnectionFields(request.Header)
	e.o.Dialect.Strip(request.Header)
}

// defaultWait bounds a request for which neither the caller nor the route names a time.
const defaultWait = time.Minute

// waitOf is the shorter of what the caller and the operator allow.
func waitOf(route *chivetable.Route, asked chiverequest.Asked) time.Duration {
	wait := route.Timeout
	if wait == 0 {
		wait = defaultWait
	}
	if asked.Wait > 0 {
		wait = min(wait, asked.Wait)
	}
	return wait
}

func teamOf(table *chivetable.Table, route *chivetable.Route, key string) (*chivetable.Team, error) {
	if !table.NeedsKey(route) {
		return nil, nil //nolint:nilnil // an anonymous request has no team
	}
	team, ok := table.Team(key)
	if !ok {
		return nil, refusal(http.StatusUnauthorized, "unknown_key", "the key is missing or not known")
	}
	return team, nil
}

// requestTarget returns the path and query as the caller wrote them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, asked chiverequest.Asked, request *chiverequest.Request, err error) {
	var f *FailureError
	if !errors.As(err, &f) {
		f = refusal(http.StatusBadRequest, "invalid_request", err.Error())
	}
	route, version := "", int64(0)
	if request != nil {
		version = request.TableVersion
		if request.Route != nil {
			route = request.Route.Name
		}
	}
	chiveevent.RequestRefused.Log(r.Context(), e.o.Logger, chiveevent.Request(asked.ID), slog.String("route", route),
		slog.Int64("table_version", version), slog.Int("status", f.Status), slog.String("code", f.Code), slog.String("reason", f.Message))
	e.metrics.refused(route, f.Code)
	e.fail(w, f, asked.ID)
}

// carry runs an admitted request and answers where the forwarder has not.
func (e *Entry) carry(w http.ResponseWriter, r *http.Request, request *chiverequest.Request) {
	e.logAccepted(r.Context(), request)
	sink := &sink{w: w, out: http.NewResponseController(w), leaving: e.leaving.Load}
	result := e.o.Forwarder.Run(r.Context(), request, sink)
	e.metrics.finished(request, result)
	e.logEnded(r.Context(), request, result)
	switch {
	case result.Outcome == chiveforward.Completed, result.Outcome == chiveforward.Failed:
		return
	case result.Started, result.Code == chiveforward.CodeCallerGone:
		// What went out promised more: the connection is broken off, so that nobody takes a part for the whole.
		panic(http.ErrAbortHandler)
	}
	f := &FailureError{Status: result.Status, Code: result.Code, Message: result.Message, Outcome: result.Outcome, RetryAfter: result.RetryAfter}
	e.fail(w, f, request.ID)
}

func (e *Entry) logAccepted(ctx context.Context, request *chiverequest.Request) {
	attributes := []slog.Attr{
		chiveevent.Request(request.ID), slog.String("route", request.Route.Name), slog.String("pool", request.Pool),
		slog.String("team", request.Team), slog.Int("rank", request.Rank.Place), slog.Int("ranks", request.Rank.Of), slog.String("may_repeat", request.Route.Repeat.String()),
		slog.Int64("table_version", request.TableVersion), slog.Int64("wait_ms", request.Deadline.Sub(request.Arrival).Milliseconds()),
		slog.Int64("target_ms", request.Route.Target.Milliseconds()), chiveevent.Content(request.Content),
	}
	if request.Prompt != nil {
		attributes = append(attributes, slog.Int64("tokens_in", request.Prompt.Input), slog.Int64("tokens_out_most", request.Prompt.MostOutput),
			slog.Int64("tokens_out_hinted", request.Prompt.HintedOutput), slog.Int64("pause_ms", request.Prompt.Pause.Milliseconds()))
	}
	chiveevent.RequestAccepted.Log(ctx, e.o.Logger, attributes...)
}

// logEnded writes one line for a request's outcome; those that were not completed are warnings, which are the last lines to
// be dropped when the output stalls.
func (e *Entry) logEnded(ctx context.Context, request *chiverequest.Request, result chiveforward.Result) {
	event := chiveevent.RequestEnded
	if result.Outcome != chiveforward.Completed {
		event = chiveevent.RequestFailed
	}
	event.Log(ctx, e.o.Logger, chiveevent.Request(request.ID), slog.String("route", request.Route.Name),
		slog.String("outcome", string(result.Outcome)), slog.String("code", result.Code), slog.String("message", result.Message),
		slog.Int("status", result.Status), slog.Int64("retry_after_ms", result.RetryAfter.Milliseconds()),
		slog.Int("attempts", len(result.Tries)), slog.String("endpoint", result.Last()), slog.Int("events", result.Events),
		slog.Int64("first_ms", result.First.Milliseconds()), slog.Int64("pause_ms", result.Pause.Milliseconds()),
		slog.Int64("expected_ms", result.Expected.Milliseconds()), slog.Int64("took_ms", time.Since(request.Arrival).Milliseconds()),
		slog.Int64("left_ms", time.Until(request.Deadline).Milliseconds()))
}

// fail answers with a failure; while the node is leaving, the caller is asked to take its connection elsewhere.
func (e *Entry) fail(w http.ResponseWriter, f *FailureError, id string) {
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	f.write(w, e.o.Dialect, id)
}

// sink writes an answer to the caller.
type sink struct {
	w       http.ResponseWriter
	out     *http.ResponseController
	leaving func() bool
}

// Start passes on the status and the header.
func (s *sink) Start(status int, header http.Header) {
	to := s.w.Header()
	for name, values := range header {
		to[name] = values
	}
	DropConnectionFields(to)
	if s.leaving() {
		to.Set("Connection", "close")
	}
	s.w.WriteHeader(status)
}

// Write passes on a piece of the body.
func (s *sink) Write(data []byte, flush bool) error {
	if _, err := s.w.Write(data); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	if !flush {
		return nil
	}
	if err := s.out.Flush(); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	return nil
}
