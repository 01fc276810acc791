package chiveschedule

import (
	"context"
	"log/slog"
	"time"

	"chivedrift/chivekernel"

	"chivedrift/chiveconfig"
	"chivedrift/chiveevent"
	"chivedrift/chivemember"
	"chivedrift/chivering"
	"chivedrift/chiveroute"
	"chivedrift/chivewire"
)

// OwnerName is the name under which the scheduler side registers.
const OwnerName = "scheduler"

const (
	inboxCapacity = 8192
	tickInterval  = 100 * time.Millisecond
	idleShardTTL  = time.Minute
	dumpTimeout   = time.Second
)

// Owner schedules the shards that gateways bring to this node: one goroutine owns them all, fed by a ring.
type Owner struct {
	mesh               *chivewire.Mesh
	logger             *slog.Logger
	incarnation        int64
	inbox              *chivering.Ring[func(now time.Time)]
	shards             map[string]*ownedShard
	configs            map[string]*Plan
	endpointsByAddress map[string][]string
	gateways           map[string]bool
	background         chivekernel.Duties
}

type ownedShard struct {
	shard    *Shard
	lastUsed time.Time
}

// NewOwner returns the scheduler side of a node.
func NewOwner(mesh *chivewire.Mesh, logger *slog.Logger) *Owner {
	sched := &Owner{
		mesh: mesh, logger: logger, incarnation: time.Now().UnixNano(), inbox: chivering.New[func(time.Time)](inboxCapacity),
		shards: make(map[string]*ownedShard), configs: make(map[string]*Plan), endpointsByAddress: make(map[string][]string), gateways: make(map[string]bool),
	}
	receiveForShard(sched, chivewire.KindSlotRequest, func(now time.Time, s *Shard, from string, m SlotRequest) []Decision { return s.Submit(now, from, m) })
	receiveForShard(sched, chivewire.KindSlotProgress, func(now time.Time, s *Shard, _ string, m SlotProgress) []Decision {
		s.Progress(now, m)
		return nil
	})
	receiveForShard(sched, chivewire.KindSlotDone, func(now time.Time, s *Shard, _ string, m SlotDone) []Decision { return s.Finish(now, m) })
	receiveForShard(sched, chivewire.KindSlotWithdraw, func(now time.Time, s *Shard, _ string, m SlotWithdraw) []Decision {
		return s.Withdraw(now, m.ID, m.Attempt)
	})
	receiveForShard(sched, chivewire.KindSlotAdopt, func(now time.Time, s *Shard, from string, m SlotAdopt) []Decision { return s.Adopt(now, from, m) })
	return sched
}

// shardMessage is a message that names the shard it is about.
type shardMessage interface {
	shardID() string
}

func (m SlotRequest) shardID() string  { return m.Shard }
func (m SlotProgress) shardID() string { return m.Shard }
func (m SlotDone) shardID() string     { return m.Shard }
func (m SlotWithdraw) shardID() string { return m.Shard }
func (m SlotAdopt) shardID() string    { return m.Shard }

// receiveForShard passes messages of one kind to the shard they name, on the owner's goroutine.
func receiveForShard[M shardMessage](sched *Owner, kind chivewire.Kind, decide func(now time.Time, s *Shard, from string, m M) []Decision) {
	chivewire.Receive(sched.mesh, kind, func(from string, message M) {
		// A full ring loses the message. A request for a slot is asked again when no word comes, and a lost return
		// of a slot is mended by the gateway's next statement of what it runs.
		sched.inbox.Offer(func(now time.Time) {
			sched.gateways[from] = true
			if s := sched.takeShard(now, message.shardID()); s != nil {
				sched.sendDecisions(decide(now, s, from, message))
			}
		})
	})
}

// Start begins to schedule.
func (sched *Owner) Start(ctx context.Context) error {
	sched.background.Begin(ctx, sched.run)
	return nil
}

// Stop ends the goroutine.
func (sched *Owner) Stop(context.Context) error {
	sched.background.End()
	return nil
}

// SetConfig takes a configuration that came into force.
func (sched *Owner) SetConfig(config *chiveconfig.Config) {
	shards := chiveroute.Shards(config)
	sched.inbox.Offer(func(now time.Time) {
		sched.configs = make(map[string]*Plan, len(shards))
		sched.endpointsByAddress = make(map[string][]string)
		for _, s := range shards {
			sched.configs[s.ID()] = NewPlan(config, s.Endpoints())
			for _, e := range s.Endpoints() {
				sched.endpointsByAddress[e.Address] = []string{s.ID(), e.Name}
			}
		}
		for id, owned := range sched.shards {
			if config, ok := sched.configs[id]; ok {
				owned.shard.SetPlan(now, config)
			} else {
				sched.sendDecisions(owned.shard.Close())
				delete(sched.shards, id)
			}
		}
	})
}

// SetMembers takes a change of the fleet: what dead gateways held is freed.
func (sched *Owner) SetMembers(members []chivemember.Member) {
	live := make(map[string]bool, len(members))
	for _, m := range members {
		live[m.Address] = true
	}
	sched.inbox.Offer(func(now time.Time) {
		for gateway := range sched.gateways {
			if live[gateway] {
				continue
			}
			delete(sched.gateways, gateway)
			for _, owned := range sched.shards {
				sched.sendDecisions(owned.shard.Forget(now, gateway))
			}
		}
	})
}

// SetLeaving takes the addresses of endpoints that take no new work.
func (sched *Owner) SetLeaving(addresses []string) {
	sched.inbox.Offer(func(now time.Time) {
		for _, address := range addresses {
			location, ok := sched.endpointsByAddress[address]
			if !ok {
				continue
			}
			if owned, ok := sched.shards[location[0]]; ok {
				owned.shard.Leaving(now, location[1])
			}
		}
	})
}

// ShardState is the dump of one shard.
type ShardState struct {
	Shard       string          `json:"shard"`
	Waiting     int             `json:"waiting"`
	Running     int             `json:"running"`
	LoadPercent int             `json:"load_percent"`
	Counts      Counts          `json:"counts"`
	Endpoints   []EndpointState `json:"endpoints"`
}

// Dump returns the state of every shard that this node schedules.
func (sched *Owner) Dump() any {
	states := make(chan []ShardState, 1)
	sched.inbox.Offer(func(now time.Time) {
		list := make([]ShardState, 0, len(sched.shards))
		for id, owned := range sched.shards {
			s := owned.shard
			list = append(list, ShardState{id, s.Waiting(), s.Running(), s.LoadPercent(), s.Counts(), s.Endpoints(now)})
		}
		states <- list
	})
	dump := struct {
		Shards []ShardState    `json:"shards"`
		Ring   chivering.Depth `json:"ring"`
	}{Ring: sched.inbox.Depth()}
	select {
	case dump.Shards = <-states:
	case <-time.After(dumpTimeout):
	}
	return dump
}

func (sched *Owner) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-sched.inbox.Ready():
			event(time.Now())
		case <-tick.C:
			sched.tick(time.Now())
		}
	}
}

func (sched *Owner) tick(now time.Time) {
	for id, owned := range sched.shards {
		sched.sendDecisions(owned.shard.Tick(now))
		if owned.shard.Waiting()+owned.shard.Running() == 0 && now.Sub(owned.lastUsed) > idleShardTTL {
			delete(sched.shards, id)
		}
	}
}

// takeShard returns the takeShard, taking it over when this node did not have it; nil for one that the configuration does not know.
func (sched *Owner) takeShard(now time.Time, id string) *Shard {
	owned, ok := sched.shards[id]
	if !ok {
		config, known := sched.configs[id]
		if !known {
			return nil
		}
		owned = &ownedShard{shard: NewShard(id, sched.incarnation, config, now)}
		sched.shards[id] = owned
		chiveevent.SchedulerTaken.Log(context.Background(), sched.logger, slog.String("shard", id))
	}
	owned.lastUsed = now
	return owned.shard
}

func (sched *Owner) sendDecisions(decisions []Decision) {
	for _, d := range decisions {
		// A message that a full ring does not take is lost; the gateway asks again when no word comes.
		switch {
		case d.Grant != nil:
			_ = sched.mesh.Send(d.Gateway, chivewire.KindSlotGrant, d.Grant)
		case d.Queued != nil:
			_ = sched.mesh.Send(d.Gateway, chivewire.KindSlotQueued, d.Queued)
		case d.Refusal != nil:
			_ = sched.mesh.Send(d.Gateway, chivewire.KindSlotRefusal, d.Refusal)
		case d.Preempt != nil:
			_ = sched.mesh.Send(d.Gateway, chivewire.KindSlotPreempt, d.Preempt)
		}
	}
}
