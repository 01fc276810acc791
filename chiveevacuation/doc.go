// Package chiveevacuation maintains the set of failure domains that operators have evacuated: no further requests are
// sent to endpoints there until the evacuation is revoked.
//
// Operators record evacuations in a topic of the platform's store, which only some nodes of a large fleet read. Nodes
// therefore gossip their state with the position in the topic that it includes; the state with the later position wins.
package chiveevacuation
