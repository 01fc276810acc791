package chiveevent

import (
	"context"
	"log"
	"log/slog"
	"strings"
	"sync"
	"time"
)

const (
	// libraryInterval is the minimum time between two lines of libraries, for panics and for all others.
	libraryInterval = 5 * time.Second
	// maxLibraryTextBytes and maxStackBytes bound the text of such a line and the stack of a panic.
	maxLibraryTextBytes = 200
	maxStackBytes       = 4 << 10
	panicPrefix         = "http: panic serving"
)

// TakeOverStandardLog makes the standard logger, to which libraries such as net/http write, log event 111 to the logger.
func TakeOverStandardLog(logger *slog.Logger) {
	log.SetFlags(0)
	log.SetOutput(NewLibraryLog(logger))
}

// LibraryLog logs the lines that libraries write to the standard logger, a limited number of them.
type LibraryLog struct {
	panics, others limitedLines
}

// NewLibraryLog returns a LibraryLog that writes to a logger.
func NewLibraryLog(logger *slog.Logger) *LibraryLog {
	return &LibraryLog{panics: limitedLines{logger: logger}, others: limitedLines{logger: logger}}
}

// Write logs a line. Of its text only the part before the first quotation mark is kept, since libraries quote what they have
// received.
func (l *LibraryLog) Write(line []byte) (int, error) {
	first, rest, _ := strings.Cut(strings.TrimSpace(string(line)), "\n")
	text, _, _ := strings.Cut(first, `"`)
	attributes := []slog.Attr{slog.String("text", strings.ToValidUTF8(text[:min(len(text), maxLibraryTextBytes)], ""))}
	if strings.HasPrefix(first, panicPrefix) {
		l.panics.log(append(attributes, slog.String("stack", rest[:min(len(rest), maxStackBytes)])))
		return len(line), nil
	}
	l.others.log(attributes)
	return len(line), nil
}

// limitedLines logs the first line of an interval at once, and the last one of the others with their count at its end.
type limitedLines struct {
	logger *slog.Logger
	mu     sync.Mutex
	// last is the newest line that was not logged; lines counts those.
	last   []slog.Attr
	lines  int
	active bool
}

func (l *limitedLines) log(attributes []slog.Attr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = attributes
	l.lines++
	if !l.active {
		l.begin()
	}
}

// begin logs the lines so far and begins an interval.
func (l *limitedLines) begin() {
	LibraryLine.Log(context.Background(), l.logger, append(l.last, slog.Int("lines", l.lines))...)
	l.last, l.lines, l.active = nil, 0, true
	time.AfterFunc(libraryInterval, l.end)
}

// end ends an interval, and begins another one if lines have come meanwhile.
func (l *limitedLines) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = false
	if l.lines > 0 {
		l.begin()
	}
}
