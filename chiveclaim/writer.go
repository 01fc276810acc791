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
)

// WriterName is the name under which the writer registers.
const WriterName = "claim-writer"

const (
	slotRing     = 4096
	batchMost    = 256
	appendEvery  = 40 * time.Millisecond
	readBackMost = 2 * time.Second
	retryEvery   = time.Second
)

// Log is what claims need of the platform's log.
type Log interface {
	// Append writes one record.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records from an offset on, waiting for the first.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (chivelog.Batch, error)
}

// Writer writes and reads the slots that gateways bring to this node, with one goroutine for each.
type Writer struct {
	log    Log
	mesh   *chivewire.Mesh
	logger *slog.Logger
	mu     sync.Mutex
	slots  map[int]*slotWriter
	ctx    context.Context //nolint:containedctx // the lifetime of the slots' goroutines
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// NewWriter returns a writer that has no slot yet.
func NewWriter(log Log, mesh *chivewire.Mesh, logger *slog.Logger) *Writer {
	w := &Writer{log: log, mesh: mesh, logger: logger, slots: make(map[int]*slotWriter)}
	w.ctx, w.stop = context.WithCancel(context.Background())
	mesh.Handle(chivewire.KindClaimWrite, func(from string, body []byte) {
		if m, err := chivewire.Decode[Write](body); err == nil {
			w.offer(m.Slot, job{from: from, write: &m})
		}
	})
	mesh.Handle(chivewire.KindClaimRecord, func(from string, body []byte) {
		if m, err := chivewire.Decode[Ask](body); err == nil {
			w.offer(m.Slot, job{from: from, ask: &m})
		}
	})
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
		s = &slotWriter{w: w, slot: slot, inbox: chivering.New[job](slotRing), index: NewIndex()}
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

// slotWriter owns the index of one slot.
type slotWriter struct {
	w        *Writer
	slot     int
	inbox    *chivering.Ring[job]
	index    *Index
	offset   int64
	unkept   []Entry
	appended time.Time
	keys     atomic.Int64
	appends  atomic.Int64
	entries  atomic.Int64
}

func (s *slotWriter) run(ctx context.Context) {
	defer s.w.done.Done()
	retry := time.NewTicker(retryEvery)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.inbox.Ready():
			s.serve(ctx, s.gather(ctx, first))
		case <-retry.C:
			if len(s.unkept) > 0 {
				s.serve(ctx, nil)
			}
		}
		s.keys.Store(int64(s.index.Len()))
	}
}

// gather takes what else waits, and spaces the appends: the log takes several hundred a second for everybody, so a
// slot makes at most 25 whatever the number of nodes, and batches the rest.
func (s *slotWriter) gather(ctx context.Context, first job) []job {
	if pause := appendEvery - time.Since(s.appended); pause > 0 && first.write != nil {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
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
	entries := s.unkept
	s.unkept = nil
	for _, j := range jobs {
		if j.write != nil {
			entries = append(entries, j.write.Entry)
		}
	}
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

// keep holds outcomes whose append failed or has an unknown result for the next append: a key whose request did not
// run would otherwise stay claimed until the log forgets it. A second copy of an outcome changes nothing.
func (s *slotWriter) keep(entries []Entry) {
	for _, e := range entries {
		if e.Kind == KindOutcome && len(s.unkept) < slotRing {
			s.unkept = append(s.unkept, e)
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
	s.appended = time.Now()
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
