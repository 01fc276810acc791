package chivedirectory

import (
	"time"
)

const (
	// rejectionsKept is how many keys with unusable records are remembered, several times the endpoints of the largest fleet in sight.
	rejectionsKept = 4096
	// rejectionsTold is how many lines such records may fill in each rejectionsWindow: a writer of thousands of them would push everything else
	// out of the log. What is not told is counted.
	rejectionsTold   = 20
	rejectionsWindow = 10 * time.Second
	// tellAgain is the factor between the counts at which the same key is told of again.
	tellAgain = 10
)

// rejected is what a state dump tells of unusable records.
type rejected struct {
	// Keys is how many keys have one now, Records how many came since the start, and Untold how many of these the log does not name.
	Keys    int   `json:"keys"`
	Records int64 `json:"records"`
	Untold  int64 `json:"untold"`
}

// rejections remembers unusable records, and bounds what is told of them.
type rejections struct {
	byKey   map[string]*rejection
	records int64
	untold  int64
	// told counts the lines since windowFrom.
	told       int
	windowFrom time.Time
}

// rejection is a key whose record is not usable: why, how many of them came in a row, and at which count it is told of next.
type rejection struct {
	reason string
	count  int64
	next   int64
}

func newRejections() rejections { return rejections{byKey: make(map[string]*rejection)} }

// note counts a record and reports whether to log it, with the number of such records of the key in a row.
func (r *rejections) note(now time.Time, key, reason string) (count int64, tell bool) {
	r.records++
	known, ok := r.byKey[key]
	if !ok {
		known = &rejection{next: 1}
		if len(r.byKey) < rejectionsKept {
			r.byKey[key] = known
		}
	}
	known.count++
	if known.reason != reason {
		known.reason, known.next = reason, known.count
	}
	if known.count < known.next || !r.line(now) {
		r.untold++
		return known.count, false
	}
	known.next = known.count * tellAgain
	return known.count, true
}

// line takes one of the lines of the window.
func (r *rejections) line(now time.Time) bool {
	if now.Sub(r.windowFrom) >= rejectionsWindow {
		r.windowFrom, r.told = now, 0
	}
	if r.told >= rejectionsTold {
		return false
	}
	r.told++
	return true
}

// forget drops a key whose record is usable, or gone.
func (r *rejections) forget(key string) { delete(r.byKey, key) }

func (r *rejections) state() rejected {
	return rejected{Keys: len(r.byKey), Records: r.records, Untold: r.untold}
}
