package chivemetric

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	prefix         = "chivedrift"
	reportInterval = time.Second
)

// Metrics is the service that owns the root scope.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a root scope that reports every second.
func New() *Metrics {
	// A registry of its own: with the process-wide one, a second node in the process (quickstart, tests) registered the same
	// names and the library's panic cut every answer short. A metric that cannot be registered must never cost a request.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, reporter: reporter}
}

// Scope returns the scope that services make their metrics from.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler serves the metrics in the text form that scrapers read.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Start does nothing: the scope reports from its making.
func (m *Metrics) Start(context.Context) error { return nil }

// Stop reports a last time and ends the reporting goroutine.
func (m *Metrics) Stop(context.Context) error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}

// Dump returns nothing: /metrics shows the figures.
func (m *Metrics) Dump() any { return nil }
