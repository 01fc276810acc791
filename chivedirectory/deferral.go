package chivedirectory

import (
	"maps"
	"slices"
	"time"

	"chivedrift/chivelog"
)

// maxWriteDelay is an upper bound on how late a write of a process that has ended may still reach the store's log: the
// platform carries out unanswered writes up to 6 s late, and the rest is margin.
const maxWriteDelay = 8 * time.Second

// deferral is a change that may be out of date. It is applied when it is due, unless a later change of the endpoint
// arrives before. It is either the change of an earlier incarnation that arrived after one of a later incarnation, or a
// change from a restored, older copy of the store.
//
// A change of an earlier incarnation is usually the late write of a process that has ended. The live process then finds
// the entry of another incarnation under its id and writes its own again with its next heartbeat; if there is no live
// process, the entry lapses. If neither has happened after maxWriteDelay, the clock of the VM was set back between two
// starts and the change is from the live process. It is applied then, because otherwise that process would be ignored
// for as long as it runs.
//
// A deferral is later than the applied state of its endpoint, and does not change the position of that state: peers need
// both.
type deferral struct {
	change Change
	due    time.Time
}

// isDue reports whether the change has been pending for longer than a write can be late.
func (p *deferral) isDue(now time.Time) bool { return now.After(p.due) }

// repeat takes over what a peer states of the same record: the earlier time at which it is due, and the record itself if
// this node was sent another state with its position.
func (p *deferral) repeat(change Change, due time.Time) {
	if due.Before(p.due) {
		p.due = due
	}
	if isStateBefore(p.change.Endpoint, change.Endpoint) {
		p.change = change
	}
}

// deferChange defers a change, unless a later one of the same endpoint is deferred already. The time at which changes of
// one incarnation are due does not move.
func (d *Directory) deferChange(now time.Time, change Change) {
	id, due := change.Endpoint.ID, now.Add(maxWriteDelay)
	if p, ok := d.deferrals[id]; ok {
		if p.change.Position >= change.Position {
			return
		}
		if p.change.Endpoint.Incarnation() == change.Endpoint.Incarnation() {
			due = p.due
		}
	}
	d.deferrals[id] = &deferral{change: change, due: due}
}

// deferEarlier defers a change of an earlier incarnation than the known one. Applied at once, it would send requests to
// a process that has ended and bring back state that was kept for it.
func (d *Directory) deferEarlier(now time.Time, known *entry, change Change) {
	switch {
	case change.Position < known.position, change.Position == known.position && (known.settled || change.Missing):
		return
	case change.Missing:
		// The later record of the earlier incarnation has been removed since, and the known entry was replaced by it.
		d.markMissing(now, change)
		return
	}
	known.correctPosition(change)
	d.deferChange(now, change)
}

// supersede drops the deferral of an endpoint once a state that is not older is known.
func (d *Directory) supersede(id string, position chivelog.Position) {
	if p, ok := d.deferrals[id]; ok && p.change.Position <= position {
		delete(d.deferrals, id)
	}
}

// repeatsDeferral reports whether a change is the deferred record of its endpoint.
func (d *Directory) repeatsDeferral(change Change) bool {
	p, ok := d.deferrals[change.Endpoint.ID]
	return ok && !change.Gone && !change.Missing && change.Position == p.change.Position
}

// isStateBefore reports whether an endpoint is a state that a record with the endpoint after is deferred for. Releases
// without deferred records in their updates send such a state with the position of the deferred record.
func isStateBefore(before, after Endpoint) bool {
	return before.Incarnation().Follows(after.Incarnation()) ||
		before.Incarnation() == after.Incarnation() && before.State == Leaving && after.State == Ready
}

// correctPosition corrects the position of a state that was sent with the position of the deferred record after it.
func (e *entry) correctPosition(record Change) {
	if e.position == record.Position && isStateBefore(*e.endpoint, record.Endpoint) {
		e.position = positionBefore(*e.endpoint, record)
	}
}

// positionBefore returns a position for a state that was sent with the position of the later record after. A state that
// a restored copy does not show is from an earlier era.
func positionBefore(state Endpoint, after Change) chivelog.Position {
	isFromEarlierEra := state.Incarnation() == after.Endpoint.Incarnation() && after.Position.Era() > 1
	if isFromEarlierEra {
		return chivelog.NewPosition(after.Position.Era()-1, after.Position.Offset())
	}
	return after.Position - 1
}

// applyDueDeferrals applies the deferred changes that are due and reports whether anything changed.
func (d *Directory) applyDueDeferrals(now time.Time) bool {
	changed := false
	for _, p := range d.deferrals {
		if p.isDue(now) {
			changed = d.applyDeferral(p.change) || changed
		}
	}
	return changed
}

// applyDeferral applies a deferred change and reports whether anything changed.
func (d *Directory) applyDeferral(change Change) bool {
	id := change.Endpoint.ID
	d.markDirty(id)
	delete(d.deferrals, id)
	delete(d.tombstones, id)
	known, ok := d.entries[id]
	if !ok {
		known = &entry{endpoint: copyEndpoint(change.Endpoint)}
		d.entries[id] = known
	}
	changed := known.update(change)
	known.settled = true
	return changed || !ok
}

// mayRevive reports whether a change of a removed endpoint is newer than its removal.
func (d *Directory) mayRevive(now time.Time, old tombstone, change Change) bool {
	if old.position >= change.Position {
		return false
	}
	if change.Missing {
		// A peer that keeps a missing entry has no newer data than the removal. Any earlier deferred change no longer
		// counts.
		old.position = change.Position
		d.tombstones[change.Endpoint.ID] = old
		d.supersede(change.Endpoint.ID, change.Position)
		return false
	}
	isEarlier := old.incarnation.Follows(change.Endpoint.Incarnation())
	if change.Gone || !isEarlier && !change.Position.MayPrecede(old.position) {
		return true
	}
	d.deferChange(now, change)
	return false
}

// deferredDump is a deferred record in a state dump.
type deferredDump struct {
	Endpoint string `json:"endpoint"`
	Address  string `json:"address"`
	Born     int64  `json:"born"`
	Era      int64  `json:"era"`
	Offset   int64  `json:"offset"`
	LeftMs   int64  `json:"left_ms"`
}

// dumpDeferred returns the deferred records, sorted by the id of their endpoint.
func (d *Directory) dumpDeferred(now time.Time) []deferredDump {
	var dump []deferredDump
	for _, id := range slices.Sorted(maps.Keys(d.deferrals)) {
		p := d.deferrals[id]
		dump = append(dump, deferredDump{
			Endpoint: id, Address: p.change.Endpoint.Address, Born: p.change.Endpoint.Born, Era: p.change.Position.Era(),
			Offset: p.change.Position.Offset(), LeftMs: d.deferralLeft(now, p).Milliseconds(),
		})
	}
	return dump
}
