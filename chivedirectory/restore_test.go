package chivedirectory_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"
)

// restoreSeeds is the number of random histories to run.
var restoreSeeds = flag.Uint64("restore.seeds", 400, "number of random histories with restores of the store")

// Positions of a later era compare as greater than all of an earlier one. In a store that was never restored, positions
// are the offsets themselves, as nodes of earlier releases use them.
func TestPositions(t *testing.T) {
	if p := chivelog.NewPosition(1, 7); p != 7 || p.Era() != 1 || p.Offset() != 7 {
		t.Errorf("first era: %d, era %d, offset %d", p, p.Era(), p.Offset())
	}
	if p := chivelog.NewPosition(0, 7); p != 7 {
		t.Errorf("store without eras: got %d, want 7", p)
	}
	later := chivelog.NewPosition(3, 2)
	if later.Era() != 3 || later.Offset() != 2 || later <= chivelog.NewPosition(2, 1<<43) {
		t.Errorf("era %d, offset %d", later.Era(), later.Offset())
	}
	if !later.MayPrecede(chivelog.NewPosition(2, 2)) || later.MayPrecede(chivelog.NewPosition(2, 1)) || later.MayPrecede(chivelog.NewPosition(3, 9)) {
		t.Error("MayPrecede is wrong about records that may come from the copy")
	}
}

// storeSimulation simulates a store that is restored from older copies, the endpoints that write to it, and nodes that
// read it or receive updates from each other.
type storeSimulation struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	era    int64
	log    []chivedirectory.Change
	backup []chivedirectory.Change
	// alive holds the running endpoints, and leaving those that have begun to drain. For each node, known holds the
	// endpoints that it ever knew, and withdrawn those that it knew as leaving or removed.
	alive        map[string]bool
	leaving      map[string]bool
	nodes        []*chivedirectory.Directory
	nextPosition []chivelog.Position
	known        []map[string]bool
	withdrawn    []map[string]bool
	started      int
	lapseAt      map[string]time.Time
}

func newStoreSimulation(t *testing.T, seed uint64) *storeSimulation {
	t.Helper()
	s := &storeSimulation{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), era: 1, alive: make(map[string]bool), leaving: make(map[string]bool),
		lapseAt: make(map[string]time.Time),
	}
	const size = 3
	s.nodes, s.nextPosition = make([]*chivedirectory.Directory, size), make([]chivelog.Position, size)
	s.known, s.withdrawn = make([]map[string]bool, size), make([]map[string]bool, size)
	for n := range size {
		s.startNode(n)
	}
	return s
}

// startNode starts a node with an empty directory.
func (s *storeSimulation) startNode(n int) {
	s.nodes[n], s.nextPosition[n] = chivedirectory.New(chivedirectory.DefaultGrace), -1
	s.known[n], s.withdrawn[n] = make(map[string]bool), make(map[string]bool)
}

func (s *storeSimulation) appendRecord(c chivedirectory.Change) {
	c.Position, c.Read = chivelog.NewPosition(s.era, int64(len(s.log))), true
	s.log = append(s.log, c)
}

func (s *storeSimulation) register(id string) {
	state := chivedirectory.Ready
	if s.leaving[id] {
		state = chivedirectory.Leaving
	}
	s.appendRecord(chivedirectory.Change{Endpoint: chivedirectory.Endpoint{ID: id, Pool: "p", Address: "a", State: state}})
}

// present returns the entries that the store has now.
func (s *storeSimulation) present() map[string]chivedirectory.Change {
	present := make(map[string]chivedirectory.Change)
	for _, c := range s.log {
		if c.Gone {
			delete(present, c.Endpoint.ID)
		} else {
			present[c.Endpoint.ID] = c
		}
	}
	return present
}

// restore restores the store from the backup; the records keep their offsets in the new era.
func (s *storeSimulation) restore() {
	s.era++
	s.log = slices.Clone(s.backup)
	for i := range s.log {
		s.log[i].Position = chivelog.NewPosition(s.era, int64(i))
	}
	for id := range s.present() {
		s.lapseAt[id] = s.now.Add(3600 * time.Millisecond)
	}
}

// renew makes running endpoints write entries that the store lacks, each with a given probability, and makes entries of
// stopped endpoints lapse.
func (s *storeSimulation) renew(probability float64) {
	present := s.present()
	for _, id := range slices.Sorted(maps.Keys(s.alive)) {
		c, ok := present[id]
		written := ok && (c.Endpoint.State == chivedirectory.Leaving) == s.leaving[id]
		if !written && s.random.Float64() < probability {
			s.register(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(present)) {
		if !s.alive[id] && s.now.After(s.lapseAt[id]) {
			s.appendRecord(chivedirectory.Change{Gone: true, Endpoint: chivedirectory.Endpoint{ID: id}})
		}
	}
}

// readStore makes a node read the store: a snapshot first and after a restore, otherwise the new records.
func (s *storeSimulation) readStore(n int) {
	d, end := s.nodes[n], chivelog.NewPosition(s.era, int64(len(s.log)))
	d.StoreAnswered(s.now)
	if s.nextPosition[n] < 0 || s.nextPosition[n].Era() != s.era {
		snapshot := slices.SortedFunc(maps.Values(s.present()), func(a, b chivedirectory.Change) int { return strings.Compare(a.Endpoint.ID, b.Endpoint.ID) })
		d.Replace(s.now, snapshot, end)
	} else {
		for _, c := range s.log[s.nextPosition[n].Offset():] {
			d.Apply(s.now, c)
		}
	}
	s.nextPosition[n] = end
	s.checkWithdrawn(n)
}

func (s *storeSimulation) sendUpdate(from, to int) {
	if s.nodes[to].Newest() < s.nodes[from].Newest() {
		s.nodes[to].Learn(s.now, s.nodes[from].Update(s.now, s.nodes[to].Newest()))
		s.checkWithdrawn(to)
	}
}

// checkWithdrawn checks that a node does not use an endpoint again that it knew as leaving or removed, and records new
// ones. A stopped process does not return under its id.
func (s *storeSimulation) checkWithdrawn(n int) {
	isReady := s.readyEndpoints(n)
	for id := range s.withdrawn[n] {
		if isReady[id] && (!s.alive[id] || s.leaving[id]) {
			s.t.Errorf("node %d uses %s again, which it knew as leaving or removed", n, id)
		}
	}
	for id, ready := range isReady {
		s.known[n][id] = true
		if !ready {
			s.withdrawn[n][id] = true
		}
	}
	for id := range s.known[n] {
		if !s.alive[id] && !isReady[id] {
			s.withdrawn[n][id] = true
		}
	}
}

func (s *storeSimulation) readyEndpoints(n int) map[string]bool {
	isReady := make(map[string]bool)
	for _, e := range s.nodes[n].Endpoints() {
		isReady[e.ID] = e.State == chivedirectory.Ready
	}
	return isReady
}

func (s *storeSimulation) step() {
	switch s.random.IntN(9) {
	case 0:
		s.startEndpoint()
	case 1:
		s.drainEndpoint()
	case 2:
		s.stopEndpoint()
	case 3:
		s.backup = slices.Clone(s.log)
	case 4:
		s.readStore(s.random.IntN(len(s.nodes)))
	case 5:
		s.startNode(s.random.IntN(len(s.nodes)))
	default:
		s.sendUpdate(s.random.IntN(len(s.nodes)), s.random.IntN(len(s.nodes)))
	}
	s.advance(time.Duration(s.random.IntN(200)) * time.Millisecond)
}

func (s *storeSimulation) startEndpoint() {
	id := fmt.Sprint("e", s.started)
	s.started++
	s.alive[id] = true
	s.register(id)
}

// drainEndpoint makes an endpoint report that it leaves.
func (s *storeSimulation) drainEndpoint() {
	if id, ok := s.pick(s.alive); ok {
		s.leaving[id] = true
		s.register(id)
	}
}

// stopEndpoint stops a leaving endpoint and removes its entry.
func (s *storeSimulation) stopEndpoint() {
	if id, ok := s.pick(s.leaving); ok && s.alive[id] {
		delete(s.alive, id)
		s.appendRecord(chivedirectory.Change{Gone: true, Endpoint: chivedirectory.Endpoint{ID: id}})
	}
}

func (s *storeSimulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, node := range s.nodes {
		node.Expire(s.now)
	}
}

// pick returns a random key of a set.
func (s *storeSimulation) pick(from map[string]bool) (id string, ok bool) {
	if len(from) == 0 {
		return "", false
	}
	ids := slices.Sorted(maps.Keys(from))
	return ids[s.random.IntN(len(ids))], true
}

// TestRandomHistoriesWithRestores runs random histories: endpoints start, drain and stop, the store is restored from
// copies at any time, also twice in a row, and nodes read it or receive updates from each other late or never. A node
// must never use an endpoint again that it knew as leaving or removed, and in the end every node must know what the
// store has.
func TestRandomHistoriesWithRestores(t *testing.T) {
	for seed := range *restoreSeeds {
		s := newStoreSimulation(t, seed)
		for i := range 3 {
			s.readStore(i)
		}
		for range 60 {
			s.step()
			s.renew(1)
			if s.random.IntN(15) == 0 {
				s.restore()
			}
			s.renew(0.3)
		}
		s.converge(seed%2 == 0)
		s.checkKnown()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// converge simulates the guarantees of the platform after a restore: entries of live endpoints are back within about 2
// s, the others lapse. It then gives the nodes time to catch up. Either all nodes read the store, or one does and
// updates the others, as in a large fleet.
func (s *storeSimulation) converge(allRead bool) {
	for range 80 {
		s.now = s.now.Add(200 * time.Millisecond)
		s.renew(0.5)
		s.readStore(0)
		for n := 1; n < len(s.nodes); n++ {
			if allRead {
				s.readStore(n)
			}
			s.sendUpdate(n-1, n)
		}
		s.advance(0)
	}
}

// checkKnown compares the endpoints known to each node with the store.
func (s *storeSimulation) checkKnown() {
	present := s.present()
	for n, d := range s.nodes {
		known := d.Endpoints()
		if len(known) != len(present) {
			s.t.Errorf("node %d knows %v, the store has %v", n, known, slices.Sorted(maps.Keys(present)))
		}
		for _, e := range known {
			if present[e.ID].Endpoint.State != e.State {
				s.t.Errorf("node %d: %s is %v, the store says %v", n, e.ID, e.State, present[e.ID].Endpoint.State)
			}
		}
	}
}

// restoreDepth is the length of the event sequences.
var restoreDepth = flag.Int("restore.depth", 4, "length of the event sequences, of which all are run")

// TestEventOrdersAroundRestore runs all event sequences of a given length: an endpoint starts, drains or stops, the
// store is copied or restored, a node reads it, receives an update or restarts.
func TestEventOrdersAroundRestore(t *testing.T) {
	events := []func(s *storeSimulation){
		(*storeSimulation).startEndpoint, (*storeSimulation).drainEndpoint, (*storeSimulation).stopEndpoint, func(s *storeSimulation) { s.backup = slices.Clone(s.log) },
		(*storeSimulation).restore, func(s *storeSimulation) { s.readStore(0) }, func(s *storeSimulation) { s.readStore(1) }, func(s *storeSimulation) { s.sendUpdate(0, 2) },
		func(s *storeSimulation) { s.sendUpdate(2, 0) }, func(w *storeSimulation) { w.startNode(1) },
	}
	orders := 1
	for range *restoreDepth {
		orders *= len(events)
	}
	for order := range orders {
		s := newStoreSimulation(t, 1)
		// Every node knows one endpoint, and the copy is made before the first event.
		s.startEndpoint()
		for n := range s.nodes {
			s.readStore(n)
		}
		s.backup = slices.Clone(s.log)
		remaining := order
		for range *restoreDepth {
			events[remaining%len(events)](s)
			s.advance(100 * time.Millisecond)
			remaining /= len(events)
		}
		s.converge(order%2 == 0)
		s.checkKnown()
		if t.Failed() {
			t.Fatalf("sequence %d of length %d", order, *restoreDepth)
		}
	}
}
