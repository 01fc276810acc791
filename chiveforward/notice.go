package chiveforward

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"chivedrift/chiveevent"
)

// recordNotice records what a response states about the endpoint's process.
func (a *attempt) recordNotice(ctx context.Context, response *http.Response) {
	f, now := a.state.forwarder, time.Now()
	notice, err := f.options.Dialect.Notice(response)
	if err != nil && f.invalidNotices.add(now) {
		chiveevent.NoticeUnusable.Log(ctx, f.options.Logger, slog.String("endpoint", a.target.ID), slog.String("error", err.Error()),
			slog.Int64("count", f.invalidNotices.count.Load()))
	}
	leaves, rests := a.place.StateNotice(now, notice)
	if leaves || rests {
		f.options.OnNotice(a.connection.through(), a.target, notice)
	}
	if leaves {
		chiveevent.LeavingStated.Log(ctx, f.options.Logger, slog.String("endpoint", a.target.ID), slog.String("pool", a.state.request.Pool),
			slog.Int("status", response.StatusCode))
	}
	if rests {
		chiveevent.RestAsked.Log(ctx, f.options.Logger, slog.String("endpoint", a.target.ID), slog.String("pool", a.state.request.Pool),
			slog.Int64("rest_ms", notice.Rest.Milliseconds()))
	}
}
