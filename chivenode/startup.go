package chivenode

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
)

// startupName is the service name of the startup tracker.
const startupName = "startup"

// startupPollInterval is how often a starting node checks its progress. It bounds the error of the logged times.
const startupPollInterval = 10 * time.Millisecond

// startupTracker records and logs how long a node took to get a configuration and endpoints, to become ready and to
// know its fleet. In a slow recovery of hundreds of nodes, the log shows which step took long.
type startupTracker struct {
	logger *slog.Logger
	// notReady, fleetSettled and nodeCount report the current progress.
	notReady     func() error
	fleetSettled func() bool
	nodeCount    func() int

	mu      sync.Mutex
	started time.Time
	// table, endpoints, ready and fleet are the times from the start until the first configuration was in force, the
	// first endpoints were known, the node was ready and the fleet was known; 0 for steps to come.
	table     time.Duration
	endpoints time.Duration
	ready     time.Duration
	fleet     time.Duration
	tasks     chivekernel.Duties
}

func newStartupTracker(logger *slog.Logger, notReady func() error, fleetSettled func() bool, nodeCount func() int) *startupTracker {
	return &startupTracker{logger: logger, notReady: notReady, fleetSettled: fleetSettled, nodeCount: nodeCount, started: time.Now()}
}

// recordTable records that a configuration is in force.
func (s *startupTracker) recordTable() { s.record(&s.table) }

// recordEndpoints records that endpoints are known.
func (s *startupTracker) recordEndpoints() { s.record(&s.endpoints) }

// record stores the time since the start unless the step has been recorded before.
func (s *startupTracker) record(step *time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *step == 0 {
		*step = time.Since(s.started)
	}
}

// Start begins to poll the progress.
func (s *startupTracker) Start(ctx context.Context) error {
	s.tasks.Begin(ctx, s.run)
	return nil
}

// Stop ends the polling.
func (s *startupTracker) Stop(context.Context) error {
	s.tasks.End()
	return nil
}

// Dump returns the steps in milliseconds since the start; 0 for steps to come.
func (s *startupTracker) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		TableMs     int64 `json:"table_ms"`
		EndpointsMs int64 `json:"endpoints_ms"`
		ReadyMs     int64 `json:"ready_ms"`
		FleetMs     int64 `json:"fleet_ms"`
	}{s.table.Milliseconds(), s.endpoints.Milliseconds(), s.ready.Milliseconds(), s.fleet.Milliseconds()}
}

// run polls until the node is ready and knows its fleet.
func (s *startupTracker) run(ctx context.Context) {
	tick := time.NewTicker(startupPollInterval)
	defer tick.Stop()
	ready, fleetKnown := false, false
	for !ready || !fleetKnown {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !ready && s.notReady() == nil {
			ready = true
			s.logReady(ctx)
		}
		if !fleetKnown && s.fleetSettled() {
			fleetKnown = true
			s.logFleet(ctx)
		}
	}
}

func (s *startupTracker) logReady(ctx context.Context) {
	s.record(&s.ready)
	s.mu.Lock()
	defer s.mu.Unlock()
	chiveevent.NodeReady.Log(ctx, s.logger, slog.Int64("table_ms", s.table.Milliseconds()), slog.Int64("endpoints_ms", s.endpoints.Milliseconds()),
		slog.Int64("ready_ms", s.ready.Milliseconds()), slog.Int("nodes", s.nodeCount()))
}

func (s *startupTracker) logFleet(ctx context.Context) {
	s.record(&s.fleet)
	s.mu.Lock()
	defer s.mu.Unlock()
	chiveevent.FleetKnown.Log(ctx, s.logger, slog.Int64("fleet_ms", s.fleet.Milliseconds()), slog.Int("nodes", s.nodeCount()))
}
