package chivedirectory

import (
	"time"

	"chivedrift/chivelog"
)

// State is what an endpoint says of itself.
type State uint8

const (
	// Ready endpoints take new work.
	Ready State = iota
	// Leaving endpoints finish what they have and get no new work.
	Leaving
)

// String returns the state's name.
func (s State) String() string {
	if s == Leaving {
		return "leaving"
	}
	return "ready"
}

// Endpoint is a process that serves a pool.
type Endpoint struct {
	// ID names the endpoint in the store; with Born it names the start of its process.
	ID            string
	Pool          string
	Address       string
	FailureDomain string
	// Slots is how many requests it serves at once.
	Slots int
	State State
	// WarmUp is how much longer it stays slow after its start.
	WarmUp time.Duration
	// Born is when the process started, in Unix milliseconds of its own clock; 0 where it does not say.
	Born int64
}

// Incarnation returns which start of the endpoint's process this is.
func (e Endpoint) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// Change is what the store's log says of an endpoint at a position.
type Change struct {
	Position chivelog.Position
	// Gone tells that the entry was removed; of the endpoint only the id is known then.
	Gone bool
	// Missing tells that the entry was removed around an outage of the store, and that the sender waits for it for Keep.
	Missing  bool
	Keep     time.Duration
	Endpoint Endpoint
	// Read tells that this node has read the change from the store itself; it is never told to peers.
	Read bool
}
