package chivekernel

import (
	"context"
	"sync"
	"time"
)

// Duties manages the background goroutines of a service. The zero value is ready for use.
type Duties struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Begin starts a goroutine for each task. The context of the tasks ends when End is called or the given context ends.
func (d *Duties) Begin(ctx context.Context, tasks ...func(ctx context.Context)) {
	ctx, d.cancel = context.WithCancel(ctx)
	for _, task := range tasks {
		d.running.Add(1)
		go func() {
			defer d.running.Done()
			task(ctx)
		}()
	}
}

// End cancels the tasks and waits until their goroutines have returned. It does nothing before Begin.
func (d *Duties) End() {
	if d.cancel != nil {
		d.cancel()
	}
	d.running.Wait()
}

// Every calls a function at the end of each period until the context ends.
func Every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f(now)
		}
	}
}
