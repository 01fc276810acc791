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

// OwnerName is the service name of the scheduler.
const OwnerName = "scheduler"

const (
	inboxCapacity = 8192
	tickInterval  = 100 * time.Millisecond
	idleShardTTL  = time.Minute
	dumpTimeout   = time.Second
)

// Owner schedules the shards for which gateways send slot requests to this node. A single goroutine owns all of them
// and reads its work from a bounded queue.
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

// NewOwner returns the scheduler of a node and registers its message handlers.
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

// shardMessage is a message that is addressed to a shard.
type shardMessage interface {
	shardID() string
}

func (m SlotRequest) shardID() string  { return m.Shard }
func (m SlotProgress) shardID() string { return m.Shard }
func (m SlotDone) shardID() string     { return m.Shard }
func (m SlotWithdraw) shardID() string { return m.Shard }
func (m SlotAdopt) shardID() string    { return m.Shard }

// receiveForShard passes messages of one kind to the shard they are addressed to, on the goroutine that owns the
// shards.
func receiveForShard[M shardMessage](sched *Owner, kind chivewire.Kind, decide func(now time.Time, s *Shard, from string, m M) []Decision) {
	chivewire.Receive(sched.mesh, kind, func(from string, message M) {
		// When the queue is full the message is dropped. A gateway sends a slot request again when it gets no answer,
		// and a lost slot release is corrected by the gateway's next SlotAdopt.
		sched.inbox.Offer(func(now time.Time) {
			sched.gateways[from] = true
			if s := sched.takeShard(now, message.shardID()); s != nil {
				sched.sendDecisions(decide(now, s, from, message))
			}
		})
	})
}

// Start starts the goroutine that runs the shards.
func (sched *Owner) Start(ctx context.Context) error {
	sched.background.Begin(ctx, sched.run)
	return nil
}

// Stop stops the goroutine.
func (sched *Owner) Stop(context.Context) error {
	sched.background.End()
	return nil
}

// SetConfig applies a new configuration.
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

// SetMembers applies a new member list and removes the requests and slots of gateways that are no longer in it.
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

// SetLeaving marks the endpoints with these addresses as draining.
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

// ShardState is the state of one shard in the state dump.
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

// takeShard returns the shard and takes it over when this node did not schedule it yet; it returns nil for a shard that
// is not in the configuration.
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
		// A message is dropped when the send queue is full; the gateway sends its request again when it gets no answer.
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
