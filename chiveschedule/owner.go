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
	ownerRing    = 8192
	ownerTick    = 100 * time.Millisecond
	shardKeptFor = time.Minute
	dumpWait     = time.Second
)

// Owner schedules the shards that gateways bring to this node: one goroutine owns them all, fed by a ring.
type Owner struct {
	mesh        *chivewire.Mesh
	logger      *slog.Logger
	incarnation int64
	inbox       *chivering.Ring[func(now time.Time)]
	shards      map[string]*kept
	plans       map[string]*Plan
	addresses   map[string][]string
	gateways    map[string]bool
	duties      chivekernel.Duties
}

type kept struct {
	shard *Shard
	used  time.Time
}

// NewOwner returns the scheduler side of a node.
func NewOwner(mesh *chivewire.Mesh, logger *slog.Logger) *Owner {
	k := &Owner{
		mesh: mesh, logger: logger, incarnation: time.Now().UnixNano(), inbox: chivering.New[func(time.Time)](ownerRing),
		shards: make(map[string]*kept), plans: make(map[string]*Plan), addresses: make(map[string][]string), gateways: make(map[string]bool),
	}
	handle(k, chivewire.KindSlotRequest, func(now time.Time, s *Shard, from string, m SlotRequest) []Decision { return s.Submit(now, from, m) })
	handle(k, chivewire.KindSlotProgress, func(now time.Time, s *Shard, _ string, m SlotProgress) []Decision {
		s.Progress(now, m)
		return nil
	})
	handle(k, chivewire.KindSlotDone, func(now time.Time, s *Shard, _ string, m SlotDone) []Decision { return s.Finish(now, m) })
	handle(k, chivewire.KindSlotWithdraw, func(now time.Time, s *Shard, _ string, m SlotWithdraw) []Decision {
		return s.Withdraw(now, m.ID, m.Attempt)
	})
	handle(k, chivewire.KindSlotAdopt, func(now time.Time, s *Shard, from string, m SlotAdopt) []Decision { return s.Adopt(now, from, m) })
	return k
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

// handle passes messages of one kind to the shard they name, on the owner's goroutine.
func handle[M shardMessage](k *Owner, kind chivewire.Kind, decide func(now time.Time, s *Shard, from string, m M) []Decision) {
	chivewire.Receive(k.mesh, kind, func(from string, message M) {
		// A full ring loses the message. A request for a slot is asked again when no word comes, and a lost return
		// of a slot is mended by the gateway's next statement of what it runs.
		k.inbox.Offer(func(now time.Time) {
			k.gateways[from] = true
			if s := k.shard(now, message.shardID()); s != nil {
				k.send(decide(now, s, from, message))
			}
		})
	})
}

// Start begins to schedule.
func (k *Owner) Start(ctx context.Context) error {
	k.duties.Begin(ctx, k.run)
	return nil
}

// Stop ends the goroutine.
func (k *Owner) Stop(context.Context) error {
	k.duties.End()
	return nil
}

// SetConfig takes a configuration that came into force.
func (k *Owner) SetConfig(config *chiveconfig.Config) {
	shards := chiveroute.Shards(config)
	k.inbox.Offer(func(now time.Time) {
		k.plans = make(map[string]*Plan, len(shards))
		k.addresses = make(map[string][]string)
		for _, s := range shards {
			k.plans[s.ID()] = NewPlan(config, s.Endpoints())
			for _, e := range s.Endpoints() {
				k.addresses[e.Address] = []string{s.ID(), e.Name}
			}
		}
		for id, held := range k.shards {
			if plan, ok := k.plans[id]; ok {
				held.shard.SetPlan(now, plan)
			} else {
				k.send(held.shard.Close())
				delete(k.shards, id)
			}
		}
	})
}

// SetMembers takes a change of the fleet: what dead gateways held is freed.
func (k *Owner) SetMembers(members []chivemember.Member) {
	live := make(map[string]bool, len(members))
	for _, m := range members {
		live[m.Address] = true
	}
	k.inbox.Offer(func(now time.Time) {
		for gateway := range k.gateways {
			if live[gateway] {
				continue
			}
			delete(k.gateways, gateway)
			for _, held := range k.shards {
				k.send(held.shard.Forget(now, gateway))
			}
		}
	})
}

// SetLeaving takes the addresses of endpoints that take no new work.
func (k *Owner) SetLeaving(addresses []string) {
	k.inbox.Offer(func(now time.Time) {
		for _, address := range addresses {
			place, ok := k.addresses[address]
			if !ok {
				continue
			}
			if held, ok := k.shards[place[0]]; ok {
				held.shard.Leaving(now, place[1])
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
func (k *Owner) Dump() any {
	states := make(chan []ShardState, 1)
	k.inbox.Offer(func(now time.Time) {
		list := make([]ShardState, 0, len(k.shards))
		for id, held := range k.shards {
			s := held.shard
			list = append(list, ShardState{id, s.Waiting(), s.Running(), s.LoadPercent(), s.Counts(), s.Endpoints(now)})
		}
		states <- list
	})
	dump := struct {
		Shards []ShardState    `json:"shards"`
		Ring   chivering.Depth `json:"ring"`
	}{Ring: k.inbox.Depth()}
	select {
	case dump.Shards = <-states:
	case <-time.After(dumpWait):
	}
	return dump
}

func (k *Owner) run(ctx context.Context) {
	tick := time.NewTicker(ownerTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case act := <-k.inbox.Ready():
			act(time.Now())
		case <-tick.C:
			k.tick(time.Now())
		}
	}
}

func (k *Owner) tick(now time.Time) {
	for id, held := range k.shards {
		k.send(held.shard.Tick(now))
		if held.shard.Waiting()+held.shard.Running() == 0 && now.Sub(held.used) > shardKeptFor {
			delete(k.shards, id)
		}
	}
}

// shard returns the shard, taking it over when this node did not have it; nil for one that the configuration does not know.
func (k *Owner) shard(now time.Time, id string) *Shard {
	held, ok := k.shards[id]
	if !ok {
		plan, known := k.plans[id]
		if !known {
			return nil
		}
		held = &kept{shard: NewShard(id, k.incarnation, plan, now)}
		k.shards[id] = held
		chiveevent.SchedulerTaken.Log(context.Background(), k.logger, slog.String("shard", id))
	}
	held.used = now
	return held.shard
}

func (k *Owner) send(decisions []Decision) {
	for _, d := range decisions {
		// A message that a full ring does not take is lost; the gateway asks again when no word comes.
		switch {
		case d.Grant != nil:
			_ = k.mesh.Send(d.Gateway, chivewire.KindSlotGrant, d.Grant)
		case d.Queued != nil:
			_ = k.mesh.Send(d.Gateway, chivewire.KindSlotQueued, d.Queued)
		case d.Refusal != nil:
			_ = k.mesh.Send(d.Gateway, chivewire.KindSlotRefusal, d.Refusal)
		case d.Preempt != nil:
			_ = k.mesh.Send(d.Gateway, chivewire.KindSlotPreempt, d.Preempt)
		}
	}
}
