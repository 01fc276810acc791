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
	// Number names the question among those of its node.
	Number uint64
	Pool   string
	Group  string
	Parts  []chiverequest.Part
	Input  int64
	// Target, Pause and Urgent are what the prompt says of them.
	Target time.Duration
	Pause  time.Duration
	Urgent time.Duration
	Rank   chivetable.Rank
	// Exclude names endpoints that the node would not send to.
	Exclude []string
	// Domains lists the failure domains that the request is limited to; none stands for every domain.
	Domains []string
	// Most is the loss above which the node would ask elsewhere first, beside that of reading so many tokens again.
	Most      float64
	MostReads int64
}

func newPlaceAsk(pool, group string, prompt *chiverequest.Prompt) PlaceAsk {
	return PlaceAsk{
		Pool: pool, Group: group, Parts: prompt.Parts, Input: prompt.Input, Target: prompt.Target, Pause: prompt.Pause, Urgent: prompt.Urgent,
		Rank: prompt.Rank,
	}
}

// domains returns the failure domains that the request is limited to. A request that is limited to none asks nobody.
func (a PlaceAsk) domains() chiveresidency.Domains {
	if len(a.Domains) == 0 {
		return chiveresidency.Domains{}
	}
	return chiveresidency.DomainsOf(a.Domains)
}

func (a PlaceAsk) prompt() *chiverequest.Prompt {
	return &chiverequest.Prompt{Parts: a.Parts, Input: a.Input, Target: a.Target, Pause: a.Pause, Urgent: a.Urgent, Rank: a.Rank}
}

// PlaceAnswer is the owner's answer.
type PlaceAnswer struct {
	// Number is the question's, Given the grant's own, by which its node tells that it has it; 0 without a grant.
	Number uint64
	Given  uint64
	Grant  chiveplace.Grant
	// Unknown tells that the owner does not know the engines of the group yet.
	Unknown bool
	// Refused tells why there is no grant; RetryAfter and Loss go with it. FetchFrom and Fetches of the empty grant then name the engine that has read
	// the most of the prompt, and how much that is.
	Refused    string
	RetryAfter time.Duration
	Loss       float64
}
