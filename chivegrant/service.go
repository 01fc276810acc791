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
	"chivedrift/chivedistance"
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
	// requestTimeout is how long an owner in the same region may take to respond: several network round trips, and far
	// less than any latency target.
	requestTimeout = 40 * time.Millisecond
	// ownerBackoff is how long an owner that did not respond is not asked: about the time until it is detected as dead.
	ownerBackoff  = 2 * time.Second
	inboxCapacity = 1024
	// minRebalanceInterval is the minimum time between two rebalances. When a deployment starts, thousands of engines
	// are added one at a time.
	minRebalanceInterval = 300 * time.Millisecond
	// settleDelay is how long the membership has to stay unchanged before the node considers it complete. After
	// maxSettleTime since its start the node stops waiting, because a fleet whose nodes are replaced continuously never
	// stays unchanged. A small fleet has the complete membership within 0.1 s; 300 nodes that start at the same time
	// have it after 0.6 s.
	settleDelay   = 200 * time.Millisecond
	maxSettleTime = 1500 * time.Millisecond
	// spillLossMargin is by how much the loss in the primary group may exceed the loss of recomputing the whole prompt
	// before the secondary group is asked.
	spillLossMargin = 0.3
)

// ErrAlone is returned when the node has to place the request locally.
var ErrAlone = errors.New("no group owner placed the request")

// Pools gives access to the pools in which places are granted.
type Pools interface {
	// Pool returns the pool with a name, or nil.
	Pool(name string) *chiveplace.Pool
	// Release drops the requests of other nodes on endpoints for which kept returns false.
	Release(kept func(endpoint string) bool)
}

// Options are the dependencies of the service.
type Options struct {
	Mesh  *chivewire.Mesh
	Pools Pools
	// Distances are the distances to the peers; nil in a deployment in one region.
	Distances *chivedistance.Table
	Logger    *slog.Logger
}

// Counts are the numbers of placement requests sent by this node since its start, by outcome.
type Counts struct {
	Asked   int64
	Granted int64
	Refused int64
	Silent  int64
	// Far counts requests that were placed locally because their owner is too far for their target.
	Far int64
}

// incomingRequest is a placement request with the address of its sender.
type incomingRequest struct {
	from    string
	request PlaceAsk
}

// Service asks the owners of groups for places and responds for the groups that this node owns.
type Service struct {
	options    Options
	inbox      *chivering.Ring[incomingRequest]
	assignment atomic.Pointer[assignment]
	distances  atomic.Pointer[regionDistances]
	calls      *chivedistance.Calls[PlaceAnswer]
	lastGrant  atomic.Uint64
	asked      atomic.Int64
	granted    atomic.Int64
	refused    atomic.Int64
	timedOut   atomic.Int64
	far        atomic.Int64

	mu sync.Mutex
	// endpoints holds the endpoints of each partition by the hashes of their ids; enginePools marks the pools of engines.
	endpoints   map[partition]*trieNode[engine]
	enginePools map[string]bool
	// nodes holds the addresses of the alive members by their hashes; nodesChanged is set when they changed since the
	// last rebalance.
	nodes        nodeTries
	nodesChanged bool
	memberCount  int
	// domains are the failure domains of the members by address.
	domains          map[string]string
	membersChangedAt time.Time
	startedAt        time.Time
	backoffUntil     map[string]time.Time
	adopted          map[string]uint64
	goroutines       chivekernel.Duties
	rebalanceTrigger chan struct{}
}

// New returns a service without engines and members.
func New(options Options) *Service {
	s := &Service{
		options: options, inbox: chivering.New[incomingRequest](inboxCapacity), enginePools: make(map[string]bool), endpoints: make(map[partition]*trieNode[engine]), nodes: nodeTries{byRegion: make(map[string]*trieNode[string])}, calls: chivedistance.NewCalls[PlaceAnswer](options.Distances),
		backoffUntil: make(map[string]time.Time), adopted: make(map[string]uint64), rebalanceTrigger: make(chan struct{}, 1),
	}
	s.assignment.Store(&assignment{})
	s.distances.Store(&regionDistances{})
	chivewire.Receive(options.Mesh, chivewire.KindPlaceAsk, func(from string, request PlaceAsk) {
		// A request that does not fit into the inbox is dropped; after its timeout the requesting node places locally.
		s.inbox.Offer(incomingRequest{from, request})
	})
	chivewire.Receive(options.Mesh, chivewire.KindPlaceAnswer, func(_ string, response PlaceAnswer) { s.calls.Deliver(response.Number, response) })
	return s
}

// Start begins to respond to placement requests and to rebalance after changes.
func (s *Service) Start(ctx context.Context) error {
	s.mu.Lock()
	s.startedAt = time.Now()
	s.mu.Unlock()
	s.goroutines.Begin(ctx, s.run, s.rebalanceLoop)
	return nil
}

// Stop ends the goroutines of the service and waits for them.
func (s *Service) Stop(context.Context) error {
	s.goroutines.End()
	return nil
}

// Dump returns the groups with their owners and the state of the inbox.
func (s *Service) Dump() any {
	a := s.assignment.Load()
	owners := make(map[string]string, len(a.owners))
	for id, owner := range a.owners {
		owners[id.String()] = owner
	}
	return struct {
		Asking bool              `json:"asking"`
		Owners map[string]string `json:"owners"`
		Ring   chivering.Depth   `json:"ring"`
	}{a.usesOwners, owners, s.inbox.Depth()}
}

// regionDistances are the distances of the regions; spansRegions tells whether there is more than one region.
type regionDistances struct {
	chivedistance.Map
	spansRegions bool
}

// SetDistances sets how far the regions are. It must be called before the first endpoints and members are set, and may be
// called again when distances change; the regions of the failure domains do not change.
func (s *Service) SetDistances(distances chivedistance.Map) {
	s.distances.Store(&regionDistances{distances, distances.SpansRegions()})
}

// partitionOf returns the partition of an endpoint.
func (s *Service) partitionOf(e chivedirectory.Endpoint) partition {
	distances := s.distances.Load()
	if !distances.spansRegions {
		return partition{pool: e.Pool}
	}
	return partition{e.Pool, distances.RegionOf(e.FailureDomain)}
}

// domainOf returns the failure domain of a member; empty if it is not known.
func (s *Service) domainOf(address string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.domains[address]
}

// regionOf returns the region by which a node is selected as an owner; empty in a deployment that lies in one region.
func (s *Service) regionOf(m chivemember.Member) string {
	if !s.distances.Load().spansRegions {
		return ""
	}
	return m.Region
}

// SetTable applies a new configuration.
func (s *Service) SetTable(table *chivetable.Table) {
	s.mu.Lock()
	s.enginePools = make(map[string]bool)
	for _, p := range table.Pools() {
		s.enginePools[p.Name] = p.Engine.Slots > 0
	}
	s.mu.Unlock()
	s.triggerRebalance()
}

// ApplyEndpoints applies a directory change. A rebalance is triggered only if an endpoint is added, is removed or
// changes its pool or failure domain.
func (s *Service) ApplyEndpoints(diff chivedirectory.Diff) {
	s.mu.Lock()
	changed := false
	for _, e := range diff.Gone {
		changed = s.removeFromOthers(e, partition{}) || changed
	}
	for _, e := range diff.Changed {
		in := s.partitionOf(e)
		changed = s.removeFromOthers(e, in) || changed
		hash := chiveplace.HashID(e.ID)
		added := engine{id: e.ID, failureDomain: e.FailureDomain}
		if known, ok := s.endpoints[in].find(hash); !ok || known != added {
			s.endpoints[in] = s.endpoints[in].insert(hash, added, 0)
			changed = true
		}
	}
	s.mu.Unlock()
	if changed {
		s.triggerRebalance()
	}
}

// removeFromOthers removes an endpoint from all partitions except keep and reports whether it was in any of them. The
// caller holds the lock.
func (s *Service) removeFromOthers(e chivedirectory.Endpoint, keep partition) (removed bool) {
	hash := chiveplace.HashID(e.ID)
	for in, root := range s.endpoints {
		if _, ok := root.find(hash); ok && in != keep {
			s.endpoints[in] = root.remove(hash, 0)
			removed = true
		}
	}
	return removed
}

// SetMembers applies a membership change.
func (s *Service) SetMembers(members []chivemember.Member) {
	s.mu.Lock()
	s.memberCount = len(members)
	s.membersChangedAt = time.Now()
	s.domains = make(map[string]string, len(members))
	for _, m := range members {
		s.domains[m.Address] = m.FailureDomain
		region, alive := s.regionOf(m), m.State == chivemember.Alive
		if alive && !s.nodes.contains(m.Address, region) {
			s.nodes.insert(m.Address, region)
			s.nodesChanged = true
		} else if !alive && s.nodes.contains(m.Address, "") {
			s.nodes.remove(m.Address)
			s.nodesChanged = true
		}
	}
	isMember := func(address string) bool { _, known := s.domains[address]; return known }
	for _, it := range s.nodes.all.all() {
		if !isMember(it.element) {
			s.nodes.remove(it.element)
			s.nodesChanged = true
		}
	}
	// Drops the state of nodes that left the fleet, which would otherwise grow without bound as nodes are replaced.
	maps.DeleteFunc(s.backoffUntil, func(address string, _ time.Time) bool { return !isMember(address) })
	maps.DeleteFunc(s.adopted, func(address string, _ uint64) bool { return !isMember(address) })
	s.mu.Unlock()
	s.triggerRebalance()
}

// triggerRebalance wakes rebalanceLoop.
func (s *Service) triggerRebalance() {
	select {
	case s.rebalanceTrigger <- struct{}{}:
	default:
	}
}

func (s *Service) rebalanceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.rebalanceTrigger:
			s.Divide()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minRebalanceInterval):
		}
	}
}

// Divide recomputes the groups and their owners. Changes of the configuration, endpoints and members trigger it
// automatically after a short delay.
func (s *Service) Divide() {
	s.mu.Lock()
	tries := newEngineTries(s.endpoints, func(pool string) bool { return s.enginePools[pool] })
	previous := s.assignment.Load()
	next := &assignment{}
	if s.memberCount > maxBroadcastNodes {
		if !s.nodesChanged {
			next = previous.withEngines(tries)
		}
		if s.nodesChanged || next == nil {
			next = newAssignment(tries, s.nodes, s.options.Mesh.Self())
		}
	}
	s.nodesChanged = false
	s.assignment.Store(next)
	memberCount := s.memberCount
	s.mu.Unlock()
	if next.usesOwners != previous.usesOwners || !slices.Equal(next.owned, previous.owned) {
		chiveevent.EnginesDivided.Log(context.Background(), s.options.Logger, slog.Bool("asking", next.usesOwners), slog.Int("nodes", memberCount),
			slog.Int("groups", len(next.owners)), slog.Any("owned_here", next.owned))
	}
	s.logRegions(previous, next)
	if next.usesOwners {
		s.options.Pools.Release(func(endpoint string) bool { return next.ownerOf(endpoint) == s.options.Mesh.Self() })
	}
}

// logRegions logs each region of which groups are now owned in other regions, or are no longer.
func (s *Service) logRegions(previous, next *assignment) {
	regions := slices.Concat(slices.Collect(maps.Keys(previous.ownedElsewhere)), slices.Collect(maps.Keys(next.ownedElsewhere)))
	slices.Sort(regions)
	for _, region := range slices.Compact(regions) {
		if elsewhere := next.ownedElsewhere[region]; (elsewhere > 0) != (previous.ownedElsewhere[region] > 0) {
			chiveevent.RegionOwnedElsewhere.Log(context.Background(), s.options.Logger, slog.String("region", region), slog.Int("elsewhere", elsewhere))
		}
	}
}

// Counts returns the numbers of placement requests by outcome.
func (s *Service) Counts() Counts {
	return Counts{Asked: s.asked.Load(), Granted: s.granted.Load(), Refused: s.refused.Load(), Silent: s.timedOut.Load(), Far: s.far.Load()}
}

// Settled reports whether this node knows the fleet: there are other members and the membership has been unchanged for
// a while, or the node has been running for long enough.
func (s *Service) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stable := s.memberCount > 1 && time.Since(s.membersChangedAt) >= settleDelay
	return stable || !s.startedAt.IsZero() && time.Since(s.startedAt) >= maxSettleTime
}

// Asking reports whether the fleet is large enough that owners are asked for places.
func (s *Service) Asking() bool { return s.assignment.Load().usesOwners }

// OwnerOf returns the address of the node that owns an engine, or an empty string if no node owns it.
func (s *Service) OwnerOf(endpoint string) string { return s.assignment.Load().ownerOf(endpoint) }

// Owned returns the ids of the engines of a pool that this node owns.
func (s *Service) Owned(pool string) []string {
	a := s.assignment.Load()
	var owned []string
	for _, id := range a.owned {
		if id.pool == pool {
			owned = append(owned, a.engines(id)...)
		}
	}
	return owned
}

// Seen returns the number of the newest grant adopted from an owner.
func (s *Service) Seen(owner string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.adopted[owner]
}
