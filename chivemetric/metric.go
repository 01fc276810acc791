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

// Metrics is the service that owns the root scope of the metrics.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns the metrics service with a root scope that reports every second.
func New() *Metrics {
	// Each node has its own registry. With the process-wide one, a second node in the process (quickstart, tests)
	// registered the same names, and the resulting panic in the library cut off every answer. Registration errors are
	// ignored, because a metric that cannot be registered must not fail a request.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, reporter: reporter}
}

// Scope returns the root scope, from which services create their metrics.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Start does nothing, because the scope reports from its creation on.
func (m *Metrics) Start(context.Context) error { return nil }

// Stop reports once more and ends the reporting goroutine.
func (m *Metrics) Stop(context.Context) error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}

// Dump returns nil: /metrics shows the values.
func (m *Metrics) Dump() any { return nil }
