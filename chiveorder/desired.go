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

// desiredOrders returns the orders that each endpoint of a pool must have carried out, in the sequence in which to send
// them.
func desiredOrders(pool *chiveconfig.Pool) []Order {
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

// firstMissing returns the first desired order that is not in effect at an endpoint, given the orders that the endpoint
// has carried out.
func firstMissing(desired, done []Order) (Order, bool) {
	for _, order := range desired {
		if !isInEffect(order, done) {
			return order, true
		}
	}
	return Order{}, false
}

// isInEffect reports whether an order is in effect after the orders in done. The last version and the last role replace
// earlier ones; adapters accumulate until another version is loaded, which removes them.
func isInEffect(order Order, done []Order) bool {
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

// fetchesWeights reports whether an order makes the endpoint fetch weights from the weight store.
func (o Order) fetchesWeights() bool { return o.Verb != verbRole }
