package chivemember

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
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

// ---------------------------------------------------------------- messages

// Receive takes a message from a peer and returns what to send.
func (v *View) Receive(now time.Time, from string, message any) []Envelope {
	switch m := message.(type) {
	case Probe:
		return v.receiveProbe(now, from, m)
	case Ack:
		return v.receiveWord(now, from, m.Name, m.Incarnation, m.Digest)
	case News:
		return v.learn(now, from, m.Members)
	case Confirm:
		return v.receiveConfirm(now, from, m)
	case Heard:
		v.receiveHeard(now, m)
	case EndpointNews:
		return v.SpreadEndpoint(now, from, m)
	case Sync:
		out := v.learn(now, from, m.Members)
		if m.Reply {
			out = append(out, Envelope{To: from, Message: Sync{Members: v.everybody()}})
		}
		return out
	}
	return nil
}

func (v *View) receiveProbe(now time.Time, from string, p Probe) []Envelope {
	out := []Envelope{{To: from, Message: Ack{Name: v.self.Name, Incarnation: v.self.Incarnation, Digest: v.digest}}}
	return append(out, v.receiveWord(now, from, p.Name, p.Incarnation, p.Digest)...)
}

// receiveWord notes that a member spoke, contradicts what it should not be and mends views that differ.
func (v *View) receiveWord(now time.Time, from, name string, incarnation int64, digest uint64) []Envelope {
	e, known := v.entries[name]
	if !known || incarnation > e.member.Incarnation {
		return []Envelope{{To: from, Message: Sync{Members: v.everybody(), Reply: true}}}
	}
	if e.member.State == Dead || incarnation < e.member.Incarnation {
		return []Envelope{{To: from, Message: News{Members: []Member{e.member}}}}
	}
	e.heard = now
	return v.compare(now, from, e, digest)
}

// compare sends the whole view where digests have differed for longer than news takes to travel.
func (v *View) compare(now time.Time, from string, e *entry, digest uint64) []Envelope {
	if digest == v.digest {
		e.differs = time.Time{}
		return nil
	}
	if e.differs.IsZero() {
		e.differs = now
	}
	settled := now.Sub(e.differs) > differAfter && now.Sub(v.changed) > differAfter
	if !settled || now.Sub(e.synced) < syncEvery {
		return nil
	}
	e.synced = now
	return []Envelope{{To: from, Message: Sync{Members: v.everybody(), Reply: true}}}
}

// SpreadEndpoint passes on that an endpoint leaves, once, and remembers it until it is over.
func (v *View) SpreadEndpoint(now time.Time, from string, news EndpointNews) []Envelope {
	if news.UntilMs < v.leaving[news.Endpoint]+endpointNewsGap.Milliseconds() {
		return nil
	}
	for name, until := range v.leaving {
		if until < now.UnixMilli() {
			delete(v.leaving, name)
		}
	}
	v.leaving[news.Endpoint] = news.UntilMs
	v.version++
	return v.flood(news, from)
}

// LeavingEndpoints returns the endpoints that take no new work at present.
func (v *View) LeavingEndpoints(now time.Time) []string {
	var names []string
	for name, until := range v.leaving {
		if until > now.UnixMilli() {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (v *View) receiveConfirm(now time.Time, from string, c Confirm) []Envelope {
	ago := int64(-1)
	if e, ok := v.entries[c.Name]; ok && !e.heard.IsZero() {
		ago = now.Sub(e.heard).Milliseconds()
	}
	return []Envelope{{To: from, Message: Heard{Name: c.Name, AgoMs: ago}}}
}

func (v *View) receiveHeard(now time.Time, h Heard) {
	e, ok := v.entries[h.Name]
	if ok && h.AgoMs >= 0 && h.AgoMs < suspectAfter.Milliseconds() {
		e.vouched = now
	}
}

// learn takes words about members and passes on those that are new.
func (v *View) learn(now time.Time, from string, members []Member) []Envelope {
	var fresh []Member
	for _, m := range members {
		if m.Name == v.self.Name {
			fresh = append(fresh, v.refute(m)...)
			continue
		}
		if v.take(now, m) {
			fresh = append(fresh, m)
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	v.touch(now)
	return v.spread(fresh, from)
}

// refute answers a false word about this node with a higher incarnation, which beats it everywhere.
func (v *View) refute(word Member) []Member {
	if !word.supersedes(v.self) {
		return nil
	}
	v.self.Incarnation = word.Incarnation + 1
	return []Member{v.self}
}

func (v *View) take(now time.Time, m Member) bool {
	e, known := v.entries[m.Name]
	if known && !m.supersedes(e.member) {
		return false
	}
	if !known && m.State == Dead {
		return false
	}
	if !known {
		e = &entry{}
		v.entries[m.Name] = e
	}
	e.member = m
	e.heard = now
	e.died = now
	return true
}

func (v *View) everybody() []Member {
	all := []Member{v.self}
	for _, e := range v.entries {
		all = append(all, e.member)
	}
	return all
}

// ---------------------------------------------------------------- topology

func (v *View) touch(now time.Time) {
	v.changed = now
	v.version++
	v.arrange(now)
}

// arrange places the members on a ring of name hashes and finds whom this node watches and who watches it.
func (v *View) arrange(now time.Time) {
	v.ring = v.ring[:0]
	v.ring = append(v.ring, ringKey(v.self.Name))
	v.digest = v.self.digest()
	for name, e := range v.entries {
		if e.member.State != Dead {
			v.ring = append(v.ring, ringKey(name))
			v.digest ^= e.member.digest()
		}
	}
	sort.Strings(v.ring)
	place := sort.SearchStrings(v.ring, ringKey(v.self.Name))
	before := make(map[string]bool, len(v.watched))
	for _, name := range v.watched {
		before[name] = true
	}
	v.watched, v.watchers = nil, nil
	for _, distance := range distances(len(v.ring)) {
		v.watched = append(v.watched, ringName(v.ring[wrap(place+distance, len(v.ring))]))
		v.watchers = append(v.watchers, ringName(v.ring[wrap(place-distance, len(v.ring))]))
	}
	v.watchExtra(now, place)
	for _, name := range v.watched {
		if !before[name] {
			v.entries[name].heard = v.grace(now)
		}
	}
}

// watchExtra widens the watch while this node itself finds members dead.
//
// A node cut off together with few others, or none, has nobody to tell it who else is gone. With four at a time it
// would take a fleet of 330 more than two minutes to see it; each death found adds to the next round.
func (v *View) watchExtra(now time.Time, place int) {
	for len(v.recent) > 0 && now.Sub(v.recent[0]) > massLossFor {
		v.recent = v.recent[1:]
	}
	extra := min(len(v.recent)*extraPerDeath, extraMost)
	known := make(map[string]bool, len(v.watched))
	for _, name := range v.watched {
		known[name] = true
	}
	for distance := 1; distance < len(v.ring) && extra > 0; distance++ {
		name := ringName(v.ring[wrap(place+distance, len(v.ring))])
		if !known[name] {
			v.watched = append(v.watched, name)
			extra--
		}
	}
}

// grace is when a newly watched member counts as last heard: now, or earlier in the middle of a mass loss.
func (v *View) grace(now time.Time) time.Time {
	if len(v.recent) >= massLossDeaths {
		return now.Add(-suspectAfter)
	}
	return now
}

// distances spaces the watched members so that news crosses n members in few hops: 1, n^1/4, n^2/4, n^3/4.
func distances(n int) []int {
	var spaced []int
	last := 0
	for i := range watchedMembers {
		distance := max(last+1, int(math.Round(math.Pow(float64(n), float64(i)/watchedMembers))))
		if distance >= n {
			break
		}
		spaced = append(spaced, distance)
		last = distance
	}
	return spaced
}

func (v *View) spread(members []Member, except string) []Envelope {
	return v.flood(News{Members: members}, except)
}

// flood sends a message to every member that this node watches or is watched by.
func (v *View) flood(message any, except string) []Envelope {
	var out []Envelope
	sent := make(map[string]bool)
	for _, name := range append(append([]string(nil), v.watched...), v.watchers...) {
		e := v.entries[name]
		if e == nil || sent[name] || e.member.Address == except {
			continue
		}
		sent[name] = true
		out = append(out, Envelope{To: e.member.Address, Message: message})
	}
	return out
}

const ringHashBytes = 8

// ringKey prefixes a name with its hash, so that sorting keys sorts by hash.
func ringKey(name string) string {
	hash := xxhash.Sum64String(name)
	key := make([]byte, ringHashBytes, ringHashBytes+len(name))
	for i := range ringHashBytes {
		key[i] = byte(hash >> (8 * (ringHashBytes - 1 - i)))
	}
	return string(append(key, name...))
}

func ringName(key string) string { return key[ringHashBytes:] }

func wrap(place, n int) int {
	return ((place % n) + n) % n
}
