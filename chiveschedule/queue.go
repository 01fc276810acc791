package chiveschedule

import (
	"sort"
	"time"
)

// Item is what a queue policy needs to know of a waiting request.
type Item interface {
	comparable
	// Place returns tier (0 the most urgent), class and team.
	Place() (tier int, class, team string)
	// Due returns when the first token is due by the class's target.
	Due() time.Time
	// Cost returns the estimated work in tokens.
	Cost() int64
}

// Queue is the order in which waiting items get slots; each policy is one implementation.
type Queue[T Item] interface {
	// Push adds an item.
	Push(now time.Time, item T)
	// Next returns the item that should get the next slot, without removing it; a line whose first item is not accepted is passed over.
	Next(now time.Time, accept func(T) bool) (T, bool)
	// Remove takes an item out; granted reports whether it got a slot, which charges its team and class.
	Remove(now time.Time, item T, granted bool)
	// Len returns how many items wait.
	Len() int
}

// Shares are the guarantees that a policy needs from the plan.
type Shares struct {
	Tiers    int
	MinShare func(class string) float64
	Weight   func(team string) int64
}

// Policies returns the table of queue policies by name.
func Policies[T Item]() map[string]func(Shares) Queue[T] {
	return map[string]func(Shares) Queue[T]{
		policySlack: newSlackQueue[T],
		policyTiers: newTierQueue[T],
		policyFIFO:  newFIFOQueue[T],
	}
}

// PolicyNames lists the queue policies that a configuration can name.
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
