package chivemember

import (
	"sort"
	"time"
)

const (
	// TickEvery is how often the view expects Tick.
	TickEvery = 500 * time.Millisecond
	// GreetEvery is how often the view expects Greet while the node knows no other member. Of VMs that start together the seeds may be up a
	// moment later than the others.
	GreetEvery = 100 * time.Millisecond

	// watchedMembers is how many others each node probes: a number that does not grow with the fleet, in which news still crosses it in few steps.
	watchedMembers = 4
	// suspectAfter is two probes without an answer, after which the other watchers are asked; deadAfter leaves them a second to vouch, and
	// keeps a dead node out of use within three seconds. vouchFor is how long a watcher's answer counts.
	suspectAfter = 1100 * time.Millisecond
	deadAfter    = 2200 * time.Millisecond
	vouchFor     = 1500 * time.Millisecond
	// pauseNoticed is the gap between two ticks from which this node was itself paused: more than two ticks that were due.
	pauseNoticed = 1200 * time.Millisecond
	// confirmations is how many other watchers of a silent member are asked: all that there are beside this one.
	confirmations = 3
	// seedsContacted members that are listed and not known are greeted every contactEvery ticks, two seconds: a partition that healed is noticed
	// within seconds, for three messages.
	seedsContacted = 3
	contactEvery   = 4
	// introduced is how many members a seed sends to a node that knows nobody; that node then asks one of them for the whole view.
	introduced = 16
	// differAfter is how long digests may differ before a whole view is sent: news crosses a fleet of hundreds in a third of that. syncEvery spaces
	// the whole views to one member.
	differAfter = 1500 * time.Millisecond
	syncEvery   = 2 * time.Second
	// tombstoneFor is how long a dead member is remembered, so that an old update does not bring it back.
	tombstoneFor = 10 * time.Minute

	// endpointNewsGap is by how much an endpoint's leaving has to be extended to be passed on again.
	endpointNewsGap = 10 * time.Second

	// newsGap is the least time between two rounds of news from one node. Without it a node that hears of n others in a moment, as in the cold
	// start of a fleet, sends n messages to each neighbour and places its members n times: at 300 nodes 1,192 messages received by the middle
	// node and 146 placements, with it 128 and 8 (on virtual time). A first update goes out at once, so a single death is known no later for it.
	newsGap = 50 * time.Millisecond

	// massLossDeaths found by this node within massLossFor are the loss of many at once; each death then adds extraPerDeath members to those
	// that it watches, at most extraMost.
	massLossDeaths = 2
	massLossFor    = 10 * time.Second
	extraPerDeath  = 4
	extraMost      = 64
	// The death of massLossPercent of the members, and of massLossLeast at least, within massLossFor is a mass loss too, whichever nodes found it.
	// Each node then watches extraInMassLoss more of the members that follow it on the ring, since few of its neighbours may be alive.
	massLossPercent = 5
	massLossLeast   = 8
	extraInMassLoss = 16
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
	// introductions counts the whole views that this node has asked for on the introduction of a seed.
	introductions int
	version       uint64
	deaths        int64
	digest        uint64
	// recent are the times of deaths that this node found, reported of those that others found, within massLossFor.
	recent   []time.Time
	reported []time.Time
	// moved tells that members came or went since they were last placed on the ring.
	moved  bool
	placed int64
	// unsent is news that waits for the next round, which may begin newsGap after sent.
	unsent []update
	sent   time.Time
}

// An update is what one member says of another, with the peer that sent it, which need not be sent it back.
type update struct {
	member Member
	from   string
}

// An entry is what is known of one other member.
type entry struct {
	member  Member
	key     string
	heard   time.Time
	vouched time.Time
	differs time.Time
	synced  time.Time
	died    time.Time
}

// NewView returns the view of a node that knows only itself.
func NewView(self Member, now time.Time) *View {
	self.State = Alive
	v := &View{
		self: self, entries: make(map[string]*entry), leaving: make(map[string]int64), changed: now, lastTick: now,
		digest: self.digest(), moved: true,
	}
	v.arrange(now)
	return v
}

// Self returns what the node says of itself.
func (v *View) Self() Member { return v.self }

// Version rises with every change of the view.
func (v *View) Version() uint64 { return v.version }

// Deaths returns how many members this node itself declared dead.
func (v *View) Deaths() int64 { return v.deaths }

// Placed returns how many times the members were placed on the ring, since the start.
func (v *View) Placed() int64 { return v.placed }

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
	leaving := v.self
	leaving.State = Leaving
	v.setSelf(leaving)
	v.touch(now)
	return v.spread(now, []Member{v.self}, "")
}

// ---------------------------------------------------------------- time

// Tick probes the watched members, suspects the silent ones and contacts those that may be back.
func (v *View) Tick(now time.Time) []Envelope {
	v.forgivePause(now)
	v.arrange(now)
	var out []Envelope
	for _, name := range v.watched {
		out = append(out, v.watch(now, v.entries[name])...)
	}
	if v.ticks%contactEvery == 0 || len(v.ring) == 1 {
		out = append(out, v.contactAbsent()...)
	}
	v.ticks++
	v.purge(now)
	return append(out, v.Flush(now)...)
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

// Greet contacts the seeds if the node knows no other member.
func (v *View) Greet() []Envelope {
	if !v.IsAlone() {
		return nil
	}
	return v.contactAbsent()
}

// IsAlone reports whether the node knows no other member that is not dead.
func (v *View) IsAlone() bool {
	for _, e := range v.entries {
		if e.member.State != Dead {
			return false
		}
	}
	return true
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
	place := sort.SearchStrings(v.ring, e.key)
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
	dead := e.member
	dead.State = Dead
	v.set(e, dead)
	e.died = now
	v.deaths++
	v.recent = append(v.recent, now)
	v.touch(now)
	return v.spread(now, []Member{dead}, "")
}

// contactAbsent greets members that are listed but unknown, or believed dead: after a partition heals nobody would
// otherwise speak first.
func (v *View) contactAbsent() []Envelope {
	if len(v.ring) == 1 {
		v.introductions = 0
	}
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

// setSelf replaces what this node says of itself.
func (v *View) setSelf(m Member) {
	v.digest ^= v.self.digest() ^ m.digest()
	v.self = m
}

// set replaces what is known of a member.
func (v *View) set(e *entry, m Member) {
	if e.key == "" {
		e.key = ringKey(m.Name)
	} else if e.member.State != Dead {
		v.digest ^= e.member.digest()
	}
	e.member = m
	if m.State != Dead {
		v.digest ^= m.digest()
	}
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
