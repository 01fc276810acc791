package chivedispatch

import (
	"log/slog"
	"sync"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiverequest"
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

// classed is what the requests of this package carry for their dialect: they belong to a class.
type classed interface {
	class() *chiveconfig.Class
}

func classOf(request *chiverequest.Request) *chiveconfig.Class {
	if source, ok := request.Source.(classed); ok {
		return source.class()
	}
	return &chiveconfig.Class{}
}

// Request adds a request's share to its class's credit.
func (b *Budget) Request(_ time.Time, request *chiverequest.Request) {
	class := classOf(request)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits[class.Name] = min(b.credit(class.Name)+float64(class.RetryBudgetPercent)/percent, budgetMost)
}

// Spend takes one retry from a class's credit and reports whether there was one.
func (b *Budget) Spend(_ time.Time, request *chiverequest.Request) bool {
	class := classOf(request).Name
	b.mu.Lock()
	defer b.mu.Unlock()
	credit := b.credit(class)
	if credit < 1 {
		return false
	}
	b.credits[class] = credit - 1
	return true
}

// Explain returns the class's credit, in retries.
func (b *Budget) Explain(_ time.Time, request *chiverequest.Request) []slog.Attr {
	class := classOf(request).Name
	b.mu.Lock()
	defer b.mu.Unlock()
	return []slog.Attr{slog.String("class", class), slog.Float64("credit", b.credit(class))}
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
