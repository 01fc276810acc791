// Package chiveexperiment plays the router's own decisions on virtual time: callers that wait, leave and come back, nodes whose news
// of each other is late, and model engines (chiveengine), all in one process and without a network. A scenario file says what is
// played; the same scenario and seed give the same figures to the byte.
//
// A call's way: callers.go draws it and counts what becomes of it, router.go places it by a policy, engines.go runs it, and tally.go
// adds it up; world.go holds the clock.
package chiveexperiment
