package chivedirectory

import (
	"slices"
	"sort"
	"time"

	"chivedrift/chivelog"
)

// noPosition is the position before the first change.
const noPosition chivelog.Position = -1

const (
	// tombstoneRetention is how long the removal of an endpoint is remembered, so that an older change from a peer does
	// not bring it back.
	tombstoneRetention = 10 * time.Minute
	// removalResendPeriod is how long a removal is sent to every peer, whatever the peer's position: the peer may
	// already be past the position of the removal.
	removalResendPeriod = 10 * time.Second
)

// Directory is one node's view of the endpoints. It does no I/O.
//
// While the store is down, live endpoints cannot renew their entries, and the entries lapse. Removing all of them after
// an outage would leave no endpoint. So for a grace period after the store's return, missing entries are kept; one that
// is still missing afterwards is removed. If only this node was cut off from the store, there is no grace period: a
// missing entry then means that the endpoint has left.
//
// Changes come from the store and from peers, which may be ahead of this node or behind it. The position in the store's
// log tells which change is newer.
type Directory struct {
	grace      time.Duration
	entries    map[string]*entry
	tombstones map[string]tombstone
	// deferrals holds the changes that are not applied yet, by the id of their endpoint.
	deferrals map[string]*deferral
	newest    chivelog.Position
	// compactedUpTo is the position up to which this node knows the endpoints but not every removal.
	compactedUpTo chivelog.Position
	// era is the newest known era of the store. A restore from an older copy begins a new era.
	era int64
	// restoredAt is when the latest restore of the store from an older copy was first seen.
	restoredAt time.Time
	answers    answerHistory
	// dirty holds the endpoints that may have changed since the listeners were last called, as last passed to them; nil
	// for one that they do not know.
	dirty map[string]*Endpoint
	// expiryPending is set when an entry may be missing or a change deferred, so that Expire may have something to do.
	expiryPending bool
	// outages are those whose grace period is not over, oldest first. The last one may still be going on.
	outages []*outage
}

type entry struct {
	// endpoint is replaced, never modified, because published may point to it.
	endpoint *Endpoint
	// published is the endpoint as last passed to the listeners; nil before the first time.
	published *Endpoint
	// position is that of the record that brought the known state.
	position chivelog.Position
	// settled means that the record was deferred and no change contradicted it in that time.
	settled bool
	// missingSince is when the entry was first found missing; zero while it is present.
	missingSince time.Time
	// keepUntil is when the peer that reported the entry as missing stops keeping it; zero if this node found it
	// missing itself.
	keepUntil time.Time
}

// copyEndpoint returns a copy, so that the message that held the endpoint can be freed.
func copyEndpoint(e Endpoint) *Endpoint { return &e }

// update applies a newer change and reports whether the endpoint differs from before.
func (e *entry) update(change Change) bool {
	changed := *e.endpoint != change.Endpoint
	if changed {
		e.endpoint = copyEndpoint(change.Endpoint)
	}
	e.position, e.settled, e.missingSince, e.keepUntil = max(e.position, change.Position), false, time.Time{}, time.Time{}
	return changed
}

type tombstone struct {
	position  chivelog.Position
	removedAt time.Time
	// incarnation is the last known incarnation of the endpoint.
	incarnation Incarnation
}

// New returns an empty directory; grace is how long a missing entry is kept after the store's return.
func New(grace time.Duration) *Directory {
	return &Directory{
		grace: grace, entries: make(map[string]*entry), tombstones: make(map[string]tombstone), deferrals: make(map[string]*deferral),
		dirty: make(map[string]*Endpoint), newest: noPosition, compactedUpTo: noPosition,
	}
}

// StoreAnswered records that the store answered a request of this node for endpoints.
func (d *Directory) StoreAnswered(now time.Time) {
	if current := d.currentOutage(); current != nil {
		current.until = now
	}
	d.answers.record(now)
}

// StoreHeard records that the store answered a request of this node for something else: it is up, even if requests for
// endpoints are not answered.
func (d *Directory) StoreHeard(now time.Time) {
	if current := d.currentOutage(); current != nil {
		current.addAnswers([]time.Time{now})
	}
	d.answers.record(now)
}

// StoreLost records that the store no longer answers this node.
func (d *Directory) StoreLost() {
	if d.currentOutage() == nil {
		d.outages = append(d.outages, &outage{since: d.answers.latest()})
	}
}

// currentOutage returns the outage that is still going on, or nil.
func (d *Directory) currentOutage() *outage {
	if n := len(d.outages); n > 0 && d.outages[n-1].until.IsZero() {
		return d.outages[n-1]
	}
	return nil
}

// Staleness returns how far back this node needs the times at which the store answered other nodes; 0 if it does not
// need them.
func (d *Directory) Staleness(now time.Time) time.Duration {
	for _, o := range d.outages {
		if o.inGrace(now, d.grace) && !o.since.IsZero() {
			return now.Sub(o.since)
		}
	}
	return 0
}

// Answers returns how long ago the store answered this node, for the answers within a period before now.
func (d *Directory) Answers(now time.Time, within time.Duration) []time.Duration {
	return d.answers.ages(now, within)
}

// HearAnswers adds times at which the store answered another node.
func (d *Directory) HearAnswers(times []time.Time) {
	for _, o := range d.outages {
		o.addAnswers(times)
	}
}

// Newest returns the position of the newest change received; -1 before the first.
func (d *Directory) Newest() chivelog.Position { return d.newest }

// Apply processes one change, in any order, and reports whether anything that matters for routing changed.
func (d *Directory) Apply(now time.Time, change Change) bool {
	d.expiryPending = true
	d.observeEra(now, change.Position)
	d.newest = max(d.newest, change.Position)
	if change.Unusable {
		d.doubt(now, change)
		return false
	}
	return d.applyUsable(now, change)
}

// applyUsable processes a change other than an unusable record.
func (d *Directory) applyUsable(now time.Time, change Change) bool {
	id := change.Endpoint.ID
	d.markDirty(id)
	if d.repeatsDeferral(change) {
		deferred := d.deferrals[id].change
		if !isStateBefore(change.Endpoint, deferred.Endpoint) {
			return false
		}
		change.Position = positionBefore(change.Endpoint, deferred)
	}
	known, ok := d.entries[id]
	if ok {
		if handled, changed := d.reconcile(now, known, change); handled {
			return changed
		}
	}
	if !ok && !change.Gone && !change.Missing && change.Position <= d.compactedUpTo {
		// A full list up to a later position does not contain the endpoint, so it has been removed since.
		return false
	}
	if old, ok := d.tombstones[id]; ok && !d.mayRevive(now, old, change) {
		return false
	}
	if change.Gone {
		return d.remove(now, id, change.Position)
	}
	if change.Missing {
		return d.markMissing(now, change)
	}
	delete(d.tombstones, id)
	d.supersede(id, change.Position)
	if !ok {
		d.entries[id] = &entry{endpoint: copyEndpoint(change.Endpoint), position: change.Position}
		return true
	}
	if change.Position < known.position {
		return d.replaceWithLater(now, known, change)
	}
	return known.update(change)
}

// reconcile compares a change with the known entry of its endpoint; handled means that Apply has nothing more to do.
func (d *Directory) reconcile(now time.Time, known *entry, change Change) (handled, changed bool) {
	isLater := !known.settled && change.Endpoint.Incarnation().Follows(known.endpoint.Incarnation())
	switch {
	case !change.Gone && known.endpoint.Incarnation().Follows(change.Endpoint.Incarnation()):
		d.deferEarlier(now, known, change)
		return true, false
	case d.overridesCopy(known, change):
		d.overrideCopy(now, known, change)
		return true, true
	case known.position >= change.Position && (change.Gone || change.Missing || !isLater):
		return true, known.position == change.Position && change.Read && change.Gone && d.confirmRemoval(now, change.Endpoint.ID)
	case known.mayPredateLeaving(change):
		d.deferChange(now, change)
		return true, false
	}
	return false, false
}

// replaceWithLater replaces the known entry by a later incarnation whose record is older. The known one would have been
// deferred if the two had arrived in the order of the store's log.
func (d *Directory) replaceWithLater(now time.Time, known *entry, change Change) bool {
	changed := *known.endpoint != change.Endpoint
	replaced := Change{Position: known.position, Endpoint: *known.endpoint}
	known.endpoint = copyEndpoint(change.Endpoint)
	if known.missingSince.IsZero() {
		known.position = change.Position
		d.deferChange(now, replaced)
	}
	return changed
}

// remove processes the removal of an entry. Shortly after an outage it may only mean that the entry lapsed during the
// outage.
func (d *Directory) remove(now time.Time, id string, position chivelog.Position) bool {
	d.expiryPending = true
	d.supersede(id, position)
	known, ok := d.entries[id]
	if !ok {
		d.tombstones[id] = tombstone{position: position, removedAt: now, incarnation: d.tombstones[id].incarnation}
		return false
	}
	known.position = position
	if d.inGrace(now) && known.endpoint.State == Ready {
		if known.missingSince.IsZero() {
			known.missingSince = now
		}
		return false
	}
	d.drop(now, id)
	return true
}

// confirmRemoval drops an entry that is kept because a peer reported it as missing, once this node reads the same
// removal from the store outside of a grace period. The result then does not depend on which of the two arrives first.
func (d *Directory) confirmRemoval(now time.Time, id string) bool {
	if d.entries[id].missingSince.IsZero() || d.inGrace(now) {
		return false
	}
	d.drop(now, id)
	return true
}

// markMissing processes a peer's report that an entry lapsed around an outage, which this node may not have seen, and
// reports whether the entry is new to this node.
func (d *Directory) markMissing(now time.Time, change Change) (isNew bool) {
	known, ok := d.entries[change.Endpoint.ID]
	if !ok {
		known = &entry{endpoint: copyEndpoint(change.Endpoint)}
		d.entries[change.Endpoint.ID] = known
	}
	isLater := change.Position > known.position
	known.position = max(known.position, change.Position)
	d.supersede(change.Endpoint.ID, change.Position)
	keepUntil := now.Add(change.Keep)
	switch {
	case known.missingSince.IsZero():
		known.missingSince, known.keepUntil = now, keepUntil
	case isLater && !known.keepUntil.IsZero() && keepUntil.After(known.keepUntil):
		// The peer has seen the entry present in between, and this node has not been sent that.
		known.keepUntil = keepUntil
	}
	return !ok
}

func (d *Directory) drop(now time.Time, id string) {
	d.markDirty(id)
	d.tombstones[id] = tombstone{position: d.entries[id].position, removedAt: now, incarnation: d.entries[id].endpoint.Incarnation()}
	delete(d.entries, id)
}

// inGrace reports whether an entry that is missing now may only have lapsed.
func (d *Directory) inGrace(now time.Time) bool {
	return d.restoreGraceLeft(now) > 0 || slices.ContainsFunc(d.outages, func(o *outage) bool { return o.inGrace(now, d.grace) })
}

// graceLeft returns how much longer a missing entry is kept after the outages and the restore known to this node.
func (d *Directory) graceLeft(now time.Time) (left time.Duration) {
	left = d.restoreGraceLeft(now)
	for _, o := range d.outages {
		if since, localOnly := o.contactSince(now); !localOnly && !o.until.IsZero() {
			left = max(left, since.Add(d.grace).Sub(now))
		}
	}
	return left
}

// Replace applies a complete snapshot of the store, whose log is then read from end on. Entries that are not in the
// snapshot are removed by the same rules as single removals. Changes from peers at or after end stay: the log has their
// records, which would count as older than a removal made here.
func (d *Directory) Replace(now time.Time, snapshot []Change, end chivelog.Position) bool {
	before := d.newest
	changed := d.Learn(now, Update{Changes: snapshot, Whole: true, End: end - 1})
	// Later pages of a snapshot may contain some of the records after its end, but not all of them.
	d.newest = max(before, end-1)
	return changed
}

// Expire applies the changes that depend on time alone: it drops the entries that are still missing after the grace
// period and applies deferred changes that are due. It reports whether anything changed.
func (d *Directory) Expire(now time.Time) bool {
	for id, t := range d.tombstones {
		if now.Sub(t.removedAt) > tombstoneRetention {
			delete(d.tombstones, id)
			d.compactedUpTo = max(d.compactedUpTo, t.position)
		}
	}
	if d.inGrace(now) {
		return false
	}
	// Past outages whose grace period is over no longer matter. A current one stays: it may turn out that only this
	// node is cut off.
	d.outages = slices.DeleteFunc(d.outages, func(o *outage) bool { return !o.until.IsZero() && now.Sub(o.until) >= d.grace })
	if !d.expiryPending {
		return false
	}
	changed := d.applyDueDeferrals(now)
	d.expiryPending = len(d.deferrals) > 0
	for id, e := range d.entries {
		if !e.missingSince.IsZero() && !now.Before(e.keepUntil) {
			d.drop(now, id)
			changed = true
		} else if !e.missingSince.IsZero() {
			d.expiryPending = true
		}
	}
	return changed
}

// Endpoints returns all endpoints that have not been removed, sorted by id.
func (d *Directory) Endpoints() []Endpoint {
	all := make([]Endpoint, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, *e.endpoint)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
