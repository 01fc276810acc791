package chiveevacuation

import (
	"maps"
	"slices"

	"chivedrift/chivelog"
)

// noPosition is the position before the first record.
const noPosition chivelog.Position = -1

// Record is a decoded record of the operators' topic that evacuates a failure domain or revokes its evacuation.
type Record struct {
	Position  chivelog.Position
	Domain    string
	Evacuated bool
}

// State is the set of evacuated failure domains as of a position in the operators' topic.
type State struct {
	Position chivelog.Position
	// Domains is sorted.
	Domains []string
}

// newState returns the state before the first record.
func newState() State { return State{Position: noPosition} }

// isOlderThan reports whether the other state is as of a later position.
func (s State) isOlderThan(other State) bool { return s.Position < other.Position }

// includes reports whether the state includes all records up to a position of its era.
func (s State) includes(position chivelog.Position) bool {
	return position.Era() == s.Position.Era() && position <= s.Position
}

// apply returns the state after the given records, and ignores those that the state already includes.
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
