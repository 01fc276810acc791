package chivedirectory

import (
	"time"

	"chivedrift/chivelog"
)

// minDeferral is the shortest time for which a record is stated to be deferred.
const minDeferral = time.Millisecond

// Update holds what a node sends to a peer that has received everything up to a position.
//
// For each endpoint with a record after that position it has the state that the sender applies, under the position of
// the record that brought it, and beside it the record that the sender defers, under its own position. The position of a
// change also says that the sender has passed on everything before it, so it is never beyond what the sender knows
// completely, whatever the position of the record. Deferred records say nothing about other records: a peer that
// receives them does not count as further.
type Update struct {
	Changes []Change
	// Whole means that the changes and the deferred records list all endpoints at the position End: any other endpoint
	// that the peer knows, unless its change is newer than End, has been removed.
	Whole bool
	End   chivelog.Position
	// Deferred holds the deferred records. They are a message of their own, because releases without them cannot decode
	// a further field.
	Deferred []Deferred `msgpack:"-"`
	// completeUpTo is the position up to which the sender knows all changes.
	completeUpTo chivelog.Position
}

// Deferred is a record that the sender does not apply yet, or has applied after deferring it.
type Deferred struct {
	Change Change
	// Left is how much longer the sender defers the record; 0 if it has applied it.
	Left time.Duration
}

// Update returns what a peer lacks that has received everything up to a position.
//
// A node that started from a snapshot of the store knows the endpoints but not the earlier removals. A peer from before
// the snapshot that received only the later changes would count as up to date and keep endpoints removed in between for
// good. So it gets the full list instead.
func (d *Directory) Update(now time.Time, after chivelog.Position) Update {
	if after < d.compactedUpTo {
		return Update{Changes: d.changesAfter(now, noPosition), Whole: true, End: d.compactedUpTo, Deferred: d.deferredAfter(now, noPosition), completeUpTo: d.newest}
	}
	return Update{Changes: d.changesAfter(now, after), Deferred: d.deferredAfter(now, after), completeUpTo: d.newest}
}

// Plain returns the update as a single list of changes, with the deferred records that a node defers by itself if it
// receives both states of an endpoint in this order. Releases without deferred records read it.
func (u Update) Plain() Update {
	deferred := make(map[string]Change, len(u.Deferred))
	for _, r := range u.Deferred {
		if r.Left > 0 {
			deferred[r.Change.Endpoint.ID] = r.Change
		}
	}
	if len(deferred) == 0 {
		return u
	}
	plain := Update{Whole: u.Whole, End: u.End, Changes: make([]Change, 0, len(u.Changes)+len(deferred))}
	for _, c := range u.Changes {
		r, ok := deferred[c.Endpoint.ID]
		r.Position = min(r.Position, u.completeUpTo)
		switch {
		case ok && !c.Gone:
			plain.Changes = append(plain.Changes, c, r)
		case ok && r.Position.MayPrecede(c.Position):
			plain.Changes = append(plain.Changes, r, c)
		default:
			// A node that knows only the removal would apply the record of an earlier incarnation at once.
			plain.Changes = append(plain.Changes, c)
		}
	}
	return plain
}

// Deferred returns at most limit records that this node defers.
func (d *Directory) Deferred(now time.Time, limit int) []Deferred {
	var records []Deferred
	for _, p := range d.deferrals {
		if len(records) == limit {
			break
		}
		records = append(records, Deferred{Change: p.change, Left: d.deferralLeft(now, p)})
	}
	return records
}

// changesAfter returns the changes after a position, and recent removals whatever their position.
func (d *Directory) changesAfter(now time.Time, after chivelog.Position) []Change {
	var changes []Change
	for id, e := range d.entries {
		if e.position > after || d.defersAfter(id, after) {
			changes = append(changes, d.changeOf(now, e))
		}
	}
	for id, t := range d.tombstones {
		// Each node decides by itself whether an endpoint of a restored copy is back, so each needs the removal.
		p, isDeferred := d.deferrals[id]
		fromCopy := isDeferred && p.change.Position.MayPrecede(t.position)
		if t.position > after || now.Sub(t.removedAt) < removalResendPeriod || d.copyMayBeStale(now) || fromCopy || d.defersAfter(id, after) {
			changes = append(changes, Change{Position: t.position, Endpoint: Endpoint{ID: id}, Gone: true})
		}
	}
	return changes
}

// defersAfter reports whether a record of an endpoint after a position is deferred.
func (d *Directory) defersAfter(id string, after chivelog.Position) bool {
	p, ok := d.deferrals[id]
	return ok && p.change.Position > after
}

// deferredAfter returns the records after a position that are deferred, or have been applied after that.
func (d *Directory) deferredAfter(now time.Time, after chivelog.Position) []Deferred {
	var records []Deferred
	for _, p := range d.deferrals {
		if p.change.Position > after {
			records = append(records, Deferred{Change: p.change, Left: d.deferralLeft(now, p)})
		}
	}
	for _, e := range d.entries {
		if e.settled && e.missingSince.IsZero() && e.position > after {
			records = append(records, Deferred{Change: Change{Position: e.position, Endpoint: *e.endpoint}})
		}
	}
	return records
}

// deferralLeft returns how much longer this node defers a record. While the store is down, that is not known.
func (d *Directory) deferralLeft(now time.Time, p *deferral) time.Duration {
	if d.currentOutage() != nil && d.inGrace(now) {
		return maxWriteDelay
	}
	return max(p.due.Sub(now), d.graceLeft(now), minDeferral)
}

// changeOf returns the change that peers receive for an entry.
func (d *Directory) changeOf(now time.Time, e *entry) Change {
	c := Change{Position: min(e.position, d.newest), Endpoint: *e.endpoint, Missing: !e.missingSince.IsZero()}
	if c.Missing {
		c.Keep = max(d.graceLeft(now), e.keepUntil.Sub(now), 0)
	}
	return c
}

// Learn applies an update and reports whether anything that matters for routing changed.
func (d *Directory) Learn(now time.Time, update Update) bool {
	// A removal does not count as listing the endpoint: it may concern an earlier entry than the one known here.
	listed := make(map[string]bool, len(update.Changes))
	changed := false
	if update.Whole {
		d.observeEra(now, update.End)
	}
	deferredAt := make(map[string]chivelog.Position, len(update.Deferred))
	for _, r := range update.Deferred {
		deferredAt[r.Change.Endpoint.ID] = r.Change.Position
		changed = d.learnDeferred(now, r) || changed
	}
	for _, c := range update.Changes {
		listed[c.Endpoint.ID] = listed[c.Endpoint.ID] || !c.Gone
		changed = d.Apply(now, c) || changed
	}
	if !update.Whole {
		return changed
	}
	for id, known := range d.entries {
		removedAt := update.End
		if at, ok := deferredAt[id]; ok {
			removedAt = min(removedAt, at-1)
		}
		if !listed[id] && known.position <= removedAt {
			changed = d.remove(now, id, removedAt) || changed
		}
	}
	d.cancelDeferrals(listed, deferredAt, update.End)
	d.compactedUpTo = max(d.compactedUpTo, update.End)
	// The record at End may be a removal, which a full list does not contain. This node still counts as having received
	// it, and sends removals on to its peers.
	d.newest = max(d.newest, update.End)
	return changed
}

// learnDeferred takes over a record that a peer defers or has deferred, and reports whether anything changed. The record is
// deferred whatever this node knows of the endpoint, unless that is newer: the node may know too little to see that the
// record is from an earlier incarnation.
func (d *Directory) learnDeferred(now time.Time, r Deferred) bool {
	id, position := r.Change.Endpoint.ID, r.Change.Position
	if known, ok := d.entries[id]; ok {
		known.correctPosition(r.Change)
	}
	if d.knowsAt(r.Change) {
		return false
	}
	p, isDeferred := d.deferrals[id]
	if isDeferred && p.change.Position > position {
		return false
	}
	if r.Left <= 0 {
		return d.applyDeferral(r.Change)
	}
	due := now.Add(min(r.Left, maxWriteDelay))
	if isDeferred && p.change.Position == position {
		p.repeat(r.Change, due)
		return false
	}
	d.deferrals[id], d.expiryPending = &deferral{change: r.Change, due: due}, true
	return false
}

// knowsAt reports whether this node applies the state of an endpoint at the position of a record, or a later one.
func (d *Directory) knowsAt(record Change) bool {
	if known, ok := d.entries[record.Endpoint.ID]; ok {
		return known.position >= record.Position
	}
	if removed, ok := d.tombstones[record.Endpoint.ID]; ok {
		return removed.position >= record.Position
	}
	return record.Position <= d.compactedUpTo
}

// cancelDeferrals drops deferred changes of endpoints that the store no longer has at the position end. Applied later,
// they would bring these endpoints back for good.
func (d *Directory) cancelDeferrals(listed map[string]bool, deferredAt map[string]chivelog.Position, end chivelog.Position) {
	for id := range d.deferrals {
		if _, isDeferred := deferredAt[id]; !listed[id] && !isDeferred {
			d.supersede(id, end)
		}
	}
}
