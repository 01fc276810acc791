package chivereport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// line holds the fields of a log line that the report uses.
type line struct {
	Time           time.Time `json:"time"`
	Event          int       `json:"event"`
	Request        string    `json:"request"`
	Route          string    `json:"route"`
	Rank           int       `json:"rank"`
	Endpoint       string    `json:"endpoint"`
	AttemptEnd     string    `json:"ended"`
	Outcome        string    `json:"outcome"`
	Code           string    `json:"code"`
	Status         int       `json:"status"`
	Events         int       `json:"events"`
	TargetMs       int64     `json:"target_ms"`
	PauseMs        int64     `json:"pause_ms"`
	FirstEventMs   int64     `json:"first_ms"`
	DurationMs     int64     `json:"took_ms"`
	ExpectedMs     int64     `json:"expected_ms"`
	PrefillTokens  int64     `json:"tokens_to_read"`
	RepeatedTokens int64     `json:"tokens_again"`
	QueuedTokens   int64     `json:"tokens_ahead"`
	process        string
}

// The events that the report uses; docs/EVENTS.md lists all event numbers.
const (
	eventNodeStarting        = 100
	eventRequestRefused      = 500
	eventRequestEnded        = 504
	eventRequestAccepted     = 505
	eventAttemptSent         = 506
	eventRequestNotCompleted = 508
)

const (
	// maxLineBytes is the limit on the length of a line; a longer line counts as bad.
	maxLineBytes = 1 << 20
	// maxBadLinesListed is how many bad lines are listed; all of them are counted.
	maxBadLinesListed = 10
)

// BadLine is a line that could not be decoded.
type BadLine struct {
	File   string `json:"file"`
	Number int    `json:"line"`
	Why    string `json:"why"`
}

// Read adds the lines of one log, whose name identifies bad lines. The last word before the JSON object of a line names
// its process; if there is none, the name of the log does.
func (r *Report) Read(log io.Reader, name string) error {
	reader := bufio.NewReaderSize(log, maxLineBytes)
	for number := 1; ; number++ {
		raw, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			r.addBadLine(name, number, fmt.Sprintf("longer than %d bytes", maxLineBytes))
			err = skipLine(reader)
			raw = nil
		}
		if len(bytes.TrimSpace(raw)) > 0 {
			r.readLine(raw, name, number)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
}

func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err //nolint:wrapcheck // the caller tells the end from a fault
		}
	}
}

// readLine adds one line. Lines without a JSON object were not written by a node and are ignored.
func (r *Report) readLine(raw []byte, name string, number int) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return
	}
	l := line{process: name}
	if err := json.Unmarshal(raw[start:], &l); err != nil {
		r.addBadLine(name, number, err.Error())
		return
	}
	if words := strings.Fields(string(raw[:start])); len(words) > 0 {
		l.process = words[len(words)-1]
	}
	r.lines++
	r.add(&l)
}

func (r *Report) addBadLine(file string, number int, reason string) {
	r.badLines++
	if len(r.firstBadLines) < maxBadLinesListed {
		r.firstBadLines = append(r.firstBadLines, BadLine{File: file, Number: number, Why: reason})
	}
}
