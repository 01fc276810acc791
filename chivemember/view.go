package chivemember

import (
	"sort"
	"time"
)

const (
	// TickEvery is how often the view expects Tick.
	TickEvery = 500 * time.Millisecond

	watchedMembers = 4
	suspectAfter   = 1100 * time.Millisecond
	deadAfter      = 2200 * time.Millisecond
	vouchFor       = 1500 * time.Millisecond
	pauseNoticed   = 1200 * time.Millisecond
	confirmations  = 3
	seedsContacted = 3
	contactEvery   = 4
	differAfter    = 1500 * time.Millisecond
	syncEvery      = 2 * time.Second
	tombstoneFor   = 10 * time.Minute

	endpointNewsGap = 10 * time.Second

	massLossDeaths = 2
	massLossFor    = 10 * time.Second
	extraPerDeath  = 4
	extraMost      = 64
)

// View is one node's knowledge of the fleet.
type View struct {
	self     Member
	entries  map[string]*entry
	ring     []string
	watched  []string
	watchers []string
	seeds    []Member
	leaving  map[string]int64
	changed  time.Time
	lastTick time.Time
	ticks    int
	contact  int
	version  uint64
	deaths   int64
	digest   uint64
	recent   []time.Time
}

// An entry is what is known of one other member.
type entry struct {
	member  Member
	heard   time.Time
	vouched time.Time
	differs time.Time
	synced  time.Time
	died    time.Time
}

// NewView returns the view of a node that knows only itself.
func NewView(self Member, now time.Time) *View {
	self.State = Alive
	v := &View{self: self, entries: make(map[string]*entry), leaving: make(map[string]int64), changed: now, lastTick: now}
	v.arrange(now)
	return v
}

// Self returns the node's own word about itself.
func (v *View) Self() Member { return v.self }

// Version rises with every change of the view.
func (v *View) Version() uint64 { return v.version }

// Deaths returns how many members this node itself declared dead.
func (v *View) Deaths() int64 { return v.deaths }

// Members returns every member that is not dead, this node included, by name.
func (v *View) Members() []Member {
	members := []Member{v.self}
	for _, e := range v.entries {
		if e.member.State != Dead {
			members = append(members, e.member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// SetSeeds takes the platform's list of entry VMs; it lags, so it says who may exist and not who answers.
func (v *View) SetSeeds(seeds []Member) {
	v.seeds = seeds
}

// Leave makes the node say that it is leaving.
func (v *View) Leave(now time.Time) []Envelope {
	v.self.State = Leaving
	v.touch(now)
	return v.spread([]Member{v.self}, "")
}

// ---------------------------------------------------------------- time

// Tick probes the watched members, suspects the silent ones and contacts those that may be back.
func (v *View) Tick(now time.Time) []Envelope {
	v.forgivePause(now)
	var out []Envelope
	for _, name := range v.watched {
		out = append(out, v.watch(now, v.entries[name])...)
	}
	if v.ticks%contactEvery == 0 || len(v.ring) == 1 {
		out = append(out, v.contactAbsent()...)
	}
	v.ticks++
	v.purge(now)
	return out
}

// forgivePause keeps a node that was itself paused from taking everybody else's silence for death:
// nothing was heard because nothing was read.
func (v *View) forgivePause(now time.Time) {
	gap := now.Sub(v.lastTick)
	v.lastTick = now
	if gap < pauseNoticed {
		return
	}
	for _, e := range v.entries {
		e.heard = now
	}
}

func (v *View) watch(now time.Time, e *entry) []Envelope {
	out := []Envelope{{To: e.member.Address, Message: Probe{Name: v.self.Name, Incarnation: v.self.Incarnation, Digest: v.digest}}}
	silence := now.Sub(e.heard)
	if silence < suspectAfter {
		return out
	}
	if silence >= deadAfter && now.Sub(e.vouched) > vouchFor {
		return append(out, v.declareDead(now, e)...)
	}
	return append(out, v.askWatchers(e)...)
}

// askWatchers asks the other watchers of a silent member, since the way there may be broken for this node alone.
func (v *View) askWatchers(e *entry) []Envelope {
	var out []Envelope
	place := sort.SearchStrings(v.ring, ringKey(e.member.Name))
	for _, distance := range distances(len(v.ring)) {
		name := ringName(v.ring[wrap(place-distance, len(v.ring))])
		watcher, ok := v.entries[name]
		if ok && name != e.member.Name && len(out) < confirmations {
			out = append(out, Envelope{To: watcher.member.Address, Message: Confirm{Name: e.member.Name}})
		}
	}
	return out
}

func (v *View) declareDead(now time.Time, e *entry) []Envelope {
	e.member.State = Dead
	e.died = now
	v.deaths++
	v.recent = append(v.recent, now)
	v.touch(now)
	return v.spread([]Member{e.member}, "")
}

// contactAbsent greets members that are listed but unknown, or believed dead: after a partition heals nobody would
// otherwise speak first.
func (v *View) contactAbsent() []Envelope {
	absent := v.absent()
	var out []Envelope
	for i := 0; i < min(seedsContacted, len(absent)); i++ {
		to := absent[(v.contact+i)%len(absent)].Address
		out = append(out,
			Envelope{To: to, Message: News{Members: []Member{v.self}}},
			Envelope{To: to, Message: Probe{Name: v.self.Name, Incarnation: v.self.Incarnation, Digest: v.digest}})
	}
	v.contact += seedsContacted
	return out
}

func (v *View) absent() []Member {
	var absent []Member
	listed := make(map[string]bool, len(v.seeds))
	for _, seed := range v.seeds {
		listed[seed.Name] = true
		e, known := v.entries[seed.Name]
		if seed.Name != v.self.Name && (!known || e.member.State == Dead) {
			absent = append(absent, seed)
		}
	}
	for _, e := range v.entries {
		if e.member.State == Dead && !listed[e.member.Name] {
			absent = append(absent, e.member)
		}
	}
	sort.Slice(absent, func(i, j int) bool { return absent[i].Name < absent[j].Name })
	return absent
}

func (v *View) purge(now time.Time) {
	for name, e := range v.entries {
		if e.member.State == Dead && now.Sub(e.died) > tombstoneFor {
			delete(v.entries, name)
		}
	}
}
