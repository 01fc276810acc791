package chivelog

import (
	"context"
)

// progressKey is the key of a context's progress function.
type progressKey struct{}

// WithProgress returns a context for calls of a log whose answers may be large: came is called, by the goroutine that makes the call,
// whenever bytes of the answer have come, so that the caller can tell a long answer from a silent log.
func WithProgress(ctx context.Context, came func()) context.Context {
	return context.WithValue(ctx, progressKey{}, came)
}

// Progressed tells who made the call, if it wants to know, that bytes of the answer have come.
func Progressed(ctx context.Context) {
	if came, ok := ctx.Value(progressKey{}).(func()); ok {
		came()
	}
}
