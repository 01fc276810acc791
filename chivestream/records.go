package chivestream

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"chivedrift/chiverequest"
)

const (
	// retention is how long a record is kept at least after it was last written, unless there are maxRecords of them.
	retention = 5 * time.Minute
	// maxRecords bounds the memory use, to about 5 MB.
	maxRecords = 32_768
	// maxOrigins is how many pools a record names at most.
	maxOrigins = 4
	// keyBytes is long enough that no caller can construct the key of another stream.
	keyBytes = 16
)

// Key identifies a stream by its team and the caller's attempt that brought its first event. A team cannot name the
// stream of another one.
type Key string

// KeyOf returns the key of a stream.
func KeyOf(team, attempt string) Key {
	hash := sha256.New()
	for _, field := range []string{team, attempt} {
		// The length prefix keeps the boundary between the fields unambiguous. Writing to a hash never fails.
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = hash.Write([]byte(field))
	}
	return Key(hash.Sum(nil)[:keyBytes])
}

// Records holds the origins of streams. It keeps two generations: once the current one is full or old, it replaces the
// previous one. It is safe for concurrent use.
type Records struct {
	mu        sync.Mutex
	current   map[Key][]chiverequest.Origin
	previous  map[Key][]chiverequest.Origin
	rotatedAt time.Time
}

// NewRecords returns an empty store.
func NewRecords(now time.Time) *Records {
	return &Records{current: make(map[Key][]chiverequest.Origin), rotatedAt: now}
}

// Add records an origin of a stream. The first one in a pool stays.
func (r *Records) Add(now time.Time, key Key, origin chiverequest.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.current) >= maxRecords/2 || now.Sub(r.rotatedAt) >= retention {
		r.previous, r.current, r.rotatedAt = r.current, make(map[Key][]chiverequest.Origin), now
	}
	known := r.find(key)
	if !slices.ContainsFunc(known, func(o chiverequest.Origin) bool { return o.Pool == origin.Pool }) && len(known) < maxOrigins {
		known = append(slices.Clip(known), origin)
	}
	r.current[key] = known
}

// Find returns the origins of a stream, one for each pool that wrote events of it; nil if there is no record.
func (r *Records) Find(key Key) []chiverequest.Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.find(key)
}

func (r *Records) find(key Key) []chiverequest.Origin {
	if origins, ok := r.current[key]; ok {
		return origins
	}
	return r.previous[key]
}

// Len returns the number of records.
func (r *Records) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.current) + len(r.previous)
}
