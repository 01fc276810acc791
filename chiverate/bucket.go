package chiverate

import (
	"slices"
	"time"

	"chivedrift/chiverequest"
)

const (
	// burstDuration is the time whose permits a bucket holds at most, beside one that waits for its request.
	burstDuration = 200 * time.Millisecond
	// refusalWindow is the time over which refusals are counted: the second of the limit, and how long the report of a
	// refusal may take.
	refusalWindow = 1100 * time.Millisecond
	// refusalDelay is how long after a permit its request may still be refused. A longer wait for a response means that
	// the endpoint has accepted the request.
	refusalDelay = 100 * time.Millisecond
	// refusalShare is the share of the refusals that an endpoint can bear that permits may cause. The rest is for nodes
	// that do not know the limits yet and for a change of the owner.
	refusalShare = 0.5
)

// Bucket issues the permits within the limits of one key. It starts without any: the previous owner may have issued
// permits until now.
type Bucket struct {
	limits    chiverequest.Limits
	balance   float64
	updatedAt time.Time
	// refusedAt are the times of the latest refusals, pendingAt those of permits whose requests may still be refused.
	refusedAt []time.Time
	pendingAt []time.Time
	room      room
}

// NewBucket returns an empty bucket.
func NewBucket(now time.Time) *Bucket {
	return &Bucket{updatedAt: now, room: newRoom()}
}

// Empty removes the permits that have been saved up, which another owner may have issued.
func (b *Bucket) Empty(now time.Time) { b.balance, b.updatedAt = 0, now }

// Take takes a permit of a node within the given limits. If there is none, it returns how long the next one takes. A
// permit under a limit on refusals counts as in use until Release.
func (b *Bucket) Take(now time.Time, node string, limits chiverequest.Limits) (granted bool, wait time.Duration) {
	b.limits = limits
	if wait := max(b.rateWait(now), b.refusalWait(now)); wait > 0 {
		return false, wait
	}
	if limits.Refusals > 0 {
		if wait := b.room.wait(now); wait > 0 {
			return false, wait
		}
		b.room.enter(now, node)
		b.pendingAt = append(b.pendingAt, now)
	}
	b.balance--
	return true, 0
}

// rateWait fills the bucket and returns how long the next permit takes by the rate.
func (b *Bucket) rateWait(now time.Time) time.Duration {
	rate := b.limits.PerSecond
	if rate == 0 {
		b.balance, b.updatedAt = 1, now
		return 0
	}
	b.balance = min(b.balance+rate*now.Sub(b.updatedAt).Seconds(), 1+rate*burstDuration.Seconds())
	b.updatedAt = now
	if b.balance >= 1 {
		return 0
	}
	return max(time.Duration((1-b.balance)/rate*float64(time.Second)), 1)
}

// refusalWait returns how long the next permit takes by the limit on refusals: all requests that may still be refused
// could be refused now, together with those that were.
func (b *Bucket) refusalWait(now time.Time) time.Duration {
	if b.limits.Refusals == 0 {
		return 0
	}
	b.refusedAt = slices.DeleteFunc(b.refusedAt, func(at time.Time) bool { return now.Sub(at) >= refusalWindow })
	b.pendingAt = slices.DeleteFunc(b.pendingAt, func(at time.Time) bool { return now.Sub(at) >= refusalDelay })
	allowed := max(int(refusalShare*float64(b.limits.Refusals)), 1)
	if len(b.refusedAt)+len(b.pendingAt) < allowed {
		return 0
	}
	wait := refusalWindow
	if len(b.pendingAt) > 0 {
		wait = refusalDelay - now.Sub(b.pendingAt[0])
	}
	if len(b.refusedAt) > 0 {
		wait = min(wait, refusalWindow-now.Sub(b.refusedAt[0]))
	}
	return max(wait, 1)
}

// Release returns a permit of a node whose request has ended.
func (b *Bucket) Release(now time.Time, node string) { b.room.leave(now, node) }

// Refused returns a permit of a node whose request was refused for want of room, while the endpoint had as many requests
// as load, as far as the node knows.
func (b *Bucket) Refused(now time.Time, node string, load int) {
	b.room.leave(now, node)
	b.room.refused(now, load)
	b.refusedAt = append(b.refusedAt, now)
	if len(b.pendingAt) > 0 {
		b.pendingAt = b.pendingAt[1:]
	}
}

// Forget returns all permits of the nodes that are not alive.
func (b *Bucket) Forget(isAlive func(node string) bool) { b.room.forget(isAlive) }
