package chivequarantine

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivehealth"
	"chivedrift/chivekernel"
	"chivedrift/chivemember"
	"chivedrift/chiverequest"
	"chivedrift/chivering"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "quarantine"

const (
	// flushEvery is the least time between two messages to a peer: the attempts of one request break within a few milliseconds of each other.
	flushEvery = 10 * time.Millisecond
	// digestEvery is how often a node sends a digest to the next of its peers: that repairs lost messages and brings nodes up to date that start.
	digestEvery = 400 * time.Millisecond
	inboxSize   = 256
)

// Options are the parts the service is made of.
type Options struct {
	Mesh   *chivewire.Mesh
	Logger *slog.Logger
}

// Service gossips crash reports, and lets the forwarder know which requests are quarantined.
type Service struct {
	o      Options
	inbox  *chivewire.Inbox
	duties chivekernel.Duties
	wake   chan struct{}
	// idle tells, without the lock, that nothing is known of any request.
	idle      atomic.Bool
	answers   *recentAnswers
	refused   atomic.Int64
	onFailure func(chivehealth.Failure) time.Time

	mu       sync.Mutex
	register *Register
	members  []chivemember.Member
	// peers receive what this node learns, and a digest in turn.
	peers []string
	turn  int
	// number is that of the newest report; it begins with the time of the start, so that no earlier report has it.
	number   int64
	pending  outgoing
	failures seenFailures
	// granted are the probes that this node may make, given those that it allowed, by when.
	granted map[chiverequest.Fingerprint]time.Time
	given   map[chiverequest.Fingerprint]time.Time
	watches map[chiverequest.Fingerprint]map[*watch]struct{}
}

// watch is a running attempt of a request.
type watch struct {
	quarantined func()
}

// New returns a service that knows of no request.
func New(o Options) *Service {
	s := &Service{
		o: o, number: time.Now().UnixNano(), inbox: chivewire.NewInbox(o.Mesh, inboxSize), answers: newRecentAnswers(), wake: make(chan struct{}, 1), register: NewRegister(o.Mesh.Self()),
		onFailure: func(chivehealth.Failure) time.Time { return time.Time{} }, failures: make(seenFailures),
		granted: make(map[chiverequest.Fingerprint]time.Time), given: make(map[chiverequest.Fingerprint]time.Time),
		watches: make(map[chiverequest.Fingerprint]map[*watch]struct{}),
	}
	s.idle.Store(true)
	chivewire.Queue[Update](s.inbox, chivewire.KindCrashUpdate)
	chivewire.Queue[Digest](s.inbox, chivewire.KindCrashDigest)
	chivewire.Queue[ProbeRequest](s.inbox, chivewire.KindProbeRequest)
	chivewire.Queue[ProbeGrant](s.inbox, chivewire.KindProbeGrant)
	chivewire.Queue[AliveUpdate](s.inbox, chivewire.KindEndpointAlive)
	chivewire.Queue[FailureReport](s.inbox, chivewire.KindEndpointFailure)
	return s
}

// SetMembers takes a change of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) {
	peers := chivemember.Partners(s.o.Mesh.Self(), chivemember.AddressesByHash(members))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members, s.peers = members, peers
}

// Start begins to exchange reports.
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
	tick := time.NewTicker(digestEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.tend(time.Now())
		case <-s.wake:
			s.flush()
			time.Sleep(flushEvery)
		case m := <-s.inbox.Ready():
			s.handle(time.Now(), m)
		}
	}
}

func (s *Service) handle(now time.Time, m chivewire.Message) {
	switch body := m.Body.(type) {
	case Update:
		s.receiveUpdate(now, m.From, body)
	case Digest:
		s.receiveDigest(now, m.From, body)
	case AliveUpdate:
		s.receiveAlive(now, m.From, body)
	case FailureReport:
		s.receiveFailure(now, m.From, body)
	case ProbeRequest:
		s.grantProbe(now, m.From, body.Content)
	case ProbeGrant:
		s.mu.Lock()
		s.granted[body.Content] = now.Add(probeWithin)
		s.mu.Unlock()
	}
}

// nextNumber returns the number of another report; the caller holds the lock.
func (s *Service) nextNumber() int64 {
	s.number++
	return s.number
}

// decide works out what is quarantined now, logs what changed, and cancels the attempts of what is; the caller holds the lock.
func (s *Service) decide() {
	for _, c := range s.register.Decide() {
		s.log(c)
		if !c.Quarantined {
			continue
		}
		for w := range s.watches[c.Content] {
			w.quarantined()
		}
	}
	s.idle.Store(s.register.Empty())
}

func (s *Service) log(c Change) {
	event := chiveevent.QuarantineEnded
	attributes := []slog.Attr{chiveevent.Content(c.Content), slog.Int("endpoints", len(c.Crashes))}
	if c.Quarantined {
		event = chiveevent.QuarantineBegan
		attributes = append(attributes, slog.Int64("for_ms", time.Until(c.Until).Milliseconds()))
	}
	if len(c.Crashes) > 0 {
		attributes = append(attributes, slog.String("route", c.Crashes[0].Route), slog.String("team", c.Crashes[0].Team))
	}
	event.Log(context.Background(), s.o.Logger, attributes...)
}

// Counts are the service's figures.
type Counts struct {
	// Quarantined are the requests that are quarantined, Crashes the crashes of endpoints under requests that are remembered.
	Quarantined int
	Crashes     int
	// Refused is how many requests were refused since the start.
	Refused int64
}

// Counts returns the service's figures.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Quarantined: s.register.Quarantined(), Crashes: s.register.crashes, Refused: s.refused.Load()}
}

// QuarantineState is the dump of one request that is quarantined.
type QuarantineState struct {
	Content   string   `json:"content"`
	Route     string   `json:"route"`
	Team      string   `json:"team"`
	Endpoints []string `json:"crashed_endpoints"`
	UntilMs   int64    `json:"for_another_ms"`
	Probes    int      `json:"failed_probes"`
}

// Dump returns the requests that are quarantined, with the crashes that implicate them.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := []QuarantineState{}
	for content, each := range s.register.suspects {
		if !each.quarantined() {
			continue
		}
		q := QuarantineState{Content: content.String(), UntilMs: time.Until(each.until).Milliseconds(), Probes: each.probes}
		for _, c := range each.crashes {
			q.Route, q.Team, q.Endpoints = c.Route, c.Team, append(q.Endpoints, c.Endpoint)
		}
		states = append(states, q)
	}
	return struct {
		Quarantined []QuarantineState `json:"quarantined"`
		Crashes     int               `json:"crashes"`
		Ring        chivering.Depth   `json:"ring"`
	}{states, s.register.crashes, s.inbox.Depth()}
}
