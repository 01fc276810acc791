package chivestand

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chivedrift/chivelog"
)

// LogFaults are the ways in which the log stand-in misbehaves, settable by PUT /faults.
type LogFaults struct {
	Down            bool  `json:"down"`
	LoseAnswerEvery int   `json:"lose_answer_every"`
	DelayMs         int64 `json:"delay_ms"`
	RetentionMs     int64 `json:"retention_ms"`
	VMListLagMs     int64 `json:"vm_list_lag_ms"`
}

// Log stands in for the platform's append-only log and its lagging list of VMs.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	appends int
	listed  []listing
}

type stream struct {
	records []chivelog.Record
	next    int64
	grown   chan struct{}
}

type listing struct {
	at  time.Time
	vms []chivelog.VM
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: make(map[string]*stream)}
}

// SetFaults replaces the faults in force.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// SetVMs replaces the list of VMs; readers see it after the configured lag.
func (l *Log) SetVMs(vms []chivelog.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = append(l.listed, listing{at: time.Now(), vms: vms})
}

// Append writes a record and returns its offset.
func (l *Log) Append(name string, data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.next
	s.next++
	s.records = append(s.records, chivelog.Record{Offset: offset, AtUnixMs: time.Now().UnixMilli(), Data: data})
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// Handler serves the log's protocol.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", l.serveAppend)
	mux.HandleFunc("GET /streams/{name}", l.serveRead)
	mux.HandleFunc("GET /vms", l.serveVMs)
	mux.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) {
		var list chivelog.VMs
		if readJSON(w, r, &list) {
			l.SetVMs(list.VMs)
		}
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults LogFaults
		if readJSON(w, r, &faults) {
			l.SetFaults(faults)
		}
	})
	return mux
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// pass applies the faults of one call and reports whether the call may go on.
func (l *Log) pass(w http.ResponseWriter) bool {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	if faults.Down {
		http.Error(w, "outage", http.StatusServiceUnavailable)
	}
	return !faults.Down
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil || !l.pass(w) {
		return
	}
	offset := l.Append(r.PathValue("name"), data)
	if l.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, chivelog.Appended{Offset: offset})
}

func (l *Log) loseAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	every := l.faults.LoseAnswerEvery
	return every > 0 && l.appends%every == 0
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	if !l.pass(w) {
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		batch, grown := l.read(r.PathValue("name"), from)
		if len(batch.Records) > 0 {
			writeJSON(w, batch)
			return
		}
		select {
		case <-grown:
		case <-ctx.Done():
			writeJSON(w, batch)
			return
		}
	}
}

const readLimit = 512

func (l *Log) read(name string, from int64) (chivelog.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.expire(s)
	batch := chivelog.Batch{Next: s.next, First: s.next}
	if len(s.records) > 0 {
		batch.First = s.records[0].Offset
	}
	start := max(from-batch.First, 0)
	if start < int64(len(s.records)) {
		end := min(start+readLimit, int64(len(s.records)))
		batch.Records = append(batch.Records, s.records[start:end]...)
	}
	return batch, s.grown
}

func (l *Log) expire(s *stream) {
	if l.faults.RetentionMs == 0 {
		return
	}
	oldest := time.Now().UnixMilli() - l.faults.RetentionMs
	for len(s.records) > 0 && s.records[0].AtUnixMs < oldest {
		s.records = s.records[1:]
	}
}

func (l *Log) serveVMs(w http.ResponseWriter, _ *http.Request) {
	if !l.pass(w) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := time.Now().Add(-time.Duration(l.faults.VMListLagMs) * time.Millisecond)
	list := chivelog.VMs{}
	for _, change := range l.listed {
		if !change.at.After(visible) {
			list.VMs = change.vms
		}
	}
	writeJSON(w, list)
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller has gone when this fails; a stand-in has nobody left to tell.
	_ = json.NewEncoder(w).Encode(value)
}
