package chivequarantine

import (
	"slices"
	"time"
)

const (
	// endsToHold is how many ends of endpoints a request has to explain to be held back: two happen to sound ones in each outage of several engines.
	endsToHold = 3
	// endsOfOneReporter is how many ends count with other nodes that a single node reports: one that is cut off from the engines takes
	// each for ended that it tries, and must not hold back requests at nodes that are not.
	endsOfOneReporter = endsToHold - 1
	// sameMoment is the time within which endpoints of one failure domain end by one cause, such as a loss of power there.
	sameMoment = 300 * time.Millisecond

	// holdFirst is how long a request is held back before it is tried again: several times what an engine needs to come back.
	holdFirst = 15 * time.Second
	// holdGrowth is the factor for the next hold when the engine of that try ends too.
	holdGrowth = 3
	// trialMargin is how far nodes may differ in when they take an end to have happened: one that comes about as a hold ends is a trial's.
	trialMargin = time.Second
	// holdMost bounds the hold, so that a request whose engines have been mended meanwhile is served again the same day.
	holdMost = 10 * time.Minute
)

// suspect is what is known of a request on which endpoints have ended.
type suspect struct {
	// ends are in the order of their times.
	ends []End
	// answers are the newest report of each node that an endpoint answered the request, answered the time of the newest: what ended
	// before that, or answerVouches after it at most, ended by something else.
	answers  map[string]Answered
	answered time.Time
	// until is the end of the hold; zero for a request that is not held back.
	until time.Time
	// trials are the endpoints that ended in tries after a hold.
	trials int
}

func (s *suspect) held() bool { return !s.until.IsZero() }

// add takes an end and reports whether it was new.
func (s *suspect) add(e End) bool {
	if slices.ContainsFunc(s.ends, e.isSame) {
		return false
	}
	at, _ := slices.BinarySearchFunc(s.ends, e, func(a, b End) int { return a.At.Compare(b.At) })
	s.ends = slices.Insert(s.ends, at, e)
	if s.held() {
		s.hold()
	}
	return true
}

// addAnswer takes a report of an answer and tells whether it was new.
func (s *suspect) addAnswer(a Answered) bool {
	if known, ok := s.answers[a.Reporter]; ok && known.Number >= a.Number {
		return false
	}
	if s.answers == nil {
		s.answers = make(map[string]Answered)
	}
	s.answers[a.Reporter] = a
	if a.At.After(s.answered) {
		s.answered = a.At
	}
	return true
}

// support is how many ends speak against the request, as the node with an address sees it, without those that another request explains.
func (s *suspect) support(self string, explained map[string]bool) int {
	speaking := s.speaking(explained)
	first := ""
	for _, e := range speaking {
		if e.Reporter == self || (first != "" && e.Reporter != first) {
			return causes(speaking)
		}
		first = e.Reporter
	}
	return min(causes(speaking), endsOfOneReporter)
}

// speaking returns the reports of ends that no answer speaks against, without those that another request explains.
func (s *suspect) speaking(explained map[string]bool) []End {
	speaking := make([]End, 0, len(s.ends))
	for _, e := range s.ends {
		if (s.answered.IsZero() || e.At.After(s.answered.Add(answerVouches))) && !explained[e.Endpoint] {
			speaking = append(speaking, e)
		}
	}
	return speaking
}

// causes counts ends: what several nodes report of an endpoint is one, and so are those of a failure domain in one moment.
func causes(ends []End) int {
	count := 0
	counted := make(map[string]int)
	reported := make(map[endpointReporter]int)
	latest := make(map[string]time.Time)
	for _, e := range ends {
		by := endpointReporter{e.Endpoint, e.Reporter}
		reported[by]++
		if reported[by] <= counted[e.Endpoint] {
			continue
		}
		counted[e.Endpoint]++
		if last, ok := latest[e.FailureDomain]; !ok || e.At.Sub(last) > sameMoment {
			count++
		}
		latest[e.FailureDomain] = e.At
	}
	return count
}

// endpointReporter is a node that reports ends of an endpoint. One that comes back under the name that it had may end several times.
type endpointReporter struct {
	endpoint, reporter string
}

// hold works out the hold from the ends alone, so that all nodes that know of them agree, also one that hears of all at once.
func (s *suspect) hold() {
	s.lift()
	speaking := s.speaking(nil)
	for i, e := range speaking {
		if s.held() && e.At.After(s.until.Add(-trialMargin)) {
			s.trials++
		}
		if i == len(speaking)-1 || causes(speaking[:i+1]) >= endsToHold {
			s.until = e.At.Add(holdLength(s.trials))
		}
	}
}

// lift ends the hold.
func (s *suspect) lift() { s.until, s.trials = time.Time{}, 0 }

// newest is when the request was last heard of.
func (s *suspect) newest() time.Time {
	newest := s.answered
	if len(s.ends) > 0 && s.ends[len(s.ends)-1].At.After(newest) {
		newest = s.ends[len(s.ends)-1].At
	}
	return newest
}

// forget drops the ends up to a time.
func (s *suspect) forget(until time.Time) {
	s.ends = slices.DeleteFunc(s.ends, func(e End) bool { return !e.At.After(until) })
}

// holdLength is the hold after so many failed tries.
func holdLength(trials int) time.Duration {
	length := holdFirst
	for range trials {
		length = min(length*holdGrowth, holdMost)
	}
	return length
}
