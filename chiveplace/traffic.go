package chiveplace

const bytesPerGB = 1e9

// Traffic is what bytes between regions cost. The zero value means that they cost nothing.
type Traffic struct {
	// RequestsPerGB is the number of requests answered in time that a gigabyte is worth.
	RequestsPerGB float64
	// PromptTokenBytes is the size of a prompt token in a request, CachedTokenBytes that of a cached token that one engine
	// fetches from another.
	PromptTokenBytes int64
	CachedTokenBytes int64
}

// loss returns the expected loss of a number of bytes between regions.
func (t Traffic) loss(bytes int64) float64 { return t.RequestsPerGB * float64(bytes) / bytesPerGB }

// SetTraffic sets what bytes between regions cost; it must be called before the first request.
func (p *Pool) SetTraffic(traffic Traffic) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.traffic = traffic
}

// trafficLoss is the loss of the bytes that a request on an engine moves between regions.
func (c *engineChoice) trafficLoss(cand *candidate, fetch int64) float64 {
	if c.pool.traffic.RequestsPerGB == 0 {
		return 0
	}
	bytes := int64(0)
	if c.pool.wayTo(c.ask, cand) > 0 {
		bytes += c.prompt.Input * c.pool.traffic.PromptTokenBytes
	}
	if fetch > 0 && c.pool.between(c.holder, cand) > 0 {
		bytes += fetch * c.pool.traffic.CachedTokenBytes
	}
	return c.pool.traffic.loss(bytes)
}
