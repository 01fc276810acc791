package chivemember

import (
	"cmp"
	"slices"
	"time"
)

// ambiguousTime is how long after a probe without an answer no answer is measured.
const ambiguousTime = deadAfter

// OnReply sets a function that is called with the time from a probe to its answer. It must be set before the first tick.
func (v *View) OnReply(notify func(address string, roundTrip time.Duration)) { v.onReply = notify }

// sendProbe returns a probe of a member, whose answer is measured unless the one before has none yet: answers do not name
// the probe that they are for.
func (v *View) sendProbe(now time.Time, e *entry) Envelope {
	if !e.probedAt.IsZero() {
		e.ambiguousUntil = now.Add(ambiguousTime)
	}
	e.probedAt = now
	return Envelope{To: e.member.Address, Message: Probe{Name: v.self.Name, Incarnation: v.self.Incarnation, Digest: v.digest}}
}

// measure passes on the round trip of the last probe of a member that has answered.
func (v *View) measure(now time.Time, from, name string) {
	e, known := v.entries[name]
	if !known || e.probedAt.IsZero() {
		return
	}
	roundTrip := now.Sub(e.probedAt)
	e.probedAt = time.Time{}
	if v.onReply != nil && from == e.member.Address && !now.Before(e.ambiguousUntil) {
		v.onReply(from, roundTrip)
	}
}

// probeRegions probes one member of each other region in which this node has no probe target, so that the distance to it
// is measured. The members take turns.
func (v *View) probeRegions(now time.Time) []Envelope {
	if v.onReply == nil || v.self.Region == "" {
		return nil
	}
	measured := map[string]bool{v.self.Region: true, "": true}
	for _, name := range v.probeTargets {
		measured[v.entries[name].member.Region] = true
	}
	byRegion := make(map[string][]*entry)
	for _, e := range v.entries {
		if e.member.State != Dead && !measured[e.member.Region] {
			byRegion[e.member.Region] = append(byRegion[e.member.Region], e)
		}
	}
	v.regionOffset++
	var out []Envelope
	for _, entries := range byRegion {
		slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.key, b.key) })
		out = append(out, v.sendProbe(now, entries[v.regionOffset%len(entries)]))
	}
	return out
}
