package chivedispatch

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiveforward"
	"chivedrift/chivehealth"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chiveschedule"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the dispatcher is registered in the kernel.
const ServiceName = "dispatch"

// Slots hands out the scheduler's slots.
type Slots interface {
	// Acquire blocks until a slot is granted or refused, or ctx is done.
	Acquire(ctx context.Context, ask chiveschedule.Ask) (*chiveschedule.Slot, error)
}

// Fleet is told which endpoints are draining.
type Fleet interface {
	// EndpointLeaves reports that the endpoint at an address accepts no new requests.
	EndpointLeaves(address string)
}

const (
	maxAttempts = 6
	// configRetryAfter is the Retry-After time of requests that cannot be served until the configuration changes.
	configRetryAfter = time.Minute
)

// Error codes in responses to callers.
const (
	CodeEndpointError = "endpoint_error"
	CodeDeadline      = chiveforward.CodeDeadline
	CodeBroken        = chiveforward.CodeBroken
	CodeRefused       = "capacity"
)

// Dispatcher runs model requests on slots that the scheduler grants on the engines of the router's own configuration.
type Dispatcher struct {
	self       string
	network    chivewire.Network
	slots      Slots
	fleet      Fleet
	quarantine chiveforward.Quarantine
	logger     *slog.Logger
	forwarder  *chiveforward.Forwarder
	budget     *Budget
	waste      *Waste
}

// New returns a dispatcher that connects to endpoints through network.
func New(
	self string, network chivewire.Network, slots Slots, fleet Fleet, quarantine chiveforward.Quarantine, logger *slog.Logger,
) *Dispatcher {
	d := &Dispatcher{self: self, network: network, slots: slots, fleet: fleet, quarantine: quarantine, logger: logger, budget: NewBudget(), waste: &Waste{}}
	d.forwarder = d.newForwarder(slotPlacer{d}, maxAttempts)
	return d
}

// newForwarder returns a forwarder to the endpoints of the router's own configuration.
func (d *Dispatcher) newForwarder(placer chiveforward.Places, maxRefusals int) *chiveforward.Forwarder {
	return chiveforward.New(chiveforward.Options{
		Self: d.self, Network: d.network, Dialect: dialect{}, Places: placer, Repeats: d.budget,
		Rules: chiveforward.Rules{Refusals: maxRefusals}, Quarantine: d.quarantine, Logger: d.logger,
	})
}

// Start starts the forwarder's background tasks, such as closing idle connections.
func (d *Dispatcher) Start(ctx context.Context) error { return d.forwarder.Start(ctx) }

// Stop closes idle connections to endpoints.
func (d *Dispatcher) Stop(ctx context.Context) error { return d.forwarder.Stop(ctx) }

// Dump returns the retry credits, the counts of wasted tokens and the forwarder's state.
func (d *Dispatcher) Dump() any {
	return struct {
		Credits map[string]float64 `json:"retry_credits"`
		Waste   WasteState         `json:"waste"`
		Forward any                `json:"forward"`
	}{d.budget.Credits(), d.waste.State(), d.forwarder.Dump()}
}

// PeerFailure handles an engine failure that another node detected. If the engine has answered this node since the
// failure, alive is the time of that response, else the zero time.
func (d *Dispatcher) PeerFailure(failure chivehealth.Failure) (alive time.Time) {
	return d.forwarder.PeerFailure(failure)
}

// PeerCrash handles a crash under a request of another node, for the attempts of this node that ended at the same endpoint.
func (d *Dispatcher) PeerCrash(failure chivehealth.Failure) { d.forwarder.PeerCrash(failure) }

// Run runs a model request to its outcome and also returns what was delivered to the caller.
func (d *Dispatcher) Run(ctx context.Context, request *Work, sink Sink) (Result, *Answer) {
	run := &modelRun{dispatcher: d, request: request, sink: sink, response: &Answer{}}
	result := d.forwarder.Run(ctx, run.forwardRequest(), run)
	return run.toResult(&result), run.response
}

// slotPlacer implements chiveforward.Places with the scheduler's slots.
type slotPlacer struct {
	dispatcher *Dispatcher
}

// Take blocks until the scheduler grants or refuses a slot.
func (p slotPlacer) Take(ctx context.Context, request *chiverequest.Request, exclude []string) (chiveforward.Place, error) {
	run, ok := request.Source.(*modelRun)
	if !ok {
		return nil, errNotModelRequest
	}
	for {
		run.attemptNumber++
		slot, err := p.dispatcher.slots.Acquire(ctx, chiveschedule.Ask{Pool: run.request.Pool, Request: run.request.slotRequest(run.attemptNumber, run.response.tokens, exclude)})
		if err != nil {
			return nil, toRefusedError(err)
		}
		if slot.Endpoint().Address == "" {
			// The endpoint was removed from the configuration after the slot was granted.
			slot.Done(chiveschedule.Ending{Result: chiveschedule.ResultReturned})
			continue
		}
		placement := &slotPlacement{run: run, slot: slot, startedAt: time.Now(), tokensBefore: run.response.tokens}
		run.placements = append(run.placements, placement)
		return placement, nil
	}
}

var errNotModelRequest = errors.New("dispatch: slot requested for a request that is not a model request")

func toRefusedError(err error) error {
	var refused *chiveschedule.RefusedError
	if errors.As(err, &refused) {
		return &chiveplace.RefusedError{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
	}
	if errors.Is(err, chiveschedule.ErrNoPool) {
		return &chiveplace.RefusedError{Reason: err.Error(), RetryAfter: configRetryAfter}
	}
	return err
}

// slotPlacement implements chiveforward.Place with a slot.
type slotPlacement struct {
	run       *modelRun
	slot      *chiveschedule.Slot
	startedAt time.Time
	// tokensBefore and tokensAfter are the numbers of tokens delivered by the start and by the end of the attempt.
	tokensBefore int64
	tokensAfter  int64
}

// Target returns the endpoint of the slot.
func (p *slotPlacement) Target() chiveforward.Target {
	return endpointTarget(p.slot.Endpoint())
}

// endpointTarget converts a configured endpoint for the forwarder. Its name, which the operator chose, also serves as
// the incarnation, because these endpoints do not tell one start of their process from another.
func endpointTarget(endpoint chiveconfig.Endpoint) chiveforward.Target {
	return chiveforward.Target{ID: endpoint.Name, Incarnation: endpoint.Name, Address: endpoint.Address, FailureDomain: endpoint.FailureDomain}
}

// Why returns the scheduler's reason for choosing the endpoint.
func (p *slotPlacement) Why() []slog.Attr {
	grant := p.slot.Grant()
	return []slog.Attr{slog.String("because", grant.Reason), slog.Int("candidates", len(grant.Candidates)), slog.Int64("queued_ms", grant.QueuedMs)}
}

// Preempted returns a channel that is closed when the scheduler reclaims the slot.
func (p *slotPlacement) Preempted() <-chan struct{} { return p.slot.Preempted() }

// Event does nothing: progress is reported with the delivered tokens.
func (p *slotPlacement) Event(time.Time, time.Duration) {}

// Leaving always returns false: while draining, these engines refuse new requests and finish the running ones.
func (p *slotPlacement) Leaving(time.Time) bool { return false }

// Accepts reports whether the configuration in force still allows the request there. While draining, these engines refuse
// new requests themselves.
func (p *slotPlacement) Accepts(time.Time) bool { return p.slot.Accepts() }

// Eject does nothing: the scheduler rates its engines by the results of their slots.
func (p *slotPlacement) Eject(time.Time) {}

// StateLimits does nothing: these engines state no limits.
func (p *slotPlacement) StateLimits(time.Time, chiverequest.Limits) (before chiverequest.Limits, changed bool) {
	return chiverequest.Limits{}, false
}

// StateNotice does nothing: these engines state nothing about their processes.
func (p *slotPlacement) StateNotice(time.Time, chiverequest.Notice) (leaves, rests bool) {
	return false, false
}

// FetchFrom returns no address: these engines do not fetch cached prompt parts from each other.
func (p *slotPlacement) FetchFrom() string { return "" }

// Done releases the slot with the result of the attempt; an endpoint that refused it is reported as draining.
func (p *slotPlacement) Done(now time.Time, ending chiveplace.Ending) time.Duration {
	p.tokensAfter = p.run.response.tokens
	report := p.attemptReport(now)
	report.Result = slotResults[ending]
	p.slot.Done(report)
	if ending == chiveplace.EndedFull {
		p.run.dispatcher.fleet.EndpointLeaves(p.slot.Endpoint().Address)
	}
	return 0
}

var slotResults = map[chiveplace.Ending]chiveschedule.Result{
	chiveplace.EndedWell: chiveschedule.ResultOK, chiveplace.EndedError: chiveschedule.ResultOK, chiveplace.EndedBroken: chiveschedule.ResultFailed,
	chiveplace.EndedFull: chiveschedule.ResultRefused, chiveplace.EndedGone: chiveschedule.ResultRefused, chiveplace.EndedCaller: chiveschedule.ResultCancelled,
}

func (p *slotPlacement) attemptReport(now time.Time) chiveschedule.Ending {
	response := p.run.response
	report := chiveschedule.Ending{Tokens: response.tokens - p.tokensBefore}
	if p.tokensBefore == 0 && response.tokens > 0 {
		report.First = response.firstTokenAt.Sub(p.startedAt)
	}
	report.Stream = now.Sub(p.startedAt) - report.First
	return report
}

// endedWithoutResponse reports whether no endpoint completed a response to the request.
func endedWithoutResponse(result *chiveforward.Result) bool {
	return result.Outcome == chiveforward.NotRun || result.Outcome == chiveforward.Unknown
}

// setFailure translates the forwarder's failure into the codes, statuses and retry times of the gateway's API.
func (r *Result) setFailure(forwarded *chiveforward.Result) {
	r.Code, r.Message, r.RetryAfter, r.Status = forwarded.Code, forwarded.Message, forwarded.RetryAfter, forwarded.Status
	switch forwarded.Code {
	case chiveforward.CodeDeadline, chiveforward.CodeCallerGone:
		r.Code, r.Status = CodeDeadline, http.StatusGatewayTimeout
		if len(forwarded.Tries) == 0 && forwarded.Code == chiveforward.CodeDeadline {
			r.RetryAfter = time.Second
		}
	case chiveforward.CodeNoPlace, chiveforward.CodeRefused:
		r.Code = CodeRefused
	case chiveforward.CodeBroken:
		r.RetryAfter = time.Second
	}
}
