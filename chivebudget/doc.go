// Package chivebudget lets a node that has used up its share of the fleet-wide retry budget borrow retries from peers.
//
// The budget is divided among the nodes, so that the fleet stays within it whatever the nodes know of each other. In a
// large fleet a share is about one retry per window, and a node whose endpoints fail needs several while most other
// nodes need none. A peer counts a retry that it lends as spent. If the response is lost, the retry is lost too, so
// that the fleet-wide sum stays within the budget.
package chivebudget
