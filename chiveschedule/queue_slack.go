package chiveschedule

import (
	"math"
	"sort"
	"time"
)

// slackQueue is the default policy: tiers with guaranteed class shares, fair queuing among teams and earliest due time
// first. It selects the next request by these rules, in this order:
//
//  1. A waiting class that received less than its guaranteed share of the recently granted work goes first, so that no
//     class starves.
//  2. More urgent tiers go first.
//  3. Within a tier, only teams whose weighted service is within teamQuantum of the least-served team are eligible.
//  4. Each class and team offers its earliest due request that is not late, or its oldest when all are late. Among
//     these, requests that are not late go first. Serving late requests first would make all behind them late too: in
//     a burst, every request of a class would be served late.
type slackQueue[T Item] struct {
	shares       Shares
	tiers        []*tierState[T]
	classes      map[string]*classState[T]
	totalGranted decayingSum
	count        int
}

// tierState holds the waiting requests of one tier, by team and class.
type tierState[T Item] struct {
	teams       map[string]*teamState[T]
	virtualTime float64
	count       int
}

// teamState holds a team's requests in a tier and the work it was granted, divided by its weight.
type teamState[T Item] struct {
	subqueues map[string]*subqueue[T]
	served    float64
	count     int
}

// subqueue holds the requests of one class and team in order of due time.
type subqueue[T Item] struct {
	items []T
}

type classState[T Item] struct {
	granted decayingSum
	waiting int
	tier    int
}

// decayingSum is a sum that decays exponentially with the time constant shareDecayTime.
type decayingSum struct {
	sum     float64
	updated time.Time
}

const (
	shareDecayTime = 10 * time.Second
	teamQuantum    = 4000.0
	starvingBelow  = 1.0
)

func (d *decayingSum) value(now time.Time) float64 {
	if d.updated.IsZero() {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.updated).Seconds()/shareDecayTime.Seconds())
}

func (d *decayingSum) add(now time.Time, amount float64) {
	d.sum = d.value(now) + amount
	d.updated = now
}

func newSlackQueue[T Item](shares Shares) Queue[T] {
	q := &slackQueue[T]{shares: shares, classes: make(map[string]*classState[T])}
	for range max(shares.Tiers, 1) {
		q.tiers = append(q.tiers, &tierState[T]{teams: make(map[string]*teamState[T])})
	}
	return q
}

func (q *slackQueue[T]) Len() int { return q.count }

func (q *slackQueue[T]) Push(_ time.Time, item T) {
	rank, class, team := item.Place()
	tier := q.tier(rank)
	teamQueue := tier.team(team)
	if teamQueue.count == 0 {
		// A team does not accumulate credit while it has no requests waiting.
		teamQueue.served = max(teamQueue.served, tier.virtualTime)
	}
	teamQueue.subqueue(class).insert(item)
	teamQueue.count++
	tier.count++
	q.count++
	classQueue := q.class(class)
	classQueue.waiting++
	classQueue.tier = rank
}

// insert keeps the items in order of due time. It searches from the end: apart from resubmitted requests, items
// arrive in nearly that order.
func (s *subqueue[T]) insert(item T) {
	i := len(s.items)
	for i > 0 && s.items[i-1].Due().After(item.Due()) {
		i--
	}
	s.items = append(s.items, item)
	copy(s.items[i+1:], s.items[i:])
	s.items[i] = item
}

// next returns the earliest due item that is not late, or the oldest when all are late.
func (s *subqueue[T]) next(now time.Time) T {
	i := sort.Search(len(s.items), func(i int) bool { return !s.items[i].Due().Before(now) })
	if i == len(s.items) {
		i = 0
	}
	return s.items[i]
}

func (q *slackQueue[T]) Next(now time.Time, accept func(T) bool) (T, bool) {
	if class, ok := q.mostStarvedClass(now); ok {
		if item, found := q.tier(q.classes[class].tier).next(now, class, accept); found {
			return item, true
		}
	}
	for _, tier := range q.tiers {
		if tier.count == 0 {
			continue
		}
		if item, ok := tier.next(now, "", accept); ok {
			return item, true
		}
	}
	var zero T
	return zero, false
}

// mostStarvedClass returns the waiting class that is furthest below its guaranteed share of the recently granted work.
func (q *slackQueue[T]) mostStarvedClass(now time.Time) (string, bool) {
	lowest, name := starvingBelow, ""
	recent := q.totalGranted.value(now)
	for class, state := range q.classes {
		if state.waiting == 0 {
			continue
		}
		guaranteed := q.shares.MinShare(class) * recent
		received := state.granted.value(now)
		if guaranteed <= 0 || received >= guaranteed {
			continue
		}
		ratio := received / guaranteed
		if ratio < lowest || (ratio == lowest && class < name) {
			lowest, name = ratio, class
		}
	}
	return name, name != ""
}

// next selects an item of the tier, or of one class in it when class is not empty.
func (t *tierState[T]) next(now time.Time, class string, accept func(T) bool) (T, bool) {
	var best T
	found := false
	least := t.minServed(class)
	for _, teamQueue := range t.teams {
		if teamQueue.count == 0 || teamQueue.served > least+teamQuantum {
			continue
		}
		for name, subqueue := range teamQueue.subqueues {
			if len(subqueue.items) == 0 || (class != "" && name != class) {
				continue
			}
			if item := subqueue.next(now); accept(item) && (!found || servedBefore(now, item, best)) {
				best, found = item, true
			}
		}
	}
	return best, found
}

func (t *tierState[T]) minServed(class string) float64 {
	least := math.Inf(1)
	for _, teamQueue := range t.teams {
		if teamQueue.count > 0 && (class == "" || teamQueue.hasWaiting(class)) {
			least = min(least, teamQueue.served)
		}
	}
	return least
}

func (t *teamState[T]) hasWaiting(class string) bool {
	subqueue, ok := t.subqueues[class]
	return ok && len(subqueue.items) > 0
}

func servedBefore[T Item](now time.Time, a, b T) bool {
	overdueA, overdueB := a.Due().Before(now), b.Due().Before(now)
	if overdueA != overdueB {
		return overdueB
	}
	if !a.Due().Equal(b.Due()) {
		return a.Due().Before(b.Due())
	}
	// Break ties by name, so that the order is deterministic.
	_, classA, teamA := a.Place()
	_, classB, teamB := b.Place()
	return teamA+classA < teamB+classB
}

func (q *slackQueue[T]) Remove(now time.Time, item T, granted bool) {
	rank, class, team := item.Place()
	tier := q.tier(rank)
	teamQueue := tier.team(team)
	if !teamQueue.subqueue(class).remove(item) {
		return
	}
	teamQueue.count--
	tier.count--
	q.count--
	classQueue := q.class(class)
	classQueue.waiting--
	if !granted {
		return
	}
	cost := float64(item.Cost())
	teamQueue.served += cost / float64(q.shares.Weight(team))
	tier.advanceVirtualTime()
	classQueue.granted.add(now, cost)
	q.totalGranted.add(now, cost)
}

// advanceVirtualTime raises the tier's virtual time to the service of its least-served waiting team, and drops idle
// teams that are behind it.
func (t *tierState[T]) advanceVirtualTime() {
	if least := t.minServed(""); !math.IsInf(least, 1) {
		t.virtualTime = max(t.virtualTime, least)
	}
	for name, teamQueue := range t.teams {
		if teamQueue.count == 0 && teamQueue.served < t.virtualTime {
			delete(t.teams, name)
		}
	}
}

func (s *subqueue[T]) remove(item T) bool {
	for i := range s.items {
		if s.items[i] == item {
			s.items = append(s.items[:i], s.items[i+1:]...)
			return true
		}
	}
	return false
}

func (q *slackQueue[T]) tier(rank int) *tierState[T] {
	return q.tiers[min(max(rank, 0), len(q.tiers)-1)]
}

func (q *slackQueue[T]) class(name string) *classState[T] {
	state, ok := q.classes[name]
	if !ok {
		state = &classState[T]{}
		q.classes[name] = state
	}
	return state
}

func (t *tierState[T]) team(name string) *teamState[T] {
	teamQueue, ok := t.teams[name]
	if !ok {
		teamQueue = &teamState[T]{subqueues: make(map[string]*subqueue[T]), served: t.virtualTime}
		t.teams[name] = teamQueue
	}
	return teamQueue
}

func (t *teamState[T]) subqueue(class string) *subqueue[T] {
	s, ok := t.subqueues[class]
	if !ok {
		s = &subqueue[T]{}
		t.subqueues[class] = s
	}
	return s
}
