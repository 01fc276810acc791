package chivedirectory

import (
	"time"

	"chivedrift/chivelog"
)

// State is the state that an endpoint reports for itself.
type State uint8

const (
	// Ready endpoints accept new requests.
	Ready State = iota
	// Leaving endpoints finish their requests and accept no new ones.
	Leaving
)

// String returns "ready" or "leaving".
func (s State) String() string {
	if s == Leaving {
		return "leaving"
	}
	return "ready"
}

// Endpoint is a process that serves requests of one pool.
type Endpoint struct {
	// ID is the key of the endpoint in the store; together with Born it identifies one start of its process.
	ID            string
	Pool          string
	Address       string
	FailureDomain string
	// Slots is the number of requests that it serves at once.
	Slots int
	State State
	// WarmUp is how much longer the endpoint is slow after its start.
	WarmUp time.Duration
	// Born is when the process started, in Unix milliseconds by its own clock; 0 if unknown.
	Born int64
}

// Incarnation returns the incarnation of the endpoint.
func (e Endpoint) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// Change is one record of an endpoint in the store's log.
type Change struct {
	Position chivelog.Position
	// Gone means that the entry was removed; Endpoint then has only its ID.
	Gone bool
	// Missing means that the entry was removed around an outage of the store and that the sender keeps it for the time
	// Keep.
	Missing  bool
	Keep     time.Duration
	Endpoint Endpoint
	// Read means that this node has read the change from the store itself; it is not sent to peers.
	Read bool
	// Unusable means that the record states no endpoint; Endpoint then has only its ID. Peers receive what it changes.
	Unusable bool `msgpack:"-"`
}
