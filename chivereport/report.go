package chivereport

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report counts what became of the requests.
type Report struct {
	window   time.Duration
	lines    int64
	badLines int64
	shown    []BadLine
	begin    time.Time
	open     map[key]*request
	rows     map[Row]int64
	firsts   map[string]*histogram
	again    map[string]int64
}

// key names a request of a process: a caller's retry may reach another node under another identity.
type key struct {
	process string
	request string
}

// Row is what the counts are told apart by.
type Row struct {
	Route string `json:"route"`
	Rank  int    `json:"rank"`
	// Moment is the beginning of the window in which the request arrived, in seconds from the first request.
	Moment int    `json:"moment_s"`
	Reason Reason `json:"reason"`
}

// Count is a row with its number of requests.
type Count struct {
	Row
	Requests int64 `json:"requests"`
}

// request is one that is under way in the logs.
type request struct {
	accepted line
	sent     line
	sends    int
}

// New returns an empty report whose moments are that long.
func New(window time.Duration) *Report {
	return &Report{
		window: window, open: make(map[key]*request), rows: make(map[Row]int64), firsts: make(map[string]*histogram), again: make(map[string]int64),
	}
}

// take takes one line.
func (r *Report) take(l *line) {
	k := key{l.process, l.Request}
	switch l.Event {
	case eventNodeStarting:
		r.lose(l.process)
	case eventRefused:
		r.count(l, ReasonNotAllowed)
	case eventAccepted:
		r.open[k] = &request{accepted: *l}
	case eventSent:
		if q := r.open[k]; q != nil {
			q.sent = *l
			q.sends++
			r.again[l.Endpoint] += l.Again
		}
	case eventEnded, eventNotCompleted:
		q := r.open[k]
		if q == nil {
			r.count(l, ReasonUnknown)
			return
		}
		delete(r.open, k)
		r.count(&q.accepted, q.reason(l))
		if l.First > 0 {
			r.first(l.Route).add(l.First)
		}
	}
}

// lose ends the requests of a process that begins anew.
func (r *Report) lose(process string) {
	for k, q := range r.open {
		if k.process == process {
			r.count(&q.accepted, ReasonNodeLost)
			delete(r.open, k)
		}
	}
}

func (r *Report) count(l *line, reason Reason) {
	if r.begin.IsZero() {
		r.begin = l.Time
	}
	moment := int(l.Time.Sub(r.begin) / r.window * r.window / time.Second)
	r.rows[Row{Route: l.Route, Rank: l.Rank, Moment: moment, Reason: reason}]++
}

func (r *Report) first(route string) *histogram {
	if r.firsts[route] == nil {
		r.firsts[route] = &histogram{}
	}
	return r.firsts[route]
}

// Finish ends what no log has an end for.
func (r *Report) Finish() {
	for k, q := range r.open {
		r.count(&q.accepted, ReasonNotEnded)
		delete(r.open, k)
	}
}

// Counts returns the rows in order.
func (r *Report) Counts() []Count {
	rows := slices.SortedFunc(maps.Keys(r.rows), func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Moment, b.Moment), cmp.Compare(a.Reason, b.Reason))
	})
	counts := make([]Count, 0, len(rows))
	for _, row := range rows {
		counts = append(counts, Count{row, r.rows[row]})
	}
	return counts
}

// reason tells why a request was not served on time, from the line of its end and those before.
func (q *request) reason(end *line) Reason {
	switch end.Outcome {
	case "completed":
		return q.lateness(end)
	case "failed":
		return ReasonEndpointError
	case "not-run":
		return q.refusal(end)
	}
	switch end.Code {
	case "caller_gone":
		if end.Events == 0 {
			return ReasonCallerLeftEarly
		}
		return ReasonCallerLeft
	case "deadline_passed":
		return ReasonDeadline
	case "endpoint_broken":
		return ReasonEndpointLost
	case "endpoints_ended":
		return ReasonHeld
	}
	return ReasonUnknown
}

func (q *request) refusal(end *line) Reason {
	switch {
	case end.Code == "deadline_passed":
		return ReasonDeadline
	case end.Code == "endpoint_refused":
		return ReasonEndpointFull
	case end.Code == "endpoint_broken":
		return ReasonEndpointLost
	case end.Code == "endpoints_ended":
		return ReasonHeld
	case end.Code == "caller_gone":
		return ReasonCallerLeftEarly
	case end.Code != "no_place":
		return ReasonUnknown
	case end.Expected == 0:
		return ReasonRefusedFull
	case end.Expected <= q.accepted.Target:
		return ReasonRefusedInTime
	}
	return ReasonRefusedLate
}

// slowerThan is how many times the predicted time a first event takes that is put down to a slow endpoint.
const slowerThan = 2

// lateness reports whether a request that was served was on time, and why not.
func (q *request) lateness(end *line) Reason {
	first := end.First
	if first == 0 {
		first = end.Took
	}
	sent := &q.sent
	switch {
	case q.accepted.Target == 0 || first <= q.accepted.Target:
		if q.accepted.Pause > 0 && end.Pause > q.accepted.Pause {
			return ReasonPaused
		}
		return ReasonNone
	case q.sends == 0:
		return ReasonUnknown
	case sent.Expected > 0 && first > slowerThan*sent.Expected:
		return ReasonSlow
	case sent.Ahead > sent.Reads:
		return ReasonOthersRead
	case sent.Again > sent.Reads/2:
		return ReasonReadAgain
	case sent.Reads > 0:
		return ReasonOwnRead
	}
	return ReasonSlow
}
