package chiveplace

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// pendingGrantTimeout is how long a granted place counts without a report of the node that it was granted to. That
// node's next message, a few tenths of a second later, reports a request that was sent.
const pendingGrantTimeout = time.Second

// Grant is a place that one node reserved for a request of another.
type Grant struct {
	// Endpoint is the key of the endpoint's incarnation. A node that knows another incarnation of the endpoint chooses
	// a place itself.
	Endpoint string
	// Reads is the number of prompt tokens to prefill, Ahead the number of tokens queued ahead of them.
	Reads int64
	// Fetches is the number of tokens that the endpoint fetches from the one at the address FetchFrom.
	Fetches    int64
	FetchFrom  string
	Ahead      int64
	Loss       float64
	Candidates int
	// Owner is the address of the node that granted the place; the node that asked for it sets it.
	Owner string
}

// pendingGrant is a granted place that its node has not reported yet. It counts as if the node had reported it.
type pendingGrant struct {
	node      string
	number    uint64
	candidate *candidate
	expiresAt time.Time
}

func (g pendingGrant) key() string {
	return g.node + grantKeySeparator + strconv.FormatUint(g.number, 10)
}

// grantKeySeparator separates the node and the number in the key of a pending grant in loadByNode; no node address
// contains it.
const grantKeySeparator = "#"

func isPendingGrantKey(key string) bool { return strings.Contains(key, grantKeySeparator) }

func (g pendingGrant) drop() { g.candidate.setNodeLoad(g.key(), Load{}) }

// Grant reserves a place for a request of another node, under an increasing number; the error is a *RefusedError.
func (p *Pool) Grant(now time.Time, node string, number uint64, ask Ask) (Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireGrants(now)
	ask.forPeer = true
	place, err := p.choose(now, ask)
	if err != nil {
		return Grant{}, err
	}
	cand := place.candidate
	p.ensureRecord(now, cand)
	load := Load{Requests: 1, Waiting: tokensByRank(nil).add(place.rank, place.prefillTokens)}
	if place.latencySensitive {
		load.Tight = 1
	}
	cand.demand.addPrompt(now, p.ttft.prefillMs(float64(place.prefillTokens))*cand.slowdown())
	if place.prefillTokens > prefillChunkTokens {
		load.Long = place.prefillTokens
		cand.addLongPrefill(now, place.prefillTokens)
	}
	if ask.Prompt != nil {
		cand.cache.touch(ask.Prompt.Parts, now.Add(place.expectedTTFT))
	}
	pending := pendingGrant{node: node, number: number, candidate: cand, expiresAt: now.Add(pendingGrantTimeout)}
	cand.setNodeLoad(pending.key(), load)
	p.pendingGrants = append(p.pendingGrants, pending)
	return Grant{Endpoint: cand.incarnation, Reads: place.prefillTokens, Fetches: place.fetchTokens, FetchFrom: place.fetchFrom, Ahead: place.queuedAhead, Loss: place.loss, Candidates: place.candidateCount}, nil
}

// expireGrants drops the pending grants that were not reported in time.
func (p *Pool) expireGrants(now time.Time) {
	p.pendingGrants = slices.DeleteFunc(p.pendingGrants, func(g pendingGrant) bool {
		if now.After(g.expiresAt) {
			g.drop()
			return true
		}
		return false
	})
}

// settleGrants drops the pending grants of a node that its load report now includes.
func (p *Pool) settleGrants(node string, lastGrant uint64) {
	p.pendingGrants = slices.DeleteFunc(p.pendingGrants, func(g pendingGrant) bool {
		if g.node == node && g.number <= lastGrant {
			g.drop()
			return true
		}
		return false
	})
}

// Adopt turns a grant into a place of this node. It fails if this node does not know the endpoint as ready, or if the
// ask does not allow it or its failure domain, or that is evacuated: an owner may be of an earlier release or may not have
// learnt of the evacuation yet.
func (p *Pool) Adopt(now time.Time, grant Grant, ask Ask) (*Place, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cand, ok := p.lookup(grant.Endpoint)
	if !ok || !cand.isReady(now) || !cand.notice.allowsRequest(now) || p.isEvacuated(cand) || !ask.Domains.Contains(cand.endpoint.FailureDomain) || !ask.allows(cand) {
		return nil, false
	}
	prompt := ask.Prompt
	if grant.FetchFrom != "" && !p.mayFetchFrom(grant.FetchFrom, ask.Domains) {
		grant.Reads, grant.Fetches, grant.FetchFrom = grant.Reads+grant.Fetches, 0, ""
	}
	place := &Place{
		pool: p, candidate: cand, endpoint: cand.endpoint, domains: ask.Domains, startedAt: now, reason: "granted by its owner", owner: grant.Owner, loss: grant.Loss, candidateCount: grant.Candidates,
		prefillTokens: grant.Reads, fetchTokens: grant.Fetches, fetchFrom: grant.FetchFrom, queuedAhead: grant.Ahead, rank: prompt.Rank, latencySensitive: p.isLatencySensitive(prompt),
		promptTokens: prompt.Input, way: p.wayTo(ask, cand),
	}
	if grant.FetchFrom != "" {
		place.way += p.wayFrom(grant.FetchFrom, cand)
	}
	cand.notice.probe(now)
	p.countOwn(now, place, prompt)
	return place, true
}

// PassedOver returns the incarnation keys of the endpoints that this node has ejected because of failures or refusals,
// whose limits are used up, or that have said that they are leaving or want no requests now.
func (p *Pool) PassedOver(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var incarnations []string
	for incarnation, cand := range p.recorded {
		if now.Before(cand.ejectedUntil) {
			incarnations = append(incarnations, incarnation)
		}
	}
	for incarnation, cand := range p.limited {
		if p.permitWait(now, cand) > 0 && !now.Before(cand.ejectedUntil) {
			incarnations = append(incarnations, incarnation)
		}
	}
	for incarnation, n := range p.notices {
		if n.removedAt.IsZero() && (n.isLeaving() || !n.allowsRequest(now)) && !slices.Contains(incarnations, incarnation) {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}
