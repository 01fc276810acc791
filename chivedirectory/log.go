package chivedirectory

import (
	"context"
	"log/slog"

	"chivedrift/chiveevent"
	"chivedrift/chiverequest"
)

// maxEndpointLines is how many endpoints that change together get a log line each. A node that joins a large fleet
// receives thousands at once.
const maxEndpointLines = 32

// logTransitions logs a line for each changed endpoint, or a single summary if there are many.
func (s *Service) logTransitions(transitions []transition, source string) {
	s.logLongWarmUps(transitions)
	if len(transitions) > maxEndpointLines {
		s.logSummary(transitions, source)
		return
	}
	for _, t := range transitions {
		if t.after == nil {
			s.logRemoval(t.id, source)
			continue
		}
		s.logEndpoint(t, source)
	}
}

// logLongWarmUps logs how many of the changed endpoints state a warm-up that is cut off, and one of them.
func (s *Service) logLongWarmUps(transitions []transition) {
	count, endpoint := 0, ""
	for _, t := range transitions {
		if t.after != nil && t.after.WarmUp >= chiverequest.MaxWarmUp && (t.before == nil || t.before.WarmUp < chiverequest.MaxWarmUp) {
			count, endpoint = count+1, t.after.ID
		}
	}
	if count > 0 {
		chiveevent.WarmUpTooLong.Log(context.Background(), s.logger, slog.String("endpoint", endpoint), slog.Int("count", count),
			slog.Int64("used_ms", chiverequest.MaxWarmUp.Milliseconds()))
	}
}

// logSummary logs how many of the changed endpoints are ready, leaving or removed.
func (s *Service) logSummary(transitions []transition, source string) {
	var ready, leaving, removed int
	for _, t := range transitions {
		switch {
		case t.after == nil:
			removed++
		case t.after.State == Leaving:
			leaving++
		default:
			ready++
		}
	}
	chiveevent.EndpointsChanged.Log(context.Background(), s.logger, slog.Int("ready", ready), slog.Int("leaving", leaving), slog.Int("gone", removed),
		slog.String("source", source), slog.Int64("offset", s.directory.Newest().Offset()))
}

// logEndpoint logs an endpoint that is new, has restarted or began to leave.
func (s *Service) logEndpoint(t transition, source string) {
	event, endpoint, known := chiveevent.EndpointReady, t.after, t.before != nil
	switch {
	case endpoint.State == Leaving && (!known || t.before.State != Leaving):
		event = chiveevent.EndpointLeaves
	case known && t.before.Born == endpoint.Born:
		return
	}
	event.Log(context.Background(), s.logger, slog.String("endpoint", endpoint.ID), slog.String("pool", endpoint.Pool), slog.String("address", endpoint.Address),
		slog.Int64("born", endpoint.Born), slog.String("source", source), slog.Int64("offset", s.directory.Newest().Offset()))
}

// logRemoval logs the removal of an endpoint.
func (s *Service) logRemoval(id, source string) {
	chiveevent.EndpointGone.Log(context.Background(), s.logger, slog.String("endpoint", id), slog.String("source", source),
		slog.Int64("offset", s.directory.Newest().Offset()))
}
