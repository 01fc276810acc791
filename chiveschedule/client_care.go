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
	chivekernel.Every(ctx, tendEvery, func(now time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tend(now)
	})
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
