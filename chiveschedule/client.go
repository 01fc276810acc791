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
	maintenanceInterval   = 100 * time.Millisecond
	suspicionPeriod       = 3 * time.Second
	resendDelay           = time.Second
	triesBeforeLocalGrant = 2
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
	mesh        *chivewire.Mesh
	logger      *slog.Logger
	region      string
	shardChoice *chiveroute.Choice
	members     atomic.Pointer[[]chivemember.Member]
	table       atomic.Pointer[shardTable]
	placement   atomic.Pointer[chiveroute.Placement]
	placementMu sync.Mutex

	mu               sync.Mutex
	pending          map[attemptKey]*pendingRequest
	heldSlots        map[attemptKey]*Slot
	suspects         map[string]time.Time
	resendAt         map[string]time.Time
	schedulerByShard map[string]string
	localGrants      map[string]int

	background chivekernel.Duties
}

// shardTable is the configuration's shards, by pool and by name.
type shardTable struct {
	config *chiveconfig.Config
	byPool map[string][]chiveroute.Shard
	byID   map[string]chiveroute.Shard
}

// pendingRequest is a request for a slot that has no answer yet.
type pendingRequest struct {
	shard        chiveroute.Shard
	request      SlotRequest
	scheduler    string
	sentAt       time.Time
	acknowledged bool
	tries        int
	answer       chan slotAnswer
}

type slotAnswer struct {
	grant          *SlotGrant
	refusal        *SlotRefusal
	grantedLocally bool
}

// NewClient returns the gateway's side of a node in a region.
func NewClient(region string, mesh *chivewire.Mesh, logger *slog.Logger) *Client {
	c := &Client{
		mesh: mesh, logger: logger, region: region, shardChoice: chiveroute.NewChoice(rand.IntN),
		pending: make(map[attemptKey]*pendingRequest), heldSlots: make(map[attemptKey]*Slot), suspects: make(map[string]time.Time),
		resendAt: make(map[string]time.Time), schedulerByShard: make(map[string]string), localGrants: make(map[string]int),
	}
	c.members.Store(&[]chivemember.Member{})
	c.table.Store(&shardTable{})
	c.updatePlacement()
	chivewire.Receive(mesh, chivewire.KindSlotGrant, c.onGrant)
	chivewire.Receive(mesh, chivewire.KindSlotQueued, c.onQueued)
	chivewire.Receive(mesh, chivewire.KindSlotRefusal, c.onRefusal)
	chivewire.Receive(mesh, chivewire.KindSlotPreempt, c.onPreempt)
	mesh.OnLost(c.onPeerLost)
	return c
}

// Start begins to look after requests without an answer.
func (c *Client) Start(ctx context.Context) error {
	c.background.Begin(ctx, c.run)
	return nil
}

// Stop ends the goroutine.
func (c *Client) Stop(context.Context) error {
	c.background.End()
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
	c.updatePlacement()
}

// updatePlacement works out which node schedules each shard; it runs when members or shards change and not for each request. The lock keeps a placement from
// before a concurrent change from being stored last.
func (c *Client) updatePlacement() {
	c.placementMu.Lock()
	defer c.placementMu.Unlock()
	table := c.table.Load()
	keys := make([]chiveroute.Key, 0, len(table.byID))
	for id, s := range table.byID {
		keys = append(keys, chiveroute.NewKey(id, s.Region()))
	}
	c.placement.Store(chiveroute.NewPlacement(keys, *c.members.Load()))
}

// SetMembers takes a change of the fleet and moves what waits or runs to the schedulers that follow.
func (c *Client) SetMembers(members []chivemember.Member) {
	before := c.members.Swap(&members)
	c.updatePlacement()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clearNewSuspects(*before, members)
	c.reassignSchedulers(time.Now())
}

// clearNewSuspects clears the suspicion of members that have just joined: it comes from a connection that failed before they were up.
func (c *Client) clearNewSuspects(before, members []chivemember.Member) {
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
func (c *Client) Acquire(ctx context.Context, req Ask) (*Slot, error) {
	excluded := make(map[string]bool)
	for {
		p, err := c.submit(req, excluded)
		if err != nil {
			return nil, err
		}
		answer, err := c.await(ctx, p)
		if err != nil {
			return nil, err
		}
		if answer.grant != nil {
			slot := c.registerSlot(p, answer)
			if c.residency(req).Allows(p.shard.Region()) {
				return slot, nil
			}
			// The configuration took the region away while the request waited.
			slot.Done(Ending{Result: ResultReturned})
			continue
		}
		if answer.refusal.Reason != ReasonNoneUp && answer.refusal.Reason != ReasonFull {
			return nil, refusalError(answer.refusal)
		}
		excluded[p.shard.ID()] = true
		if _, ok := c.pickShard(req, excluded); !ok {
			return nil, refusalError(answer.refusal)
		}
	}
}

func refusalError(r *SlotRefusal) *RefusedError {
	return &RefusedError{Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond}
}

// residency returns where a request may be served by the configuration in force.
func (c *Client) residency(req Ask) chiveresidency.Policy {
	config := c.table.Load().config
	if config == nil {
		return chiveresidency.Policy{}
	}
	return config.Residency(req.Request.Class, req.Request.Team)
}

// pickShard chooses among the shards of this region first, then among the others that the request may be served in.
func (c *Client) pickShard(req Ask, excluded map[string]bool) (chiveroute.Shard, bool) {
	var sameRegion, otherRegions []chiveroute.Shard
	residency := c.residency(req)
	for _, s := range c.table.Load().byPool[req.Pool] {
		switch {
		case !residency.Allows(s.Region()):
		case s.Region() == c.region:
			sameRegion = append(sameRegion, s)
		default:
			otherRegions = append(otherRegions, s)
		}
	}
	if s, ok := c.shardChoice.Pick(time.Now(), req.Request.Prefix, sameRegion, excluded); ok {
		return s, true
	}
	return c.shardChoice.Pick(time.Now(), req.Request.Prefix, otherRegions, excluded)
}

func (c *Client) submit(req Ask, excluded map[string]bool) (*pendingRequest, error) {
	shard, ok := c.pickShard(req, excluded)
	if !ok {
		return nil, fmt.Errorf("pool %s, allowed regions %s: %w", req.Pool, c.residency(req), ErrNoPool)
	}
	slotRequest := req.Request
	slotRequest.Shard = shard.ID()
	p := &pendingRequest{shard: shard, request: slotRequest, answer: make(chan slotAnswer, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[attemptKey{slotRequest.ID, slotRequest.Attempt}] = p
	c.sendRequest(time.Now(), p)
	return p, nil
}

func (c *Client) await(ctx context.Context, p *pendingRequest) (slotAnswer, error) {
	select {
	case answer := <-p.answer:
		return answer, nil
	case <-ctx.Done():
	}
	c.mu.Lock()
	delete(c.pending, attemptKey{p.request.ID, p.request.Attempt})
	c.withdraw(p.scheduler, p)
	c.mu.Unlock()
	select {
	case answer := <-p.answer:
		// The answer came while giving up: a grant that nobody uses goes back at once.
		if answer.grant != nil {
			c.registerSlot(p, answer).Done(Ending{Result: ResultReturned})
		}
	default:
	}
	return slotAnswer{}, fmt.Errorf("slot: %w", context.Cause(ctx))
}

func (c *Client) withdraw(scheduler string, p *pendingRequest) {
	if scheduler == "" {
		return
	}
	// When this is lost the scheduler grants for nothing, and the grant is returned on arrival.
	_ = c.mesh.Send(scheduler, chivewire.KindSlotWithdraw, SlotWithdraw{Shard: p.shard.ID(), ID: p.request.ID, Attempt: p.request.Attempt})
}

// sendRequest asks the shard's present scheduler; the caller holds the lock.
func (c *Client) sendRequest(now time.Time, p *pendingRequest) {
	p.scheduler = c.schedulerOf(now, p.shard)
	p.sentAt, p.acknowledged = now, false
	p.tries++
	if p.scheduler == "" {
		return
	}
	// A full ring counts as silence: the next scheduler is asked after the wait.
	_ = c.mesh.Send(p.scheduler, chivewire.KindSlotRequest, p.request)
}

// schedulerOf returns the peer address of the shard's first owner that this gateway does not suspect.
func (c *Client) schedulerOf(now time.Time, shard chiveroute.Shard) string {
	for _, m := range c.placement.Load().Owners(shard.ID()) {
		if now.After(c.suspects[m.Address]) {
			return m.Address
		}
	}
	return ""
}
