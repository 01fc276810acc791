package chivegrant

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivemember"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivering"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "grants"

const (
	// askWithin is how long a keeper may take: several times the way there and back, and far less than any target.
	askWithin = 40 * time.Millisecond
	// silentFor is how long a keeper that did not answer is not asked: about the time until it is noticed as dead.
	silentFor = 2 * time.Second
	inboxSize = 1024
	// divideEvery is the least time between two divisions: when a deployment starts, thousands of engines come one by one.
	divideEvery = 300 * time.Millisecond
	// spillLoss is how much more the home group of a part may cost than reading the prompt anew in another group.
	spillLoss = 0.3
)

// ErrAlone tells that the node has to decide alone.
var ErrAlone = errors.New("no keeper answers")

// Pools are the pools that places are granted in.
type Pools interface {
	// Pool returns the pool of a name, or nil.
	Pool(name string) *chiveplace.Pool
	// Release drops what other nodes have on endpoints that this node does not keep.
	Release(kept func(endpoint string) bool)
}

// Options are the parts the service is made of.
type Options struct {
	Mesh   *chivewire.Mesh
	Pools  Pools
	Logger *slog.Logger
}

// Counts are how this node's questions went, since its start.
type Counts struct {
	Asked   int64
	Granted int64
	Refused int64
	Silent  int64
}

// question is one question with its sender.
type question struct {
	from string
	ask  PlaceAsk
}

// Service asks keepers for places, and answers for the groups that this node keeps.
type Service struct {
	o       Options
	inbox   *chivering.Ring[question]
	divided atomic.Pointer[groups]
	numbers atomic.Uint64
	given   atomic.Uint64
	asked   atomic.Int64
	granted atomic.Int64
	refused atomic.Int64
	unheard atomic.Int64

	mu        sync.Mutex
	endpoints []chivedirectory.Endpoint
	members   []chivemember.Member
	engines   map[string]bool
	waiting   map[uint64]chan PlaceAnswer
	silent    map[string]time.Time
	seen      map[string]uint64
	duties    chivekernel.Duties
	changed   chan struct{}
}

// New returns a service that knows no engines yet.
func New(o Options) *Service {
	s := &Service{
		o: o, inbox: chivering.New[question](inboxSize), engines: make(map[string]bool), waiting: make(map[uint64]chan PlaceAnswer),
		silent: make(map[string]time.Time), seen: make(map[string]uint64), changed: make(chan struct{}, 1),
	}
	s.divided.Store(newGroups(nil, nil, nil))
	chivewire.Receive(o.Mesh, chivewire.KindPlaceAsk, func(from string, ask PlaceAsk) {
		// A full ring is silence to the node that asks: it decides alone.
		s.inbox.Offer(question{from, ask})
	})
	chivewire.Receive(o.Mesh, chivewire.KindPlaceAnswer, func(_ string, answer PlaceAnswer) { s.hear(answer) })
	return s
}

// Start begins to answer.
func (s *Service) Start(ctx context.Context) error {
	s.duties.Begin(ctx, s.run, s.divideWhenChanged)
	return nil
}

// Stop ends that.
func (s *Service) Stop(context.Context) error {
	s.duties.End()
	return nil
}

// Dump returns the groups with their keepers.
func (s *Service) Dump() any {
	g := s.divided.Load()
	return struct {
		Asking  bool              `json:"asking"`
		Keepers map[string]string `json:"keepers"`
		Ring    chivering.Depth   `json:"ring"`
	}{g.asking, g.keepers, s.inbox.Depth()}
}

// SetTable takes a configuration that came into force.
func (s *Service) SetTable(table *chivetable.Table) {
	s.mu.Lock()
	s.engines = make(map[string]bool)
	for _, p := range table.Pools() {
		s.engines[p.Name] = p.Engine.Slots > 0
	}
	s.mu.Unlock()
	s.change()
}

// SetEndpoints takes a change of the directory.
func (s *Service) SetEndpoints(endpoints []chivedirectory.Endpoint) {
	s.mu.Lock()
	s.endpoints = endpoints
	s.mu.Unlock()
	s.change()
}

// SetMembers takes a change of the fleet.
func (s *Service) SetMembers(members []chivemember.Member) {
	s.mu.Lock()
	s.members = members
	there := func(address string) bool {
		return slices.ContainsFunc(members, func(m chivemember.Member) bool { return m.Address == address })
	}
	// What is remembered of nodes that were replaced would otherwise grow for ever.
	maps.DeleteFunc(s.silent, func(address string, _ time.Time) bool { return !there(address) })
	maps.DeleteFunc(s.seen, func(address string, _ uint64) bool { return !there(address) })
	s.mu.Unlock()
	s.change()
}

// change wakes the goroutine that divides.
func (s *Service) change() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Service) divideWhenChanged(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			s.divide()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(divideEvery):
		}
	}
}

func (s *Service) divide() {
	s.mu.Lock()
	g := newGroups(s.endpoints, func(pool string) bool { return s.engines[pool] }, s.members)
	before := s.divided.Swap(g)
	nodes := len(s.members)
	s.mu.Unlock()
	if own, was := g.keptBy(s.o.Mesh.Self()), before.keptBy(s.o.Mesh.Self()); g.asking != before.asking || !slices.Equal(own, was) {
		chiveevent.EnginesDivided.Log(context.Background(), s.o.Logger, slog.Bool("asking", g.asking), slog.Int("nodes", nodes),
			slog.Int("groups", len(g.engines)), slog.Any("kept_here", own))
	}
	if g.asking {
		s.o.Pools.Release(func(endpoint string) bool { return g.keeperOf(endpoint) == s.o.Mesh.Self() })
	}
}

// Counts returns how this node's questions went.
func (s *Service) Counts() Counts {
	return Counts{Asked: s.asked.Load(), Granted: s.granted.Load(), Refused: s.refused.Load(), Silent: s.unheard.Load()}
}

// Asking tells whether the fleet is so large that keepers are asked.
func (s *Service) Asking() bool { return s.divided.Load().asking }

// KeeperOf returns the address of the node that keeps an engine; empty for an endpoint that nobody keeps.
func (s *Service) KeeperOf(endpoint string) string { return s.divided.Load().keeperOf(endpoint) }

// Seen returns the newest grant of a keeper that this node has taken.
func (s *Service) Seen(keeper string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[keeper]
}

// Place gets a place for a prompt. The error is ErrAlone when the node has to decide alone, a *chiveplace.RefusedError when
// the engines have no room.
func (s *Service) Place(ctx context.Context, pool *chiveplace.Pool, request *chiverequest.Request, exclude []string) (*chiveplace.Place, error) {
	g := s.divided.Load()
	if !g.asking {
		return nil, ErrAlone
	}
	first, second := g.homes(request.Pool, chiveplace.SharedPart(request.Prompt))
	if first == "" {
		return nil, ErrAlone
	}
	w := &wish{service: s, groups: g, pool: pool, request: request, exclude: append(pool.PassedOver(time.Now()), exclude...)}
	if second == "" {
		return w.from(ctx, first, 0)
	}
	place, err := w.from(ctx, first, spillLoss+chiveplace.ReadingLoss(request.Prompt.Input))
	var refused *chiveplace.RefusedError
	if !errors.As(err, &refused) {
		return place, err
	}
	place, elsewhere := w.from(ctx, second, refused.Loss)
	if elsewhere == nil || refused.Loss == 0 {
		return place, elsewhere
	}
	return w.from(ctx, first, 0)
}

// wish is one request on its way to a place.
type wish struct {
	service *Service
	groups  *groups
	pool    *chiveplace.Pool
	request *chiverequest.Request
	exclude []string
}

// from asks the keeper of a group, which may be this node.
func (w *wish) from(ctx context.Context, group string, most float64) (*chiveplace.Place, error) {
	s := w.service
	keeper := w.groups.keepers[group]
	if keeper == s.o.Mesh.Self() {
		return w.pool.Take(time.Now(), chiveplace.Ask{Prompt: w.request.Prompt, Exclude: w.exclude, Among: w.groups.engines[group], Most: most})
	}
	ask := newPlaceAsk(w.request.Pool, group, w.request.Prompt)
	ask.Exclude, ask.Most = w.exclude, most
	answer, err := s.ask(ctx, keeper, ask)
	if err != nil {
		return nil, err
	}
	if answer.Refused != "" {
		s.refused.Add(1)
		return nil, &chiveplace.RefusedError{Reason: answer.Refused, RetryAfter: answer.RetryAfter, Loss: answer.Loss}
	}
	s.granted.Add(1)
	answer.Grant.Keeper = keeper
	place, ok := w.pool.Adopt(time.Now(), answer.Grant, w.request.Prompt)
	s.note(keeper, answer.Given)
	if !ok {
		return nil, ErrAlone
	}
	return place, nil
}

// note remembers a grant, so that the next word to its keeper tells that it is counted there.
func (s *Service) note(keeper string, given uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[keeper] = given
}

// ask sends a question and waits a short while for its answer.
func (s *Service) ask(ctx context.Context, keeper string, ask PlaceAsk) (PlaceAnswer, error) {
	ask.Number = s.numbers.Add(1)
	answered := make(chan PlaceAnswer, 1)
	s.mu.Lock()
	silent := keeper == "" || time.Now().Before(s.silent[keeper])
	if !silent {
		s.waiting[ask.Number] = answered
	}
	s.mu.Unlock()
	if silent {
		return PlaceAnswer{}, ErrAlone
	}
	defer s.forget(ask.Number)
	s.asked.Add(1)
	if err := s.o.Mesh.Send(keeper, chivewire.KindPlaceAsk, ask); err != nil {
		return PlaceAnswer{}, fmt.Errorf("%w: %w", ErrAlone, err)
	}
	timer := time.NewTimer(askWithin)
	defer timer.Stop()
	select {
	case answer := <-answered:
		s.noteAnswer(ctx, keeper)
		return answer, nil
	case <-ctx.Done():
	case <-timer.C:
		s.noteSilence(ctx, keeper, ask.Group)
	}
	return PlaceAnswer{}, ErrAlone
}

// noteSilence keeps the node from asking a keeper for a while; one line tells of a silence, however long it lasts.
func (s *Service) noteSilence(ctx context.Context, keeper, group string) {
	s.unheard.Add(1)
	s.mu.Lock()
	_, known := s.silent[keeper]
	s.silent[keeper] = time.Now().Add(silentFor)
	s.mu.Unlock()
	if !known {
		chiveevent.KeeperSilent.Log(ctx, s.o.Logger, slog.String("keeper", keeper), slog.String("group", group),
			slog.Int64("waited_ms", askWithin.Milliseconds()))
	}
}

func (s *Service) noteAnswer(ctx context.Context, keeper string) {
	s.mu.Lock()
	_, known := s.silent[keeper]
	delete(s.silent, keeper)
	s.mu.Unlock()
	if known {
		chiveevent.KeeperBack.Log(ctx, s.o.Logger, slog.String("keeper", keeper))
	}
}

func (s *Service) forget(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, number)
}

// hear hands an answer to the request that waits for it; one that comes too late is dropped, and its place with it after a
// while, since this node never tells of it.
func (s *Service) hear(answer PlaceAnswer) {
	s.mu.Lock()
	answered := s.waiting[answer.Number]
	s.mu.Unlock()
	if answered != nil {
		answered <- answer
	}
}

func (s *Service) run(ctx context.Context) {
	for {
		q, ok := s.inbox.Take(ctx)
		if !ok {
			return
		}
		// When the answer is lost the node decides alone.
		_ = s.o.Mesh.Send(q.from, chivewire.KindPlaceAnswer, s.decide(q))
	}
}

// decide answers a question for a group that this node keeps.
func (s *Service) decide(q question) PlaceAnswer {
	answer := PlaceAnswer{Number: q.ask.Number}
	pool, among := s.o.Pools.Pool(q.ask.Pool), s.divided.Load().engines[q.ask.Group]
	if pool == nil || len(among) == 0 {
		answer.Refused, answer.RetryAfter = "the keeper does not know the engines yet", chiveplace.RetryWhenNone
		return answer
	}
	given := s.given.Add(1)
	grant, err := pool.Grant(time.Now(), q.from, given, chiveplace.Ask{
		Prompt: q.ask.prompt(), Exclude: q.ask.Exclude, Among: among, Most: q.ask.Most,
	})
	var refused *chiveplace.RefusedError
	if errors.As(err, &refused) {
		answer.Refused, answer.RetryAfter, answer.Loss = refused.Reason, refused.RetryAfter, refused.Loss
		return answer
	}
	answer.Given, answer.Grant = given, grant
	return answer
}
