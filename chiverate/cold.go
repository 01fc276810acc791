package chiverate

import (
	"context"
	"maps"
	"sync"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chiverequest"
	"chivedrift/chivewire"
)

const (
	// minColdShare is the least share of the fleet that a side of a partition must have to issue permits for cold endpoints.
	// Each side may hold a permit that is issued at once, whatever its share of the rate.
	minColdShare = 0.2
	// unsettledWait is how long a node that does not know the fleet yet waits for a permit of a cold endpoint.
	unsettledWait = 100 * time.Millisecond
	// maxGreetedFleet is the largest fleet whose nodes announce that they use permits. In a larger one the part of a node of
	// an earlier release is less than one request during a warm-up, and it sends none.
	maxGreetedFleet = 64
)

// PermitUser announces that the sender sends requests to cold endpoints only with permits.
type PermitUser struct {
	// Reply means that the message replies to the receiver's own.
	Reply bool
}

// permitUsers are the members that use permits for cold endpoints. Those of earlier releases take an even part of the rate
// instead.
type permitUsers struct {
	self  string
	mu    sync.Mutex
	known map[string]bool
}

// add records a member.
func (u *permitUsers) add(member string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.known[member] = true
}

// retain drops those that are no members, and returns the members that are not known as users.
func (u *permitUsers) retain(members []chivemember.Member) (unknown []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.Address] = true
		if !u.known[m.Address] {
			unknown = append(unknown, m.Address)
		}
	}
	maps.DeleteFunc(u.known, func(address string, _ bool) bool { return address != u.self && !present[address] })
	return unknown
}

// share returns the share of the members that use permits.
func (u *permitUsers) share(members []chivemember.Member) float64 {
	if len(members) == 0 || len(members) > maxGreetedFleet {
		return 1
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	users := 0
	for _, m := range members {
		if u.known[m.Address] {
			users++
		}
	}
	return float64(users) / float64(len(members))
}

// greet announces this node to the members that are not known to use permits.
func (s *Service) greet(members []chivemember.Member) {
	unknown := s.users.retain(members)
	if len(members) > maxGreetedFleet {
		return
	}
	for _, address := range unknown {
		if address != s.mesh.Self() {
			// If the message is lost, the next change of the fleet repeats it.
			_ = s.mesh.Send(address, chivewire.KindPermitUser, PermitUser{})
		}
	}
}

// receiveGreeting records that a peer uses permits. A peer that is known may have restarted, and is replied to as well.
func (s *Service) receiveGreeting(from string, greeting PermitUser) {
	s.users.add(from)
	if !greeting.Reply {
		_ = s.mesh.Send(from, chivewire.KindPermitUser, PermitUser{Reply: true})
	}
}

// SetSettled sets the function that reports whether this node knows the fleet; it must be called before the first request.
func (s *Service) SetSettled(settled func() bool) { s.settled = settled }

// TakeCold is Take for an endpoint that crashes above its rate since it is cold. There is no permit on a node that does not
// know the fleet yet, which may take itself for the owner, nor on a small side of a partition. The part of the rate that nodes
// of earlier releases take without permits is left out.
func (s *Service) TakeCold(ctx context.Context, key string, limits chiverequest.Limits, target time.Duration) (granted bool, wait time.Duration) {
	if !s.settled() {
		return s.count(false, unsettledWait)
	}
	if alive, peak := s.fleet(); float64(alive) < minColdShare*float64(peak) {
		return s.count(false, ownerBackoff)
	}
	limits.PerSecond *= s.users.share(*s.members.Load())
	return s.Take(ctx, key, limits, target)
}

// fleet returns the number of members and the largest recent one.
func (s *Service) fleet() (alive, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(len(*s.members.Load()), 1), s.peak.Size()
}
