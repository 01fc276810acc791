package chivedirectory

import (
	"slices"
	"sort"
	"time"

	"chivedrift/chivelog"
)

// noPosition stands for the position before the first change.
const noPosition chivelog.Position = -1

const (
	// goneKept is how long it is remembered that an endpoint is gone, so that an older change of a peer does not bring it back.
	goneKept = 10 * time.Minute
	// goneTold is how long each peer is told of it: the change has the position of the removal, which peers may have passed by then.
	goneTold = 10 * time.Second
)

// Directory is one node's knowledge of the endpoints; it decides, and does no I/O.
//
// While the store is away entries can lapse although their endpoints live: an endpoint cannot renew what it cannot reach.
// Taking the first changes after an outage as they are would drop every endpoint at once. So for a grace time after the
// store's return a missing entry is kept, and only one that is still missing then counts as gone. After a cut of this node
// alone there is no such time: what is missing then has left.
//
// Changes come from the store and from peers, which may be ahead or behind; the position in the store's log tells which is newer.
type Directory struct {
	grace   time.Duration
	entries map[string]*entry
	gone    map[string]tombstone
	newest  chivelog.Position
	// rooted is the position up to which this node knows what there is and not all that was removed.
	rooted chivelog.Position
	// era is the newest era of the store that is known.
	era int64
	// restored is when the store was first seen to have come back from an older copy, the last time.
	restored time.Time
	answers  answers
	// touched are the endpoints of which something may have changed since the service last looked, as they were shown then; nil for one that
	// was not.
	touched map[string]*Endpoint
	// unsettled means that an entry may be missing or contested, so that the passing of time alone may change something.
	unsettled bool
	// outages are those whose grace time is not over, the newest last; the newest may last still.
	outages []*outage
}

type entry struct {
	// endpoint is not changed in place, so that it may be shown.
	endpoint *Endpoint
	// shown is what listeners know of the endpoint; nil before the first time.
	shown    *Endpoint
	position chivelog.Position
	// missing is when the entry was first found missing, zero while it is there.
	missing time.Time
	// keep is until when a peer that told of it waits for it; zero where this node found out itself.
	keep time.Time
	// contest is nil unless there is a change of an earlier incarnation.
	contest *contest
}

// copyOf returns an endpoint of its own, so that what it came in is not kept with it.
func copyOf(e Endpoint) *Endpoint { return &e }

// replace takes a newer change of the endpoint and reports whether it says something else.
func (e *entry) replace(change Change) bool {
	changed := *e.endpoint != change.Endpoint
	if changed {
		e.endpoint = copyOf(change.Endpoint)
	}
	e.position, e.missing, e.keep, e.contest = max(e.position, change.Position), time.Time{}, time.Time{}, nil
	return changed
}

type tombstone struct {
	position chivelog.Position
	at       time.Time
	// incarnation is the last that was known of the endpoint.
	incarnation Incarnation
	contest     *contest
}

// New returns an empty directory; grace is how long a lapsed entry is kept after the store's return.
func New(grace time.Duration) *Directory {
	return &Directory{
		grace: grace, entries: make(map[string]*entry), gone: make(map[string]tombstone), touched: make(map[string]*Endpoint), newest: noPosition, rooted: noPosition,
	}
}

// StoreAnswered notes that the store answered this node about endpoints.
func (d *Directory) StoreAnswered(now time.Time) {
	if lasting := d.lasting(); lasting != nil {
		lasting.until = now
	}
	d.answers.note(now)
}

// StoreHeard notes that the store answered this node about something else: it is up, whether or not it answers about endpoints.
func (d *Directory) StoreHeard(now time.Time) {
	if lasting := d.lasting(); lasting != nil {
		lasting.hear([]time.Time{now})
	}
	d.answers.note(now)
}

// StoreLost notes that the store does not answer this node any more.
func (d *Directory) StoreLost() {
	if d.lasting() == nil {
		d.outages = append(d.outages, &outage{since: d.answers.last()})
	}
}

// lasting returns the outage that lasts still, or nil.
func (d *Directory) lasting() *outage {
	if n := len(d.outages); n > 0 && d.outages[n-1].until.IsZero() {
		return d.outages[n-1]
	}
	return nil
}

// Staleness returns how far back it matters whether the store answered other nodes; 0 where this node knows enough.
func (d *Directory) Staleness(now time.Time) time.Duration {
	for _, o := range d.outages {
		if o.inGrace(now, d.grace) && !o.since.IsZero() {
			return now.Sub(o.since)
		}
	}
	return 0
}

// Answers returns how long ago the store answered this node, as far as that is within a time.
func (d *Directory) Answers(now time.Time, within time.Duration) []time.Duration {
	return d.answers.ages(now, within)
}

// HearAnswers takes moments at which the store answered another node.
func (d *Directory) HearAnswers(moments []time.Time) {
	for _, o := range d.outages {
		o.hear(moments)
	}
}

// Newest returns the position of the newest change that was taken; -1 before the first.
func (d *Directory) Newest() chivelog.Position { return d.newest }

// Apply takes one change, in any order, and reports whether anything that matters for routing changed.
func (d *Directory) Apply(now time.Time, change Change) bool {
	d.unsettled = true
	d.noteEra(now, change.Position)
	d.newest = max(d.newest, change.Position)
	id := change.Endpoint.ID
	d.touch(id)
	known, ok := d.entries[id]
	if ok {
		if settled, changed := d.weigh(now, known, change); settled {
			return changed
		}
	}
	if old, ok := d.gone[id]; ok && !d.mayReturn(now, old, change) {
		return false
	}
	if change.Gone {
		return d.remove(now, id, change.Position)
	}
	if change.Missing {
		d.miss(now, change)
		return false
	}
	delete(d.gone, id)
	if !ok {
		d.entries[id] = &entry{endpoint: copyOf(change.Endpoint), position: change.Position}
		return true
	}
	return known.replace(change)
}

// weigh holds a change against what is known of the endpoint; settled tells that it is not to be taken as it stands.
func (d *Directory) weigh(now time.Time, known *entry, change Change) (settled, changed bool) {
	switch {
	case !change.Gone && known.endpoint.Incarnation().Follows(change.Endpoint.Incarnation()):
		d.hearEarlier(now, known, change)
		return true, false
	case d.outlasts(known, change):
		d.restrict(now, known, change)
		return true, true
	case known.position >= change.Position && (change.Gone || !change.Endpoint.Incarnation().Follows(known.endpoint.Incarnation())):
		return true, known.position == change.Position && change.Read && change.Gone && d.confirm(now, change.Endpoint.ID)
	case known.mayBeOld(change):
		known.position = change.Position
		known.contest = known.contest.note(now, change)
		return true, false
	}
	return false, false
}

// remove takes the change that an entry is gone. Shortly after an outage it may only mean that the entry lapsed meanwhile.
func (d *Directory) remove(now time.Time, id string, position chivelog.Position) bool {
	d.unsettled = true
	known, ok := d.entries[id]
	if !ok {
		d.gone[id] = tombstone{position: position, at: now, incarnation: d.gone[id].incarnation}
		return false
	}
	known.position = position
	if d.inGrace(now) && known.endpoint.State == Ready {
		if known.missing.IsZero() {
			known.missing = now
		}
		return false
	}
	d.drop(now, id)
	return true
}

// confirm drops an entry that is kept for a peer's sake when this node reads the same removal itself and has no reason to doubt
// it, so that it does not matter which of the two comes first.
func (d *Directory) confirm(now time.Time, id string) bool {
	if d.entries[id].missing.IsZero() || d.inGrace(now) {
		return false
	}
	d.drop(now, id)
	return true
}

// miss takes a peer's change that an entry lapsed around an outage which this node may not have seen.
func (d *Directory) miss(now time.Time, change Change) {
	known, ok := d.entries[change.Endpoint.ID]
	if !ok {
		known = &entry{endpoint: copyOf(change.Endpoint)}
		d.entries[change.Endpoint.ID] = known
	}
	known.position = max(known.position, change.Position)
	if known.missing.IsZero() {
		known.missing, known.keep = now, now.Add(change.Keep)
	}
}

func (d *Directory) drop(now time.Time, id string) {
	d.touch(id)
	d.gone[id] = tombstone{position: d.entries[id].position, at: now, incarnation: d.entries[id].endpoint.Incarnation()}
	delete(d.entries, id)
}

// inGrace reports whether an entry that is found missing now may only have lapsed.
func (d *Directory) inGrace(now time.Time) bool {
	return d.restoreGrace(now) > 0 || slices.ContainsFunc(d.outages, func(o *outage) bool { return o.inGrace(now, d.grace) })
}

// graceLeft is how much longer a missing entry is kept after the newest outage of the store.
func (d *Directory) graceLeft(now time.Time) (left time.Duration) {
	left = d.restoreGrace(now)
	for _, o := range d.outages {
		if since, own := o.contact(now); !own && !o.until.IsZero() {
			left = max(left, since.Add(d.grace).Sub(now))
		}
	}
	return left
}

// Replace takes a whole snapshot of the store, from whose end on the log is read: entries that are not in it are removed, by the same rule as
// one by one. What a peer told of from after its end stays: its record, which is read next, would count as older than the removal.
func (d *Directory) Replace(now time.Time, snapshot []Change, end chivelog.Position) bool {
	before := d.newest
	changed := d.Learn(now, Update{Changes: snapshot, Whole: true, End: end - 1})
	// Later pages of a snapshot may have records from behind its end, but not all of them.
	d.newest = max(before, end-1)
	return changed
}

// Expire does what only the passing of time does: it drops the entries that are still missing after the grace time, and settles which of two
// lives is the present one. It reports whether anything changed.
func (d *Directory) Expire(now time.Time) bool {
	for id, t := range d.gone {
		if now.Sub(t.at) > goneKept {
			delete(d.gone, id)
			d.rooted = max(d.rooted, t.position)
		}
		d.unsettled = d.unsettled || t.contest.isOpen()
	}
	if d.inGrace(now) {
		return false
	}
	// An outage of which nothing follows any more is forgotten; one that lasts is still to be told from a cut of this node alone.
	d.outages = slices.DeleteFunc(d.outages, func(o *outage) bool { return !o.until.IsZero() && now.Sub(o.until) >= d.grace })
	if !d.unsettled {
		return false
	}
	d.unsettled = false
	changed := d.settle(now)
	for id, e := range d.entries {
		if !e.missing.IsZero() && !now.Before(e.keep) {
			d.drop(now, id)
			changed = true
		} else if !e.missing.IsZero() || e.contest.isOpen() {
			d.unsettled = true
		}
	}
	return changed
}

// Endpoints returns every endpoint that is not gone, by id.
func (d *Directory) Endpoints() []Endpoint {
	all := make([]Endpoint, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, *e.endpoint)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
