package chivedirectory

import (
	"slices"
	"strings"
)

// Diff is the difference between the directory now and at the last call of the listeners.
type Diff struct {
	// Changed lists the endpoints that are new or differ from before.
	Changed []Endpoint
	// Gone lists the endpoints that have been removed, as they were last known.
	Gone []Endpoint
}

// DiffOf returns the difference between two lists of endpoints.
func DiffOf(before, after []Endpoint) Diff {
	known := make(map[string]Endpoint, len(before))
	for _, e := range before {
		known[e.ID] = e
	}
	var d Diff
	for _, e := range after {
		if old, ok := known[e.ID]; !ok || old != e {
			d.Changed = append(d.Changed, e)
		}
		delete(known, e.ID)
	}
	for _, e := range before {
		if _, gone := known[e.ID]; gone {
			d.Gone = append(d.Gone, e)
		}
	}
	return d
}

// markDirty records that an endpoint may have changed.
func (d *Directory) markDirty(id string) {
	if _, ok := d.dirty[id]; ok {
		return
	}
	var published *Endpoint
	if e, ok := d.entries[id]; ok {
		published = e.published
	}
	d.dirty[id] = published
}

// transition holds an endpoint as the listeners know it and as it is now; before is nil for a new endpoint, after for a
// removed one.
type transition struct {
	id     string
	before *Endpoint
	after  *Endpoint
}

// isChange reports whether the endpoint differs from what the listeners know.
func (t transition) isChange() bool {
	if t.before == nil || t.after == nil {
		return t.before != t.after
	}
	return *t.before != *t.after
}

// takeTransitions returns the endpoints that may have changed since the last call, sorted by id, and marks them as
// published.
func (d *Directory) takeTransitions() []transition {
	transitions := make([]transition, 0, len(d.dirty))
	for id, before := range d.dirty {
		t := transition{id: id, before: before}
		if e, ok := d.entries[id]; ok {
			t.after = e.endpoint
			e.published = e.endpoint
		}
		transitions = append(transitions, t)
	}
	slices.SortFunc(transitions, func(a, b transition) int { return strings.Compare(a.id, b.id) })
	d.dirty = make(map[string]*Endpoint)
	return transitions
}

// takeDiff returns what changed since the last call, logs it and marks it as published; the caller holds the lock.
func (s *Service) takeDiff(source string) Diff {
	var d Diff
	changed := slices.DeleteFunc(s.directory.takeTransitions(), func(t transition) bool { return !t.isChange() })
	for _, t := range changed {
		if t.after == nil {
			d.Gone = append(d.Gone, *t.before)
			continue
		}
		d.Changed = append(d.Changed, *t.after)
	}
	s.logTransitions(changed, source)
	s.seenEndpoint = s.seenEndpoint || len(d.Changed) > 0
	return d
}
