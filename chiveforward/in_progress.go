package chiveforward

import (
	"maps"
	"sync"
)

// inProgressRequests counts the requests in progress by pool. The zero value is ready to use.
type inProgressRequests struct {
	mu     sync.Mutex
	byPool map[string]int64
}

// begin counts a request as in progress until end is called.
func (r *inProgressRequests) begin(pool string) (end func()) {
	r.add(pool, 1)
	return func() { r.add(pool, -1) }
}

func (r *inProgressRequests) add(pool string, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byPool == nil {
		r.byPool = make(map[string]int64)
	}
	r.byPool[pool] += n
	if r.byPool[pool] == 0 {
		delete(r.byPool, pool)
	}
}

// counts returns a copy of the counts.
func (r *inProgressRequests) counts() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.byPool)
}
