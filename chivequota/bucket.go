package chivequota

import (
	"time"
)

// Bucket is a token bucket that may go into debt: a request larger than the bucket passes when the bucket is not
// empty, and later ones wait until the debt is paid, so that the long-run rate holds for requests of any size.
type Bucket struct {
	limit   float64
	balance float64
	at      time.Time
}

const (
	burst      = 2 * time.Second
	retryLeast = 100 * time.Millisecond
	retryMost  = time.Minute
)

// NewBucket returns a bucket that holds one second of its limit, in tokens a second.
func NewBucket(limit int64, now time.Time) *Bucket {
	return &Bucket{limit: float64(limit), balance: float64(limit), at: now}
}

// SetLimit takes a changed limit.
func (b *Bucket) SetLimit(now time.Time, limit int64) {
	b.fill(now)
	b.limit = float64(limit)
}

// Take draws tokens, or tells when the debt will be paid.
func (b *Bucket) Take(now time.Time, tokens int64) (ok bool, after time.Duration) {
	b.fill(now)
	if b.balance <= 0 {
		wait := time.Duration(-b.balance / max(b.limit, 1) * float64(time.Second))
		return false, min(max(wait, retryLeast), retryMost)
	}
	b.balance -= float64(tokens)
	return true, 0
}

// Return gives tokens back, or draws more when negative.
func (b *Bucket) Return(now time.Time, tokens int64) {
	b.fill(now)
	b.balance = min(b.balance+float64(tokens), b.limit*burst.Seconds())
}

// Balance returns the tokens in the bucket, negative for a debt.
func (b *Bucket) Balance() int64 { return int64(b.balance) }

func (b *Bucket) fill(now time.Time) {
	b.balance = min(b.balance+b.limit*now.Sub(b.at).Seconds(), b.limit*burst.Seconds())
	b.at = now
}
