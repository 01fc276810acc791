package chiveschedule

import (
	"math"
	"sort"
	"time"
)

// slackQueue is the policy in force by default. Order of decision:
//
//  1. A class that waits and got less than its guaranteed minimum of the recent work goes first, so that none starves.
//  2. Tiers, the most urgent first.
//  3. Within a tier, the teams that are not ahead of the least-served team by more than a quantum of work.
//  4. Of each class and team the earliest due that can still meet its target, else the oldest; among these, those
//     that can still meet it come first. Were the ones that already missed it served first, all behind them would
//     miss it too: in a burst a whole class would be served, and every request of it late.
type slackQueue[T Item] struct {
	shares  Shares
	tiers   []*tierState[T]
	classes map[string]*classState[T]
	total   decayed
	count   int
}

// A tierState holds the waiting requests of one tier, by team and class.
type tierState[T Item] struct {
	teams map[string]*teamState[T]
	floor float64
	count int
}

// A teamState holds a team's requests in a tier and the work it was granted, divided by its weight.
type teamState[T Item] struct {
	lanes  map[string]*lane[T]
	served float64
	count  int
}

// A lane is the line of one class and team in order of due time, which is the order of arrival.
type lane[T Item] struct {
	items []T
}

type classState[T Item] struct {
	granted decayed
	waiting int
	tier    int
}

// decayed is a sum that forgets over guaranteeWindow.
type decayed struct {
	sum float64
	at  time.Time
}

const (
	guaranteeWindow = 10 * time.Second
	teamQuantum     = 4000.0
	guaranteeSlack  = 1.0
)

func (d *decayed) value(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/guaranteeWindow.Seconds())
}

func (d *decayed) add(now time.Time, amount float64) {
	d.sum = d.value(now) + amount
	d.at = now
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
	place, class, team := item.Place()
	tier := q.tier(place)
	member := tier.team(team)
	if member.count == 0 {
		// A team that was away must not return with credit for the time it asked for nothing.
		member.served = max(member.served, tier.floor)
	}
	member.lane(class).insert(item)
	member.count++
	tier.count++
	q.count++
	state := q.class(class)
	state.waiting++
	state.tier = place
}

// insert keeps a lane in order of due time; only a resubmitted request is ever older than the last.
func (l *lane[T]) insert(item T) {
	i := len(l.items)
	for i > 0 && l.items[i-1].Due().After(item.Due()) {
		i--
	}
	l.items = append(l.items, item)
	copy(l.items[i+1:], l.items[i:])
	l.items[i] = item
}

// next returns the earliest due item that is not late yet, or the oldest when all are; the lane is in order of due time.
func (l *lane[T]) next(now time.Time) T {
	i := sort.Search(len(l.items), func(i int) bool { return !l.items[i].Due().Before(now) })
	if i == len(l.items) {
		i = 0
	}
	return l.items[i]
}

func (q *slackQueue[T]) Next(now time.Time, accept func(T) bool) (T, bool) {
	if class, ok := q.starving(now); ok {
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
	var none T
	return none, false
}

// starving returns the waiting class that is furthest below its guaranteed share of the recent work.
func (q *slackQueue[T]) starving(now time.Time) (string, bool) {
	worst, name := guaranteeSlack, ""
	total := q.total.value(now)
	for class, state := range q.classes {
		if state.waiting == 0 {
			continue
		}
		owed := q.shares.MinShare(class) * total
		got := state.granted.value(now)
		if owed <= 0 || got >= owed {
			continue
		}
		ratio := got / owed
		if ratio < worst || (ratio == worst && class < name) {
			worst, name = ratio, class
		}
	}
	return name, name != ""
}

// next picks within a tier, or within one class of it.
func (t *tierState[T]) next(now time.Time, class string, accept func(T) bool) (T, bool) {
	var best T
	found := false
	least := t.leastServed(class)
	for _, member := range t.teams {
		if member.count == 0 || member.served > least+teamQuantum {
			continue
		}
		for name, lane := range member.lanes {
			if len(lane.items) == 0 || (class != "" && name != class) {
				continue
			}
			if item := lane.next(now); accept(item) && (!found || earlier(now, item, best)) {
				best, found = item, true
			}
		}
	}
	return best, found
}

func (t *tierState[T]) leastServed(class string) float64 {
	least := math.Inf(1)
	for _, member := range t.teams {
		if member.count > 0 && (class == "" || member.waits(class)) {
			least = min(least, member.served)
		}
	}
	return least
}

func (m *teamState[T]) waits(class string) bool {
	lane, ok := m.lanes[class]
	return ok && len(lane.items) > 0
}

func earlier[T Item](now time.Time, a, b T) bool {
	missedA, missedB := a.Due().Before(now), b.Due().Before(now)
	if missedA != missedB {
		return missedB
	}
	if !a.Due().Equal(b.Due()) {
		return a.Due().Before(b.Due())
	}
	// Ties go by name, so that the same requests get the same order in every run.
	_, classA, teamA := a.Place()
	_, classB, teamB := b.Place()
	return teamA+classA < teamB+classB
}

func (q *slackQueue[T]) Remove(now time.Time, item T, granted bool) {
	place, class, team := item.Place()
	tier := q.tier(place)
	member := tier.team(team)
	if !member.lane(class).remove(item) {
		return
	}
	member.count--
	tier.count--
	q.count--
	state := q.class(class)
	state.waiting--
	if !granted {
		return
	}
	cost := float64(item.Cost())
	member.served += cost / float64(q.shares.Weight(team))
	tier.raiseFloor()
	state.granted.add(now, cost)
	q.total.add(now, cost)
}

// raiseFloor moves the tier's virtual time up to its least-served waiting team.
func (t *tierState[T]) raiseFloor() {
	if least := t.leastServed(""); !math.IsInf(least, 1) {
		t.floor = max(t.floor, least)
	}
	for name, member := range t.teams {
		if member.count == 0 && member.served < t.floor {
			delete(t.teams, name)
		}
	}
}

func (l *lane[T]) remove(item T) bool {
	for i := range l.items {
		if l.items[i] == item {
			l.items = append(l.items[:i], l.items[i+1:]...)
			return true
		}
	}
	return false
}

func (q *slackQueue[T]) tier(place int) *tierState[T] {
	return q.tiers[min(max(place, 0), len(q.tiers)-1)]
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
	member, ok := t.teams[name]
	if !ok {
		member = &teamState[T]{lanes: make(map[string]*lane[T]), served: t.floor}
		t.teams[name] = member
	}
	return member
}

func (m *teamState[T]) lane(class string) *lane[T] {
	l, ok := m.lanes[class]
	if !ok {
		l = &lane[T]{}
		m.lanes[class] = l
	}
	return l
}
