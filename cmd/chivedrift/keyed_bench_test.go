package main_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	keyedRequests = 600
	keyedEvery    = 10 * time.Millisecond
)

// BenchmarkKeyedRequest measures what a claim on the log adds to a request that may not be repeated: the same requests
// with and without a key, 100 a second over three node processes, with a log that answers in a millisecond.
func BenchmarkKeyedRequest(b *testing.B) {
	s := startSystem(b)
	s.put("http://"+s.log+"/faults", `{"delay_ms":1}`)
	for b.Loop() {
		plain := s.timed(b, func(int) string { return "" })
		before := s.claimAppends(b)
		started := time.Now()
		keyed := s.timed(b, func(i int) string { return fmt.Sprintf("bench-%d-%d", started.UnixNano(), i) })
		seconds := time.Since(started).Seconds()
		b.ReportMetric(float64(plain.ValueAtQuantile(50)), "plain-p50-us")
		b.ReportMetric(float64(keyed.ValueAtQuantile(50)-plain.ValueAtQuantile(50)), "added-p50-us")
		b.ReportMetric(float64(keyed.ValueAtQuantile(99)-plain.ValueAtQuantile(99)), "added-p99-us")
		b.ReportMetric(float64(s.claimAppends(b)-before)/seconds, "appends/s")
		b.ReportMetric(keyedRequests/seconds, "keyed/s")
	}
}

func (s *system) timed(b *testing.B, key func(int) string) *hdrhistogram.Histogram {
	b.Helper()
	h := hdrhistogram.New(1, microsecondMax, 3)
	var mu sync.Mutex
	var running sync.WaitGroup
	for i := range keyedRequests {
		time.Sleep(keyedEvery)
		running.Add(1)
		go func() {
			defer running.Done()
			started := time.Now()
			status, header, body := s.ask(s.nodes[i%systemNodes], "/services/svc/book", "", key(i), "x")
			mu.Lock()
			defer mu.Unlock()
			if status != 200 || header.Get("Chivedrift-Outcome") != "completed" {
				b.Errorf("answered %d %s", status, body)
			}
			record(b, h, time.Since(started))
		}()
	}
	running.Wait()
	return h
}

// claimAppends sums up what the nodes' claim writers appended.
func (s *system) claimAppends(b *testing.B) int64 {
	b.Helper()
	total := int64(0)
	for _, n := range s.nodes {
		var state struct {
			Writer []struct {
				Appends int64 `json:"appends"`
			} `json:"claim-writer"`
		}
		s.get("http://"+n.admin+"/state", &state)
		for _, slot := range state.Writer {
			total += slot.Appends
		}
	}
	return total
}
