package chiveschedule

import (
	"sort"
	"time"
)

// Item is a waiting request as a queue policy sees it.
type Item interface {
	comparable
	// Place returns the tier (0 is the most urgent), the class and the team.
	Place() (tier int, class, team string)
	// Due returns the time by which the item needs a slot to meet its class's first-token target.
	Due() time.Time
	// Cost returns the estimated cost in tokens.
	Cost() int64
}

// Queue orders the items that wait for slots; each queue policy implements it.
type Queue[T Item] interface {
	// Push adds an item.
	Push(now time.Time, item T)
	// Next returns the item that should get the next slot, without removing it. Each sub-queue offers one item; a
	// sub-queue whose item is not accepted is skipped.
	Next(now time.Time, accept func(T) bool) (T, bool)
	// Remove removes an item; granted says whether it got a slot, in which case its cost may count against its team and
	// class.
	Remove(now time.Time, item T, granted bool)
	// Len returns the number of waiting items.
	Len() int
}

// Shares holds the number of tiers, the guaranteed shares of the classes and the weights of the teams.
type Shares struct {
	Tiers    int
	MinShare func(class string) float64
	Weight   func(team string) int64
}

// Policies returns the constructors of the queue policies by name.
func Policies[T Item]() map[string]func(Shares) Queue[T] {
	return map[string]func(Shares) Queue[T]{
		policySlack: newSlackQueue[T],
		policyTiers: newTierQueue[T],
		policyFIFO:  newFIFOQueue[T],
	}
}

// PolicyNames returns the sorted names of the queue policies.
func PolicyNames() []string {
	table := Policies[*waitingRequest]()
	names := make([]string, 0, len(table))
	for name := range table {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

const (
	policySlack = "slack"
	policyTiers = "tiers"
	policyFIFO  = "fifo"
)
