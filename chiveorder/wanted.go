package chiveorder

import (
	"chivedrift/chiveconfig"
)

// Verbs of orders.
const (
	verbLoad    = "load"
	verbAdapter = "adapter"
	verbRole    = "role"
)

// wanted lists what a pool's endpoints should have been ordered, in the order to give it.
func wanted(pool *chiveconfig.Pool) []Order {
	var orders []Order
	if pool.Version != "" {
		orders = append(orders, Order{Verb: verbLoad, Target: pool.Version})
	}
	for _, adapter := range pool.Adapters {
		orders = append(orders, Order{Verb: verbAdapter, Target: adapter})
	}
	if pool.Role != "" {
		orders = append(orders, Order{Verb: verbRole, Target: pool.Role})
	}
	return orders
}

// firstMissing returns the first wanted order that an endpoint has not carried out. An endpoint has one version and one
// role, the last it was ordered; adapters add up, until another version replaces them with everything else.
func firstMissing(wanted, done []Order) (Order, bool) {
	for _, order := range wanted {
		if !inForce(order, done) {
			return order, true
		}
	}
	return Order{}, false
}

func inForce(order Order, done []Order) bool {
	for i := len(done) - 1; i >= 0; i-- {
		switch {
		case done[i].Verb == order.Verb && done[i].Target == order.Target:
			return true
		case done[i].Verb == order.Verb && order.Verb != verbAdapter:
			return false
		case done[i].Verb == verbLoad && order.Verb == verbAdapter:
			return false
		}
	}
	return false
}

// fetches reports whether an order makes the endpoint fetch from the weight store.
func (o Order) fetches() bool { return o.Verb != verbRole }
