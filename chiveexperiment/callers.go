package chiveexperiment

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"chivedrift/chiveengine"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
	"chivedrift/chivetime"
)

// caller draws the calls of one kind.
type caller struct {
	w    *world
	kind *Kind
	// draws are the caller's own, so that the same calls come whatever a policy does with them.
	draws  draws
	shared [][]int64
	rank   chivetable.Rank
	urgent time.Duration
	made   int
}

func (w *world) addCallers() {
	for i := range w.scenario.Kinds {
		k := &w.scenario.Kinds[i]
		c := &caller{w: w, kind: k, draws: newDraws(w.seed, uint64(i)+1), rank: w.rankOf(k), urgent: w.urgentTarget(k)}
		for _, s := range k.Shared {
			tokens := make([]int64, s.Things)
			for j := range tokens {
				tokens[j] = max(1, int64(c.draws.lognormal(s.Tokens)))
			}
			c.shared = append(c.shared, tokens)
		}
		c.plan()
	}
}

// rankOf returns a kind's place among the ranks of the scenario.
func (w *world) rankOf(k *Kind) chivetable.Rank {
	var ranks []int
	for _, other := range w.scenario.Kinds {
		ranks = append(ranks, other.Rank)
	}
	slices.Sort(ranks)
	ranks = slices.Compact(ranks)
	return chivetable.Rank{Place: slices.Index(ranks, k.Rank), Of: len(ranks)}
}

// urgentTarget returns the shortest target of the kinds that are as urgent or more.
func (w *world) urgentTarget(k *Kind) time.Duration {
	shortest := chivetime.Milliseconds(k.TargetMs)
	for _, other := range w.scenario.Kinds {
		if other.Rank <= k.Rank {
			shortest = min(shortest, chivetime.Milliseconds(other.TargetMs))
		}
	}
	return shortest
}

// plan plans the next arrival: those of the highest rate are drawn, and thinned where the rate is lower.
func (c *caller) plan() {
	peak := c.kind.ASecond * c.w.scenario.peak(c.kind.Name)
	c.w.after(seconds(c.draws.ExpFloat64()/peak), func() {
		if c.w.clock >= seconds(c.w.scenario.Seconds) {
			return
		}
		if c.draws.Float64()*peak < c.kind.ASecond*c.w.scenario.factor(c.kind.Name, c.w.clock) {
			c.call()
		}
		c.plan()
	})
}

// partName is the identity of a version of a shared part together with those before it.
func partName(kind string, numbers ...int) uint64 {
	h := fnv.New64a()
	// A hash takes every write.
	_, _ = h.Write([]byte(kind))
	for _, n := range numbers {
		_, _ = h.Write([]byte{0, byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)})
	}
	return h.Sum64()
}

// call makes a new call.
func (c *caller) call() {
	w := c.w
	c.made++
	prompt := &chiverequest.Prompt{
		Target: chivetime.Milliseconds(c.kind.TargetMs), Pause: chivetime.Milliseconds(c.kind.PauseMs), Rank: c.rank, Urgent: c.urgent,
	}
	var numbers []int
	for i, s := range c.kind.Shared {
		n := c.draws.pick(s.Things, s.Skew)
		numbers = append(numbers, n)
		if s.Session {
			// A session keeps the versions before it, whoever asks: they follow from its number.
			for j := range i {
				numbers[j] = n % c.kind.Shared[j].Things
				prompt.Parts[j] = chiverequest.Part{ID: partName(c.kind.Name, numbers[:j+1]...), Tokens: c.shared[j][numbers[j]]}
			}
		}
		prompt.Parts = append(prompt.Parts, chiverequest.Part{ID: partName(c.kind.Name, numbers...), Tokens: c.shared[i][n]})
	}
	own := max(1, int64(c.draws.lognormal(c.kind.Own)))
	prompt.Parts = append(prompt.Parts, chiverequest.Part{ID: partName(c.kind.Name, -1, c.made), Tokens: own})
	for _, p := range prompt.Parts {
		prompt.Input += p.Tokens
	}
	perEvent := float64(c.w.scenario.Engines[0].TokensPerEvent)
	output := max(1, int64(c.draws.lognormal(c.kind.Events)*perEvent))
	prompt.MostOutput = int64(c.kind.Events.Most * perEvent)
	prompt.HintedOutput = max(1, int64(c.draws.lognormal(Lengths{Mean: float64(output), Spread: c.kind.HintSpread, Most: c.kind.Events.Most * perEvent})))
	made := &call{caller: c, prompt: prompt, output: output, began: w.clock, impatient: c.draws.Float64() < c.kind.Impatient}
	w.tally.asked(made)
	made.try()
	made.watch()
}

// call is one call with all its tries.
type call struct {
	caller    *caller
	prompt    *chiverequest.Prompt
	output    int64
	began     time.Duration
	impatient bool

	node    int
	tries   int
	fulls   int
	exclude []string
	run     *run
	// delivered are the tokens that the caller has, first and last when it got the first and the last event.
	delivered int64
	first     time.Duration
	last      time.Duration
	longest   time.Duration
	refusals  int
	over      bool
}

func (c *call) deadline() time.Duration {
	return c.began + chivetime.Milliseconds(c.caller.kind.WaitMs)
}

// try sends the call to a node drawn at random.
func (c *call) try() {
	w := c.caller.w
	c.node = w.random.IntN(w.scenario.Nodes)
	c.tries++
	c.exclude = nil
	w.after(chivetime.Milliseconds(w.scenario.CallerMs), func() { c.place(w.clock) })
}

const (
	// placePoll is how often a call that waits at its node looks for a place.
	placePoll = 10 * time.Millisecond
	// fullMost is how many engines may turn a call away before its node gives up.
	fullMost = 3
)

// place asks for a place, again and again for as long as the product lets a request wait for one.
func (c *call) place(since time.Duration) {
	if c.over {
		return
	}
	w := c.caller.w
	chosen, refused := w.router.choose(c, c.deadline()-w.clock)
	if refused == nil {
		c.send(chosen)
		return
	}
	if w.clock+placePoll <= since+chiveplace.Patience(c.prompt.Target) {
		w.after(placePoll, func() { c.place(since) })
		return
	}
	c.refused(refused.RetryAfter)
}

// send sends the call to its engine.
func (c *call) send(p place) {
	w := c.caller.w
	e := w.engine(p.endpoint())
	job := &chiveengine.Job{ID: w.jobID(), Rank: c.prompt.Rank.Place, Parts: c.prompt.Parts, Input: c.prompt.Input + c.delivered, Output: c.output - c.delivered}
	c.run = &run{call: c, place: p, job: job, last: w.clock}
	r := c.run
	w.after(chivetime.Milliseconds(w.scenario.NetworkMs), func() {
		if c.over || r.ended {
			return
		}
		w.tally.sent(c, e, r.place.fetchFrom() != "" && e.of.FetchTokensPerMs > 0)
		e.fetch(r)
	})
}

func (w *world) jobID() uint64 {
	w.jobs++
	return w.jobs
}

// heard takes an event of the answer at the node.
func (c *call) heard(r *run, done bool) {
	if r.ended || c.over {
		return
	}
	w := c.caller.w
	r.place.event(w.now(), w.clock-r.last)
	r.last = w.clock
	c.delivered = min(c.delivered+w.scenario.Engines[0].TokensPerEvent, c.output)
	if done {
		r.end(chiveplace.EndedWell)
	}
	w.after(chivetime.Milliseconds(w.scenario.CallerMs), func() { c.got(done) })
}

// got takes an event at the caller.
func (c *call) got(done bool) {
	if c.over {
		return
	}
	now := c.caller.w.clock
	if c.first == 0 {
		c.first = now
	} else {
		c.longest = max(c.longest, now-c.last)
	}
	c.last = now
	if done {
		c.finish(endServed)
	}
}

func (r *run) end(ending chiveplace.Ending) {
	if !r.ended {
		r.ended = true
		r.place.done(r.call.caller.w.now(), ending)
	}
}

// fullAt goes on after an engine's word that it has no room.
func (c *call) fullAt(r *run) {
	r.end(chiveplace.EndedFull)
	c.fulls++
	c.exclude = append(c.exclude, r.place.endpoint())
	if c.fulls%fullMost == 0 {
		c.refused(0)
		return
	}
	c.place(c.caller.w.clock)
}

// broke goes on, or ends, after an engine was lost.
func (c *call) broke(r *run, ending chiveplace.Ending) {
	if r.ended || c.over {
		return
	}
	r.end(ending)
	if !c.caller.kind.Resumes {
		c.finish(endBroken)
		return
	}
	c.exclude = append(c.exclude, r.place.endpoint())
	c.place(c.caller.w.clock)
}

const (
	// returnMost is the part of the time left up to which callers keep to the time that they are told to come back.
	returnMost = 1.0 / 3
	// impatientAfter is when callers come back that do not.
	impatientAfter = 5 * time.Millisecond
)

// refused tells the caller to come back, or that was it.
func (c *call) refused(after time.Duration) {
	w := c.caller.w
	c.refusals++
	w.tally.refused(c)
	if c.tries > c.caller.kind.Returns {
		c.finish(endRefused)
		return
	}
	left := c.deadline() - w.clock
	wait := min(after, time.Duration(returnMost*float64(left)))
	if c.impatient {
		wait = impatientAfter
	}
	w.after(wait+chivetime.Milliseconds(w.scenario.CallerMs), func() {
		if !c.over {
			c.try()
		}
	})
}

// watch ends the call when its caller leaves: at its time limit, or after a gap that it takes for a failure.
func (c *call) watch() {
	w := c.caller.w
	patience := max(2*time.Second, 4*c.prompt.Target, 8*c.prompt.Pause)
	since := max(c.last, c.began)
	due := min(c.deadline(), since+patience)
	w.after(due-w.clock, func() {
		if c.over {
			return
		}
		if w.clock < min(c.deadline(), max(c.last, c.began)+patience) {
			c.watch()
			return
		}
		c.finish(endLeft)
	})
}

// finish ends the call; an engine that still works on it stops.
func (c *call) finish(e end) {
	if c.over {
		return
	}
	c.over = true
	w := c.caller.w
	w.tally.ended(c, e)
	if r := c.run; r != nil && !r.ended {
		r.end(chiveplace.EndedCaller)
		w.after(chivetime.Milliseconds(w.scenario.CallerMs+w.scenario.NetworkMs), func() {
			if on := w.engine(r.place.endpoint()); on != nil {
				on.cancel(r)
			}
		})
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
