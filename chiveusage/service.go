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
	// collectorCount is the number of nodes that hold the fleet's starts: one reports, the others can take over.
	collectorCount = 3
	// sendInterval is the interval between messages to a collector. A node that crashes loses the starts since its last
	// message.
	sendInterval = 250 * time.Millisecond
	// reportInterval is the interval at which the lease holder checks for due reports.
	reportInterval = 200 * time.Millisecond
	// extraRetention is the minimum time for which starts are retained after the deadline of their window.
	extraRetention = 2 * time.Second
	// flushTimeout is how long a node that stops waits until the collectors have acknowledged its starts, and flushPoll how
	// often it checks.
	flushTimeout = 500 * time.Millisecond
	flushPoll    = 5 * time.Millisecond
	inboxSize    = 1024
)

// Options holds the dependencies and settings of a Service.
type Options struct {
	Mesh        *chivewire.Mesh
	Incarnation int64
	// Loads returns the numbers of requests in progress at this node, by pool.
	Loads    func() map[string]int64
	Lease    Lease
	Platform Platform
	// Window is the length of a window, Delay the maximum time between its end and its report.
	Window time.Duration
	Delay  time.Duration
	// SinceBoot reads a clock that keeps running while the machine is suspended.
	SinceBoot func() time.Duration
	Logger    *slog.Logger
}

// Service records, collects and reports usage.
type Service struct {
	opts      Options
	inbox     *chivewire.Inbox
	recorder  *recorder
	collector *collector
	settled   *settledWindows
	reporter  *reporter
	// rank is this node's rank among the collectors, or -1 if it is not one.
	rank atomic.Int64
	// flushNow has the remaining starts sent at once.
	flushNow chan struct{}
	tasks    chivekernel.Duties
}

// New returns a service with no recorded starts.
func New(opts Options) *Service {
	retention := opts.Window + opts.Delay + extraRetention
	s := &Service{
		opts: opts, inbox: chivewire.NewInbox(opts.Mesh, inboxSize), recorder: newRecorder(opts.Incarnation, retention),
		collector: newCollector(opts.Incarnation, retention), settled: newSettledWindows(opts.Incarnation), flushNow: make(chan struct{}, 1),
	}
	s.rank.Store(-1)
	s.reporter = &reporter{opts: opts, collector: s.collector, settled: s.settled, stateAll: s.sendStatements}
	chivewire.Queue[Starts](s.inbox, chivewire.KindStarts)
	chivewire.Queue[StartsAck](s.inbox, chivewire.KindStartsAck)
	chivewire.Queue[SettledWindows](s.inbox, chivewire.KindSettledWindows)
	return s
}

// RecordStart records the start of a team's request.
func (s *Service) RecordStart(team string) { s.recorder.record(s.opts.SinceBoot(), team) }

// Rank returns this node's rank among the collectors, starting at 0; ok is false if it is not a collector. The
// collector with rank 0 should hold the lease, because it has collected for the longest time, including from nodes that
// have left since.
func (s *Service) Rank() (rank int, ok bool) {
	rank = int(s.rank.Load())
	return rank, rank >= 0
}

// SetMembers sets the members of the fleet, from which the collectors are chosen.
func (s *Service) SetMembers(members []chivemember.Member) {
	collectors := longestRunning(members, collectorCount)
	s.rank.Store(int64(slices.Index(collectors, s.opts.Mesh.Self())))
	s.recorder.setCollectors(collectors)
	alive := chivemember.AddressesByHash(members)
	s.collector.setAlive(alive)
	s.settled.setPeers(s.opts.Mesh.Self(), alive, collectors)
}

// longestRunning returns the addresses of the members that have been up longest. With this choice new nodes never
// replace collectors, whose collected starts would be lost.
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

// Start starts the exchange of messages and the reporter.
func (s *Service) Start(ctx context.Context) error {
	s.tasks.Begin(ctx, s.exchangeMessages, s.runReporter)
	return nil
}

// Stop sends the remaining starts, waits for their acknowledgement and stops the background goroutines.
func (s *Service) Stop(ctx context.Context) error {
	select {
	case s.flushNow <- struct{}{}:
	default:
		// A flush is pending already.
	}
	for deadline := time.Now().Add(flushTimeout); ctx.Err() == nil && time.Now().Before(deadline) && !s.recorder.isDelivered(); {
		time.Sleep(flushPoll)
	}
	s.tasks.End()
	return nil
}

// Dump returns whether this node is a collector, its numbers of windows by outcome, and the first and last windows of the
// ranges that may have been reported.
func (s *Service) Dump() any {
	_, isCollector := s.Rank()
	return struct {
		Collects bool    `json:"collects"`
		Windows  Counts  `json:"windows"`
		Settled  []int64 `json:"settled"`
	}{isCollector, s.Counts(), s.settled.bounds()}
}

// Load returns the number of requests in progress in a pool over all nodes; ok is false if this node has not recently
// heard from any node.
func (s *Service) Load(pool string) (requests float64, ok bool) {
	return s.collector.load(s.opts.SinceBoot(), pool)
}

// Counts returns the numbers of windows by outcome at this node since its start.
func (s *Service) Counts() Counts {
	r := s.reporter
	return Counts{Reported: r.reported.Load(), Omitted: r.omitted.Load(), Refused: r.refused.Load()}
}

// exchangeMessages sends starts to the collectors and handles incoming messages.
func (s *Service) exchangeMessages(ctx context.Context) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = s.sendStarts()
			_, isCollector := s.Rank()
			s.sendStatements(s.settled.dueStatements(s.opts.SinceBoot(), isCollector))
			s.collector.prune(s.opts.SinceBoot())
		case <-s.flushNow:
			for s.sendStarts() {
				// A message holds a limited number of starts.
			}
		case m := <-s.inbox.Ready():
			s.handleMessage(m)
		}
	}
}

// sendStarts sends the messages that are due and reports whether there were any. Send errors are ignored, because
// unacknowledged starts are resent.
func (s *Service) sendStarts() bool {
	now, wall := s.opts.SinceBoot(), time.Duration(time.Now().UnixNano())
	loads := s.opts.Loads()
	messages := s.recorder.dueMessages(now, wall)
	for address, m := range messages {
		m.Loads = loads
		_ = s.opts.Mesh.Send(address, chivewire.KindStarts, m)
	}
	return len(messages) > 0
}

// sendStatements sends what this process knows of settled windows, by the address of the receiver.
func (s *Service) sendStatements(statements map[string]SettledWindows) {
	for address, m := range statements {
		_ = s.opts.Mesh.Send(address, chivewire.KindSettledWindows, m)
	}
}

func (s *Service) handleMessage(m chivewire.Message) {
	switch body := m.Body.(type) {
	case Starts:
		ack := s.collector.receive(s.opts.SinceBoot(), m.From, body)
		if len(body.AgesMs) > 0 || ack.Next != body.First {
			_ = s.opts.Mesh.Send(m.From, chivewire.KindStartsAck, ack)
		}
	case StartsAck:
		s.recorder.acknowledge(s.opts.SinceBoot(), m.From, body)
		s.settled.collectorSeen(m.From, body.Collector)
	case SettledWindows:
		if answer, ok := s.settled.receive(s.opts.SinceBoot(), m.From, body); ok {
			_ = s.opts.Mesh.Send(m.From, chivewire.KindSettledWindows, answer)
		}
	}
}

// runReporter settles and reports windows while this node holds the lease.
func (s *Service) runReporter(ctx context.Context) {
	chivekernel.Every(ctx, reportInterval, func(time.Time) { s.reporter.settleAndSend(ctx) })
}
