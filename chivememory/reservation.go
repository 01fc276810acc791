package chivememory

import "time"

// Reservation is what one request has reserved of a pool. All but Release may be called until then.
type Reservation struct {
	pool *Pool
	end  func()
	// The pool's lock protects what follows.
	bytes      int64
	began      time.Time
	progressed time.Time
	gaveWay    bool
}

// Add reserves more bytes; it returns false if there is no room for them, or if the request has given way.
func (r *Reservation) Add(bytes int64) bool { return r.pool.reserve(r, bytes) }

// Return returns bytes that are no longer needed.
func (r *Reservation) Return(bytes int64) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	bytes = min(bytes, r.bytes)
	r.bytes -= bytes
	r.pool.used -= bytes
}

// Progress states that bytes of the request have arrived.
func (r *Reservation) Progress() {
	now := time.Now()
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.progressed = now
}

// Complete states that the request has been read as a whole and no longer gives way; it returns false if it already has.
func (r *Reservation) Complete() bool {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	delete(r.pool.arriving, r)
	return !r.gaveWay
}

// Release returns all that is reserved. It may be called more than once.
func (r *Reservation) Release() {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.drop(r)
}
