package chivequarantine

import (
	"slices"
	"time"
)

const (
	// quarantineThreshold is how many crashes a request must explain. Every outage of several engines includes harmless
	// requests that were running on two of them.
	quarantineThreshold = 3
	// singleReporterLimit is how many crashes count at other nodes if all are reported by the same node: a node that is
	// partitioned from the engines reports all of them as crashed.
	singleReporterLimit = quarantineThreshold - 1
	// sameCauseWindow is the time within which successive crashes in one failure domain are attributed to one cause, such
	// as a power loss.
	sameCauseWindow = 300 * time.Millisecond

	// breakCauseWindow is sameCauseWindow for crashes with parts that broke connections: these are noticed at once.
	breakCauseWindow = 60 * time.Millisecond
	// maxPartReporters is how many reports on one endpoint are kept for a part. A part that many requests have is on an
	// endpoint for many nodes.
	maxPartReporters = 2

	// initialQuarantine is the time until the first probe: several times what an engine needs to restart.
	initialQuarantine = 15 * time.Second
	// quarantineGrowth is the factor by which the quarantine grows when the probed engine crashes too.
	quarantineGrowth = 3
	// probeMargin is how much nodes may disagree on when an endpoint crashed: a crash up to this long before the end of a
	// quarantine counts as a failed probe.
	probeMargin = time.Second
	// maxQuarantine bounds the quarantine, so that a request is served again the same day once its engines are fixed.
	maxQuarantine = 10 * time.Minute
)

// suspect holds the reports on a request, or on a part of prompts, that was running on crashed endpoints.
type suspect struct {
	// crashes are ordered by time.
	crashes []Crash
	// answers holds the newest answer that each node reported, and lastAnswer the time of the newest of all. Crashes
	// before lastAnswer, or within exonerationPeriod after it, have another cause.
	answers    map[string]Answer
	lastAnswer time.Time
	// until is when the quarantine ends; zero if the request is not quarantined.
	until time.Time
	// failedProbes is the number of probes that crashed their endpoints.
	failedProbes int
}

func (s *suspect) quarantined() bool { return !s.until.IsZero() }

// add records a crash and reports whether it was new.
func (s *suspect) add(c Crash) bool {
	if slices.ContainsFunc(s.crashes, c.isSame) || (c.Content.IsPart() && !s.makeRoom(c)) {
		return false
	}
	at, _ := slices.BinarySearchFunc(s.crashes, c, func(a, b Crash) int { return a.At.Compare(b.At) })
	s.crashes = slices.Insert(s.crashes, at, c)
	if s.quarantined() {
		s.updateQuarantine()
	}
	return true
}

// makeRoom reports whether a crash with a part is among the maxPartReporters to be kept for its endpoint, and removes the
// one that it replaces. Those of the first reporters by name are kept, so that all nodes keep the same ones.
func (s *suspect) makeRoom(c Crash) bool {
	last, count := -1, 0
	for i, known := range s.crashes {
		if known.Endpoint != c.Endpoint {
			continue
		}
		count++
		if last < 0 || known.Reporter > s.crashes[last].Reporter {
			last = i
		}
	}
	if count < maxPartReporters {
		return true
	}
	if c.Reporter >= s.crashes[last].Reporter {
		return false
	}
	s.crashes = slices.Delete(s.crashes, last, last+1)
	return true
}

// addAnswer records a reported answer and reports whether it was new.
func (s *suspect) addAnswer(a Answer) bool {
	if known, ok := s.answers[a.Reporter]; ok && known.Number >= a.Number {
		return false
	}
	if s.answers == nil {
		s.answers = make(map[string]Answer)
	}
	s.answers[a.Reporter] = a
	if a.At.After(s.lastAnswer) {
		s.lastAnswer = a.At
	}
	return true
}

// score returns how many independent crashes implicate the request from the point of view of the node with address
// self. Crashes of endpoints in explained do not count: another request explains them.
func (s *suspect) score(self string, explained map[string]bool) int {
	crashes := s.implicatingCrashes(explained)
	firstReporter := ""
	for _, c := range crashes {
		if c.Reporter == self || (firstReporter != "" && c.Reporter != firstReporter) {
			return distinctCauses(crashes)
		}
		firstReporter = c.Reporter
	}
	return min(distinctCauses(crashes), singleReporterLimit)
}

// implicatingCrashes returns the crashes of which no answer exonerates the request, except those of endpoints in
// explained.
func (s *suspect) implicatingCrashes(explained map[string]bool) []Crash {
	crashes := make([]Crash, 0, len(s.crashes))
	for _, c := range s.crashes {
		if (s.lastAnswer.IsZero() || c.At.After(s.lastAnswer.Add(exonerationPeriod))) && !explained[c.Endpoint] {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// distinctCauses counts independent crashes: reports of several nodes on the same crash count once, and so do crashes
// in one failure domain in quick succession.
func distinctCauses(crashes []Crash) int {
	count := 0
	counted := make(map[string]int)
	reported := make(map[endpointReporter]int)
	latest := make(map[string]time.Time)
	for _, c := range crashes {
		by := endpointReporter{c.Endpoint, c.Reporter}
		reported[by]++
		if reported[by] <= counted[c.Endpoint] {
			continue
		}
		counted[c.Endpoint]++
		if last, ok := latest[c.FailureDomain]; !ok || c.At.Sub(last) > c.causeWindow() {
			count++
		}
		latest[c.FailureDomain] = c.At
	}
	return count
}

// causeWindow returns the time within which this crash and an earlier one in the same failure domain have one cause.
func (c Crash) causeWindow() time.Duration {
	if c.Content.IsPart() && !c.Silent {
		return breakCauseWindow
	}
	return sameCauseWindow
}

// endpointReporter is an endpoint with a node that reports its crashes. An endpoint that keeps its name over restarts
// may crash several times.
type endpointReporter struct {
	endpoint, reporter string
}

// updateQuarantine derives the quarantine from the crashes alone, so that all nodes with the same reports agree,
// including a node that receives them all at once.
func (s *suspect) updateQuarantine() {
	s.endQuarantine()
	crashes := s.implicatingCrashes(nil)
	for i, c := range crashes {
		if s.quarantined() && c.At.After(s.until.Add(-probeMargin)) {
			s.failedProbes++
		}
		if i == len(crashes)-1 || distinctCauses(crashes[:i+1]) >= quarantineThreshold {
			s.until = c.At.Add(quarantineDuration(s.failedProbes))
		}
	}
}

func (s *suspect) endQuarantine() { s.until, s.failedProbes = time.Time{}, 0 }

// lastReport returns the time of the newest report on the request.
func (s *suspect) lastReport() time.Time {
	newest := s.lastAnswer
	if len(s.crashes) > 0 && s.crashes[len(s.crashes)-1].At.After(newest) {
		newest = s.crashes[len(s.crashes)-1].At
	}
	return newest
}

// removeCrashes removes the crashes that match and returns how many it removed.
func (s *suspect) removeCrashes(shouldRemove func(Crash) bool) int {
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, shouldRemove)
	return before - len(s.crashes)
}

// quarantineDuration returns the length of the quarantine after a number of failed probes.
func quarantineDuration(failedProbes int) time.Duration {
	length := initialQuarantine
	for range failedProbes {
		length = min(length*quarantineGrowth, maxQuarantine)
	}
	return length
}
