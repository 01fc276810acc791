package chivedispatch

import (
	"sync"
)

// Budget bounds retries to a share of the requests, so that they cannot amplify an overload.
type Budget struct {
	mu      sync.Mutex
	credits map[string]float64
}

const (
	budgetMost  = 10.0
	budgetFirst = 3.0
	percent     = 100.0
)

// NewBudget returns a budget that allows a few retries a class before it has seen requests.
func NewBudget() *Budget {
	return &Budget{credits: make(map[string]float64)}
}

// Earn adds a request's share, in percent, to its class's credit.
func (b *Budget) Earn(class string, sharePercent int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits[class] = min(b.credit(class)+float64(sharePercent)/percent, budgetMost)
}

// Spend takes one retry from a class's credit and reports whether there was one.
func (b *Budget) Spend(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	credit := b.credit(class)
	if credit < 1 {
		return false
	}
	b.credits[class] = credit - 1
	return true
}

func (b *Budget) credit(class string) float64 {
	if credit, ok := b.credits[class]; ok {
		return credit
	}
	return budgetFirst
}

// Credits returns each class's credit, in retries.
func (b *Budget) Credits() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	credits := make(map[string]float64, len(b.credits))
	for class, credit := range b.credits {
		credits[class] = credit
	}
	return credits
}
