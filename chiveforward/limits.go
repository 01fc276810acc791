package chiveforward

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chiverequest"
)

// unusableInterval is the minimum time between two log lines about statements of endpoints that are not usable.
const unusableInterval = 10 * time.Second

// unusableStatements counts what endpoints state in values that are not usable, and limits how often it is logged.
type unusableStatements struct {
	count      atomic.Int64
	lastLogged activityTime
}

// add counts an unusable value and reports whether to log it.
func (l *unusableStatements) add(now time.Time) bool {
	l.count.Add(1)
	if last := l.lastLogged.load(); !last.IsZero() && now.Sub(last) < unusableInterval {
		return false
	}
	l.lastLogged.record(now)
	return true
}

// recordLimits records the limits that a response of the endpoint states. A value that is no limit changes nothing.
func (a *attempt) recordLimits(ctx context.Context, response chiverequest.Matched) {
	f, now := a.state.forwarder, time.Now()
	limits, err := f.options.Dialect.Limits(response)
	if err != nil {
		if f.invalidLimits.add(now) {
			chiveevent.LimitUnusable.Log(ctx, f.options.Logger, slog.String("endpoint", a.target.ID), slog.String("error", err.Error()),
				slog.Int64("count", f.invalidLimits.count.Load()))
		}
		return
	}
	if before, changed := a.place.StateLimits(now, limits); changed {
		chiveevent.LimitChanged.Log(ctx, f.options.Logger, slog.String("endpoint", a.target.ID), slog.String("pool", a.state.request.Pool),
			slog.Float64("per_second", limits.PerSecond), slog.Int("refusals_per_second", limits.Refusals),
			slog.Float64("per_second_before", before.PerSecond), slog.Int("refusals_per_second_before", before.Refusals))
	}
}
