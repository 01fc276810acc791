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

// rejection describes a key whose record is unusable: the reason, the number of such records in a row, and the count at
// which the next one is logged.
type rejection struct {
	reason     string
	count      int64
	nextLogged int64
}

func newRejections() rejections { return rejections{byKey: make(map[string]*rejection)} }

// record counts an unusable record. It returns how many of the key there have been in a row, and whether to log this
// one.
func (r *rejections) record(now time.Time, key, reason string) (count int64, shouldLog bool) {
	r.records++
	known, ok := r.byKey[key]
	if !ok {
		known = &rejection{nextLogged: 1}
		if len(r.byKey) < maxRejectedKeys {
			r.byKey[key] = known
		}
	}
	known.count++
	if known.reason != reason {
		known.reason, known.nextLogged = reason, known.count
	}
	if known.count < known.nextLogged || !r.takeLine(now) {
		r.unlogged++
		return known.count, false
	}
	known.nextLogged = known.count * logAgainFactor
	return known.count, true
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

// forget removes a key whose record is usable again or has been removed.
func (r *rejections) forget(key string) { delete(r.byKey, key) }

func (r *rejections) stats() rejectionStats {
	return rejectionStats{Keys: len(r.byKey), Records: r.records, Unlogged: r.unlogged}
}
