package chivemember

import (
	"slices"
	"sort"
	"time"
)

// Receive handles a message from a peer and returns the messages to send.
func (v *View) Receive(now time.Time, from string, message any) []Envelope {
	switch m := message.(type) {
	case Probe:
		return v.receiveProbe(now, from, m)
	case Ack:
		v.measure(now, from, m.Name)
		return v.recordContact(now, from, m.Name, m.Incarnation, m.Digest)
	case News:
		return v.receiveUpdates(now, from, m.Members)
	case Confirm:
		return v.receiveConfirm(now, from, m)
	case Heard:
		v.receiveHeard(now, m)
	case EndpointNews:
		return v.SpreadEndpoint(now, from, m)
	case Sync:
		out := v.receiveUpdates(now, from, m.Members)
		if m.Reply {
			return append(out, Envelope{To: from, Message: Sync{Members: v.syncAnswer(now, m)}})
		}
		return append(out, v.requestFullView(from, m)...)
	}
	return nil
}

func (v *View) receiveProbe(now time.Time, from string, p Probe) []Envelope {
	out := []Envelope{{To: from, Message: Ack{Name: v.self.Name, Incarnation: v.self.Incarnation, Digest: v.digest}}}
	return append(out, v.recordContact(now, from, p.Name, p.Incarnation, p.Digest)...)
}

// recordContact handles a sign of life from a member. If the member is unknown or has a newer incarnation, the views
// are exchanged; if it is believed dead or has an older incarnation, it is told, so that it can refute that. The
// digests of neighbours are compared.
func (v *View) recordContact(now time.Time, from, name string, incarnation int64, digest uint64) []Envelope {
	e, known := v.entries[name]
	if !known || incarnation > e.member.Incarnation {
		return []Envelope{{To: from, Message: Sync{Members: v.allMembers(), Reply: true}}}
	}
	if e.member.State == Dead || incarnation < e.member.Incarnation {
		return []Envelope{{To: from, Message: News{Members: []Member{e.member}}}}
	}
	e.lastHeard = now
	if !slices.Contains(v.neighbourNames(), name) {
		return nil
	}
	return v.syncIfDifferent(now, from, e, digest)
}

// syncIfDifferent sends the whole view if the digests have differed for longer than updates take to spread.
func (v *View) syncIfDifferent(now time.Time, from string, e *entry, digest uint64) []Envelope {
	if digest == v.digest {
		e.differsSince = time.Time{}
		return nil
	}
	if e.differsSince.IsZero() {
		e.differsSince = now
	}
	settled := now.Sub(e.differsSince) > digestMismatchTimeout && now.Sub(v.changedAt) > digestMismatchTimeout
	if !settled || now.Sub(e.syncedAt) < minSyncInterval {
		return nil
	}
	e.syncedAt = now
	return []Envelope{{To: from, Message: Sync{Members: v.allMembers(), Reply: true}}}
}

// SpreadEndpoint records until when an endpoint takes no new work and passes it on, unless this extends the known time
// by less than minLeavingExtension.
func (v *View) SpreadEndpoint(now time.Time, from string, message EndpointNews) []Envelope {
	if message.UntilMs < v.leavingUntil[message.Endpoint]+minLeavingExtension.Milliseconds() {
		return nil
	}
	for address, until := range v.leavingUntil {
		if until < now.UnixMilli() {
			delete(v.leavingUntil, address)
		}
	}
	v.leavingUntil[message.Endpoint] = message.UntilMs
	v.version++
	var out []Envelope
	for _, address := range v.neighbourAddresses(now) {
		if address != from {
			out = append(out, Envelope{To: address, Message: message})
		}
	}
	return out
}

// LeavingEndpoints returns the addresses of the endpoints that take no new work at present, sorted.
func (v *View) LeavingEndpoints(now time.Time) []string {
	var addresses []string
	for address, until := range v.leavingUntil {
		if until > now.UnixMilli() {
			addresses = append(addresses, address)
		}
	}
	sort.Strings(addresses)
	return addresses
}

func (v *View) receiveConfirm(now time.Time, from string, c Confirm) []Envelope {
	age := int64(-1)
	if e, ok := v.entries[c.Name]; ok && !e.lastHeard.IsZero() {
		age = now.Sub(e.lastHeard).Milliseconds()
	}
	return []Envelope{{To: from, Message: Heard{Name: c.Name, AgoMs: age}}}
}

func (v *View) receiveHeard(now time.Time, h Heard) {
	e, ok := v.entries[h.Name]
	if ok && h.AgoMs >= 0 && h.AgoMs < suspectAfter.Milliseconds() {
		e.confirmedAt = now
	}
}

// receiveUpdates applies updates on members and passes on those that are new.
func (v *View) receiveUpdates(now time.Time, from string, members []Member) []Envelope {
	var accepted []Member
	for _, m := range members {
		if m.Name == v.self.Name {
			accepted = append(accepted, v.refute(m)...)
			continue
		}
		if !v.apply(now, m) {
			continue
		}
		accepted = append(accepted, m)
		if m.State == Dead {
			v.reportedDeaths = append(v.reportedDeaths, now)
		}
	}
	if len(accepted) == 0 {
		return nil
	}
	v.markChanged(now)
	return v.queueUpdates(now, accepted, from)
}

// refute answers a false update on this node with a higher incarnation, which replaces it everywhere.
func (v *View) refute(claim Member) []Member {
	if !claim.supersedes(v.self) {
		return nil
	}
	newer := v.self
	newer.Incarnation = claim.Incarnation + 1
	v.setSelf(newer)
	return []Member{v.self}
}

func (v *View) apply(now time.Time, m Member) bool {
	e, known := v.entries[m.Name]
	if known && !m.supersedes(e.member) {
		return false
	}
	if !known && m.State == Dead {
		return false
	}
	if !known {
		e = &entry{}
		v.entries[m.Name] = e
	}
	v.set(e, m)
	e.lastHeard = now
	e.diedAt = now
	return true
}

// syncAnswer returns the members to send to a node that requests a view: all of them, or a few if it knows no other
// member yet. When a fleet starts, all nodes ask the same seeds, whose links cannot carry the whole view of a large
// fleet for each node.
func (v *View) syncAnswer(now time.Time, request Sync) []Member {
	v.rebuildRing(now)
	// Besides the introduced members, the ring holds this node and possibly the requesting one.
	if len(request.Members) != 1 || len(v.ring) < introducedMembers+2 {
		return v.allMembers()
	}
	return append(v.successors(request.Members[0].Name), v.self)
}

// requestFullView requests the whole view from a member that a seed introduced, from a different one after each seed's
// answer.
func (v *View) requestFullView(from string, answer Sync) []Envelope {
	if len(answer.Members) != introducedMembers+1 || v.introductionSyncs >= contactsPerRound {
		return nil
	}
	introduced := answer.Members[v.introductionSyncs]
	v.introductionSyncs++
	if introduced.Address == from || introduced.Name == v.self.Name {
		return nil
	}
	return []Envelope{{To: introduced.Address, Message: Sync{Members: v.allMembers(), Reply: true}}}
}

func (v *View) allMembers() []Member {
	all := []Member{v.self}
	for _, e := range v.entries {
		all = append(all, e.member)
	}
	return all
}
