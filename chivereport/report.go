package chivereport

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report counts requests by route, rank, time window and reason.
type Report struct {
	window          time.Duration
	lines           int64
	badLines        int64
	firstBadLines   []BadLine
	firstTime       time.Time
	unfinished      map[requestKey]*request
	rows            map[Row]int64
	firstEventTimes map[string]*histogram
	repeatedTokens  map[string]int64
}

// requestKey identifies a request within a process. A caller's retry may reach another node; it counts as another
// request.
type requestKey struct {
	process string
	request string
}

// Row is the key by which requests are counted.
type Row struct {
	Route string `json:"route"`
	Rank  int    `json:"rank"`
	// Moment is the start of the time window in which the request arrived, in seconds since the arrival of the request
	// that was counted first.
	Moment int    `json:"moment_s"`
	Reason Reason `json:"reason"`
}

// Count is a row and its number of requests.
type Count struct {
	Row
	Requests int64 `json:"requests"`
}

// request is a request whose end has not been read yet.
type request struct {
	accepted    line
	lastAttempt line
	attempts    int
}

// New returns an empty report with time windows of the given length.
func New(window time.Duration) *Report {
	return &Report{
		window: window, unfinished: make(map[requestKey]*request), rows: make(map[Row]int64), firstEventTimes: make(map[string]*histogram), repeatedTokens: make(map[string]int64),
	}
}

// add updates the report with one line.
func (r *Report) add(l *line) {
	k := requestKey{l.process, l.Request}
	switch l.Event {
	case eventNodeStarting:
		r.endRequestsOf(l.process)
	case eventRequestRefused:
		r.count(l, ReasonNotAllowed)
	case eventRequestAccepted:
		r.unfinished[k] = &request{accepted: *l}
	case eventAttemptSent:
		if q := r.unfinished[k]; q != nil {
			q.lastAttempt = *l
			q.attempts++
			r.repeatedTokens[l.Endpoint] += l.RepeatedTokens
		}
	case eventRequestEnded, eventRequestNotCompleted:
		q := r.unfinished[k]
		if q == nil {
			r.count(l, ReasonUnknown)
			return
		}
		delete(r.unfinished, k)
		r.count(&q.accepted, q.outcomeReason(l))
		if l.FirstEventMs > 0 {
			r.firstEventHistogram(l.Route).add(l.FirstEventMs)
		}
	}
}

// endRequestsOf counts the unfinished requests of a process as lost, since the process has started again.
func (r *Report) endRequestsOf(process string) {
	for k, q := range r.unfinished {
		if k.process == process {
			r.count(&q.accepted, ReasonNodeLost)
			delete(r.unfinished, k)
		}
	}
}

func (r *Report) count(l *line, reason Reason) {
	if r.firstTime.IsZero() {
		r.firstTime = l.Time
	}
	windowStart := int(l.Time.Sub(r.firstTime) / r.window * r.window / time.Second)
	r.rows[Row{Route: l.Route, Rank: l.Rank, Moment: windowStart, Reason: reason}]++
}

func (r *Report) firstEventHistogram(route string) *histogram {
	if r.firstEventTimes[route] == nil {
		r.firstEventTimes[route] = &histogram{}
	}
	return r.firstEventTimes[route]
}

// Finish counts the requests whose end is in none of the logs.
func (r *Report) Finish() {
	for k, q := range r.unfinished {
		r.count(&q.accepted, ReasonNotEnded)
		delete(r.unfinished, k)
	}
}

// Counts returns all rows with their counts, sorted by route, rank, time window and reason.
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

// outcomeReason returns the reason of a request, from the line that reports its end and those before it.
func (q *request) outcomeReason(end *line) Reason {
	switch end.Outcome {
	case "completed":
		return q.latenessReason(end)
	case "failed":
		return ReasonEndpointError
	case "not-run":
		return q.refusalReason(end)
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

func (q *request) refusalReason(end *line) Reason {
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
	case end.ExpectedMs == 0:
		return ReasonRefusedFull
	case end.ExpectedMs <= q.accepted.TargetMs:
		return ReasonRefusedInTime
	}
	return ReasonRefusedLate
}

// slowFactor is the multiple of the predicted time beyond which a late first event is attributed to a slow endpoint.
const slowFactor = 2

// latenessReason returns ReasonNone for a completed request that was on time, and the reason why it was late otherwise.
func (q *request) latenessReason(end *line) Reason {
	firstEventMs := end.FirstEventMs
	if firstEventMs == 0 {
		firstEventMs = end.DurationMs
	}
	attempt := &q.lastAttempt
	switch {
	case q.accepted.TargetMs == 0 || firstEventMs <= q.accepted.TargetMs:
		if q.accepted.PauseMs > 0 && end.PauseMs > q.accepted.PauseMs {
			return ReasonPaused
		}
		return ReasonNone
	case q.attempts == 0:
		return ReasonUnknown
	case attempt.ExpectedMs > 0 && firstEventMs > slowFactor*attempt.ExpectedMs:
		return ReasonSlow
	case attempt.QueuedTokens > attempt.PrefillTokens:
		return ReasonOthersRead
	case attempt.RepeatedTokens > attempt.PrefillTokens/2:
		return ReasonReadAgain
	case attempt.PrefillTokens > 0:
		return ReasonOwnRead
	}
	return ReasonSlow
}
