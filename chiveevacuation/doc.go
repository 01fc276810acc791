// Package chiveevacuation keeps which failure domains operators have evacuated: nothing more is sent to endpoints there until that is taken back.
//
// The operator's records stand in a topic of the platform's store, which in a large fleet only some nodes read. So nodes gossip what they know, each
// with the position in the topic up to which it holds; the later position wins.
package chiveevacuation
