package chiveevacuation

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "evacuation"

const (
	// resendInterval is how often a node sends its state to the next of its peers. That repairs lost messages and brings
	// newly started nodes up to date.
	resendInterval = 500 * time.Millisecond
	// resendDuration is how long a node continues to do so after the last evacuation was revoked.
	resendDuration = 10 * time.Minute
	inboxSize      = 64
)

// Decoder decodes a record of the operators' topic; ok is false if the record is not about an evacuation.
type Decoder func(record chivelog.KeyedRecord) (r Record, ok bool)

// Options are the dependencies of the service.
type Options struct {
	Mesh   *chivewire.Mesh
	Decode Decoder
	// Running returns the number of this node's requests in flight by the failure domain of their endpoint; nil if that is
	// not known.
	Running func() map[string]int
	Logger  *slog.Logger
}

// Service maintains the set of evacuated failure domains, from the records in the store and from peers.
type Service struct {
	options    Options
	inbox      *chivewire.Inbox
	goroutines chivekernel.Duties
	listeners  []func(domains []string)

	mu sync.Mutex
	// state is as of the latest position in the operators' topic; retained and origins are what it does not say.
	state    State
	retained retained
	origins  origins
	ends     ends
	// evacuated are the failure domains that the listeners have been called with, lost those of them whose records the store
	// has lost.
	evacuated []string
	lost      []string
	startup   startup
	// changedAt is when the set of evacuated domains last changed on this node; zero if it never did.
	changedAt time.Time
	peers     []string
	peerIndex int
}

// New returns a service without any evacuations.
func New(o Options) *Service {
	s := &Service{options: o, inbox: chivewire.NewInbox(o.Mesh, inboxSize), state: newState(), retained: make(retained), origins: make(origins), ends: make(ends)}
	chivewire.Queue[State](s.inbox, chivewire.KindEvacuations)
	chivewire.Queue[Details](s.inbox, chivewire.KindEvacuationDetails)
	chivewire.Queue[Ask](s.inbox, chivewire.KindEvacuationsAsk)
	return s
}

// OnChange adds a callback that is called with the evacuated failure domains when they change. It must not block, and
// must be added before Start.
func (s *Service) OnChange(handle func(domains []string)) { s.listeners = append(s.listeners, handle) }

// SetMembers sets the members of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) {
	peers := chivemember.Partners(s.options.Mesh.Self(), chivemember.AddressesByHash(members))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers, s.peerIndex = peers, chivemember.TurnAfter(s.peerIndex, s.peers, peers)
}

// Replace applies a snapshot of the operators' topic: evacuations of its era that are not in the snapshot are revoked.
func (s *Service) Replace(snapshot chivelog.KeyedBatch) {
	records := s.decode(snapshot.Records)
	state := newState().apply(records)
	state.Position = max(state.Position, snapshot.Next-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startup.recordSnapshot(snapshot.Next)
	s.advance(state)
	s.adoptRecords(s.retained.withoutOldRemovals(records), state)
}

// Apply applies further records of the operators' topic.
func (s *Service) Apply(records []chivelog.KeyedRecord) {
	decoded := s.decode(records)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adoptRecords(decoded, s.state.apply(decoded))
}

// adoptRecords adopts the state after some records from the store; the caller holds the lock.
func (s *Service) adoptRecords(records []Record, state State) {
	s.origins.record(time.Now(), records)
	s.advance(state)
	for _, r := range records {
		s.retained.supersede(r)
	}
	s.update("store")
}

func (s *Service) decode(records []chivelog.KeyedRecord) []Record {
	var decoded []Record
	for _, record := range records {
		if r, ok := s.options.Decode(record); ok {
			decoded = append(decoded, r)
		}
	}
	return decoded
}

// advance replaces the state with one of a later position; the caller holds the lock.
func (s *Service) advance(state State) {
	if s.state.isOlderThan(state) {
		s.retained.advance(s.state, state)
		if s.state.Position.Era() < state.Position.Era() {
			s.ends.record(s.state)
		}
		s.state = state
	}
}

// supersedeEnded supersedes the retained evacuations that had ended in their own era; the caller holds the lock.
func (s *Service) supersedeEnded(statuses []Status) {
	for _, status := range statuses {
		if superseding, ok := s.ends.superseding(status); ok {
			s.retained.set(superseding)
		}
	}
}

// update calls the listeners and sends the state to the peers if the evacuated domains have changed; the caller holds the
// lock.
func (s *Service) update(source string) {
	lost := s.retained.domains(s.state)
	if len(lost) > 0 && !slices.Equal(lost, s.lost) {
		chiveevent.EvacuationsRetained.Log(context.Background(), s.options.Logger, slog.Any("failure_domains", lost), slog.String("source", source),
			slog.Int64("era", s.state.Position.Era()))
	}
	s.lost = lost
	evacuated := slices.Sorted(slices.Values(slices.Concat(s.state.Domains, lost)))
	if slices.Equal(s.evacuated, evacuated) {
		return
	}
	s.evacuated = evacuated
	s.origins.prune(evacuated)
	s.changedAt = time.Now()
	chiveevent.DomainsEvacuated.Log(context.Background(), s.options.Logger, slog.Any("failure_domains", evacuated), slog.String("source", source),
		slog.Int64("offset", s.state.Position.Offset()))
	for _, handle := range s.listeners {
		handle(evacuated)
	}
	for _, p := range s.peers {
		s.send(p)
	}
}

// Start starts the exchange of states.
func (s *Service) Start(ctx context.Context) error {
	s.goroutines.Begin(ctx, s.run)
	return nil
}

// Stop stops the exchange of states.
func (s *Service) Stop(context.Context) error {
	s.goroutines.End()
	return nil
}

func (s *Service) run(ctx context.Context) {
	tick, askTick := time.NewTicker(resendInterval), time.NewTicker(askInterval)
	defer tick.Stop()
	defer askTick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.resend(now)
		case <-askTick.C:
			if s.askNext() {
				askTick.Stop()
			}
		case m := <-s.inbox.Ready():
			switch body := m.Body.(type) {
			case State:
				s.receive(m.From, body)
			case Details:
				s.receiveDetails(m.From, body)
			case Ask:
				s.answer(m.From)
			}
		}
	}
}

// resend sends the state to the next peer if any domain is evacuated or the set changed recently.
func (s *Service) resend(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isIdle := len(s.evacuated) == 0 && (s.changedAt.IsZero() || now.Sub(s.changedAt) >= resendDuration)
	if isIdle || len(s.peers) == 0 {
		return
	}
	s.peerIndex++
	s.send(s.peers[s.peerIndex%len(s.peers)])
}

// receive adopts a peer's state if that is newer; if it is older and differs, it replies with this node's state. The
// evacuations of a peer that is still in an earlier era of the store are retained as if this node had been there.
func (s *Service) receive(from string, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startup.known = true
	s.advance(state)
	if state.Position.Era() < s.state.Position.Era() {
		s.retained.advance(state, s.state)
		s.supersedeEnded(s.retained.statuses())
	}
	s.update(from)
	if state.isOlderThan(s.state) && !slices.Equal(state.Domains, s.state.Domains) {
		s.send(from)
	}
}

// send passes the state to the mesh; resend makes up for a lost message. The caller must hold s.mu.
func (s *Service) send(to string) {
	if details := s.details(); !details.isEmpty() {
		_ = s.options.Mesh.Send(to, chivewire.KindEvacuationDetails, details)
	}
	_ = s.options.Mesh.Send(to, chivewire.KindEvacuations, s.state)
}
