package chivedirectory

import (
	"time"

	"chivedrift/chivelog"
)

// After the store is restored from an older copy, it holds what was true when the copy was made. An endpoint that has
// registered since is missing, and writes its entry again; it is kept as if its entry had lapsed in an outage. An
// endpoint that has left since is listed as ready, until its entry lapses or it reports again that it leaves. If that
// entry counted as newest, the endpoint would get requests again, seconds after this node has learned that it left. So
// such an entry is applied only once it has stood for longer than the entry of a dead process can.

// observeEra records a restore of the store if the position is of a later era than any before. The first known era does
// not count as a restore.
func (d *Directory) observeEra(now time.Time, position chivelog.Position) {
	hadChanges := d.newest >= 0
	if position.Era() <= d.era {
		return
	}
	d.era = position.Era()
	if !hadChanges {
		return
	}
	d.restoredAt = now
}

// restoreGraceLeft returns how much longer entries that are missing in the restored copy are kept. This holds whether
// or not the node saw an outage: also a node that always got answers may find an entry from the lost period missing.
func (d *Directory) restoreGraceLeft(now time.Time) time.Duration {
	if d.restoredAt.IsZero() {
		return 0
	}
	return max(d.restoredAt.Add(d.grace).Sub(now), 0)
}

// Era returns the newest known era of the store; 0 before the first change.
func (d *Directory) Era() int64 { return d.era }

// copyMayBeStale reports whether the store may still list endpoints as they were when the copy was made.
func (d *Directory) copyMayBeStale(now time.Time) bool {
	return !d.restoredAt.IsZero() && now.Sub(d.restoredAt) <= maxWriteDelay
}

// mayPredateLeaving reports whether a change that reports a leaving endpoint as ready may be from before the endpoint
// began to leave.
func (e *entry) mayPredateLeaving(change Change) bool {
	isReady := !change.Gone && !change.Missing && change.Endpoint.State == Ready
	return isReady && e.endpoint.State == Leaving && change.Endpoint.Incarnation() == e.endpoint.Incarnation() &&
		change.Position.MayPrecede(e.position)
}

// overridesCopy reports whether a change that an endpoint leaves or is gone may be newer than the entry of the restored
// copy, although its position is of an earlier era. A node that started after the restore knows only the copy, and
// learns from its peers which endpoints had left.
func (d *Directory) overridesCopy(known *entry, change Change) bool {
	if !known.missingSince.IsZero() {
		// The store no longer has the entry, so there is nothing to override.
		return false
	}
	mayBeCopied := known.position.MayPrecede(change.Position) || known.position == change.Position && !change.Gone
	return mayBeCopied && known.endpoint.State == Ready && (change.Gone || change.Endpoint.State == Leaving && !change.Missing) &&
		(change.Gone || change.Endpoint.Incarnation() == known.endpoint.Incarnation())
}

// overrideCopy applies such a change and defers the entry from the store.
func (d *Directory) overrideCopy(now time.Time, known *entry, change Change) {
	copied := Change{Position: known.position, Endpoint: *known.endpoint}
	if change.Gone {
		d.tombstones[known.endpoint.ID] = tombstone{position: change.Position, removedAt: now, incarnation: known.endpoint.Incarnation()}
		delete(d.entries, known.endpoint.ID)
		d.deferChange(now, copied)
		return
	}
	leaving := *known.endpoint
	leaving.State = Leaving
	known.endpoint, known.position, known.settled = &leaving, change.Position, false
	if change.Position >= copied.Position {
		known.position = positionBefore(leaving, copied)
	}
	d.deferChange(now, copied)
}

// Uncertain returns how many endpoints are missing in the store and kept for now, and for how many there is a deferred
// change.
func (d *Directory) Uncertain() (missing, doubtful int) {
	for _, e := range d.entries {
		if !e.missingSince.IsZero() {
			missing++
		}
	}
	return missing, len(d.deferrals)
}
