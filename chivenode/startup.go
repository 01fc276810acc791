package chivenode

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
)

// startupName is the name under which the record of the start registers.
const startupName = "startup"

// startupLook is how often a starting node looks how far it is: the lines it writes are that exact, in milliseconds of its own time.
const startupLook = 10 * time.Millisecond

// startup records what a node waited for from its start until it was ready and knew its fleet, and logs it, so that a slow recovery of
// hundreds of nodes shows the step that took long.
type startup struct {
	logger *slog.Logger
	// notReady, settled and nodes tell how far the node is.
	notReady func() error
	settled  func() bool
	nodes    func() int

	mu    sync.Mutex
	began time.Time
	// table and endpoints are when the first configuration was in force and the first endpoints were known, since the start; 0 before.
	table     time.Duration
	endpoints time.Duration
	ready     time.Duration
	fleet     time.Duration
	duties    chivekernel.Duties
}

func newStartup(logger *slog.Logger, notReady func() error, settled func() bool, nodes func() int) *startup {
	return &startup{logger: logger, notReady: notReady, settled: settled, nodes: nodes, began: time.Now()}
}

// noteTable hears of a configuration in force.
func (s *startup) noteTable() { s.note(&s.table) }

// noteEndpoints hears of endpoints.
func (s *startup) noteEndpoints() { s.note(&s.endpoints) }

// note keeps the time of a step's first time.
func (s *startup) note(step *time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *step == 0 {
		*step = time.Since(s.began)
	}
}

// Start begins to look.
func (s *startup) Start(ctx context.Context) error {
	s.duties.Begin(ctx, s.run)
	return nil
}

// Stop ends that.
func (s *startup) Stop(context.Context) error {
	s.duties.End()
	return nil
}

// Dump returns the steps in milliseconds since the start; 0 for those to come.
func (s *startup) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		TableMs     int64 `json:"table_ms"`
		EndpointsMs int64 `json:"endpoints_ms"`
		ReadyMs     int64 `json:"ready_ms"`
		FleetMs     int64 `json:"fleet_ms"`
	}{s.table.Milliseconds(), s.endpoints.Milliseconds(), s.ready.Milliseconds(), s.fleet.Milliseconds()}
}

// run looks until the node is ready and knows its fleet.
func (s *startup) run(ctx context.Context) {
	tick := time.NewTicker(startupLook)
	defer tick.Stop()
	ready, known := false, false
	for !ready || !known {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !ready && s.notReady() == nil {
			ready = true
			s.logReady(ctx)
		}
		if !known && s.settled() {
			known = true
			s.logFleet(ctx)
		}
	}
}

func (s *startup) logReady(ctx context.Context) {
	s.note(&s.ready)
	s.mu.Lock()
	defer s.mu.Unlock()
	chiveevent.NodeReady.Log(ctx, s.logger, slog.Int64("table_ms", s.table.Milliseconds()), slog.Int64("endpoints_ms", s.endpoints.Milliseconds()),
		slog.Int64("ready_ms", s.ready.Milliseconds()), slog.Int("nodes", s.nodes()))
}

func (s *startup) logFleet(ctx context.Context) {
	s.note(&s.fleet)
	s.mu.Lock()
	defer s.mu.Unlock()
	chiveevent.FleetKnown.Log(ctx, s.logger, slog.Int64("fleet_ms", s.fleet.Milliseconds()), slog.Int("nodes", s.nodes()))
}
