package chivereport

// histogram counts milliseconds in steps that double.
type histogram struct {
	counts [histogramSteps]int64
}

// histogramSteps reach from one millisecond to two minutes.
const histogramSteps = 17

func (h *histogram) add(ms int64) {
	step := 0
	for ms > 1 && step < histogramSteps-1 {
		ms /= 2
		step++
	}
	h.counts[step]++
}
