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

// Decoder turns the operator's document into a table; the error names the field or the route.
type Decoder func(data []byte) (*Table, error)

// Service keeps the newest table in force: a version never goes back while the process lives, whatever the store or a peer says.
type Service struct {
	mu        sync.Mutex
	decode    Decoder
	isTable   func(chivelog.KeyedRecord) bool
	logger    *slog.Logger
	table     *Table
	document  []byte
	since     time.Time
	rejected  int64
	listeners []func(*Table)
}

// NewService returns a service without a table; isTable tells the records that hold one from the topic's others.
func NewService(decode Decoder, isTable func(chivelog.KeyedRecord) bool, logger *slog.Logger) *Service {
	return &Service{decode: decode, isTable: isTable, logger: logger}
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
		Rejected int64     `json:"rejected"`
	}{Since: s.since, Rejected: s.rejected}
	if s.table != nil {
		dump.Version, dump.Routes = s.table.Version(), s.table.Routes()
	}
	return dump
}

// Version returns the version in force; -1 before the first.
func (s *Service) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return -1
	}
	return s.table.Version()
}

// Document returns the operator's document in force and its version; -1 before the first.
func (s *Service) Document() ([]byte, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return nil, -1
	}
	return s.document, s.table.Version()
}

// Replace takes a snapshot of the store; a store that lost the record does not take the table out of force.
func (s *Service) Replace(records []chivelog.KeyedRecord) { s.Apply(records) }

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
	ctx := context.Background()
	table, err := s.decode(document)
	if err != nil {
		s.mu.Lock()
		s.rejected++
		s.mu.Unlock()
		chiveevent.TableRejected.Log(ctx, s.logger, slog.String("source", source), slog.String("error", err.Error()))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && table.Version() <= s.table.Version() {
		return
	}
	s.table, s.document, s.since = table, append([]byte(nil), document...), time.Now()
	chiveevent.TableInForce.Log(ctx, s.logger, slog.Int64("version", table.Version()), slog.Int("routes", table.Routes()), slog.String("source", source))
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
