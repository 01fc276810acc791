package chivegate

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"chivedrift/chivecaller"
	"chivedrift/chiveclaim"
	"chivedrift/chiveconfig"
	"chivedrift/chivedispatch"
	"chivedrift/chiveentry"
	"chivedrift/chiveevent"
	"chivedrift/chivefollow"
	"chivedrift/chivememory"
	"chivedrift/chiverequest"
	"chivedrift/chivewire"

	"github.com/uber-go/tally/v4"
)

// ServiceName is the name under which the gateway is registered in the kernel.
const ServiceName = "gate"

const (
	headerTimeout     = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 1 << 20
	stopPollInterval  = 20 * time.Millisecond
	requestIDBase     = 36
	retryAfterSeconds = 1
	// unreadBodyTimeout is the time that a caller has to send the body of a request that is refused without reading it.
	unreadBodyTimeout = 5 * time.Second
)

// Models runs model requests.
type Models interface {
	// Run runs a model request to its outcome. It writes a streamed response to sink and returns what was delivered.
	Run(ctx context.Context, request *chivedispatch.Work, sink chivedispatch.Sink) (chivedispatch.Result, *chivedispatch.Answer)
}

// Services runs requests to plain services.
type Services interface {
	// Run runs a service request to its outcome; the response is nil if no endpoint gave one.
	Run(ctx context.Context, request *chivedispatch.ServiceWork) (chivedispatch.Result, *chivedispatch.ServiceAnswer)
}

// Claims ensures that at most one request with the same idempotency key runs.
type Claims interface {
	// Begin claims a key for a request. It returns a claim, which allows the request to run, or the outcome of the
	// request that holds the key, or neither if that outcome is not known in time.
	Begin(ctx context.Context, key, request string, window time.Duration) (*chiveclaim.Claim, *chiveclaim.Outcome, error)
	// Finish records the outcome of the request that holds a claim.
	Finish(claim *chiveclaim.Claim, outcome chiveclaim.Outcome)
	// Free releases the key of a request that did not run.
	Free(claim *chiveclaim.Claim)
}

// Quota enforces the teams' token limits across the fleet.
type Quota interface {
	// Take takes tokens from a team's quota; if there are not enough, it returns when to retry.
	Take(ctx context.Context, team string, limit, tokens int64) (ok bool, retryAfter time.Duration)
	// Return returns tokens that a request did not use; a negative number charges those it used beyond its estimate.
	Return(team string, tokens int64)
}

// Options configure a Gate.
type Options struct {
	Node     string
	Address  string
	Network  chivewire.Network
	Models   Models
	Services Services
	Claims   Claims
	Quota    Quota
	InForce  func() *chivefollow.InForce
	// Full reports whether the node has no memory for another request; nil means never.
	Full func() bool
	// Bounds limit what the connections of callers take.
	Bounds chivecaller.Bounds
	Scope  tally.Scope
	Logger *slog.Logger
}

// Gate is a node's HTTP server for callers.
type Gate struct {
	options      Options
	server       *chivewire.HTTPServer
	conns        *chivecaller.Conns
	memory       *chivememory.Pool
	draining     atomic.Bool
	explanations *explanations
	metrics      *requestMetrics
	keys         atomic.Pointer[teamKeys]
	sequence     atomic.Int64
	inFlight     atomic.Int64
	startID      string
}

// New returns a gateway that does not listen yet.
func New(options Options) *Gate {
	g := &Gate{options: options, conns: chivecaller.NewConns(), explanations: newExplanations(), metrics: newRequestMetrics(options.Scope)}
	g.startID = strconv.FormatInt(time.Now().UnixMilli(), requestIDBase) + strconv.FormatInt(rand.Int64N(1<<20), requestIDBase)
	g.keys.Store(&teamKeys{})
	if g.memory = options.Bounds.Memory; g.memory == nil {
		g.memory = chivememory.NewPool(0)
	}
	g.conns.Bound(options.Bounds)
	g.conns.OnUnserved(g.logUnserved)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathChat, g.serveModel)
	mux.HandleFunc("POST "+pathCompletions, g.serveModel)
	mux.HandleFunc("GET "+pathModels, g.serveModels)
	mux.HandleFunc(pathServices, g.serveService)
	mux.HandleFunc("/", g.serveNotFound)
	g.server = chivewire.NewHTTPServer(&http.Server{
		Handler: g.track(mux), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:    slog.NewLogLogger(options.Logger.Handler(), slog.LevelError),
		ConnContext: g.conns.ConnContext, ConnState: g.conns.ConnState,
	})
	return g
}

// SetConfig applies the team keys and the limit of heads of a new configuration.
func (g *Gate) SetConfig(config *chiveconfig.Config) {
	chiveentry.CheckBodyLimit(context.Background(), g.options.Logger, config.Limits.BodyBytes, g.memory)
	g.conns.SetHeadLimit(config.Limits.HeaderBytes)
	g.keys.Store(newTeamKeys(config))
}

// Handler returns the server's handler, for use without a listener.
func (g *Gate) Handler() http.Handler { return g.server.Handler() }

// Start starts listening.
func (g *Gate) Start(context.Context) error {
	if err := g.server.Start(g.conns.On(g.options.Network), g.options.Address); err != nil {
		return fmt.Errorf("gate: %w", err)
	}
	return nil
}

// Leave starts draining: from now on, responses ask callers to close the connection.
func (g *Gate) Leave() { g.draining.Store(true) }

// Stop accepts no new connections and waits until the response to each request in flight has been written, however long
// the request takes, and its connection closed. Connections without a request are closed, new ones once all others have ended.
func (g *Gate) Stop(ctx context.Context) error {
	g.Leave()
	chiveevent.StoppedListening.Log(ctx, g.options.Logger, slog.Int("unaccepted", g.server.StopListening(ctx)))
	g.conns.CloseIdle()
	for g.conns.CloseRest() > 0 {
		// Requests whose bodies do not come would keep the node for as long as a body may take.
		g.memory.EndStalled()
		time.Sleep(stopPollInterval)
	}
	if err := g.server.Close(); err != nil {
		return fmt.Errorf("gate: %w", err)
	}
	return nil
}

// track marks the connection of each request as serving, so that Stop does not close it, and bounds the time for which
// net/http reads a body that no handler reads.
func (g *Gate) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := chivecaller.Of(r)
		if conn != nil && !conn.StartServing(r) {
			// The connection was closed while this request was being read: it does not run, and the caller sees the
			// connection close.
			panic(http.ErrAbortHandler)
		}
		// Some writers do not support deadlines; nothing reads the body of their requests.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
		if conn != nil {
			conn.Answered()
		}
	})
}

// Connections returns the number of open connections of callers, and what their bounds made the node do.
func (g *Gate) Connections() (open int, counts chivecaller.BoundCounts) {
	return g.conns.Open(), g.conns.BoundCounts()
}

// InFlight returns the number of requests being served.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Explain returns the explanation of a recent request by its ID.
func (g *Gate) Explain(id string) (*Explanation, bool) { return g.explanations.get(id) }

// Dump returns the request counts.
func (g *Gate) Dump() any {
	return struct {
		InFlight int64 `json:"in_flight"`
		Accepted int64 `json:"accepted"`
	}{g.inFlight.Load(), g.sequence.Load()}
}

// NodeOf returns the name of the node that assigned a request ID.
func NodeOf(id string) string {
	node, _, _ := strings.Cut(id, ".")
	return node
}

// newRequestID returns an ID made of the node's name, an ID of this start of the process and a sequence number.
func (g *Gate) newRequestID() string {
	return g.options.Node + "." + g.startID + "." + strconv.FormatInt(g.sequence.Add(1), requestIDBase)
}

// admittedRequest holds what the checks common to all requests determine.
type admittedRequest struct {
	id           string
	team         string
	activeConfig *chivefollow.InForce
	config       *chiveconfig.Config
	body         []byte
	// memory is what the request has reserved.
	memory         *chivememory.Reservation
	fingerprint    chiverequest.Fingerprint
	arrival        time.Time
	deadline       time.Time
	timeout        time.Duration
	idempotencyKey string
}

// logUnserved logs that a connection was closed with bytes of another request behind the last one.
func (g *Gate) logUnserved(u chivecaller.Unserved) {
	chiveevent.RequestUnserved.Log(context.Background(), g.options.Logger, append([]slog.Attr{chiveevent.Request(u.ID)}, u.Attributes()...)...)
}

// begin counts and admits a request. It returns false if it has refused the request and written the response; otherwise
// the returned function must be called when the request has ended.
func (g *Gate) begin(w http.ResponseWriter, r *http.Request) (*admittedRequest, func(), bool) {
	a := &admittedRequest{id: g.newRequestID(), arrival: time.Now(), activeConfig: g.options.InForce(), memory: chiveentry.ReserveBody(w, g.memory)}
	if conn := chivecaller.Of(r); conn != nil {
		conn.SetID(a.id)
	}
	count := g.inFlight.Add(1)
	done := func() {
		a.memory.Release()
		g.inFlight.Add(-1)
	}
	if err := g.admit(a, count, w, r); err != nil {
		g.refuse(w, r, a, err)
		done()
		return nil, nil, false
	}
	return a, done, true
}

func (g *Gate) admit(a *admittedRequest, inFlight int64, w http.ResponseWriter, r *http.Request) error {
	if a.activeConfig == nil {
		return &failure{
			status: http.StatusServiceUnavailable, errorType: errorTypeCapacity, code: "no_configuration", message: "this node has no configuration yet",
			outcome: chivedispatch.NotRun, retryAfter: retryAfterSeconds * time.Second,
		}
	}
	a.config = a.activeConfig.Config()
	if err := chiveentry.CheckHeader(r.Header, a.config.Limits.HeaderBytes); err != nil {
		return err
	}
	team, err := g.keys.Load().authenticate(r)
	if err != nil {
		return err
	}
	a.team = team
	if g.options.Full != nil && g.options.Full() {
		return chiveentry.NewNoMemory()
	}
	if inFlight > a.config.Limits.InFlight {
		return &failure{
			status: http.StatusServiceUnavailable, errorType: errorTypeCapacity, code: "node_full", message: "this node serves as many requests as it may",
			outcome: chivedispatch.NotRun, retryAfter: retryAfterSeconds * time.Second,
		}
	}
	if a.timeout, err = parseTimeout(r.Header); err != nil {
		return err
	}
	if a.idempotencyKey, err = parseIdempotencyKey(r.Header); err != nil {
		return err
	}
	if a.body, err = chiveentry.ReadBody(w, r, a.config.Limits.BodyBytes, a.memory); err != nil {
		return err
	}
	if conn := chivecaller.Of(r); conn != nil {
		conn.RequestRead()
	}
	// The host is left out, since a caller may retry the same request at the address of another node.
	a.fingerprint = chiverequest.NewFingerprint(a.team, r.Method, "", r.URL.RequestURI(), a.body)
	return nil
}

// setDeadline sets the earlier one of the class's deadline and the caller's.
func (a *admittedRequest) setDeadline(class *chiveconfig.Class) {
	limit := class.Deadline()
	if a.timeout > 0 {
		limit = min(limit, a.timeout)
	}
	a.deadline = a.arrival.Add(limit)
}

func (a *admittedRequest) findPool(name, kind, code string) (*chiveconfig.Pool, error) {
	pool, ok := a.config.Pool(name)
	if !ok || pool.Kind != kind {
		return nil, &failure{
			status: http.StatusNotFound, errorType: errorTypeInvalid, code: code,
			message: fmt.Sprintf("no %s %q; see GET %s", kind, chiverequest.Shorten(name), pathModels), outcome: chivedispatch.NotRun,
		}
	}
	return pool, nil
}

func (g *Gate) refuse(w http.ResponseWriter, r *http.Request, a *admittedRequest, err error) {
	var f *failure
	var checkError *chiveentry.FailureError
	switch {
	case errors.As(err, &checkError):
		f = newCheckFailure(checkError)
	case !errors.As(err, &f):
		f = newInvalidRequest("invalid_request", err.Error())
	}
	chiveevent.RequestRefused.Log(r.Context(), g.options.Logger, slog.String("request", a.id), slog.String("team", a.team),
		slog.String("code", f.code), slog.String("reason", f.message))
	g.metrics.countOutcome("", f.outcome)
	f.write(w, a.id)
}

func (g *Gate) serveNotFound(w http.ResponseWriter, r *http.Request) {
	a := &admittedRequest{id: g.newRequestID()}
	g.refuse(w, r, a, &failure{
		status: http.StatusNotFound, errorType: errorTypeInvalid, code: "unknown_path", message: fmt.Sprintf("no %s %s here", chiverequest.Shorten(r.Method), chiverequest.Shorten(r.URL.Path)),
		outcome: chivedispatch.NotRun,
	})
}
