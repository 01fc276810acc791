package chivequarantine

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivehealth"
	"chivedrift/chivemember"
	"chivedrift/chiverequest"
	"chivedrift/chiveroute"
	"chivedrift/chivewire"

	"github.com/cespare/xxhash/v2"
)

// Reports are gossiped: a node sends new reports to its peers, and each peer forwards those that it did not know yet.
// In a large fleet the peers are 1, 2, 4, ... places away in hash order, so that a report reaches all nodes in at most
// as many hops as the fleet size has binary digits. Digests repair lost messages; none are sent while there is nothing
// to report.
//
// In a fleet too large for all nodes to be peers of each other, crashes are broadcast only once a second endpoint has
// crashed while running the request. A single crash is weak evidence, and an outage of part of the engines causes
// thousands of them. It is sent to the request's collectors only, which broadcast once they know of two.

const (
	// broadcastThreshold is how many endpoints must have crashed while running a request before a large fleet broadcasts
	// the crashes to all nodes.
	broadcastThreshold = 2
	// collectorCount is how many nodes collect the crashes of a request, so that the loss of one is tolerated.
	collectorCount = 2
)

// isBroadcast reports whether the crashes of a request are sent to all nodes. The caller must hold s.mu.
func (s *Service) isBroadcast(content chiverequest.Fingerprint) bool {
	return len(s.members) <= chivemember.AllPartnersUpTo || s.registry.Endpoints(content) >= broadcastThreshold
}

// sendCrash sends a crash that this node detected to all peers or to the collectors. The caller must hold s.mu.
func (s *Service) sendCrash(now time.Time, c Crash, wasBroadcast bool) {
	if s.isBroadcast(c.Content) {
		s.enqueue(s.unsentCrashes(c.Content, []Crash{c}, wasBroadcast), nil)
		return
	}
	kind, body := reports{class: classOf(c.Content), crashes: []Crash{c}}.message(now)
	s.sendToCollectors(c.Content, kind, body)
}

// unsentCrashes returns the crashes of a suspect that are to be broadcast after some were added. Of a part, on which there
// may be many, these are the added ones alone if the others have been broadcast before. The caller must hold s.mu.
func (s *Service) unsentCrashes(content chiverequest.Fingerprint, added []Crash, wasBroadcast bool) []Crash {
	if content.IsPart() && wasBroadcast {
		return added
	}
	return s.registry.CrashesOf(content)
}

// enqueue queues crashes and answers for the peers. The caller must hold s.mu.
func (s *Service) enqueue(crashes []Crash, answers []Answer) {
	for _, c := range crashes {
		r := &s.pending.reports[classOf(c.Content)]
		r.crashes = append(r.crashes, c)
	}
	for _, a := range answers {
		r := &s.pending.reports[classOf(a.Content)]
		r.answers = append(r.answers, a)
	}
	s.wakeSender()
}

// addAlive records that an endpoint was alive at the given time. If that refutes a crash, it is sent to all nodes that
// may have received the crash from this node. The caller must hold s.mu.
func (s *Service) addAlive(now time.Time, endpoint string, at time.Time, source string) {
	contents := s.registry.AddAlive(endpoint, at)
	if len(contents) == 0 {
		return
	}
	chiveevent.CrashRefuted.Log(context.Background(), s.options.Logger, slog.String("endpoint", endpoint), slog.String("by", source))
	report := AliveReport{Endpoint: endpoint, AgeMs: now.Sub(at).Milliseconds()}
	s.pending.alive = append(s.pending.alive, report)
	s.wakeSender()
	if len(s.members) <= chivemember.AllPartnersUpTo {
		return
	}
	for _, content := range contents {
		s.sendToCollectors(content, chivewire.KindEndpointAlive, AliveUpdate{[]AliveReport{report}})
	}
}

// sendToCollectors sends a message to the nodes that collect the crashes of a request. The caller must hold s.mu.
func (s *Service) sendToCollectors(content chiverequest.Fingerprint, kind chivewire.Kind, body any) {
	ranked := chiveroute.Ranked("ends/"+string(content), "", s.members)
	for _, m := range ranked[:min(collectorCount, len(ranked))] {
		if m.Address != s.options.Mesh.Self() {
			s.send(m.Address, kind, body)
		}
	}
}

// enqueueFailure queues the failure of an endpoint for the peers. The caller must hold s.mu.
func (s *Service) enqueueFailure(report FailureReport) {
	s.pending.failures = append(s.pending.failures, report)
	s.wakeSender()
}

func (s *Service) wakeSender() {
	if s.pending.isEmpty() {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
		// A wake-up is already pending.
	}
}

// flush sends all queued reports to the peers.
func (s *Service) flush(now time.Time) {
	s.mu.Lock()
	pending, peers := s.pending, s.peers
	s.pending = newOutgoing()
	s.mu.Unlock()
	for _, p := range peers {
		for _, r := range pending.reports {
			if !r.isEmpty() {
				kind, body := r.message(now)
				s.send(p, kind, body)
			}
		}
		if len(pending.alive) > 0 {
			s.send(p, chivewire.KindEndpointAlive, AliveUpdate{Endpoints: pending.alive})
		}
		for _, f := range pending.failures {
			s.send(p, chivewire.KindEndpointFailure, f)
		}
	}
}

// receiveReports applies a peer's reports, and passes on which endpoints crashed.
func (s *Service) receiveReports(now time.Time, from string, received reports) {
	for _, c := range s.applyReports(now, from, received) {
		s.onCrash(chivehealth.Failure{Endpoint: c.Endpoint, FailureDomain: c.FailureDomain, Evidence: chivehealth.EvidenceReported, At: c.At})
	}
}

// applyReports applies a peer's reports, forwards those that are new, and returns the new crashes.
func (s *Service) applyReports(now time.Time, from string, received reports) (newCrashes []Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := make(map[chiverequest.Fingerprint][]Crash)
	wasBroadcast := make(map[chiverequest.Fingerprint]bool)
	refuted := make(map[string]bool)
	for _, c := range received.crashes {
		if s.registry.IsRefuted(c) {
			refuted[c.Endpoint] = true
		}
		if _, seen := added[c.Content]; !seen {
			wasBroadcast[c.Content] = s.isBroadcast(c.Content)
		}
		if s.registry.AddCrash(now, c) {
			added[c.Content] = append(added[c.Content], c)
			newCrashes = append(newCrashes, c)
		}
	}
	for content, crashes := range added {
		if s.isBroadcast(content) {
			s.enqueue(s.unsentCrashes(content, crashes, wasBroadcast[content]), nil)
		}
	}
	for _, a := range received.answers {
		if s.registry.AddAnswer(now, a) {
			s.enqueue(nil, []Answer{a})
		}
	}
	for content := range added {
		s.exonerate(now, content)
	}
	s.decide()
	s.sendRefutations(now, from, refuted)
	if received.full {
		s.sendMissing(now, from, received)
	}
	return newCrashes
}

// sendRefutations tells a peer which of the endpoints that it reported as crashed are alive. The caller must hold s.mu.
func (s *Service) sendRefutations(now time.Time, to string, endpoints map[string]bool) {
	var update AliveUpdate
	for e := range endpoints {
		update.Endpoints = append(update.Endpoints, AliveReport{Endpoint: e, AgeMs: now.Sub(s.registry.AliveAt(e)).Milliseconds()})
	}
	if len(update.Endpoints) > 0 {
		s.send(to, chivewire.KindEndpointAlive, update)
	}
}

// receiveAlive records which endpoints answered after their reported crashes, and forwards what refutes a known crash.
func (s *Service) receiveAlive(now, sentAt time.Time, from string, update AliveUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range update.Endpoints {
		s.addAlive(now, r.Endpoint, ago(sentAt, r.AgeMs), from)
	}
	s.decide()
}

// sendMissing replies to a peer's full state with the reports that the peer lacks. The caller must hold s.mu.
func (s *Service) sendMissing(now time.Time, to string, remote reports) {
	known := make(map[chiverequest.Fingerprint][]Crash)
	for _, c := range remote.crashes {
		known[c.Content] = append(known[c.Content], c)
	}
	own := s.fullState(remote.class)
	own.crashes = slices.DeleteFunc(own.crashes, func(c Crash) bool { return slices.ContainsFunc(known[c.Content], c.isSame) })
	own.full = false
	if len(own.crashes) > 0 || len(own.answers) > len(remote.answers) {
		kind, body := own.message(now)
		s.send(to, kind, body)
	}
}

// broadcastCrashes returns the crashes of a class that are sent to all nodes. The caller must hold s.mu.
func (s *Service) broadcastCrashes(class class) []Crash {
	return slices.DeleteFunc(s.registry.Crashes(), func(c Crash) bool { return classOf(c.Content) != class || !s.isBroadcast(c.Content) })
}

// fullState returns all reports of a class that are sent to all nodes. The caller must hold s.mu.
func (s *Service) fullState(class class) reports {
	answers := slices.DeleteFunc(s.registry.Answers(), func(a Answer) bool { return classOf(a.Content) != class })
	return reports{class: class, crashes: s.broadcastCrashes(class), answers: answers, full: true}
}

// checksum is equal on nodes that know the same broadcast crashes of a class, and 0 if there are none. The caller must
// hold s.mu.
func (s *Service) checksum(class class) uint64 {
	sum := uint64(0)
	for _, c := range s.broadcastCrashes(class) {
		sum ^= xxhash.Sum64String(string(c.Content) + c.Reporter + strconv.FormatInt(c.Number, 10))
	}
	return sum
}

// receiveDigest sends the full state of a class to a peer whose digest differs.
func (s *Service) receiveDigest(now time.Time, from string, class class, sum uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checksum(class) != sum {
		kind, body := s.fullState(class).message(now)
		s.send(from, kind, body)
	}
}

// maintain drops expired entries and, if there are any crashes, sends a digest to the next peer. Peers take turns, so
// that each receives a digest within a bounded time.
func (s *Service) maintain(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Forget(now)
	s.decide()
	s.expireProbes(now)
	s.expirePermits(now)
	s.failures.expire(now)
	if len(s.peers) == 0 {
		return
	}
	s.peerIndex++
	for class := range classCount {
		if sum := s.checksum(class); sum != 0 {
			kind, body := digestMessage(class, sum)
			s.send(s.peers[s.peerIndex%len(s.peers)], kind, body)
		}
	}
}

// send passes a message to the mesh; the next digest makes up for a lost one.
func (s *Service) send(to string, kind chivewire.Kind, body any) {
	_ = s.options.Mesh.Send(to, kind, body)
}
