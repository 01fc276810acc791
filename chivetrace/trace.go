package chivetrace

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// The range of event numbers that report what a process knows about the configuration, members and endpoints.
const (
	firstStateEvent = 200
	lastStateEvent  = 499
	// stateLookback is the greatest age, at the start of the request, of a state line that names no endpoint, member or
	// other subject.
	stateLookback = 30 * time.Second
)

// Trace holds the lines of one request in order of time, and the lines that report the state on which its decisions
// were based.
type Trace struct {
	Request string
	Lines   []Line
	Beliefs []Line
}

// Collect returns the trace of a request from the lines of all processes; ok is false if no line names the request.
func Collect(lines []Line, request string) (trace Trace, ok bool) {
	trace.Request = request
	endpoints := make(map[string]bool)
	processes := make(map[string]bool)
	for i := range lines {
		if lines[i].textField("request") != request {
			continue
		}
		trace.Lines = append(trace.Lines, lines[i])
		processes[lines[i].Process] = true
		endpoints[lines[i].textField("endpoint")] = true
	}
	if len(trace.Lines) == 0 {
		return trace, false
	}
	delete(endpoints, "")
	sortByTime(trace.Lines)
	trace.Beliefs = stateLines(lines, trace, processes, endpoints)
	return trace, true
}

// stateLines returns the newest state line of each event and subject that the processes of the request wrote before its
// end. Lines about endpoints that the request did not use are left out.
func stateLines(lines []Line, trace Trace, processes, endpoints map[string]bool) []Line {
	begin, end := trace.Lines[0].At, trace.Lines[len(trace.Lines)-1].At
	newest := make(map[string]Line)
	for _, l := range lines {
		if l.Event < firstStateEvent || l.Event > lastStateEvent || !processes[l.Process] || l.At.After(end) {
			continue
		}
		subject := l.textField("endpoint")
		if subject != "" && !endpoints[subject] {
			continue
		}
		subject += l.textField("for") + l.textField("member")
		if subject == "" && !holdsUntilReplaced(l.Event) && begin.Sub(l.At) > stateLookback {
			continue
		}
		key := fmt.Sprintf("%s %d %s", l.Process, l.Event, subject)
		if previous, ok := newest[key]; !ok || l.At.After(previous.At) {
			newest[key] = l
		}
	}
	selected := make([]Line, 0, len(newest))
	for _, l := range newest {
		selected = append(selected, l)
	}
	sortByTime(selected)
	return selected
}

// holdsUntilReplaced reports whether an event's newest line remains valid until the next one, whatever its age: the
// configuration or the routing table in force.
func holdsUntilReplaced(event int) bool { return event == 200 || event == 206 }

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// Write prints the state lines, then the lines of the request, with times in milliseconds relative to its first line.
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
	fmt.Fprintf(out, "  %+11.1f ms  %-14s %d %s:%s\n", ms, l.Process, l.Event, l.Text, l.otherFields())
}

// otherFields formats the fields that are not printed in another column.
func (l *Line) otherFields() string {
	var b strings.Builder
	for _, name := range l.fieldNames {
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
