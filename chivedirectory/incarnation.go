package chivedirectory

import (
	"strconv"
	"strings"
	"time"
)

// Incarnation identifies one start of an endpoint's process. An endpoint may restart under the same id and has then
// lost its state, so everything known about an endpoint is kept per incarnation.
type Incarnation struct {
	// ID is the key of the endpoint in the store.
	ID string
	// Born is when the process started, in Unix milliseconds by its own clock; 0 if unknown.
	Born int64
}

// keySeparator separates the id and the start time in an incarnation's key; ids in the store do not contain it.
const keySeparator = "@"

// Key returns a string that is unique among all incarnations of all endpoints, for use in maps and in messages between
// nodes. It is the id alone if the start time is unknown.
func (i Incarnation) Key() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + keySeparator + strconv.FormatInt(i.Born, 10)
}

// IDOf returns the id of the endpoint from the key of one of its incarnations.
func IDOf(key string) string {
	id, _, _ := strings.Cut(key, keySeparator)
	return id
}

// Follows reports whether an incarnation is known to have started after another one of the same endpoint. Start times
// of different endpoints cannot be compared, because the clocks of VMs differ.
func (i Incarnation) Follows(other Incarnation) bool {
	return i.ID == other.ID && i.Born != 0 && other.Born != 0 && i.Born > other.Born
}

// maxWriteDelay is an upper bound on how late a write of a process that has ended may still reach the store's log: the
// platform carries out unanswered writes up to 6 s late, and the rest is margin.
const maxWriteDelay = 8 * time.Second

// deferredChange is a change that may be out of date, with the time since which no other change has contradicted it. It
// is either the change of an earlier incarnation that arrived after one of a later incarnation, or a change from a
// restored, older copy of the store.
//
// A change of an earlier incarnation is usually the late write of a process that has ended. The live process then finds
// the entry of another incarnation under its id and writes its own again with its next heartbeat; if there is no live
// process, the entry lapses. If neither has happened after maxWriteDelay, the clock of the VM was set back between two
// starts and the change is from the live process. It is applied then, because otherwise that process would be ignored
// for as long as it runs.
type deferredChange struct {
	change Change
	since  time.Time
}

// record returns the deferred change after another such change; since stays the same for changes of the same
// incarnation.
func (c *deferredChange) record(now time.Time, change Change) *deferredChange {
	if c == nil {
		return &deferredChange{change: change, since: now}
	}
	if c.since.IsZero() || c.change.Endpoint.Incarnation() != change.Endpoint.Incarnation() {
		c.since = now
	}
	c.change = change
	return c
}

func (c *deferredChange) isPending() bool { return c != nil && !c.since.IsZero() }

// isDue reports whether the change has been pending for longer than a write can be late.
func (c *deferredChange) isDue(now time.Time) bool {
	return c.isPending() && now.Sub(c.since) > maxWriteDelay
}

// deferEarlier defers a change of an earlier incarnation than the known one. Applied at once, it would send requests to
// a process that has ended and bring back state that was kept for it.
func (d *Directory) deferEarlier(now time.Time, known *entry, change Change) {
	if change.Position <= known.position {
		return
	}
	known.position = change.Position
	if !change.Missing {
		known.deferred = known.deferred.record(now, change)
	}
}

// mayRevive reports whether a change of a removed endpoint is newer than its removal.
func (d *Directory) mayRevive(now time.Time, old tombstone, change Change) bool {
	if old.position >= change.Position {
		return false
	}
	if change.Missing {
		// A peer that keeps a missing entry has no newer data than the removal. Any earlier deferred change no longer
		// counts.
		old.position, old.deferred = change.Position, nil
		d.tombstones[change.Endpoint.ID] = old
		return false
	}
	isEarlier := old.incarnation.Follows(change.Endpoint.Incarnation())
	if change.Gone || !isEarlier && !change.Position.MayPrecede(old.position) {
		return true
	}
	old.deferred = old.deferred.record(now, change)
	d.tombstones[change.Endpoint.ID] = old
	return false
}

// applyDeferred applies the deferred changes that are due and reports whether anything changed.
func (d *Directory) applyDeferred(now time.Time) bool {
	changed := false
	for id, e := range d.entries {
		if e.deferred.isDue(now) {
			d.markDirty(id)
			changed = e.update(e.deferred.change) || changed
		}
	}
	for id, t := range d.tombstones {
		if t.deferred.isDue(now) {
			d.markDirty(id)
			delete(d.tombstones, id)
			d.entries[id] = &entry{endpoint: copyEndpoint(t.deferred.change.Endpoint), position: t.deferred.change.Position}
			changed = true
		}
	}
	return changed
}
