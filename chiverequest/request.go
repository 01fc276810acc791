package chiverequest

import (
	"net/http"
	"time"

	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
)

// Request is one request as it was accepted, in no caller's dialect.
type Request struct {
	// ID is the identity that the caller gave this try of its request; the endpoint echoes it.
	ID    string
	Route *chivetable.Route
	Pool  string
	Team  string
	// Rank is the request's rank among those that go to the same pool.
	Rank   chivetable.Rank
	Method string
	// Target is the path with its query, byte for byte as the caller sent it.
	Target string
	Host   string
	// Header holds what is passed on; the router's own fields were taken out.
	Header http.Header
	Body   []byte
	// Content is the same for all tries of the same request, at any node.
	Content Fingerprint
	Prompt  *Prompt
	// LastEvent is the last event of a stream that the caller already has, empty for a stream from its start.
	LastEvent string
	Arrival   time.Time
	Deadline  time.Time
	// TableVersion is the version of the configuration that the route comes from.
	TableVersion int64
	// Residency is where the request may be served by the configuration that it was accepted under.
	Residency chiveresidency.Policy
	// Silence is how long an endpoint may send nothing before another one is tried; zero means that silence is no reason.
	Silence time.Duration
	// Stream takes the events of a streamed answer; nil passes them on by their ids.
	Stream Stream
	// Source is what the endpoints' dialect keeps of the request for itself.
	Source any
}

// Stream takes the events of one streamed answer, over all attempts.
type Stream interface {
	// Event takes one event, byte for byte; more tells that others are already there. It reports whether the stream is over.
	Event(data []byte, id string, more bool) (ended bool, err error)
	// Whole reports whether nothing is missing if the stream ends here without having said so.
	Whole() bool
}

// Send is one attempt of a request on one endpoint.
type Send struct {
	Request *Request
	// Endpoint is the incarnation that is meant; another one at the same address must not run the request.
	Endpoint string
	// Left is how long the caller still waits.
	Left time.Duration
	// After is the last event that was delivered, when the stream goes on from there.
	After string
	// FetchFrom is the address of the endpoint from which this one should fetch the parts of the prompt that it lacks; empty for none.
	FetchFrom string
}

// Verdict tells what the head of an answer means.
type Verdict uint8

const (
	// VerdictAnswer is the endpoint's answer to the request.
	VerdictAnswer Verdict = iota
	// VerdictNotRun is the endpoint's word that it did not run the request and will not.
	VerdictNotRun
	// VerdictElsewhere is the word of another endpoint that has the address now; the request did not run.
	VerdictElsewhere
	// VerdictForeign is an answer that belongs to another request.
	VerdictForeign
)

// EndpointDialect is how a kind of endpoints is spoken to.
type EndpointDialect interface {
	HealthDialect
	// Prepare adds what the endpoint needs to know to the header of one attempt, and returns the attempt's body.
	Prepare(header http.Header, send Send) (body []byte, err error)
	// Judge tells what the head of an answer to a request means.
	Judge(request *Request, response *http.Response) Verdict
}
