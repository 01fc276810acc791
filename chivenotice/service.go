package chivenotice

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivemember"
	"chivedrift/chiverequest"
	"chivedrift/chivetime"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "notices"

// Message is a notice that a peer forwards.
type Message struct {
	// Endpoint is the key of the endpoint's incarnation, Address its address.
	Endpoint string
	Address  string
	Leaving  bool
	// RestMs is the remaining rest in milliseconds; 0 for none.
	RestMs int64
}

// WarmUp states to peers how long an endpoint stays cold.
type WarmUp struct {
	// Endpoint is the key of the endpoint's incarnation.
	Endpoint string
	// LeftMs is in milliseconds.
	LeftMs int64
}

// Options are the dependencies of the service.
type Options struct {
	Mesh *chivewire.Mesh
	// State records a notice of an incarnation as one to this node, and reports whether it was not known.
	State func(now time.Time, incarnation string, notice chiverequest.Notice) bool
	// StateWarmUp records how long an incarnation stays cold, and reports whether that was not known.
	StateWarmUp func(now time.Time, incarnation string, left time.Duration) bool
	// ConnectedFor returns the peers for which this node has connections to an endpoint's address open.
	ConnectedFor func(address string) []string
	Logger       *slog.Logger
}

// Service forwards notices to the peers that they concern.
type Service struct {
	options Options
	// peers are all others that are alive. Nodes do not pass a warm-up on.
	peers atomic.Pointer[[]string]
}

// New returns a service that receives notices from peers.
func New(o Options) *Service {
	s := &Service{options: o}
	s.peers.Store(&[]string{})
	chivewire.Receive(o.Mesh, chivewire.KindEndpointNotice, s.receive)
	chivewire.Receive(o.Mesh, chivewire.KindEndpointWarmUp, s.receiveWarmUp)
	return s
}

// SetMembers sets the members of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) {
	self := s.options.Mesh.Self()
	peers := slices.DeleteFunc(chivemember.AddressesByHash(members), func(address string) bool { return address == self })
	s.peers.Store(&peers)
}

// Start does nothing: notices are forwarded by the goroutines that read them.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Dump returns nothing: the pools show the notices.
func (s *Service) Dump() any { return struct{}{} }

// Forward sends a notice from a response to the nodes that share connections to the endpoint. The response came through a
// peer unless through is empty.
func (s *Service) Forward(through, incarnation, address string, notice chiverequest.Notice) {
	m := Message{Endpoint: incarnation, Address: address, Leaving: notice.Leaving, RestMs: chivetime.CeilMilliseconds(notice.Rest)}
	if through != "" {
		s.send(through, m)
	}
	s.notifyUsers(through, m)
}

// ForwardWarmUp sends how long an endpoint stays cold to all nodes, each of which may send requests there. If a message is lost,
// the endpoint states it again in its next response.
func (s *Service) ForwardWarmUp(incarnation string, left time.Duration) {
	for _, peer := range *s.peers.Load() {
		_ = s.options.Mesh.Send(peer, chivewire.KindEndpointWarmUp, WarmUp{Endpoint: incarnation, LeftMs: chivetime.CeilMilliseconds(left)})
	}
}

// receiveWarmUp applies how long an endpoint stays cold by what a peer knows.
func (s *Service) receiveWarmUp(from string, w WarmUp) {
	if w.LeftMs <= 0 || w.LeftMs > chiverequest.MaxWarmUp.Milliseconds() {
		return
	}
	if s.options.StateWarmUp(time.Now(), w.Endpoint, time.Duration(w.LeftMs)*time.Millisecond) {
		chiveevent.WarmUpReceived.Log(context.Background(), s.options.Logger, slog.String("endpoint", w.Endpoint), slog.String("peer", from),
			slog.Int64("left_ms", w.LeftMs))
	}
}

// receive applies a notice that a peer forwards.
func (s *Service) receive(from string, m Message) {
	rest := time.Duration(min(max(m.RestMs, 0), chiverequest.MaxRest.Milliseconds())) * time.Millisecond
	if !s.options.State(time.Now(), m.Endpoint, chiverequest.Notice{Leaving: m.Leaving, Rest: rest}) {
		return
	}
	chiveevent.NoticeReceived.Log(context.Background(), s.options.Logger, slog.String("endpoint", m.Endpoint), slog.String("peer", from),
		slog.Bool("leaving", m.Leaving), slog.Int64("rest_ms", rest.Milliseconds()))
	s.notifyUsers(from, m)
}

// notifyUsers sends a notice to the peers that use connections of this node to the endpoint, except for one.
func (s *Service) notifyUsers(except string, m Message) {
	for _, peer := range s.options.ConnectedFor(m.Address) {
		if peer != except {
			s.send(peer, m)
		}
	}
}

// send sends a notice to a peer. If it is lost, the endpoint says it again in its next response.
func (s *Service) send(peer string, m Message) {
	_ = s.options.Mesh.Send(peer, chivewire.KindEndpointNotice, m)
}
