package chiveexperiment

import (
	"slices"
	"time"
)

// end tells how a call ended.
type end uint8

const (
	endServed end = iota
	endRefused
	endBroken
	endLeft
)

// windowOf is the length of the windows of which the worst is told.
const windowOf = 2 * time.Second

// tally adds up what became of the calls.
type tally struct {
	kinds   map[string]*kindTally
	owed    map[int]float64
	earned  map[int]float64
	reads   int64
	again   int64
	prompts int64
}

type kindTally struct {
	asked, onTime, late, refused, broken, left int
	refusals, returned                         int
	latePause                                  int
	owed, earned                               float64
	firsts                                     []float64
}

func newTally() *tally {
	return &tally{kinds: make(map[string]*kindTally), owed: make(map[int]float64), earned: make(map[int]float64)}
}

func (t *tally) kind(c *call) *kindTally {
	k := t.kinds[c.caller.kind.Name]
	if k == nil {
		k = &kindTally{}
		t.kinds[c.caller.kind.Name] = k
	}
	return k
}

// The size of a call against the mean of its kind decides what it is worth, within bounds: tokens in, and ten times the tokens out.
const (
	sizeFixed     = 0.3
	sizeOfOutput  = 10
	sizeMost      = 4.0
	hundredth     = 100
	medianPercent = 50
	lastPercent   = 99
)

func (c *call) size() float64 {
	k := c.caller.kind
	mean := k.Own.Mean + sizeOfOutput*k.Events.Mean*float64(c.caller.w.scenario.Engines[0].TokensPerEvent)
	for _, s := range k.Shared {
		mean += s.Tokens.Mean
	}
	size := float64(c.prompt.Input+sizeOfOutput*c.output) / mean
	return min(sizeFixed+(1-sizeFixed)*size, sizeMost)
}

func (c *call) window() int { return int(c.began / windowOf) }

func (t *tally) asked(c *call) {
	worth := c.caller.kind.Worth * c.size()
	k := t.kind(c)
	k.asked++
	k.owed += worth
	t.owed[c.window()] += worth
	t.prompts += c.prompt.Input
}

// sent counts what an engine reads of a call, apart from what it fetches.
func (t *tally) sent(c *call, e *engine, fetches bool) {
	reads, again := e.reads(c.prompt)
	if fetches {
		reads, again = reads-again, 0
	}
	t.reads += reads
	t.again += again
}

func (t *tally) refused(c *call) {
	k := t.kind(c)
	k.refusals++
	if c.tries <= c.caller.kind.Returns {
		k.returned++
	}
}

// ended counts a call's end and what it earned.
func (t *tally) ended(c *call, e end) {
	k := t.kind(c)
	switch e {
	case endRefused:
		k.refused++
		return
	case endBroken:
		k.broken++
		return
	case endLeft:
		k.left++
		return
	case endServed:
	}
	k.firsts = append(k.firsts, float64(c.first-c.began)/float64(time.Millisecond))
	earned := c.caller.kind.Late * c.size()
	slowPause := c.prompt.Pause > 0 && c.longest > c.prompt.Pause
	if slowPause {
		k.latePause++
	}
	if c.first-c.began <= c.prompt.Target && !slowPause {
		k.onTime++
		earned = c.caller.kind.Worth * c.size()
	} else {
		k.late++
	}
	k.earned += earned
	t.earned[c.window()] += earned
}

// Result is what one play came to.
type Result struct {
	// Attained is the share of the worth of all calls that was earned, Worst that of the worst two seconds.
	Attained float64 `json:"attained"`
	Worst    float64 `json:"worst_two_seconds"`
	// Read is the share of the prompt tokens of all calls that engines read, Again that of shared parts read though another engine
	// held them.
	Read  float64               `json:"read"`
	Again float64               `json:"read_again"`
	Kinds map[string]KindResult `json:"kinds"`
	// Windows are the shares earned in each two seconds.
	Windows []float64 `json:"windows"`
}

// KindResult is what one play came to for one kind; shares are of the calls that were made.
type KindResult struct {
	Asked    int     `json:"asked"`
	Attained float64 `json:"attained"`
	OnTime   float64 `json:"on_time"`
	Late     float64 `json:"late"`
	// LatePause is the part of the late ones that had too long a pause.
	LatePause float64 `json:"late_by_pause"`
	Refused   float64 `json:"refused"`
	// Refusals counts every refusal, also those after which the caller came back.
	Refusals float64 `json:"refusals"`
	Broken   float64 `json:"broken"`
	Left     float64 `json:"left"`
	Median   float64 `json:"first_ms_median"`
	Last     float64 `json:"first_ms_p99"`
}

func (t *tally) result() Result {
	r := Result{Kinds: make(map[string]KindResult), Worst: 1}
	owed, earned := 0.0, 0.0
	for _, name := range sortedKeys(t.kinds) {
		k := t.kinds[name]
		owed += k.owed
		earned += k.earned
		r.Kinds[name] = k.result()
	}
	r.Attained = share(earned, owed)
	r.Read, r.Again = share(float64(t.reads), float64(t.prompts)), share(float64(t.again), float64(t.prompts))
	for _, window := range sortedKeys(t.owed) {
		attained := share(t.earned[window], t.owed[window])
		r.Windows = append(r.Windows, attained)
		r.Worst = min(r.Worst, attained)
	}
	return r
}

func (k *kindTally) result() KindResult {
	slices.Sort(k.firsts)
	asked := float64(k.asked)
	return KindResult{
		Asked: k.asked, Attained: share(k.earned, k.owed), OnTime: share(float64(k.onTime), asked), Late: share(float64(k.late), asked),
		LatePause: share(float64(k.latePause), asked), Refused: share(float64(k.refused), asked), Refusals: share(float64(k.refusals), asked),
		Broken: share(float64(k.broken), asked), Left: share(float64(k.left), asked),
		Median: percentile(k.firsts, medianPercent), Last: percentile(k.firsts, lastPercent),
	}
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// percentile returns a percentile of sorted values; 0 where there are none.
func percentile(sorted []float64, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)-1)*percent/hundredth]
}
