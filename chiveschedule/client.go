package chiveschedule

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivekernel"

	"chivedrift/chiveconfig"
	"chivedrift/chivemember"
	"chivedrift/chiveresidency"
	"chivedrift/chiveroute"
	"chivedrift/chivewire"
)

// ClientName is the name under which the gateway's side registers.
const ClientName = "slots"

const (
	tendEvery    = 100 * time.Millisecond
	suspectFor   = 3 * time.Second
	restateAfter = time.Second
	localTries   = 2
)

// ErrNoPool is returned for a pool without shards in the configuration in force.
var ErrNoPool = errors.New("no shard of this pool")

// RefusedError is the final no to a request for a slot.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error names the reason.
func (r *RefusedError) Error() string { return "refused: " + r.Reason }

// Ask is what a gateway wants a slot for.
type Ask struct {
	Pool    string
	Request SlotRequest
}

// Client asks the schedulers of shards for slots and keeps what this gateway holds.
type Client struct {
	mesh    *chivewire.Mesh
	logger  *slog.Logger
	region  string
	choice  *chiveroute.Choice
	members atomic.Pointer[[]chivemember.Member]
	table   atomic.Pointer[shardTable]
	places  atomic.Pointer[chiveroute.Placement]
	placing sync.Mutex

	mu       sync.Mutex
	pending  map[requestKey]*pending
	held     map[requestKey]*Slot
	suspects map[string]time.Time
	restate  map[string]time.Time
	placed   map[string]string
	local    map[string]int

	duties chivekernel.Duties
}

// shardTable is the configuration's shards, by pool and by name.
type shardTable struct {
	config *chiveconfig.Config
	byPool map[string][]chiveroute.Shard
	byID   map[string]chiveroute.Shard
}

// pending is a request for a slot that has no answer yet.
type pending struct {
	shard     chiveroute.Shard
	request   SlotRequest
	scheduler string
	asked     time.Time
	heard     bool
	tries     int
	answer    chan pendingAnswer
}

type pendingAnswer struct {
	grant   *SlotGrant
	refusal *SlotRefusal
	local   bool
}

// NewClient returns the gateway's side of a node in a region.
func NewClient(region string, mesh *chivewire.Mesh, logger *slog.Logger) *Client {
	c := &Client{
		mesh: mesh, logger: logger, region: region, choice: chiveroute.NewChoice(rand.IntN),
		pending: make(map[requestKey]*pending), held: make(map[requestKey]*Slot), suspects: make(map[string]time.Time),
		restate: make(map[string]time.Time), placed: make(map[string]string), local: make(map[string]int),
	}
	c.members.Store(&[]chivemember.Member{})
	c.table.Store(&shardTable{})
	c.place()
	chivewire.Receive(mesh, chivewire.KindSlotGrant, c.onGrant)
	chivewire.Receive(mesh, chivewire.KindSlotQueued, c.onQueued)
	chivewire.Receive(mesh, chivewire.KindSlotRefusal, c.onRefusal)
	chivewire.Receive(mesh, chivewire.KindSlotPreempt, c.onPreempt)
	mesh.OnLost(c.onLost)
	return c
}

// Start begins to look after requests without an answer.
func (c *Client) Start(ctx context.Context) error {
	c.duties.Begin(ctx, c.run)
	return nil
}

// Stop ends the goroutine.
func (c *Client) Stop(context.Context) error {
	c.duties.End()
	return nil
}

// SetConfig takes a configuration that came into force.
func (c *Client) SetConfig(config *chiveconfig.Config) {
	table := &shardTable{config: config, byPool: make(map[string][]chiveroute.Shard), byID: make(map[string]chiveroute.Shard)}
	for _, s := range chiveroute.Shards(config) {
		table.byPool[s.Pool()] = append(table.byPool[s.Pool()], s)
		table.byID[s.ID()] = s
	}
	c.table.Store(table)
	c.place()
}

// place works out which node schedules each shard; it runs when members or shards change and not for each request. The lock keeps a placement from
// before a concurrent change from being stored last.
func (c *Client) place() {
	c.placing.Lock()
	defer c.placing.Unlock()
	table := c.table.Load()
	keys := make([]chiveroute.Key, 0, len(table.byID))
	for id, s := range table.byID {
		keys = append(keys, chiveroute.NewKey(id, s.Region()))
	}
	c.places.Store(chiveroute.NewPlacement(keys, *c.members.Load()))
}

// SetMembers takes a change of the fleet and moves what waits or runs to the schedulers that follow.
func (c *Client) SetMembers(members []chivemember.Member) {
	before := c.members.Swap(&members)
	c.place()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trustNew(*before, members)
	c.replace(time.Now())
}

// trustNew clears the suspicion of members that have just joined: it comes from a connection that failed before they were up.
func (c *Client) trustNew(before, members []chivemember.Member) {
	known := make(map[string]bool, len(before))
	for _, m := range before {
		known[m.Address] = true
	}
	for _, m := range members {
		if !known[m.Address] {
			delete(c.suspects, m.Address)
		}
	}
}

// Acquire waits for a slot; the error is *RefusedError for a final no, or the context's.
func (c *Client) Acquire(ctx context.Context, ask Ask) (*Slot, error) {
	excluded := make(map[string]bool)
	for {
		p, err := c.submit(ask, excluded)
		if err != nil {
			return nil, err
		}
		answer, err := c.await(ctx, p)
		if err != nil {
			return nil, err
		}
		if answer.grant != nil {
			slot := c.hold(p, answer)
			if c.residency(ask).Allows(p.shard.Region()) {
				return slot, nil
			}
			// The configuration took the region away while the request waited.
			slot.Done(Ending{Result: ResultReturned})
			continue
		}
		if answer.refusal.Reason != ReasonNoneUp && answer.refusal.Reason != ReasonFull {
			return nil, refused(answer.refusal)
		}
		excluded[p.shard.ID()] = true
		if _, more := c.pick(ask, excluded); !more {
			return nil, refused(answer.refusal)
		}
	}
}

func refused(r *SlotRefusal) *RefusedError {
	return &RefusedError{Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond}
}

// residency returns where a request may be served by the configuration in force.
func (c *Client) residency(ask Ask) chiveresidency.Policy {
	config := c.table.Load().config
	if config == nil {
		return chiveresidency.Policy{}
	}
	return config.Residency(ask.Request.Class, ask.Request.Team)
}

// pick chooses among the shards of this region first, then among the others that the request may be served in.
func (c *Client) pick(ask Ask, excluded map[string]bool) (chiveroute.Shard, bool) {
	var near, far []chiveroute.Shard
	residency := c.residency(ask)
	for _, s := range c.table.Load().byPool[ask.Pool] {
		switch {
		case !residency.Allows(s.Region()):
		case s.Region() == c.region:
			near = append(near, s)
		default:
			far = append(far, s)
		}
	}
	if s, ok := c.choice.Pick(time.Now(), ask.Request.Prefix, near, excluded); ok {
		return s, true
	}
	return c.choice.Pick(time.Now(), ask.Request.Prefix, far, excluded)
}

func (c *Client) submit(ask Ask, excluded map[string]bool) (*pending, error) {
	shard, ok := c.pick(ask, excluded)
	if !ok {
		return nil, fmt.Errorf("pool %s, allowed regions %s: %w", ask.Pool, c.residency(ask), ErrNoPool)
	}
	request := ask.Request
	request.Shard = shard.ID()
	p := &pending{shard: shard, request: request, answer: make(chan pendingAnswer, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[requestKey{request.ID, request.Attempt}] = p
	c.send(time.Now(), p)
	return p, nil
}

func (c *Client) await(ctx context.Context, p *pending) (pendingAnswer, error) {
	select {
	case answer := <-p.answer:
		return answer, nil
	case <-ctx.Done():
	}
	c.mu.Lock()
	delete(c.pending, requestKey{p.request.ID, p.request.Attempt})
	c.withdraw(p.scheduler, p)
	c.mu.Unlock()
	select {
	case answer := <-p.answer:
		// The answer came while giving up: a grant that nobody uses goes back at once.
		if answer.grant != nil {
			c.hold(p, answer).Done(Ending{Result: ResultReturned})
		}
	default:
	}
	return pendingAnswer{}, fmt.Errorf("slot: %w", context.Cause(ctx))
}

func (c *Client) withdraw(scheduler string, p *pending) {
	if scheduler == "" {
		return
	}
	// When this is lost the scheduler grants for nothing, and the grant is returned on arrival.
	_ = c.mesh.Send(scheduler, chivewire.KindSlotWithdraw, SlotWithdraw{Shard: p.shard.ID(), ID: p.request.ID, Attempt: p.request.Attempt})
}

// send asks the shard's present scheduler; the caller holds the lock.
func (c *Client) send(now time.Time, p *pending) {
	p.scheduler = c.schedulerOf(now, p.shard)
	p.asked, p.heard = now, false
	p.tries++
	if p.scheduler == "" {
		return
	}
	// A full ring counts as silence: the next scheduler is asked after the wait.
	_ = c.mesh.Send(p.scheduler, chivewire.KindSlotRequest, p.request)
}

// schedulerOf returns the peer address of the shard's first owner that this gateway does not suspect.
func (c *Client) schedulerOf(now time.Time, shard chiveroute.Shard) string {
	for _, m := range c.places.Load().Owners(shard.ID()) {
		if now.After(c.suspects[m.Address]) {
			return m.Address
		}
	}
	return ""
}
