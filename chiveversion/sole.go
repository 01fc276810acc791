package chiveversion

import "time"

const (
	// soleMemory is how long a version counts after its last endpoint has left a pool, and how long a pool must have been
	// known for its versions to be certain: longer than callers wait before they take a stream up.
	soleMemory = 30 * time.Second
	// maxReadAge is how long ago the store may have answered this node for its view of the endpoints to be current: a
	// round of the readers, and a margin.
	maxReadAge = 8 * time.Second
)

// poolVersions is what a registry knows of the versions of a pool.
type poolVersions struct {
	knownSince time.Time
	// leftAt is when an endpoint of a version last left the pool; the empty version stands for unknown ones.
	leftAt map[string]time.Time
}

// Sole returns the version of all endpoints of a pool, including those that left lately; ok is false if there are
// several, if one is not known, or if the pool has not been known for long enough.
func (r *Registry) Sole(now time.Time, pool string) (version string, ok bool) {
	version, certain := r.Only(now, pool)
	return version, certain
}

// Only returns the version of all endpoints of a pool, including those that are known to have left lately; empty if there
// are several, or one is not known. It is certain if the pool has been known for long enough.
func (r *Registry) Only(now time.Time, pool string) (version string, certain bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	versions := r.recent(now, pool)
	if len(versions) != 1 {
		return "", false
	}
	for version = range versions {
		break
	}
	known, ok := r.pools[pool]
	return version, version != "" && ok && now.Sub(known.knownSince) >= soleMemory
}

// Several reports whether endpoints of a pool have several known versions, including those that left lately.
func (r *Registry) Several(now time.Time, pool string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	versions := r.recent(now, pool)
	delete(versions, "")
	return len(versions) > 1
}

// HasNoOther reports whether endpoints of a pool have no known version but the given one, including those that left lately.
func (r *Registry) HasNoOther(now time.Time, pool, version string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	versions := r.recent(now, pool)
	delete(versions, "")
	delete(versions, version)
	return len(versions) == 0
}

// recent returns the versions of a pool's endpoints, including those that left lately; the caller holds the lock.
func (r *Registry) recent(now time.Time, pool string) map[string]bool {
	versions := make(map[string]bool)
	for incarnation, of := range r.live {
		if of == pool {
			versions[r.versions[incarnation]] = true
		}
	}
	if known, ok := r.pools[pool]; ok {
		for version, at := range known.leftAt {
			if now.Sub(at) < soleMemory {
				versions[version] = true
			}
		}
	}
	return versions
}
