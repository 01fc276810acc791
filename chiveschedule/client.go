package chiveschedule

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
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

// ClientName is the service name of the gateway's slot client.
const ClientName = "slots"

const (
	maintenanceInterval = 100 * time.Millisecond
	suspicionPeriod     = 3 * time.Second
	resendDelay         = time.Second
	// resubmitDelay is how long a request waits before it asks again after a grant that its configuration does not allow: the
	// scheduler has another configuration for a moment.
	resubmitDelay         = 20 * time.Millisecond
	triesBeforeLocalGrant = 2
)

// ErrNoPool is returned when the pool has no shard in the regions allowed for the request.
var ErrNoPool = errors.New("no shard of this pool")

// RefusedError is returned when a scheduler refuses a request for a slot.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error returns the message with the refusal reason.
func (r *RefusedError) Error() string { return "slot request refused: " + r.Reason }

// Ask is a gateway's request for a slot in a pool.
type Ask struct {
	Pool    string
	Request SlotRequest
}

// Client requests slots from the schedulers of the shards and tracks the slots that this gateway holds.
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

// shardTable indexes the shards of a configuration by pool and by ID.
type shardTable struct {
	config *chiveconfig.Config
	byPool map[string][]chiveroute.Shard
	byID   map[string]chiveroute.Shard
}

// pendingRequest is a slot request that has not been granted or refused yet.
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

// NewClient returns the slot client of a gateway in a region and registers its message handlers.
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

// Start starts the periodic check for requests without an answer.
func (c *Client) Start(ctx context.Context) error {
	c.background.Begin(ctx, c.run)
	return nil
}

// Stop stops the goroutine.
func (c *Client) Stop(context.Context) error {
	c.background.End()
	return nil
}

// SetConfig applies a new configuration.
func (c *Client) SetConfig(config *chiveconfig.Config) {
	table := &shardTable{config: config, byPool: make(map[string][]chiveroute.Shard), byID: make(map[string]chiveroute.Shard)}
	for _, s := range chiveroute.Shards(config) {
		table.byPool[s.Pool()] = append(table.byPool[s.Pool()], s)
		table.byID[s.ID()] = s
	}
	c.table.Store(table)
	c.updatePlacement()
}

// updatePlacement recomputes which nodes schedule each shard; it runs when the members or the shards change, not for
// each request. The lock prevents concurrent updates from storing an outdated placement last.
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

// SetMembers applies a new member list, sends pending requests to the new schedulers and reports the held slots to
// them.
func (c *Client) SetMembers(members []chivemember.Member) {
	before := c.members.Swap(&members)
	c.updatePlacement()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clearNewSuspects(*before, members)
	c.reassignSchedulers(time.Now())
}

// clearNewSuspects stops suspecting members that have just joined: the suspicion comes from a connection that failed
// before they were up.
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

// Acquire waits for a slot. It returns a *RefusedError when the request is refused, an error wrapping ErrNoPool when no
// shard may serve it, or one wrapping the cause of the context's end.
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
			if slot.Accepts() {
				return slot, nil
			}
			// A configuration change disallowed the region or evacuated the failure domain while the request waited.
			slot.Done(Ending{Result: ResultReturned})
			req.Request.Exclude = append(slices.Clone(req.Request.Exclude), answer.grant.Endpoint)
			if err := pause(ctx, resubmitDelay); err != nil {
				return nil, err
			}
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

// pause waits for a time; the error wraps the cause of the context's end.
func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("slot: %w", context.Cause(ctx))
	}
}

func refusalError(r *SlotRefusal) *RefusedError {
	return &RefusedError{Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond}
}

// residency returns the regions in which the current configuration allows the request to be served.
func (c *Client) residency(req Ask) chiveresidency.Policy {
	config := c.table.Load().config
	if config == nil {
		return chiveresidency.Policy{}
	}
	return config.Residency(req.Request.Class, req.Request.Team)
}

// allows reports whether the current configuration allows requests of a class and a team at an endpoint.
func (c *Client) allows(class, team string, endpoint chiveconfig.Endpoint) bool {
	config := c.table.Load().config
	return config == nil || config.Residency(class, team).Allows(endpoint.Region) && !config.IsEvacuated(endpoint.FailureDomain)
}

// pickShard picks a shard in this region, or else one in another region that is allowed for the request.
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
		// The answer arrived during cancellation: release a granted slot immediately.
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
	// If the message is lost, the scheduler may still grant a slot, which onGrant then releases.
	_ = c.mesh.Send(scheduler, chivewire.KindSlotWithdraw, SlotWithdraw{Shard: p.shard.ID(), ID: p.request.ID, Attempt: p.request.Attempt})
}

// sendRequest sends the request to the shard's current scheduler; the caller holds the lock.
func (c *Client) sendRequest(now time.Time, p *pendingRequest) {
	p.scheduler = c.schedulerOf(now, p.shard)
	p.sentAt, p.acknowledged = now, false
	p.tries++
	if p.scheduler == "" {
		return
	}
	// A full send queue is treated like a missing answer: maintain sends the request again after the grant wait.
	_ = c.mesh.Send(p.scheduler, chivewire.KindSlotRequest, p.request)
}

// schedulerOf returns the peer address of the shard's first owner that is not suspected, or an empty string when all
// are.
func (c *Client) schedulerOf(now time.Time, shard chiveroute.Shard) string {
	for _, m := range c.placement.Load().Owners(shard.ID()) {
		if now.After(c.suspects[m.Address]) {
			return m.Address
		}
	}
	return ""
}
