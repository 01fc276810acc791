package chiveplace

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveresidency"
)

// promiseFor is how long a place counts that a node took for another one which does not tell of it: a request that was sent is
// in the other node's next message, a few tenths of a second later.
const promiseFor = time.Second

// Grant is a place that one node took for a request of another.
type Grant struct {
	// Endpoint names the incarnation of the endpoint: a node that knows another one decides alone.
	Endpoint string
	// Reads is the number of prompt tokens to read anew, Ahead those that wait before them.
	Reads int64
	// Fetches is the number of tokens that the endpoint fetches from the one at an address.
	Fetches    int64
	FetchFrom  string
	Ahead      int64
	Loss       float64
	Candidates int
	// Owner is the address of the node that granted it, as the node that asked notes it.
	Owner string
}

// promise is a granted place that its node has not told of yet. It counts as if that node had told of it.
type promise struct {
	node      string
	number    uint64
	candidate *candidate
	until     time.Time
}

func (m promise) key() string { return m.node + promiseMark + strconv.FormatUint(m.number, 10) }

// promiseMark stands between node and number in the key of a promise; no address has it.
const promiseMark = "#"

func isPromise(key string) bool { return strings.Contains(key, promiseMark) }

func (m promise) drop() { m.candidate.setOther(m.key(), Load{}) }

// Grant takes a place for a request of another node, under a number that rises; the error is a *RefusedError.
func (p *Pool) Grant(now time.Time, node string, number uint64, ask Ask) (Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	place, err := p.choose(now, ask)
	if err != nil {
		return Grant{}, err
	}
	s := place.candidate
	p.use(now, s)
	load := Load{Requests: 1, Waiting: byRank(nil).add(place.rank, place.reads)}
	if place.tight {
		load.Tight = 1
	}
	s.demand.note(now, p.forecast.own(float64(place.reads))*s.speed())
	if place.reads > chunkTokens {
		load.Long = place.reads
		s.noteLong(now, place.reads)
	}
	if ask.Prompt != nil {
		s.cache.touch(ask.Prompt.Parts, now.Add(place.expected))
	}
	m := promise{node: node, number: number, candidate: s, until: now.Add(promiseFor)}
	s.setOther(m.key(), load)
	p.promises = append(p.promises, m)
	return Grant{Endpoint: s.incarnation, Reads: place.reads, Fetches: place.fetches, FetchFrom: place.fetchFrom, Ahead: place.ahead, Loss: place.loss, Candidates: place.candidates}, nil
}

// expire drops the promises whose nodes have not told of them in time.
func (p *Pool) expire(now time.Time) {
	p.promises = slices.DeleteFunc(p.promises, func(m promise) bool {
		if now.After(m.until) {
			m.drop()
			return true
		}
		return false
	})
}

// fulfil drops the promises that a node's own load report covers now.
func (p *Pool) fulfil(node string, upTo uint64) {
	p.promises = slices.DeleteFunc(p.promises, func(m promise) bool {
		if m.node == node && m.number <= upTo {
			m.drop()
			return true
		}
		return false
	})
}

// Adopt makes a place of a grant; it fails when this node does not know the endpoint as ready or the ask does not allow its failure
// domain, as an owner of an earlier release may grant it.
func (p *Pool) Adopt(now time.Time, grant Grant, ask Ask) (*Place, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.candidate(grant.Endpoint)
	if !ok || s.endpoint.State != chivedirectory.Ready || !ask.Domains.Contains(s.endpoint.FailureDomain) {
		return nil, false
	}
	prompt := ask.Prompt
	if grant.FetchFrom != "" && !p.isWithin(grant.FetchFrom, ask.Domains) {
		grant.Reads, grant.Fetches, grant.FetchFrom = grant.Reads+grant.Fetches, 0, ""
	}
	place := &Place{
		pool: p, candidate: s, endpoint: s.endpoint, domains: ask.Domains, began: now, reason: "granted by its owner", owner: grant.Owner, loss: grant.Loss, candidates: grant.Candidates,
		reads: grant.Reads, fetches: grant.Fetches, fetchFrom: grant.FetchFrom, ahead: grant.Ahead, rank: prompt.Rank, tight: p.isTight(prompt),
		input: prompt.Input,
	}
	p.hold(now, place, prompt)
	return place, true
}

// isWithin reports whether the endpoint at an address is in one of the failure domains; the caller holds the lock.
func (p *Pool) isWithin(address string, domains chiveresidency.Domains) bool {
	if !domains.IsLimited() {
		return true
	}
	return slices.ContainsFunc(p.ordered, func(s *candidate) bool {
		return s.endpoint.Address == address && domains.Contains(s.endpoint.FailureDomain)
	})
}

// PassedOver returns the endpoints that this node would not send to now, for what happened there.
func (p *Pool) PassedOver(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, s := range p.used {
		if now.Before(s.downUntil) {
			ids = append(ids, id)
		}
	}
	return ids
}
