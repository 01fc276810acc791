package chivedirectory

import (
	"time"

	"chivedrift/chivelog"
)

// Update is what a node tells a peer that has taken everything up to a position.
type Update struct {
	Changes []Change
	// Whole tells that the changes name all endpoints that there are at the position End: what the peer knows besides, and is not newer, is gone.
	Whole bool
	End   chivelog.Position
}

// Update returns what a peer lacks that has taken everything up to a position.
//
// A node that started from a snapshot of the store knows what there is, and not what has been removed before. A peer from before the snapshot
// that took the later changes alone would count as up to date, be told nothing more, and keep what was removed in between for ever; so it is told
// all that there is.
func (d *Directory) Update(now time.Time, after chivelog.Position) Update {
	if after < d.rooted {
		return Update{Changes: d.changes(now, noPosition), Whole: true, End: d.rooted}
	}
	return Update{Changes: d.changes(now, after)}
}

// changes returns the changes after a position, and the removals of the last seconds.
func (d *Directory) changes(now time.Time, after chivelog.Position) []Change {
	var changes []Change
	for _, e := range d.entries {
		if e.position > after {
			changes = append(changes, d.change(now, e))
		}
	}
	for id, t := range d.gone {
		doubted := t.contest.isOpen() && t.contest.change.Position.MayPrecede(t.position)
		if doubted {
			// Each node settles by itself what the store says of an endpoint that had left, so each has to hear it.
			changes = append(changes, t.contest.change)
		}
		if t.position > after || now.Sub(t.at) < goneTold || d.isSettling(now) || doubted {
			changes = append(changes, Change{Position: t.position, Endpoint: Endpoint{ID: id}, Gone: true})
		}
	}
	return changes
}

// change is what is told of one entry.
func (d *Directory) change(now time.Time, e *entry) Change {
	w := Change{Position: e.position, Endpoint: *e.endpoint, Missing: !e.missing.IsZero()}
	if w.Missing {
		w.Keep = max(d.graceLeft(now), e.keep.Sub(now), 0)
	}
	return w
}

// Learn takes an update and reports whether anything that matters for routing changed.
func (d *Directory) Learn(now time.Time, update Update) bool {
	// A removal does not name an endpoint: it may be of an earlier entry than the one that is known here.
	named := make(map[string]bool, len(update.Changes))
	changed := false
	if update.Whole {
		d.noteEra(now, update.End)
	}
	for _, w := range update.Changes {
		named[w.Endpoint.ID] = named[w.Endpoint.ID] || !w.Gone
		changed = d.Apply(now, w) || changed
	}
	if !update.Whole {
		return changed
	}
	for id, known := range d.entries {
		if !named[id] && known.position <= update.End {
			changed = d.remove(now, id, update.End) || changed
		}
	}
	d.withdrawContests(named, update.End)
	d.rooted = max(d.rooted, update.End)
	// The last record up to there may be a removal, which no change tells of: the node has taken it all the same, and tells it on.
	d.newest = max(d.newest, update.End)
	return changed
}

// withdrawContests drops what was said of endpoints that are gone and that the store, at a position, does not have any more: counted later, it
// would bring them back for good.
func (d *Directory) withdrawContests(named map[string]bool, end chivelog.Position) {
	for id, t := range d.gone {
		if !named[id] && t.contest.isOpen() && t.contest.change.Position <= end {
			t.contest = nil
			d.gone[id] = t
		}
	}
}
