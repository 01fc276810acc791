package chivemember

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivekernel"

	"chivedrift/chiveevent"
	"chivedrift/chivelog"
	"chivedrift/chivering"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the membership service registers.
const ServiceName = "member"

const (
	ringSize     = 4096
	listEvery    = 2 * time.Second
	listTimeout  = 2 * time.Second
	listEntry    = 170
	listBytesPer = 1024
	leavingFor   = time.Minute
	// publishGap is the least time between two rounds of telling the parts of the node that the fleet has changed. Each of them
	// works out anew what depends on the fleet; in the cold start of 300 nodes a change comes with nearly every message.
	publishGap = 100 * time.Millisecond
	// linesAtOnce is how many members that appear at once get a log line each; a node that joins a fleet of hundreds else writes hundreds
	// of lines in its first tenth of a second.
	linesAtOnce = 8
)

// Lister tells which VMs the platform lists.
type Lister interface {
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) ([]chivelog.VM, error)
}

// Service runs a View: one goroutine owns it, fed by a ring of messages and a tick; another polls the platform's list.
type Service struct {
	mesh    *chivewire.Mesh
	lister  Lister
	logger  *slog.Logger
	view    *View
	inbox   *chivering.Ring[event]
	members atomic.Pointer[[]Member]
	leaving atomic.Pointer[[]string]
	version atomic.Uint64
	deaths  atomic.Int64
	// published is when the last change was told; the run goroutine's.
	published time.Time
	watchMu   sync.Mutex
	watchers  []func([]Member)
	duties    chivekernel.Duties
}

// An event is one input to the view: a message, a new list or the wish to leave.
type event struct {
	from    string
	message any
	seeds   []Member
	leaves  string
	leave   chan struct{}
}

// NewService returns the membership service of a node.
func NewService(self Member, mesh *chivewire.Mesh, lister Lister, logger *slog.Logger) *Service {
	s := &Service{mesh: mesh, lister: lister, logger: logger, view: NewView(self, time.Now()), inbox: chivering.New[event](ringSize)}
	receive[Probe](s, chivewire.KindProbe)
	receive[Ack](s, chivewire.KindAck)
	receive[News](s, chivewire.KindNews)
	receive[Confirm](s, chivewire.KindConfirm)
	receive[Heard](s, chivewire.KindHeard)
	receive[Sync](s, chivewire.KindSync)
	receive[EndpointNews](s, chivewire.KindEndpointNews)
	s.publish()
	return s
}

func receive[T any](s *Service, kind chivewire.Kind) {
	chivewire.Receive(s.mesh, kind, func(from string, message T) {
		// A full ring drops a membership message; probes repeat and digests mend what news was lost.
		s.inbox.Offer(event{from: from, message: message})
	})
}

func kindOf(message any) chivewire.Kind {
	switch message.(type) {
	case Probe:
		return chivewire.KindProbe
	case Ack:
		return chivewire.KindAck
	case News:
		return chivewire.KindNews
	case Confirm:
		return chivewire.KindConfirm
	case Heard:
		return chivewire.KindHeard
	case EndpointNews:
		return chivewire.KindEndpointNews
	}
	return chivewire.KindSync
}

// Members returns every member that is not dead, this node included.
func (s *Service) Members() []Member { return *s.members.Load() }

// EndpointLeaves tells the fleet that an endpoint, by its address, takes no new work.
func (s *Service) EndpointLeaves(address string) {
	// A full ring loses the news; the next refusal of the endpoint brings it again.
	s.inbox.Offer(event{leaves: address})
}

// LeavingEndpoints returns the addresses of the endpoints that take no new work.
func (s *Service) LeavingEndpoints() []string {
	if addresses := s.leaving.Load(); addresses != nil {
		return *addresses
	}
	return nil
}

// OnChange adds a function that hears of the present members at once and of every change; it must not block.
func (s *Service) OnChange(heard func([]Member)) {
	s.watchMu.Lock()
	s.watchers = append(s.watchers, heard)
	s.watchMu.Unlock()
	heard(s.Members())
}

// Leave tells the fleet that this node takes no new duties.
func (s *Service) Leave(ctx context.Context) {
	told := make(chan struct{})
	if !s.inbox.Offer(event{leave: told}) {
		return
	}
	select {
	case <-told:
	case <-ctx.Done():
	}
}

// Start begins probing and polling.
func (s *Service) Start(ctx context.Context) error {
	s.duties.Begin(ctx, s.run, s.poll)
	return nil
}

// Stop ends both goroutines.
func (s *Service) Stop(context.Context) error {
	s.duties.End()
	return nil
}

// Dump returns the members and what the service counted.
func (s *Service) Dump() any {
	return struct {
		Members []Member        `json:"members"`
		Version uint64          `json:"version"`
		Deaths  int64           `json:"declared_dead"`
		Ring    chivering.Depth `json:"ring"`
	}{s.Members(), s.version.Load(), s.deaths.Load(), s.inbox.Depth()}
}

func (s *Service) run(ctx context.Context) {
	tick := time.NewTicker(TickEvery)
	defer tick.Stop()
	wake := time.NewTimer(TickEvery)
	defer wake.Stop()
	greet := time.NewTicker(GreetEvery)
	defer greet.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.send(s.view.Tick(time.Now()))
		case <-wake.C:
			s.send(s.view.Flush(time.Now()))
		case <-greet.C:
			if !s.view.IsAlone() {
				greet.Stop()
			}
			s.send(s.view.Greet())
		case e := <-s.inbox.Ready():
			s.handle(e)
		}
		s.publishWhenDue(time.Now())
		s.wakeWhenDue(time.Now(), wake)
	}
}

// publishWhenDue tells of a change at once, or later when one was told just now.
func (s *Service) publishWhenDue(now time.Time) {
	if s.version.Load() == s.view.Version() || now.Sub(s.published) < publishGap {
		return
	}
	s.published = now
	s.publish()
}

// wakeWhenDue sets the timer for the next round of news and the next change to tell; without either the tick is soon enough.
func (s *Service) wakeWhenDue(now time.Time, wake *time.Timer) {
	next := now.Add(TickEvery)
	if due, waiting := s.view.NewsDue(); waiting && due.Before(next) {
		next = due
	}
	if due := s.published.Add(publishGap); s.version.Load() != s.view.Version() && due.Before(next) {
		next = due
	}
	wake.Reset(next.Sub(now))
}

func (s *Service) handle(e event) {
	switch {
	case e.leave != nil:
		s.send(s.view.Leave(time.Now()))
		close(e.leave)
	case e.leaves != "":
		news := EndpointNews{Endpoint: e.leaves, UntilMs: time.Now().Add(leavingFor).UnixMilli()}
		s.send(s.view.SpreadEndpoint(time.Now(), "", news))
	case e.seeds != nil:
		s.view.SetSeeds(e.seeds)
		s.send(s.view.Greet())
	default:
		s.send(s.view.Receive(time.Now(), e.from, e.message))
	}
}

func (s *Service) send(out []Envelope) {
	for _, e := range out {
		// A full ring or a stopped mesh loses a membership message, which the next tick repeats.
		_ = s.mesh.Send(e.To, kindOf(e.Message), e.Message)
	}
}

// publish makes the new view visible to readers and tells those who watch it.
func (s *Service) publish() {
	members := s.view.Members()
	if before := s.members.Load(); before != nil {
		s.logChanges(*before, members)
	}
	s.members.Store(&members)
	leaving := s.view.LeavingEndpoints(time.Now())
	s.leaving.Store(&leaving)
	s.version.Store(s.view.Version())
	s.deaths.Store(s.view.Deaths())
	s.watchMu.Lock()
	watchers := s.watchers
	s.watchMu.Unlock()
	for _, heard := range watchers {
		heard(members)
	}
}

func (s *Service) logChanges(before, after []Member) {
	known := make(map[string]Member, len(before))
	for _, m := range before {
		known[m.Name] = m
	}
	ctx := context.Background()
	var alive []string
	for _, m := range after {
		old, ok := known[m.Name]
		delete(known, m.Name)
		switch {
		case m.State == Leaving && old.State != Leaving:
			chiveevent.MemberLeaving.Log(ctx, s.logger, slog.String("member", m.Name))
		case !ok || old.Incarnation != m.Incarnation:
			alive = append(alive, m.Name)
		}
	}
	s.logAlive(ctx, alive)
	for name := range known {
		chiveevent.MemberDead.Log(ctx, s.logger, slog.String("member", name))
	}
}

// logAlive writes one line a member, or one line for all when many come at once.
func (s *Service) logAlive(ctx context.Context, alive []string) {
	if len(alive) > linesAtOnce {
		chiveevent.MemberAlive.Log(ctx, s.logger, slog.Int("count", len(alive)), slog.Any("members", alive))
		return
	}
	for _, name := range alive {
		chiveevent.MemberAlive.Log(ctx, s.logger, slog.String("member", name))
	}
}

func (s *Service) poll(ctx context.Context) {
	failing := false
	for {
		pause, err := s.pollOnce(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			chiveevent.VMListDown.Log(ctx, s.logger, slog.String("error", err.Error()))
		}
		failing = err != nil
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// pause spaces the polls by the size of the list: 330 nodes that each fetched a list of a thousand VMs every two seconds
// would spend more on it than on all other control, and what one node learns of an endpoint it passes on anyway.
func (s *Service) pause(listed int) time.Duration {
	bySize := time.Duration(listed*listEntry) * time.Second / listBytesPer
	if len(s.Members()) <= 1 {
		return listEvery
	}
	return max(listEvery, bySize)
}

func (s *Service) pollOnce(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := s.lister.VMs(ctx)
	if err != nil {
		return listEvery, err
	}
	seeds := []Member{}
	var leaving []string
	for _, vm := range vms {
		switch {
		case vm.Kind == chivelog.KindEntry:
			seeds = append(seeds, Member{Name: vm.Name, Address: vm.Address, AdminAddress: vm.AdminAddress, Region: vm.Region, FailureDomain: vm.FailureDomain})
		case vm.State == chivelog.StateLeaving:
			leaving = append(leaving, vm.Address)
		}
	}
	for _, address := range leaving {
		s.EndpointLeaves(address)
	}
	s.inbox.Offer(event{seeds: seeds})
	return s.pause(len(vms)), nil
}
