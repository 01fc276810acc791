package chiveusage

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivelease"
)

// ErrFenced means that the platform has already received a higher fencing token.
var ErrFenced = errors.New("platform: fenced by a higher token")

const (
	// settleDelay is the minimum time between the end of a window and its report, so that starts in flight arrive.
	settleDelay = time.Second
	// incompleteLead is how long before its deadline a window is reported even if starts are missing, so that a successor can still send the report.
	incompleteLead = 3500 * time.Millisecond
	// sendTimeout bounds one call to the platform; no call is made with less than minRemaining of the tenure left.
	sendTimeout  = time.Second
	minRemaining = 100 * time.Millisecond
	// resendEvery is the minimum interval between attempts to send a report.
	resendEvery = 400 * time.Millisecond
)

// Lease determines whether this node may report, and stores the ledger.
type Lease interface {
	// Tenure returns the current tenure; ok is false while this node must not act.
	Tenure() (t chivelease.Tenure, ok bool)
	// Value returns the value last written under a key, or nil.
	Value(key string) []byte
	// Write stores a value for this node and later holders.
	Write(ctx context.Context, token int64, key string, value []byte) error
	// Fenced ends the tenure with the given token because a higher one is in use.
	Fenced(token int64)
}

// Platform receives reports.
type Platform interface {
	// ReportUsage makes one attempt to send a report; the error wraps ErrFenced if the platform has received a higher token.
	ReportUsage(ctx context.Context, token int64, report Report) error
}

// reporter reports the windows while this node holds the lease.
type reporter struct {
	o         Options
	collector *collector
	// token is that of the tenure that the ledger belongs to, or 0.
	token  int64
	ledger ledger
	sentAt map[int64]time.Duration
	// reported, omitted and refused count windows and are read by other goroutines.
	reported atomic.Int64
	omitted  atomic.Int64
	refused  atomic.Int64
}

// Counts are the numbers of windows by outcome at this node since its start.
type Counts struct {
	Reported int64 `json:"reported"`
	Omitted  int64 `json:"omitted"`
	Refused  int64 `json:"refused"`
}

// round settles the windows that are due and sends pending reports.
func (r *reporter) round(ctx context.Context) {
	tenure, ok := r.o.Lease.Tenure()
	now := r.o.SinceBoot()
	wall, known := r.collector.wallAtBoot(now)
	if !ok || !known {
		r.token = 0
		return
	}
	clock := windowClock{boot: wall, length: r.o.Window}
	if r.token != tenure.Token {
		r.startTenure(ctx, tenure, clock.at(now))
	}
	r.settle(ctx, clock, now)
	for _, report := range r.ledger.Reports {
		r.send(ctx, clock, report)
	}
}

// startTenure loads the ledger of the previous holder.
func (r *reporter) startTenure(ctx context.Context, tenure chivelease.Tenure, current int64) {
	var err error
	if r.ledger, err = ledgerForTenure(r.o.Lease.Value(ledgerKey), tenure.Era, current); err != nil {
		chiveevent.UsageUnreadable.Log(ctx, r.o.Logger, slog.String("error", err.Error()))
	}
	r.token, r.sentAt = tenure.Token, make(map[int64]time.Duration)
}

// settle records ended windows in the ledger, in order.
func (r *reporter) settle(ctx context.Context, clock windowClock, now time.Duration) {
	for window := r.ledger.Last + 1; now >= clock.end(window)+settleDelay; window++ {
		due := clock.end(window) + r.o.Delay
		if now >= due {
			// Not written to the store, since a successor omits the window too.
			r.omit(ctx, window, "deadline passed")
			r.ledger = r.ledger.withSettled(window, nil)
			continue
		}
		if !r.collector.isComplete(now, clock.end(window)) && now < due-incompleteLead {
			return
		}
		next := r.ledger.withSettled(window, &Report{Window: window, Counts: r.collector.count(clock.begin(window), clock.end(window))})
		data, err := next.encode()
		if err != nil || r.o.Lease.Write(ctx, r.token, ledgerKey, data) != nil {
			return
		}
		r.ledger = next
	}
}

// send makes an attempt to send a report, if one is due, and drops the report once it is confirmed or its deadline has passed.
func (r *reporter) send(ctx context.Context, clock windowClock, report Report) {
	now := r.o.SinceBoot()
	if now >= clock.end(report.Window)+r.o.Delay {
		r.omit(ctx, report.Window, "not confirmed in time")
		r.ledger = r.ledger.withoutReport(report.Window)
		return
	}
	if at, ok := r.sentAt[report.Window]; ok && now-at < resendEvery {
		return
	}
	tenure, ok := r.o.Lease.Tenure()
	if !ok || tenure.Token != r.token || tenure.Remaining < minRemaining {
		return
	}
	r.sentAt[report.Window] = now
	limited, cancel := context.WithTimeout(ctx, min(sendTimeout, tenure.Remaining))
	defer cancel()
	err := r.o.Platform.ReportUsage(limited, r.token, report)
	switch {
	case err == nil:
		r.reported.Add(1)
		r.ledger = r.ledger.withoutReport(report.Window)
		chiveevent.UsageReported.Log(ctx, r.o.Logger, slog.Int64("window", report.Window), slog.Int64("token", r.token),
			slog.Int("teams", len(report.Counts)), slog.Int64("requests", report.total()), slog.Int64("after_ms", (now-clock.end(report.Window)).Milliseconds()))
	case errors.Is(err, ErrFenced):
		r.refused.Add(1)
		chiveevent.UsageRefused.Log(ctx, r.o.Logger, slog.Int64("window", report.Window), slog.Int64("token", r.token))
		r.o.Lease.Fenced(r.token)
	}
}

func (r *reporter) omit(ctx context.Context, window int64, reason string) {
	r.omitted.Add(1)
	chiveevent.UsageOmitted.Log(ctx, r.o.Logger, slog.Int64("window", window), slog.String("reason", reason))
}

// windowClock converts between times on a clock since boot and windows of wall-clock time.
type windowClock struct {
	// boot is the wall-clock time at boot.
	boot   time.Duration
	length time.Duration
}

// at returns the window that contains a time.
func (w windowClock) at(moment time.Duration) int64 { return int64((w.boot + moment) / w.length) }

// begin returns the start time of a window.
func (w windowClock) begin(window int64) time.Duration {
	return time.Duration(window)*w.length - w.boot
}

// end returns the end time of a window.
func (w windowClock) end(window int64) time.Duration { return w.begin(window + 1) }
