package chiveschedule

import (
	"time"

	"chivedrift/chivewire"
)

func (c *Client) onGrant(from string, g SlotGrant) {
	c.shardChoice.Observe(time.Now(), g.Shard, g.LoadPercent)
	if c.resolve(from, attemptKey{g.ID, g.Attempt}, slotAnswer{grant: &g}) {
		return
	}
	c.mu.Lock()
	_, held := c.heldSlots[attemptKey{g.ID, g.Attempt}]
	c.mu.Unlock()
	if !held {
		// Nobody waits for this grant: it is late or from a scheduler that the request has left. Release its slot.
		_ = c.mesh.Send(from, chivewire.KindSlotDone, SlotDone{Shard: g.Shard, ID: g.ID, Attempt: g.Attempt, Endpoint: g.Endpoint, Result: ResultReturned})
	}
}

func (c *Client) onQueued(from string, q SlotQueued) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[attemptKey{q.ID, q.Attempt}]; ok && p.scheduler == from {
		p.acknowledged = true
	}
}

func (c *Client) onRefusal(from string, r SlotRefusal) {
	c.shardChoice.Observe(time.Now(), r.Shard, r.LoadPercent)
	c.resolve(from, attemptKey{r.ID, r.Attempt}, slotAnswer{refusal: &r})
}

// resolve passes an answer to the pending request with this key; only the scheduler that was asked last may answer.
func (c *Client) resolve(from string, key attemptKey, answer slotAnswer) bool {
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
	slot, ok := c.heldSlots[attemptKey{message.ID, message.Attempt}]
	c.mu.Unlock()
	if ok {
		slot.signalPreemption()
	}
}

// onPeerLost suspects a peer whose connection was lost, moves the requests pending there to the next scheduler at once,
// and schedules a new report of the slots held on its shards.
func (c *Client) onPeerLost(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.suspects[peer] = now.Add(suspicionPeriod)
	for id, scheduler := range c.schedulerByShard {
		if scheduler == peer {
			c.resendAt[id] = now.Add(resendDelay)
		}
	}
	c.reassignSchedulers(now)
}
