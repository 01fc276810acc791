package chivenode

import (
	"context"
	"log/slog"
	"sync/atomic"

	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
)

// optionalService wraps a service whose failure to start is logged and ignored. The admin server is optional, so that a
// node serves callers even if its admin address is already in use.
type optionalService struct {
	chivekernel.Service
	logger  *slog.Logger
	started atomic.Bool
}

// Start starts the service, or logs the error.
func (s *optionalService) Start(ctx context.Context) error {
	if err := s.Service.Start(ctx); err != nil {
		chiveevent.AdminFailed.Log(ctx, s.logger, slog.String("error", err.Error()))
		return nil
	}
	s.started.Store(true)
	return nil
}

// Stop stops the service if it was started.
func (s *optionalService) Stop(ctx context.Context) error {
	if !s.started.Load() {
		return nil
	}
	return s.Service.Stop(ctx)
}
