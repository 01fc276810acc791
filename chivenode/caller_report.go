package chivenode

import (
	"context"
	"log/slog"
	"time"

	"chivedrift/chivecaller"
	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivememory"
)

// callersName is the service name of the report on what callers take.
const callersName = "callers"

// callerReportInterval is the time between two log lines, so that a crowd of callers causes few.
const callerReportInterval = 10 * time.Second

// callerConns are the connections of callers of either interface.
type callerConns interface {
	// Connections returns the number of open connections and what their bounds made the node do.
	Connections() (open int, counts chivecaller.BoundCounts)
}

// callerReport logs when the bounds on callers end or refuse something, and shows what they hold.
type callerReport struct {
	bounds chivecaller.Bounds
	conns  callerConns
	logger *slog.Logger
	last   callerState
	tasks  chivekernel.Duties
}

// callerState is what callers hold, with totals since the start.
type callerState struct {
	Connections    int                     `json:"connections"`
	MaxConnections int                     `json:"max_connections"`
	Bounds         chivecaller.BoundCounts `json:"bounds"`
	Requests       chivememory.Counts      `json:"requests"`
}

func newCallerReport(bounds chivecaller.Bounds, conns callerConns, logger *slog.Logger) *callerReport {
	return &callerReport{bounds: bounds, conns: conns, logger: logger}
}

// Start begins the reports.
func (r *callerReport) Start(ctx context.Context) error {
	r.tasks.Begin(ctx, func(ctx context.Context) {
		chivekernel.Every(ctx, callerReportInterval, func(time.Time) { r.report(ctx) })
	})
	return nil
}

// Stop ends the reports.
func (r *callerReport) Stop(context.Context) error {
	r.tasks.End()
	return nil
}

// Dump returns what callers hold.
func (r *callerReport) Dump() any { return r.state() }

func (r *callerReport) state() callerState {
	open, counts := r.conns.Connections()
	return callerState{Connections: open, MaxConnections: r.bounds.Connections, Bounds: counts, Requests: r.bounds.Memory.Counts()}
}

// report logs what the bounds did since the last report.
func (r *callerReport) report(ctx context.Context) {
	s, last := r.state(), r.last
	r.last = s
	if s.Bounds == last.Bounds && s.Requests.Refused == last.Requests.Refused && s.Requests.GaveWay == last.Requests.GaveWay {
		return
	}
	chiveevent.CallersBounded.Log(ctx, r.logger,
		slog.Int64("requests_refused", s.Requests.Refused-last.Requests.Refused), slog.Int64("requests_ended", s.Requests.GaveWay-last.Requests.GaveWay),
		slog.Int64("heads_refused", s.Bounds.Heads-last.Bounds.Heads), slog.Int64("connections_refused", s.Bounds.Refused-last.Bounds.Refused),
		slog.Int64("connections_closed", s.Bounds.MadeRoom-last.Bounds.MadeRoom), slog.Int("connections", s.Connections), slog.Int("max_connections", s.MaxConnections),
		slog.Int64("held_bytes", s.Requests.Used), slog.Int64("limit_bytes", s.Requests.Limit), slog.Int("arriving", s.Requests.Arriving))
}

// gauges returns the metrics of what callers hold.
func (r *callerReport) gauges() []gauge {
	return []gauge{
		{"caller_connections", func() float64 { return float64(r.state().Connections) }},
		{"caller_connections_refused", func() float64 { return float64(r.state().Bounds.Refused) }},
		{"caller_connections_closed", func() float64 { return float64(r.state().Bounds.MadeRoom) }},
		{"caller_heads_refused", func() float64 { return float64(r.state().Bounds.Heads) }},
		{"caller_bytes", func() float64 { return float64(r.state().Requests.Used) }},
		{"caller_requests_without_memory", func() float64 { return float64(r.state().Requests.Refused) }},
		{"caller_requests_ended", func() float64 { return float64(r.state().Requests.GaveWay) }},
	}
}
