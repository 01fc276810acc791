package chiveevacuation

// Details are what a State does not say; nodes of earlier releases ignore the message.
type Details struct {
	// Statuses are the evacuations that are or were retained over an era of the store.
	Statuses []Status
	// Origins are the records of the evacuations in force.
	Origins []Origin
}

func (d Details) isEmpty() bool { return len(d.Statuses) == 0 && len(d.Origins) == 0 }

// details returns this node's details; the caller holds the lock.
func (s *Service) details() Details {
	return Details{Statuses: s.retained.statuses(), Origins: s.origins.list()}
}

// receiveDetails adopts a peer's details; if some of them are outdated, it replies with this node's state.
func (s *Service) receiveDetails(from string, details Details) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.supersedeEnded(details.Statuses)
	isOutdated := false
	for _, status := range details.Statuses {
		if present, ok := s.retained[status.Domain]; ok && present.overrides(status) {
			isOutdated = true
		}
		s.retained.set(status)
	}
	for _, origin := range details.Origins {
		s.origins.add(origin)
	}
	s.update(from)
	if isOutdated {
		s.send(from)
	}
}
