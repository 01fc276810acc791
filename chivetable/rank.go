package chivetable

import (
	"slices"
	"time"
)

// Rank is the position of a request among all priorities that requests to its pool can have in one configuration.
type Rank struct {
	// Place is the index from 0, the most urgent.
	Place int
	// Of is the number of ranks; 0 counts as 1.
	Of int
}

// Depth returns the rank as a number from 0 for the most urgent to 1 for the least urgent.
func (r Rank) Depth() float64 {
	if r.Of < 2 {
		return 0
	}
	return float64(r.Place) / float64(r.Of-1)
}

// Scaled returns the rank on a scale with the given number of steps, 0 being the most urgent.
func (r Rank) Scaled(steps int) int {
	if r.Of <= steps {
		return r.Place
	}
	return r.Place * steps / r.Of
}

// priority orders requests by the tier of the route and, within it, by the tier of the team.
//
// If the tier of the team came first, large requests on the least urgent route would precede the most urgent requests
// of most teams, which under overload would then get nothing.
type priority struct {
	route int
	team  int
}

func (p priority) compare(other priority) int {
	if p.route != other.route {
		return p.route - other.route
	}
	return p.team - other.team
}

// priorityOf returns the priority of a request. A request without a team tier gets the most common tier, so that a few
// anonymous routes do not outrank all teams.
func (t *Table) priorityOf(r *Route, team *Team) priority {
	if team != nil && team.HasTier {
		return priority{r.Tier, team.Tier}
	}
	return priority{r.Tier, t.commonTier}
}

// mostCommonTier returns the tier that most teams have, the most urgent one if several are equally common, and 0 if no
// team has a tier.
func mostCommonTier(teams []Team) int {
	counts := make(map[int]int)
	common := 0
	for _, team := range teams {
		if !team.HasTier {
			continue
		}
		counts[team.Tier]++
		if difference := counts[team.Tier] - counts[common]; difference > 0 || (difference == 0 && team.Tier < common) {
			common = team.Tier
		}
	}
	return common
}

// buildRanks lists the priorities that requests to each pool can have, in order. Routes with prompts and routes without
// are ranked separately, because they use different queues.
func (t *Table) buildRanks() map[queueKey][]priority {
	ranks := make(map[queueKey][]priority)
	for i := range t.spec.Routes {
		r := &t.spec.Routes[i]
		for _, s := range r.Shares {
			q := queueKey{s.Pool, r.Prompted}
			ranks[q] = append(ranks[q], t.possiblePriorities(r)...)
			slices.SortFunc(ranks[q], priority.compare)
			ranks[q] = slices.Compact(ranks[q])
		}
	}
	return ranks
}

// possiblePriorities lists the priorities that requests on a route can have.
func (t *Table) possiblePriorities(r *Route) []priority {
	if !t.NeedsKey(r) {
		return []priority{t.priorityOf(r, nil)}
	}
	all := make([]priority, 0, len(t.spec.Teams))
	for i := range t.spec.Teams {
		all = append(all, t.priorityOf(r, &t.spec.Teams[i]))
	}
	return all
}

// queueKey identifies the requests that wait for the same endpoints.
type queueKey struct {
	pool     string
	prompted bool
}

// RankOf returns the rank of a request to a pool.
func (t *Table) RankOf(pool string, r *Route, team *Team) Rank {
	ranks := t.ranks[queueKey{pool, r.Prompted}]
	index, _ := slices.BinarySearchFunc(ranks, t.priorityOf(r, team), priority.compare)
	return Rank{Place: index, Of: len(ranks)}
}

// UrgentTarget returns the shortest target among the prompted routes to a pool that are at least as urgent as the given
// route; 0 if there is none.
func (t *Table) UrgentTarget(pool string, route *Route) time.Duration {
	shortest := time.Duration(0)
	for i := range t.spec.Routes {
		r := &t.spec.Routes[i]
		if !r.Prompted || r.Tier > route.Tier || !r.SendsTo(pool) {
			continue
		}
		if shortest == 0 || r.Target < shortest {
			shortest = r.Target
		}
	}
	return shortest
}
