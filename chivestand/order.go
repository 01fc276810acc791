package chivestand

import (
	"net/http"
)

// Order asks an engine to load a model, adapter or version, or to change role, under a fencing number.
type Order struct {
	Verb    string `json:"verb"`
	Target  string `json:"target"`
	Fencing int64  `json:"fencing"`
}

// doneOrders is the answer to GET /orders.
type doneOrders struct {
	Done []Order `json:"done"`
}

// orderBook remembers the highest fencing number seen and every order carried out.
type orderBook struct {
	checks  bool
	highest int64
	done    []Order
}

// CheckFencing makes the engine refuse orders with an old fencing number; without it such orders are carried out.
func (e *Engine) CheckFencing() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.order.checks = true
}

// Orders returns the orders carried out, in their sequence.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.order.done...)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.order.checks && order.Fencing < e.order.highest {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.order.highest = max(e.order.highest, order.Fencing)
	e.order.done = append(e.order.done, order)
	writeJSON(w, order)
}
