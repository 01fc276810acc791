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

// ServiceName is the name under which the service registers.
const ServiceName = "directory"

const (
	// DefaultGrace is how long a missing entry is kept after the store's return. The platform promises that the entries
	// of live endpoints are back within about 2 s, and a node notices the return up to 0.5 s late. An endpoint that has
	// left must get no requests later than 3 s after the return.
	DefaultGrace = 2200 * time.Millisecond
	// expireInterval is how often missing entries and deferred changes are checked.
	expireInterval = 250 * time.Millisecond
)

// Decoder decodes the registration of an endpoint; its error names the endpoint and the field.
type Decoder func(id string, data []byte) (Endpoint, error)

// Service keeps a directory up to date with records of the store and updates from peers.
type Service struct {
	mu         sync.Mutex
	directory  *Directory
	decode     Decoder
	logger     *slog.Logger
	listeners  []func(Diff)
	rejections rejections
	// seenEndpoint is whether any endpoint has been known since the start.
	seenEndpoint        bool
	onPeerAnswersNeeded func()
	onRestored          func()
	tasks               chivekernel.Duties
}

// NewService returns a service without endpoints; grace is how long a missing entry is kept after the store's return.
func NewService(decode Decoder, grace time.Duration, logger *slog.Logger) *Service {
	return &Service{directory: New(grace), decode: decode, logger: logger, rejections: newRejections(), onPeerAnswersNeeded: func() {}, onRestored: func() {}}
}

// OnStale sets the function that is called when this node needs to know when the store answered other nodes; it must
// not block.
func (s *Service) OnStale(callback func()) { s.onPeerAnswersNeeded = callback }

// OnRestored sets the function that is called when the store is found to have been restored from an older copy; it must
// not block.
func (s *Service) OnRestored(callback func()) { s.onRestored = callback }

// OnChange adds a listener, which receives every change in order and must not block. All listeners are added before
// Start.
func (s *Service) OnChange(listener func(Diff)) { s.listeners = append(s.listeners, listener) }

// Start begins the periodic check for entries that stay missing.
func (s *Service) Start(ctx context.Context) error {
	s.tasks.Begin(ctx, s.run)
	return nil
}

// Stop ends the periodic check.
func (s *Service) Stop(context.Context) error {
	s.tasks.End()
	return nil
}

// Dump returns the endpoints, the position, the counts of unusable records and the deferred records for state dumps.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Era       int64          `json:"era"`
		Offset    int64          `json:"offset"`
		Rejected  rejectionStats `json:"rejected"`
		Endpoints []Endpoint     `json:"endpoints"`
		Deferred  []deferredDump `json:"deferred,omitempty"`
	}{s.directory.Newest().Era(), s.directory.Newest().Offset(), s.rejections.stats(), s.directory.Endpoints(), s.directory.dumpDeferred(time.Now())}
}

func (s *Service) run(ctx context.Context) {
	chivekernel.Every(ctx, expireInterval, func(now time.Time) {
		s.applyAndNotify(func() bool { return s.directory.Expire(now) }, "expiry")
	})
}

// Replace applies a complete snapshot of the store.
func (s *Service) Replace(snapshot chivelog.KeyedBatch) {
	changes := s.decodeRecords(snapshot.Records)
	s.applyAndNotify(func() bool { return s.directory.Replace(time.Now(), changes, snapshot.Next) }, "snapshot")
}

// Apply applies records read from the store after the snapshot.
func (s *Service) Apply(records []chivelog.KeyedRecord) {
	s.Learn(Update{Changes: s.decodeRecords(records)}, "store")
}

// Learn applies an update; source is its origin as named in the log.
func (s *Service) Learn(update Update, source string) {
	s.applyAndNotify(func() bool { return s.directory.Learn(time.Now(), update) }, source)
}

// Answered records that the store answered a request for endpoints.
func (s *Service) Answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.StoreAnswered(time.Now())
}

// AnsweredElse records that the store answered a request for something else.
func (s *Service) AnsweredElse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.StoreHeard(time.Now())
}

// Lost records that the store does not answer.
func (s *Service) Lost(err error) {
	s.mu.Lock()
	s.directory.StoreLost()
	s.mu.Unlock()
	chiveevent.StoreLost.Log(context.Background(), s.logger, slog.String("for", "endpoints"), slog.String("error", err.Error()))
	s.onPeerAnswersNeeded()
}

// Back records that the store answers again.
func (s *Service) Back() {
	chiveevent.StoreBack.Log(context.Background(), s.logger, slog.String("for", "endpoints"))
	s.onPeerAnswersNeeded()
}

// Staleness returns how far back this node needs the times at which the store answered other nodes; 0 if it does not
// need them.
func (s *Service) Staleness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Staleness(time.Now())
}

// Answers returns how long ago the store answered this node, for the answers within a period before now.
func (s *Service) Answers(within time.Duration) []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Answers(time.Now(), within)
}

// HearAnswers adds answers of the store to another node, as ages relative to a reference time. If they show that only
// this node was cut off, the entries found missing are dropped at once.
func (s *Service) HearAnswers(reference time.Time, ages []time.Duration) {
	times := make([]time.Time, 0, len(ages))
	for _, age := range ages {
		times = append(times, reference.Add(-age))
	}
	s.applyAndNotify(func() bool {
		s.directory.HearAnswers(times)
		return s.directory.Expire(time.Now())
	}, "store answered other nodes")
}

// Update returns the changes for a peer that has received everything up to a position.
func (s *Service) Update(after chivelog.Position) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Update(time.Now(), after)
}

// Deferred returns at most limit records that this node does not apply yet.
func (s *Service) Deferred(limit int) []Deferred {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Deferred(time.Now(), limit)
}

// Knew reports whether any endpoint has been known since the start, even if it has been removed.
func (s *Service) Knew() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seenEndpoint
}

// Newest returns the position of the newest change received; -1 before the first.
func (s *Service) Newest() chivelog.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Newest()
}

// decodeRecords converts records to changes.
func (s *Service) decodeRecords(records []chivelog.KeyedRecord) []Change {
	changes := make([]Change, 0, len(records))
	for _, r := range records {
		if endpoint, ok := s.decodeRecord(r); ok {
			changes = append(changes, Change{Position: r.Position, Read: true, Endpoint: endpoint})
			continue
		}
		if r.Key != "" {
			isRemoval := len(r.Value) == 0
			changes = append(changes, Change{Position: r.Position, Gone: isRemoval, Unusable: !isRemoval, Read: true, Endpoint: Endpoint{ID: r.Key}})
		}
	}
	return changes
}

// decodeRecord decodes a record; it reports false if the record is empty or unusable.
func (s *Service) decodeRecord(r chivelog.KeyedRecord) (Endpoint, bool) {
	if r.Key != "" && len(r.Value) == 0 {
		s.clearRejection(r.Key)
		return Endpoint{}, false
	}
	endpoint, err := s.decode(r.Key, r.Value)
	if err != nil || r.Key == "" {
		s.recordRejection(r, err)
		return Endpoint{}, false
	}
	s.clearRejection(r.Key)
	return endpoint, true
}

// clearRejection records that the record of a key is usable again or has been removed.
func (s *Service) clearRejection(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejections.resolve(key)
}

// recordRejection counts an unusable record and logs it, unless too many have been logged.
func (s *Service) recordRejection(r chivelog.KeyedRecord, err error) {
	reason := "the record has no key"
	if err != nil {
		reason = cutReason(err.Error())
	}
	s.mu.Lock()
	count, shouldLog := s.rejections.record(time.Now(), r.Key)
	s.mu.Unlock()
	if shouldLog {
		chiveevent.EndpointRejected.Log(context.Background(), s.logger, slog.String("key", r.Key), slog.Int64("offset", r.Position.Offset()),
			slog.String("error", reason), slog.Int64("count", count))
	}
}

// applyAndNotify applies a change and calls the listeners. They are called under the lock, so that they receive changes
// in order.
func (s *Service) applyAndNotify(apply func() bool, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	eraBefore, hadChanges := s.directory.Era(), s.directory.Newest() >= 0
	changed := apply()
	if hadChanges && s.directory.Era() > eraBefore {
		s.notifyRestored(eraBefore, source)
	}
	if !changed {
		return
	}
	diff := s.takeDiff(source)
	for _, listener := range s.listeners {
		listener(diff)
	}
}

// notifyRestored logs that the store was restored from an older copy and calls the function set with OnRestored; the
// caller holds the lock.
func (s *Service) notifyRestored(eraBefore int64, source string) {
	missing, doubtful := s.directory.Uncertain()
	chiveevent.StoreRestored.Log(context.Background(), s.logger, slog.Int64("era", s.directory.Era()), slog.Int64("era_before", eraBefore),
		slog.Int64("offset", s.directory.Newest().Offset()), slog.Int("endpoints_missing", missing), slog.Int("endpoints_doubted", doubtful),
		slog.String("source", source))
	s.onRestored()
}
