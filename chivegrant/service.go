package chivegrant

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivemember"
	"chivedrift/chiveplace"
	"chivedrift/chivering"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "grants"

const (
	// askWithin is how long an owner may take: several times the way there and back, and far less than any target.
	askWithin = 40 * time.Millisecond
	// silentFor is how long an owner that did not answer is not asked: about the time until it is noticed as dead.
	silentFor = 2 * time.Second
	inboxSize = 1024
	// divideEvery is the least time between two divisions: when a deployment starts, thousands of engines come one by one.
	divideEvery = 300 * time.Millisecond
	// settledAfter is how long a fleet that a node has come to know has to stay the same to count as known, and settledAtLast how long after
	// its start the node does not wait any longer: a fleet in which nodes are replaced all the time never stays the same. Whole views come
	// within 0.1 s in a small fleet; 300 nodes that start at once know each other after 0.6 s.
	settledAfter  = 200 * time.Millisecond
	settledAtLast = 1500 * time.Millisecond
	// spillLoss is how much more the home group of a part may cost than reading the prompt anew in another group.
	spillLoss = 0.3
)

// ErrAlone tells that the node has to decide alone.
var ErrAlone = errors.New("no owner answers")

// Pools are the pools that places are granted in.
type Pools interface {
	// Pool returns the pool of a name, or nil.
	Pool(name string) *chiveplace.Pool
	// Release drops what other nodes have on endpoints that this node does not keep.
	Release(kept func(endpoint string) bool)
}

// Options are the parts the service is made of.
type Options struct {
	Mesh   *chivewire.Mesh
	Pools  Pools
	Logger *slog.Logger
}

// Counts are how this node's questions went, since its start.
type Counts struct {
	Asked   int64
	Granted int64
	Refused int64
	Silent  int64
}

// question is one question with its sender.
type question struct {
	from string
	ask  PlaceAsk
}

// Service asks owners for places, and answers for the groups that this node owns.
type Service struct {
	o       Options
	inbox   *chivering.Ring[question]
	divided atomic.Pointer[groups]
	numbers atomic.Uint64
	given   atomic.Uint64
	asked   atomic.Int64
	granted atomic.Int64
	refused atomic.Int64
	unheard atomic.Int64

	mu sync.Mutex
	// endpoints holds the endpoints of each pool, by the hashes of their ids; engines is the set of pools that have engines.
	endpoints map[string]*branch[engine]
	engines   map[string]bool
	// nodes holds the addresses of the members that are alive, by their hashes; moved means that they changed since the last division.
	nodes     *branch[string]
	moved     bool
	members   int
	changedAt time.Time
	began     time.Time
	waiting   map[uint64]chan PlaceAnswer
	silent    map[string]time.Time
	seen      map[string]uint64
	duties    chivekernel.Duties
	changed   chan struct{}
}

// New returns a service that knows no engines yet.
func New(o Options) *Service {
	s := &Service{
		o: o, inbox: chivering.New[question](inboxSize), engines: make(map[string]bool), endpoints: make(map[string]*branch[engine]), waiting: make(map[uint64]chan PlaceAnswer),
		silent: make(map[string]time.Time), seen: make(map[string]uint64), changed: make(chan struct{}, 1),
	}
	s.divided.Store(&groups{})
	chivewire.Receive(o.Mesh, chivewire.KindPlaceAsk, func(from string, ask PlaceAsk) {
		// A full ring is silence to the node that asks: it decides alone.
		s.inbox.Offer(question{from, ask})
	})
	chivewire.Receive(o.Mesh, chivewire.KindPlaceAnswer, func(_ string, answer PlaceAnswer) { s.hear(answer) })
	return s
}

// Start begins to answer.
func (s *Service) Start(ctx context.Context) error {
	s.mu.Lock()
	s.began = time.Now()
	s.mu.Unlock()
	s.duties.Begin(ctx, s.run, s.divideWhenChanged)
	return nil
}

// Stop ends that.
func (s *Service) Stop(context.Context) error {
	s.duties.End()
	return nil
}

// Dump returns the groups with their owners.
func (s *Service) Dump() any {
	g := s.divided.Load()
	owners := make(map[string]string, len(g.owners))
	for name, owner := range g.owners {
		owners[name.String()] = owner
	}
	return struct {
		Asking bool              `json:"asking"`
		Owners map[string]string `json:"owners"`
		Ring   chivering.Depth   `json:"ring"`
	}{g.asking, owners, s.inbox.Depth()}
}

// SetTable takes a configuration that came into force.
func (s *Service) SetTable(table *chivetable.Table) {
	s.mu.Lock()
	s.engines = make(map[string]bool)
	for _, p := range table.Pools() {
		s.engines[p.Name] = p.Engine.Slots > 0
	}
	s.mu.Unlock()
	s.change()
}

// ApplyEndpoints takes a change of the directory. The groups change only where an endpoint comes, goes or changes its pool.
func (s *Service) ApplyEndpoints(diff chivedirectory.Diff) {
	s.mu.Lock()
	divides := false
	for _, e := range diff.Gone {
		divides = s.removeExcept(e, "") || divides
	}
	for _, e := range diff.Changed {
		divides = s.removeExcept(e, e.Pool) || divides
		hash := chiveplace.HashID(e.ID)
		added := engine{id: e.ID, domain: e.FailureDomain}
		if known, ok := s.endpoints[e.Pool].find(hash); !ok || known != added {
			s.endpoints[e.Pool] = s.endpoints[e.Pool].insert(hash, added, 0)
			divides = true
		}
	}
	s.mu.Unlock()
	if divides {
		s.change()
	}
}

// removeExcept removes an endpoint from all pools except one and reports whether it was in any; the caller holds the lock.
func (s *Service) removeExcept(e chivedirectory.Endpoint, except string) (removed bool) {
	hash := chiveplace.HashID(e.ID)
	for pool, root := range s.endpoints {
		if _, ok := root.find(hash); ok && pool != except {
			s.endpoints[pool] = root.remove(hash, 0)
			removed = true
		}
	}
	return removed
}

// SetMembers takes a change of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) {
	s.mu.Lock()
	s.members = len(members)
	s.changedAt = time.Now()
	present := make(map[uint64]bool, len(members))
	for _, m := range members {
		hash := chiveplace.HashID(m.Address)
		present[hash] = true
		_, known := s.nodes.find(hash)
		if alive := m.State == chivemember.Alive; alive != known {
			s.moved = true
			if alive {
				s.nodes = s.nodes.insert(hash, m.Address, 0)
			} else {
				s.nodes = s.nodes.remove(hash, 0)
			}
		}
	}
	for _, i := range s.nodes.all() {
		if !present[i.hash] {
			s.nodes, s.moved = s.nodes.remove(i.hash, 0), true
		}
	}
	there := func(address string) bool { return present[chiveplace.HashID(address)] }
	// What is remembered of nodes that were replaced would otherwise grow for ever.
	maps.DeleteFunc(s.silent, func(address string, _ time.Time) bool { return !there(address) })
	maps.DeleteFunc(s.seen, func(address string, _ uint64) bool { return !there(address) })
	s.mu.Unlock()
	s.change()
}

// change wakes the goroutine that divides.
func (s *Service) change() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Service) divideWhenChanged(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			s.Divide()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(divideEvery):
		}
	}
}

// Divide works out the groups and their owners from what is known now; changes do it by themselves, a moment later.
func (s *Service) Divide() {
	s.mu.Lock()
	pools := make(map[string]*branch[engine])
	for pool, root := range s.endpoints {
		if s.engines[pool] {
			pools[pool] = root
		}
	}
	before := s.divided.Load()
	g := &groups{}
	if s.members > aloneUpTo {
		if !s.moved {
			g = before.withEngines(pools)
		}
		if s.moved || g == nil {
			g = newGroups(pools, s.nodes, s.o.Mesh.Self())
		}
	}
	s.moved = false
	s.divided.Store(g)
	nodes := s.members
	s.mu.Unlock()
	if g.asking != before.asking || !slices.Equal(g.owned, before.owned) {
		chiveevent.EnginesDivided.Log(context.Background(), s.o.Logger, slog.Bool("asking", g.asking), slog.Int("nodes", nodes),
			slog.Int("groups", len(g.owners)), slog.Any("owned_here", g.owned))
	}
	if g.asking {
		s.o.Pools.Release(func(endpoint string) bool { return g.ownerOf(endpoint) == s.o.Mesh.Self() })
	}
}

// Counts returns how this node's questions went.
func (s *Service) Counts() Counts {
	return Counts{Asked: s.asked.Load(), Granted: s.granted.Load(), Refused: s.refused.Load(), Silent: s.unheard.Load()}
}

// Settled reports whether this node knows the fleet: others have been heard of and none came or went just now, or it has run for a while.
func (s *Service) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stays := s.members > 1 && time.Since(s.changedAt) >= settledAfter
	return stays || !s.began.IsZero() && time.Since(s.began) >= settledAtLast
}

// Asking reports whether the fleet is so large that owners are asked.
func (s *Service) Asking() bool { return s.divided.Load().asking }

// OwnerOf returns the address of the node that owns an engine; empty for an endpoint that nobody owns.
func (s *Service) OwnerOf(endpoint string) string { return s.divided.Load().ownerOf(endpoint) }

// Owned returns the ids of the engines of a pool that this node owns.
func (s *Service) Owned(pool string) []string {
	g := s.divided.Load()
	var owned []string
	for _, of := range g.owned {
		if of.pool == pool {
			owned = append(owned, g.engines(of)...)
		}
	}
	return owned
}

// Seen returns the newest grant of an owner that this node has taken.
func (s *Service) Seen(owner string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[owner]
}
