package chiverate

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chiveroute"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "shared rates"

const (
	// replyTimeout is how long an owner may take to reply: several network round trips, and far less than any latency
	// target.
	replyTimeout = 50 * time.Millisecond
	// ownerBackoff is how long no permit is asked for after the owner of a rate did not reply.
	ownerBackoff = 500 * time.Millisecond
	// minWait bounds how often a node asks for a permit of one rate.
	minWait = 5 * time.Millisecond
	// bucketIdleTimeout is how long an unused bucket is kept. A new one starts empty, so this must be longer than the
	// time between two requests at the lowest rate.
	bucketIdleTimeout = 10 * time.Minute
	// maxBuckets is the number of buckets above which unused ones are evicted.
	maxBuckets = 4096
)

// Ask asks the owner of a rate for a permit.
type Ask struct {
	// Number identifies the request among those of the sending node.
	Number uint64
	// Key identifies the rate.
	Key       string
	PerSecond float64
}

// Answer is the reply to an Ask. If the permit is not granted, WaitUs is the time until the next one in microseconds.
type Answer struct {
	Number  uint64
	Granted bool
	WaitUs  int64
}

// Counts are the numbers of permits that this node asked for since its start, by outcome.
type Counts struct {
	Granted    int64
	Denied     int64
	Unanswered int64
}

// Service holds the buckets of the rates that this node owns, and asks the owners of others for permits.
type Service struct {
	mesh    *chivewire.Mesh
	calls   *chivewire.Calls[Answer]
	members atomic.Pointer[[]chivemember.Member]

	granted, denied, unanswered atomic.Int64

	mu      sync.Mutex
	buckets map[string]*Bucket
	peak    chivemember.PeakSize
}

// New returns a service without buckets, in a fleet of one node.
func New(mesh *chivewire.Mesh) *Service {
	s := &Service{mesh: mesh, calls: chivewire.NewCalls[Answer](), buckets: make(map[string]*Bucket), peak: chivemember.NewPeakSize(time.Now())}
	s.members.Store(&[]chivemember.Member{})
	chivewire.Receive(mesh, chivewire.KindRateAsk, s.respond)
	chivewire.Receive(mesh, chivewire.KindRateAnswer, func(_ string, answer Answer) { s.calls.Deliver(answer.Number, answer) })
	return s
}

// SetMembers applies a membership change.
func (s *Service) SetMembers(members []chivemember.Member) {
	s.members.Store(&members)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peak.Set(time.Now(), len(members))
}

// Start does nothing: permits are asked for on the goroutines of the requests.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Dump returns the rates that this node owns, in requests a second, and the numbers of permits by outcome.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	owned := make(map[string]float64, len(s.buckets))
	for key, b := range s.buckets {
		owned[key] = b.perSecond
	}
	return struct {
		Owned      map[string]float64 `json:"owned_per_second"`
		Granted    int64              `json:"granted"`
		Denied     int64              `json:"denied"`
		Unanswered int64              `json:"unanswered"`
	}{owned, s.granted.Load(), s.denied.Load(), s.unanswered.Load()}
}

// Counts returns the numbers of permits by outcome.
func (s *Service) Counts() Counts {
	return Counts{Granted: s.granted.Load(), Denied: s.denied.Load(), Unanswered: s.unanswered.Load()}
}

// Take asks for a permit of a rate, in requests a second. If it is not granted, Take returns how long to wait before
// asking again. Without a reply of the owner there is no permit: a share of the rate for each node that is cut off from
// it would exceed the rate together with the permits that the owner goes on to issue.
func (s *Service) Take(ctx context.Context, key string, perSecond float64) (granted bool, wait time.Duration) {
	owner, ok := s.ownerOf(key)
	if !ok {
		s.unanswered.Add(1)
		return false, ownerBackoff
	}
	if owner == s.mesh.Self() {
		return s.count(s.takeOwned(key, perSecond))
	}
	answer, err := s.calls.Call(ctx, replyTimeout, func(number uint64) error {
		return s.mesh.Send(owner, chivewire.KindRateAsk, Ask{Number: number, Key: key, PerSecond: perSecond})
	})
	if err != nil {
		s.unanswered.Add(1)
		return false, ownerBackoff
	}
	return s.count(answer.Granted, time.Duration(answer.WaitUs)*time.Microsecond)
}

// count counts the outcome of a request for a permit and bounds its wait.
func (s *Service) count(granted bool, wait time.Duration) (bool, time.Duration) {
	if granted {
		s.granted.Add(1)
		return true, 0
	}
	s.denied.Add(1)
	return false, max(wait, minWait)
}

func (s *Service) ownerOf(key string) (string, bool) {
	ranked := chiveroute.Ranked("rate/"+key, "", *s.members.Load())
	if len(ranked) == 0 {
		return "", false
	}
	return ranked[0].Address, true
}

// respond handles a peer's request for a permit.
func (s *Service) respond(from string, ask Ask) {
	if math.IsNaN(ask.PerSecond) || ask.PerSecond <= 0 {
		return
	}
	granted, wait := s.takeOwned(ask.Key, ask.PerSecond)
	// If the answer is lost, so is the permit, which keeps the fleet within the rate.
	_ = s.mesh.Send(from, chivewire.KindRateAnswer, Answer{Number: ask.Number, Granted: granted, WaitUs: wait.Microseconds()})
}

// takeOwned takes a permit from a bucket of this node. In a partition each side has an owner: each issues the share of
// the rate that corresponds to its share of the fleet.
func (s *Service) takeOwned(key string, perSecond float64) (granted bool, wait time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[key]
	if !ok {
		s.evictIdle(now)
		b = NewBucket(now)
		s.buckets[key] = b
	}
	alive := max(len(*s.members.Load()), 1)
	return b.Take(now, perSecond*float64(alive)/float64(s.peak.Size()))
}

// evictIdle drops unused buckets if there are many. The caller holds the lock.
func (s *Service) evictIdle(now time.Time) {
	if len(s.buckets) < maxBuckets {
		return
	}
	for key, b := range s.buckets {
		if now.Sub(b.updatedAt) > bucketIdleTimeout {
			delete(s.buckets, key)
		}
	}
}
