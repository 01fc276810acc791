package chiveforward

import (
	"context"
	"log/slog"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chiverequest"
)

// recordNotice records what a response states about the endpoint's process.
func (a *attempt) recordNotice(ctx context.Context, response chiverequest.Matched) {
	f, now := a.state.forwarder, time.Now()
	notice, err := f.options.Dialect.Notice(response)
	f.logUnusable(ctx, a.target.ID, err)
	leaves, rests := a.place.StateNotice(now, notice)
	if leaves || rests {
		f.options.OnNotice(a.connection.through(), a.target, notice)
	}
	if leaves {
		chiveevent.LeavingStated.Log(ctx, f.options.Logger, slog.String("endpoint", a.target.ID), slog.String("pool", a.state.request.Pool),
			slog.Int("status", response.Status()))
	}
	if rests {
		chiveevent.RestAsked.Log(ctx, f.options.Logger, slog.String("endpoint", a.target.ID), slog.String("pool", a.state.request.Pool),
			slog.Int64("rest_ms", notice.Rest.Milliseconds()))
	}
}

// recordWarmUp records how long an endpoint stays cold by its response.
func (f *Forwarder) recordWarmUp(ctx context.Context, id, incarnation string, response chiverequest.Matched) {
	left, err := f.options.Dialect.WarmUp(response)
	f.logUnusable(ctx, id, err)
	if left > 0 {
		f.options.OnWarmUp(incarnation, left)
	}
}

// logUnusable logs what an endpoint states about its process in values that are not usable, if there are any.
func (f *Forwarder) logUnusable(ctx context.Context, id string, err error) {
	if err != nil && f.invalidNotices.add(time.Now()) {
		chiveevent.NoticeUnusable.Log(ctx, f.options.Logger, slog.String("endpoint", id), slog.String("error", err.Error()),
			slog.Int64("count", f.invalidNotices.count.Load()))
	}
}
