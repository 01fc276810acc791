package chiveschedule

import (
	"sync"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chivewire"
)

// Slot is the right to run one attempt of a request on one endpoint.
type Slot struct {
	client         *Client
	attemptKey     attemptKey
	shard          string
	endpoint       chiveconfig.Endpoint
	class          string
	team           string
	cost           int64
	grantedLocally bool
	grant          SlotGrant
	preemptOnce    sync.Once
	preempted      chan struct{}
}

// Ending reports the progress or the end of an attempt: Tokens is the output so far, First the time from the grant to
// the first token and Stream the time since the first token.
type Ending struct {
	Result Result
	Tokens int64
	First  time.Duration
	Stream time.Duration
}

// registerSlot records a granted slot as held by this gateway.
func (c *Client) registerSlot(p *pendingRequest, answer slotAnswer) *Slot {
	g := answer.grant
	s := &Slot{
		client: c, attemptKey: attemptKey{g.ID, g.Attempt}, shard: p.shard.ID(), class: p.request.Class, team: p.request.Team,
		cost: g.Cost, grantedLocally: answer.grantedLocally, grant: *g, preempted: make(chan struct{}),
	}
	for _, e := range p.shard.Endpoints() {
		if e.Name == g.Endpoint {
			s.endpoint = e
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldSlots[s.attemptKey] = s
	if !s.grantedLocally {
		c.schedulerByShard[s.shard] = p.scheduler
	}
	return s
}

// Accepts reports whether the configuration in force still allows the request at the endpoint.
func (s *Slot) Accepts() bool { return s.client.allows(s.class, s.team, s.endpoint) }

// Endpoint returns the endpoint to call; its address is empty when it has been removed from the configuration.
func (s *Slot) Endpoint() chiveconfig.Endpoint { return s.endpoint }

// Grant returns the scheduler's grant, with the candidates it considered.
func (s *Slot) Grant() SlotGrant { return s.grant }

// Preempted returns a channel that is closed when the scheduler reclaims the slot for a more urgent request.
func (s *Slot) Preempted() <-chan struct{} { return s.preempted }

func (s *Slot) signalPreemption() {
	s.preemptOnce.Do(func() { close(s.preempted) })
}

// Progress reports the attempt's progress to the scheduler.
func (s *Slot) Progress(e Ending) {
	message := SlotProgress{
		Shard: s.shard, ID: s.attemptKey.id, Attempt: s.attemptKey.attempt, Endpoint: s.endpoint.Name,
		Tokens: e.Tokens, FirstMs: e.First.Milliseconds(), StreamMs: e.Stream.Milliseconds(),
	}
	s.sendToScheduler(chivewire.KindSlotProgress, message)
}

// Done releases the slot and reports how the attempt ended; it must be called exactly once.
func (s *Slot) Done(e Ending) {
	c := s.client
	c.mu.Lock()
	delete(c.heldSlots, s.attemptKey)
	if s.grantedLocally {
		c.localGrants[s.shard]--
	}
	c.mu.Unlock()
	message := SlotDone{
		Shard: s.shard, ID: s.attemptKey.id, Attempt: s.attemptKey.attempt, Endpoint: s.endpoint.Name, Class: s.class, Team: s.team,
		Result: e.Result, Tokens: e.Tokens, FirstMs: e.First.Milliseconds(), StreamMs: e.Stream.Milliseconds(),
	}
	s.sendToScheduler(chivewire.KindSlotDone, message)
}

// sendToScheduler sends a message to the shard's current scheduler, which may differ from the one that granted the
// slot.
func (s *Slot) sendToScheduler(kind chivewire.Kind, message any) {
	if s.grantedLocally {
		return
	}
	c := s.client
	c.mu.Lock()
	scheduler := c.schedulerByShard[s.shard]
	c.mu.Unlock()
	if scheduler == "" {
		return
	}
	// If the message is lost with the connection, the SlotAdopt sent after the loss releases the slot.
	_ = c.mesh.Send(scheduler, kind, message)
}
