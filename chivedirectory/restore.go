package chivedirectory

import (
	"time"

	"chivedrift/chivelog"
)

// A store that comes back from an older copy says again what was true when the copy was made. An endpoint that has registered since is missing in it,
// and writes its entry again; it is kept like one whose entry lapsed in an outage. An endpoint that has left since stands in the copy as
// ready, until its entry lapses once more or it says again that it leaves. Taken for the newest word it would get requests again, seconds
// after this node has heard that it left. So such a word counts only once it has stood for longer than a dead process's entry can.

// noteEra notes a position of a later era than is known: the store has come back from an older copy.
func (d *Directory) noteEra(now time.Time, position chivelog.Position) {
	known := d.newest >= 0
	if position.Era() <= d.era {
		return
	}
	d.era = position.Era()
	if !known {
		return
	}
	d.restored = now
}

// restoreGrace is how much longer an entry that the copy lacks is kept. It does not depend on whether this node found the store away: also one that
// had an answer at every moment may find an entry of the lost seconds missing.
func (d *Directory) restoreGrace(now time.Time) time.Duration {
	if d.restored.IsZero() {
		return 0
	}
	return max(d.restored.Add(d.grace).Sub(now), 0)
}

// Era returns the newest era of the store that is known; 0 before the first change.
func (d *Directory) Era() int64 { return d.era }

// isSettling reports whether endpoints may still stand in the store as they were when the copy was made.
func (d *Directory) isSettling(now time.Time) bool {
	return !d.restored.IsZero() && now.Sub(d.restored) <= lateWriteMost
}

// mayBeOld reports whether a change that an endpoint which leaves is ready may be from before it said that it leaves.
func (e *entry) mayBeOld(change Change) bool {
	isReady := !change.Gone && !change.Missing && change.Endpoint.State == Ready
	return isReady && e.endpoint.State == Leaving && change.Endpoint.Incarnation() == e.endpoint.Incarnation() &&
		change.Position.MayPrecede(e.position)
}

// outlasts reports whether a change that an endpoint leaves, or is gone, may be newer than what the copy says of it, though its position is of an
// earlier era. A node that started after the restore knows only the copy, and hears from its peers what had left.
func (d *Directory) outlasts(known *entry, change Change) bool {
	if !known.missing.IsZero() {
		// The store does not have it: there is no word of the copy to doubt.
		return false
	}
	isCopy := known.position.MayPrecede(change.Position) || known.position == change.Position && !change.Gone
	return isCopy && known.endpoint.State == Ready && (change.Gone || change.Endpoint.State == Leaving && !change.Missing) &&
		(change.Gone || change.Endpoint.Incarnation() == known.endpoint.Incarnation())
}

// restrict takes such a change; what the store says counts again once it has stood for long enough.
func (d *Directory) restrict(now time.Time, known *entry, change Change) {
	copied := Change{Position: known.position, Endpoint: *known.endpoint}
	if change.Gone {
		d.gone[known.endpoint.ID] = tombstone{position: change.Position, at: now, incarnation: known.endpoint.Incarnation(), contest: &contest{copied, now}}
		delete(d.entries, known.endpoint.ID)
		return
	}
	leaving := *known.endpoint
	leaving.State = Leaving
	known.endpoint = &leaving
	known.contest = known.contest.note(now, copied)
}

// Uncertain returns how many endpoints are missing in the store and kept for a while, and of how many the store says what may be old.
func (d *Directory) Uncertain() (missing, doubted int) {
	for _, e := range d.entries {
		if !e.missing.IsZero() {
			missing++
		}
		if e.contest.isOpen() {
			doubted++
		}
	}
	for _, t := range d.gone {
		if t.contest.isOpen() {
			doubted++
		}
	}
	return missing, doubted
}
