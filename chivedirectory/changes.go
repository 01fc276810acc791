package chivedirectory

import (
	"time"

	"chivedrift/chivelog"
)

// Update holds the changes that a node sends to a peer.
type Update struct {
	Changes []Change
	// Whole means that the changes list all endpoints at the position End: any other endpoint that the peer knows,
	// unless its change is newer than End, has been removed.
	Whole bool
	End   chivelog.Position
}

// Update returns the changes for a peer that has received everything up to a position.
//
// A node that started from a snapshot of the store knows the endpoints but not the earlier removals. A peer from before
// the snapshot that received only the later changes would count as up to date and keep endpoints removed in between for
// good. So it gets the full list instead.
func (d *Directory) Update(now time.Time, after chivelog.Position) Update {
	if after < d.compactedUpTo {
		return Update{Changes: d.changesAfter(now, noPosition), Whole: true, End: d.compactedUpTo}
	}
	return Update{Changes: d.changesAfter(now, after)}
}

// changesAfter returns the changes after a position, and recent removals whatever their position.
func (d *Directory) changesAfter(now time.Time, after chivelog.Position) []Change {
	var changes []Change
	for _, e := range d.entries {
		if e.position > after {
			changes = append(changes, d.changeOf(now, e))
		}
	}
	for id, t := range d.tombstones {
		fromCopy := t.deferred.isPending() && t.deferred.change.Position.MayPrecede(t.position)
		if fromCopy {
			// This change comes from the restored copy of the store. Each node decides by itself whether the endpoint
			// is back, so each needs the change.
			copied := t.deferred.change
			copied.Position = min(copied.Position, d.newest)
			changes = append(changes, copied)
		}
		if t.position > after || now.Sub(t.removedAt) < removalResendPeriod || d.copyMayBeStale(now) || fromCopy {
			changes = append(changes, Change{Position: t.position, Endpoint: Endpoint{ID: id}, Gone: true})
		}
	}
	return changes
}

// changeOf returns the change that peers receive for an entry. An entry from a later page of a snapshot may be newer than
// what this node knows completely; with its own position it would make the peer count as further than this node, and
// the peer would not request the changes before it.
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
	for _, c := range update.Changes {
		listed[c.Endpoint.ID] = listed[c.Endpoint.ID] || !c.Gone
		changed = d.Apply(now, c) || changed
	}
	if !update.Whole {
		return changed
	}
	for id, known := range d.entries {
		if !listed[id] && known.position <= update.End {
			changed = d.remove(now, id, update.End) || changed
		}
	}
	d.cancelDeferred(listed, update.End)
	d.compactedUpTo = max(d.compactedUpTo, update.End)
	// The record at End may be a removal, which a full list does not contain. This node still counts as having received
	// it, and sends removals on to its peers.
	d.newest = max(d.newest, update.End)
	return changed
}

// cancelDeferred drops deferred changes of removed endpoints that the store no longer has at the position end. Applied
// later, they would bring these endpoints back for good.
func (d *Directory) cancelDeferred(listed map[string]bool, end chivelog.Position) {
	for id, t := range d.tombstones {
		if !listed[id] && t.deferred.isPending() && t.deferred.change.Position <= end {
			t.deferred = nil
			d.tombstones[id] = t
		}
	}
}
