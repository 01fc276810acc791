package chiveengine

import (
	"cmp"
	"slices"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chivetime"
)

// Job is one request to an engine.
type Job struct {
	ID uint64
	// Rank is the priority for admission and prefill; 0 is the most urgent.
	Rank   int
	Parts  []chiverequest.Part
	Input  int64
	Output int64

	arrival        int64
	pendingPrefill int64
	computed       int64
	generated      int64
	running        bool
}

// Sign is the kind of a report.
type Sign uint8

const (
	// SignEvent reports an event of the response.
	SignEvent Sign = iota
	// SignDone reports the last event of the response.
	SignDone
)

// Report is an output event of a job.
type Report struct {
	At   time.Time
	Job  uint64
	Sign Sign
	// First marks the job's first event.
	First bool
}

// Counts are totals since the start of the engine.
type Counts struct {
	// Read is the number of prefilled tokens, Kept the number of prompt tokens found in the cache.
	Read      int64
	Kept      int64
	Preempted int64
}

// Engine is one simulated model engine. The caller drives it: after each call, Next returns when Advance is due.
type Engine struct {
	config  Traits
	cache   *kvCache
	waiting []*Job
	running []*Job
	// lastArrival is the number of the last submitted job; jobs are numbered in order of arrival.
	lastArrival int64
	stepEnd     time.Time
	stepping    bool
	prefills    []prefillChunk
	counts      Counts
}

// prefillChunk is the part of one step that prefills one job.
type prefillChunk struct {
	job    *Job
	tokens int64
}

// New returns an idle engine.
func New(config Traits) *Engine {
	return &Engine{config: config, cache: newKVCache(config.Memory)}
}

// Counts returns the totals since the start of the engine.
func (e *Engine) Counts() Counts { return e.counts }

// Load returns the numbers of running and waiting jobs.
func (e *Engine) Load() (running, waiting int) { return len(e.running), len(e.waiting) }

// Held returns how many leading tokens of a prompt are cached.
func (e *Engine) Held(parts []chiverequest.Part) int64 { return e.cache.cachedTokens(parts) }

// Adopt caches the leading tokens of a prompt as fetched from another engine, as far as there is room.
func (e *Engine) Adopt(parts []chiverequest.Part, tokens int64) { e.cache.importPrefix(parts, tokens) }

// Unread returns the number of tokens still to be prefilled for jobs up to a rank.
func (e *Engine) Unread(rank int) (tokens int64) {
	for _, j := range e.running {
		if j.Rank <= rank {
			tokens += j.pendingPrefill
		}
	}
	for _, j := range e.waiting {
		if j.Rank <= rank {
			tokens += j.Input - e.cache.cachedTokens(j.Parts)
		}
	}
	return tokens
}

// SetSpeed sets the factor by which all times are multiplied, from the next step on.
func (e *Engine) SetSpeed(factor float64) { e.config.Speed = factor }

// Speed returns the factor by which all times are multiplied.
func (e *Engine) Speed() float64 { return e.config.Speed }

// Submit adds a job. It returns false if the queue is full or the job is larger than the memory.
func (e *Engine) Submit(now time.Time, job *Job) bool {
	if len(e.waiting) >= e.config.Queue || job.Input+job.Output > e.config.Memory {
		return false
	}
	e.lastArrival++
	job.arrival = e.lastArrival
	e.enqueue(job)
	e.startStep(now)
	return true
}

// enqueue adds a job to the queue, which is ordered by rank and then by arrival.
func (e *Engine) enqueue(job *Job) {
	index, _ := slices.BinarySearchFunc(e.waiting, job, byRank)
	e.waiting = slices.Insert(e.waiting, index, job)
}

func byRank(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.arrival, b.arrival))
}

// Cancel removes a job.
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

// release frees the memory of a job. The parts that it has computed stay cached until they are evicted.
func (e *Engine) release(j *Job) {
	j.running = false
	e.cache.used -= j.generated
	e.cache.unpin(j.Parts)
	if j.pendingPrefill > 0 {
		e.cache.dropUncomputed(j.Parts, j.Input-j.pendingPrefill)
	}
}

// Next returns when the current step ends; ok is false if the engine is idle.
func (e *Engine) Next() (at time.Time, ok bool) { return e.stepEnd, e.stepping }

// Advance ends the current step if it is due, starts the next one and returns the reports of the ended step.
func (e *Engine) Advance(now time.Time) []Report {
	if !e.stepping || now.Before(e.stepEnd) {
		return nil
	}
	e.stepping = false
	for _, chunk := range e.prefills {
		chunk.job.pendingPrefill -= chunk.tokens
		chunk.job.computed += chunk.tokens
		e.cache.markComputed(chunk.job.Parts, chunk.job.computed)
	}
	reports := e.decode(now)
	e.startStep(now)
	return reports
}

// decode generates the next token of every job whose prefill is complete.
func (e *Engine) decode(now time.Time) (reports []Report) {
	for _, j := range slices.Clone(e.running) {
		if !j.running || j.pendingPrefill > 0 {
			continue
		}
		if !e.allocateToken(j) {
			continue
		}
		j.generated++
		done := j.generated >= j.Output
		if !done && j.generated%e.config.TokensPerEvent != 0 {
			continue
		}
		r := Report{At: now, Job: j.ID, First: j.generated <= e.config.TokensPerEvent}
		if r.First {
			r.At = now.Add(chivetime.Milliseconds(e.config.First * e.config.Speed))
		}
		if done {
			r.Sign = SignDone
			e.running = slices.DeleteFunc(e.running, func(other *Job) bool { return other == j })
			e.release(j)
		}
		reports = append(reports, r)
	}
	return reports
}

// allocateToken allocates memory for one more token of a job. If evicting cached parts does not free enough, it
// preempts running jobs, starting with the last arrived of the least urgent.
func (e *Engine) allocateToken(j *Job) bool {
	for !e.cache.allocate(1) {
		victim := slices.MaxFunc(e.running, byRank)
		e.preempt(victim)
		if victim == j {
			return false
		}
	}
	return true
}

// preempt moves a running job back to the queue. When it is admitted again, it prefills what is no longer cached.
func (e *Engine) preempt(j *Job) {
	e.counts.Preempted++
	e.running = slices.DeleteFunc(e.running, func(other *Job) bool { return other == j })
	e.release(j)
	e.enqueue(j)
}

// startStep admits jobs and starts a step if any job runs.
func (e *Engine) startStep(now time.Time) {
	if e.stepping {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	s := e.planStep()
	e.stepping = true
	e.stepEnd = now.Add(chivetime.Milliseconds(e.config.stepMilliseconds(s)))
}

// admit moves waiting jobs to the running ones while there are free slots and memory.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		j := e.waiting[0]
		cached, ok := e.cache.pin(j.Parts)
		if !ok {
			return
		}
		e.waiting = e.waiting[1:]
		// Tokens generated before a preemption are prefilled again together with the prompt.
		j.pendingPrefill, j.computed, j.running = j.Input-cached+j.generated, cached, true
		e.cache.used += j.generated
		e.counts.Kept += cached
		e.running = append(e.running, j)
	}
}

// planStep selects the tokens that the next step prefills.
func (e *Engine) planStep() (s step) {
	e.prefills = e.prefills[:0]
	s.running = len(e.running)
	remaining := e.config.ReadChunk
	slices.SortFunc(e.running, byRank)
	for _, j := range e.running {
		s.contextTokens += j.computed + j.generated
		tokens := min(j.pendingPrefill, remaining)
		if tokens == 0 {
			continue
		}
		remaining -= tokens
		s.prefillTokens += tokens
		s.attentionPairs += float64(tokens) * (float64(j.computed) + float64(tokens)/2)
		e.prefills = append(e.prefills, prefillChunk{j, tokens})
	}
	e.counts.Read += s.prefillTokens
	return s
}
