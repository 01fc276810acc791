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

	"chivedrift/chivecaller"
	"chivedrift/chiveevent"
	"chivedrift/chiveforward"
	"chivedrift/chivekernel"
	"chivedrift/chivememory"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
	"chivedrift/chivewire"

	"github.com/uber-go/tally/v4"
)

// ServiceName is the name under which the entry is registered in the kernel.
const ServiceName = "entry"

const (
	// maxHeaderTimeout limits the time for reading a header if the operator sets no limit or a longer one.
	maxHeaderTimeout = 10 * time.Second
	// maxIdleTimeout limits the time that an idle connection is kept open if the operator sets no limit or a longer
	// one. It is longer than callers keep connections in their pools, so that the caller closes first and no request is
	// lost to a connection that is being closed.
	maxIdleTimeout = 2 * time.Minute
	// connCheckInterval is the interval at which the operator's connection timeouts, of some seconds, are enforced.
	connCheckInterval = 500 * time.Millisecond
	// maxHeaderBytes limits a header before the configured limit is checked.
	maxHeaderBytes = 1 << 20
	// stopPollInterval is the interval at which Stop checks whether all connections have ended.
	stopPollInterval = 20 * time.Millisecond
	// stallTime is the time between two of these checks that shows that the process was not scheduled meanwhile, stallWait how long what
	// arrived in that time has to be passed on.
	stallTime, stallWait = 60 * time.Millisecond, 100 * time.Millisecond
	// unreadWait limits the wait for the refusals of requests that had arrived unread when the time for all was over.
	unreadWait = 50 * time.Millisecond
	// lastLinesWait limits the wait for the log lines of the requests that were cut; the process ends soon after.
	lastLinesWait         = 150 * time.Millisecond
	lastLinesPollInterval = 5 * time.Millisecond
	// unreadBodyTimeout is the time for which a stopping node reads the body of a request that it has answered; it is at most a share of
	// the time that is left before the cut.
	unreadBodyTimeout = 200 * time.Millisecond
	unreadBodyDivisor = 2
	// refusedBodyTimeout is the time for which the rest of a refused request's body is read, so that its connection can be kept.
	refusedBodyTimeout = 2 * time.Second
	// retryAfterNoConfig is short because another node has a configuration.
	retryAfterNoConfig = 200 * time.Millisecond
	// retryAfterNoMemory is long enough for some requests to end and free their memory.
	retryAfterNoMemory = time.Second
	// retryAfterNoRegion applies to requests that cannot run until the configuration changes.
	retryAfterNoRegion = 10 * time.Second
)

// Forwarder sends accepted requests to endpoints.
type Forwarder interface {
	// Run runs a request to its outcome and writes the response of the endpoint to sink.
	Run(ctx context.Context, request *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result
}

// Options configure an Entry.
type Options struct {
	Address   string
	Network   chivewire.Network
	Dialect   chiverequest.CallerDialect
	Forwarder Forwarder
	// Shutdown is the planned stop of the node, which the forwarder also knows; nil means one of the entry's own.
	Shutdown *chiveforward.Shutdown
	// Streams looks up where streams began, Versions the software versions of a pool; nil if endpoints have no versions.
	Streams  Streams
	Versions Versions
	// Full reports whether the node has no memory for another request; nil means never.
	Full func() bool
	// Bounds limit what the connections of callers take.
	Bounds chivecaller.Bounds
	Scope  tally.Scope
	Logger *slog.Logger
}

// Entry is a node's HTTP server for callers.
type Entry struct {
	options  Options
	server   *chivewire.HTTPServer
	table    atomic.Pointer[chivetable.Table]
	metrics  *metrics
	conns    *chivecaller.Conns
	memory   *chivememory.Pool
	draining atomic.Bool
	inFlight atomic.Int64
	accepted atomic.Int64
	stops    stopCounters
	duties   chivekernel.Duties
}

// New returns an entry that does not listen yet.
func New(options Options) *Entry {
	if options.Shutdown == nil {
		options.Shutdown = chiveforward.NewShutdown()
	}
	e := &Entry{options: options, metrics: newMetrics(options.Scope), conns: chivecaller.NewConns()}
	if e.memory = options.Bounds.Memory; e.memory == nil {
		e.memory = chivememory.NewPool(0)
	}
	e.conns.Bound(options.Bounds)
	e.conns.OnUnserved(e.logUnserved)
	e.conns.OnClosed(e.logClosed)
	e.server = chivewire.NewHTTPServer(&http.Server{
		Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: maxHeaderTimeout, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:    slog.NewLogLogger(options.Logger.Handler(), slog.LevelDebug),
		ConnContext: e.conns.ConnContext, ConnState: e.conns.ConnState,
	})
	return e
}

// SetTable applies a new routing table.
func (e *Entry) SetTable(table *chivetable.Table) {
	if before := e.table.Load(); before == nil || before.Limits().BodyBytes != table.Limits().BodyBytes {
		CheckBodyLimit(context.Background(), e.options.Logger, table.Limits().BodyBytes, e.memory)
	}
	e.conns.SetHeadLimit(table.Limits().HeaderBytes)
	e.conns.SetLimits(time.Now(), table.Limits().HeaderTime, table.Limits().IdleTime)
	e.table.Store(table)
}

// Handler returns the server's handler, for use without a listener.
func (e *Entry) Handler() http.Handler { return e.server.Handler() }

// Start starts listening.
func (e *Entry) Start(ctx context.Context) error {
	if err := e.server.Start(e.conns.On(e.options.Network), e.options.Address); err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	e.duties.Begin(ctx, e.enforceConnTimeouts)
	return nil
}

// enforceConnTimeouts closes connections that exceed the timeouts of the routing tables that their callers may rely on.
func (e *Entry) enforceConnTimeouts(ctx context.Context) {
	chivekernel.Every(ctx, connCheckInterval, e.conns.CloseTimedOut)
}

// Leave starts draining: from now on, responses ask callers to close the connection. At the given time, Stop cuts what has
// not ended; zero means never.
func (e *Entry) Leave(cut time.Time) {
	e.options.Shutdown.Begin(time.Now(), cut)
	e.draining.Store(true)
}

// Stop accepts no new connections and waits, until the context ends, until the response to each request has been written out and
// its connection closed in order; then it aborts the rest.
func (e *Entry) Stop(ctx context.Context) error {
	cut, _ := ctx.Deadline()
	e.Leave(cut)
	e.logStoppedListening(e.server.StopListening(ctx))
	// Idle connections are closed too: no response asks their callers to close them, and a request that arrived on one
	// near the end of the wait would be refused.
	e.conns.CloseIdle()
	stopWatch := e.options.Shutdown.OnLastAnswers(e.conns.CloseUnused)
	defer stopWatch()
	e.awaitResponses(ctx)
	e.conns.AnswerUnread(unreadWait)
	e.conns.Cut()
	e.awaitLastLines()
	err := e.server.Close()
	e.duties.End()
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	return nil
}

// awaitResponses waits until the response to each request has been written out and its connection closed in order, until the context ends. If
// the process was not scheduled just before that, what has arrived meanwhile gets some time to be passed on.
func (e *Entry) awaitResponses(ctx context.Context) {
	last, stalled := time.Now(), time.Time{}
	if _, hasCut := ctx.Deadline(); hasCut {
		// The process may not have been scheduled when the stop was to begin.
		stalled = last
	}
	for e.conns.CloseRest() > 0 || e.inFlight.Load() > 0 {
		now := time.Now()
		if now.Sub(last) > stallTime {
			stalled = now
		}
		if last = now; ctx.Err() == nil {
			select {
			case <-time.After(stopPollInterval):
			case <-ctx.Done():
			}
			continue
		}
		if now.Sub(stalled) > stallWait {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// awaitLastLines waits until the handlers of the requests that were cut have ended, each with the log lines of its request.
func (e *Entry) awaitLastLines() {
	for end := time.Now().Add(lastLinesWait); e.inFlight.Load() > 0 && time.Now().Before(end); {
		time.Sleep(lastLinesPollInterval)
	}
}

// Connections returns the number of open connections of callers, and what their bounds made the node do.
func (e *Entry) Connections() (open int, counts chivecaller.BoundCounts) {
	return e.conns.Open(), e.conns.BoundCounts()
}

// InFlight returns the number of requests being served.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Dump returns the request counts and whether the entry is draining.
func (e *Entry) Dump() any {
	return struct {
		InFlight int64 `json:"in_flight"`
		Accepted int64 `json:"accepted"`
		Leaving  bool  `json:"leaving"`
	}{e.inFlight.Load(), e.accepted.Load(), e.draining.Load()}
}

// serve handles one request.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	conn := chivecaller.Of(r)
	if conn != nil && !conn.StartServing(r) {
		// The connection was closed while this request was being read: it is not forwarded, and the caller sees the
		// connection close.
		panic(http.ErrAbortHandler)
	}
	e.accepted.Add(1)
	e.answer(w, r, conn)
	if conn != nil {
		conn.Answered()
	}
}

// answer reads a request and writes the response, or panics with http.ErrAbortHandler after a part of it.
func (e *Entry) answer(w http.ResponseWriter, r *http.Request, conn *chivecaller.Conn) {
	metadata, err := e.options.Dialect.Read(r.Header)
	x := e.newExchange(conn, metadata.ID)
	defer x.handlerEnded()
	memory := ReserveBody(w, e.memory)
	defer memory.Release()
	if err != nil {
		e.refuse(w, r, metadata, nil, newRefusal(http.StatusBadRequest, "invalid_header", err.Error()))
		return
	}
	request, err := e.admit(w, r, metadata, memory)
	if err != nil {
		e.refuse(w, r, metadata, request, err)
		return
	}
	e.forward(w, r, request, x)
}

// admit checks a request against the current routing table and reads its body. On failure the returned request, which
// may be nil, holds what is known so far.
func (e *Entry) admit(w http.ResponseWriter, r *http.Request, metadata chiverequest.Asked, memory *chivememory.Reservation) (*chiverequest.Request, error) {
	if e.options.Full != nil && e.options.Full() {
		return nil, NewNoMemory()
	}
	table := e.table.Load()
	if table == nil {
		f := newRefusal(http.StatusServiceUnavailable, "no_configuration", "this node has no configuration yet")
		f.RetryAfter = retryAfterNoConfig
		return nil, f
	}
	now := time.Now()
	target := requestTarget(r)
	path, _, _ := strings.Cut(target, "?")
	request := &chiverequest.Request{ID: metadata.ID, TableVersion: table.Version(), Arrival: now}
	route, ok := table.Match(r.Host, path)
	if !ok {
		return request, newRefusal(http.StatusNotFound, "no_route", "no route for this host and path")
	}
	request.Route = route
	team, err := authenticate(table, route, metadata.Key)
	if err != nil {
		return request, err
	}
	if err := setResidency(request, team); err != nil {
		return request, err
	}
	if err := chiveforward.CheckTarget(target); err != nil {
		return request, newRefusal(http.StatusBadRequest, "invalid_target", err.Error())
	}
	if err := CheckHeader(r.Header, table.Limits().HeaderBytes); err != nil {
		return request, err
	}
	request.Deadline = now.Add(requestTimeout(route, metadata))
	request.LastEvent, request.Resumes, request.Prompt = metadata.LastEvent, metadata.Resumes, metadata.Prompt
	setPool(request, team)
	if request.Body, err = e.readBody(w, r, request, table.Limits().BodyBytes, memory); err != nil {
		return request, err
	}
	request.Received = time.Now()
	if conn := chivecaller.Of(r); conn != nil {
		conn.RequestRead()
	}
	if err := e.setOrigin(r.Context(), request); err != nil {
		return request, err
	}
	request.Rank = table.RankOf(request.Pool, request.Route, team)
	setPrompt(request, table, metadata)
	e.setForwardedRequest(request, r, target)
	return request, nil
}

// setResidency sets the regions in which a request may be served, and refuses a request that may be served in none.
func setResidency(request *chiverequest.Request, team *chivetable.Team) error {
	request.Residency = request.Route.Residency
	if team != nil {
		request.Residency = request.Residency.Intersect(team.Residency)
	}
	if !request.Residency.AllowsNone() {
		return nil
	}
	f := newRefusal(http.StatusServiceUnavailable, "no_allowed_region", "the regions of the route and of the team have none in common")
	f.RetryAfter = retryAfterNoRegion
	return f
}

// setPool sets the team of a request and chooses its pool by the route's traffic split.
func setPool(request *chiverequest.Request, team *chivetable.Team) {
	request.Pool = request.Route.PoolFor(rand.Float64())
	if team != nil {
		request.Team = team.Name
	}
}

// setPrompt sets the prompt that the caller described and the latency targets of the route.
func setPrompt(request *chiverequest.Request, table *chivetable.Table, metadata chiverequest.Asked) {
	request.Shared = chiverequest.SharedParts(metadata.Prompt)
	if request.Prompt == nil {
		return
	}
	route := request.Route
	request.Prompt.Pause, request.Prompt.Target = route.Pause, route.Target
	request.Prompt.Rank, request.Prompt.Urgent = request.Rank, table.UrgentTarget(request.Pool, route)
}

// setForwardedRequest sets what is forwarded to an endpoint: the HTTP request without the headers that apply only to
// this connection or to the router.
func (e *Entry) setForwardedRequest(request *chiverequest.Request, r *http.Request, target string) {
	request.Method, request.Target, request.Host = r.Method, target, r.Host
	request.Content = chiverequest.NewFingerprint(request.Team, r.Method, r.Host, target, request.Body)
	request.Header = r.Header.Clone()
	DropConnectionFields(request.Header)
	e.options.Dialect.Strip(request.Header)
}

// defaultTimeout applies to requests for which neither the caller nor the route sets a timeout.
const defaultTimeout = time.Minute

// requestTimeout returns the shorter one of the caller's timeout and the route's.
func requestTimeout(route *chivetable.Route, metadata chiverequest.Asked) time.Duration {
	timeout := route.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if metadata.Wait > 0 {
		timeout = min(timeout, metadata.Wait)
	}
	return timeout
}

func authenticate(table *chivetable.Table, route *chivetable.Route, key string) (*chivetable.Team, error) {
	if !table.NeedsKey(route) {
		return nil, nil //nolint:nilnil // an anonymous request has no team
	}
	team, ok := table.Team(key)
	if !ok {
		return nil, newRefusal(http.StatusUnauthorized, "unknown_key", "the key is missing or not known")
	}
	return team, nil
}

// requestTarget returns the path and query exactly as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, metadata chiverequest.Asked, request *chiverequest.Request, err error) {
	var f *FailureError
	if !errors.As(err, &f) {
		f = newRefusal(http.StatusBadRequest, "invalid_request", err.Error())
	}
	route, version, received := "", int64(0), time.Time{}
	if request != nil {
		version, received = request.TableVersion, request.Received
		if request.Route != nil {
			route = request.Route.Name
		}
	}
	attributes := append([]slog.Attr{
		chiveevent.Request(metadata.ID), slog.String("route", route),
		slog.Int64("table_version", version), slog.Int("status", f.Status), slog.String("code", f.Code), slog.String("reason", f.Message),
	}, e.stopTimes(received, time.Time{})...)
	chiveevent.RequestRefused.Log(r.Context(), e.options.Logger, attributes...)
	e.metrics.countRefusal(route, f.Code)
	e.stops.count(f.Code, f.Outcome)
	e.writeFailure(w, r, f, metadata.ID)
}

// forward runs an admitted request; if no endpoint has answered it, forward writes the error response.
func (e *Entry) forward(w http.ResponseWriter, r *http.Request, request *chiverequest.Request, x *exchange) {
	e.logAccepted(r.Context(), request)
	sink := &responseSink{
		w: w, controller: http.NewResponseController(w), conn: chivecaller.Of(r), isHTTP10: !r.ProtoAtLeast(1, 1), draining: func() bool { return e.announcesEnd(r) },
	}
	result := e.options.Forwarder.Run(r.Context(), request, sink)
	x.setResult(request, result)
	e.stops.count(result.Code, result.Outcome)
	e.metrics.recordResult(request, result)
	e.logEnded(r.Context(), request, result)
	switch {
	case result.Outcome == chiveforward.Completed, result.Outcome == chiveforward.Failed:
		sink.finish()
		return
	case result.Started, result.Code == chiveforward.CodeCallerGone:
		// The response is incomplete: the connection is aborted so that the caller does not take it for complete.
		panic(http.ErrAbortHandler)
	}
	f := &FailureError{Status: result.Status, Code: result.Code, Message: result.Message, Outcome: result.Outcome, RetryAfter: result.RetryAfter}
	e.writeFailure(w, r, f, request.ID)
}

func (e *Entry) logAccepted(ctx context.Context, request *chiverequest.Request) {
	attributes := []slog.Attr{
		chiveevent.Request(request.ID), slog.String("route", request.Route.Name), slog.String("pool", request.Pool),
		slog.String("team", request.Team), slog.Int("rank", request.Rank.Place), slog.Int("ranks", request.Rank.Of), slog.String("may_repeat", request.Route.Repeat.String()),
		slog.Int64("table_version", request.TableVersion), slog.Int64("wait_ms", request.Deadline.Sub(request.Arrival).Milliseconds()),
		slog.Int64("target_ms", request.Route.Target.Milliseconds()), chiveevent.Content(request.Content),
		slog.String("after_event", request.LastEvent), slog.String("resumes", request.Resumes),
	}
	if request.Prompt != nil {
		attributes = append(attributes, slog.Int64("tokens_in", request.Prompt.Input), slog.Int64("tokens_out_most", request.Prompt.MostOutput),
			slog.Int64("tokens_out_hinted", request.Prompt.HintedOutput), slog.Int64("pause_ms", request.Prompt.Pause.Milliseconds()))
	}
	chiveevent.RequestAccepted.Log(ctx, e.options.Logger, attributes...)
}

// maxLoggedTries limits the attempts that the line of a request which was not completed lists.
const maxLoggedTries = 8

// logEnded logs the outcome of a request. Requests that were not completed are logged as warnings, which are the last
// lines to be dropped when the log output stalls.
func (e *Entry) logEnded(ctx context.Context, request *chiverequest.Request, result chiveforward.Result) {
	attributes := []slog.Attr{
		chiveevent.Request(request.ID), slog.String("route", request.Route.Name),
		slog.String("outcome", string(result.Outcome)), slog.String("code", result.Code), slog.String("message", result.Message),
		slog.Int("status", result.Status), slog.Int64("retry_after_ms", result.RetryAfter.Milliseconds()),
		slog.Int("attempts", len(result.Tries)), slog.String("endpoint", result.Last()), slog.Int("events", result.Events),
		slog.Int64("first_ms", result.First.Milliseconds()), slog.Int64("pause_ms", result.Pause.Milliseconds()),
		slog.Int64("expected_ms", result.Expected.Milliseconds()), slog.Int64("took_ms", time.Since(request.Arrival).Milliseconds()),
		slog.Int64("left_ms", time.Until(request.Deadline).Milliseconds()),
	}
	attributes = append(attributes, e.stopTimes(request.Received, result.Sent)...)
	if result.Outcome == chiveforward.Completed {
		chiveevent.RequestEnded.Log(ctx, e.options.Logger, attributes...)
		return
	}
	if len(result.Tries) > 0 {
		attributes = append(attributes, slog.String("tries", result.TriesInShort(maxLoggedTries)))
	}
	chiveevent.RequestFailed.Log(ctx, e.options.Logger, attributes...)
}

// announcesEnd reports whether a response that begins now asks the caller to close the connection: the entry is draining, and no other
// request is waiting behind this one, which is answered too.
func (e *Entry) announcesEnd(r *http.Request) bool {
	if !e.draining.Load() {
		return false
	}
	conn := chivecaller.Of(r)
	return conn == nil || !conn.IsFollowed()
}

// writeFailure writes an error response; while the entry is draining, it asks the caller to close the connection.
func (e *Entry) writeFailure(w http.ResponseWriter, r *http.Request, f *FailureError, id string) {
	wait := refusedBodyTimeout
	if e.announcesEnd(r) {
		w.Header().Set("Connection", "close")
		wait = e.unreadBodyTime()
	}
	// net/http reads the rest of the body, which may not come, before it sends the response or closes the connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(wait))
	f.write(w, e.options.Dialect, id)
}

// responseSink implements chiveforward.Sink: it writes a response to the caller.
type responseSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// conn is the caller's connection; nil if it is not tracked.
	conn     *chivecaller.Conn
	isHTTP10 bool
	draining func() bool
	// endsWithConnection means that nothing but the end of the connection may end the response.
	endsWithConnection bool
	// resets means that the connection is reset unless the response is finished.
	resets bool
	// size is the size of the body so far; hasBegun means that net/http can no longer state a length that the header lacks.
	size     int
	hasBegun bool
}

// lengthBufferSize is the size up to which net/http holds a body that is not flushed, so that it can state its length.
const lengthBufferSize = 2 << 10

// EndsWithConnection states that the response must have neither a length nor chunks.
func (s *responseSink) EndsWithConnection() { s.endsWithConnection = true }

// Start writes the status and the header.
func (s *responseSink) Start(status int, header http.Header) {
	responseHeader := s.w.Header()
	for name, values := range header {
		responseHeader[name] = values
	}
	DropConnectionFields(responseHeader)
	if s.draining() {
		responseHeader.Set("Connection", "close")
	}
	if s.endsWithConnection {
		// Makes net/http send neither a length nor chunks, and announce the end of the connection.
		responseHeader.Set("Transfer-Encoding", "identity")
	}
	if s.endsWithConnection || s.isHTTP10 && responseHeader.Get("Content-Length") == "" {
		s.setResets(true)
	}
	s.w.WriteHeader(status)
}

// setResets sets whether the end of the connection is a reset, which no caller takes for the end of the response.
func (s *responseSink) setResets(resets bool) {
	s.resets = resets
	if s.conn != nil {
		s.conn.ResetOnClose(resets)
	}
}

// finish states that the response has been passed on as a whole.
func (s *responseSink) finish() {
	if !s.resets {
		return
	}
	if s.endsWithConnection || s.hasBegun {
		// A caller that reads slowly gets the rest of the body before the end of the connection stops being a reset.
		if err := s.controller.Flush(); err != nil {
			// The caller has left, or must not take what it got for whole.
			return
		}
	}
	s.setResets(false)
}

// Write writes a chunk of the body, and flushes it if flush is set.
func (s *responseSink) Write(data []byte, flush bool) error {
	s.size += len(data)
	s.hasBegun = s.hasBegun || flush || s.size > lengthBufferSize
	if _, err := s.w.Write(data); err != nil {
		return fmt.Errorf("write response to caller: %w", err)
	}
	if !flush {
		return nil
	}
	if err := s.controller.Flush(); err != nil {
		return fmt.Errorf("flush response to caller: %w", err)
	}
	return nil
}
