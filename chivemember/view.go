package chivemember

import (
	"sort"
	"time"
)

const (
	// TickEvery is how often Tick is to be called.
	TickEvery = 500 * time.Millisecond
	// GreetEvery is how often Greet is to be called while the node knows no other member. When VMs start together, the
	// seeds may be up a moment later than the others.
	GreetEvery = 100 * time.Millisecond

	// probeTargetCount is how many other members each node probes: a number that does not grow with the fleet, and with
	// which updates still reach all nodes in few hops.
	probeTargetCount = 4
	// suspectAfter is two probes without an answer; then the other probers of the member are asked. deadAfter gives
	// them a second to confirm that it is alive, and takes a dead node out of use within three seconds. confirmationTTL
	// is how long such a confirmation counts.
	suspectAfter    = 1100 * time.Millisecond
	deadAfter       = 2200 * time.Millisecond
	confirmationTTL = 1500 * time.Millisecond
	// selfPauseThreshold is the gap between two ticks from which this node itself must have been paused: more than two
	// ticks were due.
	selfPauseThreshold = 1200 * time.Millisecond
	// maxConfirmers is how many other probers of a silent member are asked: all there are besides this node.
	maxConfirmers = 3
	// contactsPerRound members that are listed but not known, or believed dead, are contacted every contactTicks ticks,
	// two seconds: a healed partition is noticed within seconds, for two messages to each of three members.
	contactsPerRound = 3
	contactTicks     = 4
	// introducedMembers is how many members a seed sends to a node that knows no other; that node then requests the
	// whole view from one of them.
	introducedMembers = 16
	// digestMismatchTimeout is how long digests may differ before a whole view is sent: updates spread through a fleet
	// of hundreds in a third of that. minSyncInterval is the least time between two whole views to one member.
	digestMismatchTimeout = 1500 * time.Millisecond
	minSyncInterval       = 2 * time.Second
	// tombstoneTTL is how long a dead member is remembered, so that an old update does not bring it back.
	tombstoneTTL = 10 * time.Minute

	// minLeavingExtension is by how much the time for which an endpoint leaves has to be extended to be passed on
	// again.
	minLeavingExtension = 10 * time.Second

	// minUpdateInterval is the least time between two rounds of updates from one node. Without it, a node that hears of
	// n others in a moment, as in the cold start of a fleet, sends n messages to each neighbour and rebuilds its ring n
	// times. At 300 nodes the median node then receives 1,192 messages and rebuilds its ring 146 times, with it 128 and
	// 8 (virtual time). The first update is sent at once, so a single death is known no later.
	minUpdateInterval = 50 * time.Millisecond

	// massLossOwnDeaths deaths found by this node within massLossWindow count as a mass loss, in which new probe
	// targets are suspect at once. Each death that this node finds adds extraTargetsPerDeath members to those that it
	// probes, at most maxExtraTargets.
	massLossOwnDeaths    = 2
	massLossWindow       = 10 * time.Second
	extraTargetsPerDeath = 4
	maxExtraTargets      = 64
	// The death of more than massLossPercent of the members, and of more than massLossMinDeaths, within massLossWindow
	// is a mass loss too, whichever nodes found it. Each node then probes massLossExtraTargets more of the members that
	// follow it on the ring, since few of its neighbours may be alive.
	massLossPercent      = 5
	massLossMinDeaths    = 8
	massLossExtraTargets = 16
)

// View is one node's view of the fleet. It is used by one goroutine.
type View struct {
	self          Member
	entries       map[string]*entry
	ring          []string
	probeTargets  []string
	probers       []string
	seeds         []Member
	leavingUntil  map[string]int64
	changedAt     time.Time
	lastTick      time.Time
	tickCount     int
	contactOffset int
	// introductionSyncs counts the whole views that this node has requested from members introduced by a seed.
	introductionSyncs int
	version           uint64
	deaths            int64
	digest            uint64
	// ownDeaths are the times of the deaths that this node found within massLossWindow, reportedDeaths of those that
	// others found.
	ownDeaths      []time.Time
	reportedDeaths []time.Time
	// ringOutdated is true if the members have changed since the ring was built.
	ringOutdated bool
	ringBuilds   int64
	// pendingUpdates are sent with the next round, at the earliest minUpdateInterval after flushedAt.
	pendingUpdates []update
	flushedAt      time.Time
	onReply        func(address string, roundTrip time.Duration)
}

// An update is a changed member with the peer that reported it, to which it is not sent back.
type update struct {
	member Member
	from   string
}

// An entry is what is known of one other member.
type entry struct {
	member       Member
	key          string
	lastHeard    time.Time
	confirmedAt  time.Time
	differsSince time.Time
	syncedAt     time.Time
	diedAt       time.Time
	// probed means that a probe has been sent, probedAt is when the last probe was sent that has no answer yet; zero if there
	// is none. Until ambiguousUntil an answer may be that to an earlier probe.
	probed         bool
	probedAt       time.Time
	ambiguousUntil time.Time
}

// NewView returns the view of a node that knows only itself.
func NewView(self Member, now time.Time) *View {
	self.State = Alive
	v := &View{
		self: self, entries: make(map[string]*entry), leavingUntil: make(map[string]int64), changedAt: now, lastTick: now,
		digest: self.digest(), ringOutdated: true,
	}
	v.rebuildRing(now)
	return v
}

// Self returns this node as a member.
func (v *View) Self() Member { return v.self }

// Version increases with every change of the view.
func (v *View) Version() uint64 { return v.version }

// Deaths returns how many members this node itself declared dead.
func (v *View) Deaths() int64 { return v.deaths }

// Placed returns how many times the ring was built since the start.
func (v *View) Placed() int64 { return v.ringBuilds }

// Members returns every member that is not dead, this node included, sorted by name.
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

// SetSeeds sets the platform's list of entry VMs. The list lags behind, so it tells which nodes may exist, not which
// are alive.
func (v *View) SetSeeds(seeds []Member) {
	v.seeds = seeds
}

// Leave marks this node as leaving and returns the messages that tell the others.
func (v *View) Leave(now time.Time) []Envelope {
	leaving := v.self
	leaving.State = Leaving
	v.setSelf(leaving)
	v.markChanged(now)
	return v.queueUpdates(now, []Member{v.self}, "")
}

// ---------------------------------------------------------------- periodic work

// Tick probes this node's targets, suspects the silent ones and contacts members that may be back.
func (v *View) Tick(now time.Time) []Envelope {
	v.resetAfterPause(now)
	v.rebuildRing(now)
	var out []Envelope
	for _, name := range v.probeTargets {
		out = append(out, v.probe(now, v.entries[name])...)
	}
	if v.tickCount%contactTicks == 0 || len(v.ring) == 1 {
		out = append(out, v.contactAbsent()...)
		out = append(out, v.probeRegions(now)...)
	}
	v.tickCount++
	v.purgeTombstones(now)
	return append(out, v.Flush(now)...)
}

// resetAfterPause keeps a node that was itself paused from declaring the others dead: it heard nothing because it read
// nothing.
func (v *View) resetAfterPause(now time.Time) {
	gap := now.Sub(v.lastTick)
	v.lastTick = now
	if gap < selfPauseThreshold {
		return
	}
	for _, e := range v.entries {
		e.lastHeard = now
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

func (v *View) probe(now time.Time, e *entry) []Envelope {
	out := []Envelope{v.sendProbe(now, e)}
	silence := now.Sub(e.lastHeard)
	if silence < suspectAfter {
		return out
	}
	if silence >= deadAfter && now.Sub(e.confirmedAt) > confirmationTTL {
		return append(out, v.declareDead(now, e)...)
	}
	return append(out, v.requestConfirmations(e)...)
}

// requestConfirmations asks the other probers of a silent member, since only the path from this node may be broken.
func (v *View) requestConfirmations(e *entry) []Envelope {
	var out []Envelope
	index := sort.SearchStrings(v.ring, e.key)
	for _, distance := range ringDistances(len(v.ring)) {
		name := ringName(v.ring[wrap(index-distance, len(v.ring))])
		prober, ok := v.entries[name]
		if ok && name != e.member.Name && len(out) < maxConfirmers {
			out = append(out, Envelope{To: prober.member.Address, Message: Confirm{Name: e.member.Name}})
		}
	}
	return out
}

func (v *View) declareDead(now time.Time, e *entry) []Envelope {
	dead := e.member
	dead.State = Dead
	v.set(e, dead)
	e.diedAt = now
	v.deaths++
	v.ownDeaths = append(v.ownDeaths, now)
	v.markChanged(now)
	return v.queueUpdates(now, []Member{dead}, "")
}

// contactAbsent contacts members that are listed but unknown, or believed dead: after a partition heals, no node would
// otherwise send to the other side first.
func (v *View) contactAbsent() []Envelope {
	if len(v.ring) == 1 {
		v.introductionSyncs = 0
	}
	absent := v.absentMembers()
	var out []Envelope
	for i := 0; i < min(contactsPerRound, len(absent)); i++ {
		to := absent[(v.contactOffset+i)%len(absent)].Address
		out = append(out,
			Envelope{To: to, Message: News{Members: []Member{v.self}}},
			Envelope{To: to, Message: Probe{Name: v.self.Name, Incarnation: v.self.Incarnation, Digest: v.digest}})
	}
	v.contactOffset += contactsPerRound
	return out
}

// setSelf replaces the description of this node.
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

func (v *View) absentMembers() []Member {
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

func (v *View) purgeTombstones(now time.Time) {
	for name, e := range v.entries {
		if e.member.State == Dead && now.Sub(e.diedAt) > tombstoneTTL {
			delete(v.entries, name)
		}
	}
}
