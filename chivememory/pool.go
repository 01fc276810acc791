package chivememory

import (
	"math"
	"sync"
	"time"
)

const (
	// smallBytes is the size up to which a request may use the whole pool; what is larger leaves smallShare of it free.
	smallBytes = 16 << 10
	smallShare = 0.25
	// growingShare is the part of the pool that a buffer may have which is copied from one of half its size.
	growingShare = (1 - smallShare) / 1.5
)

const (
	// StallTime is how long a request must have brought nothing before it gives way to one that needs its memory.
	StallTime = time.Second
	// slowTime is how long a request must have been arriving before it gives way although it brings something now and then.
	slowTime = 10 * time.Second
)

// Pool is the memory for the heads and bodies of callers' requests, in bytes.
type Pool struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// arriving holds the reservations of requests that have not been read as a whole.
	arriving map[*Reservation]struct{}
	counts   Counts
}

// Counts are the state of a pool and totals since it was made.
type Counts struct {
	// Limit and Used are in bytes, Most is the highest value of Used.
	Limit int64 `json:"limit_bytes"`
	Used  int64 `json:"used_bytes"`
	Most  int64 `json:"most_bytes"`
	// Arriving is the number of requests that have not been read as a whole.
	Arriving int `json:"arriving"`
	// Refused is the number of requests that found no memory, GaveWay of those that were ended to make room.
	Refused int64 `json:"refused"`
	GaveWay int64 `json:"gave_way"`
}

// NewPool returns a pool of a size in bytes; zero means no limit.
func NewPool(limit int64) *Pool {
	if limit == 0 {
		limit = math.MaxInt64
	}
	return &Pool{limit: limit, arriving: make(map[*Reservation]struct{})}
}

// Largest returns the size of the largest request that the pool has room for while its buffer grows.
func (p *Pool) Largest() int64 {
	if p.limit == math.MaxInt64 {
		return p.limit
	}
	return int64(growingShare * float64(p.limit))
}

// Counts returns the state of the pool.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.Limit, counts.Used, counts.Arriving = p.limit, p.used, len(p.arriving)
	return counts
}

// Begin returns the reservation of a request that begins to arrive. end is called in a goroutine of its own, at most once, if the request
// has to give way to another one, and makes its reader fail.
func (p *Pool) Begin(end func()) *Reservation {
	now := time.Now()
	r := &Reservation{pool: p, began: now, progressed: now, end: end}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arriving[r] = struct{}{}
	return r
}

// EndStalled ends the requests that have brought nothing for StallTime, and returns their number.
func (p *Pool) EndStalled() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for now := time.Now(); ; count++ {
		victim := p.mostStalled(now, StallTime)
		if victim == nil {
			return count
		}
		p.giveWay(victim)
	}
}

// EndOne ends the request that has to give way first, of those that have brought nothing for a time or are slow; it returns false if none has.
func (p *Pool) EndOne(stall time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	victim := p.victim(time.Now(), stall)
	if victim == nil {
		return false
	}
	p.giveWay(victim)
	return true
}

// reserve adds bytes to a reservation if there is room or others give way.
func (p *Pool) reserve(r *Reservation, more int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.gaveWay {
		return false
	}
	now := time.Now()
	r.progressed = now
	limit := p.limit
	if r.bytes+more > smallBytes {
		limit -= int64(smallShare * float64(limit))
	}
	for p.used > limit-more {
		victim := p.victim(now, StallTime)
		if victim == nil || victim == r {
			p.counts.Refused++
			return false
		}
		p.giveWay(victim)
	}
	p.used += more
	r.bytes += more
	p.counts.Most = max(p.counts.Most, p.used)
	return true
}

// victim returns the arriving request that has brought nothing for the longest time or, if none has for a time, is the slowest; nil if none is
// slow either.
func (p *Pool) victim(now time.Time, stall time.Duration) *Reservation {
	if stalled := p.mostStalled(now, stall); stalled != nil {
		return stalled
	}
	return p.slowest(now)
}

// mostStalled returns the arriving request that has brought nothing for the longest time; nil if none has for a time.
func (p *Pool) mostStalled(now time.Time, stall time.Duration) (victim *Reservation) {
	for r := range p.arriving {
		if r.bytes > 0 && now.Sub(r.progressed) >= stall && (victim == nil || r.progressed.Before(victim.progressed)) {
			victim = r
		}
	}
	return victim
}

// slowest returns the request that has been arriving for the longest time; nil if none has for slowTime.
func (p *Pool) slowest(now time.Time) (victim *Reservation) {
	for r := range p.arriving {
		if r.bytes > 0 && now.Sub(r.began) >= slowTime && (victim == nil || r.began.Before(victim.began)) {
			victim = r
		}
	}
	return victim
}

// giveWay ends a request. Its memory counts as free at once, since its reader drops it as soon as it runs.
func (p *Pool) giveWay(r *Reservation) {
	r.gaveWay = true
	p.counts.GaveWay++
	p.drop(r)
	go r.end()
}

// drop takes a reservation out of the pool.
func (p *Pool) drop(r *Reservation) {
	delete(p.arriving, r)
	p.used -= r.bytes
	r.bytes = 0
}
