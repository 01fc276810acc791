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

// What a node learns goes to its peers by distance, and from each that did not know it to its own: at most as many hops as the size of the fleet has
// binary digits. Digests repair what is lost, and cost nothing while nothing is known.
//
// In a fleet in which not all nodes are peers of each other that is so from the second endpoint on that crashed under a request. A single crash says little yet, and when a part of the
// engines crashes there are thousands of them; it goes to the request's collectors alone, which broadcast once they know of two.

const (
	// shareFrom is how many endpoints have to have crashed under a request for all nodes to receive them in a larger fleet.
	shareFrom = 2
	// collectors is how many nodes collect the crashes under a request, so that one of them may be gone.
	collectors = 2
)

// isShared reports whether all nodes receive the crashes under a request; the caller holds the lock.
func (s *Service) isShared(content chiverequest.Fingerprint) bool {
	return len(s.members) <= chivemember.AllPartnersUpTo || s.register.Endpoints(content) >= shareFrom
}

// reportCrash sends a crash that this node found; the caller holds the lock.
func (s *Service) reportCrash(now time.Time, c Crash) {
	if s.isShared(c.Content) {
		s.enqueue(Update{Crashes: s.reportsOf(now, c.Content)})
		return
	}
	s.sendToCollectors(c.Content, chivewire.KindCrashUpdate, Update{Crashes: []CrashReport{newCrashReport(now, c)}})
}

// reportsOf returns all that is known of the crashes under a request; the caller holds the lock.
func (s *Service) reportsOf(now time.Time, content chiverequest.Fingerprint) []CrashReport {
	var reports []CrashReport
	for _, c := range s.register.CrashesOf(content) {
		reports = append(reports, newCrashReport(now, c))
	}
	return reports
}

// outgoing is what the peers have not been sent yet.
type outgoing struct {
	update   Update
	alive    []AliveReport
	failures []FailureReport
}

func (o *outgoing) isEmpty() bool {
	return len(o.update.Crashes)+len(o.update.Answers)+len(o.alive)+len(o.failures) == 0
}

// enqueue queues crashes and answers for the peers; the caller holds the lock.
func (s *Service) enqueue(update Update) {
	s.pending.update.Crashes = append(s.pending.update.Crashes, update.Crashes...)
	s.pending.update.Answers = append(s.pending.update.Answers, update.Answers...)
	s.wakeSender()
}

// refute takes that an endpoint was alive at a time. Where that refutes a crash, whoever has received the crash from here is sent that; the caller
// holds the lock.
func (s *Service) refute(now time.Time, endpoint string, at time.Time, by string) {
	contents := s.register.AddAlive(endpoint, at)
	if len(contents) == 0 {
		return
	}
	chiveevent.CrashRefuted.Log(context.Background(), s.o.Logger, slog.String("endpoint", endpoint), slog.String("by", by))
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

// sendToCollectors sends a message to the nodes that collect the crashes under a request; the caller holds the lock.
func (s *Service) sendToCollectors(content chiverequest.Fingerprint, kind chivewire.Kind, body any) {
	ranked := chiveroute.Ranked("ends/"+string(content), "", s.members)
	for _, m := range ranked[:min(collectors, len(ranked))] {
		if m.Address != s.o.Mesh.Self() {
			s.send(m.Address, kind, body)
		}
	}
}

// enqueueFailure queues the failure of an endpoint for the peers; the caller holds the lock.
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
		// The sender is about to run anyway.
	}
}

// flush sends the peers what is queued.
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

// receiveUpdate takes what a peer knows, and forwards what is new.
func (s *Service) receiveUpdate(now time.Time, from string, update Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := make(map[chiverequest.Fingerprint]bool)
	refuted := make(map[string]bool)
	for _, r := range update.Crashes {
		c := r.crash(now)
		if s.register.IsRefuted(c) {
			refuted[c.Endpoint] = true
		}
		if s.register.AddCrash(now, c) {
			added[r.Content] = true
		}
	}
	var forward Update
	for content := range added {
		if s.isShared(content) {
			forward.Crashes = append(forward.Crashes, s.reportsOf(now, content)...)
		}
	}
	for _, r := range update.Answers {
		if s.register.AddAnswer(now, r.answer(now)) {
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

// sendRefutations sends a peer which of the endpoints that it reported as crashed are alive; the caller holds the lock.
func (s *Service) sendRefutations(now time.Time, to string, endpoints map[string]bool) {
	var update AliveUpdate
	for e := range endpoints {
		update.Endpoints = append(update.Endpoints, AliveReport{Endpoint: e, AgeMs: now.Sub(s.register.AliveAt(e)).Milliseconds()})
	}
	if len(update.Endpoints) > 0 {
		s.send(to, chivewire.KindEndpointAlive, update)
	}
}

// receiveAlive takes which endpoints answered after their reported crashes, and forwards what is new.
func (s *Service) receiveAlive(now time.Time, from string, update AliveUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range update.Endpoints {
		s.refute(now, r.Endpoint, ago(now, r.AgeMs), from)
	}
	s.decide()
}

// sendMissing sends a peer that has sent its full state what it lacks; the caller holds the lock.
func (s *Service) sendMissing(now time.Time, to string, theirs Update) {
	known := make(map[chiverequest.Fingerprint][]Crash)
	for _, r := range theirs.Crashes {
		known[r.Content] = append(known[r.Content], r.crash(now))
	}
	own := s.fullState(now)
	own.Crashes = slices.DeleteFunc(own.Crashes, func(r CrashReport) bool { return slices.ContainsFunc(known[r.Content], r.crash(now).isSame) })
	own.Full = false
	if len(own.Crashes) > 0 || len(own.Answers) > len(theirs.Answers) {
		s.send(to, chivewire.KindCrashUpdate, own)
	}
}

// shared returns the crashes that all nodes receive; the caller holds the lock.
func (s *Service) shared() []Crash {
	return slices.DeleteFunc(s.register.Crashes(), func(c Crash) bool { return !s.isShared(c.Content) })
}

// fullState is all that this node knows and others are to know; the caller holds the lock.
func (s *Service) fullState(now time.Time) Update {
	update := Update{Full: true}
	for _, c := range s.shared() {
		update.Crashes = append(update.Crashes, newCrashReport(now, c))
	}
	for _, a := range s.register.Answers() {
		update.Answers = append(update.Answers, newAnswerReport(now, a))
	}
	return update
}

// sum is the same for two nodes that know the same crashes, and 0 for one that knows none; the caller holds the lock.
func (s *Service) sum() uint64 {
	sum := uint64(0)
	for _, c := range s.shared() {
		sum ^= xxhash.Sum64String(string(c.Content) + c.Reporter + strconv.FormatInt(c.Number, 10))
	}
	return sum
}

// receiveDigest sends the full state to a peer that knows something else.
func (s *Service) receiveDigest(now time.Time, from string, theirs Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sum() != theirs.Sum {
		s.send(from, chivewire.KindCrashUpdate, s.fullState(now))
	}
}

// tend forgets what is old, and sends a digest to the next peer when something is known: in turn, so that each peer gets one within a bounded time.
func (s *Service) tend(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.register.Forget(now)
	s.decide()
	s.forgetProbes(now)
	s.failures.forget(now)
	sum := s.sum()
	if sum == 0 || len(s.peers) == 0 {
		return
	}
	s.turn++
	s.send(s.peers[s.turn%len(s.peers)], chivewire.KindCrashDigest, Digest{Sum: sum})
}

// send passes a message to the mesh; a lost one is repaired by the next digest.
func (s *Service) send(to string, kind chivewire.Kind, body any) {
	_ = s.o.Mesh.Send(to, kind, body)
}
