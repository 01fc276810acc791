package chivequarantine

import (
	"time"

	"chivedrift/chiverequest"
)

// News tells a peer of ends and answers.
type News struct {
	Ends    []EndNews
	Answers []AnswerNews
	// Whole tells that the sender told all it knows, and wants what it lacks.
	Whole bool
}

// EndNews is an End as nodes tell each other: the time is an age, since clocks of VMs differ.
type EndNews struct {
	Content       chiverequest.Fingerprint
	Endpoint      string
	FailureDomain string
	Reporter      string
	Number        int64
	Route         string
	Team          string
	AgeMs         int64
}

// AnswerNews is an Answered as nodes tell each other.
type AnswerNews struct {
	Content  chiverequest.Fingerprint
	Reporter string
	Number   int64
	AgeMs    int64
}

// Digest asks a peer to compare what both know.
type Digest struct {
	Sum uint64
}

// TrialAsk asks the node that spaces the tries of a held request for one.
type TrialAsk struct {
	Content chiverequest.Fingerprint
}

// TrialGrant allows one try of a held request.
type TrialGrant struct {
	Content chiverequest.Fingerprint
}

func newEndNews(now time.Time, e End) EndNews {
	return EndNews{
		Content: e.Content, Endpoint: e.Endpoint, FailureDomain: e.FailureDomain, Reporter: e.Reporter, Number: e.Number, Route: e.Route, Team: e.Team,
		AgeMs: now.Sub(e.At).Milliseconds(),
	}
}

func (n EndNews) end(now time.Time) End {
	return End{
		Content: n.Content, Endpoint: n.Endpoint, FailureDomain: n.FailureDomain, Reporter: n.Reporter, Number: n.Number, Route: n.Route, Team: n.Team,
		At: ago(now, n.AgeMs),
	}
}

func newAnswerNews(now time.Time, a Answered) AnswerNews {
	return AnswerNews{Content: a.Content, Reporter: a.Reporter, Number: a.Number, AgeMs: now.Sub(a.At).Milliseconds()}
}

func (n AnswerNews) answered(now time.Time) Answered {
	return Answered{Content: n.Content, Reporter: n.Reporter, Number: n.Number, At: ago(now, n.AgeMs)}
}

// ago returns the time of an age; one below zero counts as now.
func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond)
}
