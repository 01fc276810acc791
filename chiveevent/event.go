package chiveevent

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
)

// Event is one kind of log line, known to operators by its number.
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

// Number returns the event's number, which never changes its meaning.
func (e Event) Number() int { return e.number }

// Level returns the level the event is logged at.
func (e Event) Level() slog.Level { return e.level }

// Text returns what happened, the same in every line of the event.
func (e Event) Text() string { return e.text }

// Advice returns what an operator should do about it.
func (e Event) Advice() string { return e.advice }

// Log writes the event with its attributes.
func (e Event) Log(ctx context.Context, logger *slog.Logger, attributes ...slog.Attr) {
	all := make([]slog.Attr, 0, len(attributes)+1)
	all = append(all, slog.Int("event", e.number))
	logger.LogAttrs(ctx, e.level, e.text, append(all, attributes...)...)
}

// idShown bounds what a caller's own text takes in a log line, in bytes.
const idShown = 64

// Request returns the attribute for a request's identity; it comes from the caller, so its length is bounded here, and the
// handler escapes it.
func Request(id string) slog.Attr {
	if len(id) > idShown {
		id = id[:idShown] + "..."
	}
	return slog.String("request", id)
}

// Content returns the attribute by which the lines of several tries of the same request are found, at all nodes.
func Content(content fmt.Stringer) slog.Attr { return slog.String("content", content.String()) }

// Catalogue returns every event in order of number.
func Catalogue() []Event {
	sorted := append([]Event(nil), catalogue...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].number < sorted[j].number })
	return sorted
}
