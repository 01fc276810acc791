package chiveusage

import (
	"cmp"
	"math"
	"slices"
)

// windowRange is a range of consecutive windows.
type windowRange struct {
	first, last int64
}

func (r windowRange) contains(window int64) bool { return r.first <= window && window <= r.last }

// windowSet is a set of windows as ascending ranges with gaps between them.
type windowSet struct {
	ranges []windowRange
	// current is the last window that was settled, beforeJump the last one before wall-clock times jumped. The windows that
	// follow these are to be settled next.
	current, beforeJump int64
}

// maxWindowRanges limits the size of a set. A gap between two ranges is then taken as part of the set.
const maxWindowRanges = 8

// settle adds a window that is settled now.
func (s *windowSet) settle(window int64) {
	if !s.containsRange(windowRange{min(s.current, window-1), max(s.current, window-1)}) {
		s.beforeJump = s.current
	}
	s.current = window
	s.add(window, window)
}

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
		i := s.narrowestGap(merged)
		merged[i].last = merged[i+1].last
		merged = slices.Delete(merged, i+1, i+2)
	}
	s.ranges = merged
}

// narrowestGap returns the index of the range before the narrowest gap, other than the gaps in which the next windows to be
// settled lie.
func (s *windowSet) narrowestGap(ranges []windowRange) int {
	narrowest, width := 0, int64(math.MaxInt64)
	for i, r := range ranges[:len(ranges)-1] {
		isNext := r.contains(s.current) || r.contains(s.beforeJump)
		if w := ranges[i+1].first - r.last; !isNext && w < width {
			narrowest, width = i, w
		}
	}
	return narrowest
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
