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

// restoreSeeds are how many histories are played.
var restoreSeeds = flag.Uint64("restore.seeds", 400, "how many histories of a store that loses its tail are played")

// Positions of a later era come after all of an earlier one, and a store that never came back gives the offsets themselves, as nodes of earlier
// releases know them.
func TestPositions(t *testing.T) {
	if p := chivelog.NewPosition(1, 7); p != 7 || p.Era() != 1 || p.Offset() != 7 {
		t.Errorf("first era: %d, era %d, offset %d", p, p.Era(), p.Offset())
	}
	if p := chivelog.NewPosition(0, 7); p != 7 {
		t.Errorf("a store that does not count: %d", p)
	}
	later := chivelog.NewPosition(3, 2)
	if later.Era() != 3 || later.Offset() != 2 || later <= chivelog.NewPosition(2, 1<<43) {
		t.Errorf("era %d, offset %d", later.Era(), later.Offset())
	}
	if !later.MayPrecede(chivelog.NewPosition(2, 2)) || later.MayPrecede(chivelog.NewPosition(2, 1)) || later.MayPrecede(chivelog.NewPosition(3, 9)) {
		t.Error("what may be of the copy")
	}
}

// world is a store that loses its tail, the endpoints that write to it, and nodes that read it or hear of it from each other.
type restoreWorld struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	era    int64
	log    []chivedirectory.Change
	copied []chivedirectory.Change
	// alive are the endpoints that run, leaving those of them that drain. Of each node, known are the endpoints that it ever knew, refused those that
	// it knew to leave or to be gone.
	alive   map[string]bool
	leaving map[string]bool
	nodes   []*chivedirectory.Directory
	next    []chivelog.Position
	known   []map[string]bool
	refused []map[string]bool
	born    int
	lapses  map[string]time.Time
}

func newRestoreWorld(t *testing.T, seed uint64) *restoreWorld {
	t.Helper()
	w := &restoreWorld{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), era: 1, alive: make(map[string]bool), leaving: make(map[string]bool),
		lapses: make(map[string]time.Time),
	}
	const size = 3
	w.nodes, w.next = make([]*chivedirectory.Directory, size), make([]chivelog.Position, size)
	w.known, w.refused = make([]map[string]bool, size), make([]map[string]bool, size)
	for n := range size {
		w.start(n)
	}
	return w
}

// start begins a node that knows nothing.
func (w *restoreWorld) start(n int) {
	w.nodes[n], w.next[n] = chivedirectory.New(chivedirectory.DefaultGrace), -1
	w.known[n], w.refused[n] = make(map[string]bool), make(map[string]bool)
}

func (w *restoreWorld) write(c chivedirectory.Change) {
	c.Position, c.Read = chivelog.NewPosition(w.era, int64(len(w.log))), true
	w.log = append(w.log, c)
}

func (w *restoreWorld) register(id string) {
	state := chivedirectory.Ready
	if w.leaving[id] {
		state = chivedirectory.Leaving
	}
	w.write(chivedirectory.Change{Endpoint: chivedirectory.Endpoint{ID: id, Pool: "p", Address: "a", State: state}})
}

// present is what the store has now.
func (w *restoreWorld) present() map[string]chivedirectory.Change {
	present := make(map[string]chivedirectory.Change)
	for _, c := range w.log {
		if c.Gone {
			delete(present, c.Endpoint.ID)
		} else {
			present[c.Endpoint.ID] = c
		}
	}
	return present
}

// restore brings the store back from the copy; the records keep their offsets in the new era.
func (w *restoreWorld) restore() {
	w.era++
	w.log = slices.Clone(w.copied)
	for i := range w.log {
		w.log[i].Position = chivelog.NewPosition(w.era, int64(i))
	}
	for id := range w.present() {
		w.lapses[id] = w.now.Add(3600 * time.Millisecond)
	}
}

// renew has the endpoints that run write what the store lacks of them, and the entries of those that do not run lapse.
func (w *restoreWorld) renew(chance float64) {
	present := w.present()
	for _, id := range slices.Sorted(maps.Keys(w.alive)) {
		c, ok := present[id]
		written := ok && (c.Endpoint.State == chivedirectory.Leaving) == w.leaving[id]
		if !written && w.random.Float64() < chance {
			w.register(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(present)) {
		if !w.alive[id] && w.now.After(w.lapses[id]) {
			w.write(chivedirectory.Change{Gone: true, Endpoint: chivedirectory.Endpoint{ID: id}})
		}
	}
}

// read has a node read the store as a follower does.
func (w *restoreWorld) read(n int) {
	d, end := w.nodes[n], chivelog.NewPosition(w.era, int64(len(w.log)))
	d.StoreAnswered(w.now)
	if w.next[n] < 0 || w.next[n].Era() != w.era {
		snapshot := slices.SortedFunc(maps.Values(w.present()), func(a, b chivedirectory.Change) int { return strings.Compare(a.Endpoint.ID, b.Endpoint.ID) })
		d.Replace(w.now, snapshot, end)
	} else {
		for _, c := range w.log[w.next[n].Offset():] {
			d.Apply(w.now, c)
		}
	}
	w.next[n] = end
	w.noteRefused(n)
}

func (w *restoreWorld) tell(from, to int) {
	if w.nodes[to].Newest() < w.nodes[from].Newest() {
		w.nodes[to].Learn(w.now, w.nodes[from].Update(w.now, w.nodes[to].Newest()))
		w.noteRefused(to)
	}
}

// noteRefused notes which endpoints a node knows to be leaving or gone; a process that has left does not come back under its id.
func (w *restoreWorld) noteRefused(n int) {
	usable := w.usable(n)
	for id := range w.refused[n] {
		if usable[id] && (!w.alive[id] || w.leaving[id]) {
			w.t.Errorf("node %d sends to %s again, which it knew to leave or to be gone", n, id)
		}
	}
	for id, is := range usable {
		w.known[n][id] = true
		if !is {
			w.refused[n][id] = true
		}
	}
	for id := range w.known[n] {
		if !w.alive[id] && !usable[id] {
			w.refused[n][id] = true
		}
	}
}

func (w *restoreWorld) usable(n int) map[string]bool {
	usable := make(map[string]bool)
	for _, e := range w.nodes[n].Endpoints() {
		usable[e.ID] = e.State == chivedirectory.Ready
	}
	return usable
}

func (w *restoreWorld) step() {
	switch w.random.IntN(9) {
	case 0:
		w.come()
	case 1:
		w.drain()
	case 2:
		w.end()
	case 3:
		w.copied = slices.Clone(w.log)
	case 4:
		w.read(w.random.IntN(len(w.nodes)))
	case 5:
		w.start(w.random.IntN(len(w.nodes)))
	default:
		w.tell(w.random.IntN(len(w.nodes)), w.random.IntN(len(w.nodes)))
	}
	w.pass(time.Duration(w.random.IntN(200)) * time.Millisecond)
}

// come starts a new endpoint.
func (w *restoreWorld) come() {
	id := fmt.Sprint("e", w.born)
	w.born++
	w.alive[id] = true
	w.register(id)
}

// drain has an endpoint say that it leaves.
func (w *restoreWorld) drain() {
	if id, ok := w.any(w.alive); ok {
		w.leaving[id] = true
		w.register(id)
	}
}

// end ends an endpoint that has said that it leaves.
func (w *restoreWorld) end() {
	if id, ok := w.any(w.leaving); ok && w.alive[id] {
		delete(w.alive, id)
		w.write(chivedirectory.Change{Gone: true, Endpoint: chivedirectory.Endpoint{ID: id}})
	}
}

func (w *restoreWorld) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, each := range w.nodes {
		each.Expire(w.now)
	}
}

// any draws one of some endpoints.
func (w *restoreWorld) any(from map[string]bool) (id string, ok bool) {
	if len(from) == 0 {
		return "", false
	}
	ids := slices.Sorted(maps.Keys(from))
	return ids[w.random.IntN(len(ids))], true
}

// TestStoresThatLoseTheirTail plays random histories: endpoints come, drain and go, the store comes back from copies at any moment, also twice in a
// row, and nodes read it or hear of it from each other late or never. In the end each knows what the store has; at no time is one used that a node knew to
// leave or to be gone.
func TestStoresThatLoseTheirTail(t *testing.T) {
	for seed := range *restoreSeeds {
		w := newRestoreWorld(t, seed)
		for i := range 3 {
			w.read(i)
		}
		for range 60 {
			w.step()
			w.renew(1)
			if w.random.IntN(15) == 0 {
				w.restore()
			}
			w.renew(0.3)
		}
		w.settle(seed%2 == 0)
		w.checkKnown()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// settle plays the rest of the store's promise: what lives is written again within two seconds, what does not lapses; then time for the nodes. All read
// the store, or one alone and the others hear of it, as in a large fleet.
func (w *restoreWorld) settle(allRead bool) {
	for range 80 {
		w.now = w.now.Add(200 * time.Millisecond)
		w.renew(0.5)
		w.read(0)
		for n := 1; n < len(w.nodes); n++ {
			if allRead {
				w.read(n)
			}
			w.tell(n-1, n)
		}
		w.pass(0)
	}
}

// checkKnown holds what each node knows against the store.
func (w *restoreWorld) checkKnown() {
	present := w.present()
	for n, d := range w.nodes {
		known := d.Endpoints()
		if len(known) != len(present) {
			w.t.Errorf("node %d knows %v, the store has %v", n, known, slices.Sorted(maps.Keys(present)))
		}
		for _, e := range known {
			if present[e.ID].Endpoint.State != e.State {
				w.t.Errorf("node %d: %s is %v, the store says %v", n, e.ID, e.State, present[e.ID].Endpoint.State)
			}
		}
	}
}

// restoreDepth is how many events the exploration puts in a row.
var restoreDepth = flag.Int("restore.depth", 4, "how many events are put in a row in every order")

// TestEveryOrderOfEventsAroundARestore puts so many events in a row in every order: an endpoint comes, drains or ends, the store is copied or comes back
// from the copy, a node reads it, hears of it from another, or starts anew.
func TestEveryOrderOfEventsAroundARestore(t *testing.T) {
	events := []func(w *restoreWorld){
		(*restoreWorld).come, (*restoreWorld).drain, (*restoreWorld).end, func(w *restoreWorld) { w.copied = slices.Clone(w.log) },
		(*restoreWorld).restore, func(w *restoreWorld) { w.read(0) }, func(w *restoreWorld) { w.read(1) }, func(w *restoreWorld) { w.tell(0, 2) },
		func(w *restoreWorld) { w.tell(2, 0) }, func(w *restoreWorld) { w.start(1) },
	}
	orders := 1
	for range *restoreDepth {
		orders *= len(events)
	}
	for order := range orders {
		w := newRestoreWorld(t, 1)
		// One endpoint that all know, and the copy before anything happens.
		w.come()
		for n := range w.nodes {
			w.read(n)
		}
		w.copied = slices.Clone(w.log)
		rest := order
		for range *restoreDepth {
			events[rest%len(events)](w)
			w.pass(100 * time.Millisecond)
			rest /= len(events)
		}
		w.settle(order%2 == 0)
		w.checkKnown()
		if t.Failed() {
			t.Fatalf("order %d of depth %d", order, *restoreDepth)
		}
	}
}
