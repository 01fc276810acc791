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
	Logger *slog.Logger
}

// Service maintains the set of evacuated failure domains, from the records in the store and from peers.
type Service struct {
	options    Options
	inbox      *chivewire.Inbox
	goroutines chivekernel.Duties
	listeners  []func(domains []string)

	mu    sync.Mutex
	state State
	// changedAt is when the set of evacuated domains last changed on this node; zero if it never did.
	changedAt time.Time
	peers     []string
	peerIndex int
}

// New returns a service without any evacuations.
func New(o Options) *Service {
	s := &Service{options: o, inbox: chivewire.NewInbox(o.Mesh, inboxSize), state: newState()}
	chivewire.Queue[State](s.inbox, chivewire.KindEvacuations)
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

// Replace applies a snapshot of the operators' topic: evacuations that are not in the snapshot are revoked.
func (s *Service) Replace(snapshot chivelog.KeyedBatch) {
	state := newState().apply(s.decode(snapshot.Records))
	state.Position = max(state.Position, snapshot.Next-1)
	s.adopt(state, "store")
}

// Apply applies further records of the operators' topic.
func (s *Service) Apply(records []chivelog.KeyedRecord) {
	s.mu.Lock()
	state := s.state.apply(s.decode(records))
	s.mu.Unlock()
	s.adopt(state, "store")
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

// adopt replaces the state with one of a later position. If the evacuated domains differ, it calls the listeners and
// sends the state to the peers.
func (s *Service) adopt(state State, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.isOlderThan(state) {
		return
	}
	changed := !slices.Equal(s.state.Domains, state.Domains)
	s.state = state
	if !changed {
		return
	}
	s.changedAt = time.Now()
	chiveevent.DomainsEvacuated.Log(context.Background(), s.options.Logger, slog.Any("failure_domains", state.Domains), slog.String("source", source),
		slog.Int64("offset", state.Position.Offset()))
	for _, handle := range s.listeners {
		handle(state.Domains)
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
	tick := time.NewTicker(resendInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.resend(now)
		case m := <-s.inbox.Ready():
			if state, ok := m.Body.(State); ok {
				s.receive(m.From, state)
			}
		}
	}
}

// resend sends the state to the next peer if any domain is evacuated or the set changed recently.
func (s *Service) resend(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isIdle := len(s.state.Domains) == 0 && (s.changedAt.IsZero() || now.Sub(s.changedAt) >= resendDuration)
	if isIdle || len(s.peers) == 0 {
		return
	}
	s.peerIndex++
	s.send(s.peers[s.peerIndex%len(s.peers)])
}

// receive adopts a peer's state if that is newer; if it is older and differs, it replies with this node's state.
func (s *Service) receive(from string, state State) {
	s.adopt(state, from)
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.isOlderThan(s.state) && !slices.Equal(state.Domains, s.state.Domains) {
		s.send(from)
	}
}

// send passes the state to the mesh; resend makes up for a lost message. The caller must hold s.mu.
func (s *Service) send(to string) {
	_ = s.options.Mesh.Send(to, chivewire.KindEvacuations, s.state)
}

// Dump returns the state for the state dump.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Domains []string `json:"evacuated"`
		Offset  int64    `json:"offset"`
	}{s.state.Domains, s.state.Position.Offset()}
}
