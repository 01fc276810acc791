package chiveschedule

import (
	"context"
	"log/slog"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivewire"
)

func (c *Client) run(ctx context.Context) {
	chivekernel.Every(ctx, maintenanceInterval, func(now time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.maintain(now)
	})
}

// maintain asks the next scheduler where no word came, and the gateway's own small share when nobody answers.
func (c *Client) maintain(now time.Time) {
	table := c.table.Load()
	if table.config == nil {
		return
	}
	grantWait := table.config.Routing.GrantWait()
	suspected := false
	for key, p := range c.pending {
		if p.acknowledged || now.Sub(p.sentAt) < grantWait {
			continue
		}
		if p.scheduler != "" {
			c.suspects[p.scheduler] = now.Add(suspicionPeriod)
			suspected = true
			chiveevent.SchedulerLost.Log(context.Background(), c.logger, slog.String("shard", p.shard.ID()), slog.String("peer", p.scheduler))
		}
		if p.tries >= triesBeforeLocalGrant && c.grantLocally(key, p) {
			continue
		}
		c.sendRequest(now, p)
	}
	if suspected {
		// What the silent scheduler had queued would otherwise wait until the membership declares it dead.
		c.reassignSchedulers(now)
	}
	for id, due := range c.resendAt {
		if now.After(due) {
			delete(c.resendAt, id)
			c.sendHeldSlots(now, id)
		}
	}
	for peer, until := range c.suspects {
		if now.After(until) {
			delete(c.suspects, peer)
		}
	}
}

// grantLocally grants from the gateway's own share of the shard when no scheduler answers: a small part of the
// sequences, so that all gateways together do not overbook the endpoints.
func (c *Client) grantLocally(key attemptKey, p *pendingRequest) bool {
	endpoints := p.shard.Endpoints()
	limit := int64(0)
	for i := range endpoints {
		limit += max(endpoints[i].Sequences, 1)
	}
	limit = max(limit/int64(2*max(len(*c.members.Load()), 1)), 1)
	if int64(c.localGrants[p.shard.ID()]) >= limit {
		return false
	}
	e := endpoints[(c.localGrants[p.shard.ID()]+p.request.Attempt+int(p.request.Prefix%uint64(len(endpoints))))%len(endpoints)]
	c.localGrants[p.shard.ID()]++
	delete(c.pending, key)
	grant := &SlotGrant{Shard: p.shard.ID(), ID: p.request.ID, Attempt: p.request.Attempt, Endpoint: e.Name, Reason: reasonLocalShare}
	p.answer <- slotAnswer{grant: grant, grantedLocally: true}
	return true
}

const reasonLocalShare = "no_scheduler_answers_local_share"

// reassignSchedulers moves waiting requests whose scheduler is no longer the one to ask; the caller holds the lock.
//
// They keep their time of arrival, so that the loss of a scheduler costs nobody the place in the queue.
func (c *Client) reassignSchedulers(now time.Time) {
	for _, p := range c.pending {
		scheduler := c.schedulerOf(now, p.shard)
		if scheduler == p.scheduler {
			continue
		}
		c.withdraw(p.scheduler, p)
		c.sendRequest(now, p)
	}
	for id, before := range c.schedulerByShard {
		shard, ok := c.table.Load().byID[id]
		if !ok {
			delete(c.schedulerByShard, id)
			continue
		}
		if scheduler := c.schedulerOf(now, shard); scheduler != before {
			c.sendHeldSlots(now, id)
		}
	}
}

// sendHeldSlots tells a shard's scheduler everything this gateway runs there; the caller holds the lock.
func (c *Client) sendHeldSlots(now time.Time, id string) {
	shard, ok := c.table.Load().byID[id]
	if !ok {
		return
	}
	message := SlotAdopt{Shard: id}
	for key, s := range c.heldSlots {
		if s.shard == id && !s.grantedLocally {
			message.Holds = append(message.Holds, Hold{ID: key.id, Attempt: key.attempt, Endpoint: s.endpoint.Name, Class: s.class, Team: s.team, Cost: s.cost})
		}
	}
	scheduler := c.schedulerOf(now, shard)
	c.schedulerByShard[id] = scheduler
	if scheduler == "" {
		return
	}
	// When this is lost, onLost brings the next statement.
	_ = c.mesh.Send(scheduler, chivewire.KindSlotAdopt, message)
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
	state := ClientState{Pending: len(c.pending), Held: len(c.heldSlots), Placed: make(map[string]string, len(c.schedulerByShard))}
	for peer := range c.suspects {
		state.Suspects = append(state.Suspects, peer)
	}
	for id, scheduler := range c.schedulerByShard {
		state.Placed[id] = scheduler
	}
	return state
}
