package chivemember

import "time"

// peakRetention is the minimum time for which a fleet's largest size is kept; it is longer than most partitions.
const peakRetention = 2 * time.Minute

// PeakSize is the largest recent number of members. Nodes that divide a limit of the whole fleet by it stay within the
// limit together, even if a partition makes each of them consider the others dead.
type PeakSize struct {
	maxima    [2]int
	rotatedAt time.Time
}

// NewPeakSize returns the peak of a fleet of one node.
func NewPeakSize(now time.Time) PeakSize {
	return PeakSize{maxima: [2]int{1, 1}, rotatedAt: now}
}

// Set records the current number of members. Once per peakRetention the older of the two maxima is discarded.
func (p *PeakSize) Set(now time.Time, size int) {
	size = max(size, 1)
	if now.Sub(p.rotatedAt) >= peakRetention {
		p.maxima, p.rotatedAt = [2]int{size, p.maxima[0]}, now
	}
	p.maxima[0] = max(p.maxima[0], size)
}

// Size returns the largest recent number of members.
func (p *PeakSize) Size() int { return max(p.maxima[0], p.maxima[1]) }
