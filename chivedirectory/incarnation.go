package chivedirectory

import (
	"strconv"
	"strings"
)

// Incarnation identifies one start of an endpoint's process. An endpoint may restart under the same id and has then
// lost its state, so everything known about an endpoint is kept per incarnation.
type Incarnation struct {
	// ID is the key of the endpoint in the store.
	ID string
	// Born is when the process started, in Unix milliseconds by its own clock; 0 if unknown.
	Born int64
}

// KeySeparator separates the id and the start time in an incarnation's key; ids of endpoints do not contain it.
const KeySeparator = "@"

// Key returns a string that is unique among all incarnations of all endpoints, for use in maps and in messages between
// nodes. It is the id alone if the start time is unknown.
func (i Incarnation) Key() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + KeySeparator + strconv.FormatInt(i.Born, 10)
}

// IDOf returns the id of the endpoint from the key of one of its incarnations.
func IDOf(key string) string {
	id, _, _ := strings.Cut(key, KeySeparator)
	return id
}

// Follows reports whether an incarnation is known to have started after another one of the same endpoint. Start times
// of different endpoints cannot be compared, because the clocks of VMs differ.
func (i Incarnation) Follows(other Incarnation) bool {
	return i.ID == other.ID && i.Born != 0 && other.Born != 0 && i.Born > other.Born
}
