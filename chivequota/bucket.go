package chivequota

import (
	"time"
)

// Bucket is a token bucket that may go into debt. A request larger than the bucket passes while the balance is
// positive, and later requests wait until the debt is paid, so that the long-run rate holds for requests of any size.
type Bucket struct {
	limit     float64
	balance   float64
	updatedAt time.Time
}

const (
	// initialDuration is the time whose tokens a new bucket holds.
	initialDuration = time.Second
	burstDuration   = 2 * time.Second
	// leastBalance lets the first request pass, into debt.
	leastBalance  = 1
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// NewBucket returns a bucket that holds the tokens of one second, or of the time since another bucket may have given them
// if that is shorter; limit is in tokens per second.
func NewBucket(limit int64, now, since time.Time) *Bucket {
	b := &Bucket{limit: float64(limit), updatedAt: now}
	b.balance = max(b.limit*min(now.Sub(since), initialDuration).Seconds(), leastBalance)
	return b
}

// Empty removes the tokens that have been saved up, which another bucket may have given.
func (b *Bucket) Empty(now time.Time) {
	b.refill(now)
	b.balance = min(b.balance, leastBalance)
}

// SetLimit changes the limit.
func (b *Bucket) SetLimit(now time.Time, limit int64) {
	b.refill(now)
	b.limit = float64(limit)
}

// Take draws tokens, or reports after which time the debt will be paid.
func (b *Bucket) Take(now time.Time, tokens int64) (ok bool, retryAfter time.Duration) {
	b.refill(now)
	if b.balance <= 0 {
		wait := time.Duration(-b.balance / max(b.limit, 1) * float64(time.Second))
		return false, min(max(wait, minRetryAfter), maxRetryAfter)
	}
	b.balance -= float64(tokens)
	return true, 0
}

// Return puts tokens back, or draws more if tokens is negative.
func (b *Bucket) Return(now time.Time, tokens int64) {
	b.refill(now)
	b.balance = min(b.balance+float64(tokens), b.limit*burstDuration.Seconds())
}

// Balance returns the tokens in the bucket; a negative balance is a debt.
func (b *Bucket) Balance() int64 { return int64(b.balance) }

func (b *Bucket) refill(now time.Time) {
	b.balance = min(b.balance+b.limit*now.Sub(b.updatedAt).Seconds(), b.limit*burstDuration.Seconds())
	b.updatedAt = now
}
