package chiveschedule

import (
	"time"

	"chivedrift/chivewire"
)

func (c *Client) onGrant(from string, g SlotGrant) {
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

func (c *Client) onQueued(from string, q SlotQueued) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[requestKey{q.ID, q.Attempt}]; ok && p.scheduler == from {
		p.heard = true
	}
}

func (c *Client) onRefusal(from string, r SlotRefusal) {
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

func (c *Client) onPreempt(_ string, message SlotPreempt) {
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
