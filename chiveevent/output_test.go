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

// stalled is an output that takes nothing until it is let go.
type stalled struct {
	mu   sync.Mutex
	goOn chan struct{}
	got  bytes.Buffer
}

func (s *stalled) Write(line []byte) (int, error) {
	<-s.goOn
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(line)
}

func (s *stalled) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// Guards against requests that block because nobody reads the standard output.
func TestStalledOutputHoldsUpNobody(t *testing.T) {
	out := &stalled{goOn: make(chan struct{})}
	output := chiveevent.NewOutput(out)
	logger := output.Logger()
	began := time.Now()
	for range 5000 {
		chiveevent.RequestEnded.Log(context.Background(), logger)
	}
	chiveevent.RequestUnknown.Log(context.Background(), logger)
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("5,000 lines took %v", took)
	}
	if output.Dropped() < 3000 {
		t.Errorf("%d lines dropped, expected most of 5,000", output.Dropped())
	}
	close(out.goOn)
	time.Sleep(1200 * time.Millisecond)
	output.Close(time.Second)
	if text := out.text(); !strings.Contains(text, `"event":502`) || !strings.Contains(text, `"event":105`) {
		t.Error("the warning or the count of dropped lines is missing")
	}
}

func BenchmarkLine(b *testing.B) {
	output := chiveevent.NewOutput(&bytes.Buffer{})
	defer output.Close(time.Second)
	logger := output.Logger()
	for b.Loop() {
		chiveevent.RequestEnded.Log(context.Background(), logger)
	}
}
