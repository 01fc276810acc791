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
	inboxSize          = 4096
	listInterval       = 2 * time.Second
	listTimeout        = 2 * time.Second
	listBytesPerVM     = 170
	listBytesPerSecond = 1024
	leavingTTL         = time.Minute
	// minPublishInterval is the least time between two notifications of the subscribers. Each of them recomputes what
	// depends on the fleet, and in the cold start of 300 nodes nearly every message brings a change.
	minPublishInterval = 100 * time.Millisecond
	// maxAliveLines is the number of members appearing at once up to which each gets a log line; otherwise a node that
	// joins a fleet of hundreds would write hundreds of lines in its first tenth of a second.
	maxAliveLines = 8
)

// Lister lists the VMs of the platform.
type Lister interface {
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) ([]chivelog.VM, error)
}

// Service runs a View. One goroutine owns the view and passes ticks and the queued messages to it; another polls the
// platform's list of VMs.
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
	// publishedAt is when the last change was published; it belongs to the run goroutine.
	publishedAt   time.Time
	subscribersMu sync.Mutex
	subscribers   []func([]Member)
	goroutines    chivekernel.Duties
}

// An event is one input to the view: a message, a new list of seeds, a leaving endpoint, or the request to leave.
type event struct {
	from            string
	message         any
	seeds           []Member
	leavingEndpoint string
	leaveDone       chan struct{}
}

// NewService returns the membership service of a node.
func NewService(self Member, mesh *chivewire.Mesh, lister Lister, logger *slog.Logger) *Service {
	s := &Service{mesh: mesh, lister: lister, logger: logger, view: NewView(self, time.Now()), inbox: chivering.New[event](inboxSize)}
	queueMessages[Probe](s, chivewire.KindProbe)
	queueMessages[Ack](s, chivewire.KindAck)
	queueMessages[News](s, chivewire.KindNews)
	queueMessages[Confirm](s, chivewire.KindConfirm)
	queueMessages[Heard](s, chivewire.KindHeard)
	queueMessages[Sync](s, chivewire.KindSync)
	queueMessages[EndpointNews](s, chivewire.KindEndpointNews)
	s.publish()
	return s
}

func queueMessages[T any](s *Service, kind chivewire.Kind) {
	chivewire.Receive(s.mesh, kind, func(from string, message T) {
		// A full ring drops the message. Probes are repeated, and the comparison of digests repairs lost updates.
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

// EndpointLeaves tells the fleet that an endpoint, given by its address, takes no new work.
func (s *Service) EndpointLeaves(address string) {
	// A full ring drops the message; the endpoint's next refusal sends it again.
	s.inbox.Offer(event{leavingEndpoint: address})
}

// LeavingEndpoints returns the addresses of the endpoints that take no new work.
func (s *Service) LeavingEndpoints() []string {
	if addresses := s.leaving.Load(); addresses != nil {
		return *addresses
	}
	return nil
}

// OnChange adds a function that is called with the members now and after every change; it must not block.
func (s *Service) OnChange(notify func([]Member)) {
	s.subscribersMu.Lock()
	s.subscribers = append(s.subscribers, notify)
	s.subscribersMu.Unlock()
	notify(s.Members())
}

// OnReply sets a function that is called with the time from a probe of a member to its answer; nil for none. It
// must not block, and must be set before Start.
func (s *Service) OnReply(notify func(address string, roundTrip time.Duration)) {
	s.view.OnReply(notify)
}

// Leave tells the fleet that this node is leaving and takes on nothing new.
func (s *Service) Leave(ctx context.Context) {
	done := make(chan struct{})
	if !s.inbox.Offer(event{leaveDone: done}) {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Start starts probing and polling.
func (s *Service) Start(ctx context.Context) error {
	s.goroutines.Begin(ctx, s.run, s.poll)
	return nil
}

// Stop ends both goroutines.
func (s *Service) Stop(context.Context) error {
	s.goroutines.End()
	return nil
}

// Dump returns the members and the counters of the service.
func (s *Service) Dump() any {
	return struct {
		Members []Member        `json:"members"`
		Version uint64          `json:"version"`
		Deaths  int64           `json:"declared_dead"`
		Ring    chivering.Depth `json:"ring"`
	}{s.Members(), s.version.Load(), s.deaths.Load(), s.inbox.Depth()}
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(TickEvery)
	defer ticker.Stop()
	wakeTimer := time.NewTimer(TickEvery)
	defer wakeTimer.Stop()
	seedTicker := time.NewTicker(GreetEvery)
	defer seedTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.send(s.view.Tick(time.Now()))
		case <-wakeTimer.C:
			s.send(s.view.Flush(time.Now()))
		case <-seedTicker.C:
			if !s.view.IsAlone() {
				seedTicker.Stop()
			}
			s.send(s.view.Greet())
		case e := <-s.inbox.Ready():
			s.handle(e)
		}
		s.publishIfDue(time.Now())
		s.resetWakeTimer(time.Now(), wakeTimer)
	}
}

// publishIfDue publishes a change of the view, at most once per minPublishInterval.
func (s *Service) publishIfDue(now time.Time) {
	if s.version.Load() == s.view.Version() || now.Sub(s.publishedAt) < minPublishInterval {
		return
	}
	s.publishedAt = now
	s.publish()
}

// resetWakeTimer sets the timer for the next flush of updates or the next publication, at the latest one tick from now.
func (s *Service) resetWakeTimer(now time.Time, timer *time.Timer) {
	next := now.Add(TickEvery)
	if due, pending := s.view.NewsDue(); pending && due.Before(next) {
		next = due
	}
	if due := s.publishedAt.Add(minPublishInterval); s.version.Load() != s.view.Version() && due.Before(next) {
		next = due
	}
	timer.Reset(next.Sub(now))
}

func (s *Service) handle(e event) {
	switch {
	case e.leaveDone != nil:
		s.send(s.view.Leave(time.Now()))
		close(e.leaveDone)
	case e.leavingEndpoint != "":
		message := EndpointNews{Endpoint: e.leavingEndpoint, UntilMs: time.Now().Add(leavingTTL).UnixMilli()}
		s.send(s.view.SpreadEndpoint(time.Now(), "", message))
	case e.seeds != nil:
		s.view.SetSeeds(e.seeds)
		s.send(s.view.Greet())
	default:
		s.send(s.view.Receive(time.Now(), e.from, e.message))
	}
}

func (s *Service) send(out []Envelope) {
	for _, e := range out {
		// The next ticks make up for a message lost to a full ring or a stopped mesh.
		_ = s.mesh.Send(e.To, kindOf(e.Message), e.Message)
	}
}

// publish makes the new view visible to callers and notifies the subscribers.
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
	s.subscribersMu.Lock()
	subscribers := s.subscribers
	s.subscribersMu.Unlock()
	for _, notify := range subscribers {
		notify(members)
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
		previous, ok := known[m.Name]
		delete(known, m.Name)
		switch {
		case m.State == Leaving && previous.State != Leaving:
			chiveevent.MemberLeaving.Log(ctx, s.logger, slog.String("member", m.Name))
		case !ok || previous.Incarnation != m.Incarnation:
			alive = append(alive, m.Name)
		}
	}
	s.logAlive(ctx, alive)
	for name := range known {
		chiveevent.MemberDead.Log(ctx, s.logger, slog.String("member", name))
	}
}

// logAlive writes one line per member, or one line for all if many appear at once.
func (s *Service) logAlive(ctx context.Context, alive []string) {
	if len(alive) > maxAliveLines {
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
		interval, err := s.pollOnce(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			chiveevent.VMListDown.Log(ctx, s.logger, slog.String("error", err.Error()))
		}
		failing = err != nil
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
	}
}

// pollInterval grows with the size of the list: if 330 nodes each fetched a list of a thousand VMs every two seconds,
// that would cost more than all other control traffic, and what one node learns of an endpoint it passes on anyway.
func (s *Service) pollInterval(vms int) time.Duration {
	bySize := time.Duration(vms*listBytesPerVM) * time.Second / listBytesPerSecond
	if len(s.Members()) <= 1 {
		return listInterval
	}
	return max(listInterval, bySize)
}

func (s *Service) pollOnce(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := s.lister.VMs(ctx)
	if err != nil {
		return listInterval, err
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
	return s.pollInterval(len(vms)), nil
}
