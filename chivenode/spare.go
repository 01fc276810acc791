package chivenode

import (
	"context"
	"log/slog"
	"sync/atomic"

	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
)

// spare is a service that a node can do without: callers are served also when the operators' address is taken.
type spare struct {
	chivekernel.Service
	logger  *slog.Logger
	started atomic.Bool
}

// Start starts the service, or logs why it cannot.
func (s *spare) Start(ctx context.Context) error {
	if err := s.Service.Start(ctx); err != nil {
		chiveevent.AdminFailed.Log(ctx, s.logger, slog.String("error", err.Error()))
		return nil
	}
	s.started.Store(true)
	return nil
}

// Stop stops the service if it was started.
func (s *spare) Stop(ctx context.Context) error {
	if !s.started.Load() {
		return nil
	}
	return s.Service.Stop(ctx)
}
