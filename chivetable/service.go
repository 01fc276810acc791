package chivetable

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivelog"
)

// ServiceName is the name under which the table registers.
const ServiceName = "table"

// noVersion stands for the version before the first table.
const noVersion = -1

// Decoder turns the operator's document into a table; the error names the field or the route.
type Decoder func(data []byte) (*Table, error)

// Service keeps the newest table in force: a version never goes back while the process lives, whatever the store or a peer says.
type Service struct {
	mu       sync.Mutex
	decode   Decoder
	isTable  func(chivelog.KeyedRecord) bool
	logger   *slog.Logger
	table    *Table
	document []byte
	since    time.Time
	// newest is the newest version that this node has heard of, and newestAt when it heard of it first.
	newest    int64
	newestAt  time.Time
	counts    Counts
	listeners []func(*Table)
}

// Counts tells what became of the documents that came, since the start of the process.
type Counts struct {
	// Copies is the number of documents that came, from the store or from peers.
	Copies int64 `json:"copies"`
	// Unneeded is the number of those that were not newer than the table in force.
	Unneeded int64 `json:"unneeded"`
	// Rejected is the number of those that were not usable.
	Rejected int64 `json:"rejected"`
}

// NewService returns a service without a table; isTable tells the records that hold one from the topic's others.
func NewService(decode Decoder, isTable func(chivelog.KeyedRecord) bool, logger *slog.Logger) *Service {
	return &Service{decode: decode, isTable: isTable, logger: logger, newest: noVersion}
}

// OnChange adds a function that hears each table that comes into force; it must not block. All are added before Start.
func (s *Service) OnChange(heard func(*Table)) { s.listeners = append(s.listeners, heard) }

// Start does nothing: a follower and peers bring the documents.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Dump returns the version in force and since when.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	dump := struct {
		Version  int64     `json:"version"`
		Routes   int       `json:"routes"`
		Since    time.Time `json:"since"`
		Newest   int64     `json:"newest_known"`
		BehindMs int64     `json:"behind_ms"`
		Counts   Counts    `json:"documents"`
		// Limited holds the regions of routes and teams that may be served in some only.
		Limited map[string]string `json:"limited_to_regions,omitempty"`
	}{Since: s.since, Newest: s.newest, BehindMs: s.behind(time.Now()).Milliseconds(), Counts: s.counts}
	if s.table != nil {
		dump.Version, dump.Routes, dump.Limited = s.table.Version(), s.table.Routes(), s.table.limited()
	}
	return dump
}

// Version returns the version in force; -1 before the first.
func (s *Service) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version()
}

func (s *Service) version() int64 {
	if s.table == nil {
		return noVersion
	}
	return s.table.Version()
}

// Newest returns the newest version that this node has heard of, in force or not; -1 before the first.
func (s *Service) Newest() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

// Since returns how long the table in force has been so; zero before the first.
func (s *Service) Since() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return 0
	}
	return time.Since(s.since)
}

// Behind returns for how long this node has known that there is a newer version than the one in force; zero when there is none.
func (s *Service) Behind() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behind(time.Now())
}

func (s *Service) behind(now time.Time) time.Duration {
	if s.newest <= s.version() {
		return 0
	}
	return now.Sub(s.newestAt)
}

// Counts returns what became of the documents that came.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Hear takes note that a version exists; source is what the log names.
func (s *Service) Hear(version int64, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hear(version, source)
}

func (s *Service) hear(version int64, source string) {
	if version <= s.newest {
		return
	}
	s.newest, s.newestAt = version, time.Now()
	chiveevent.TableHeard.Log(context.Background(), s.logger, slog.Int64("version", version), slog.Int64("in_force", s.version()), slog.String("source", source))
}

// Document returns the operator's document in force and its version; -1 before the first.
func (s *Service) Document() ([]byte, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document, s.version()
}

// Replace takes a snapshot of the store; a store that lost the record does not take the table out of force.
func (s *Service) Replace(snapshot chivelog.KeyedBatch) { s.Apply(snapshot.Records) }

// Apply takes later records of the store.
func (s *Service) Apply(records []chivelog.KeyedRecord) {
	for _, r := range records {
		if s.isTable(r) {
			s.Learn(r.Value, "store")
		}
	}
}

// Learn takes a document from anywhere; source is what the log names.
func (s *Service) Learn(document []byte, source string) {
	table, err := s.decode(document)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Copies++
	if err != nil {
		s.counts.Rejected++
		chiveevent.TableRejected.Log(context.Background(), s.logger, slog.String("source", source), slog.String("error", err.Error()))
		return
	}
	if table.Version() <= s.version() {
		s.counts.Unneeded++
		return
	}
	s.hear(table.Version(), source)
	s.putInForce(table, document, source)
}

// putInForce makes a table the one in force and tells it; the caller holds the lock.
func (s *Service) putInForce(table *Table, document []byte, source string) {
	s.table, s.document, s.since = table, append([]byte(nil), document...), time.Now()
	chiveevent.TableInForce.Log(context.Background(), s.logger, slog.Int64("version", table.Version()), slog.Int("routes", table.Routes()),
		slog.String("source", source), slog.Int("bytes", len(document)), slog.Int64("heard_ms_ago", s.since.Sub(s.newestAt).Milliseconds()),
		slog.Int64("copies", s.counts.Copies))
	for _, heard := range s.listeners {
		heard(table)
	}
}

// Lost hears that the store does not answer.
func (s *Service) Lost(err error) {
	chiveevent.StoreLost.Log(context.Background(), s.logger, slog.String("for", "configuration"), slog.String("error", err.Error()))
}

// Back hears that the store answers again.
func (s *Service) Back() {
	chiveevent.StoreBack.Log(context.Background(), s.logger, slog.String("for", "configuration"))
}
