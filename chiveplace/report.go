package chiveplace

import (
	"slices"
	"strings"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chivetime"
)

// Report is what one node tells the others of its requests.
type Report struct {
	// All tells that endpoints which are not named have none of the node's requests.
	All bool
	// Granted is the newest grant of the one who is told that the node has taken.
	Granted uint64
	Loads   []Load
	Reads   []Read
}

// Load is how much a node has on one endpoint.
type Load struct {
	// Endpoint names the incarnation of the endpoint, so that a report on a process that has ended does not count for the one that follows.
	Endpoint string
	Requests int
	// Waiting is the number of prompt tokens of the requests that have not begun to answer, by rank.
	Waiting []int64
	// Tight is how many of the requests are streams whose pauses a long read spoils, Long the waiting tokens of long reads.
	Tight int
	Long  int64
	// Pause is the running pause between the events of the streams there.
	Pause time.Duration
}

// Read is a prompt that a node sent to an endpoint.
type Read struct {
	Endpoint string
	Parts    []chiverequest.Part
	// Fetched is how many of their tokens the endpoint fetched from another one.
	Fetched int64
}

// Empty reports whether there is nothing to tell.
func (r *Report) Empty() bool { return !r.All && len(r.Loads) == 0 && len(r.Reads) == 0 }

// Collect appends what changed since the last call, or everything, to what is told to the other nodes.
func (p *Pool) Collect(report *Report, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changed []*candidate
	for _, s := range p.used {
		if s.dirty || all && s.own > 0 {
			changed = append(changed, s)
		}
	}
	slices.SortFunc(changed, func(a, b *candidate) int { return strings.Compare(a.incarnation, b.incarnation) })
	for _, s := range changed {
		s.dirty = false
		s.told = s.pause.value
		report.Loads = append(report.Loads, Load{
			Pause: s.told.Round(time.Millisecond), Endpoint: s.incarnation, Requests: s.own, Waiting: s.ownWaiting.trimmed(), Tight: s.ownTight, Long: s.ownLong,
		})
	}
	report.Reads = append(report.Reads, p.reads...)
	p.reads = nil
	p.dropIdle(time.Now())
}

// Hear takes what another node told, as far as it is about this pool's endpoints.
func (p *Pool) Hear(now time.Time, node string, report *Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fulfil(node, report.Granted)
	if report.All {
		for _, s := range p.used {
			s.setOther(node, Load{})
		}
	}
	for _, l := range report.Loads {
		if s, ok := p.candidate(l.Endpoint); ok {
			p.use(now, s)
			s.setOther(node, l)
			s.hearPause(now, l.Pause)
		}
	}
	for _, r := range report.Reads {
		if s, ok := p.candidate(r.Endpoint); ok {
			p.use(now, s)
			missing := max(s.cache.missingOf(r.Parts)-r.Fetched, 0)
			s.demand.note(now, p.forecast.own(float64(missing))*s.speed())
			if missing > chunkTokens {
				s.noteLong(now, missing)
			}
			s.cache.touch(r.Parts, now.Add(chivetime.Milliseconds(p.forecast.first(work{reads: missing})*s.speed())))
		}
	}
}

// Forget drops the requests of nodes that are not alive: nobody would ever tell that they ended.
func (p *Pool) Forget(alive map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.promises = slices.DeleteFunc(p.promises, func(m promise) bool {
		if !alive[m.node] {
			m.drop()
		}
		return !alive[m.node]
	})
	for _, s := range p.used {
		for node := range s.byNode {
			if !alive[node] && !isPromise(node) {
				s.setOther(node, Load{})
			}
		}
	}
}

// Release drops what other nodes have on endpoints that this node does not keep: they tell somebody else of it now.
func (p *Pool) Release(kept func(endpoint string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.used {
		if len(s.byNode) == 0 || kept(id) {
			continue
		}
		for node := range s.byNode {
			s.setOther(node, Load{})
		}
	}
}

// setOther replaces what another node has on the endpoint.
func (s *candidate) setOther(node string, l Load) {
	before := s.byNode[node]
	s.others += l.Requests - before.Requests
	s.othersWaiting = s.othersWaiting.replace(before.Waiting, l.Waiting)
	s.othersTight += l.Tight - before.Tight
	s.othersLong += l.Long - before.Long
	if l.Requests == 0 {
		delete(s.byNode, node)
		return
	}
	s.byNode[node] = l
}
