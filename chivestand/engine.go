package chivestand

import (
	"sort"
	"sync"
	"time"
)

// EngineFaults are the ways in which an engine stand-in misbehaves, settable by PUT /faults.
type EngineFaults struct {
	CrashAfterTokens int     `json:"crash_after_tokens"`
	CrashMidToken    bool    `json:"crash_mid_token"`
	CrashBefore      string  `json:"crash_before"`
	StallAfterTokens int     `json:"stall_after_tokens"`
	SlowFactor       float64 `json:"slow_factor"`
	Refuse           bool    `json:"refuse"`
	Leaving          bool    `json:"leaving"`
	LoadLagMs        int64   `json:"load_lag_ms"`
	Times            int     `json:"times"`
}

const (
	// CrashBeforeHeaders breaks the connection before any answer.
	CrashBeforeHeaders = "headers"
	// CrashBeforeFirst breaks the connection after the headers and before the first token.
	CrashBeforeFirst = "first"
	// CrashBeforeDone breaks the connection after the last token and before the end of the stream.
	CrashBeforeDone = "done"
)

// EngineSpeed is how fast an engine stand-in works.
type EngineSpeed struct {
	Step              time.Duration
	PrefillPerToken   time.Duration
	Sequences         int
	PrefixCacheBlocks int
}

// Engine stands in for a model engine: continuous batching, a prefix cache, priorities, resume and cancel.
type Engine struct {
	mu       sync.Mutex
	model    string
	speed    EngineSpeed
	faults   wearing[EngineFaults]
	waiting  []*sequence
	running  []*sequence
	prefixes []uint64
	runs     map[string]int
	produced int64
	refused  int
	reports  []EngineLoad
	order    orderBook
	wake     chan struct{}
	closed   chan struct{}
}

// EngineLoad is a load report, in sequences and tokens.
type EngineLoad struct {
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	Leaving bool      `json:"leaving"`
}

// EngineRuns tells which requests reached the engine, how often, and all tokens it computed.
type EngineRuns struct {
	Runs   map[string]int `json:"runs"`
	Tokens int64          `json:"tokens"`
}

type sequence struct {
	priority int
	arrived  time.Time
	prompt   string
	prefill  int
	next     int
	length   int
	tokens   chan int
	gone     <-chan struct{}
}

// NewEngine returns an engine stand-in for a model; it works until Close.
func NewEngine(model string, speed EngineSpeed) *Engine {
	e := &Engine{model: model, speed: speed, runs: make(map[string]int), wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go e.work()
	return e
}

// Close ends the engine's work.
func (e *Engine) Close() { close(e.closed) }

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.faults.set(faults, faults.Times)
}

// Refused returns how many requests the engine refused.
func (e *Engine) Refused() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refused
}

// Runs returns what reached the engine.
func (e *Engine) Runs() EngineRuns {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := make(map[string]int, len(e.runs))
	for id, count := range e.runs {
		copied[id] = count
	}
	return EngineRuns{Runs: copied, Tokens: e.produced}
}

// ---------------------------------------------------------------- batching

// work advances every running sequence by one token a step, as continuous batching does.
func (e *Engine) work() {
	for {
		e.mu.Lock()
		e.admit()
		pause := e.speed.Step
		if slow := e.faults.now().SlowFactor; slow > 1 {
			pause = time.Duration(float64(pause) * slow)
		}
		idle := len(e.running) == 0
		e.mu.Unlock()
		if idle {
			select {
			case <-e.wake:
				continue
			case <-e.closed:
				return
			}
		}
		time.Sleep(pause)
		e.step()
	}
}

func (e *Engine) admit() {
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].priority < e.waiting[j].priority })
	for len(e.waiting) > 0 && len(e.running) < e.speed.Sequences {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.running[:0]
	for _, s := range e.running {
		if e.advance(s) {
			kept = append(kept, s)
		}
	}
	e.running = kept
}

// advance gives a sequence its next token and reports whether more are to come.
func (e *Engine) advance(s *sequence) bool {
	select {
	case <-s.gone:
		close(s.tokens)
		return false
	default:
	}
	if s.prefill > 0 {
		s.prefill -= e.prefillPerStep()
		return true
	}
	if s.next < s.length {
		s.tokens <- s.next
		s.next++
		e.produced++
	}
	if s.next < s.length {
		return true
	}
	close(s.tokens)
	return false
}

func (e *Engine) prefillPerStep() int {
	if e.speed.PrefillPerToken <= 0 {
		return 1 << 30
	}
	return max(1, int(e.speed.Step/e.speed.PrefillPerToken))
}

func (e *Engine) submit(s *sequence) {
	e.mu.Lock()
	prefix := hashOf(s.prompt[:min(len(s.prompt), prefixBytes)])
	if e.cached(prefix) {
		s.prefill = 0
	}
	e.waiting = append(e.waiting, s)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

const prefixBytes = 256

func (e *Engine) cached(prefix uint64) bool {
	for _, known := range e.prefixes {
		if known == prefix {
			return true
		}
	}
	e.prefixes = append(e.prefixes, prefix)
	if extra := len(e.prefixes) - max(e.speed.PrefixCacheBlocks, 1); extra > 0 {
		e.prefixes = e.prefixes[extra:]
	}
	return false
}
