package chivelog

import (
	"context"
	"time"
)

// Log is what the services of a node need of the platform's log; Client is the real one.
type Log interface {
	// Append writes one record once and returns its offset; the error wraps ErrNotAppended or ErrUnknown.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records from an offset on, waiting for the first; the error wraps ErrUnavailable.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}
