package chivequarantine

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"chivedrift/chiveevent"
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
func (s *Service) sendCrash(now time.Time, c Crash) {
	if s.isBroadcast(c.Content) {
		s.enqueue(Update{Crashes: s.crashReports(now, c.Content)})
		return
	}
	s.sendToCollectors(c.Content, chivewire.KindCrashUpdate, Update{Crashes: []CrashReport{newCrashReport(now, c)}})
}

// crashReports returns all known crashes of a request. The caller must hold s.mu.
func (s *Service) crashReports(now time.Time, content chiverequest.Fingerprint) []CrashReport {
	var reports []CrashReport
	for _, c := range s.registry.CrashesOf(content) {
		reports = append(reports, newCrashReport(now, c))
	}
	return reports
}

// outgoing holds the reports that have not been sent to the peers yet.
type outgoing struct {
	update   Update
	alive    []AliveReport
	failures []FailureReport
}

func (o *outgoing) isEmpty() bool {
	return len(o.update.Crashes)+len(o.update.Answers)+len(o.alive)+len(o.failures) == 0
}

// enqueue queues crashes and answers for the peers. The caller must hold s.mu.
func (s *Service) enqueue(update Update) {
	s.pending.update.Crashes = append(s.pending.update.Crashes, update.Crashes...)
	s.pending.update.Answers = append(s.pending.update.Answers, update.Answers...)
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
func (s *Service) flush() {
	s.mu.Lock()
	pending, peers := s.pending, s.peers
	s.pending = outgoing{}
	s.mu.Unlock()
	for _, p := range peers {
		if len(pending.update.Crashes)+len(pending.update.Answers) > 0 {
			s.send(p, chivewire.KindCrashUpdate, pending.update)
		}
		if len(pending.alive) > 0 {
			s.send(p, chivewire.KindEndpointAlive, AliveUpdate{Endpoints: pending.alive})
		}
		for _, f := range pending.failures {
			s.send(p, chivewire.KindEndpointFailure, f)
		}
	}
}

// receiveUpdate applies a peer's reports, and forwards those that are new.
func (s *Service) receiveUpdate(now time.Time, from string, update Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := make(map[chiverequest.Fingerprint]bool)
	refuted := make(map[string]bool)
	for _, r := range update.Crashes {
		c := r.crash(now)
		if s.registry.IsRefuted(c) {
			refuted[c.Endpoint] = true
		}
		if s.registry.AddCrash(now, c) {
			added[r.Content] = true
		}
	}
	var forward Update
	for content := range added {
		if s.isBroadcast(content) {
			forward.Crashes = append(forward.Crashes, s.crashReports(now, content)...)
		}
	}
	for _, r := range update.Answers {
		if s.registry.AddAnswer(now, r.answer(now)) {
			forward.Answers = append(forward.Answers, r)
		}
	}
	s.enqueue(forward)
	for content := range added {
		s.exonerate(now, content)
	}
	s.decide()
	s.sendRefutations(now, from, refuted)
	if update.Full {
		s.sendMissing(now, from, update)
	}
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
func (s *Service) receiveAlive(now time.Time, from string, update AliveUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range update.Endpoints {
		s.addAlive(now, r.Endpoint, ago(now, r.AgeMs), from)
	}
	s.decide()
}

// sendMissing replies to a peer's full state with the reports that the peer lacks. The caller must hold s.mu.
func (s *Service) sendMissing(now time.Time, to string, remote Update) {
	known := make(map[chiverequest.Fingerprint][]Crash)
	for _, r := range remote.Crashes {
		known[r.Content] = append(known[r.Content], r.crash(now))
	}
	own := s.fullState(now)
	own.Crashes = slices.DeleteFunc(own.Crashes, func(r CrashReport) bool { return slices.ContainsFunc(known[r.Content], r.crash(now).isSame) })
	own.Full = false
	if len(own.Crashes) > 0 || len(own.Answers) > len(remote.Answers) {
		s.send(to, chivewire.KindCrashUpdate, own)
	}
}

// broadcastCrashes returns the crashes that are sent to all nodes. The caller must hold s.mu.
func (s *Service) broadcastCrashes() []Crash {
	return slices.DeleteFunc(s.registry.Crashes(), func(c Crash) bool { return !s.isBroadcast(c.Content) })
}

// fullState returns all reports of this node that are sent to all nodes. The caller must hold s.mu.
func (s *Service) fullState(now time.Time) Update {
	update := Update{Full: true}
	for _, c := range s.broadcastCrashes() {
		update.Crashes = append(update.Crashes, newCrashReport(now, c))
	}
	for _, a := range s.registry.Answers() {
		update.Answers = append(update.Answers, newAnswerReport(now, a))
	}
	return update
}

// checksum is equal on nodes that know the same broadcast crashes, and 0 if there are none. The caller must hold s.mu.
func (s *Service) checksum() uint64 {
	sum := uint64(0)
	for _, c := range s.broadcastCrashes() {
		sum ^= xxhash.Sum64String(string(c.Content) + c.Reporter + strconv.FormatInt(c.Number, 10))
	}
	return sum
}

// receiveDigest sends the full state to a peer whose digest differs.
func (s *Service) receiveDigest(now time.Time, from string, remote Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checksum() != remote.Sum {
		s.send(from, chivewire.KindCrashUpdate, s.fullState(now))
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
	s.failures.expire(now)
	sum := s.checksum()
	if sum == 0 || len(s.peers) == 0 {
		return
	}
	s.peerIndex++
	s.send(s.peers[s.peerIndex%len(s.peers)], chivewire.KindCrashDigest, Digest{Sum: sum})
}

// send passes a message to the mesh; the next digest makes up for a lost one.
func (s *Service) send(to string, kind chivewire.Kind, body any) {
	_ = s.options.Mesh.Send(to, kind, body)
}
