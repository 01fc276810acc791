package chiveschedule

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"chivedrift/chiveconfig"
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

// maintain sends unanswered requests to the next scheduler, and grants slots locally after triesBeforeLocalGrant tries.
// It also sends the held-slot lists that are due and ends expired suspicions.
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
		// Requests queued at the unresponsive scheduler would otherwise wait until the membership declares it dead.
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

// grantLocally grants a slot from this gateway's share of the shard when no scheduler answers. The share is half of the
// shard's sequences divided by the number of members, at least one, so that all gateways together do not overbook the
// endpoints.
func (c *Client) grantLocally(key attemptKey, p *pendingRequest) bool {
	endpoints := slices.DeleteFunc(slices.Clone(p.shard.Endpoints()), func(e chiveconfig.Endpoint) bool {
		return !c.allows(p.request.Class, p.request.Team, e)
	})
	if len(endpoints) == 0 {
		return false
	}
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

// reassignSchedulers sends pending requests again whose shard has another scheduler now, and reports the held slots to
// the new schedulers; the caller holds the lock.
//
// Requests keep their arrival time, so that they keep their position in the queue when a scheduler is lost.
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

// sendHeldSlots sends the list of slots that this gateway holds on a shard to the shard's scheduler; the caller holds
// the lock.
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
	// If the message is lost with the connection, onPeerLost schedules the next one.
	_ = c.mesh.Send(scheduler, chivewire.KindSlotAdopt, message)
}

// ClientState is the state of the slot client in the state dump.
type ClientState struct {
	Pending  int               `json:"pending"`
	Held     int               `json:"held"`
	Suspects []string          `json:"suspects"`
	Placed   map[string]string `json:"schedulers"`
}

// Dump returns the pending requests, the held slots and the schedulers in use.
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
