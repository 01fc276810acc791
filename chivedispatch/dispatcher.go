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

// ServiceName is the name under which the dispatcher registers.
const ServiceName = "dispatch"

// Slots is what the dispatcher needs of the scheduling.
type Slots interface {
	// Acquire waits for a slot.
	Acquire(ctx context.Context, ask chiveschedule.Ask) (*chiveschedule.Slot, error)
}

// Fleet hears which endpoints take no new work.
type Fleet interface {
	// EndpointLeaves tells the fleet that an endpoint, by its address, takes no new work.
	EndpointLeaves(address string)
}

const (
	maxAttempts = 6
	minuteRetry = time.Minute
)

// Error codes, as callers see them.
const (
	CodeEndpointError = "endpoint_error"
	CodeDeadline      = chiveforward.CodeDeadline
	CodeBroken        = chiveforward.CodeBroken
	CodeRefused       = "capacity"
)

// Dispatcher runs model requests: the scheduler's slots are their places, the product's own engines their endpoints.
type Dispatcher struct {
	self       string
	network    chivewire.Network
	slots      Slots
	fleet      Fleet
	quarantine chiveforward.Quarantine
	logger     *slog.Logger
	forward    *chiveforward.Forwarder
	budget     *Budget
	waste      *Waste
}

// New returns a dispatcher that calls endpoints over a network.
func New(
	self string, network chivewire.Network, slots Slots, fleet Fleet, quarantine chiveforward.Quarantine, logger *slog.Logger,
) *Dispatcher {
	d := &Dispatcher{self: self, network: network, slots: slots, fleet: fleet, quarantine: quarantine, logger: logger, budget: NewBudget(), waste: &Waste{}}
	d.forward = d.newForwarder(slotPlaces{d}, maxAttempts)
	return d
}

// newForwarder returns a forwarder for endpoints of the product's own configuration.
func (d *Dispatcher) newForwarder(places chiveforward.Places, refusals int) *chiveforward.Forwarder {
	return chiveforward.New(chiveforward.Options{
		Self: d.self, Network: d.network, Dialect: dialect{}, Places: places, Repeats: d.budget,
		Rules: chiveforward.Rules{Refusals: refusals, FreshOnce: true}, Quarantine: d.quarantine, Logger: d.logger,
	})
}

// Start begins to look after idle connections.
func (d *Dispatcher) Start(ctx context.Context) error { return d.forward.Start(ctx) }

// Stop closes idle connections.
func (d *Dispatcher) Stop(ctx context.Context) error { return d.forward.Stop(ctx) }

// Dump returns the retry credits and the work that was thrown away.
func (d *Dispatcher) Dump() any {
	return struct {
		Credits map[string]float64 `json:"retry_credits"`
		Waste   WasteState         `json:"waste"`
		Forward any                `json:"forward"`
	}{d.budget.Credits(), d.waste.State(), d.forward.Dump()}
}

// PeerFailure takes a failure of an engine that another node found, and returns when it was alive later.
func (d *Dispatcher) PeerFailure(failure chivehealth.Failure) (alive time.Time) {
	return d.forward.PeerFailure(failure)
}

// Run carries a model request through to its outcome; answer holds what was delivered.
func (d *Dispatcher) Run(parent context.Context, work *Work, sink Sink) (Result, *Answer) {
	m := &modelRun{d: d, work: work, sink: sink, answer: &Answer{}}
	result := d.forward.Run(parent, m.request(), m)
	return m.finish(&result), m.answer
}

// slotPlaces turns the scheduler's slots into places.
type slotPlaces struct {
	d *Dispatcher
}

// Take waits for a slot.
func (p slotPlaces) Take(ctx context.Context, request *chiverequest.Request, exclude []string) (chiveforward.Place, error) {
	m, ok := request.Source.(*modelRun)
	if !ok {
		return nil, errNotAModel
	}
	for {
		m.number++
		slot, err := p.d.slots.Acquire(ctx, chiveschedule.Ask{Pool: m.work.Pool, Request: m.work.slotRequest(m.number, m.answer.tokens, exclude)})
		if err != nil {
			return nil, refusedBy(err)
		}
		if slot.Endpoint().Address == "" {
			// The configuration dropped the endpoint between the grant and here.
			slot.Done(chiveschedule.Ending{Result: chiveschedule.ResultReturned})
			continue
		}
		place := &slotPlace{m: m, slot: slot, started: time.Now(), before: m.answer.tokens}
		m.places = append(m.places, place)
		return place, nil
	}
}

var errNotAModel = errors.New("dispatch: a request without a model run asked for a slot")

func refusedBy(err error) error {
	var refused *chiveschedule.RefusedError
	if errors.As(err, &refused) {
		return &chiveplace.RefusedError{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
	}
	if errors.Is(err, chiveschedule.ErrNoPool) {
		return &chiveplace.RefusedError{Reason: err.Error(), RetryAfter: minuteRetry}
	}
	return err
}

// slotPlace is a slot as the forwarder sees it.
type slotPlace struct {
	m       *modelRun
	slot    *chiveschedule.Slot
	started time.Time
	// before and after are the tokens that had been delivered when the attempt began and ended.
	before int64
	after  int64
}

// Target returns the endpoint.
func (p *slotPlace) Target() chiveforward.Target {
	return targetOf(p.slot.Endpoint())
}

// targetOf returns an endpoint of the own interface as the forwarder sees it: operators name it, and it does not tell one start of its process
// from another.
func targetOf(e chiveconfig.Endpoint) chiveforward.Target {
	return chiveforward.Target{ID: e.Name, Incarnation: e.Name, Address: e.Address, FailureDomain: e.FailureDomain}
}

// Why returns the scheduler's reason.
func (p *slotPlace) Why() []slog.Attr {
	grant := p.slot.Grant()
	return []slog.Attr{slog.String("because", grant.Reason), slog.Int("candidates", len(grant.Candidates)), slog.Int64("queued_ms", grant.QueuedMs)}
}

// Preempted is closed when the scheduler wants the slot back.
func (p *slotPlace) Preempted() <-chan struct{} { return p.slot.Preempted() }

// Event does nothing: progress is told with the tokens.
func (p *slotPlace) Event(time.Time, time.Duration) {}

// Leaving tells nothing here: these engines refuse new work while they leave, and finish what they have.
func (p *slotPlace) Leaving(time.Time) bool { return false }

// Eject does nothing here: the scheduler judges its engines by how their slots end.
func (p *slotPlace) Eject(time.Time) {}

// FetchFrom names nobody: these engines move no parts.
func (p *slotPlace) FetchFrom() string { return "" }

// Done gives the slot back.
func (p *slotPlace) Done(now time.Time, ending chiveplace.Ending) time.Duration {
	p.after = p.m.answer.tokens
	lengths := p.lengths(now)
	lengths.Result = slotResults[ending]
	p.slot.Done(lengths)
	if ending == chiveplace.EndedFull {
		p.m.d.fleet.EndpointLeaves(p.slot.Endpoint().Address)
	}
	return 0
}

var slotResults = map[chiveplace.Ending]chiveschedule.Result{
	chiveplace.EndedWell: chiveschedule.ResultOK, chiveplace.EndedError: chiveschedule.ResultOK, chiveplace.EndedBroken: chiveschedule.ResultFailed,
	chiveplace.EndedFull: chiveschedule.ResultRefused, chiveplace.EndedGone: chiveschedule.ResultRefused, chiveplace.EndedCaller: chiveschedule.ResultCancelled,
}

func (p *slotPlace) lengths(now time.Time) chiveschedule.Ending {
	answer := p.m.answer
	e := chiveschedule.Ending{Tokens: answer.tokens - p.before}
	if p.before == 0 && answer.tokens > 0 {
		e.First = answer.first.Sub(p.started)
	}
	e.Stream = now.Sub(p.started) - e.First
	return e
}

// isGivenUp reports whether a result has no answer of an endpoint.
func isGivenUp(result *chiveforward.Result) bool {
	return result.Outcome == chiveforward.NotRun || result.Outcome == chiveforward.Unknown
}

// giveUp turns the forwarder's codes and times into those of the own callers' contract.
func (r *Result) giveUp(from *chiveforward.Result) {
	r.Code, r.Message, r.RetryAfter, r.Status = from.Code, from.Message, from.RetryAfter, from.Status
	switch from.Code {
	case chiveforward.CodeDeadline, chiveforward.CodeCallerGone:
		r.Code, r.Status = CodeDeadline, http.StatusGatewayTimeout
		if len(from.Tries) == 0 && from.Code == chiveforward.CodeDeadline {
			r.RetryAfter = time.Second
		}
	case chiveforward.CodeNoPlace, chiveforward.CodeRefused:
		r.Code = CodeRefused
	case chiveforward.CodeBroken:
		r.RetryAfter = time.Second
	}
}
