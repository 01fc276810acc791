package chiverequest

import (
	"net/http"
	"time"

	"chivedrift/chiveresidency"
	"chivedrift/chivetable"
)

// Request is an accepted request, independent of the caller's dialect.
type Request struct {
	// ID identifies the request and is sent to the endpoint, which may echo it; a retry by the caller has another ID.
	ID    string
	Route *chivetable.Route
	Pool  string
	Team  string
	// Rank is the request's priority rank in its pool.
	Rank   chivetable.Rank
	Method string
	// Target is the path and query, exactly as the caller sent them.
	Target string
	Host   string
	// Header holds the header fields to forward, without those meant for the router only.
	Header http.Header
	Body   []byte
	// Content is the same for all retries of a request by the caller, at any node.
	Content Fingerprint
	Prompt  *Prompt
	// Shared holds the parts of the prompt that other requests may have.
	Shared []SharedPart
	// LastEvent is the ID of the last event of a stream that the caller already has; empty to start at the beginning.
	LastEvent string
	// Origin is where the stream began, once it has; nil allows endpoints of any software version.
	Origin *Origin
	// Resumes is the ID of the caller's attempt that brought the first event of that stream; empty if it names none.
	Resumes string
	Arrival time.Time
	// Received is when the last byte of the request was read.
	Received time.Time
	Deadline time.Time
	// TableVersion is the version of the routing table that Route comes from.
	TableVersion int64
	// Residency limits the regions that may serve the request, by the configuration under which it was accepted.
	Residency chiveresidency.Policy
	// Silence is how long an endpoint may send nothing before another one is tried; zero means no limit.
	Silence time.Duration
	// Stream handles the events of a streamed response; if nil, they are forwarded to the caller by their IDs.
	Stream Stream
	// Source holds data of the request for the dialect of the endpoints.
	Source any
}

// WithoutContent returns the request without what it sends to an endpoint, for what is kept once its caller has been answered: the memory of
// the content returns then.
func (r *Request) WithoutContent() *Request {
	return &Request{
		ID: r.ID, Route: r.Route, Pool: r.Pool, Team: r.Team, Rank: r.Rank, Content: r.Content, Shared: r.Shared, Residency: r.Residency,
		Arrival: r.Arrival, Received: r.Received, Deadline: r.Deadline, TableVersion: r.TableVersion,
	}
}

// Stream handles the events of one streamed response, over all attempts.
type Stream interface {
	// Event handles one event, given exactly as received; more is true if further events have already been received. It
	// reports whether the stream has ended.
	Event(data []byte, id string, more bool) (ended bool, err error)
	// Whole reports whether the response is complete if the stream ends now without an end marker.
	Whole() bool
}

// Send is one attempt to run a request on one endpoint.
type Send struct {
	Request *Request
	// Endpoint is the ID of the endpoint that is to run the request; another one at the same address must not run it.
	Endpoint string
	// Left is the time until the request's deadline.
	Left time.Duration
	// After is the ID of the last delivered event, from which the stream is to be resumed; empty to start at the
	// beginning.
	After string
	// FetchFrom is the address of the endpoint from which this one should fetch the prompt parts that it has not
	// cached; empty for none.
	FetchFrom string
}

// Verdict classifies the response to a request by its status and header.
type Verdict uint8

const (
	// VerdictAnswer is the endpoint's response to the request.
	VerdictAnswer Verdict = iota
	// VerdictNotRun is the endpoint's statement that it has not run the request and will not run it.
	VerdictNotRun
	// VerdictElsewhere is a response from another endpoint that now has the address; the request did not run.
	VerdictElsewhere
	// VerdictUnproved is the endpoint's response with a status that promises callers that the request did not run, which the
	// endpoint does not state.
	VerdictUnproved
	// VerdictInvalid is a response of the endpoint that is none to callers, since it lacks what shows them that it is the endpoint's.
	VerdictInvalid
)

// IsRefusal reports whether the endpoint at the address has stated that the request was not run there.
func (v Verdict) IsRefusal() bool { return v == VerdictNotRun || v == VerdictElsewhere }

// EndpointDialect implements the protocol of a kind of endpoints.
type EndpointDialect interface {
	HealthDialect
	// Prepare sets the header fields that the endpoint needs for an attempt, and returns the attempt's body.
	Prepare(header http.Header, attempt Send) (body []byte, err error)
	// Identify returns what a response states about the request that it answers.
	Identify(request *Request, response *http.Response) Identity
	// Judge classifies the response to a request by its status and header.
	Judge(response Matched) Verdict
	// Limits returns the limits that a response states. The error describes a value that is no limit.
	Limits(response Matched) (Limits, error)
	// Notice returns what a response states about the endpoint's process. The error describes values that are not usable;
	// the others count all the same.
	Notice(response Matched) (Notice, error)
	// WarmUp returns how much longer the endpoint takes only a few requests, as a response states; 0 for none. The error
	// describes a value that is not usable.
	WarmUp(response Matched) (time.Duration, error)
}
