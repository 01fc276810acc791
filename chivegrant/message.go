package chivegrant

import (
	"time"

	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
)

// PlaceAsk asks the owner of a group for a place.
type PlaceAsk struct {
	// Number identifies the request among those of the sending node.
	Number uint64
	Pool   string
	Group  string
	Parts  []chiverequest.Part
	Input  int64
	// Target, Pause and Urgent are copied from the prompt.
	Target time.Duration
	Pause  time.Duration
	Urgent time.Duration
	Rank   chivetable.Rank
	// Exclude names the endpoints that the requesting node does not send to.
	Exclude []string
	// Domains lists the failure domains that the request is limited to; empty means all domains.
	Domains []string
	// Most and MostReads bound the cost of the place: the owner refuses a place whose expected loss exceeds Most plus
	// the loss of recomputing MostReads prompt tokens, so that the requesting node can try another group first. Most 0
	// means no bound.
	Most      float64
	MostReads int64
}

func newPlacementRequest(pool, group string, prompt *chiverequest.Prompt) PlaceAsk {
	return PlaceAsk{
		Pool: pool, Group: group, Parts: prompt.Parts, Input: prompt.Input, Target: prompt.Target, Pause: prompt.Pause, Urgent: prompt.Urgent,
		Rank: prompt.Rank,
	}
}

// domains returns the failure domains that the request is limited to. An empty list means all domains: a request for
// which no domain is allowed is never sent to an owner.
func (r PlaceAsk) domains() chiveresidency.Domains {
	if len(r.Domains) == 0 {
		return chiveresidency.Domains{}
	}
	return chiveresidency.DomainsOf(r.Domains)
}

func (r PlaceAsk) prompt() *chiverequest.Prompt {
	return &chiverequest.Prompt{Parts: r.Parts, Input: r.Input, Target: r.Target, Pause: r.Pause, Urgent: r.Urgent, Rank: r.Rank}
}

// PlaceAnswer is the response to a PlaceAsk.
type PlaceAnswer struct {
	// Number is copied from the request. Given is the number of the grant, which the requesting node acknowledges in
	// its load reports; 0 if there is no grant.
	Number uint64
	Given  uint64
	Grant  chiveplace.Grant
	// Unknown is set when the owner does not know the pool or any engine of the group yet.
	Unknown bool
	// Refused is the reason why there is no grant; RetryAfter and Loss are set with it. On a refusal, Grant.FetchFrom
	// is the address of the engine that holds the longest prefix of the prompt and Grant.Fetches the length of that
	// prefix in tokens.
	Refused    string
	RetryAfter time.Duration
	Loss       float64
}
