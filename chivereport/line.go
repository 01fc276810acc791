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

// line holds what the report needs of one log line; the numbers of the events are those of docs/EVENTS.md.
type line struct {
	Time     time.Time `json:"time"`
	Event    int       `json:"event"`
	Request  string    `json:"request"`
	Route    string    `json:"route"`
	Rank     int       `json:"rank"`
	Endpoint string    `json:"endpoint"`
	Ended    string    `json:"ended"`
	Outcome  string    `json:"outcome"`
	Code     string    `json:"code"`
	Status   int       `json:"status"`
	Events   int       `json:"events"`
	Target   int64     `json:"target_ms"`
	Pause    int64     `json:"pause_ms"`
	First    int64     `json:"first_ms"`
	Took     int64     `json:"took_ms"`
	Expected int64     `json:"expected_ms"`
	Reads    int64     `json:"tokens_to_read"`
	Again    int64     `json:"tokens_again"`
	Ahead    int64     `json:"tokens_ahead"`
	process  string
}

// Events of the catalogue that the report looks at.
const (
	eventNodeStarting = 100
	eventRefused      = 500
	eventEnded        = 504
	eventAccepted     = 505
	eventSent         = 506
	eventNotCompleted = 508
)

const (
	// lineMost bounds one line, in bytes; a longer one counts as bad.
	lineMost = 1 << 20
	// badShown is how many bad lines are named.
	badShown = 10
)

// BadLine is a line that could not be read.
type BadLine struct {
	File   string `json:"file"`
	Number int    `json:"line"`
	Why    string `json:"why"`
}

// Read adds the lines of one log, which is named for the bad ones; words in front of a line's object name its process.
func (r *Report) Read(from io.Reader, name string) error {
	reader := bufio.NewReaderSize(from, lineMost)
	for number := 1; ; number++ {
		raw, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			r.bad(name, number, fmt.Sprintf("longer than %d bytes", lineMost))
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

// readLine takes one line. Lines without an object are not the nodes' and are passed over.
func (r *Report) readLine(raw []byte, name string, number int) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return
	}
	l := line{process: name}
	if err := json.Unmarshal(raw[start:], &l); err != nil {
		r.bad(name, number, err.Error())
		return
	}
	if words := strings.Fields(string(raw[:start])); len(words) > 0 {
		l.process = words[len(words)-1]
	}
	r.lines++
	r.take(&l)
}

func (r *Report) bad(file string, number int, why string) {
	r.badLines++
	if len(r.shown) < badShown {
		r.shown = append(r.shown, BadLine{File: file, Number: number, Why: why})
	}
}
