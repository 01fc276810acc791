package chivemember

import (
	"sort"
	"time"
)

const (
	// ambiguousTime is how long after a probe without an answer no answer is measured.
	ambiguousTime = deadAfter
	// regionProbes is how many members of a region without probe targets are probed for their distance: more than one, so
	// that a slow one does not make the region far.
	regionProbes = 2
)

// OnReply sets a function that is called with the time from a probe to its answer. It must be set before the first tick.
func (v *View) OnReply(notify func(address string, roundTrip time.Duration)) { v.onReply = notify }

// sendProbe returns a probe of a member, whose answer is measured unless the one before has none yet: answers do not name
// the probe that they are for.
func (v *View) sendProbe(now time.Time, e *entry) Envelope {
	switch {
	case !e.probed:
		// The first answer comes over a connection that is being established, or is that to contactAbsent.
		e.probed, e.ambiguousUntil = true, now.Add(TickEvery)
	case !e.probedAt.IsZero():
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

// probeRegions probes members of each other region in which this node has no probe target, so that the distance to it is
// measured. They are the same each time, the next ones on the ring, so that the connections to them stay open.
func (v *View) probeRegions(now time.Time) []Envelope {
	if v.onReply == nil || v.self.Region == "" {
		return nil
	}
	probed := map[string]int{v.self.Region: regionProbes, "": regionProbes}
	for _, name := range v.probeTargets {
		probed[v.entries[name].member.Region] = regionProbes
	}
	var out []Envelope
	index := sort.SearchStrings(v.ring, ringKey(v.self.Name))
	for distance := 1; distance < len(v.ring); distance++ {
		e := v.entries[ringName(v.ring[wrap(index+distance, len(v.ring))])]
		if region := e.member.Region; e.member.State != Dead && probed[region] < regionProbes {
			probed[region]++
			out = append(out, v.sendProbe(now, e))
		}
	}
	return out
}
