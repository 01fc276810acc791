package chiveevent_test

import (
	"bytes"
	"context"
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

func BenchmarkLogLine(b *testing.B) {
	output := chiveevent.NewOutput(&bytes.Buffer{})
	defer output.Close(time.Second)
	logger := output.Logger()
	for b.Loop() {
		chiveevent.RequestEnded.Log(context.Background(), logger)
	}
}
