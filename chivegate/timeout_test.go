package chivegate_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"chivedrift/chivedispatch"
	"chivedrift/chivegate"
)

// waitingModels records how long the last request may wait.
type waitingModels struct{ wait time.Duration }

func (m *waitingModels) Run(_ context.Context, work *chivedispatch.Work, _ chivedispatch.Sink) (chivedispatch.Result, *chivedispatch.Answer) {
	m.wait = work.Deadline.Sub(work.Arrival)
	return chivedispatch.Result{Outcome: chivedispatch.Completed, Status: http.StatusOK}, &chivedispatch.Answer{}
}

// Guards against requests that end in the last millisecond of a timeout that their caller stated in whole ones, or after their class's deadline.
func TestCallersTimeoutLastsUntilItsMillisecondIsOver(t *testing.T) {
	models := &waitingModels{}
	options := testOptions(t)
	options.Models = models
	gateway := newGatewayWith(t, options)
	for stated, want := range map[string]time.Duration{"1": 2 * time.Millisecond, "700": 701 * time.Millisecond, "999": time.Second, "1000": time.Second, "5000": time.Second} {
		models.wait = 0
		send(gateway, "/v1/chat/completions", `{"model": "m", "messages": []}`, map[string]string{chivegate.HeaderTimeout: stated})
		if models.wait != want {
			t.Errorf("timeout of %s ms: waits for %v, want %v", stated, models.wait, want)
		}
	}
}
