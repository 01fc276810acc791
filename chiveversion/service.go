package chiveversion

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivedistance"
	"chivedrift/chivekernel"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "versions"

const (
	// askInterval is how often a peer is asked while versions are unknown. Each round doubles the nodes that know them.
	askInterval = 150 * time.Millisecond
	// eagerRounds is how many rounds in a row may bring nothing before peers are asked every patientInterval only: as many as
	// versions need to reach all nodes of a large fleet. Nodes of earlier releases never answer.
	eagerRounds     = 20
	patientInterval = 5 * time.Second
	// maxAsked bounds the endpoints in one message.
	maxAsked = 1024
)

// Decoder returns the incarnation and the software version that a registration states; false if it states none.
type Decoder func(id string, data []byte) (incarnation chivedirectory.Incarnation, version string, ok bool)

// Ask asks a peer for the versions of endpoints, given by their incarnation keys.
type Ask struct {
	Incarnations []string
}

// Versions maps incarnation keys to the versions that the sender knows.
type Versions struct {
	Versions map[string]string
}

// Service keeps a Registry up to date with the store's records and the answers of peers.
type Service struct {
	stalls stalls

	registry *Registry
	decode   Decoder
	mesh     *chivewire.Mesh
	askNow   chan struct{}
	// readAge returns how long ago the store answered this node; negative means never.
	readAge func() time.Duration
	mu      sync.Mutex
	peers   []string
	// byHash holds the addresses of the members in the order by hash.
	byHash []string
	calls  *chivedistance.Calls[SoleAnswer]
	size   int
	peak   chivemember.PeakSize
	duties chivekernel.Duties
}

// New returns a service that knows no version; readAge returns how long ago the store answered this node, negative for
// never.
func New(mesh *chivewire.Mesh, decode Decoder, readAge func() time.Duration) *Service {
	s := &Service{
		registry: NewRegistry(), decode: decode, mesh: mesh, askNow: make(chan struct{}, 1), readAge: readAge, size: 1, calls: chivedistance.NewCalls[SoleAnswer](nil), peak: chivemember.NewPeakSize(time.Now()),
	}
	chivewire.Receive(mesh, chivewire.KindVersionsAsk, s.answer)
	chivewire.Receive(mesh, chivewire.KindVersions, s.learn)
	chivewire.Receive(mesh, chivewire.KindSoleAsk, s.respondSole)
	chivewire.Receive(mesh, chivewire.KindSoleAnswer, func(_ string, a SoleAnswer) { s.calls.Deliver(a.Number, a) })
	return s
}

// SetDistances sets the distances to the peers; it must be called before the first request.
func (s *Service) SetDistances(distances *chivedistance.Table) { s.calls.SetTable(distances) }

// Of returns the software version of an incarnation; empty if it is not known.
func (s *Service) Of(incarnation string) string { return s.registry.Of(incarnation) }

// Replace learns the versions in a snapshot of the store.
func (s *Service) Replace(snapshot chivelog.KeyedBatch) { s.Apply(snapshot.Records) }

// Apply learns the versions in records of the store.
func (s *Service) Apply(records []chivelog.KeyedRecord) {
	for _, r := range records {
		if incarnation, version, ok := s.decode(r.Key, r.Value); ok {
			s.registry.Learn(time.Now(), incarnation.Key(), version)
		}
	}
}

// ApplyEndpoints applies a change of the directory.
func (s *Service) ApplyEndpoints(diff chivedirectory.Diff) {
	for _, e := range diff.Gone {
		s.registry.Remove(time.Now(), e.Incarnation().Key())
	}
	for _, e := range diff.Changed {
		if !s.registry.Add(time.Now(), e.Incarnation().Key(), e.Pool) {
			s.signal()
		}
	}
}

// SetMembers applies a membership change.
func (s *Service) SetMembers(members []chivemember.Member) {
	peers := make([]string, 0, len(members))
	for _, m := range members {
		if m.State == chivemember.Alive && m.Address != s.mesh.Self() {
			peers = append(peers, m.Address)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers, s.size, s.byHash = peers, len(members), chivemember.AddressesByHash(members)
	s.peak.Set(time.Now(), len(members))
}

// Sole returns the version of all endpoints of a pool, including those that left lately; ok is false if there are
// several, or if this node may not know of one: it reads no store, has started a moment ago, is cut off or stood still.
func (s *Service) Sole(pool string) (version string, ok bool) {
	if !s.isCurrent() {
		return "", false
	}
	return s.registry.Sole(time.Now(), pool)
}

// isCurrent reports whether this node reads the store itself, is in touch with it and most of the fleet, and has not stood still
// since the store confirmed its view.
func (s *Service) isCurrent() bool {
	age := s.readAge()
	return age >= 0 && age <= maxReadAge && !s.isMinority() && s.stalls.isConfirmed()
}

// Several reports whether endpoints of a pool are known to have several versions, including those that left lately.
func (s *Service) Several(pool string) bool { return s.registry.Several(time.Now(), pool) }

// isMinority reports whether this node has lost at least half of the fleet.
func (s *Service) isMinority() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 2*s.size <= s.peak.Size() && s.peak.Size() > 1
}

// Start begins to ask peers for versions that are not known.
func (s *Service) Start(ctx context.Context) error {
	s.duties.Begin(ctx, s.askPeers, s.expire, s.stalls.watch)
	return nil
}

// Stop ends that.
func (s *Service) Stop(context.Context) error {
	s.duties.End()
	return nil
}

// Dump returns the versions of the endpoints that the directory lists.
func (s *Service) Dump() any { return s.registry.Live() }

func (s *Service) signal() {
	select {
	case s.askNow <- struct{}{}:
	default:
		// The next round is pending already.
	}
}

// askPeers asks peers while versions are unknown: eagerly after new endpoints were listed or a version was learnt.
func (s *Service) askPeers(ctx context.Context) {
	timer := time.NewTimer(askInterval)
	defer timer.Stop()
	for rounds := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-s.askNow:
			rounds = 0
		case <-timer.C:
		}
		rounds++
		interval := askInterval
		if !s.askPeer() || rounds > eagerRounds {
			interval = patientInterval
		}
		timer.Reset(interval)
	}
}

// askPeer asks one peer for the versions that are not known, and reports whether there are any. The peer may not know them
// either; the next round asks another one.
func (s *Service) askPeer() bool {
	unknown := s.registry.Unknown(maxAsked)
	s.mu.Lock()
	peers := s.peers
	s.mu.Unlock()
	if len(unknown) > 0 && len(peers) > 0 {
		_ = s.mesh.Send(peers[rand.IntN(len(peers))], chivewire.KindVersionsAsk, Ask{Incarnations: unknown})
	}
	return len(unknown) > 0
}

func (s *Service) answer(from string, ask Ask) {
	known := make(map[string]string)
	for _, incarnation := range ask.Incarnations[:min(len(ask.Incarnations), maxAsked)] {
		if version := s.registry.Of(incarnation); version != "" {
			known[incarnation] = version
		}
	}
	if len(known) > 0 {
		// The peer asks again if the answer is lost.
		_ = s.mesh.Send(from, chivewire.KindVersions, Versions{Versions: known})
	}
}

// learn records the versions that a peer knows. There may be more to ask for.
func (s *Service) learn(_ string, v Versions) {
	for incarnation, version := range v.Versions {
		s.registry.Learn(time.Now(), incarnation, version)
	}
	s.signal()
}

func (s *Service) expire(ctx context.Context) {
	chivekernel.Every(ctx, expiryInterval, s.registry.Expire)
}
