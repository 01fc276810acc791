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

	"chivedrift/chiveconfig"
	"chivedrift/chiveevent"
	"chivedrift/chivemember"
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

	mu       sync.Mutex
	pending  map[requestKey]*pending
	held     map[requestKey]*Slot
	suspects map[string]time.Time
	restate  map[string]time.Time
	placed   map[string]string
	local    map[string]int

	stop context.CancelFunc
	done sync.WaitGroup
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
	mesh.Handle(chivewire.KindSlotGrant, c.onGrant)
	mesh.Handle(chivewire.KindSlotQueued, c.onQueued)
	mesh.Handle(chivewire.KindSlotRefusal, c.onRefusal)
	mesh.Handle(chivewire.KindSlotPreempt, c.onPreempt)
	mesh.OnLost(c.onLost)
	return c
}

// Start begins to look after requests without an answer.
func (c *Client) Start(ctx context.Context) error {
	ctx, c.stop = context.WithCancel(ctx)
	c.done.Add(1)
	go c.run(ctx)
	return nil
}

// Stop ends the goroutine.
func (c *Client) Stop(context.Context) error {
	c.stop()
	c.done.Wait()
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

// place works out which node schedules each shard; it runs when members or shards change and not for each request.
func (c *Client) place() {
	table := c.table.Load()
	keys := make([]chiveroute.Key, 0, len(table.byID))
	for id, s := range table.byID {
		keys = append(keys, chiveroute.NewKey(id, s.Region()))
	}
	c.places.Store(chiveroute.NewPlacement(keys, *c.members.Load()))
}

// SetMembers takes a change of the fleet and moves what waits or runs to the schedulers that follow.
func (c *Client) SetMembers(members []chivemember.Member) {
	c.members.Store(&members)
	c.place()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replace(time.Now())
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
			return c.hold(p, answer), nil
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

// pick chooses among the shards of this region first, then among the others.
func (c *Client) pick(ask Ask, excluded map[string]bool) (chiveroute.Shard, bool) {
	var near, far []chiveroute.Shard
	for _, s := range c.table.Load().byPool[ask.Pool] {
		if s.Region() == c.region {
			near = append(near, s)
		} else {
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
		return nil, fmt.Errorf("pool %s: %w", ask.Pool, ErrNoPool)
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

// schedulerOf returns the peer address of the shard's first keeper that this gateway does not suspect.
func (c *Client) schedulerOf(now time.Time, shard chiveroute.Shard) string {
	for _, m := range c.places.Load().Keepers(shard.ID()) {
		if now.After(c.suspects[m.Address]) {
			return m.Address
		}
	}
	return ""
}

// ---------------------------------------------------------------- answers

func (c *Client) onGrant(from string, body []byte) {
	g, err := chivewire.Decode[SlotGrant](body)
	if err != nil {
		return
	}
	c.choice.Observe(time.Now(), g.Shard, g.LoadPercent)
	if c.resolve(from, requestKey{g.ID, g.Attempt}, pendingAnswer{grant: &g}) {
		return
	}
	c.mu.Lock()
	_, holds := c.held[requestKey{g.ID, g.Attempt}]
	c.mu.Unlock()
	if !holds {
		// A grant that comes too late, or from a scheduler that was given up on, would block a slot for nobody.
		_ = c.mesh.Send(from, chivewire.KindSlotDone, SlotDone{Shard: g.Shard, ID: g.ID, Attempt: g.Attempt, Endpoint: g.Endpoint, Result: ResultReturned})
	}
}

func (c *Client) onQueued(from string, body []byte) {
	q, err := chivewire.Decode[SlotQueued](body)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[requestKey{q.ID, q.Attempt}]; ok && p.scheduler == from {
		p.heard = true
	}
}

func (c *Client) onRefusal(from string, body []byte) {
	r, err := chivewire.Decode[SlotRefusal](body)
	if err != nil {
		return
	}
	c.choice.Observe(time.Now(), r.Shard, r.LoadPercent)
	c.resolve(from, requestKey{r.ID, r.Attempt}, pendingAnswer{refusal: &r})
}

// resolve hands an answer to the request it belongs to, by identity; only the scheduler asked last may answer.
func (c *Client) resolve(from string, key requestKey, answer pendingAnswer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pending[key]
	if !ok || p.scheduler != from {
		return false
	}
	delete(c.pending, key)
	p.answer <- answer
	return true
}

func (c *Client) onPreempt(_ string, body []byte) {
	message, err := chivewire.Decode[SlotPreempt](body)
	if err != nil {
		return
	}
	c.mu.Lock()
	slot, ok := c.held[requestKey{message.ID, message.Attempt}]
	c.mu.Unlock()
	if ok {
		slot.preempt()
	}
}

// onLost suspects a peer whose connection broke, so that what waits there moves at once, and states again what runs.
func (c *Client) onLost(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.suspects[peer] = now.Add(suspectFor)
	for id, scheduler := range c.placed {
		if scheduler == peer {
			c.restate[id] = now.Add(restateAfter)
		}
	}
	c.replace(now)
}

// ---------------------------------------------------------------- care

func (c *Client) run(ctx context.Context) {
	defer c.done.Done()
	tick := time.NewTicker(tendEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			c.mu.Lock()
			c.tend(now)
			c.mu.Unlock()
		}
	}
}

// tend asks the next scheduler where no word came, and the gateway's own small share when nobody answers.
func (c *Client) tend(now time.Time) {
	table := c.table.Load()
	if table.config == nil {
		return
	}
	wait := table.config.Routing.GrantWait()
	suspected := false
	for key, p := range c.pending {
		if p.heard || now.Sub(p.asked) < wait {
			continue
		}
		if p.scheduler != "" {
			c.suspects[p.scheduler] = now.Add(suspectFor)
			suspected = true
			chiveevent.SchedulerLost.Log(context.Background(), c.logger, slog.String("shard", p.shard.ID()), slog.String("peer", p.scheduler))
		}
		if p.tries >= localTries && c.serveLocally(key, p) {
			continue
		}
		c.send(now, p)
	}
	if suspected {
		// What the silent scheduler had queued would otherwise wait until the membership declares it dead.
		c.replace(now)
	}
	for id, due := range c.restate {
		if now.After(due) {
			delete(c.restate, id)
			c.stateHolds(now, id)
		}
	}
	for peer, until := range c.suspects {
		if now.After(until) {
			delete(c.suspects, peer)
		}
	}
}

// serveLocally grants from the gateway's own share of the shard when no scheduler answers: a small part of the
// sequences, so that all gateways together do not overbook the endpoints.
func (c *Client) serveLocally(key requestKey, p *pending) bool {
	endpoints := p.shard.Endpoints()
	share := int64(0)
	for i := range endpoints {
		share += max(endpoints[i].Sequences, 1)
	}
	share = max(share/int64(2*max(len(*c.members.Load()), 1)), 1)
	if int64(c.local[p.shard.ID()]) >= share {
		return false
	}
	e := endpoints[(c.local[p.shard.ID()]+p.request.Attempt+int(p.request.Prefix%uint64(len(endpoints))))%len(endpoints)]
	c.local[p.shard.ID()]++
	delete(c.pending, key)
	grant := &SlotGrant{Shard: p.shard.ID(), ID: p.request.ID, Attempt: p.request.Attempt, Endpoint: e.Name, Reason: reasonLocal}
	p.answer <- pendingAnswer{grant: grant, local: true}
	return true
}

const reasonLocal = "no_scheduler_answers_local_share"

// replace moves waiting requests whose scheduler is no longer the one to ask; the caller holds the lock.
//
// They keep their time of arrival, so that the loss of a scheduler costs nobody the place in the queue.
func (c *Client) replace(now time.Time) {
	for _, p := range c.pending {
		scheduler := c.schedulerOf(now, p.shard)
		if scheduler == p.scheduler {
			continue
		}
		c.withdraw(p.scheduler, p)
		c.send(now, p)
	}
	for id, before := range c.placed {
		shard, ok := c.table.Load().byID[id]
		if !ok {
			delete(c.placed, id)
			continue
		}
		if scheduler := c.schedulerOf(now, shard); scheduler != before {
			c.stateHolds(now, id)
		}
	}
}

// stateHolds tells a shard's scheduler everything this gateway runs there; the caller holds the lock.
func (c *Client) stateHolds(now time.Time, id string) {
	shard, ok := c.table.Load().byID[id]
	if !ok {
		return
	}
	statement := SlotAdopt{Shard: id}
	for key, s := range c.held {
		if s.shard == id && !s.local {
			statement.Holds = append(statement.Holds, Hold{ID: key.id, Attempt: key.attempt, Endpoint: s.endpoint.Name, Class: s.class, Team: s.team, Cost: s.cost})
		}
	}
	scheduler := c.schedulerOf(now, shard)
	c.placed[id] = scheduler
	if scheduler == "" {
		return
	}
	// When this is lost, onLost brings the next statement.
	_ = c.mesh.Send(scheduler, chivewire.KindSlotAdopt, statement)
}

// ClientState is the dump of the gateway's side.
type ClientState struct {
	Pending  int               `json:"pending"`
	Held     int               `json:"held"`
	Suspects []string          `json:"suspects"`
	Placed   map[string]string `json:"schedulers"`
}

// Dump returns what waits and what runs.
func (c *Client) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := ClientState{Pending: len(c.pending), Held: len(c.held), Placed: make(map[string]string, len(c.placed))}
	for peer := range c.suspects {
		state.Suspects = append(state.Suspects, peer)
	}
	for id, scheduler := range c.placed {
		state.Placed[id] = scheduler
	}
	return state
}
