package chiveload

import (
	"context"
	"sync"
	"time"

	"chivedrift/chivekernel"
	"chivedrift/chivemember"
	"chivedrift/chiveplace"
	"chivedrift/chivering"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "load reports"

const (
	// tellEvery is the least time between two messages to a peer. What nodes send in the meantime they choose without each other: on virtual
	// time drafts beside questions attain 0.886, 0.880, 0.871, 0.864 and 0.843 of their worth at 30, 60, 120, 240 and 400 ms; at 60 a node
	// takes a tenth more processor time than at 120.
	tellEvery = 60 * time.Millisecond
	// repeatEvery is how often everything is told again: it makes up for lost messages.
	repeatEvery = 2 * time.Second
	inboxSize   = 1024
)

// Pools are the pools whose load is reported.
type Pools interface {
	// Changed receives after a change that the other nodes should know of.
	Changed() <-chan struct{}
	// Collect returns what changed since the last call, or everything.
	Collect(all bool) chiveplace.Report
	// Hear takes what another node told.
	Hear(node string, report chiveplace.Report)
	// Forget drops what is known of the requests of all nodes that are not named.
	Forget(alive map[string]bool)
}

// Owners tell who has to know of an engine in a fleet too large for all to know of all.
type Owners interface {
	// Asking reports whether the fleet is that large.
	Asking() bool
	// OwnerOf returns the address of the node that owns an engine; empty for an endpoint that nobody owns.
	OwnerOf(endpoint string) string
	// Seen returns the newest grant of an owner that this node has taken.
	Seen(owner string) uint64
}

// Options are the parts the service is made of.
type Options struct {
	Mesh   *chivewire.Mesh
	Pools  Pools
	Owners Owners
}

// message is one message with its sender.
type message struct {
	from   string
	report chiveplace.Report
}

// Service tells peers of this node's requests and hears of theirs.
type Service struct {
	o       Options
	inbox   *chivering.Ring[message]
	mu      sync.Mutex
	members []chivemember.Member
	duties  chivekernel.Duties
	// told are the owners that have heard of requests since everything was last told.
	told map[string]bool
}

// New returns a service that tells nobody yet.
func New(o Options) *Service {
	s := &Service{o: o, inbox: chivering.New[message](inboxSize), told: make(map[string]bool)}
	chivewire.Receive(o.Mesh, chivewire.KindLoads, func(from string, report chiveplace.Report) {
		// A full ring loses a message; the repetition makes up for it.
		s.inbox.Offer(message{from, report})
	})
	return s
}

// SetMembers takes a change of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) {
	s.mu.Lock()
	s.members = members
	s.mu.Unlock()
	alive := make(map[string]bool, len(members))
	for _, m := range members {
		alive[m.Address] = true
	}
	s.o.Pools.Forget(alive)
}

// Start begins to tell.
func (s *Service) Start(ctx context.Context) error {
	s.duties.Begin(ctx, s.run)
	return nil
}

// Stop ends that.
func (s *Service) Stop(context.Context) error {
	s.duties.End()
	return nil
}

// Dump returns the depth of the inbox.
func (s *Service) Dump() any { return s.inbox.Depth() }

func (s *Service) run(ctx context.Context) {
	var told time.Time
	due := time.NewTimer(tellEvery)
	defer due.Stop()
	repeat := time.NewTicker(repeatEvery)
	defer repeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.inbox.Ready():
			s.o.Pools.Hear(m.from, m.report)
		case <-s.o.Pools.Changed():
			// A node without requests sleeps on.
			due.Reset(max(tellEvery-time.Since(told), 0))
		case <-due.C:
			told = time.Now()
			s.tell(s.peers(), false)
		case <-repeat.C:
			told = time.Now()
			s.tell(s.peers(), true)
		}
	}
}

func (s *Service) peers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []string
	for _, m := range s.members {
		if m.Address != s.o.Mesh.Self() {
			peers = append(peers, m.Address)
		}
	}
	return peers
}

func (s *Service) tell(peers []string, all bool) {
	report := s.o.Pools.Collect(all)
	if s.o.Owners.Asking() {
		s.tellOwners(report, all)
		return
	}
	if report.Empty() {
		return
	}
	for _, p := range peers {
		// A full ring loses a message; the repetition makes up for it.
		_ = s.o.Mesh.Send(p, chivewire.KindLoads, report)
	}
}

// tellOwners tells each owner of the requests on its engines.
func (s *Service) tellOwners(report chiveplace.Report, all bool) {
	parts := make(map[string]*chiveplace.Report)
	to := func(owner string) *chiveplace.Report {
		if parts[owner] == nil {
			parts[owner] = &chiveplace.Report{All: all}
		}
		return parts[owner]
	}
	if all {
		for owner := range s.told {
			to(owner)
		}
		clear(s.told)
	}
	for _, l := range report.Loads {
		part := to(s.o.Owners.OwnerOf(l.Endpoint))
		part.Loads = append(part.Loads, l)
	}
	for _, r := range report.Reads {
		part := to(s.o.Owners.OwnerOf(r.Endpoint))
		part.Reads = append(part.Reads, r)
	}
	for owner, part := range parts {
		if owner == "" || owner == s.o.Mesh.Self() {
			continue
		}
		if len(part.Loads) > 0 {
			s.told[owner] = true
		}
		part.Granted = s.o.Owners.Seen(owner)
		// A full ring loses a message; the repetition makes up for it.
		_ = s.o.Mesh.Send(owner, chivewire.KindLoads, *part)
	}
}
