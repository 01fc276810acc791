package chiveevacuation

import (
	"maps"
	"slices"

	"chivedrift/chivelog"
)

// Status is whether the evacuation of a failure domain is retained, as of a position in the operators' topic. One that is
// not was superseded there: by a record about the domain, or by its end.
type Status struct {
	Domain   string
	Position chivelog.Position
	Retained bool
}

// overrides reports whether the status replaces an earlier one of the same domain.
func (s Status) overrides(other Status) bool {
	return s.Position > other.Position || s.Position == other.Position && s.Retained && !other.Retained
}

// retained holds, by failure domain, the evacuations that the store may have lost when it came back from an older copy. The
// latest status of a domain counts, whichever node it is from.
type retained map[string]Status

// set applies a status unless the present one is later.
func (r retained) set(status Status) {
	if present, ok := r[status.Domain]; !ok || status.overrides(present) {
		r[status.Domain] = status
	}
}

// advance retains the evacuations of a state that is followed by one of a later era, and supersedes within an era those
// that have ended.
func (r retained) advance(before, after State) {
	isNewEra := after.Position.Era() > before.Position.Era()
	for _, domain := range before.Domains {
		switch {
		case isNewEra:
			r.set(Status{Domain: domain, Position: before.Position, Retained: true})
		case !slices.Contains(after.Domains, domain):
			r.set(Status{Domain: domain, Position: after.Position})
		}
	}
}

// supersede applies a record: the domain's evacuation follows from the topic again.
func (r retained) supersede(record Record) {
	if present, ok := r[record.Domain]; ok && present.Retained || !record.Evacuated {
		r.set(Status{Domain: record.Domain, Position: record.Position})
	}
}

// withoutOldRemovals returns the records of a snapshot without removals that may be older than a retained evacuation.
func (r retained) withoutOldRemovals(records []Record) []Record {
	return slices.DeleteFunc(records, func(record Record) bool {
		present, ok := r[record.Domain]
		return ok && present.Retained && !record.Evacuated && record.Position.MayPrecede(present.Position)
	})
}

// domains returns the failure domains that stay evacuated although a state does not list them, in alphabetical order.
func (r retained) domains(state State) []string {
	var domains []string
	for domain, status := range r {
		if status.Retained && !state.includes(status.Position) && !slices.Contains(state.Domains, domain) {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// statuses returns all statuses in the order of their domains.
func (r retained) statuses() []Status {
	statuses := make([]Status, 0, len(r))
	for _, domain := range slices.Sorted(maps.Keys(r)) {
		statuses = append(statuses, r[domain])
	}
	return statuses
}

// ends holds the last known state of each earlier era of the store.
type ends map[int64]State

// record records the state that is followed by one of a later era.
func (e ends) record(state State) {
	if present, ok := e[state.Position.Era()]; !ok || present.isOlderThan(state) {
		e[state.Position.Era()] = state
	}
}

// superseding returns the status after an evacuation that had ended in its own era, if that is known.
func (e ends) superseding(status Status) (superseding Status, ok bool) {
	end, ok := e[status.Position.Era()]
	if !ok || !status.Retained || status.Position >= end.Position || slices.Contains(end.Domains, status.Domain) {
		return Status{}, false
	}
	return Status{Domain: status.Domain, Position: end.Position}, true
}
