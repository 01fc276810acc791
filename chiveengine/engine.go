package chiveengine

import (
	"cmp"
	"slices"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chivetime"
)

// Job is one request for an engine.
type Job struct {
	ID uint64
	// Rank decides what is read and admitted first; 0 is the most urgent.
	Rank   int
	Parts  []chiverequest.Part
	Input  int64
	Output int64

	arrived  int64
	unread   int64
	before   int64
	produced int64
	running  bool
}

// Sign tells what an engine reports of a job.
type Sign uint8

const (
	// SignEvent is an event of the answer.
	SignEvent Sign = iota
	// SignDone is the last event of the answer.
	SignDone
)

// Report is one sign of a job.
type Report struct {
	At   time.Time
	Job  uint64
	Sign Sign
	// First tells that it is the job's first event.
	First bool
}

// Counts are what an engine did since its start.
type Counts struct {
	// Read is the number of prompt tokens that were read, Kept those that needed not be.
	Read      int64
	Kept      int64
	Preempted int64
}

// Engine is one model engine. Its callers drive it: after each call Next tells when Advance is due.
type Engine struct {
	traits  Traits
	memory  *memory
	waiting []*Job
	running []*Job
	// arrivals numbers the jobs in the order in which they came.
	arrivals int64
	ends     time.Time
	stepping bool
	reading  []share
	counts   Counts
}

// share is what one step reads of one job.
type share struct {
	job    *Job
	tokens int64
}

// New returns an idle engine.
func New(traits Traits) *Engine {
	return &Engine{traits: traits, memory: newMemory(traits.Memory)}
}

// Counts returns what the engine did since its start.
func (e *Engine) Counts() Counts { return e.counts }

// Load returns how many jobs run and how many wait.
func (e *Engine) Load() (running, waiting int) { return len(e.running), len(e.waiting) }

// Held returns how many leading tokens of a row of parts need not be read.
func (e *Engine) Held(parts []chiverequest.Part) int64 { return e.memory.held(parts) }

// Adopt takes the first tokens of a row of parts from another engine, as far as there is room.
func (e *Engine) Adopt(parts []chiverequest.Part, tokens int64) { e.memory.adopt(parts, tokens) }

// Unread returns the prompt tokens of jobs up to a rank that are not read yet.
func (e *Engine) Unread(rank int) (tokens int64) {
	for _, j := range e.running {
		if j.Rank <= rank {
			tokens += j.unread
		}
	}
	for _, j := range e.waiting {
		if j.Rank <= rank {
			tokens += j.Input - e.memory.held(j.Parts)
		}
	}
	return tokens
}

// SetSpeed changes the factor on every time from the next step on.
func (e *Engine) SetSpeed(factor float64) { e.traits.Speed = factor }

// Speed returns the factor on every time.
func (e *Engine) Speed() float64 { return e.traits.Speed }

// Submit takes a job; it reports false when the engine is full.
func (e *Engine) Submit(now time.Time, job *Job) bool {
	if len(e.waiting) >= e.traits.Queue || job.Input+job.Output > e.traits.Memory {
		return false
	}
	e.arrivals++
	job.arrived = e.arrivals
	e.wait(job)
	e.begin(now)
	return true
}

// wait puts a job into the queue: the urgent first, then in the order in which they came.
func (e *Engine) wait(job *Job) {
	at, _ := slices.BinarySearchFunc(e.waiting, job, byUrgency)
	e.waiting = slices.Insert(e.waiting, at, job)
}

func byUrgency(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.arrived, b.arrived))
}

// Cancel drops a job.
func (e *Engine) Cancel(id uint64) {
	e.waiting = slices.DeleteFunc(e.waiting, func(j *Job) bool { return j.ID == id })
	for i, j := range e.running {
		if j.ID == id {
			e.running = slices.Delete(e.running, i, i+1)
			e.release(j)
			return
		}
	}
}

// release gives back a job's memory; what it read stays as long as there is room.
func (e *Engine) release(j *Job) {
	j.running = false
	e.memory.used -= j.produced
	e.memory.unlock(j.Parts)
	if j.unread > 0 {
		e.memory.drop(j.Parts, j.Input-j.unread)
	}
}

// Next returns when the step under way ends; ok is false when the engine is idle.
func (e *Engine) Next() (at time.Time, ok bool) { return e.ends, e.stepping }

// Advance ends the step under way and begins the next one.
func (e *Engine) Advance(now time.Time) []Report {
	if !e.stepping || now.Before(e.ends) {
		return nil
	}
	e.stepping = false
	for _, s := range e.reading {
		s.job.unread -= s.tokens
		s.job.before += s.tokens
		e.memory.read(s.job.Parts, s.job.before)
	}
	reports := e.produce(now)
	e.begin(now)
	return reports
}

// produce gives every job whose prompt is read its next token.
func (e *Engine) produce(now time.Time) (reports []Report) {
	for _, j := range slices.Clone(e.running) {
		if !j.running || j.unread > 0 {
			continue
		}
		if !e.room(j) {
			continue
		}
		j.produced++
		done := j.produced >= j.Output
		if !done && j.produced%e.traits.TokensPerEvent != 0 {
			continue
		}
		r := Report{At: now, Job: j.ID, First: j.produced <= e.traits.TokensPerEvent}
		if r.First {
			r.At = now.Add(chivetime.Milliseconds(e.traits.First * e.traits.Speed))
		}
		if done {
			r.Sign = SignDone
			e.running = slices.DeleteFunc(e.running, func(o *Job) bool { return o == j })
			e.release(j)
		}
		reports = append(reports, r)
	}
	return reports
}

// room makes room for one more token, by putting the newest of the least urgent back into the queue where parts do not suffice.
func (e *Engine) room(j *Job) bool {
	for !e.memory.grow(1) {
		victim := slices.MaxFunc(e.running, byUrgency)
		e.preempt(victim)
		if victim == j {
			return false
		}
	}
	return true
}

// preempt puts a running job back into the queue; it reads everything again.
func (e *Engine) preempt(j *Job) {
	e.counts.Preempted++
	e.running = slices.DeleteFunc(e.running, func(o *Job) bool { return o == j })
	e.release(j)
	e.wait(j)
}

// begin admits jobs and starts a step where there is anything to do.
func (e *Engine) begin(now time.Time) {
	if e.stepping {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	s := e.compose()
	e.stepping = true
	e.ends = now.Add(chivetime.Milliseconds(e.traits.stepTime(s)))
}

// admit lets jobs run while there are slots and memory.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.traits.Slots {
		j := e.waiting[0]
		held, ok := e.memory.lock(j.Parts)
		if !ok {
			return
		}
		e.waiting = e.waiting[1:]
		// What was produced before a preemption is read again with the prompt.
		j.unread, j.before, j.running = j.Input-held+j.produced, held, true
		e.memory.used += j.produced
		e.counts.Kept += held
		e.running = append(e.running, j)
	}
}

// compose decides what the next step reads.
func (e *Engine) compose() (s step) {
	e.reading = e.reading[:0]
	s.running = len(e.running)
	left := e.traits.ReadChunk
	slices.SortFunc(e.running, byUrgency)
	for _, j := range e.running {
		s.context += j.before + j.produced
		take := min(j.unread, left)
		if take == 0 {
			continue
		}
		left -= take
		s.reads += take
		s.pairs += float64(take) * (float64(j.before) + float64(take)/2)
		e.reading = append(e.reading, share{j, take})
	}
	e.counts.Read += s.reads
	return s
}
