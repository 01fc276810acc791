package chivenode

import (
	"context"
	"time"

	"chivedrift/chivekernel"
	"chivedrift/chivewire"

	"github.com/uber-go/tally/v4"
)

// gaugeReporterName is the service name of the gauge reporter.
const gaugeReporterName = "account"

const gaugeReportInterval = 5 * time.Second

// gaugeReporter publishes the overhead of the control plane in /metrics: messages and bytes between nodes by kind, and
// the CPU time and memory of the process. It also publishes the additional gauges passed to it.
type gaugeReporter struct {
	scope   tally.Scope
	mesh    *chivewire.Mesh
	process *process
	gauges  []gauge
	// poolGauges are additional metrics with a value for each pool.
	poolGauges []poolGauge
	tasks      chivekernel.Duties
}

// gauge is an additional metric that is read at each report.
type gauge struct {
	name string
	read func() float64
}

// poolGauge is an additional metric that is read at each report, with a value for each pool.
type poolGauge struct {
	name string
	read func() map[string]float64
}

func newGaugeReporter(scope tally.Scope, mesh *chivewire.Mesh, process *process, gauges ...gauge) *gaugeReporter {
	return &gaugeReporter{scope: scope, mesh: mesh, process: process, gauges: gauges}
}

// SetPoolGauges sets the metrics with a value for each pool; it must be called before Start.
func (r *gaugeReporter) SetPoolGauges(gauges ...poolGauge) { r.poolGauges = gauges }

// Start reports once and then at a fixed interval.
func (r *gaugeReporter) Start(ctx context.Context) error {
	r.tasks.Begin(ctx, r.run)
	return nil
}

// Stop ends the reports.
func (r *gaugeReporter) Stop(context.Context) error {
	r.tasks.End()
	return nil
}

// Dump returns nil: the mesh and the process service dump the same values.
func (r *gaugeReporter) Dump() any { return nil }

func (r *gaugeReporter) run(ctx context.Context) {
	tick := time.NewTicker(gaugeReportInterval)
	defer tick.Stop()
	for {
		r.report()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (r *gaugeReporter) report() {
	sent, received := r.mesh.Traffic()
	r.reportTraffic("sent", sent)
	r.reportTraffic("received", received)
	r.reportTraffic("broken", r.mesh.Broken())
	state := r.process.state()
	process := r.scope.SubScope("process")
	process.Gauge("cpu_seconds").Update(float64(state.CPUUs) / float64(time.Second/time.Microsecond))
	process.Gauge("heap_bytes").Update(float64(state.HeapBytes))
	process.Gauge("total_bytes").Update(float64(state.TotalBytes))
	process.Gauge("goroutines").Update(float64(state.Goroutines))
	for _, g := range r.gauges {
		r.scope.Gauge(g.name).Update(g.read())
	}
	for _, g := range r.poolGauges {
		for pool, value := range g.read() {
			r.scope.Tagged(map[string]string{"pool": pool}).Gauge(g.name).Update(value)
		}
	}
}

func (r *gaugeReporter) reportTraffic(direction string, traffic map[string]chivewire.Traffic) {
	for kind, n := range traffic {
		scope := r.scope.SubScope("wire").Tagged(map[string]string{"kind": kind, "direction": direction})
		scope.Gauge("messages").Update(float64(n.Messages))
		scope.Gauge("bytes").Update(float64(n.Bytes))
	}
}
