package chiveevent

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivering"
)

const (
	// queueLines is the capacity of each queue of lines, queueBytes the size of all lines in it: what callers send may make lines long.
	queueLines = 1024
	queueBytes = 1 << 20
	// dropReportInterval is how often dropped lines are reported.
	dropReportInterval = time.Second
)

// Output writes log lines from a separate goroutine, so that a standard output that nobody reads blocks no request.
//
// When the reader of the output stalls, a bounded number of lines is queued; further lines are dropped and counted.
// Warnings and errors have their own queue, so that the lines that explain a failure are the last to be dropped.
type Output struct {
	out     io.Writer
	urgent  *lineQueue
	normal  *lineQueue
	dropped atomic.Int64
	done    sync.WaitGroup
	cancel  context.CancelFunc
}

// NewOutput returns an output and starts its goroutine.
func NewOutput(out io.Writer) *Output {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Output{out: out, urgent: newLineQueue(), normal: newLineQueue(), cancel: cancel}
	o.done.Add(1)
	go o.run(ctx)
	return o
}

// Logger returns a logger that writes JSON lines to this output.
func (o *Output) Logger() *slog.Logger {
	return slog.New(&levelHandler{
		urgent: slog.NewJSONHandler(queueWriter{o, o.urgent}, nil), normal: slog.NewJSONHandler(queueWriter{o, o.normal}, nil),
	})
}

// Dropped returns the number of lines that were dropped.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// Close writes the queued lines and stops the goroutine. It returns after the timeout even if the writer still blocks.
func (o *Output) Close(timeout time.Duration) {
	o.cancel()
	stopped := make(chan struct{})
	go func() {
		o.done.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(timeout):
	}
}

func (o *Output) run(ctx context.Context) {
	defer o.done.Done()
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-o.urgent.lines.Ready():
			o.write(o.urgent.taken(line))
			continue
		default:
		}
		select {
		case line := <-o.urgent.lines.Ready():
			o.write(o.urgent.taken(line))
		case line := <-o.normal.lines.Ready():
			o.write(o.normal.taken(line))
		case <-ticker.C:
			reported = o.reportDropped(reported)
		case <-ctx.Done():
			o.flush()
			return
		}
	}
}

func (o *Output) flush() {
	for {
		select {
		case line := <-o.urgent.lines.Ready():
			o.write(o.urgent.taken(line))
		case line := <-o.normal.lines.Ready():
			o.write(o.normal.taken(line))
		default:
			return
		}
	}
}

func (o *Output) reportDropped(reported int64) int64 {
	dropped := o.dropped.Load()
	if dropped == reported {
		return reported
	}
	var line bytes.Buffer
	LinesDropped.Log(context.Background(), slog.New(slog.NewJSONHandler(&line, nil)), slog.Int64("lines", dropped-reported), slog.Int64("in_all", dropped))
	o.write(line.Bytes())
	return dropped
}

// write writes a line; a write error is ignored, since there is no other place to report it.
func (o *Output) write(line []byte) { _, _ = o.out.Write(line) }

// lineQueue holds lines that wait to be written.
type lineQueue struct {
	lines *chivering.Ring[[]byte]
	bytes atomic.Int64
}

func newLineQueue() *lineQueue { return &lineQueue{lines: chivering.New[[]byte](queueLines)} }

// offer queues a line; it returns false if there is no room.
func (q *lineQueue) offer(line []byte) bool {
	size := int64(len(line))
	if q.bytes.Add(size) <= queueBytes && q.lines.Offer(line) {
		return true
	}
	q.bytes.Add(-size)
	return false
}

// taken returns a line that was taken out of the queue.
func (q *lineQueue) taken(line []byte) []byte {
	q.bytes.Add(-int64(len(line)))
	return line
}

type queueWriter struct {
	output *Output
	queue  *lineQueue
}

// Write queues a copy of the line, since the handler reuses its buffer.
func (w queueWriter) Write(line []byte) (int, error) {
	if !w.queue.offer(append([]byte(nil), line...)) {
		w.output.dropped.Add(1)
	}
	return len(line), nil
}

// levelHandler sends warnings and errors to one handler and all other records to another.
type levelHandler struct {
	urgent slog.Handler
	normal slog.Handler
}

// Enabled reports whether a level is logged.
func (h *levelHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.normal.Enabled(ctx, level)
}

// Handle passes a record to the handler for its level.
func (h *levelHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelWarn {
		return h.urgent.Handle(ctx, record) //nolint:wrapcheck // the ring never fails
	}
	return h.normal.Handle(ctx, record) //nolint:wrapcheck // the ring never fails
}

// WithAttrs returns a handler that adds attributes to each line.
func (h *levelHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &levelHandler{h.urgent.WithAttrs(attributes), h.normal.WithAttrs(attributes)}
}

// WithGroup returns a handler that puts the attributes of each line in a group.
func (h *levelHandler) WithGroup(name string) slog.Handler {
	return &levelHandler{h.urgent.WithGroup(name), h.normal.WithGroup(name)}
}
