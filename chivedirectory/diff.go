package chivedirectory

import (
	"slices"
	"strings"
)

// Diff is what changed in the directory since its listeners were last called.
type Diff struct {
	// Changed are the endpoints that are new or say something else now.
	Changed []Endpoint
	// Gone are the endpoints that are not there any more, as they were last known.
	Gone []Endpoint
}

// DiffOf returns the diff between two lists of endpoints.
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

// touch notes that something may have changed of an endpoint.
func (d *Directory) touch(id string) {
	if _, ok := d.touched[id]; ok {
		return
	}
	var shown *Endpoint
	if e, ok := d.entries[id]; ok {
		shown = e.shown
	}
	d.touched[id] = shown
}

// show is what listeners know of an endpoint and what they should know; each nil where there is none.
type show struct {
	id     string
	before *Endpoint
	now    *Endpoint
}

// isChange reports whether the endpoint differs from what listeners know of it.
func (s show) isChange() bool {
	if s.before == nil || s.now == nil {
		return s.before != s.now
	}
	return *s.before != *s.now
}

// takeTouched returns the endpoints of which something may have changed since the last call, by id, and takes them as shown.
func (d *Directory) takeTouched() []show {
	shows := make([]show, 0, len(d.touched))
	for id, before := range d.touched {
		s := show{id: id, before: before}
		if e, ok := d.entries[id]; ok {
			s.now = e.endpoint
			e.shown = e.endpoint
		}
		shows = append(shows, s)
	}
	slices.SortFunc(shows, func(a, b show) int { return strings.Compare(a.id, b.id) })
	d.touched = make(map[string]*Endpoint)
	return shows
}

// diff returns what changed since the last call, logs it and takes it as shown; the caller holds the lock.
func (s *Service) diff(source string) Diff {
	var d Diff
	changed := slices.DeleteFunc(s.directory.takeTouched(), func(t show) bool { return !t.isChange() })
	for _, t := range changed {
		if t.now == nil {
			d.Gone = append(d.Gone, *t.before)
			continue
		}
		d.Changed = append(d.Changed, *t.now)
	}
	s.logShows(changed, source)
	s.knew = s.knew || len(d.Changed) > 0
	return d
}
