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
	// repeatEvery is how often a node sends its state to the next of its peers: that repairs lost messages and brings nodes up to date that start.
	repeatEvery = 500 * time.Millisecond
	// repeatFor is how long it does so after the last evacuation was taken back.
	repeatFor = 10 * time.Minute
	inboxSize = 64
)

// Decoder reads one of the operator's records; ok is false for one that is about something else.
type Decoder func(record chivelog.KeyedRecord) (r Record, ok bool)

// Options are the parts the service is made of.
type Options struct {
	Mesh   *chivewire.Mesh
	Decode Decoder
	Logger *slog.Logger
}

// Service keeps the state from the store's records and from peers.
type Service struct {
	o         Options
	inbox     *chivewire.Inbox
	duties    chivekernel.Duties
	listeners []func(domains []string)

	mu    sync.Mutex
	state State
	// changedAt is when the evacuated domains last changed here; zero while there have been none.
	changedAt time.Time
	peers     []string
	turn      int
}

// New returns a service that knows of no evacuation.
func New(o Options) *Service {
	s := &Service{o: o, inbox: chivewire.NewInbox(o.Mesh, inboxSize), state: newState()}
	chivewire.Queue[State](s.inbox, chivewire.KindEvacuations)
	return s
}

// OnChange adds a function that is called with the evacuated failure domains when they change; it must not block. All are added before Start.
func (s *Service) OnChange(handle func(domains []string)) { s.listeners = append(s.listeners, handle) }

// SetMembers takes a change of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) {
	peers := chivemember.Partners(s.o.Mesh.Self(), chivemember.AddressesByHash(members))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = peers
}

// Replace takes a snapshot of the operator's topic: what is not evacuated in it is not any more.
func (s *Service) Replace(snapshot chivelog.KeyedBatch) {
	fresh := newState().apply(s.decode(snapshot.Records))
	fresh.Position = max(fresh.Position, snapshot.Next-1)
	s.adopt(fresh, "store")
}

// Apply takes later records of the operator's topic.
func (s *Service) Apply(records []chivelog.KeyedRecord) {
	s.mu.Lock()
	next := s.state.apply(s.decode(records))
	s.mu.Unlock()
	s.adopt(next, "store")
}

func (s *Service) decode(records []chivelog.KeyedRecord) []Record {
	var decoded []Record
	for _, each := range records {
		if r, ok := s.o.Decode(each); ok {
			decoded = append(decoded, r)
		}
	}
	return decoded
}

// adopt takes a state that holds up to a later position, and sends it to the peers where it says something else.
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
	chiveevent.DomainsEvacuated.Log(context.Background(), s.o.Logger, slog.Any("failure_domains", state.Domains), slog.String("source", source),
		slog.Int64("offset", state.Position.Offset()))
	for _, handle := range s.listeners {
		handle(state.Domains)
	}
	for _, p := range s.peers {
		s.send(p)
	}
}

// Start begins to exchange states.
func (s *Service) Start(ctx context.Context) error {
	s.duties.Begin(ctx, s.run)
	return nil
}

// Stop ends that.
func (s *Service) Stop(context.Context) error {
	s.duties.End()
	return nil
}

func (s *Service) run(ctx context.Context) {
	tick := time.NewTicker(repeatEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.repeat(now)
		case m := <-s.inbox.Ready():
			if state, ok := m.Body.(State); ok {
				s.receive(m.From, state)
			}
		}
	}
}

// repeat sends the state to the next peer, while there is or was lately something to know.
func (s *Service) repeat(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isQuiet := len(s.state.Domains) == 0 && (s.changedAt.IsZero() || now.Sub(s.changedAt) >= repeatFor)
	if isQuiet || len(s.peers) == 0 {
		return
	}
	s.turn++
	s.send(s.peers[s.turn%len(s.peers)])
}

// receive takes a peer's state, or sends it this node's where that is newer.
func (s *Service) receive(from string, state State) {
	s.adopt(state, from)
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.isOlderThan(s.state) && !slices.Equal(state.Domains, s.state.Domains) {
		s.send(from)
	}
}

// send passes the state to the mesh; a lost message is repeated; the caller holds the lock.
func (s *Service) send(to string) {
	_ = s.o.Mesh.Send(to, chivewire.KindEvacuations, s.state)
}

// Dump returns the state.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Domains []string `json:"evacuated"`
		Offset  int64    `json:"offset"`
	}{s.state.Domains, s.state.Position.Offset()}
}
