package chiverate

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chivemember"
	"chivedrift/chiverequest"
	"chivedrift/chiveroute"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "shared rates"

const (
	// ownerKey precedes the key whose owner is looked up among the members.
	ownerKey = "rate/"
	// replyTimeout is how long an owner in the same region may take to reply: several network round trips, and far less
	// than any latency target.
	replyTimeout = 50 * time.Millisecond
	// ownerBackoff is how long no permit is asked for after the owner of a rate did not reply.
	ownerBackoff = 500 * time.Millisecond
	// handoverWait is how long a node waits after it asked a node that knows another owner of the rate.
	handoverWait = 100 * time.Millisecond
	// minWait bounds how often a node asks for a permit of one rate.
	minWait = 5 * time.Millisecond
	// bucketIdleTimeout is how long an unused bucket is kept. A new one starts empty, so this must be longer than the
	// time between two requests at the lowest rate.
	bucketIdleTimeout = 10 * time.Minute
	// maxBuckets is the number of buckets above which unused ones are evicted.
	maxBuckets = 4096
)

// Ask asks the owner of a key for a permit within its limits.
type Ask struct {
	// Number identifies the request among those of the sending node.
	Number uint64
	// Key identifies what is limited.
	Key       string
	PerSecond float64
	Refusals  int
}

func (a Ask) limits() chiverequest.Limits {
	return chiverequest.Limits{PerSecond: a.PerSecond, Refusals: a.Refusals}
}

// Release tells the owner that a request with a permit under a limit on refusals has ended.
type Release struct {
	Key string
	// Refused means that the request was refused for want of room, while the endpoint had Load requests as far as the
	// sender knows.
	Refused bool
	Load    int
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
	calls   *chivedistance.Calls[Answer]
	members atomic.Pointer[[]chivemember.Member]
	// settled reports whether this node knows the fleet.
	settled func() bool
	users   permitUsers

	granted, denied, unanswered atomic.Int64

	mu      sync.Mutex
	buckets map[string]*Bucket
	peak    chivemember.PeakSize
}

// New returns a service without buckets, in a fleet of one node.
func New(mesh *chivewire.Mesh) *Service {
	s := &Service{mesh: mesh, calls: chivedistance.NewCalls[Answer](nil), settled: func() bool { return true }, users: permitUsers{self: mesh.Self(), known: map[string]bool{mesh.Self(): true}}, buckets: make(map[string]*Bucket), peak: chivemember.NewPeakSize(time.Now())}
	s.members.Store(&[]chivemember.Member{})
	chivewire.Receive(mesh, chivewire.KindRateAsk, s.respond)
	chivewire.Receive(mesh, chivewire.KindRateRelease, s.applyRelease)
	chivewire.Receive(mesh, chivewire.KindPermitUser, s.receiveGreeting)
	chivewire.Receive(mesh, chivewire.KindRateAnswer, func(_ string, answer Answer) { s.calls.Deliver(answer.Number, answer) })
	return s
}

// SetDistances sets the distances to the peers; it must be called before the first request.
func (s *Service) SetDistances(distances *chivedistance.Table) { s.calls.SetTable(distances) }

// SetMembers applies a membership change.
func (s *Service) SetMembers(members []chivemember.Member) {
	before := *s.members.Swap(&members)
	s.greet(members)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.peak.Set(now, len(members))
	for key, b := range s.buckets {
		if chiveroute.BecomesOwner(s.mesh.Self(), ownerKey+key, before, members) {
			b.Empty(now)
		}
	}
	addresses := make(map[string]bool, len(members))
	for _, m := range members {
		addresses[m.Address] = true
	}
	for _, b := range s.buckets {
		b.Forget(func(node string) bool { return addresses[node] })
	}
}

// Start does nothing: permits are asked for on the goroutines of the requests.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Dump returns the limits that this node owns and the numbers of permits by outcome.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	owned := make(map[string]chiverequest.Limits, len(s.buckets))
	for key, b := range s.buckets {
		owned[key] = b.limits
	}
	return struct {
		Owned      map[string]chiverequest.Limits `json:"owned"`
		Granted    int64                          `json:"granted"`
		Denied     int64                          `json:"denied"`
		Unanswered int64                          `json:"unanswered"`
	}{owned, s.granted.Load(), s.denied.Load(), s.unanswered.Load()}
}

// Counts returns the numbers of permits by outcome.
func (s *Service) Counts() Counts {
	return Counts{Granted: s.granted.Load(), Denied: s.denied.Load(), Unanswered: s.unanswered.Load()}
}

// Take asks for a permit within the limits of a key, for a request with a target; 0 for none. If it is not granted, Take returns how long to wait before
// asking again. Without a reply of the owner there is no permit: a share of the rate for each node that is cut off from
// it would exceed the rate together with the permits that the owner goes on to issue.
func (s *Service) Take(ctx context.Context, key string, limits chiverequest.Limits, target time.Duration) (granted bool, wait time.Duration) {
	owner, ok := s.ownerOf(key)
	if !ok {
		s.unanswered.Add(1)
		return false, ownerBackoff
	}
	if owner == s.mesh.Self() {
		return s.count(s.takeOwned(owner, key, limits))
	}
	answer, err := s.calls.CallWithin(ctx, owner, replyTimeout, target, func(number uint64) error {
		return s.mesh.Send(owner, chivewire.KindRateAsk, Ask{Number: number, Key: key, PerSecond: limits.PerSecond, Refusals: limits.Refusals})
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
	return chiveroute.Owner(ownerKey+key, *s.members.Load())
}

// respond handles a peer's request for a permit.
func (s *Service) respond(from string, ask Ask) {
	if math.IsNaN(ask.PerSecond) || ask.PerSecond < 0 || ask.Refusals < 0 {
		return
	}
	granted, wait := false, handoverWait
	// If this node knows another owner, that one issues the permits, and the sender does not know it yet.
	if owner, ok := s.ownerOf(ask.Key); !ok || owner == s.mesh.Self() {
		granted, wait = s.takeOwned(from, ask.Key, ask.limits())
	}
	// If the answer is lost, so is the permit, which keeps the fleet within the rate.
	_ = s.mesh.Send(from, chivewire.KindRateAnswer, Answer{Number: ask.Number, Granted: granted, WaitUs: wait.Microseconds()})
}

// Release returns a permit under a limit on refusals after its request has ended. If the request was refused for want of
// room, load is how many requests the endpoint had then, as far as this node knows.
func (s *Service) Release(key string, refused bool, load int) {
	if owner, ok := s.ownerOf(key); ok {
		// If the message is lost, the permit counts as in use for a while.
		_ = s.mesh.Send(owner, chivewire.KindRateRelease, Release{Key: key, Refused: refused, Load: load})
	}
}

func (s *Service) applyRelease(from string, release Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if b := s.bucket(now, release.Key); release.Refused {
		b.Refused(now, from, release.Load)
	} else {
		b.Release(now, from)
	}
}

// takeOwned takes a permit for a node from a bucket of this node. In a partition each side has an owner: each issues the share of
// the rate that corresponds to its share of the fleet.
func (s *Service) takeOwned(node, key string, limits chiverequest.Limits) (granted bool, wait time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	alive := max(len(*s.members.Load()), 1)
	limits.PerSecond *= float64(alive) / float64(s.peak.Size())
	return s.bucket(now, key).Take(now, node, limits)
}

// bucket returns the bucket of a key, creating it if needed. The caller holds the lock.
func (s *Service) bucket(now time.Time, key string) *Bucket {
	b, ok := s.buckets[key]
	if !ok {
		s.evictIdle(now)
		b = NewBucket(now)
		s.buckets[key] = b
	}
	return b
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
