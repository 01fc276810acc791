package chivedispatch

import (
	"log/slog"
	"sync"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiverequest"
)

// Budget limits the retries of each class to a percentage of its requests, so that retries cannot amplify an overload.
type Budget struct {
	mu      sync.Mutex
	credits map[string]float64
}

const (
	maxRetryCredit     = 10.0
	initialRetryCredit = 3.0
	percent            = 100.0
)

// NewBudget returns a budget that allows each class a few retries before any request has been counted.
func NewBudget() *Budget {
	return &Budget{credits: make(map[string]float64)}
}

// classProvider is implemented by the Source of every request of this package.
type classProvider interface {
	class() *chiveconfig.Class
}

func classOf(request *chiverequest.Request) *chiveconfig.Class {
	if source, ok := request.Source.(classProvider); ok {
		return source.class()
	}
	return &chiveconfig.Class{}
}

// Request counts a request: it adds the class's retry percentage to the class's credit.
func (b *Budget) Request(_ time.Time, request *chiverequest.Request) {
	class := classOf(request)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits[class.Name] = min(b.creditOf(class.Name)+float64(class.RetryBudgetPercent)/percent, maxRetryCredit)
}

// Spend takes one retry from the credit of the request's class and reports whether it had one.
func (b *Budget) Spend(_ time.Time, request *chiverequest.Request) bool {
	class := classOf(request).Name
	b.mu.Lock()
	defer b.mu.Unlock()
	credit := b.creditOf(class)
	if credit < 1 {
		return false
	}
	b.credits[class] = credit - 1
	return true
}

// Explain returns the class of a request and its credit, in retries, as log attributes.
func (b *Budget) Explain(_ time.Time, request *chiverequest.Request) []slog.Attr {
	class := classOf(request).Name
	b.mu.Lock()
	defer b.mu.Unlock()
	return []slog.Attr{slog.String("class", class), slog.Float64("credit", b.creditOf(class))}
}

func (b *Budget) creditOf(class string) float64 {
	if credit, ok := b.credits[class]; ok {
		return credit
	}
	return initialRetryCredit
}

// Credits returns the credit of each class, in retries.
func (b *Budget) Credits() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	credits := make(map[string]float64, len(b.credits))
	for class, credit := range b.credits {
		credits[class] = credit
	}
	return credits
}
