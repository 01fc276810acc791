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
	// linesKept bounds the lines that wait for the output: at a few hundred bytes a line well under a megabyte.
	linesKept = 1024
	// dropsEvery is how often lost lines are reported.
	dropsEvery = time.Second
)

// Output writes log lines from a goroutine of its own, so that a standard output that nobody reads never holds up a request.
//
// When the reader of the output stalls, the lines that wait are bounded and further ones are dropped and counted; warnings
// and errors have a ring of their own, so that the lines that explain a failure are the last to go.
type Output struct {
	out     io.Writer
	urgent  *chivering.Ring[[]byte]
	plain   *chivering.Ring[[]byte]
	dropped atomic.Int64
	done    sync.WaitGroup
	cancel  context.CancelFunc
}

// NewOutput returns an output that begins to write at once.
func NewOutput(out io.Writer) *Output {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Output{out: out, urgent: chivering.New[[]byte](linesKept), plain: chivering.New[[]byte](linesKept), cancel: cancel}
	o.done.Add(1)
	go o.run(ctx)
	return o
}

// Logger returns a logger of JSON lines onto this output.
func (o *Output) Logger() *slog.Logger {
	return slog.New(&levelHandler{
		urgent: slog.NewJSONHandler(ringWriter{o, o.urgent}, nil), plain: slog.NewJSONHandler(ringWriter{o, o.plain}, nil),
	})
}

// Dropped returns how many lines were lost.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// Close writes what waits, for at most a given time, and ends the goroutine when the output takes it.
func (o *Output) Close(most time.Duration) {
	o.cancel()
	ended := make(chan struct{})
	go func() {
		o.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(most):
	}
}

func (o *Output) run(ctx context.Context) {
	defer o.done.Done()
	tick := time.NewTicker(dropsEvery)
	defer tick.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-o.urgent.Ready():
			o.write(line)
			continue
		default:
		}
		select {
		case line := <-o.urgent.Ready():
			o.write(line)
		case line := <-o.plain.Ready():
			o.write(line)
		case <-tick.C:
			reported = o.report(reported)
		case <-ctx.Done():
			o.flush()
			return
		}
	}
}

func (o *Output) flush() {
	for {
		select {
		case line := <-o.urgent.Ready():
			o.write(line)
		case line := <-o.plain.Ready():
			o.write(line)
		default:
			return
		}
	}
}

func (o *Output) report(before int64) int64 {
	lost := o.dropped.Load()
	if lost == before {
		return before
	}
	var line bytes.Buffer
	LinesDropped.Log(context.Background(), slog.New(slog.NewJSONHandler(&line, nil)), slog.Int64("lines", lost-before), slog.Int64("in_all", lost))
	o.write(line.Bytes())
	return lost
}

// write passes a line on; an output that fails has nobody left to tell.
func (o *Output) write(line []byte) { _, _ = o.out.Write(line) }

type ringWriter struct {
	output *Output
	ring   *chivering.Ring[[]byte]
}

// Write offers a copy of the line, since the handler uses its buffer again.
func (w ringWriter) Write(line []byte) (int, error) {
	if !w.ring.Offer(append([]byte(nil), line...)) {
		w.output.dropped.Add(1)
	}
	return len(line), nil
}

// levelHandler sends warnings and errors one way and all else the other.
type levelHandler struct {
	urgent slog.Handler
	plain  slog.Handler
}

// Enabled reports whether a level is logged.
func (h *levelHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.plain.Enabled(ctx, level)
}

// Handle passes a record on by its level.
func (h *levelHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelWarn {
		return h.urgent.Handle(ctx, record) //nolint:wrapcheck // the ring never fails
	}
	return h.plain.Handle(ctx, record) //nolint:wrapcheck // the ring never fails
}

// WithAttrs returns a handler whose lines carry attributes.
func (h *levelHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &levelHandler{h.urgent.WithAttrs(attributes), h.plain.WithAttrs(attributes)}
}

// WithGroup returns a handler whose lines put attributes in a group.
func (h *levelHandler) WithGroup(name string) slog.Handler {
	return &levelHandler{h.urgent.WithGroup(name), h.plain.WithGroup(name)}
}
