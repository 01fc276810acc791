package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, a line each, with the milliseconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

func (r *record) log(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.1f  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, arguments...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The process ends after this; a record that is cut short shows the failed write.
	_ = r.out.Flush()
	_ = r.file.Close()
}
