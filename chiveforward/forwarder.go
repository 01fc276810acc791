package chiveforward

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"chivedrift/chivehealth"
	"chivedrift/chivekernel"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the forwarder registers.
const ServiceName = "forward"

// Options are the parts a forwarder is made of.
type Options struct {
	Self    string
	Network chivewire.Network
	Dialect chiverequest.EndpointDialect
	Places  Places
	Repeats Repeats
	Rules   Rules
	// Quarantine keeps requests away from endpoints that crash under them; nil quarantines nothing.
	Quarantine Quarantine
	// OnStart is called once per request, when an endpoint first answers any of its attempts; nil is a no-op.
	OnStart func(request *chiverequest.Request)
	Logger  *slog.Logger
	// SinceBoot reads a clock that goes on while the machine is suspended; nil takes the runtime's, which tests pause.
	SinceBoot func() time.Duration
}

// Rules are what differs between kinds of endpoints in how often they may be tried.
type Rules struct {
	// Refusals is how many attempts may be refused, or reach nobody, before the request is given up.
	Refusals int
	// RefusalsCost means that going on after an endpoint's refusal takes a repeat from the budget.
	RefusalsCost bool
	// RetryErrors means that a request which may be repeated goes elsewhere after an endpoint's error of its own.
	RetryErrors bool
	// FreshOnce means that a request which may run once gets a new connection: the endpoints' answers do not say to which
	// request they belong, so a late one on a kept connection could be taken for its own.
	FreshOnce bool
}

// StoreRules are the rules for endpoints that register in the platform's store.
var StoreRules = Rules{Refusals: 3, RefusalsCost: true, RetryErrors: true}

// Places hands out places on endpoints.
type Places interface {
	// Take waits for a place; the error is a *chiveplace.RefusedError, or the context's.
	Take(ctx context.Context, request *chiverequest.Request, exclude []string) (Place, error)
}

// Target is an endpoint that a request is sent to.
type Target struct {
	// ID is what the request names, so that no other endpoint at the address runs it.
	ID string
	// Incarnation names the start of its process: connections are kept, and attempts are excluded, by it.
	Incarnation string
	// Unique means that Incarnation names a single process, and not an endpoint over all starts of its process.
	Unique        bool
	Address       string
	FailureDomain string
}

// healthTarget returns what a health check needs to know of the endpoint.
func (t Target) healthTarget() chivehealth.Endpoint {
	return chivehealth.Endpoint{ID: t.ID, Incarnation: t.Incarnation, Address: t.Address}
}

// failure returns the endpoint's failure at a time.
func (t Target) failure(evidence chivehealth.Evidence, at time.Time) chivehealth.Failure {
	return chivehealth.Failure{Endpoint: t.Incarnation, Unique: t.Unique, FailureDomain: t.FailureDomain, Evidence: evidence, At: at}
}

// Place is one request's place on one endpoint.
type Place interface {
	// Target returns where the place is.
	Target() Target
	// Why returns what decided for the endpoint, for the log.
	Why() []slog.Attr
	// Leaving reports whether the endpoint was about to leave at a time, or had left: its end then was planned.
	Leaving(at time.Time) bool
	// FetchFrom returns the address from which the endpoint should fetch the parts of the prompt that it lacks; empty for none.
	FetchFrom() string
	// Preempted is closed when the place is wanted back for more urgent work; nil where that never happens.
	Preempted() <-chan struct{}
	// Event notes an event of the answer and how long it was waited for; the first means that the answer has begun.
	Event(now time.Time, waited time.Duration)
	// Eject keeps new requests from the endpoint until a time.
	Eject(until time.Time)
	// Done gives the place back and returns for how long the endpoint is ejected now.
	Done(now time.Time, ending chiveplace.Ending) time.Duration
}

// Repeats bounds how often requests are sent again.
type Repeats interface {
	// Request counts a caller's request.
	Request(now time.Time, request *chiverequest.Request)
	// Spend takes one repeat and reports whether there was one left.
	Spend(now time.Time, request *chiverequest.Request) bool
	// Explain returns what the bound rests on, for the log.
	Explain(now time.Time, request *chiverequest.Request) []slog.Attr
}

// Forwarder carries requests to endpoints and their answers back.
type Forwarder struct {
	o            Options
	connections  *connections
	health       *chivehealth.Checker
	inFlight     *inFlight
	registered   *registered
	inconclusive brokenAttempts
	running      runningRequests
	duties       chivekernel.Duties
}

// New returns a forwarder without connections.
func New(o Options) *Forwarder {
	if o.Quarantine == nil {
		o.Quarantine = noQuarantine{}
	}
	if o.OnStart == nil {
		o.OnStart = func(*chiverequest.Request) {}
	}
	if o.SinceBoot == nil {
		began := time.Now()
		o.SinceBoot = func() time.Duration { return time.Since(began) }
	}
	return &Forwarder{
		o: o, connections: newConnections(o.Network, o.Self), health: chivehealth.NewChecker(o.Self, o.Network, o.Dialect), inFlight: newInFlight(), registered: newRegistered(),
	}
}

// Start begins to close idle connections and to watch for endpoints that go silent.
func (f *Forwarder) Start(ctx context.Context) error {
	f.duties.Begin(ctx, f.sweep, f.watchSilence)
	return nil
}

// Stop closes every idle connection.
func (f *Forwarder) Stop(context.Context) error {
	f.duties.End()
	f.connections.closeAll()
	return nil
}

// Dump returns how many connections were opened and used again.
func (f *Forwarder) Dump() any {
	opened, reused := f.connections.counts()
	return struct {
		Opened int64 `json:"connections_opened"`
		Reused int64 `json:"connections_reused"`
	}{opened, reused}
}

func (f *Forwarder) sweep(ctx context.Context) {
	chivekernel.Every(ctx, sweepEvery, func(now time.Time) {
		f.connections.sweep(now)
		f.health.Sweep(now)
		f.inFlight.sweep(now)
		f.inconclusive.sweep(now)
	})
}

// InProgress returns the number of requests in progress, by pool.
func (f *Forwarder) InProgress() map[string]int64 { return f.running.counts() }

// errDeadline is the cause of a context whose request has run out of time.
var errDeadline = errors.New("the request's time ran out")

// Run carries a request through to its outcome.
func (f *Forwarder) Run(parent context.Context, request *chiverequest.Request, sink Sink) Result {
	ctx, cancel := context.WithDeadlineCause(parent, request.Deadline, errDeadline)
	defer cancel()
	f.o.Repeats.Request(time.Now(), request)
	defer f.running.begin(request.Pool)()
	r := &run{f: f, request: request, sink: sink, last: request.LastEvent, watch: newStopwatch(f.o.SinceBoot)}
	if r.isQuarantined(ctx) {
		return r.result
	}
	for !r.attempt(ctx) {
	}
	return r.result
}
