package chiverate

import "time"

// burstDuration is the time whose permits a bucket holds at most; it always holds one.
const burstDuration = 200 * time.Millisecond

// Bucket is a token bucket that starts empty: the previous owner of the rate may have issued permits until now.
type Bucket struct {
	perSecond float64
	balance   float64
	updatedAt time.Time
}

// NewBucket returns an empty bucket.
func NewBucket(now time.Time) *Bucket { return &Bucket{updatedAt: now} }

// Take takes a permit from a bucket that has filled at the given rate since the last call. If there is none, it returns
// how long the next permit takes.
func (b *Bucket) Take(now time.Time, perSecond float64) (granted bool, wait time.Duration) {
	b.perSecond = perSecond
	b.balance = min(b.balance+perSecond*now.Sub(b.updatedAt).Seconds(), max(perSecond*burstDuration.Seconds(), 1))
	b.updatedAt = now
	if b.balance >= 1 {
		b.balance--
		return true, 0
	}
	return false, time.Duration((1 - b.balance) / perSecond * float64(time.Second))
}
