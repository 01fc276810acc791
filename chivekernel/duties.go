package chivekernel

import (
	"context"
	"sync"
	"time"
)

// Duties are the goroutines of one service, one for each duty; the zero value is ready.
type Duties struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Begin starts a goroutine for each duty; their context ends with End or with the given one.
func (d *Duties) Begin(ctx context.Context, duties ...func(ctx context.Context)) {
	ctx, d.cancel = context.WithCancel(ctx)
	for _, duty := range duties {
		d.done.Add(1)
		go func() {
			defer d.done.Done()
			duty(ctx)
		}()
	}
}

// End ends the duties and returns once their goroutines have; it does nothing before Begin.
func (d *Duties) End() {
	if d.cancel != nil {
		d.cancel()
	}
	d.done.Wait()
}

// Every calls a function at the end of each period, until the context ends.
func Every(ctx context.Context, period time.Duration, do func(now time.Time)) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			do(now)
		}
	}
}
