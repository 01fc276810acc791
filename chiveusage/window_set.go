package chiveusage

import (
	"cmp"
	"slices"
)

// windowRange is a range of consecutive windows.
type windowRange struct {
	first, last int64
}

// windowSet is a set of windows as ascending ranges with gaps between them.
type windowSet struct {
	ranges []windowRange
}

// maxWindowRanges limits the size of a set. The gap between the two oldest ranges is then taken as part of the set.
const maxWindowRanges = 8

// add adds the windows from first to last.
func (s *windowSet) add(first, last int64) {
	if first > last {
		return
	}
	all := append(slices.Clone(s.ranges), windowRange{first, last})
	slices.SortFunc(all, func(a, b windowRange) int { return cmp.Compare(a.first, b.first) })
	merged := all[:1]
	for _, r := range all[1:] {
		if previous := &merged[len(merged)-1]; r.first <= previous.last+1 {
			previous.last = max(previous.last, r.last)
			continue
		}
		merged = append(merged, r)
	}
	for len(merged) > maxWindowRanges {
		merged[1].first = merged[0].first
		merged = merged[1:]
	}
	s.ranges = merged
}

// addAll adds the windows of another set.
func (s *windowSet) addAll(other windowSet) {
	for _, r := range other.ranges {
		s.add(r.first, r.last)
	}
}

func (s *windowSet) contains(window int64) bool { return s.containsRange(windowRange{window, window}) }

func (s *windowSet) containsRange(r windowRange) bool {
	return slices.ContainsFunc(s.ranges, func(own windowRange) bool { return own.first <= r.first && r.last <= own.last })
}

// containsAll reports whether all windows of another set are in this one.
func (s *windowSet) containsAll(other windowSet) bool {
	return !slices.ContainsFunc(other.ranges, func(r windowRange) bool { return !s.containsRange(r) })
}

// bounds returns the first and last windows of all ranges in turn.
func (s *windowSet) bounds() []int64 {
	bounds := make([]int64, 0, 2*len(s.ranges))
	for _, r := range s.ranges {
		bounds = append(bounds, r.first, r.last)
	}
	return bounds
}

// windowSetOf returns the set with the given bounds. Pairs that are not a range are ignored.
func windowSetOf(bounds []int64) (s windowSet) {
	for pair := range slices.Chunk(bounds, 2) {
		if len(pair) == 2 {
			s.add(pair[0], pair[1])
		}
	}
	return s
}
