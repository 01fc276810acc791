package main_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	pathRequests   = 400
	relayStreams   = 24
	relayTokens    = 400
	targetTokens   = 370000.0 / 330
	microsecondMax = 60 * 1000 * 1000
)

// BenchmarkWholePath compares a node with calling the engine directly, in the same run, with processes on loopback.
func BenchmarkWholePath(b *testing.B) {
	s := startSystem(b)
	n := s.nodes[0]
	for b.Loop() {
		direct := hdrhistogram.New(1, microsecondMax, 3)
		through := hdrhistogram.New(1, microsecondMax, 3)
		for i := range pathRequests {
			record(b, direct, firstToken(b, "http://"+s.engines[i%2]+"/v1/chat/completions", "", 4))
			record(b, through, firstToken(b, "http://"+n.callers+"/v1/chat/completions", processKey, 4))
		}
		b.ReportMetric(float64(direct.ValueAtQuantile(50)), "direct-p50-us")
		b.ReportMetric(float64(through.ValueAtQuantile(50)), "node-p50-us")
		b.ReportMetric(float64(through.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added-p50-us")
		b.ReportMetric(float64(through.ValueAtQuantile(99)-direct.ValueAtQuantile(99)), "added-p99-us")
		short := s.spent(b, n, 4)
		long := s.spent(b, n, relayTokens)
		tokens := float64(relayStreams * (relayTokens - 4))
		perToken := (long.cpu - short.cpu) / tokens
		b.ReportMetric(perToken, "cpu-us/token")
		b.ReportMetric((long.allocations-short.allocations)/tokens, "allocs/token")
		b.ReportMetric(short.cpu/relayStreams-4*perToken, "cpu-us/request")
		b.ReportMetric(100*perToken*targetTokens/1e6, "core%-at-target-tokens")
	}
}

func record(b *testing.B, h *hdrhistogram.Histogram, d time.Duration) {
	b.Helper()
	if err := h.RecordValue(max(d.Microseconds(), 1)); err != nil {
		b.Fatal(err)
	}
}

// firstToken sends a streamed request, reads it to its end and returns the time to its first token.
func firstToken(tb testing.TB, address, key string, tokens int) time.Duration {
	tb.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":"bench tokens=%d"}]}`, tokens)
	request, err := http.NewRequest(http.MethodPost, address, strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		tb.Fatal(err)
	}
	defer response.Body.Close()
	from := bufio.NewReader(response.Body)
	if _, err := from.ReadBytes('\n'); err != nil {
		tb.Fatal(err)
	}
	first := time.Since(started)
	rest, err := io.ReadAll(from)
	if err != nil || !bytes.Contains(rest, []byte("[DONE]")) {
		tb.Fatalf("stream ended with %v", err)
	}
	return first
}

// cost is what a node spent: processor time in microseconds and heap allocations.
type cost struct {
	cpu         float64
	allocations float64
}

// spent runs streams of a length through a node, all at once, and returns what the node spent on them.
func (s *system) spent(b *testing.B, n *nodeProcess, tokens int) cost {
	b.Helper()
	before := s.processState(n)
	var running sync.WaitGroup
	for range relayStreams {
		running.Add(1)
		go func() {
			defer running.Done()
			firstToken(b, "http://"+n.callers+"/v1/chat/completions", processKey, tokens)
		}()
	}
	running.Wait()
	after := s.processState(n)
	return cost{cpu: after.cpu - before.cpu, allocations: after.allocations - before.allocations}
}

func (s *system) processState(n *nodeProcess) cost {
	s.t.Helper()
	response, err := http.Get("http://" + n.admin + "/state")
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	var state struct {
		Process struct {
			CPUUs       float64 `json:"cpu_us"`
			Allocations float64 `json:"allocations"`
		} `json:"process"`
	}
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		s.t.Fatal(err)
	}
	return cost{cpu: state.Process.CPUUs, allocations: state.Process.Allocations}
}
