package chiveforward

const (
	// windowBuckets is the number of buckets in a window of the retry budget.
	windowBuckets = 40
	// arrivalBuckets covers the time from the charge of a retry to its arrival.
	arrivalBuckets = 2
	// bucketCount covers two windows.
	bucketCount = 2 * windowBuckets
)

// window holds the requests and retries of a pool in the window that ends now and in the one before.
type window struct {
	requests buckets
	retries  buckets
	// bucket is the number of the current bucket.
	bucket int64
}

// advance makes a bucket the current one, unless a later one is.
func (w *window) advance(bucket int64) {
	for cleared := 0; w.bucket < bucket && cleared < bucketCount; cleared++ {
		w.bucket++
		w.requests[w.bucket%bucketCount] = 0
		w.retries[w.bucket%bucketCount] = 0
	}
	w.bucket = max(w.bucket, bucket)
}

// newestRequests returns the requests in the window that ends now.
func (w *window) newestRequests() int { return w.requests.sum(w.bucket-windowBuckets+1, w.bucket) }

// requestsBefore returns the requests in the window before that.
func (w *window) requestsBefore() int {
	return w.requests.sum(w.bucket-2*windowBuckets+1, w.bucket-windowBuckets)
}

// newestRetries returns the retries that may arrive in the window that ends now.
func (w *window) newestRetries() int {
	return w.retries.sum(w.bucket-windowBuckets-arrivalBuckets, w.bucket)
}

// buckets holds counts by the number of their bucket, modulo bucketCount.
type buckets [bucketCount]int

// at returns the count of a bucket; it is zero before the first.
func (c *buckets) at(bucket int64) int {
	if bucket < 0 {
		return 0
	}
	return c[bucket%bucketCount]
}

// sum adds up the buckets from the first to the last.
func (c *buckets) sum(first, last int64) int {
	total := 0
	for bucket := first; bucket <= last; bucket++ {
		total += c.at(bucket)
	}
	return total
}
