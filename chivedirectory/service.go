package chivedirectory

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivelog"
)

// ServiceName is the name under which the directory registers.
const ServiceName = "directory"

const (
	// DefaultGrace is how long a lapsed entry is kept after the store's return: the platform promises that the entries of
	// living endpoints are back within about two seconds. A node notices the return up to half a second late, and three seconds
	// after it an endpoint that has left must get nothing any more.
	DefaultGrace = 2200 * time.Millisecond
	// expireEvery is how often missing entries are looked at.
	expireEvery = 250 * time.Millisecond
)

// Decoder turns an endpoint's registration into an endpoint; the error names the endpoint and the field.
type Decoder func(id string, data []byte) (Endpoint, error)

// Service keeps the directory up to date from the store's records and from peers.
type Service struct {
	mu        sync.Mutex
	directory *Directory
	decode    Decoder
	logger    *slog.Logger
	listeners []func(Diff)
	rejected  rejections
	// knew reports whether an endpoint has ever been known.
	knew  bool
	stale func()
	// restored is called when the store is seen to have come back from an older copy.
	restored func()
	duties   chivekernel.Duties
}

// NewService returns a directory without endpoints.
func NewService(decode Decoder, grace time.Duration, logger *slog.Logger) *Service {
	return &Service{directory: New(grace), decode: decode, logger: logger, rejected: newRejections(), stale: func() {}, restored: func() {}}
}

// OnStale takes what is called when it begins to matter whether the store answered other nodes; it must not block.
func (s *Service) OnStale(stale func()) { s.stale = stale }

// OnRestored takes what is called when the store is seen to have come back from an older copy; it must not block.
func (s *Service) OnRestored(restored func()) { s.restored = restored }

// OnChange adds a function that is called with every change, in their order; it must not block. All are added before Start.
func (s *Service) OnChange(handle func(Diff)) { s.listeners = append(s.listeners, handle) }

// Start begins to look for entries that stay missing.
func (s *Service) Start(ctx context.Context) error {
	s.duties.Begin(ctx, s.run)
	return nil
}

// Stop ends that.
func (s *Service) Stop(context.Context) error {
	s.duties.End()
	return nil
}

// Dump returns the endpoints.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Era       int64      `json:"era"`
		Offset    int64      `json:"offset"`
		Rejected  rejected   `json:"rejected"`
		Endpoints []Endpoint `json:"endpoints"`
	}{s.directory.Newest().Era(), s.directory.Newest().Offset(), s.rejected.state(), s.directory.Endpoints()}
}

func (s *Service) run(ctx context.Context) {
	chivekernel.Every(ctx, expireEvery, func(now time.Time) {
		s.change(func() bool { return s.directory.Expire(now) }, "time passed")
	})
}

// Replace takes a snapshot of the store.
func (s *Service) Replace(snapshot chivelog.KeyedBatch) {
	changes := s.changes(snapshot.Records)
	s.change(func() bool { return s.directory.Replace(time.Now(), changes, snapshot.Next) }, "snapshot")
}

// Apply takes later records of the store.
func (s *Service) Apply(records []chivelog.KeyedRecord) {
	s.Learn(Update{Changes: s.changes(records)}, "store")
}

// Learn takes an update from anywhere; source is what the log names.
func (s *Service) Learn(update Update, source string) {
	s.change(func() bool { return s.directory.Learn(time.Now(), update) }, source)
}

// Answered hears that the store answered about endpoints.
func (s *Service) Answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.StoreAnswered(time.Now())
}

// AnsweredElse hears that the store answered about something else.
func (s *Service) AnsweredElse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.StoreHeard(time.Now())
}

// Lost hears that the store does not answer.
func (s *Service) Lost(err error) {
	s.mu.Lock()
	s.directory.StoreLost()
	s.mu.Unlock()
	chiveevent.StoreLost.Log(context.Background(), s.logger, slog.String("for", "endpoints"), slog.String("error", err.Error()))
	s.stale()
}

// Back hears that the store answers again.
func (s *Service) Back() {
	chiveevent.StoreBack.Log(context.Background(), s.logger, slog.String("for", "endpoints"))
	s.stale()
}

// Staleness returns how far back it matters whether the store answered other nodes; 0 where this node knows enough.
func (s *Service) Staleness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Staleness(time.Now())
}

// Answers returns how long ago the store answered this node, as far as that is within a time.
func (s *Service) Answers(within time.Duration) []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Answers(time.Now(), within)
}

// HearAnswers takes how long ago, seen from a moment, the store answered another node. When that shows that only this node was
// cut off, the entries that went missing meanwhile are dropped at once.
func (s *Service) HearAnswers(from time.Time, ages []time.Duration) {
	moments := make([]time.Time, 0, len(ages))
	for _, age := range ages {
		moments = append(moments, from.Add(-age))
	}
	s.change(func() bool {
		s.directory.HearAnswers(moments)
		return s.directory.Expire(time.Now())
	}, "the store answered other nodes all the while")
}

// Update returns what a peer lacks that has taken everything up to a position.
func (s *Service) Update(after chivelog.Position) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Update(time.Now(), after)
}

// Knew reports whether an endpoint has been known since the start, be it gone or not.
func (s *Service) Knew() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knew
}

// Newest returns the position of the newest change.
func (s *Service) Newest() chivelog.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Newest()
}

// changes decodes records. One that is not usable says that there is no endpoint, as a removal would: what it said before it is not true any
// more, and another writer may have put it there.
func (s *Service) changes(records []chivelog.KeyedRecord) []Change {
	changes := make([]Change, 0, len(records))
	for _, r := range records {
		if endpoint, ok := s.read(r); ok {
			changes = append(changes, Change{Position: r.Position, Read: true, Endpoint: endpoint})
			continue
		}
		if r.Key != "" {
			changes = append(changes, Change{Position: r.Position, Gone: true, Read: true, Endpoint: Endpoint{ID: r.Key}})
		}
	}
	return changes
}

// read decodes a record; false for one that says, by being empty or not usable, that there is no endpoint.
func (s *Service) read(r chivelog.KeyedRecord) (Endpoint, bool) {
	if r.Key != "" && len(r.Value) == 0 {
		s.accept(r.Key)
		return Endpoint{}, false
	}
	endpoint, err := s.decode(r.Key, r.Value)
	if err != nil || r.Key == "" {
		s.reject(r, err)
		return Endpoint{}, false
	}
	s.accept(r.Key)
	return endpoint, true
}

// accept notes that a key's record is usable, or gone.
func (s *Service) accept(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected.forget(key)
}

// reject notes a record that is not usable and tells of it, as far as that does not flood the log.
func (s *Service) reject(r chivelog.KeyedRecord, err error) {
	reason := "the record has no key"
	if err != nil {
		reason = err.Error()
	}
	s.mu.Lock()
	count, tell := s.rejected.note(time.Now(), r.Key, reason)
	s.mu.Unlock()
	if tell {
		chiveevent.EndpointRejected.Log(context.Background(), s.logger, slog.String("key", r.Key), slog.Int64("offset", r.Position.Offset()),
			slog.String("error", reason), slog.Int64("count", count))
	}
}

// change carries a change out and tells it. The listeners are called under the lock, so that they hear changes in their order.
func (s *Service) change(apply func() bool, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, known := s.directory.Era(), s.directory.Newest() >= 0
	changed := apply()
	if known && s.directory.Era() > before {
		s.tellRestored(before, source)
	}
	if !changed {
		return
	}
	diff := s.diff(source)
	for _, handle := range s.listeners {
		handle(diff)
	}
}

// tellRestored tells operators, and who keeps something in the store, that the store has come back from an older copy; the caller holds the lock.
func (s *Service) tellRestored(before int64, source string) {
	missing, doubted := s.directory.Uncertain()
	chiveevent.StoreRestored.Log(context.Background(), s.logger, slog.Int64("era", s.directory.Era()), slog.Int64("era_before", before),
		slog.Int64("offset", s.directory.Newest().Offset()), slog.Int("endpoints_missing", missing), slog.Int("endpoints_doubted", doubted),
		slog.String("source", source))
	s.restored()
}
