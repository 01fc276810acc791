package chiveevent

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
)

// Event is one kind of log line, identified by its number.
type Event struct {
	number int
	level  slog.Level
	text   string
	advice string
}

var catalogue []Event

func define(number int, level slog.Level, text, advice string) Event {
	e := Event{number: number, level: level, text: text, advice: advice}
	catalogue = append(catalogue, e)
	return e
}

// Number returns the number of the event. A number never changes its meaning.
func (e Event) Number() int { return e.number }

// Level returns the level at which the event is logged.
func (e Event) Level() slog.Level { return e.level }

// Text returns the message, which is the same in every line of the event.
func (e Event) Text() string { return e.text }

// Advice returns what operators should do when the event occurs.
func (e Event) Advice() string { return e.advice }

// Log logs the event with the given attributes.
func (e Event) Log(ctx context.Context, logger *slog.Logger, attributes ...slog.Attr) {
	all := make([]slog.Attr, 0, len(attributes)+1)
	all = append(all, slog.Int("event", e.number))
	logger.LogAttrs(ctx, e.level, e.text, append(all, attributes...)...)
}

// maxRequestIDBytes bounds the length of a request ID in a log line.
const maxRequestIDBytes = 64

// Request returns the attribute for a request ID. Callers choose the ID, so its length is bounded here; the log handler
// escapes it.
func Request(id string) slog.Attr {
	if len(id) > maxRequestIDBytes {
		id = id[:maxRequestIDBytes] + "..."
	}
	return slog.String("request", id)
}

// Content returns the attribute that identifies the content of a request; it is the same for all tries of the request,
// on all nodes.
func Content(content fmt.Stringer) slog.Attr { return slog.String("content", content.String()) }

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	sorted := append([]Event(nil), catalogue...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].number < sorted[j].number })
	return sorted
}
