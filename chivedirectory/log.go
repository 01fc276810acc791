package chivedirectory

import (
	"context"
	"log/slog"

	"chivedrift/chiveevent"
)

// linesAtOnce is how many endpoints that change together get a log line each. A node that joins a large fleet learns of thousands at once.
const linesAtOnce = 32

// logShows writes a line for each endpoint that has changed, or one for all when many change at once.
func (s *Service) logShows(shows []show, source string) {
	if len(shows) > linesAtOnce {
		s.logCounts(shows, source)
		return
	}
	for _, t := range shows {
		if t.now == nil {
			s.logGone(t.id, source)
			continue
		}
		s.logEndpoint(t, source)
	}
}

// logCounts writes one line with the numbers of endpoints that are ready, leave or are gone.
func (s *Service) logCounts(shows []show, source string) {
	var ready, leaving, gone int
	for _, t := range shows {
		switch {
		case t.now == nil:
			gone++
		case t.now.State == Leaving:
			leaving++
		default:
			ready++
		}
	}
	chiveevent.EndpointsChanged.Log(context.Background(), s.logger, slog.Int("ready", ready), slog.Int("leaving", leaving), slog.Int("gone", gone),
		slog.String("source", source), slog.Int64("offset", s.directory.Newest().Offset()))
}

// logEndpoint writes a line for an endpoint that is new, has started again or leaves.
func (s *Service) logEndpoint(t show, source string) {
	event, now, known := chiveevent.EndpointReady, t.now, t.before != nil
	switch {
	case now.State == Leaving && (!known || t.before.State != Leaving):
		event = chiveevent.EndpointLeaves
	case known && t.before.Born == now.Born:
		return
	}
	event.Log(context.Background(), s.logger, slog.String("endpoint", now.ID), slog.String("pool", now.Pool), slog.String("address", now.Address),
		slog.Int64("born", now.Born), slog.String("source", source), slog.Int64("offset", s.directory.Newest().Offset()))
}

// logGone writes a line for an endpoint that is not there any more.
func (s *Service) logGone(id, source string) {
	chiveevent.EndpointGone.Log(context.Background(), s.logger, slog.String("endpoint", id), slog.String("source", source),
		slog.Int64("offset", s.directory.Newest().Offset()))
}
