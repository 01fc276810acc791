package chivenode

import (
	"context"
	"time"

	"chivedrift/chivekernel"
	"chivedrift/chivewire"

	"github.com/uber-go/tally/v4"
)

// accountName is the name under which the node's own cost registers.
const accountName = "account"

const accountEvery = 5 * time.Second

// account shows what the node spends on control in /metrics: messages and bytes by kind, processor time and memory.
type account struct {
	scope   tally.Scope
	mesh    *chivewire.Mesh
	process *process
	figures []figure
	duties  chivekernel.Duties
}

// figure is one more gauge that a node reports.
type figure struct {
	name string
	read func() float64
}

func newAccount(scope tally.Scope, mesh *chivewire.Mesh, process *process, figures ...figure) *account {
	return &account{scope: scope, mesh: mesh, process: process, figures: figures}
}

// Start begins to report.
func (a *account) Start(ctx context.Context) error {
	a.duties.Begin(ctx, a.run)
	return nil
}

// Stop ends the reporting.
func (a *account) Stop(context.Context) error {
	a.duties.End()
	return nil
}

// Dump returns nothing: the wire and the process dump the same figures.
func (a *account) Dump() any { return nil }

func (a *account) run(ctx context.Context) {
	tick := time.NewTicker(accountEvery)
	defer tick.Stop()
	for {
		a.report()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (a *account) report() {
	sent, received := a.mesh.Traffic()
	a.reportTraffic("sent", sent)
	a.reportTraffic("received", received)
	a.reportTraffic("broken", a.mesh.Broken())
	state := a.process.state()
	process := a.scope.SubScope("process")
	process.Gauge("cpu_seconds").Update(float64(state.CPUUs) / float64(time.Second/time.Microsecond))
	process.Gauge("heap_bytes").Update(float64(state.HeapBytes))
	process.Gauge("total_bytes").Update(float64(state.TotalBytes))
	process.Gauge("goroutines").Update(float64(state.Goroutines))
	for _, f := range a.figures {
		a.scope.Gauge(f.name).Update(f.read())
	}
}

func (a *account) reportTraffic(direction string, traffic map[string]chivewire.Traffic) {
	for kind, n := range traffic {
		scope := a.scope.SubScope("wire").Tagged(map[string]string{"kind": kind, "direction": direction})
		scope.Gauge("messages").Update(float64(n.Messages))
		scope.Gauge("bytes").Update(float64(n.Bytes))
	}
}
