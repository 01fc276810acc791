package chivequarantine

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivedistance"
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
	// flushInterval is the minimum time between two messages to a peer. The attempts of one request break within a few
	// milliseconds of each other, so their reports share a message.
	flushInterval = 10 * time.Millisecond
	// digestInterval is how often a node sends a digest to the next of its peers. Digests repair lost messages and bring
	// newly started nodes up to date.
	digestInterval = 400 * time.Millisecond
	inboxSize      = 256
)

// Options are the dependencies of the service.
type Options struct {
	Mesh *chivewire.Mesh
	// Distances are the distances to the peers; nil in a deployment in one region.
	Distances *chivedistance.Table
	Logger    *slog.Logger
}

// Service gossips crash reports, and tells the forwarder which requests are quarantined.
type Service struct {
	options    Options
	inbox      *chivewire.Inbox
	goroutines chivekernel.Duties
	wake       chan struct{}
	// empty is registry.Empty(), readable without holding mu.
	empty   atomic.Bool
	answers *recentAnswers
	// partAnswers are the answers to requests with a part.
	partAnswers *recentAnswers
	refused     atomic.Int64
	onFailure   func(chivehealth.Failure) time.Time
	onCrash     func(chivehealth.Failure)

	mu       sync.Mutex
	registry *Register
	members  []chivemember.Member
	// peers receive this node's new reports, and take turns in receiving digests.
	peers     []string
	peerIndex int
	// lastNumber is the number of this node's newest report. It starts at the current time, so that no report from before
	// a restart has the same number.
	lastNumber int64
	pending    outgoing
	failures   recentFailures
	// receivedGrants maps the requests that this node may probe to when that permission expires. issuedGrants maps the
	// requests whose probes this node coordinates to when it last allowed one.
	receivedGrants map[chiverequest.Fingerprint]time.Time
	issuedGrants   map[chiverequest.Fingerprint]time.Time
	watches        map[chiverequest.Fingerprint]map[*watch]struct{}
	// permits are those that this node has issued for requests with suspicious parts.
	permits     map[chiverequest.Fingerprint]permit
	permitCalls *chivedistance.Calls[PermitAnswer]
}

// watch is the callback of a running attempt, with the fingerprints of its request.
type watch struct {
	fingerprints []chiverequest.Fingerprint
	notify       func()
}

// New returns a service without any reports.
func New(o Options) *Service {
	s := &Service{
		options: o, lastNumber: time.Now().UnixNano(), inbox: chivewire.NewInbox(o.Mesh, inboxSize), answers: newRecentAnswers(maxRecentAnswers), partAnswers: newRecentAnswers(maxRecentPartAnswers), pending: newOutgoing(), wake: make(chan struct{}, 1), registry: NewRegister(o.Mesh.Self()),
		onFailure: func(chivehealth.Failure) time.Time { return time.Time{} }, onCrash: func(chivehealth.Failure) {}, failures: make(recentFailures),
		receivedGrants: make(map[chiverequest.Fingerprint]time.Time), issuedGrants: make(map[chiverequest.Fingerprint]time.Time),
		watches: make(map[chiverequest.Fingerprint]map[*watch]struct{}),
		permits: make(map[chiverequest.Fingerprint]permit), permitCalls: chivedistance.NewCalls[PermitAnswer](o.Distances),
	}
	chivewire.Receive(o.Mesh, chivewire.KindPartPermitAsk, s.answerPermit)
	chivewire.Receive(o.Mesh, chivewire.KindPartPermit, func(_ string, a PermitAnswer) { s.permitCalls.Deliver(a.Number, a) })
	s.empty.Store(true)
	chivewire.Queue[Update](s.inbox, chivewire.KindCrashUpdate)
	chivewire.Queue[Digest](s.inbox, chivewire.KindCrashDigest)
	chivewire.Queue[PartUpdate](s.inbox, chivewire.KindPartCrashUpdate)
	chivewire.Queue[PartDigest](s.inbox, chivewire.KindPartCrashDigest)
	chivewire.Queue[ProbeRequest](s.inbox, chivewire.KindProbeRequest)
	chivewire.Queue[ProbeGrant](s.inbox, chivewire.KindProbeGrant)
	chivewire.Queue[AliveUpdate](s.inbox, chivewire.KindEndpointAlive)
	chivewire.Queue[FailureReport](s.inbox, chivewire.KindEndpointFailure)
	return s
}

// SetMembers sets the members of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) {
	peers := chivemember.Partners(s.options.Mesh.Self(), chivemember.AddressesByHash(members))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members, s.peers, s.peerIndex = members, peers, chivemember.TurnAfter(s.peerIndex, s.peers, peers)
}

// Start starts the exchange of reports.
func (s *Service) Start(ctx context.Context) error {
	s.goroutines.Begin(ctx, s.run)
	return nil
}

// Stop stops the exchange of reports.
func (s *Service) Stop(context.Context) error {
	s.goroutines.End()
	return nil
}

func (s *Service) run(ctx context.Context) {
	tick := time.NewTicker(digestInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.maintain(time.Now())
		case <-s.wake:
			s.flush(time.Now())
			time.Sleep(flushInterval)
		case m := <-s.inbox.Ready():
			s.handle(time.Now(), m)
		}
	}
}

func (s *Service) handle(now time.Time, m chivewire.Message) {
	// Ages are as of when the message was sent.
	sentAt := now.Add(-s.options.Distances.FromPeer(m.From))
	switch body := m.Body.(type) {
	case Update:
		s.receiveReports(now, m.From, body.reports(sentAt))
	case PartUpdate:
		s.receiveReports(now, m.From, body.reports(sentAt))
	case Digest:
		s.receiveDigest(now, m.From, classRequests, body.Sum)
	case PartDigest:
		s.receiveDigest(now, m.From, classParts, body.Sum)
	case AliveUpdate:
		s.receiveAlive(now, sentAt, m.From, body)
	case FailureReport:
		s.receiveFailure(now, m.From, body)
	case ProbeRequest:
		s.grantProbe(now, m.From, body.Content)
	case ProbeGrant:
		s.mu.Lock()
		s.receivedGrants[body.Content] = now.Add(probeGrantTTL)
		s.mu.Unlock()
	}
}

// nextNumber returns the number for a new report. The caller must hold s.mu.
func (s *Service) nextNumber() int64 {
	s.lastNumber++
	return s.lastNumber
}

// decide determines which requests are quarantined now, logs the changes, and notifies the running attempts of newly
// quarantined requests. The caller must hold s.mu.
func (s *Service) decide() {
	for _, c := range s.registry.Decide() {
		s.logChange(c)
		if !c.Quarantined {
			continue
		}
		for w := range s.watches[c.Content] {
			if (hold{c.Content, c.Members}).covers(w.fingerprints) {
				w.notify()
			}
		}
	}
	s.empty.Store(s.registry.Empty())
}

func (s *Service) logChange(c Change) {
	event := chiveevent.QuarantineEnded
	attributes := []slog.Attr{chiveevent.Content(c.Content), slog.String("parts", strings.Join(s.registry.names(c.Members), ",")), slog.Int("endpoints", crashedEndpoints(c.Crashes))}
	if c.Quarantined {
		event = chiveevent.QuarantineBegan
		attributes = append(attributes, slog.Int64("for_ms", time.Until(c.Until).Milliseconds()))
	}
	if len(c.Crashes) > 0 {
		attributes = append(attributes, slog.String("route", c.Crashes[0].Route), slog.String("team", c.Crashes[0].Team))
	}
	event.Log(context.Background(), s.options.Logger, attributes...)
}

// Counts are the counters of the service.
type Counts struct {
	// Quarantined is the number of quarantined requests, Parts that of quarantined combinations of prompt parts, Crashes that
	// of the remembered crash reports on requests.
	Quarantined int
	Parts       int
	Crashes     int
	// Refused is the number of requests refused since the service was created.
	Refused int64
}

// Counts returns the counters of the service.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Quarantined: s.registry.Quarantined(), Parts: s.registry.QuarantinedParts(), Crashes: s.registry.crashes[classRequests], Refused: s.refused.Load()}
}

// QuarantineState is the dump of one quarantine: of a request, or of all requests whose prompts have all the given parts.
type QuarantineState struct {
	Content   string   `json:"content"`
	Parts     []string `json:"parts,omitempty"`
	Route     string   `json:"route"`
	Team      string   `json:"team"`
	Endpoints []string `json:"crashed_endpoints"`
	UntilMs   int64    `json:"for_another_ms"`
	Probes    int      `json:"failed_probes"`
}

// Dump returns the quarantined requests with their crashes, for the state dump.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := []QuarantineState{}
	for _, h := range s.registry.holds {
		entry, ok := s.registry.suspects[h.lead]
		if !ok {
			continue
		}
		q := QuarantineState{Content: h.lead.String(), Parts: s.registry.names(h.members), UntilMs: time.Until(entry.until).Milliseconds(), Probes: entry.failedProbes}
		for _, c := range entry.crashes {
			q.Route, q.Team, q.Endpoints = c.Route, c.Team, append(q.Endpoints, c.Endpoint)
		}
		states = append(states, q)
	}
	return struct {
		Quarantined []QuarantineState `json:"quarantined"`
		Crashes     int               `json:"crashes"`
		Ring        chivering.Depth   `json:"ring"`
	}{states, s.registry.crashes[classRequests], s.inbox.Depth()}
}
