package chivequarantine

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivemember"
	"chivedrift/chiverequest"
	"chivedrift/chivering"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "quarantine"

const (
	// passOnEvery is the least time between two messages to a peer: the tries of one request break within a few milliseconds of each other.
	passOnEvery = 10 * time.Millisecond
	// compareEvery is how often a node compares itself with one of its partners: it makes up for lost messages and tells nodes that start.
	compareEvery = 400 * time.Millisecond
	inboxSize    = 256
)

// Options are the parts the service is made of.
type Options struct {
	Mesh   *chivewire.Mesh
	Logger *slog.Logger
}

// message is one message with its sender.
type message struct {
	from string
	body any
}

// Service passes on which requests were on engines that ended, and tells the forwarder which to hold back.
type Service struct {
	o      Options
	inbox  *chivering.Ring[message]
	duties chivekernel.Duties
	wake   chan struct{}
	// idle tells, without the lock, that nothing is known of any request.
	idle    atomic.Bool
	answers *answeredLately
	refused atomic.Int64

	mu       sync.Mutex
	register *Register
	members  []chivemember.Member
	partners []string
	// number is that of the newest report; it begins with the time of the start, so that no report of before has it.
	number int64
	// unsaid is what the partners have not been told yet.
	unsaid News
	// allowed are the tries that this node may make, given those that it allowed, by when.
	allowed map[chiverequest.Fingerprint]time.Time
	given   map[chiverequest.Fingerprint]time.Time
	watches map[chiverequest.Fingerprint]map[*watch]struct{}
}

// watch is a running attempt of a request.
type watch struct {
	held func()
}

// New returns a service that knows of no request.
func New(o Options) *Service {
	s := &Service{
		o: o, number: time.Now().UnixNano(), inbox: chivering.New[message](inboxSize), answers: newAnsweredLately(), wake: make(chan struct{}, 1), register: NewRegister(o.Mesh.Self()),
		allowed: make(map[chiverequest.Fingerprint]time.Time), given: make(map[chiverequest.Fingerprint]time.Time),
		watches: make(map[chiverequest.Fingerprint]map[*watch]struct{}),
	}
	s.idle.Store(true)
	receive[News](s, chivewire.KindEndNews)
	receive[Digest](s, chivewire.KindEndDigest)
	receive[TrialAsk](s, chivewire.KindTrialAsk)
	receive[TrialGrant](s, chivewire.KindTrialGrant)
	return s
}

func receive[T any](s *Service, kind chivewire.Kind) {
	chivewire.Receive(s.o.Mesh, kind, func(from string, body T) {
		// A full ring loses a message; the next comparison brings it again.
		s.inbox.Offer(message{from, body})
	})
}

// SetMembers takes a change of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) {
	partners := chivemember.Partners(s.o.Mesh.Self(), chivemember.AddressesByHash(members))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members, s.partners = members, partners
}

// Start begins to tell and to hear.
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
	tick := time.NewTicker(compareEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.tend(time.Now())
		case <-s.wake:
			s.passOn()
			time.Sleep(passOnEvery)
		case m := <-s.inbox.Ready():
			s.handle(time.Now(), m)
		}
	}
}

func (s *Service) handle(now time.Time, m message) {
	switch body := m.body.(type) {
	case News:
		s.learn(now, m.from, body)
	case Digest:
		s.compare(now, m.from, body)
	case TrialAsk:
		s.answerTrial(now, m.from, body.Content)
	case TrialGrant:
		s.mu.Lock()
		s.allowed[body.Content] = now.Add(trialWithin)
		s.mu.Unlock()
	}
}

// decide works out what is held back now, tells operators what changed, and breaks off the attempts of what is; the caller holds the lock.
func (s *Service) decide() {
	for _, c := range s.register.Decide() {
		s.log(c)
		if !c.Held {
			continue
		}
		for w := range s.watches[c.Content] {
			w.held()
		}
	}
	s.idle.Store(s.register.Empty())
}

func (s *Service) log(c Change) {
	event := chiveevent.HoldEnded
	attributes := []slog.Attr{chiveevent.Content(c.Content), slog.Int("endpoints", len(c.Ends))}
	if c.Held {
		event = chiveevent.HoldBegan
		attributes = append(attributes, slog.Int64("for_ms", time.Until(c.Until).Milliseconds()))
	}
	if len(c.Ends) > 0 {
		attributes = append(attributes, slog.String("route", c.Ends[0].Route), slog.String("team", c.Ends[0].Team))
	}
	event.Log(context.Background(), s.o.Logger, attributes...)
}

// Counts are the service's figures.
type Counts struct {
	// Held are the requests that are held back, Ends the ends of endpoints under requests that are remembered.
	Held int
	Ends int
	// Refused is how many tries were refused since the start.
	Refused int64
}

// Counts returns the service's figures.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Held: s.register.Held(), Ends: s.register.ends, Refused: s.refused.Load()}
}

// HoldState is the dump of one request that is held back.
type HoldState struct {
	Content   string   `json:"content"`
	Route     string   `json:"route"`
	Team      string   `json:"team"`
	Endpoints []string `json:"endpoints_that_ended"`
	UntilMs   int64    `json:"held_for_another_ms"`
	Trials    int      `json:"failed_trials"`
}

// Dump returns the requests that are held back, with what speaks against them.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := []HoldState{}
	for content, each := range s.register.suspects {
		if !each.held() {
			continue
		}
		h := HoldState{Content: content.String(), UntilMs: time.Until(each.until).Milliseconds(), Trials: each.trials}
		for _, e := range each.ends {
			h.Route, h.Team, h.Endpoints = e.Route, e.Team, append(h.Endpoints, e.Endpoint)
		}
		holds = append(holds, h)
	}
	return struct {
		Held []HoldState     `json:"held"`
		Ends int             `json:"ends"`
		Ring chivering.Depth `json:"ring"`
	}{holds, s.register.ends, s.inbox.Depth()}
}
