package chiveplace

import (
	"slices"
	"strings"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chivetime"
)

// Report tells other nodes about one node's requests.
type Report struct {
	// All means that the node has no requests on endpoints that Loads does not list.
	All bool
	// Granted is the number of the latest grant of the receiving node that the sender has taken.
	Granted uint64
	Loads   []Load
	Reads   []Read
	Limits  []EndpointLimits
}

// Load is the load of one node on one endpoint.
type Load struct {
	// Endpoint is the key of the endpoint's incarnation, so that a report about a process that has ended does not count
	// for its successor.
	Endpoint string
	Requests int
	// Waiting is the number of prompt tokens of the requests without a first event, by rank.
	Waiting []int64
	// Tight is the number of latency-sensitive streams, Long the number of queued tokens of long prefills.
	Tight int
	Long  int64
	// Pause is the moving average of the pause between events of the streams there.
	Pause time.Duration
}

// Read is a prompt that a node sent to an endpoint.
type Read struct {
	Endpoint string
	Parts    []chiverequest.Part
	// Fetched is how many of the parts' tokens the endpoint fetches from another one.
	Fetched int64
}

// Empty reports whether the report says nothing.
func (r *Report) Empty() bool {
	return !r.All && len(r.Loads) == 0 && len(r.Reads) == 0 && len(r.Limits) == 0
}

// Collect appends to a report what changed since the last call, or all of the node's load.
func (p *Pool) Collect(report *Report, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changed []*candidate
	for _, cand := range p.recorded {
		if cand.dirty || all && cand.ownRequests > 0 {
			changed = append(changed, cand)
		}
	}
	slices.SortFunc(changed, func(a, b *candidate) int { return strings.Compare(a.incarnation, b.incarnation) })
	for _, cand := range changed {
		cand.dirty = false
		cand.reportedPause = cand.ownPause.value
		report.Loads = append(report.Loads, Load{
			Pause: cand.reportedPause.Round(time.Millisecond), Endpoint: cand.incarnation, Requests: cand.ownRequests, Waiting: cand.ownQueued.trimmed(), Tight: cand.ownSensitive, Long: cand.ownLongQueued,
		})
	}
	report.Reads = append(report.Reads, p.unreportedPrefills...)
	p.unreportedPrefills = nil
	p.pruneIdleRecords(time.Now())
}

// Hear applies another node's report to the endpoints of this pool.
func (p *Pool) Hear(now time.Time, node string, report *Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleGrants(node, report.Granted)
	if report.All {
		for _, cand := range p.recorded {
			cand.setNodeLoad(node, Load{})
		}
	}
	for _, load := range report.Loads {
		if cand, ok := p.lookup(load.Endpoint); ok {
			p.ensureRecord(now, cand)
			cand.setNodeLoad(node, load)
			cand.mergeReportedPause(now, load.Pause)
		}
	}
	for _, limits := range report.Limits {
		p.applyReportedLimits(now, limits)
	}
	for _, prefill := range report.Reads {
		if cand, ok := p.lookup(prefill.Endpoint); ok {
			p.ensureRecord(now, cand)
			missing := max(cand.cache.missingPartTokens(prefill.Parts)-prefill.Fetched, 0)
			cand.demand.addPrompt(now, p.ttft.prefillMs(float64(missing))*cand.slowdown())
			if missing > prefillChunkTokens {
				cand.addLongPrefill(now, missing)
			}
			cand.cache.touch(prefill.Parts, now.Add(chivetime.Milliseconds(p.ttft.predict(prefillWork{prefillTokens: missing})*cand.slowdown())))
		}
	}
}

// Forget drops the load of nodes that are not alive, since their requests are never reported as ended.
func (p *Pool) Forget(alive map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingGrants = slices.DeleteFunc(p.pendingGrants, func(g pendingGrant) bool {
		if !alive[g.node] {
			g.drop()
		}
		return !alive[g.node]
	})
	for _, cand := range p.recorded {
		for node := range cand.loadByNode {
			if !alive[node] && !isPendingGrantKey(node) {
				cand.setNodeLoad(node, Load{})
			}
		}
	}
}

// Release drops the load of other nodes on endpoints that this node does not own: it is now reported to other owners.
func (p *Pool) Release(isOwned func(incarnation string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, cand := range p.recorded {
		if len(cand.loadByNode) == 0 || isOwned(incarnation) {
			continue
		}
		for node := range cand.loadByNode {
			cand.setNodeLoad(node, Load{})
		}
	}
}

// setNodeLoad replaces the load of another node on the endpoint.
func (c *candidate) setNodeLoad(node string, load Load) {
	before := c.loadByNode[node]
	c.otherRequests += load.Requests - before.Requests
	c.otherQueued = c.otherQueued.replace(before.Waiting, load.Waiting)
	c.otherSensitive += load.Tight - before.Tight
	c.otherLongQueued += load.Long - before.Long
	if load.Requests == 0 {
		delete(c.loadByNode, node)
		return
	}
	c.loadByNode[node] = load
}
