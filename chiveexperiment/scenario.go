package chiveexperiment

import (
	"fmt"
	"os"
	"time"

	"chivedrift/chiveengine"
	"chivedrift/chiveyaml"
)

// Scenario is what an experiment plays. Times are in milliseconds where a name ends in _ms, in seconds where it ends in _s.
type Scenario struct {
	Name string `yaml:"name" validate:"required"`
	// Seconds is how long new calls arrive.
	Seconds float64 `yaml:"seconds" validate:"required,gt=0,max=3600"`
	Nodes   int     `yaml:"nodes" validate:"required,min=1,max=400"`
	News    News    `yaml:"news"`
	// NetworkMs is one way between a node and an engine, CallerMs between a caller and a node.
	NetworkMs float64  `yaml:"network_ms" validate:"min=0,max=1000"`
	CallerMs  float64  `yaml:"caller_ms" validate:"min=0,max=1000"`
	Engines   []Engine `yaml:"engines" validate:"required,min=1,dive"`
	Kinds     []Kind   `yaml:"kinds" validate:"required,min=1,dive"`
	Bursts    []Burst  `yaml:"bursts" validate:"dive"`
	Faults    []Fault  `yaml:"faults" validate:"dive"`
}

// News tells how nodes hear of each other's requests.
type News struct {
	EveryMs float64 `yaml:"every_ms" validate:"min=0,max=60000"`
	LateMs  float64 `yaml:"late_ms" validate:"min=0,max=60000"`
	// Lost is the share of the messages that never arrive.
	Lost float64 `yaml:"lost" validate:"min=0,max=1"`
}

// Engine describes a number of equal engines.
type Engine struct {
	Count             int     `yaml:"count" validate:"required,min=1,max=2000"`
	Slots             int     `yaml:"slots" validate:"required,min=1"`
	MemoryTokens      int64   `yaml:"memory_tokens" validate:"required,min=1"`
	StepMs            float64 `yaml:"step_ms" validate:"required,gt=0"`
	StepMsPerRequest  float64 `yaml:"step_ms_per_request" validate:"min=0"`
	ContextMsPerK     float64 `yaml:"context_ms_per_k" validate:"min=0"`
	ReadTokensPerMs   float64 `yaml:"read_tokens_per_ms" validate:"required,gt=0"`
	ReadChunk         int64   `yaml:"read_chunk" validate:"required,min=1"`
	PairsMsPerMillion float64 `yaml:"pairs_ms_per_million" validate:"min=0"`
	FirstMs           float64 `yaml:"first_ms" validate:"min=0"`
	TokensPerEvent    int64   `yaml:"tokens_per_event" validate:"required,min=1"`
	// An engine fetches parts from another one in FetchSetupMs and at FetchTokensPerMs; 0 stands for engines that cannot.
	FetchSetupMs     float64 `yaml:"fetch_setup_ms" validate:"min=0"`
	FetchTokensPerMs float64 `yaml:"fetch_tokens_per_ms" validate:"min=0"`
	// Slowness multiplies every time: 1 is usual.
	Slowness float64 `yaml:"slowness" validate:"required,gt=0"`
}

// Lengths are drawn from a lognormal distribution with this mean, where Spread is the deviation of the logarithm.
type Lengths struct {
	Mean   float64 `yaml:"mean" validate:"required,gt=0"`
	Spread float64 `yaml:"spread" validate:"min=0,max=3"`
	Most   float64 `yaml:"most" validate:"required,gt=0"`
}

// Shared is a part of prompts of which there are several versions; a call takes one of them, the popular ones more often.
type Shared struct {
	Tokens  Lengths `yaml:"tokens"`
	Things  int     `yaml:"things" validate:"required,min=1,max=1000000"`
	Skew    float64 `yaml:"skew" validate:"min=0,max=3"`
	Session bool    `yaml:"session"`
}

// Kind is one kind of call.
type Kind struct {
	Name    string  `yaml:"name" validate:"required"`
	Rank    int     `yaml:"rank" validate:"min=0,max=9"`
	ASecond float64 `yaml:"a_second" validate:"required,gt=0"`
	// TargetMs is the time to the first event, PauseMs the longest pause between events, that is still on time.
	TargetMs float64 `yaml:"target_ms" validate:"required,gt=0"`
	PauseMs  float64 `yaml:"pause_ms" validate:"min=0"`
	WaitMs   float64 `yaml:"wait_ms" validate:"required,gt=0"`
	Returns  int     `yaml:"returns" validate:"min=0,max=10"`
	// Worth and Late are what an answer on time, and a later one, earns.
	Worth float64 `yaml:"worth" validate:"required,gt=0"`
	Late  float64 `yaml:"late" validate:"min=0"`
	// Resumes tells that a stream may go on elsewhere when its engine is lost.
	Resumes bool     `yaml:"resumes"`
	Own     Lengths  `yaml:"own_tokens"`
	Shared  []Shared `yaml:"shared" validate:"dive"`
	Events  Lengths  `yaml:"events"`
	// HintSpread is the deviation of the logarithm by which a caller's guess at the length of its answer is off.
	HintSpread float64 `yaml:"hint_spread" validate:"min=0,max=3"`
	// Impatient is the share of callers that come back at once whatever they are told.
	Impatient float64 `yaml:"impatient" validate:"min=0,max=1"`
}

// Burst multiplies the arrivals of one kind, or of all where it names none, for a while.
type Burst struct {
	Kind   string  `yaml:"kind"`
	AtS    float64 `yaml:"at_s" validate:"min=0"`
	ForS   float64 `yaml:"for_s" validate:"required,gt=0"`
	Factor float64 `yaml:"factor" validate:"required,gt=0,max=100"`
}

// Fault is something that happens to one engine, or to one node's news.
type Fault struct {
	What   string  `yaml:"what" validate:"required,oneof=crash slow leave deaf"`
	Engine int     `yaml:"engine" validate:"min=0"`
	Node   int     `yaml:"node" validate:"min=0"`
	AtS    float64 `yaml:"at_s" validate:"min=0"`
	ForS   float64 `yaml:"for_s" validate:"min=0"`
	Factor float64 `yaml:"factor" validate:"min=0"`
}

// The things that can happen.
const (
	faultCrash = "crash"
	faultSlow  = "slow"
	faultLeave = "leave"
	// faultDeaf keeps a node from hearing and telling news.
	faultDeaf = "deaf"
)

// Load reads and checks a scenario; the error lists every problem with its file, line and field.
func Load(file string) (*Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(file, data)
}

// Parse checks a scenario that came from the named file.
func Parse(file string, data []byte) (*Scenario, error) {
	document, s, err := chiveyaml.Decode[Scenario](file, data)
	if err != nil {
		return nil, err
	}
	var problems chiveyaml.FieldErrors
	for _, v := range chiveyaml.Validate(s) {
		problems = append(problems, document.Problem(v.Path, "%s", v.Message))
	}
	problems = append(problems, s.references(document)...)
	if len(problems) > 0 {
		return nil, problems
	}
	return &s, nil
}

// references checks what one part of a scenario says of another.
func (s *Scenario) references(document *chiveyaml.Document) (problems chiveyaml.FieldErrors) {
	for i, b := range s.Bursts {
		if b.Kind != "" && s.kind(b.Kind) == nil {
			problems = append(problems, document.Problem(fmt.Sprintf("bursts[%d].kind", i), "expected the name of a kind, found %q", b.Kind))
		}
	}
	for i, f := range s.Faults {
		if f.What != faultDeaf && f.Engine >= s.engines() {
			problems = append(problems, document.Problem(fmt.Sprintf("faults[%d].engine", i), "expected a number below %d, found %d", s.engines(), f.Engine))
		}
		if f.What == faultDeaf && f.Node >= s.Nodes {
			problems = append(problems, document.Problem(fmt.Sprintf("faults[%d].node", i), "expected a number below %d, found %d", s.Nodes, f.Node))
		}
	}
	return problems
}

func (s *Scenario) kind(name string) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}

func (s *Scenario) engines() (count int) {
	for _, e := range s.Engines {
		count += e.Count
	}
	return count
}

// queueOfEngine is how many requests an engine lets wait, in slots.
const queueOfEngine = 2

func (e *Engine) traits() chiveengine.Traits {
	return chiveengine.Traits{
		Slots: e.Slots, Queue: queueOfEngine * e.Slots, Memory: e.MemoryTokens, Step: e.StepMs, StepPerRequest: e.StepMsPerRequest,
		ContextPerThousand: e.ContextMsPerK, ReadRate: e.ReadTokensPerMs, ReadChunk: e.ReadChunk, PairsPerMillion: e.PairsMsPerMillion,
		First: e.FirstMs, TokensPerEvent: e.TokensPerEvent, Speed: e.Slowness,
	}
}

// factor is what the bursts make of a kind's arrivals at a moment.
func (s *Scenario) factor(kind string, at time.Duration) float64 {
	factor := 1.0
	for _, b := range s.Bursts {
		if b.Kind != "" && b.Kind != kind {
			continue
		}
		if from := seconds(b.AtS); at >= from && at < from+seconds(b.ForS) {
			factor *= b.Factor
		}
	}
	return factor
}

// peak is the most that the bursts make of a kind's arrivals.
func (s *Scenario) peak(kind string) float64 {
	peak := 1.0
	for _, b := range s.Bursts {
		peak = max(peak, s.factor(kind, seconds(b.AtS)))
	}
	return peak
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
