package chivecommand

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"chivedrift/chivegate"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/integrii/flaggy"
)

// loadRequest is a bounded load on loopback: a mix of classes, a rate and a number of requests.
type loadRequest struct {
	targets string
	key     string
	model   string
	mix     string
	rate    float64
	count   int
	burst   int
}

const (
	loadRate    = 20
	loadCount   = 200
	loadMost    = 100000
	latencyMost = 10 * 60 * 1000
	latencyBits = 3
	mixDefault  = "chat:1:40"
)

var loadVerb = verb{
	name: "load", usage: "Send a bounded mix of requests to nodes on loopback and print latency, attainment and outcomes by class.",
	flags: func(s *flaggy.Subcommand) action {
		r := loadRequest{mix: mixDefault, rate: loadRate, count: loadCount, burst: 1, model: "stand-in", key: quickstartKey}
		s.String(&r.targets, "t", "targets", "The nodes' callers addresses, IP:port, separated by commas.")
		s.String(&r.key, "k", "key", "The team's key.")
		s.String(&r.model, "m", "model", "The model.")
		s.String(&r.mix, "x", "mix", "class:weight:tokens:target_ms, separated by commas.")
		s.Float64(&r.rate, "r", "rate", "Bursts a second.")
		s.Int(&r.burst, "u", "burst", "Requests a burst.")
		s.Int(&r.count, "n", "count", "Requests in all.")
		return r.run
	},
}

// loadClass is one part of the mix with what was measured of it.
type loadClass struct {
	name     string
	weight   int
	tokens   int
	targetMs int64

	mu       sync.Mutex
	first    *hdrhistogram.Histogram
	whole    *hdrhistogram.Histogram
	met      int
	sent     int
	useful   int
	wasted   int
	outcomes map[string]int
}

func (r *loadRequest) run(ctx context.Context, out io.Writer) error {
	targets, err := loopbackTargets(r.targets)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	classes, err := parseMix(r.mix)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	if r.count < 1 || r.count > loadMost || r.rate <= 0 || r.burst < 1 {
		return &exitError{exitBadInput, fmt.Errorf("--count must be 1 to %d, --rate above 0 and --burst at least 1", loadMost)}
	}
	started := time.Now()
	r.send(ctx, targets, classes)
	printLoad(out, classes, time.Since(started))
	return nil
}

func loopbackTargets(list string) ([]string, error) {
	if list == "" {
		return nil, errors.New("--targets is required")
	}
	targets := strings.Split(list, ",")
	for _, target := range targets {
		address, err := netip.ParseAddrPort(target)
		if err != nil || !address.Addr().IsLoopback() {
			return nil, fmt.Errorf("--targets: expected loopback addresses as IP:port, found %q", target)
		}
	}
	return targets, nil
}

func parseMix(mix string) ([]*loadClass, error) {
	var classes []*loadClass
	for _, part := range strings.Split(mix, ",") {
		fields := append(strings.Split(part, ":"), "1", "40", "1000")[:4]
		c := &loadClass{
			name: fields[0], outcomes: make(map[string]int),
			first: hdrhistogram.New(1, latencyMost, latencyBits), whole: hdrhistogram.New(1, latencyMost, latencyBits),
		}
		numbers := make([]int, 0, 3)
		for _, text := range fields[1:] {
			n, err := strconv.Atoi(text)
			if err != nil || n < 1 {
				return nil, fmt.Errorf("--mix: expected class:weight:tokens:target_ms with whole numbers, found %q", part)
			}
			numbers = append(numbers, n)
		}
		c.weight, c.tokens, c.targetMs = numbers[0], numbers[1], int64(numbers[2])
		classes = append(classes, c)
	}
	return classes, nil
}

func (r *loadRequest) send(ctx context.Context, targets []string, classes []*loadClass) {
	var running sync.WaitGroup
	pause := time.NewTicker(time.Duration(float64(time.Second) / r.rate))
	defer pause.Stop()
	for sent := 0; sent < r.count && ctx.Err() == nil; {
		for range min(r.burst, r.count-sent) {
			class := pickClass(classes)
			target := targets[sent%len(targets)]
			sent++
			running.Add(1)
			go func() {
				defer running.Done()
				class.one(ctx, "http://"+target+"/v1/chat/completions", r.key, r.model, sent)
			}()
		}
		<-pause.C
	}
	running.Wait()
}

func pickClass(classes []*loadClass) *loadClass {
	total := 0
	for _, c := range classes {
		total += c.weight
	}
	n := rand.IntN(total)
	for _, c := range classes {
		if n -= c.weight; n < 0 {
			return c
		}
	}
	return classes[0]
}

// one sends a request and measures it; the stand-in engine answers with as many tokens as the prompt asks for.
func (c *loadClass) one(ctx context.Context, address, key, model string, number int) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"load %d tokens=%d"}]}`, model, number, c.tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(chivegate.HeaderClass, c.name)
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.note(time.Time{}, started, 0, "no answer")
		return
	}
	defer response.Body.Close()
	first, tokens := readStream(response.Body)
	outcome := response.Trailer.Get(chivegate.HeaderOutcome)
	if outcome == "" {
		outcome = response.Header.Get(chivegate.HeaderOutcome)
	}
	c.note(first, started, tokens, outcome)
}

func readStream(body io.Reader) (first time.Time, tokens int) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"content":"w`) {
			if tokens == 0 {
				first = time.Now()
			}
			tokens++
		}
	}
	return first, tokens
}

func (c *loadClass) note(first, started time.Time, tokens int, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	c.outcomes[outcome]++
	if outcome != "completed" {
		c.wasted += tokens
		return
	}
	c.useful += tokens
	ms := first.Sub(started).Milliseconds()
	// Values beyond ten minutes do not fit and are left out of the histogram only.
	_ = c.first.RecordValue(max(ms, 1))
	_ = c.whole.RecordValue(max(time.Since(started).Milliseconds(), 1))
	if ms <= c.targetMs {
		c.met++
	}
}

func printLoad(out io.Writer, classes []*loadClass, took time.Duration) {
	fmt.Fprintf(out, "%-18s %6s %10s %8s %8s %8s %10s %8s  %s\n", "class", "sent", "attained", "p50 ms", "p95 ms", "p99 ms", "tokens/s", "wasted", "outcomes")
	for _, c := range classes {
		fmt.Fprintf(out, "%-18s %6d %9.1f%% %8d %8d %8d %10.1f %8d  %s\n", c.name, c.sent, 100*float64(c.met)/float64(max(c.sent, 1)),
			c.first.ValueAtQuantile(50), c.first.ValueAtQuantile(95), c.first.ValueAtQuantile(99), float64(c.useful)/took.Seconds(), c.wasted, counts(c.outcomes))
	}
}

func counts(outcomes map[string]int) string {
	parts := make([]string, 0, len(outcomes))
	for outcome, n := range outcomes {
		parts = append(parts, fmt.Sprintf("%s %d", outcome, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
