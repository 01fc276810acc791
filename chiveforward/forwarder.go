package chiveforward

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chivehealth"
	"chivedrift/chivekernel"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the forwarder registers.
const ServiceName = "forward"

// Options configures a Forwarder.
type Options struct {
	Self    string
	Network chivewire.Network
	Dialect chiverequest.EndpointDialect
	Places  Places
	Repeats Repeats
	Rules   Rules
	// Shutdown is the planned stop of the node; nil means one that never begins.
	Shutdown *Shutdown
	// Quarantine blocks requests that crash endpoints; nil disables quarantining.
	Quarantine Quarantine
	// Streams records where streams began; nil if endpoints have no software versions.
	Streams Streams
	// PathLost reports whether this node cannot connect to an endpoint's address itself; nil means never.
	PathLost func(address string) bool
	// OnNotice is called when an endpoint states something new about its process, with the address of the peer through which the
	// response came, empty for none; nil is a no-op.
	OnNotice func(through string, endpoint Target, notice chiverequest.Notice)
	// OnWarmUp is called when an endpoint states that it takes only a few requests for some time; nil is a no-op.
	OnWarmUp func(incarnation string, left time.Duration)
	// OnStart is called once per request, when an endpoint first responds to one of its attempts; nil is a no-op.
	OnStart func(request *chiverequest.Request)
	// Distances are the distances to the endpoints; nil in a deployment in one region.
	Distances *chivedistance.Table
	Logger    *slog.Logger
	// SinceBoot reads a clock that keeps running while the machine is suspended. If nil, the runtime's clock is used,
	// which tests can pause.
	SinceBoot func() time.Duration
}

// Rules sets how often requests may be tried, depending on the kind of endpoint.
type Rules struct {
	// Refusals is how many attempts may be refused, or fail to reach an endpoint, before the request is given up.
	Refusals int
	// ArrivalsCost means that every attempt after one that may have reached an endpoint is charged to the retry budget,
	// however that one ended. Otherwise only an attempt after a failure is: one that was refused or preempted made room
	// for other requests.
	ArrivalsCost bool
	// RetryErrors means that a repeatable request is retried on another endpoint after an endpoint returned an error of
	// its own.
	RetryErrors bool
}

// StoreRules are the rules for endpoints that register in the platform's store.
var StoreRules = Rules{Refusals: 3, ArrivalsCost: true, RetryErrors: true}

// Places selects endpoints for requests.
type Places interface {
	// Take waits for an endpoint that can take the request. The error is a *chiveplace.RefusedError or the context's
	// error.
	Take(ctx context.Context, request *chiverequest.Request, exclude []string) (Place, error)
}

// Target is the endpoint to which a request is sent.
type Target struct {
	// ID is sent with the request, so that another endpoint at the same address does not run it.
	ID string
	// Incarnation identifies one start of the endpoint's process. It is the key for idle connections and for endpoints
	// that are excluded from retries.
	Incarnation string
	// Unique means that Incarnation identifies a single process. Otherwise it stays the same when the endpoint
	// restarts.
	Unique        bool
	Address       string
	FailureDomain string
	// Version is the version of the endpoint's software; empty if it is not known.
	Version string
}

// healthEndpoint returns the endpoint in the form that a health check takes.
func (t Target) healthEndpoint(distances *chivedistance.Table) chivehealth.Endpoint {
	timeout := distances.WaitForDomain(t.FailureDomain, chivehealth.CheckTimeout, checkRoundTrips)
	return chivehealth.Endpoint{ID: t.ID, Incarnation: t.Incarnation, Address: t.Address, Timeout: timeout}
}

// failure returns a Failure of the endpoint with the given evidence and time.
func (t Target) failure(evidence chivehealth.Evidence, at time.Time) chivehealth.Failure {
	return chivehealth.Failure{Endpoint: t.Incarnation, Unique: t.Unique, FailureDomain: t.FailureDomain, Evidence: evidence, At: at}
}

// Place is the assignment of one request to one endpoint.
type Place interface {
	// Target returns the selected endpoint.
	Target() Target
	// Why returns log attributes that explain why the endpoint was selected.
	Why() []slog.Attr
	// Leaving reports whether the endpoint was leaving at the given time or had already left, so that its end was
	// planned.
	Leaving(at time.Time) bool
	// Accepts reports whether the endpoint still takes the request, which may have waited since it was placed.
	Accepts(now time.Time) bool
	// FetchFrom returns the address from which the endpoint should fetch the parts of the prompt that it does not hold;
	// empty for none.
	FetchFrom() string
	// Preempted is closed when a more urgent request needs the capacity; nil if that never happens.
	Preempted() <-chan struct{}
	// Event records an event of the response and the time spent waiting for it. The first event marks the start of the
	// response.
	Event(now time.Time, waited time.Duration)
	// Eject keeps new requests from the endpoint until the given time.
	Eject(until time.Time)
	// StateLimits records the limits that a response of the endpoint states, and returns those before if they have
	// changed.
	StateLimits(now time.Time, limits chiverequest.Limits) (before chiverequest.Limits, changed bool)
	// StateNotice records what a response states about the endpoint's process. It reports whether the node did not know yet
	// that the endpoint is leaving, or of a rest that ends as late.
	StateNotice(now time.Time, notice chiverequest.Notice) (leaves, rests bool)
	// Done releases the place and returns how long the endpoint is ejected from now on.
	Done(now time.Time, ending chiveplace.Ending) time.Duration
}

// Repeats limits how often requests are retried.
type Repeats interface {
	// Request counts a caller's request.
	Request(now time.Time, request *chiverequest.Request)
	// Spend charges one retry to the budget and reports whether it was allowed.
	Spend(now time.Time, request *chiverequest.Request) bool
	// Explain returns log attributes that describe the current limit.
	Explain(now time.Time, request *chiverequest.Request) []slog.Attr
}

// Streams records where streams began, so that a caller can take them up at another node.
type Streams interface {
	// Begin records the origin of a stream of a team, named by the caller's attempt that got its first event.
	Begin(team, attempt string, origin chiverequest.Origin)
}

// Forwarder sends requests to endpoints and returns their responses.
type Forwarder struct {
	options     Options
	connections *connectionPool
	health      *chivehealth.Checker
	inFlight    *inFlightAttempts
	registered  *registeredAddresses
	ended       endedAttempts
	held        heldBytes
	// invalidLimits are the limits of endpoints that are not usable.
	invalidLimits unusableStatements
	// invalidNotices are what endpoints state about their processes in values that are not usable.
	invalidNotices unusableStatements
	inProgress     inProgressRequests
	// repeated counts the attempts that may have reached an endpoint after an earlier one of their request had.
	repeated   atomic.Int64
	responses  responseCounters
	background chivekernel.Duties
}

// New returns a forwarder without open connections.
func New(o Options) *Forwarder {
	if o.Quarantine == nil {
		o.Quarantine = noQuarantine{}
	}
	if o.Shutdown == nil {
		o.Shutdown = NewShutdown()
	}
	if o.OnStart == nil {
		o.OnStart = func(*chiverequest.Request) {}
	}
	if o.OnNotice == nil {
		o.OnNotice = func(string, Target, chiverequest.Notice) {}
	}
	if o.OnWarmUp == nil {
		o.OnWarmUp = func(string, time.Duration) {}
	}
	if o.PathLost == nil {
		o.PathLost = func(string) bool { return false }
	}
	if o.SinceBoot == nil {
		start := time.Now()
		o.SinceBoot = func() time.Duration { return time.Since(start) }
	}
	f := &Forwarder{
		options: o, connections: newConnectionPool(o.Network, o.Self), health: chivehealth.NewChecker(o.Self, o.Network, o.Dialect), inFlight: newInFlightAttempts(), registered: newRegisteredAddresses(),
	}
	f.health.OnAnswer(func(e chivehealth.Endpoint, response chiverequest.Matched) {
		f.recordWarmUp(context.Background(), e.ID, e.Incarnation, response)
	})
	return f
}

// Start begins to close expired idle connections and to detect silent endpoints.
func (f *Forwarder) Start(ctx context.Context) error {
	f.background.Begin(ctx, f.sweep, f.detectSilence)
	return nil
}

// Stop ends the background goroutines and closes all idle connections.
func (f *Forwarder) Stop(context.Context) error {
	f.background.End()
	f.connections.closeAll()
	return nil
}

// Dump returns how many connections were opened and how often one was reused.
func (f *Forwarder) Dump() any {
	opened, reused := f.connections.counts()
	return struct {
		Opened int64 `json:"connections_opened"`
		Reused int64 `json:"connections_reused"`
	}{opened, reused}
}

func (f *Forwarder) sweep(ctx context.Context) {
	chivekernel.Every(ctx, sweepInterval, func(now time.Time) {
		f.connections.sweep(now)
		f.logUnsolicited(ctx, now)
		f.health.Sweep(now)
		f.inFlight.sweep(now)
		f.ended.sweep(now)
	})
}

// InProgress returns the number of requests in progress, by pool.
func (f *Forwarder) InProgress() map[string]int64 { return f.inProgress.counts() }

// InFlightByDomain returns the number of attempts in flight by the failure domain of their endpoint.
func (f *Forwarder) InFlightByDomain() map[string]int { return f.inFlight.countByDomain() }

// Repeated returns the number of attempts that may have reached an endpoint after an earlier one of their request had.
func (f *Forwarder) Repeated() int64 { return f.repeated.Load() }

// errDeadline is the cancellation cause of a request whose deadline has passed.
var errDeadline = errors.New("request deadline exceeded")

// Run sends a request until it is answered or given up, and returns its result.
func (f *Forwarder) Run(parent context.Context, request *chiverequest.Request, sink Sink) Result {
	ctx, cancel := context.WithDeadlineCause(parent, request.Deadline, errDeadline)
	defer cancel()
	f.options.Repeats.Request(time.Now(), request)
	defer f.inProgress.begin(request.Pool)()
	r := &requestState{forwarder: f, request: request, sink: sink, lastEventID: request.LastEvent, suspension: newSuspensionTimer(f.options.SinceBoot)}
	ctx, stop := r.untilLastAnswers(ctx)
	defer stop()
	if r.refuseIfQuarantined(ctx) {
		return r.result
	}
	for !r.runAttempt(ctx) {
	}
	r.passOnWhole()
	r.recordDuration(ctx)
	return r.result
}
