package chivereport

// histogram counts durations in buckets whose lower bounds are the powers of two in milliseconds.
type histogram struct {
	counts [histogramBuckets]int64
}

// histogramBuckets is the number of buckets; they cover one millisecond to two minutes.
const histogramBuckets = 17

func (h *histogram) add(ms int64) {
	bucket := 0
	for ms > 1 && bucket < histogramBuckets-1 {
		ms /= 2
		bucket++
	}
	h.counts[bucket]++
}
