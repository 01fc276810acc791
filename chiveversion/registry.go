package chiveversion

import (
	"maps"
	"sync"
	"time"
)

const (
	// retention is how long the version of an endpoint is kept after it was last used: longer than a stream that the
	// endpoint began.
	retention = 10 * time.Minute
	// expiryInterval is how often unused versions are dropped.
	expiryInterval = time.Minute
)

// Registry maps incarnations of endpoints to their software versions. It is safe for concurrent use.
type Registry struct {
	mu       sync.RWMutex
	versions map[string]string
	// live holds the incarnations that the directory lists, with their pools.
	live map[string]string
	// usedAt is when a version that is not live was last learnt or live.
	usedAt map[string]time.Time
	// unknown holds the live incarnations whose versions are not known.
	unknown map[string]struct{}
	pools   map[string]*poolVersions
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{versions: make(map[string]string), live: make(map[string]string), usedAt: make(map[string]time.Time), unknown: make(map[string]struct{}), pools: make(map[string]*poolVersions)}
}

// Of returns the version of an incarnation; empty if it is not known.
func (r *Registry) Of(incarnation string) string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.versions[incarnation]
}

// Learn records the version of an incarnation.
func (r *Registry) Learn(now time.Time, incarnation, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[incarnation] = version
	delete(r.unknown, incarnation)
	if _, ok := r.live[incarnation]; !ok {
		r.usedAt[incarnation] = now
	}
}

// Add records that the directory lists an incarnation, and reports whether its version is known.
func (r *Registry) Add(now time.Time, incarnation, pool string) (known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.pools[pool]; !ok {
		r.pools[pool] = &poolVersions{knownSince: now, leftAt: make(map[string]time.Time)}
	}
	if former, ok := r.live[incarnation]; ok && former != pool {
		r.pools[former].leftAt[r.versions[incarnation]] = now
	}
	r.live[incarnation] = pool
	delete(r.usedAt, incarnation)
	if _, known = r.versions[incarnation]; !known {
		r.unknown[incarnation] = struct{}{}
	}
	return known
}

// Remove records that the directory no longer lists an incarnation.
func (r *Registry) Remove(now time.Time, incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if pool, ok := r.live[incarnation]; ok {
		r.pools[pool].leftAt[r.versions[incarnation]] = now
	}
	delete(r.live, incarnation)
	delete(r.unknown, incarnation)
	if _, ok := r.versions[incarnation]; ok {
		r.usedAt[incarnation] = now
	}
}

// Unknown returns at most limit live incarnations whose versions are not known.
func (r *Registry) Unknown(limit int) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	incarnations := make([]string, 0, min(limit, len(r.unknown)))
	for incarnation := range r.unknown {
		if len(incarnations) == limit {
			break
		}
		incarnations = append(incarnations, incarnation)
	}
	return incarnations
}

// Expire drops the versions of incarnations that have not been live for long.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for incarnation, at := range r.usedAt {
		if now.Sub(at) >= retention {
			delete(r.usedAt, incarnation)
			delete(r.versions, incarnation)
		}
	}
	for _, pool := range r.pools {
		maps.DeleteFunc(pool.leftAt, func(_ string, at time.Time) bool { return now.Sub(at) >= soleMemory })
	}
}

// Live returns the versions of the live incarnations.
func (r *Registry) Live() map[string]string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	live := make(map[string]string, len(r.live))
	for incarnation := range r.live {
		live[incarnation] = r.versions[incarnation]
	}
	return live
}
