package chivequarantine

import (
	"time"

	"chivedrift/chivehealth"
	"chivedrift/chiverequest"
)

// Times are sent as ages, since the clocks of VMs differ.

// Update carries crash reports and answers to a peer.
type Update struct {
	Crashes []CrashReport
	Answers []AnswerReport
	// Full means that this is the sender's full state, and that it requests the reports it lacks.
	Full bool
}

// CrashReport is the wire format of a Crash.
type CrashReport struct {
	Content       chiverequest.Fingerprint
	Endpoint      string
	FailureDomain string
	Reporter      string
	Number        int64
	Route         string
	Team          string
	AgeMs         int64
}

// AnswerReport is the wire format of an Answer.
type AnswerReport struct {
	Content  chiverequest.Fingerprint
	Reporter string
	Number   int64
	AgeMs    int64
}

// PartUpdate is an Update on parts of prompts. Nodes of earlier releases know of requests only and ignore it.
type PartUpdate struct {
	Crashes []PartCrashReport
	Answers []AnswerReport
	Full    bool
}

// PartCrashReport is the wire format of a Crash with a part.
type PartCrashReport struct {
	Report CrashReport
	Name   string
	Silent bool
}

// PartDigest is a Digest of the crashes with parts.
type PartDigest struct {
	Sum uint64
}

// Digest lets a peer detect that its set of crashes differs from the sender's.
type Digest struct {
	Sum uint64
}

// ProbeRequest requests a probe from the node that coordinates the probes of a quarantined request.
type ProbeRequest struct {
	Content chiverequest.Fingerprint
}

// ProbeGrant allows one probe of a quarantined request.
type ProbeGrant struct {
	Content chiverequest.Fingerprint
}

// FailureReport is the wire format of a chivehealth.Failure.
type FailureReport struct {
	Endpoint      string
	FailureDomain string
	Evidence      chivehealth.Evidence
	// Reporter is the peer address of the node that detected the failure.
	Reporter string
	AgeMs    int64
}

// AliveUpdate lists endpoints that answered requests sent to them after their reported crashes.
type AliveUpdate struct {
	Endpoints []AliveReport
}

// AliveReport says that an endpoint, identified by its incarnation, answered a request that was sent AgeMs ago.
type AliveReport struct {
	Endpoint string
	AgeMs    int64
}

func newCrashReport(now time.Time, c Crash) CrashReport {
	return CrashReport{
		Content: c.Content, Endpoint: c.Endpoint, FailureDomain: c.FailureDomain, Reporter: c.Reporter, Number: c.Number, Route: c.Route, Team: c.Team,
		AgeMs: now.Sub(c.At).Milliseconds(),
	}
}

func newPartCrashReport(now time.Time, c Crash) PartCrashReport {
	return PartCrashReport{Report: newCrashReport(now, c), Name: c.Name, Silent: c.Silent}
}

func (r PartCrashReport) crash(now time.Time) Crash {
	c := r.Report.crash(now)
	c.Name, c.Silent = r.Name, r.Silent
	return c
}

func (r CrashReport) crash(now time.Time) Crash {
	return Crash{
		Content: r.Content, Endpoint: r.Endpoint, FailureDomain: r.FailureDomain, Reporter: r.Reporter, Number: r.Number, Route: r.Route, Team: r.Team,
		At: ago(now, r.AgeMs),
	}
}

func newAnswerReport(now time.Time, a Answer) AnswerReport {
	return AnswerReport{Content: a.Content, Reporter: a.Reporter, Number: a.Number, AgeMs: now.Sub(a.At).Milliseconds()}
}

func (r AnswerReport) answer(now time.Time) Answer {
	return Answer{Content: r.Content, Reporter: r.Reporter, Number: r.Number, At: ago(now, r.AgeMs)}
}

func (r FailureReport) failure(now time.Time) chivehealth.Failure {
	return chivehealth.Failure{Endpoint: r.Endpoint, FailureDomain: r.FailureDomain, Evidence: r.Evidence, At: ago(now, r.AgeMs)}
}

// ago converts an age to a time; a negative age counts as zero.
func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond)
}
