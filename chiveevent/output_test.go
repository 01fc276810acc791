package chiveevent_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"chivedrift/chiveevent"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(line)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

// Guards against requests that block because nobody reads the standard output: lines are then dropped and counted, and
// warnings are kept.
func TestStalledOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	output := chiveevent.NewOutput(out)
	logger := output.Logger()
	start := time.Now()
	for range 5000 {
		chiveevent.RequestEnded.Log(context.Background(), logger)
	}
	chiveevent.RequestUnknown.Log(context.Background(), logger)
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Errorf("5,000 lines took %v", elapsed)
	}
	if output.Dropped() < 3000 {
		t.Errorf("%d of 5,000 lines dropped, expected at least 3,000", output.Dropped())
	}
	close(out.release)
	time.Sleep(1200 * time.Millisecond)
	output.Close(time.Second)
	if text := out.text(); !strings.Contains(text, `"event":502`) || !strings.Contains(text, `"event":105`) {
		t.Error("the warning or the event that reports dropped lines is missing")
	}
}

// Guards against a process whose memory long lines fill that nobody reads.
func TestStalledOutputHoldsABoundedNumberOfBytes(t *testing.T) {
	const lines, lineBytes, heldBytes = 1000, 64 << 10, 1 << 20
	out := &blockedWriter{release: make(chan struct{})}
	output := chiveevent.NewOutput(out)
	logger := output.Logger()
	reason := slog.String("reason", strings.Repeat("a", lineBytes))
	for range lines {
		chiveevent.RequestRefused.Log(context.Background(), logger, reason)
	}
	before := output.Dropped()
	held := (lines - before) * lineBytes
	if held > heldBytes+lineBytes {
		t.Errorf("%d bytes are held", held)
	}
	close(out.release)
	for start := time.Now(); int64(len(out.text())) < held && time.Since(start) < 10*time.Second; {
		time.Sleep(10 * time.Millisecond)
	}
	chiveevent.RequestRefused.Log(context.Background(), logger, reason)
	if output.Dropped() != before {
		t.Error("a line was dropped although all others had been written")
	}
	output.Close(time.Second)
}

func BenchmarkLogLine(b *testing.B) {
	output := chiveevent.NewOutput(&bytes.Buffer{})
	defer output.Close(time.Second)
	logger := output.Logger()
	for b.Loop() {
		chiveevent.RequestEnded.Log(context.Background(), logger)
	}
}
