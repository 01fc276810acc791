package chivedirectory

import (
	"time"
)

const (
	// maxRejectedKeys is how many keys with unusable records are remembered. It is several times the number of
	// endpoints in the largest planned fleet.
	maxRejectedKeys = 4096
	// maxRejectionLines is how many log lines about unusable records are written per rejectionWindow: a writer of
	// thousands of them would push everything else out of the log. Records beyond it are only counted.
	maxRejectionLines = 20
	rejectionWindow   = 10 * time.Second
	// logAgainFactor is the factor by which the count of unusable records of one key must grow before it is logged
	// again.
	logAgainFactor = 10
	// rejectionRetention is how long after its last unusable record a key is remembered. Until then, usable records in
	// between don't start its count anew: an endpoint and another writer may write the same key in turn.
	rejectionRetention = 10 * time.Minute
	// maxReasonBytes is how much of a reason is logged. It may quote the record.
	maxReasonBytes = 400
)

// rejectionStats describes unusable records in state dumps.
type rejectionStats struct {
	// Keys is how many keys have an unusable record now, Records how many such records came since the start of the
	// process, and Unlogged how many of these were not logged.
	Keys     int   `json:"keys"`
	Records  int64 `json:"records"`
	Unlogged int64 `json:"untold"`
}

// rejections keeps track of unusable records and limits how many are logged.
type rejections struct {
	byKey    map[string]*rejection
	records  int64
	unlogged int64
	// lines is the number of log lines since windowStart.
	lines       int
	windowStart time.Time
}

// rejection describes a key that has had unusable records: their number, the count at which the next one is logged, when
// the last one came, and whether the newest record of the key is one.
type rejection struct {
	count      int64
	nextLogged int64
	lastAt     time.Time
	isCurrent  bool
}

func newRejections() rejections { return rejections{byKey: make(map[string]*rejection)} }

// record counts an unusable record. It returns how many of the key there have been, and whether to log this one.
func (r *rejections) record(now time.Time, key string) (count int64, shouldLog bool) {
	r.records++
	known, ok := r.byKey[key]
	if !ok || now.Sub(known.lastAt) >= rejectionRetention {
		known = &rejection{nextLogged: 1}
		if r.hasRoom(now) {
			r.byKey[key] = known
		}
	}
	known.count++
	known.lastAt, known.isCurrent = now, true
	if known.count < known.nextLogged || !r.takeLine(now) {
		r.unlogged++
		return known.count, false
	}
	known.nextLogged = known.count * logAgainFactor
	return known.count, true
}

// hasRoom reports whether another key can be remembered, after dropping keys without need if there are too many.
func (r *rejections) hasRoom(now time.Time) bool {
	if len(r.byKey) < maxRejectedKeys {
		return true
	}
	for key, known := range r.byKey {
		if !known.isCurrent && now.Sub(known.lastAt) >= rejectionWindow {
			delete(r.byKey, key)
		}
	}
	return len(r.byKey) < maxRejectedKeys
}

// takeLine uses one log line of the current window, if one is left.
func (r *rejections) takeLine(now time.Time) bool {
	if now.Sub(r.windowStart) >= rejectionWindow {
		r.windowStart, r.lines = now, 0
	}
	if r.lines >= maxRejectionLines {
		return false
	}
	r.lines++
	return true
}

// resolve records that the newest record of a key is usable, or that it has been removed.
func (r *rejections) resolve(key string) {
	if known, ok := r.byKey[key]; ok {
		known.isCurrent = false
	}
}

func (r *rejections) stats() rejectionStats {
	stats := rejectionStats{Records: r.records, Unlogged: r.unlogged}
	for _, known := range r.byKey {
		if known.isCurrent {
			stats.Keys++
		}
	}
	return stats
}

// cutReason returns the beginning of a reason that is too long for the log.
func cutReason(reason string) string {
	if len(reason) <= maxReasonBytes {
		return reason
	}
	return reason[:maxReasonBytes] + "..."
}
