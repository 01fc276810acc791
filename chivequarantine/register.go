package chivequarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chivedrift/chiverequest"
)

const (
	// crashRetention is how long a crash counts against a request that is not quarantined. Callers retry within seconds.
	crashRetention = 2 * time.Minute
	// maxCrashes bounds the memory use. An engine runs a few dozen requests, so this suffices for dozens of crashed
	// engines.
	maxCrashes = 2048
)

// Change describes a quarantine that began or ended.
type Change struct {
	Content     chiverequest.Fingerprint
	Quarantined bool
	// Crashes are the known crashes of endpoints that were running the request.
	Crashes []Crash
	// Until is when the request may be probed.
	Until time.Time
}

// Register records which endpoints crashed while running which requests, and decides which requests are quarantined. It
// is not safe for concurrent use.
type Register struct {
	self     string
	suspects map[chiverequest.Fingerprint]*suspect
	crashes  int
	alive    liveness
}

// NewRegister returns an empty register for the node with the given peer address.
func NewRegister(self string) *Register {
	return &Register{self: self, suspects: make(map[chiverequest.Fingerprint]*suspect), alive: make(liveness)}
}

// Empty reports whether there are no reports on any request.
func (r *Register) Empty() bool { return len(r.suspects) == 0 }

// Suspects reports whether any crash implicates the request.
func (r *Register) Suspects(content chiverequest.Fingerprint) bool {
	s, ok := r.suspects[content]
	return ok && len(s.implicatingCrashes(nil)) > 0
}

// duplicateWindow is the time within which several attempts of a request, sent by one node, break because of the same
// crash. It applies to endpoints that keep their name over restarts.
const duplicateWindow = time.Second

// HasWithin reports whether the same reporter already reported a crash of the endpoint within the given time of this
// one, for another attempt of the request.
func (r *Register) HasWithin(c Crash, within time.Duration) bool {
	s, ok := r.suspects[c.Content]
	return ok && slices.ContainsFunc(s.crashes, func(known Crash) bool {
		return known.Endpoint == c.Endpoint && known.Reporter == c.Reporter && c.At.Sub(known.At).Abs() < within
	})
}

// AddCrash records a crash and reports whether it was new.
func (r *Register) AddCrash(now time.Time, c Crash) bool {
	if now.Sub(c.At) >= crashRetention+maxQuarantine || r.IsRefuted(c) {
		return false
	}
	if !r.suspectFor(c.Content).add(c) {
		return false
	}
	r.crashes++
	for r.crashes > maxCrashes {
		r.dropOldest()
	}
	return true
}

// AddAnswer records an answer to a request and reports whether it was new.
func (r *Register) AddAnswer(now time.Time, a Answer) bool {
	if now.Sub(a.At) >= crashRetention {
		return false
	}
	return r.suspectFor(a.Content).addAnswer(a)
}

func (r *Register) suspectFor(content chiverequest.Fingerprint) *suspect {
	s, ok := r.suspects[content]
	if !ok {
		s = &suspect{}
		r.suspects[content] = s
	}
	return s
}

// dropOldest removes the request with the oldest reports, preferring requests that are not quarantined.
func (r *Register) dropOldest() {
	var oldest *suspect
	var content chiverequest.Fingerprint
	for c, s := range r.suspects {
		older := oldest != nil && s.lastReport().Before(oldest.lastReport())
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

// Forget removes expired reports.
func (r *Register) Forget(now time.Time) {
	for content, s := range r.suspects {
		if s.quarantined() && now.Before(s.until.Add(crashRetention)) {
			continue
		}
		r.crashes -= s.removeCrashes(func(c Crash) bool { return now.Sub(c.At) >= crashRetention })
		if len(s.crashes) == 0 && now.Sub(s.lastAnswer) >= crashRetention {
			r.remove(content)
		}
	}
	r.alive.expire(now)
}

// Decide determines which requests are quarantined, and returns what changed.
//
// It chooses greedily: the request that was on the most crashed engines is assumed to have crashed them all. Of the
// remaining crashes, the request with the most is chosen next, as long as one has enough. Requests that ran beside a
// chosen one may reach the threshold at times; they are released once the chosen one explains their crashes. If two
// requests were on the same engines, one of them is quarantined; if it was the wrong one, the next crash shows it.
func (r *Register) Decide() []Change {
	candidates := r.candidates()
	explained := make(map[string]bool)
	chosen := make(map[chiverequest.Fingerprint]bool)
	for {
		content, ok := r.mostImplicated(candidates, explained)
		if !ok {
			break
		}
		chosen[content] = true
		for _, c := range r.suspects[content].implicatingCrashes(nil) {
			explained[c.Endpoint] = true
		}
	}
	var changes []Change
	for content, s := range r.suspects {
		if s.quarantined() == chosen[content] {
			continue
		}
		if chosen[content] {
			s.updateQuarantine()
		} else {
			s.endQuarantine()
		}
		changes = append(changes, Change{Content: content, Quarantined: chosen[content], Crashes: slices.Clone(s.crashes), Until: s.until})
	}
	return changes
}

// candidates returns the requests with enough crashes to be quarantined, whether or not another request explains them,
// in an order that is the same on all nodes.
func (r *Register) candidates() []chiverequest.Fingerprint {
	var candidates []chiverequest.Fingerprint
	for content, s := range r.suspects {
		if len(s.crashes) >= quarantineThreshold && s.score(r.self, nil) >= quarantineThreshold {
			candidates = append(candidates, content)
		}
	}
	slices.Sort(candidates)
	return candidates
}

// mostImplicated returns the candidate with the most unexplained crashes, if any has enough for a quarantine.
func (r *Register) mostImplicated(candidates []chiverequest.Fingerprint, explained map[string]bool) (content chiverequest.Fingerprint, ok bool) {
	bestScore, bestCrashes := quarantineThreshold-1, 0
	for _, c := range candidates {
		s := r.suspects[c]
		score := s.score(r.self, explained)
		if cmp.Or(cmp.Compare(score, bestScore), cmp.Compare(len(s.crashes), bestCrashes)) > 0 && score >= quarantineThreshold {
			content, bestScore, bestCrashes, ok = c, score, len(s.crashes), true
		}
	}
	return content, ok
}

// Endpoints returns how many endpoints crashed while running a request.
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

// CrashesOf returns the known crashes of a request.
func (r *Register) CrashesOf(content chiverequest.Fingerprint) []Crash {
	if s, ok := r.suspects[content]; ok {
		return s.crashes
	}
	return nil
}

// QuarantinedUntil reports whether a request is quarantined, and from when on it may be probed.
func (r *Register) QuarantinedUntil(content chiverequest.Fingerprint) (until time.Time, quarantined bool) {
	s, ok := r.suspects[content]
	if !ok || !s.quarantined() {
		return time.Time{}, false
	}
	return s.until, true
}

// QuarantineLength returns the length of a request's quarantine, which is also the time between two probes of it.
func (r *Register) QuarantineLength(content chiverequest.Fingerprint) time.Duration {
	if s, ok := r.suspects[content]; ok {
		return quarantineDuration(s.failedProbes)
	}
	return quarantineDuration(0)
}

// Crashes returns all crashes.
func (r *Register) Crashes() []Crash {
	crashes := make([]Crash, 0, r.crashes)
	for _, s := range r.suspects {
		crashes = append(crashes, s.crashes...)
	}
	return crashes
}

// Answers returns, for each request, the newest answer that each node reported.
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
