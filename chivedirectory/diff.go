package chivedirectory

import "slices"

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
func (d *Directory) touch(id string) { d.touched[id] = struct{}{} }

// takeTouched returns the endpoints of which something may have changed since the last call, by id.
func (d *Directory) takeTouched() []string {
	ids := make([]string, 0, len(d.touched))
	for id := range d.touched {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	clear(d.touched)
	return ids
}

// endpoint returns an endpoint that is not gone.
func (d *Directory) endpoint(id string) (Endpoint, bool) {
	e, ok := d.entries[id]
	if !ok {
		return Endpoint{}, false
	}
	return e.endpoint, true
}

// diff returns what changed since the last call, logs it and takes it as shown; the caller holds the lock.
func (s *Service) diff(source string) Diff {
	var d Diff
	for _, id := range s.directory.takeTouched() {
		now, present := s.directory.endpoint(id)
		before, known := s.shown[id]
		switch {
		case present && (!known || before != now):
			s.shown[id] = now
			s.logEndpoint(now, before, known, source)
			d.Changed = append(d.Changed, now)
		case !present && known:
			delete(s.shown, id)
			s.logGone(id, source)
			d.Gone = append(d.Gone, before)
		}
	}
	return d
}
