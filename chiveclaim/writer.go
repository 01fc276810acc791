package chiveclaim

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivelog"
	"chivedrift/chivering"
	"chivedrift/chivewire"

	"golang.org/x/time/rate"
)

// WriterName is the name under which the writer registers.
const WriterName = "claim-writer"

const (
	slotRing     = 4096
	batchMost    = 256
	fleetAppends = 200
	appendBurst  = 10
	readBackMost = 2 * time.Second
	flushEvery   = 2 * time.Second
)

// Writer writes and reads the slots that gateways bring to this node, with one goroutine for each.
type Writer struct {
	log    chivelog.Log
	mesh   *chivewire.Mesh
	logger *slog.Logger
	mu     sync.Mutex
	slots  map[int]*slotWriter
	ctx    context.Context //nolint:containedctx // the lifetime of the slots' goroutines
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// NewWriter returns a writer that has no slot yet.
func NewWriter(log chivelog.Log, mesh *chivewire.Mesh, logger *slog.Logger) *Writer {
	w := &Writer{log: log, mesh: mesh, logger: logger, slots: make(map[int]*slotWriter)}
	w.ctx, w.stop = context.WithCancel(context.Background())
	chivewire.Receive(mesh, chivewire.KindClaimWrite, func(from string, m Write) { w.offer(m.Slot, job{from: from, write: &m}) })
	chivewire.Receive(mesh, chivewire.KindClaimRecord, func(from string, m Ask) { w.offer(m.Slot, job{from: from, ask: &m}) })
	return w
}

// offer puts a job on its slot's ring; when that is full the gateway hears nothing, and answers not-run after its wait.
func (w *Writer) offer(slot int, j job) {
	if slot < 0 || slot >= Slots {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	s, ok := w.slots[slot]
	if !ok {
		s = &slotWriter{w: w, slot: slot, inbox: chivering.New[job](slotRing), index: NewIndex(), pace: rate.NewLimiter(fleetAppends/Slots, appendBurst)}
		w.slots[slot] = s
		w.done.Add(1)
		go s.run(w.ctx)
	}
	s.inbox.Offer(j)
}

// Start does nothing: a slot's goroutine starts with its first job.
func (w *Writer) Start(context.Context) error { return nil }

// Stop ends the goroutines.
func (w *Writer) Stop(context.Context) error {
	w.mu.Lock()
	w.stop()
	w.mu.Unlock()
	w.done.Wait()
	return nil
}

// SlotState is the dump of one slot.
type SlotState struct {
	Slot    int             `json:"slot"`
	Keys    int64           `json:"keys"`
	Appends int64           `json:"appends"`
	Entries int64           `json:"entries"`
	Ring    chivering.Depth `json:"ring"`
}

// Dump returns the slots that this node writes.
func (w *Writer) Dump() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	states := make([]SlotState, 0, len(w.slots))
	for _, s := range w.slots {
		states = append(states, SlotState{s.slot, s.keys.Load(), s.appends.Load(), s.entries.Load(), s.inbox.Depth()})
	}
	return states
}

// job is one message from a gateway.
type job struct {
	from  string
	write *Write
	ask   *Ask
}

// claims reports whether the job is a claim, which somebody waits for.
func (j job) claims() bool { return j.write != nil && j.write.Entry.Kind == KindClaim }

// slotWriter owns the index of one slot.
//
// Claims are appended at once, within the slot's part of what the log takes; outcomes wait for the next claim, for
// somebody who asks for them, or for two seconds, since nobody's execution hangs on them.
type slotWriter struct {
	w        *Writer
	slot     int
	inbox    *chivering.Ring[job]
	index    *Index
	offset   int64
	outcomes []Entry
	pace     *rate.Limiter
	keys     atomic.Int64
	appends  atomic.Int64
	entries  atomic.Int64
}

func (s *slotWriter) run(ctx context.Context) {
	defer s.w.done.Done()
	flush := time.NewTicker(flushEvery)
	defer flush.Stop()
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return
		case first := <-s.inbox.Ready():
			s.serve(ctx, s.gather(ctx, first))
		case <-flush.C:
			if len(s.outcomes) > 0 {
				s.serve(ctx, nil)
			}
		}
		s.keys.Store(int64(s.index.Len()))
	}
}

// flush writes the outcomes that still wait when the node stops; others would answer "unknown" for their keys.
func (s *slotWriter) flush() {
	if len(s.outcomes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), readBackMost)
	defer cancel()
	s.append(ctx, s.outcomes)
}

// gather takes what else waits, and spaces the appends: the log takes several hundred a second for everybody, so all
// slots together make at most two hundred in the long run whatever the number of nodes, and batch the rest.
func (s *slotWriter) gather(ctx context.Context, first job) []job {
	if first.claims() {
		// The wait ends early only when the node stops.
		_ = s.pace.Wait(ctx)
	}
	jobs := []job{first}
	for len(jobs) < batchMost {
		select {
		case j := <-s.inbox.Ready():
			jobs = append(jobs, j)
		default:
			return jobs
		}
	}
	return jobs
}

func (s *slotWriter) serve(ctx context.Context, jobs []job) {
	entries := s.due(jobs)
	target, failed := s.append(ctx, entries)
	if failed || target == s.offset {
		s.keep(entries)
	}
	if !failed {
		failed = s.readUpTo(ctx, target) != nil
	}
	for _, j := range jobs {
		s.reply(j, failed)
	}
}

// due returns what to append now, outcomes before claims: a claim of a key that was freed must come after the record
// that frees it.
func (s *slotWriter) due(jobs []job) []Entry {
	var claims []Entry
	urgent := len(jobs) == 0
	for _, j := range jobs {
		switch {
		case j.claims():
			claims = append(claims, j.write.Entry)
		case j.write != nil:
			s.outcomes = append(s.outcomes, j.write.Entry)
		default:
			urgent = urgent || s.holdsOutcomeOf(j.ask.Key)
		}
	}
	if len(claims) == 0 && !urgent && len(s.outcomes) < batchMost {
		return nil
	}
	entries := s.outcomes
	s.outcomes = nil
	return append(entries, claims...)
}

func (s *slotWriter) holdsOutcomeOf(key string) bool {
	for _, e := range s.outcomes {
		if e.Key == key {
			return true
		}
	}
	return false
}

// keep holds outcomes whose append failed or has an unknown result for the next append: a key whose request did not
// run would otherwise stay claimed until the log forgets it. A second copy of an outcome changes nothing.
func (s *slotWriter) keep(entries []Entry) {
	for _, e := range entries {
		if e.Kind == KindOutcome && len(s.outcomes) < slotRing {
			s.outcomes = append(s.outcomes, e)
		}
	}
}

// append writes the entries and returns the offset up to which the stream must be read to judge them.
//
// After an unknown result the record may be there or may come; reading on decides for those entries that show up,
// and those that do not are answered as failed, which makes their gateways not run them.
func (s *slotWriter) append(ctx context.Context, entries []Entry) (target int64, failed bool) {
	if len(entries) == 0 {
		return s.offset, false
	}
	data, err := encodeBatch(entries)
	if err != nil {
		return 0, true
	}
	s.appends.Add(1)
	s.entries.Add(int64(len(entries)))
	offset, err := s.w.log.Append(ctx, StreamOf(s.slot), data)
	if err == nil {
		return offset + 1, false
	}
	chiveevent.ClaimLogDown.Log(ctx, s.w.logger, slog.Int("slot", s.slot), slog.String("error", err.Error()))
	return s.offset, !errors.Is(err, chivelog.ErrUnknown)
}

func (s *slotWriter) readUpTo(ctx context.Context, target int64) error {
	ctx, cancel := context.WithTimeout(ctx, readBackMost)
	defer cancel()
	for {
		b, err := s.w.log.Read(ctx, StreamOf(s.slot), s.offset, 0)
		if err != nil {
			return err
		}
		s.take(b)
		if s.offset >= target && s.offset >= b.Next {
			return nil
		}
	}
}

func (s *slotWriter) take(b chivelog.Batch) {
	for _, r := range b.Records {
		s.offset = r.Offset + 1
		entries, err := decodeBatch(r.Data)
		if err != nil {
			continue
		}
		for _, e := range entries {
			e.AtMs = r.AtUnixMs
			s.index.Apply(r.Offset, e)
		}
	}
	s.offset = max(s.offset, b.First)
	s.index.Expire(b.First)
}

func (s *slotWriter) reply(j job, failed bool) {
	var r Reply
	var window time.Duration
	switch {
	case j.write != nil && j.write.Entry.Kind == KindOutcome:
		return
	case j.write != nil:
		r = Reply{Key: j.write.Entry.Key, Request: j.write.Entry.Request}
		window = time.Duration(j.write.WindowS) * time.Second
	default:
		r = Reply{Key: j.ask.Key, Request: j.ask.Request}
		window = time.Duration(j.ask.WindowS) * time.Second
	}
	r.Standing = s.index.Standing(time.Now(), r.Key, r.Request, window)
	r.Failed = failed || r.Standing == StandingUnseen
	outcome, free := s.index.OwnerOutcome(r.Key)
	r.Free = free
	if outcome != nil {
		r.Known, r.Outcome = true, *outcome
	}
	// A lost reply makes the gateway answer not-run after its wait.
	_ = s.w.mesh.Send(j.from, chivewire.KindClaimResult, r)
}
