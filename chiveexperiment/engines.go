package chiveexperiment

import (
	"fmt"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveengine"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivetime"
)

// engine is an engine of the play with the runs that it has.
type engine struct {
	w      *world
	number int
	start  int
	of     Engine
	model  *chiveengine.Engine
	up     bool
	// listed tells that the nodes know it as ready.
	listed bool
	runs   map[uint64]*run
	// waking is when the next look at the model is planned.
	waking time.Duration
}

const (
	poolName = "engines"
	// lapsesAfter is how long the nodes go on knowing a crashed engine.
	lapsesAfter = 3600 * time.Millisecond
)

func (w *world) addEngines() {
	for _, of := range w.scenario.Engines {
		for range of.Count {
			e := &engine{w: w, number: len(w.engines), of: of, up: true, listed: true}
			e.reset()
			w.engines = append(w.engines, e)
		}
	}
}

func (e *engine) reset() {
	e.model = chiveengine.New(e.of.traits())
	e.runs = make(map[uint64]*run)
	e.waking = -1
}

// id is the engine's identity; another one with each start.
func (e *engine) id() string { return fmt.Sprintf("e%03d-%d", e.number, e.start) }

func (w *world) engine(id string) *engine {
	for _, e := range w.engines {
		if e.id() == id {
			return e
		}
	}
	return nil
}

// endpoints is the list of engines that the nodes know.
func (w *world) endpoints() (list []chivedirectory.Endpoint) {
	for _, e := range w.engines {
		if e.listed {
			list = append(list, chivedirectory.Endpoint{ID: e.id(), Address: e.id(), Pool: poolName, FailureDomain: string(rune('a' + e.number%3)), Slots: e.of.Slots})
		}
	}
	return list
}

// run is one attempt of a call on an engine.
type run struct {
	call  *call
	place place
	job   *chiveengine.Job
	last  time.Duration
	ended bool
}

// fetch brings the parts that another engine holds, and then hands the run to the engine.
func (e *engine) fetch(r *run) {
	from := e.w.engine(r.place.fetchFrom())
	if from == nil || !from.up || !e.up || e.of.FetchTokensPerMs == 0 {
		e.submit(r)
		return
	}
	held := from.model.Held(r.job.Parts)
	more := held - e.model.Held(r.job.Parts)
	if more <= 0 {
		e.submit(r)
		return
	}
	start := e.start
	e.w.after(chivetime.Milliseconds(e.of.FetchSetupMs+float64(more)/e.of.FetchTokensPerMs), func() {
		if e.up && e.start == start {
			e.model.Adopt(r.job.Parts, held)
		}
		if !r.ended {
			e.submit(r)
		}
	})
}

// submit hands a run to the engine; it is refused there when the engine is full, and breaks when the engine is gone.
func (e *engine) submit(r *run) {
	if !e.up {
		r.call.broke(r, chiveplace.EndedBroken)
		return
	}
	if !e.model.Submit(e.w.now(), r.job) {
		r.call.fullAt(r)
		return
	}
	e.runs[r.job.ID] = r
	e.wake()
}

// wake plans the next look at the model.
func (e *engine) wake() {
	at, ok := e.model.Next()
	if !ok {
		return
	}
	due := at.Sub(beginning)
	if e.waking == due {
		return
	}
	e.waking = due
	start := e.start
	e.w.after(due-e.w.clock, func() {
		if e.start == start && e.up && e.waking == due {
			e.waking = -1
			e.step()
		}
	})
}

func (e *engine) step() {
	for _, report := range e.model.Advance(e.w.now()) {
		r := e.runs[report.Job]
		if r == nil {
			continue
		}
		done := report.Sign == chiveengine.SignDone
		if done {
			delete(e.runs, report.Job)
		}
		e.w.after(report.At.Sub(e.w.now())+chivetime.Milliseconds(e.w.scenario.NetworkMs), func() { r.call.heard(r, done) })
	}
	e.wake()
}

// cancel drops a run.
func (e *engine) cancel(r *run) {
	delete(e.runs, r.job.ID)
	e.model.Cancel(r.job.ID)
}

// crash loses everything, and brings the engine back empty after a while.
func (e *engine) crash(back time.Duration) {
	e.up = false
	for _, id := range sortedKeys(e.runs) {
		r := e.runs[id]
		e.w.after(chivetime.Milliseconds(e.w.scenario.NetworkMs), func() { r.call.broke(r, chiveplace.EndedBroken) })
	}
	e.reset()
	start := e.start
	e.w.after(lapsesAfter, func() {
		if e.start == start {
			e.list(false)
		}
	})
	e.w.after(back, func() {
		e.start++
		e.up = true
		e.list(true)
	})
}

// list changes whether the nodes know the engine as ready.
func (e *engine) list(listed bool) {
	e.listed = listed
	e.w.router.setEndpoints(e.w.endpoints())
}

// reads returns how many tokens of a prompt the engine has to read, and how many of its shared parts it reads although another
// engine holds them.
func (e *engine) reads(prompt *chiverequest.Prompt) (tokens, again int64) {
	tokens = prompt.Input - e.model.Held(prompt.Parts)
	most := int64(0)
	for _, other := range e.w.engines {
		if other != e && other.up {
			most = max(most, other.model.Held(prompt.Parts))
		}
	}
	return tokens, max(0, most-e.model.Held(prompt.Parts))
}

func (w *world) planFaults() {
	for _, f := range w.scenario.Faults {
		w.after(seconds(f.AtS), func() { w.fault(f) })
	}
}

func (w *world) fault(f Fault) {
	switch f.What {
	case faultCrash:
		w.engines[f.Engine].crash(seconds(f.ForS))
	case faultLeave:
		w.engines[f.Engine].list(false)
	case faultSlow:
		e := w.engines[f.Engine]
		e.model.SetSpeed(e.of.Slowness * f.Factor)
		w.after(seconds(f.ForS), func() { e.model.SetSpeed(e.of.Slowness) })
	case faultDeaf:
		w.router.deafen(f.Node, w.clock+seconds(f.ForS))
	}
}
