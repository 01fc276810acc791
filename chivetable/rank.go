package chivetable

import (
	"slices"
	"time"
)

// Rank is the place of a request among the ranks that requests to its pool can have in one configuration.
type Rank struct {
	// Place counts from 0, the most urgent.
	Place int
	// Of is how many ranks there are; 0 stands for 1.
	Of int
}

// Depth returns how far down a rank is, from 0 for the most urgent to 1 for the least.
func (r Rank) Depth() float64 {
	if r.Of < 2 {
		return 0
	}
	return float64(r.Place) / float64(r.Of-1)
}

// Scaled returns the rank on a scale of so many steps, 0 the most urgent.
func (r Rank) Scaled(steps int) int {
	if r.Of <= steps {
		return r.Place
	}
	return r.Place * steps / r.Of
}

// tiers is what two requests are compared by: the route's tier, and between requests of one tier the team's.
//
// Were the team's compared first, large requests of the least urgent route would go before the most urgent ones of most teams:
// under overload those got nothing while the large ones began.
type tiers struct {
	route int
	team  int
}

func (t tiers) compare(other tiers) int {
	if t.route != other.route {
		return t.route - other.route
	}
	return t.team - other.team
}

// tiersOf returns what a request is compared by. Requests without a team's tier stand with the usual teams, so that a few
// anonymous routes do not push all teams down.
func (t *Table) tiersOf(r *Route, team *Team) tiers {
	if team != nil && team.HasTier {
		return tiers{r.Tier, team.Tier}
	}
	return tiers{r.Tier, t.usualTier}
}

// usualTierOf returns the tier that most teams have, of several the most urgent; 0 when no team has one.
func usualTierOf(teams []Team) int {
	count := make(map[int]int)
	usual := 0
	for _, team := range teams {
		if !team.HasTier {
			continue
		}
		count[team.Tier]++
		if more := count[team.Tier] - count[usual]; more > 0 || (more == 0 && team.Tier < usual) {
			usual = team.Tier
		}
	}
	return usual
}

// ranksOf lists all that requests to each pool can be compared by, in order. Routes with prompts stand apart from those without:
// they do not wait for each other.
func (t *Table) ranksOf() map[queue][]tiers {
	ranks := make(map[queue][]tiers)
	for i := range t.spec.Routes {
		r := &t.spec.Routes[i]
		for _, s := range r.Shares {
			q := queue{s.Pool, r.Prompted}
			ranks[q] = append(ranks[q], t.possible(r)...)
			slices.SortFunc(ranks[q], tiers.compare)
			ranks[q] = slices.Compact(ranks[q])
		}
	}
	return ranks
}

// possible lists what requests on a route can be compared by.
func (t *Table) possible(r *Route) []tiers {
	if !t.NeedsKey(r) {
		return []tiers{t.tiersOf(r, nil)}
	}
	all := make([]tiers, 0, len(t.spec.Teams))
	for i := range t.spec.Teams {
		all = append(all, t.tiersOf(r, &t.spec.Teams[i]))
	}
	return all
}

// queue names the requests that wait for the same endpoints.
type queue struct {
	pool     string
	prompted bool
}

// RankOf returns the rank of a request to a pool.
func (t *Table) RankOf(pool string, r *Route, team *Team) Rank {
	ranks := t.ranks[queue{pool, r.Prompted}]
	place, _ := slices.BinarySearchFunc(ranks, t.tiersOf(r, team), tiers.compare)
	return Rank{Place: place, Of: len(ranks)}
}

// UrgentTarget returns the shortest target of the prompted routes to a pool that are as urgent as a given one or more; zero
// when there is none.
func (t *Table) UrgentTarget(pool string, than *Route) time.Duration {
	shortest := time.Duration(0)
	for i := range t.spec.Routes {
		r := &t.spec.Routes[i]
		if !r.Prompted || r.Tier > than.Tier || !r.leadsTo(pool) {
			continue
		}
		if shortest == 0 || r.Target < shortest {
			shortest = r.Target
		}
	}
	return shortest
}
