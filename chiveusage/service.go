package chiveusage

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"chivedrift/chivekernel"
	"chivedrift/chivemember"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "usage"

const (
	// collectorCount is the number of nodes that keep the fleet's starts: one reports, the others can take over.
	collectorCount = 3
	// sendEvery is the interval between messages to a collector. It bounds the starts that are lost when a node crashes.
	sendEvery = 250 * time.Millisecond
	// reportEvery is how often the lease holder checks for due reports.
	reportEvery = 200 * time.Millisecond
	// extraRetention is how long starts are kept after the deadline of their window.
	extraRetention = 2 * time.Second
	inboxSize      = 1024
)

// Options configure a Service.
type Options struct {
	Mesh        *chivewire.Mesh
	Incarnation int64
	// Loads returns the numbers of requests in progress at this node, by pool.
	Loads    func() map[string]int64
	Lease    Lease
	Platform Platform
	// Window is the length of a window, Delay the time after its end within which it must be reported.
	Window time.Duration
	Delay  time.Duration
	// SinceBoot reads a clock that keeps running while the machine is suspended.
	SinceBoot func() time.Duration
	Logger    *slog.Logger
}

// Service records, collects and reports usage.
type Service struct {
	o         Options
	inbox     *chivewire.Inbox
	recorder  *recorder
	collector *collector
	reporter  *reporter
	// rank is this node's rank among the collectors, or -1 if it is not one.
	rank   atomic.Int64
	duties chivekernel.Duties
}

// New returns a service with no recorded starts.
func New(o Options) *Service {
	retention := o.Window + o.Delay + extraRetention
	s := &Service{
		o: o, inbox: chivewire.NewInbox(o.Mesh, inboxSize), recorder: newRecorder(o.Incarnation, retention), collector: newCollector(o.Incarnation, retention),
	}
	s.rank.Store(-1)
	s.reporter = &reporter{o: o, collector: s.collector}
	chivewire.Queue[Starts](s.inbox, chivewire.KindStarts)
	chivewire.Queue[StartsAck](s.inbox, chivewire.KindStartsAck)
	return s
}

// RecordStart records the start of a team's request.
func (s *Service) RecordStart(team string) { s.recorder.record(s.o.SinceBoot(), team) }

// Rank returns this node's rank among the collectors; ok is false if it is not one. The first collector should hold the lease, since it has collected
// for the longest time, including from nodes that have since gone.
func (s *Service) Rank() (rank int, ok bool) {
	rank = int(s.rank.Load())
	return rank, rank >= 0
}

// SetMembers updates the members of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) {
	chosen := longestRunning(members, collectorCount)
	s.rank.Store(int64(slices.Index(chosen, s.o.Mesh.Self())))
	s.recorder.setTargets(chosen)
	s.collector.setAlive(chivemember.AddressesByHash(members))
}

// longestRunning returns the addresses of the members that have been up longest. New nodes do not displace collectors, so collected starts remain
// usable.
func longestRunning(members []chivemember.Member, limit int) []string {
	var alive []chivemember.Member
	for _, m := range members {
		if m.State == chivemember.Alive {
			alive = append(alive, m)
		}
	}
	slices.SortFunc(alive, func(a, b chivemember.Member) int {
		if a.Incarnation != b.Incarnation {
			return int(a.Incarnation - b.Incarnation)
		}
		return slices.Compare([]byte(a.Address), []byte(b.Address))
	})
	var addresses []string
	for _, m := range alive[:min(limit, len(alive))] {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// Start starts exchanging starts and reporting windows.
func (s *Service) Start(ctx context.Context) error {
	s.duties.Begin(ctx, s.exchange, s.report)
	return nil
}

// Stop sends the remaining starts and stops the background work.
func (s *Service) Stop(context.Context) error {
	s.send()
	s.duties.End()
	return nil
}

// Dump returns whether this node is a collector, and its counts of windows.
func (s *Service) Dump() any {
	_, collects := s.Rank()
	return struct {
		Collects bool   `json:"collects"`
		Windows  Counts `json:"windows"`
	}{collects, s.Counts()}
}

// Load returns the number of requests in progress in a pool on all nodes; ok is false if no node has been heard from recently.
func (s *Service) Load(pool string) (requests float64, ok bool) {
	return s.collector.load(s.o.SinceBoot(), pool)
}

// Counts returns the numbers of windows by outcome at this node.
func (s *Service) Counts() Counts {
	r := s.reporter
	return Counts{Reported: r.reported.Load(), Omitted: r.omitted.Load(), Refused: r.refused.Load()}
}

// exchange sends starts to the collectors and handles incoming messages.
func (s *Service) exchange(ctx context.Context) {
	tick := time.NewTicker(sendEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.send()
			s.collector.prune(s.o.SinceBoot())
		case m := <-s.inbox.Ready():
			s.handle(m)
		}
	}
}

// send sends the messages that are due. Send errors are ignored, since unacknowledged starts are resent.
func (s *Service) send() {
	now, wall := s.o.SinceBoot(), time.Duration(time.Now().UnixNano())
	loads := s.o.Loads()
	for address, m := range s.recorder.messages(now, wall) {
		m.Loads = loads
		_ = s.o.Mesh.Send(address, chivewire.KindStarts, m)
	}
}

func (s *Service) handle(m chivewire.Message) {
	switch body := m.Body.(type) {
	case Starts:
		ack := s.collector.receive(s.o.SinceBoot(), m.From, body)
		if len(body.AgesMs) > 0 || ack.Next != body.First {
			_ = s.o.Mesh.Send(m.From, chivewire.KindStartsAck, ack)
		}
	case StartsAck:
		s.recorder.acknowledge(s.o.SinceBoot(), m.From, body)
	}
}

// report settles and sends windows while this node holds the lease.
func (s *Service) report(ctx context.Context) {
	chivekernel.Every(ctx, reportEvery, func(time.Time) { s.reporter.round(ctx) })
}
