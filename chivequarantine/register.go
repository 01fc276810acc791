package chivequarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chivedrift/chiverequest"
)

const (
	// crashesKept is how long a crash counts against a request that is not quarantined: callers retry within seconds.
	crashesKept = 2 * time.Minute
	// crashesMost bounds the memory: an engine runs a few dozen requests, so that this holds the crashes of some dozens of engines.
	crashesMost = 2048
)

// Change means that a quarantine began or ended.
type Change struct {
	Content     chiverequest.Fingerprint
	Quarantined bool
	// Crashes are those that implicate the request.
	Crashes []Crash
	// Until is when it may be probed.
	Until time.Time
}

// Register holds which endpoints crashed under which requests, and decides which requests are quarantined. It is not safe for concurrent use.
type Register struct {
	self     string
	suspects map[chiverequest.Fingerprint]*suspect
	crashes  int
	alive    liveness
}

// NewRegister returns the empty register of the node with a peer address.
func NewRegister(self string) *Register {
	return &Register{self: self, suspects: make(map[chiverequest.Fingerprint]*suspect), alive: make(liveness)}
}

// Empty reports whether nothing is known of any request.
func (r *Register) Empty() bool { return len(r.suspects) == 0 }

// Suspects reports whether a crash implicates a request.
func (r *Register) Suspects(content chiverequest.Fingerprint) bool {
	s, ok := r.suspects[content]
	return ok && len(s.implicating(nil)) > 0
}

// copiesApart is the time within which copies of a request, sent by one node, break with one crash of an endpoint that restarts under its name.
const copiesApart = time.Second

// HasWithin reports whether the reporter has reported a crash of the endpoint within a time of this one, for another copy of the request.
func (r *Register) HasWithin(c Crash, within time.Duration) bool {
	s, ok := r.suspects[c.Content]
	return ok && slices.ContainsFunc(s.crashes, func(known Crash) bool {
		return known.Endpoint == c.Endpoint && known.Reporter == c.Reporter && c.At.Sub(known.At).Abs() < within
	})
}

// AddCrash takes a crash and reports whether it was new.
func (r *Register) AddCrash(now time.Time, c Crash) bool {
	if now.Sub(c.At) >= crashesKept+quarantineMost || r.IsRefuted(c) {
		return false
	}
	if !r.suspect(c.Content).add(c) {
		return false
	}
	r.crashes++
	for r.crashes > crashesMost {
		r.dropOldest()
	}
	return true
}

// AddAnswer takes an answer to a request and reports whether it was new.
func (r *Register) AddAnswer(now time.Time, a Answer) bool {
	if now.Sub(a.At) >= crashesKept {
		return false
	}
	return r.suspect(a.Content).addAnswer(a)
}

func (r *Register) suspect(content chiverequest.Fingerprint) *suspect {
	s, ok := r.suspects[content]
	if !ok {
		s = &suspect{}
		r.suspects[content] = s
	}
	return s
}

// dropOldest drops the request with the oldest reports, one that is not quarantined where there is one.
func (r *Register) dropOldest() {
	var oldest *suspect
	var content chiverequest.Fingerprint
	for c, s := range r.suspects {
		older := oldest != nil && s.newest().Before(oldest.newest())
		if oldest == nil || (oldest.quarantined() && !s.quarantined()) || (oldest.quarantined() == s.quarantined() && older) {
			oldest, content = s, c
		}
	}
	r.remove(content)
}

func (r *Register) remove(content chiverequest.Fingerprint) {
	r.crashes -= len(r.suspects[content].crashes)
	delete(r.suspects, content)
}

// Forget drops what is too old to count.
func (r *Register) Forget(now time.Time) {
	for content, s := range r.suspects {
		if s.quarantined() && now.Before(s.until.Add(crashesKept)) {
			continue
		}
		r.crashes -= s.drop(func(c Crash) bool { return now.Sub(c.At) >= crashesKept })
		if len(s.crashes) == 0 && now.Sub(s.answered) >= crashesKept {
			r.remove(content)
		}
	}
	r.alive.forget(now)
}

// Decide works out which requests are quarantined, and returns what changed.
//
// The request that was on the most crashed engines is taken to have crashed them all; of what is left, again the one with the most, while there
// are enough crashes for one. The requests beside it have seen as many crashes now and then, and are released with that. Where two were on
// the same engines, one of them is quarantined; if it was the wrong one, the next crash shows it.
func (r *Register) Decide() []Change {
	pending := r.enough()
	accounted := make(map[string]bool)
	chosen := make(map[chiverequest.Fingerprint]bool)
	for {
		content, ok := r.strongest(pending, accounted)
		if !ok {
			break
		}
		chosen[content] = true
		for _, c := range r.suspects[content].implicating(nil) {
			accounted[c.Endpoint] = true
		}
	}
	var changes []Change
	for content, s := range r.suspects {
		if s.quarantined() == chosen[content] {
			continue
		}
		if chosen[content] {
			s.quarantine()
		} else {
			s.release()
		}
		changes = append(changes, Change{Content: content, Quarantined: chosen[content], Crashes: slices.Clone(s.crashes), Until: s.until})
	}
	return changes
}

// enough returns the requests with enough crashes to be quarantined, whichever accounts for them, in an order that is the same on all nodes.
func (r *Register) enough() []chiverequest.Fingerprint {
	var pending []chiverequest.Fingerprint
	for content, s := range r.suspects {
		if len(s.crashes) >= crashesToQuarantine && s.support(r.self, nil) >= crashesToQuarantine {
			pending = append(pending, content)
		}
	}
	slices.Sort(pending)
	return pending
}

// strongest returns the request with the most crashes that nothing accounts for yet.
func (r *Register) strongest(pending []chiverequest.Fingerprint, accounted map[string]bool) (content chiverequest.Fingerprint, ok bool) {
	most, mostCrashes := crashesToQuarantine-1, 0
	for _, c := range pending {
		s := r.suspects[c]
		support := s.support(r.self, accounted)
		if cmp.Or(cmp.Compare(support, most), cmp.Compare(len(s.crashes), mostCrashes)) > 0 && support >= crashesToQuarantine {
			content, most, mostCrashes, ok = c, support, len(s.crashes), true
		}
	}
	return content, ok
}

// Endpoints is how many endpoints crashed under a request.
func (r *Register) Endpoints(content chiverequest.Fingerprint) int {
	s, ok := r.suspects[content]
	if !ok {
		return 0
	}
	crashed := make(map[string]bool)
	for _, c := range s.crashes {
		crashed[c.Endpoint] = true
	}
	return len(crashed)
}

// CrashesOf returns the crashes under a request.
func (r *Register) CrashesOf(content chiverequest.Fingerprint) []Crash {
	if s, ok := r.suspects[content]; ok {
		return s.crashes
	}
	return nil
}

// QuarantinedUntil reports whether a request is quarantined, and until when it is not to be probed.
func (r *Register) QuarantinedUntil(content chiverequest.Fingerprint) (until time.Time, quarantined bool) {
	s, ok := r.suspects[content]
	if !ok || !s.quarantined() {
		return time.Time{}, false
	}
	return s.until, true
}

// QuarantineLength is the length of a request's quarantine, and of the time between two probes of it.
func (r *Register) QuarantineLength(content chiverequest.Fingerprint) time.Duration {
	if s, ok := r.suspects[content]; ok {
		return quarantineLength(s.probes)
	}
	return quarantineLength(0)
}

// Crashes returns all crashes.
func (r *Register) Crashes() []Crash {
	crashes := make([]Crash, 0, r.crashes)
	for _, s := range r.suspects {
		crashes = append(crashes, s.crashes...)
	}
	return crashes
}

// Answers returns the newest report of each node of an answer to each request.
func (r *Register) Answers() []Answer {
	var answers []Answer
	for _, s := range r.suspects {
		answers = slices.AppendSeq(answers, maps.Values(s.answers))
	}
	return answers
}

// Quarantined returns how many requests are quarantined.
func (r *Register) Quarantined() int {
	quarantined := 0
	for _, s := range r.suspects {
		if s.quarantined() {
			quarantined++
		}
	}
	return quarantined
}
