package chiveusage

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivelease"
)

// ErrFenced means that the platform has already received a higher fencing token.
var ErrFenced = errors.New("platform: fenced by a higher token")

const (
	// settleDelay is the minimum time between the end of a window and its report, in which late messages with starts
	// arrive.
	settleDelay = time.Second
	// incompleteLead is how long before its deadline a window is settled even if starts are missing, so that after a
	// crash the next lease holder still has time to send the report.
	incompleteLead = 3500 * time.Millisecond
	// sendTimeout limits one call to the platform; no call is made with less than minRemaining of the tenure left.
	sendTimeout  = time.Second
	minRemaining = 100 * time.Millisecond
	// cutRetention is how long the cut of a process without new starts is kept, in multiples of the time for which a
	// collector retains starts. It covers starts that a collector dates late because it was suspended.
	cutRetention = 4
	// resendInterval is the minimum interval between attempts to send a report.
	resendInterval = 400 * time.Millisecond
	// lateDelays is until when a settled window is reported, in multiples of the delay after its end. A late report is of
	// use for the bill, but the ledger must not grow without limit while the platform is unavailable.
	lateDelays = 4
)

// Lease determines whether this node may report, and stores the ledger.
type Lease interface {
	// Tenure returns the current tenure; ok is false while this node must not act.
	Tenure() (t chivelease.Tenure, ok bool)
	// Value returns the value last written under a key, or nil.
	Value(key string) []byte
	// Write stores a value for this node and later holders.
	Write(ctx context.Context, token int64, key string, value []byte) error
	// Fenced ends the tenure with the given fencing token, because a higher one is in use.
	Fenced(token int64)
}

// Platform receives reports.
type Platform interface {
	// ReportUsage makes one attempt to send a report; the error wraps ErrFenced if the platform has received a higher
	// fencing token.
	ReportUsage(ctx context.Context, token int64, report Report) error
}

// reporter settles windows and reports them while this node holds the lease.
type reporter struct {
	opts      Options
	collector *collector
	settled   *settledWindows
	// stateAll sends statements of settled windows, by the address of the receiver.
	stateAll func(map[string]SettledWindows)
	// token is the fencing token of the tenure that the ledger belongs to, or 0.
	token  int64
	ledger ledger
	// sentAt holds the time of the last attempt to send a report, by window.
	sentAt map[int64]time.Duration
	// keepsFromUntil is until when collectors may hold starts that were reported and that the cuts do not show, because an
	// earlier ledger was lost; 0 if none was.
	keepsFromUntil time.Duration
	// askedAt is when the other nodes were asked which windows are settled, because the ledger was lost; 0 if they need
	// not answer.
	askedAt time.Duration
	// reported, omitted and refused are the values of Counts, which other goroutines read.
	reported atomic.Int64
	omitted  atomic.Int64
	refused  atomic.Int64
}

// Counts holds the numbers of windows that this node has reported or omitted, and of its reports that the platform has
// refused, since the node started.
type Counts struct {
	Reported int64 `json:"reported"`
	Omitted  int64 `json:"omitted"`
	Refused  int64 `json:"refused"`
}

// settleAndSend settles the windows that are due and sends pending reports.
func (r *reporter) settleAndSend(ctx context.Context) {
	tenure, ok := r.opts.Lease.Tenure()
	now := r.opts.SinceBoot()
	wall, known := r.collector.wallAtBoot(now)
	if !ok || !known {
		r.token = 0
		return
	}
	clock := windowClock{wallAtBoot: wall, length: r.opts.Window}
	if r.token != tenure.Token {
		r.startTenure(ctx, tenure, clock, now)
	}
	if r.awaitsAnswers(now) {
		return
	}
	r.settleWindows(ctx, clock, now)
	r.sendReports(ctx, clock)
}

// firstWindow returns the first window to be settled if there is no ledger yet: the one that contains the earliest start.
func (r *reporter) firstWindow(clock windowClock, now time.Duration) int64 {
	at, ok := r.collector.earliestStart()
	if !ok {
		at = now
	}
	return clock.windowAt(min(max(at, now-r.collector.retention), now))
}

// startTenure loads the ledger of the previous holder.
func (r *reporter) startTenure(ctx context.Context, tenure chivelease.Tenure, clock windowClock, now time.Duration) {
	l, isLost, err := ledgerForTenure(r.opts.Lease.Value(ledgerKey), tenure.Era, r.firstWindow(clock, now), clock.windowAt(now))
	if err != nil {
		chiveevent.UsageUnreadable.Log(ctx, r.opts.Logger, slog.String("error", err.Error()))
	}
	r.ledger, r.token, r.sentAt, r.askedAt, r.keepsFromUntil = l, tenure.Token, make(map[int64]time.Duration), 0, 0
	if tenure.Era != firstEra {
		r.keepsFromUntil = now + cutRetention*r.collector.retention
	}
	r.settled.addAll(l.reported)
	if isLost {
		r.askedAt = now
		return
	}
	r.stateAll(r.settled.broadcast(now))
}

// awaitsAnswers reports whether nodes that were asked for settled windows have not answered yet.
func (r *reporter) awaitsAnswers(now time.Duration) bool {
	if r.askedAt == 0 {
		return false
	}
	if r.settled.hasAnswers(r.askedAt, now-r.askedAt >= answerTimeout, r.silenceAt(now)) {
		r.askedAt = 0
		return false
	}
	r.stateAll(r.settled.questions(now, r.askedAt))
	return true
}

// settleWindows settles ended windows in order: it stores the ledger with their counts, or omits them after their
// deadline. It stops at the first window that still lacks starts and is not close to its deadline.
func (r *reporter) settleWindows(ctx context.Context, clock windowClock, now time.Duration) {
	keepsFrom := now < r.keepsFromUntil
	r.ledger = r.ledger.withPresent(clock.windowAt(now), keepsFrom)
	for window := r.ledger.Last + 1; now >= clock.end(window)+settleDelay; window++ {
		if r.settled.contains(window) {
			r.skipReported(ctx, window, keepsFrom)
			continue
		}
		deadline := clock.end(window) + r.opts.Delay
		if now >= deadline {
			// The ledger need not be stored, because a later lease holder omits the window as well.
			r.countOmitted(ctx, window, "deadline passed")
			// Its starts follow the cuts, so the next settled window counts them.
			r.ledger.Last = window
			continue
		}
		if !r.collector.isComplete(now, clock.end(window)) && now < deadline-incompleteLead {
			return
		}
		next := r.ledgerAfter(clock, now, window)
		data, err := next.encode()
		if err != nil || r.opts.Lease.Write(ctx, r.token, ledgerKey, data) != nil {
			return
		}
		r.ledger = next
		r.settled.add(window)
		r.stateAll(r.settled.broadcast(now))
	}
}

// skipReported passes over a window that may have been reported. keepsFrom means that its starts may have been reported as
// well, without a cut that shows it.
func (r *reporter) skipReported(ctx context.Context, window int64, keepsFrom bool) {
	if keepsFrom {
		r.countOmitted(ctx, window, "may have been reported")
		r.ledger = r.ledger.withoutStartsUntil(window)
		return
	}
	r.ledger.Last = window
}

// ledgerAfter returns the ledger with one more window settled by the starts that no earlier window contains.
func (r *reporter) ledgerAfter(clock windowClock, now time.Duration, window int64) ledger {
	from := max(clock.start(r.ledger.countedFrom), now-r.collector.retention)
	counts, next := r.collector.countUntil(r.ledger.cuts, from, clock.end(window))
	after := r.ledger.cuts.moved(window, next)
	after.dropBefore(window - int64(cutRetention*r.collector.retention/r.opts.Window))
	return r.ledger.withSettled(Report{Window: window, Counts: counts}, after)
}

// sendReports sends the reports that are due. Those that can still be confirmed before their deadline go first. After a
// failure the rest waits, because an unavailable platform may take the whole timeout of each call.
func (r *reporter) sendReports(ctx context.Context, clock windowClock) {
	var inTime, late []Report
	for _, report := range r.ledger.Reports {
		if r.opts.SinceBoot() < clock.end(report.Window)+r.opts.Delay {
			inTime = append(inTime, report)
		} else {
			late = append(late, report)
		}
	}
	for _, report := range slices.Concat(inTime, late) {
		if !r.sendReport(ctx, clock, report) {
			return
		}
	}
}

// sendReport makes an attempt to send a report, if one is due, and drops the report once it is confirmed or too late. It
// returns false if an attempt failed, and true if there was none.
func (r *reporter) sendReport(ctx context.Context, clock windowClock, report Report) bool {
	now := r.opts.SinceBoot()
	if now >= clock.end(report.Window)+lateDelays*r.opts.Delay {
		r.countOmitted(ctx, report.Window, "not confirmed in time")
		r.ledger = r.ledger.withoutReport(report.Window)
		return true
	}
	if at, ok := r.sentAt[report.Window]; ok && now-at < resendInterval || !r.isConfirmed(clock, now, report.Window) {
		return true
	}
	tenure, ok := r.opts.Lease.Tenure()
	if !ok || tenure.Token != r.token || tenure.Remaining < minRemaining {
		return true
	}
	r.sentAt[report.Window] = now
	callCtx, cancel := context.WithTimeout(ctx, min(sendTimeout, tenure.Remaining))
	defer cancel()
	err := r.opts.Platform.ReportUsage(callCtx, r.token, report)
	switch {
	case err == nil:
		r.reported.Add(1)
		r.ledger = r.ledger.withoutReport(report.Window)
		chiveevent.UsageReported.Log(ctx, r.opts.Logger, slog.Int64("window", report.Window), slog.Int64("token", r.token),
			slog.Int("teams", len(report.Counts)), slog.Int64("requests", report.total()), slog.Int64("after_ms", (now-clock.end(report.Window)).Milliseconds()))
	case errors.Is(err, ErrFenced):
		r.refused.Add(1)
		chiveevent.UsageRefused.Log(ctx, r.opts.Logger, slog.Int64("window", report.Window), slog.Int64("token", r.token))
		r.opts.Lease.Fenced(r.token)
	}
	return err == nil
}

// isConfirmed reports whether enough other nodes know that a window is settled for its report to be sent.
func (r *reporter) isConfirmed(clock windowClock, now time.Duration, window int64) bool {
	isUrgent := now >= clock.end(window)+r.opts.Delay-incompleteLead
	return r.settled.isConfirmed(window, isUrgent, r.silenceAt(now))
}

// silenceAt returns the function that returns for how long a node has been silent.
func (r *reporter) silenceAt(now time.Duration) silenceOf {
	return func(address string) (time.Duration, bool) { return r.collector.silence(now, address) }
}

func (r *reporter) countOmitted(ctx context.Context, window int64, reason string) {
	r.omitted.Add(1)
	chiveevent.UsageOmitted.Log(ctx, r.opts.Logger, slog.Int64("window", window), slog.String("reason", reason))
}

// windowClock converts between times on a clock since boot and windows of wall-clock time.
type windowClock struct {
	// wallAtBoot is the wall-clock time at boot.
	wallAtBoot time.Duration
	length     time.Duration
}

// windowAt returns the window that contains a time.
func (w windowClock) windowAt(t time.Duration) int64 { return int64((w.wallAtBoot + t) / w.length) }

// start returns the start time of a window.
func (w windowClock) start(window int64) time.Duration {
	return time.Duration(window)*w.length - w.wallAtBoot
}

// end returns the end time of a window.
func (w windowClock) end(window int64) time.Duration { return w.start(window + 1) }
