package chivemember

import (
	"slices"
	"sort"
	"time"
)

// Receive takes a message from a peer and returns what to send.
func (v *View) Receive(now time.Time, from string, message any) []Envelope {
	switch m := message.(type) {
	case Probe:
		return v.receiveProbe(now, from, m)
	case Ack:
		return v.receiveWord(now, from, m.Name, m.Incarnation, m.Digest)
	case News:
		return v.learn(now, from, m.Members)
	case Confirm:
		return v.receiveConfirm(now, from, m)
	case Heard:
		v.receiveHeard(now, m)
	case EndpointNews:
		return v.SpreadEndpoint(now, from, m)
	case Sync:
		out := v.learn(now, from, m.Members)
		if m.Reply {
			return append(out, Envelope{To: from, Message: Sync{Members: v.answerTo(now, m)}})
		}
		return append(out, v.askForRest(from, m)...)
	}
	return nil
}

func (v *View) receiveProbe(now time.Time, from string, p Probe) []Envelope {
	out := []Envelope{{To: from, Message: Ack{Name: v.self.Name, Incarnation: v.self.Incarnation, Digest: v.digest}}}
	return append(out, v.receiveWord(now, from, p.Name, p.Incarnation, p.Digest)...)
}

// receiveWord notes that a member spoke, contradicts what it should not be and mends views that differ.
func (v *View) receiveWord(now time.Time, from, name string, incarnation int64, digest uint64) []Envelope {
	e, known := v.entries[name]
	if !known || incarnation > e.member.Incarnation {
		return []Envelope{{To: from, Message: Sync{Members: v.everybody(), Reply: true}}}
	}
	if e.member.State == Dead || incarnation < e.member.Incarnation {
		return []Envelope{{To: from, Message: News{Members: []Member{e.member}}}}
	}
	e.heard = now
	if !slices.Contains(v.neighbourNames(), name) {
		return nil
	}
	return v.compare(now, from, e, digest)
}

// compare sends the whole view where digests have differed for longer than news takes to travel.
func (v *View) compare(now time.Time, from string, e *entry, digest uint64) []Envelope {
	if digest == v.digest {
		e.differs = time.Time{}
		return nil
	}
	if e.differs.IsZero() {
		e.differs = now
	}
	settled := now.Sub(e.differs) > differAfter && now.Sub(v.changed) > differAfter
	if !settled || now.Sub(e.synced) < syncEvery {
		return nil
	}
	e.synced = now
	return []Envelope{{To: from, Message: Sync{Members: v.everybody(), Reply: true}}}
}

// SpreadEndpoint passes on that an endpoint leaves, once, and remembers it until it is over.
func (v *View) SpreadEndpoint(now time.Time, from string, news EndpointNews) []Envelope {
	if news.UntilMs < v.leaving[news.Endpoint]+endpointNewsGap.Milliseconds() {
		return nil
	}
	for name, until := range v.leaving {
		if until < now.UnixMilli() {
			delete(v.leaving, name)
		}
	}
	v.leaving[news.Endpoint] = news.UntilMs
	v.version++
	var out []Envelope
	for _, address := range v.neighbours(now) {
		if address != from {
			out = append(out, Envelope{To: address, Message: news})
		}
	}
	return out
}

// LeavingEndpoints returns the endpoints that take no new work at present.
func (v *View) LeavingEndpoints(now time.Time) []string {
	var names []string
	for name, until := range v.leaving {
		if until > now.UnixMilli() {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (v *View) receiveConfirm(now time.Time, from string, c Confirm) []Envelope {
	ago := int64(-1)
	if e, ok := v.entries[c.Name]; ok && !e.heard.IsZero() {
		ago = now.Sub(e.heard).Milliseconds()
	}
	return []Envelope{{To: from, Message: Heard{Name: c.Name, AgoMs: ago}}}
}

func (v *View) receiveHeard(now time.Time, h Heard) {
	e, ok := v.entries[h.Name]
	if ok && h.AgoMs >= 0 && h.AgoMs < suspectAfter.Milliseconds() {
		e.vouched = now
	}
}

// learn takes updates on members and passes on those that are new.
func (v *View) learn(now time.Time, from string, members []Member) []Envelope {
	var fresh []Member
	for _, m := range members {
		if m.Name == v.self.Name {
			fresh = append(fresh, v.refute(m)...)
			continue
		}
		if !v.take(now, m) {
			continue
		}
		fresh = append(fresh, m)
		if m.State == Dead {
			v.reported = append(v.reported, now)
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	v.touch(now)
	return v.spread(now, fresh, from)
}

// refute answers a false update on this node with a higher incarnation, which beats it everywhere.
func (v *View) refute(claim Member) []Member {
	if !claim.supersedes(v.self) {
		return nil
	}
	newer := v.self
	newer.Incarnation = claim.Incarnation + 1
	v.setSelf(newer)
	return []Member{v.self}
}

func (v *View) take(now time.Time, m Member) bool {
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
	e.heard = now
	e.died = now
	return true
}

// answerTo returns the members to send to one that asks for a view: all of them, or a few if it knows nobody yet. When a fleet starts, all of its
// nodes ask the same seeds, whose links cannot carry the whole view of a large fleet for each node.
func (v *View) answerTo(now time.Time, asked Sync) []Member {
	v.arrange(now)
	// Besides the members to introduce the ring holds this node, and possibly the asking one.
	if len(asked.Members) != 1 || len(v.ring) < introduced+2 {
		return v.everybody()
	}
	return append(v.around(asked.Members[0].Name), v.self)
}

// askForRest asks one of the members that a seed introduced for the whole view, another one after each seed's answer.
func (v *View) askForRest(from string, answer Sync) []Envelope {
	if len(answer.Members) != introduced+1 || v.introductions >= seedsContacted {
		return nil
	}
	of := answer.Members[v.introductions]
	v.introductions++
	if of.Address == from || of.Name == v.self.Name {
		return nil
	}
	return []Envelope{{To: of.Address, Message: Sync{Members: v.everybody(), Reply: true}}}
}

func (v *View) everybody() []Member {
	all := []Member{v.self}
	for _, e := range v.entries {
		all = append(all, e.member)
	}
	return all
}
