// Package chivebudget lets a node that has used up its share of the fleet's limit on repeats take one from the share of a peer.
//
// The limit is divided by the nodes, so that it holds whatever the nodes know of each other. In a large fleet a share is about one repeat a
// window, and a node whose endpoints fail needs several while most others need none. A peer counts what it hands over as spent; when the
// answer is lost, the repeat is lost too, so that the sum over the fleet stays under the limit.
package chivebudget
