package chivetable

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivelog"
)

// ServiceName is the name under which the service registers.
const ServiceName = "table"

// noVersion is the version before the first table.
const noVersion = -1

// Decoder decodes a configuration document; its error names the field or the route.
type Decoder func(data []byte) (*Table, error)

// Service holds the newest table. While the process runs, it never goes back to an older version, whatever the store or
// a peer sends.
type Service struct {
	mu           sync.Mutex
	decode       Decoder
	isTable      func(chivelog.KeyedRecord) bool
	logger       *slog.Logger
	table        *Table
	document     []byte
	inForceSince time.Time
	// newestVersion is the newest version known to exist, and newestSeenAt when this node first learned of it.
	newestVersion int64
	newestSeenAt  time.Time
	counts        Counts
	listeners     []func(*Table)
}

// Counts holds the number of documents received since the start of the process, by result.
type Counts struct {
	// Copies is the number of documents received from the store or from peers.
	Copies int64 `json:"copies"`
	// Unneeded is the number of those that were not newer than the table in force.
	Unneeded int64 `json:"unneeded"`
	// Rejected is the number of those that were invalid.
	Rejected int64 `json:"rejected"`
}

// NewService returns a service without a table; isTable reports whether a record of the topic holds a configuration
// document.
func NewService(decode Decoder, isTable func(chivelog.KeyedRecord) bool, logger *slog.Logger) *Service {
	return &Service{decode: decode, isTable: isTable, logger: logger, newestVersion: noVersion}
}

// OnChange adds a listener, which receives each table that comes into force and must not block. All listeners are added
// before Start.
func (s *Service) OnChange(listener func(*Table)) { s.listeners = append(s.listeners, listener) }

// Start does nothing: documents arrive from the store and from peers through Replace, Apply and Learn.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Dump returns the version in force and the document counts for state dumps.
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
		// Limited holds the allowed regions of routes and teams that are limited to some.
		Limited map[string]string `json:"limited_to_regions,omitempty"`
	}{Since: s.inForceSince, Newest: s.newestVersion, BehindMs: s.behind(time.Now()).Milliseconds(), Counts: s.counts}
	if s.table != nil {
		dump.Version, dump.Routes, dump.Limited = s.table.Version(), s.table.Routes(), s.table.regionLimits()
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

// Newest returns the newest version known to exist, in force or not; -1 before the first.
func (s *Service) Newest() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestVersion
}

// Since returns how long the present table has been in force; 0 before the first.
func (s *Service) Since() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return 0
	}
	return time.Since(s.inForceSince)
}

// Behind returns how long this node has known of a version newer than the one in force; 0 if there is none.
func (s *Service) Behind() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behind(time.Now())
}

func (s *Service) behind(now time.Time) time.Duration {
	if s.newestVersion <= s.version() {
		return 0
	}
	return now.Sub(s.newestSeenAt)
}

// Counts returns the number of documents received, by result.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Hear records that a version exists; source is its origin as named in the log.
func (s *Service) Hear(version int64, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeVersion(version, source)
}

func (s *Service) observeVersion(version int64, source string) {
	if version <= s.newestVersion {
		return
	}
	s.newestVersion, s.newestSeenAt = version, time.Now()
	chiveevent.TableHeard.Log(context.Background(), s.logger, slog.Int64("version", version), slog.Int64("in_force", s.version()), slog.String("source", source))
}

// Document returns the configuration document in force and its version; -1 before the first.
func (s *Service) Document() ([]byte, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document, s.version()
}

// Replace applies a snapshot of the store. If the snapshot has no document, the present table stays in force.
func (s *Service) Replace(snapshot chivelog.KeyedBatch) { s.Apply(snapshot.Records) }

// Apply applies records read from the store after the snapshot.
func (s *Service) Apply(records []chivelog.KeyedRecord) {
	for _, r := range records {
		if s.isTable(r) {
			s.Learn(r.Value, "store")
		}
	}
}

// Learn decodes a document and puts it in force if it is newer; source is its origin as named in the log.
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
	s.observeVersion(table.Version(), source)
	s.activate(table, document, source)
}

// activate puts a table in force and calls the listeners; the caller holds the lock.
func (s *Service) activate(table *Table, document []byte, source string) {
	s.table, s.document, s.inForceSince = table, append([]byte(nil), document...), time.Now()
	chiveevent.TableInForce.Log(context.Background(), s.logger, slog.Int64("version", table.Version()), slog.Int("routes", table.Routes()),
		slog.String("source", source), slog.Int("bytes", len(document)), slog.Int64("heard_ms_ago", s.inForceSince.Sub(s.newestSeenAt).Milliseconds()),
		slog.Int64("copies", s.counts.Copies))
	for _, listener := range s.listeners {
		listener(table)
	}
}

// Lost logs that the store does not answer.
func (s *Service) Lost(err error) {
	chiveevent.StoreLost.Log(context.Background(), s.logger, slog.String("for", "configuration"), slog.String("error", err.Error()))
}

// Back logs that the store answers again.
func (s *Service) Back() {
	chiveevent.StoreBack.Log(context.Background(), s.logger, slog.String("for", "configuration"))
}
