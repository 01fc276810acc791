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

	"chivedrift/chiveclaim"
	"chivedrift/chiveconfig"
	"chivedrift/chivedispatch"
	"chivedrift/chiveentry"
	"chivedrift/chiveevent"
	"chivedrift/chivefollow"
	"chivedrift/chiverequest"
	"chivedrift/chivewire"

	"github.com/uber-go/tally/v4"
)

// ServiceName is the name under which the gate registers.
const ServiceName = "gate"

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	headerBytes    = 1 << 20
	stopPoll       = 20 * time.Millisecond
	idRandomBase   = 36
	afterFullInSec = 1
)

// Models runs model requests.
type Models interface {
	// Run carries a model request through to its outcome.
	Run(ctx context.Context, work *chivedispatch.Work, sink chivedispatch.Sink) (chivedispatch.Result, *chivedispatch.Answer)
}

// Services runs requests to plain services.
type Services interface {
	// Run carries a service request through to its outcome.
	Run(ctx context.Context, work *chivedispatch.ServiceWork) (chivedispatch.Result, *chivedispatch.ServiceAnswer)
}

// Claims gives keyed requests at most one execution.
type Claims interface {
	// Begin claims a key for a request.
	Begin(ctx context.Context, key, request string, window time.Duration) (*chiveclaim.Claim, *chiveclaim.Outcome, error)
	// Finish records how a claimed request ended.
	Finish(claim *chiveclaim.Claim, outcome chiveclaim.Outcome)
	// Free records that a claimed request did not run.
	Free(claim *chiveclaim.Claim)
}

// Quota holds teams to their limits over the whole fleet.
type Quota interface {
	// Take asks for tokens of a team's limit and returns when to come back if there are none.
	Take(ctx context.Context, team string, limit, tokens int64) (ok bool, after time.Duration)
	// Return gives back what a request did not use, or charges what it used beyond its estimate.
	Return(team string, tokens int64)
}

// Options are the parts a gate is made of.
type Options struct {
	Node     string
	Address  string
	Network  chivewire.Network
	Models   Models
	Services Services
	Claims   Claims
	Quota    Quota
	InForce  func() *chivefollow.InForce
	Scope    tally.Scope
	Logger   *slog.Logger
}

// Gate is the callers' side of a node.
type Gate struct {
	o        Options
	server   *chivewire.HTTPServer
	explain  *explanations
	metrics  *gateMetrics
	keys     atomic.Pointer[keyring]
	sequence atomic.Int64
	inFlight atomic.Int64
	start    string
}

// New returns a gate that does not listen yet.
func New(o Options) *Gate {
	g := &Gate{o: o, explain: newExplanations(), metrics: newGateMetrics(o.Scope)}
	g.start = strconv.FormatInt(time.Now().UnixMilli(), idRandomBase) + strconv.FormatInt(rand.Int64N(1<<20), idRandomBase)
	g.keys.Store(&keyring{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathChat, g.serveModel)
	mux.HandleFunc("POST "+pathCompletions, g.serveModel)
	mux.HandleFunc("GET "+pathModels, g.serveModels)
	mux.HandleFunc(pathServices, g.serveService)
	mux.HandleFunc("/", g.serveUnknown)
	g.server = chivewire.NewHTTPServer(&http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(o.Logger.Handler(), slog.LevelError),
	})
	return g
}

// SetConfig takes a configuration that came into force.
func (g *Gate) SetConfig(config *chiveconfig.Config) {
	g.keys.Store(newKeyring(config))
}

// Handler returns what serves callers, for use without a listener.
func (g *Gate) Handler() http.Handler { return g.server.Handler() }

// Start listens for callers.
func (g *Gate) Start(context.Context) error {
	if err := g.server.Start(g.o.Network, g.o.Address); err != nil {
		return fmt.Errorf("gate: %w", err)
	}
	return nil
}

// Stop takes no new connections and waits for every request in flight, whatever its length.
func (g *Gate) Stop(context.Context) error {
	g.server.StopListening()
	g.server.DisableKeepAlives()
	for g.inFlight.Load() > 0 {
		time.Sleep(stopPoll)
	}
	if err := g.server.Shutdown(); err != nil {
		return fmt.Errorf("gate: %w", err)
	}
	return nil
}

// InFlight returns how many requests are being served.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Explain returns the explanation of a request that this node accepted lately.
func (g *Gate) Explain(id string) (*Explanation, bool) { return g.explain.get(id) }

// Dump returns how much is being served.
func (g *Gate) Dump() any {
	return struct {
		InFlight int64 `json:"in_flight"`
		Accepted int64 `json:"accepted"`
	}{g.inFlight.Load(), g.sequence.Load()}
}

// NodeOf returns the name of the node that gave a request its identity.
func NodeOf(id string) string {
	node, _, _ := strings.Cut(id, ".")
	return node
}

// newID names a request after its node, this start of the node and a number.
func (g *Gate) newID() string {
	return g.o.Node + "." + g.start + "." + strconv.FormatInt(g.sequence.Add(1), idRandomBase)
}

// admission is a request that passed the checks common to all.
type admission struct {
	id       string
	team     string
	inForce  *chivefollow.InForce
	config   *chiveconfig.Config
	body     []byte
	content  chiverequest.Fingerprint
	arrival  time.Time
	deadline time.Time
	timeout  time.Duration
	key      string
}

// enter counts a request in; it answers at once when the node has no configuration or enough to do.
func (g *Gate) enter(w http.ResponseWriter, r *http.Request) (*admission, func(), bool) {
	a := &admission{id: g.newID(), arrival: time.Now(), inForce: g.o.InForce()}
	count := g.inFlight.Add(1)
	leave := func() { g.inFlight.Add(-1) }
	if err := g.admit(a, count, w, r); err != nil {
		g.refuse(w, r, a, err)
		leave()
		return nil, nil, false
	}
	return a, leave, true
}

func (g *Gate) admit(a *admission, inFlight int64, w http.ResponseWriter, r *http.Request) error {
	if a.inForce == nil {
		return &failure{
			status: http.StatusServiceUnavailable, kind: kindCapacity, code: "no_configuration", message: "this node has no configuration yet",
			outcome: chivedispatch.NotRun, after: afterFullInSec * time.Second,
		}
	}
	a.config = a.inForce.Config()
	if err := chiveentry.CheckHeader(r.Header, a.config.Limits.HeaderBytes); err != nil {
		return err
	}
	team, err := g.keys.Load().team(r)
	if err != nil {
		return err
	}
	a.team = team
	if inFlight > a.config.Limits.InFlight {
		return &failure{
			status: http.StatusServiceUnavailable, kind: kindCapacity, code: "node_full", message: "this node serves as many requests as it may",
			outcome: chivedispatch.NotRun, after: afterFullInSec * time.Second,
		}
	}
	if a.timeout, err = parseTimeout(r.Header); err != nil {
		return err
	}
	if a.key, err = parseKey(r.Header); err != nil {
		return err
	}
	if a.body, err = chiveentry.ReadBody(w, r, a.config.Limits.BodyBytes); err != nil {
		return err
	}
	// The nodes' own addresses do not matter: a caller's next try goes to another node.
	a.content = chiverequest.NewFingerprint(a.team, r.Method, "", r.URL.RequestURI(), a.body)
	return nil
}

// bound sets the deadline: the class's, or the caller's when that is earlier.
func (a *admission) bound(class *chiveconfig.Class) {
	limit := class.Deadline()
	if a.timeout > 0 {
		limit = min(limit, a.timeout)
	}
	a.deadline = a.arrival.Add(limit)
}

func (a *admission) pool(name, kind, code string) (*chiveconfig.Pool, error) {
	pool, ok := a.config.Pool(name)
	if !ok || pool.Kind != kind {
		return nil, &failure{
			status: http.StatusNotFound, kind: kindInvalid, code: code,
			message: fmt.Sprintf("no %s %q; see GET %s", kind, name, pathModels), outcome: chivedispatch.NotRun,
		}
	}
	return pool, nil
}

func (g *Gate) refuse(w http.ResponseWriter, r *http.Request, a *admission, err error) {
	var f *failure
	var common *chiveentry.FailureError
	switch {
	case errors.As(err, &common):
		f = &failure{status: common.Status, kind: kindInvalid, code: common.Code, message: common.Message, outcome: common.Outcome}
	case !errors.As(err, &f):
		f = invalid("invalid_request", err.Error())
	}
	chiveevent.RequestRefused.Log(r.Context(), g.o.Logger, slog.String("request", a.id), slog.String("team", a.team),
		slog.String("code", f.code), slog.String("reason", f.message))
	g.metrics.outcome("", f.outcome)
	f.write(w, a.id)
}

func (g *Gate) serveUnknown(w http.ResponseWriter, r *http.Request) {
	a := &admission{id: g.newID()}
	g.refuse(w, r, a, &failure{
		status: http.StatusNotFound, kind: kindInvalid, code: "unknown_path", message: fmt.Sprintf("no %s %s here", r.Method, r.URL.Path),
		outcome: chivedispatch.NotRun,
	})
}
