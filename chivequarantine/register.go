package chivequarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chivedrift/chiverequest"
)

const (
	// endsKept is how long an end counts against a request that is not held back: callers come back within their own time, of seconds.
	endsKept = 2 * time.Minute
	// endsMost bounds the memory: an engine has a few dozen requests, so that this holds the ends of some dozens of engines.
	endsMost = 2048
)

// Change tells that a hold began or ended.
type Change struct {
	Content chiverequest.Fingerprint
	Held    bool
	// Ends are the ends that speak against the request.
	Ends []End
	// Until is when it may be tried again.
	Until time.Time
}

// Register holds which endpoints ended under which requests, and decides which requests are held back. It is not safe for concurrent use.
type Register struct {
	self     string
	suspects map[chiverequest.Fingerprint]*suspect
	ends     int
}

// NewRegister returns the empty register of the node with a peer address.
func NewRegister(self string) *Register {
	return &Register{self: self, suspects: make(map[chiverequest.Fingerprint]*suspect)}
}

// Empty tells whether nothing is known of any request.
func (r *Register) Empty() bool { return len(r.suspects) == 0 }

// Suspects tells whether an end speaks against a request.
func (r *Register) Suspects(content chiverequest.Fingerprint) bool {
	s, ok := r.suspects[content]
	return ok && len(s.speaking(nil)) > 0
}

// copiesApart is the time within which copies of a request, sent by one node, break off with one end of an endpoint.
const copiesApart = time.Second

// HasLately tells whether the reporter has reported the end already, for another copy of the request.
func (r *Register) HasLately(e End) bool {
	s, ok := r.suspects[e.Content]
	return ok && slices.ContainsFunc(s.ends, func(known End) bool {
		return known.Endpoint == e.Endpoint && known.Reporter == e.Reporter && e.At.Sub(known.At) < copiesApart
	})
}

// AddEnd takes an end and reports whether it was new.
func (r *Register) AddEnd(now time.Time, e End) bool {
	if now.Sub(e.At) >= endsKept+holdMost {
		return false
	}
	if !r.suspect(e.Content).add(e) {
		return false
	}
	r.ends++
	for r.ends > endsMost {
		r.dropOldest()
	}
	return true
}

// AddAnswer takes an answer to a request and reports whether it was new.
func (r *Register) AddAnswer(now time.Time, a Answered) bool {
	if now.Sub(a.At) >= endsKept {
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

// dropOldest forgets the request that was not heard of for the longest, one that is not held back where there is one.
func (r *Register) dropOldest() {
	var oldest *suspect
	var content chiverequest.Fingerprint
	for c, s := range r.suspects {
		older := oldest != nil && s.newest().Before(oldest.newest())
		if oldest == nil || (oldest.held() && !s.held()) || (oldest.held() == s.held() && older) {
			oldest, content = s, c
		}
	}
	r.remove(content)
}

func (r *Register) remove(content chiverequest.Fingerprint) {
	r.ends -= len(r.suspects[content].ends)
	delete(r.suspects, content)
}

// Forget drops what is too old to count.
func (r *Register) Forget(now time.Time) {
	for content, s := range r.suspects {
		if s.held() && now.Before(s.until.Add(endsKept)) {
			continue
		}
		before := len(s.ends)
		s.forget(now.Add(-endsKept))
		r.ends -= before - len(s.ends)
		if len(s.ends) == 0 && now.Sub(s.answered) >= endsKept {
			r.remove(content)
		}
	}
}

// Decide works out which requests are held back, and returns what changed.
//
// The request that was on the most engines that ended is taken to have ended them all; of what is left, again the one with the most, while there
// are enough ends for one. The requests beside it have lost as many engines now and then, and are free again with that. Where two were on
// the same engines, one of them is held back; if it was the wrong one, the next end tells.
func (r *Register) Decide() []Change {
	pending := r.enough()
	explained := make(map[string]bool)
	chosen := make(map[chiverequest.Fingerprint]bool)
	for {
		content, ok := r.strongest(pending, explained)
		if !ok {
			break
		}
		chosen[content] = true
		for _, e := range r.suspects[content].speaking(nil) {
			explained[e.Endpoint] = true
		}
	}
	var changes []Change
	for content, s := range r.suspects {
		if s.held() == chosen[content] {
			continue
		}
		if chosen[content] {
			s.hold()
		} else {
			s.lift()
		}
		changes = append(changes, Change{Content: content, Held: chosen[content], Ends: slices.Clone(s.ends), Until: s.until})
	}
	return changes
}

// enough returns the requests with enough ends to be held back, whoever explains them, in an order that is the same on all nodes.
func (r *Register) enough() []chiverequest.Fingerprint {
	var pending []chiverequest.Fingerprint
	for content, s := range r.suspects {
		if len(s.ends) >= endsToHold && s.support(r.self, nil) >= endsToHold {
			pending = append(pending, content)
		}
	}
	slices.Sort(pending)
	return pending
}

// strongest returns the request with the most ends that nothing explains yet.
func (r *Register) strongest(pending []chiverequest.Fingerprint, explained map[string]bool) (content chiverequest.Fingerprint, ok bool) {
	most, mostEnds := endsToHold-1, 0
	for _, c := range pending {
		s := r.suspects[c]
		support := s.support(r.self, explained)
		if cmp.Or(cmp.Compare(support, most), cmp.Compare(len(s.ends), mostEnds)) > 0 && support >= endsToHold {
			content, most, mostEnds, ok = c, support, len(s.ends), true
		}
	}
	return content, ok
}

// Endpoints is how many endpoints have ended under a request.
func (r *Register) Endpoints(content chiverequest.Fingerprint) int {
	s, ok := r.suspects[content]
	if !ok {
		return 0
	}
	ended := make(map[string]bool)
	for _, e := range s.ends {
		ended[e.Endpoint] = true
	}
	return len(ended)
}

// EndsOf returns the ends under a request.
func (r *Register) EndsOf(content chiverequest.Fingerprint) []End {
	if s, ok := r.suspects[content]; ok {
		return s.ends
	}
	return nil
}

// HeldUntil tells whether a request is held back, and until when it is not to be tried at all.
func (r *Register) HeldUntil(content chiverequest.Fingerprint) (until time.Time, held bool) {
	s, ok := r.suspects[content]
	if !ok || !s.held() {
		return time.Time{}, false
	}
	return s.until, true
}

// HoldLength is the length of a request's hold, and of the time between two tries of it.
func (r *Register) HoldLength(content chiverequest.Fingerprint) time.Duration {
	if s, ok := r.suspects[content]; ok {
		return holdLength(s.trials)
	}
	return holdLength(0)
}

// Ends returns all ends.
func (r *Register) Ends() []End {
	ends := make([]End, 0, r.ends)
	for _, s := range r.suspects {
		ends = append(ends, s.ends...)
	}
	return ends
}

// Answers returns the newest report of each node of an answer to each request.
func (r *Register) Answers() []Answered {
	var answers []Answered
	for _, s := range r.suspects {
		answers = slices.AppendSeq(answers, maps.Values(s.answers))
	}
	return answers
}

// Held returns how many requests are held back.
func (r *Register) Held() int {
	held := 0
	for _, s := range r.suspects {
		if s.held() {
			held++
		}
	}
	return held
}
