package chivequarantine

import (
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

// Change describes a quarantine that began, ended or covers other requests than before.
type Change struct {
	Content     chiverequest.Fingerprint
	Quarantined bool
	// Members are what a request must have to be quarantined, the content itself included.
	Members []chiverequest.Fingerprint
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
	// crashes are the numbers of crashes by class.
	crashes [classCount]int
	alive   liveness
	// holds are the quarantines in force.
	holds []hold
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
	s := r.suspectFor(c.Content)
	before := len(s.crashes)
	if !s.add(c) {
		return false
	}
	r.recount(c.Content, before)
	for class := classOf(c.Content); r.crashes[class] > maxCrashes; {
		r.dropOldest(class)
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

// recount corrects the number of crashes after those of a suspect have changed.
func (r *Register) recount(content chiverequest.Fingerprint, before int) {
	r.crashes[classOf(content)] += len(r.suspects[content].crashes) - before
}

// dropOldest removes the suspect of a class with the oldest reports, preferring those that are not quarantined.
func (r *Register) dropOldest(class class) {
	var oldest *suspect
	var content chiverequest.Fingerprint
	for c, s := range r.suspects {
		if classOf(c) != class || len(s.crashes) == 0 {
			continue
		}
		older := oldest != nil && s.lastReport().Before(oldest.lastReport())
		if oldest == nil || (oldest.quarantined() && !s.quarantined()) || (oldest.quarantined() == s.quarantined() && older) {
			oldest, content = s, c
		}
	}
	r.remove(content)
}

func (r *Register) remove(content chiverequest.Fingerprint) {
	r.crashes[classOf(content)] -= len(r.suspects[content].crashes)
	delete(r.suspects, content)
}

// Forget removes expired reports.
func (r *Register) Forget(now time.Time) {
	for content, s := range r.suspects {
		if s.quarantined() && now.Before(s.until.Add(crashRetention)) {
			continue
		}
		before := len(s.crashes)
		s.removeCrashes(func(c Crash) bool { return now.Sub(c.At) >= crashRetention })
		r.recount(content, before)
		if len(s.crashes) == 0 && now.Sub(s.lastAnswer) >= crashRetention {
			r.remove(content)
		}
	}
	r.alive.expire(now)
}

// Endpoints returns how many endpoints crashed while running a request.
func (r *Register) Endpoints(content chiverequest.Fingerprint) int {
	if s, ok := r.suspects[content]; ok {
		return crashedEndpoints(s.crashes)
	}
	return 0
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
	crashes := make([]Crash, 0, r.crashes[classRequests]+r.crashes[classParts])
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
func (r *Register) Quarantined() int { return len(r.holds) - r.QuarantinedParts() }

// QuarantinedParts returns how many parts, or combinations of parts, are quarantined.
func (r *Register) QuarantinedParts() int {
	parts := 0
	for _, h := range r.holds {
		if h.lead.IsPart() {
			parts++
		}
	}
	return parts
}

// names returns the callers' names of parts.
func (r *Register) names(members []chiverequest.Fingerprint) []string {
	var names []string
	for _, m := range members {
		if s, ok := r.suspects[m]; ok && m.IsPart() && len(s.crashes) > 0 {
			names = append(names, s.crashes[0].Name)
		}
	}
	return names
}

// crashedEndpoints returns the number of endpoints in crash reports.
func crashedEndpoints(crashes []Crash) int {
	endpoints := make(map[string]bool)
	for _, c := range crashes {
		endpoints[c.Endpoint] = true
	}
	return len(endpoints)
}
