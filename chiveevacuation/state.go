package chiveevacuation

import (
	"maps"
	"slices"

	"chivedrift/chivelog"
)

// noPosition stands for the position of a node that has read nothing yet.
const noPosition chivelog.Position = -1

// Record is one of the operator's records, as far as it is about an evacuation.
type Record struct {
	Position  chivelog.Position
	Domain    string
	Evacuated bool
}

// State is which failure domains are evacuated, up to a position in the operator's topic.
type State struct {
	Position chivelog.Position
	// Domains are in alphabetical order.
	Domains []string
}

// newState returns the state before anything is known.
func newState() State { return State{Position: noPosition} }

// isOlderThan reports whether another state holds up to a later position.
func (s State) isOlderThan(other State) bool { return s.Position < other.Position }

// apply returns the state after later records; what the state covers already changes nothing.
func (s State) apply(records []Record) State {
	evacuated := make(map[string]bool)
	for _, d := range s.Domains {
		evacuated[d] = true
	}
	position := s.Position
	for _, r := range records {
		if r.Position <= s.Position {
			continue
		}
		position = max(position, r.Position)
		if r.Evacuated {
			evacuated[r.Domain] = true
		} else {
			delete(evacuated, r.Domain)
		}
	}
	return State{Position: position, Domains: slices.Sorted(maps.Keys(evacuated))}
}
