package chivetrace

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// The numbers of events that say what a process believes: configuration, members and endpoints.
const (
	firstBelief = 200
	lastBelief  = 499
	// lookBack is how far before the request beliefs of other things than its endpoints still count.
	lookBack = 30 * time.Second
)

// Trace is one request's lines in time order, with the beliefs that its decisions rested on.
type Trace struct {
	Request string
	Lines   []Line
	Beliefs []Line
}

// Collect picks the trace of a request from the lines of all processes; ok is false when no line names it.
func Collect(lines []Line, request string) (trace Trace, ok bool) {
	trace.Request = request
	endpoints := make(map[string]bool)
	processes := make(map[string]bool)
	for i := range lines {
		if lines[i].field("request") != request {
			continue
		}
		trace.Lines = append(trace.Lines, lines[i])
		processes[lines[i].Process] = true
		endpoints[lines[i].field("endpoint")] = true
	}
	if len(trace.Lines) == 0 {
		return trace, false
	}
	delete(endpoints, "")
	sortLines(trace.Lines)
	trace.Beliefs = beliefs(lines, trace, processes, endpoints)
	return trace, true
}

// beliefs returns what the processes that touched the request last said before its end: the newest line of each thing.
func beliefs(lines []Line, trace Trace, processes, endpoints map[string]bool) []Line {
	begin, end := trace.Lines[0].At, trace.Lines[len(trace.Lines)-1].At
	newest := make(map[string]Line)
	for _, l := range lines {
		if l.Event < firstBelief || l.Event > lastBelief || !processes[l.Process] || l.At.After(end) {
			continue
		}
		about := l.field("endpoint")
		if about != "" && !endpoints[about] {
			continue
		}
		about += l.field("for") + l.field("member")
		if about == "" && !isStanding(l.Event) && begin.Sub(l.At) > lookBack {
			continue
		}
		key := fmt.Sprintf("%s %d %s", l.Process, l.Event, about)
		if known, ok := newest[key]; !ok || l.At.After(known.At) {
			newest[key] = l
		}
	}
	chosen := make([]Line, 0, len(newest))
	for _, l := range newest {
		chosen = append(chosen, l)
	}
	sortLines(chosen)
	return chosen
}

// isStanding tells the events whose newest line holds until the next one, however old: a configuration in force.
func isStanding(event int) bool { return event == 200 || event == 206 }

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// Write prints the trace: times in milliseconds from the request's first line, beliefs first.
func (t *Trace) Write(out io.Writer) {
	begin := t.Lines[0].At
	fmt.Fprintf(out, "request %s\n", t.Request)
	if len(t.Beliefs) > 0 {
		fmt.Fprintln(out, "what the process believed:")
	}
	for i := range t.Beliefs {
		t.Beliefs[i].write(out, begin)
	}
	fmt.Fprintln(out, "what happened:")
	for i := range t.Lines {
		t.Lines[i].write(out, begin)
	}
}

func (l *Line) write(out io.Writer, begin time.Time) {
	ms := float64(l.At.Sub(begin)) / float64(time.Millisecond)
	fmt.Fprintf(out, "  %+11.1f ms  %-14s %d %s:%s\n", ms, l.Process, l.Event, l.Text, l.details())
}

// details lays out the fields that the line has beside those shown already.
func (l *Line) details() string {
	var b strings.Builder
	for _, name := range l.order {
		switch name {
		case "time", "level", "msg", "event", "request":
			continue
		}
		if l.Fields[name] == "" {
			continue
		}
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
