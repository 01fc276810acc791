package chivedispatch

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiveforward"
	"chivedrift/chivehealth"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chiveresidency"
	"chivedrift/chiveroute"
)

// ServiceWork is a request to a plain service that the gateway has accepted.
type ServiceWork struct {
	ID         string
	Pool       string
	Class      *chiveconfig.Class
	Team       string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Content    chiverequest.Fingerprint
	Arrival    time.Time
	Deadline   time.Time
	Repeatable bool
}

// ServiceAnswer is the response of a plain service. Body holds the start of the body, Rest the remainder of a large
// one; Rest is nil if Body is complete.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
	// EndsWithConnection means that the body may have been cut: nothing but the end of the endpoint's connection ended it.
	EndsWithConnection bool
}

const maxServiceAttempts = 4

// Services runs requests to plain services on replicas that it chooses.
type Services struct {
	dispatcher *Dispatcher
	forwarder  *chiveforward.Forwarder
	region     string
	mu         sync.Mutex
	pools      map[string]*chiveroute.Local
	config     *chiveconfig.Config
}

// NewServices returns a Services without pools that shares the dispatcher's retry budget.
func NewServices(dispatcher *Dispatcher, region string) *Services {
	s := &Services{dispatcher: dispatcher, region: region, pools: make(map[string]*chiveroute.Local)}
	s.forwarder = dispatcher.newForwarder(s, maxServiceAttempts)
	return s
}

// SetConfig applies a new configuration.
func (s *Services) SetConfig(config *chiveconfig.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = config
	for i := range config.Pools {
		pool := &config.Pools[i]
		if pool.Kind != chiveconfig.KindService {
			continue
		}
		if s.pools[pool.Name] == nil {
			s.pools[pool.Name] = chiveroute.NewLocal()
		}
		s.pools[pool.Name].SetEndpoints(pool.Endpoints)
	}
}

// SetLeaving marks the endpoints at the given addresses as draining.
func (s *Services) SetLeaving(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pool := range s.pools {
		for _, address := range addresses {
			pool.Leaving(time.Now(), address)
		}
	}
}

// Start starts the forwarder's background tasks, such as closing idle connections.
func (s *Services) Start(ctx context.Context) error { return s.forwarder.Start(ctx) }

// Stop closes idle connections to replicas.
func (s *Services) Stop(ctx context.Context) error { return s.forwarder.Stop(ctx) }

// Dump returns the state of each pool's replicas.
func (s *Services) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	dump := make(map[string][]chiveroute.ReplicaState, len(s.pools))
	for name, pool := range s.pools {
		dump[name] = pool.States(time.Now())
	}
	return dump
}

// PeerFailure handles a replica failure that another node detected. If the replica has answered this node since the
// failure, alive is the time of that response, else the zero time.
func (s *Services) PeerFailure(failure chivehealth.Failure) (alive time.Time) {
	return s.forwarder.PeerFailure(failure)
}

// PeerCrash handles a crash under a request of another node, for the attempts of this node that ended at the same endpoint.
func (s *Services) PeerCrash(failure chivehealth.Failure) { s.forwarder.PeerCrash(failure) }

// policy returns where the configuration in force allows a request: the regions, and which failure domains are evacuated.
func (s *Services) policy(request *chiverequest.Request) (residency chiveresidency.Policy, isEvacuated func(domain string) bool) {
	s.mu.Lock()
	config := s.config
	s.mu.Unlock()
	if config == nil {
		return residency, func(string) bool { return false }
	}
	if run, ok := request.Source.(*serviceRun); ok {
		residency = config.Residency(run.class().Name, request.Team)
	}
	return residency, config.IsEvacuated
}

// Take reserves capacity on a replica in an allowed region.
func (s *Services) Take(_ context.Context, request *chiverequest.Request, exclude []string) (chiveforward.Place, error) {
	s.mu.Lock()
	pool := s.pools[request.Pool]
	s.mu.Unlock()
	residency, isEvacuated := s.policy(request)
	if residency.AllowsNone() {
		return nil, &chiveplace.RefusedError{Reason: "no region is allowed for the class and the team", RetryAfter: configRetryAfter}
	}
	if pool != nil {
		if endpoint, reserved := pool.Take(time.Now(), s.region, residency, isEvacuated, exclude); reserved {
			return &replicaPlacement{services: s, request: request, pool: pool, endpoint: endpoint, startedAt: time.Now(), deadline: request.Deadline}, nil
		}
	}
	return nil, &chiveplace.RefusedError{Reason: "no replica is up with room", RetryAfter: time.Second}
}

// replicaPlacement implements chiveforward.Place with a replica.
type replicaPlacement struct {
	services  *Services
	request   *chiverequest.Request
	pool      *chiveroute.Local
	endpoint  chiveconfig.Endpoint
	startedAt time.Time
	deadline  time.Time
}

const reasonFewerInFlight = "fewer_in_flight_of_two"

// Target returns the replica.
func (p *replicaPlacement) Target() chiveforward.Target { return endpointTarget(p.endpoint) }

// Why returns the reason for choosing the replica.
func (p *replicaPlacement) Why() []slog.Attr {
	return []slog.Attr{slog.String("because", reasonFewerInFlight)}
}

// Preempted returns nil: requests to plain services are not preempted.
func (p *replicaPlacement) Preempted() <-chan struct{} { return nil }

// Event does nothing.
func (p *replicaPlacement) Event(time.Time, time.Duration) {}

// Leaving always returns false: while draining, replicas refuse new requests and finish the running ones.
func (p *replicaPlacement) Leaving(time.Time) bool { return false }

// Accepts reports whether the configuration in force still allows the request there. While draining, replicas refuse new
// requests themselves.
func (p *replicaPlacement) Accepts(time.Time) bool {
	residency, isEvacuated := p.services.policy(p.request)
	return residency.Allows(p.endpoint.Region) && !isEvacuated(p.endpoint.FailureDomain)
}

// Eject does nothing: the pool rates its replicas by the results of their requests.
func (p *replicaPlacement) Eject(time.Time) {}

// StateLimits does nothing: these replicas state no limits.
func (p *replicaPlacement) StateLimits(time.Time, chiverequest.Limits) (before chiverequest.Limits, changed bool) {
	return chiverequest.Limits{}, false
}

// StateNotice does nothing: these replicas state nothing about their processes.
func (p *replicaPlacement) StateNotice(time.Time, chiverequest.Notice) (leaves, rests bool) {
	return false, false
}

// FetchFrom returns no address: plain services do not cache prompts.
func (p *replicaPlacement) FetchFrom() string { return "" }

// Done releases the reservation. A replica that refused the request is marked and reported as draining.
func (p *replicaPlacement) Done(now time.Time, ending chiveplace.Ending) time.Duration {
	callerGone := ending == chiveplace.EndedCaller && now.Before(p.deadline)
	succeeded := ending == chiveplace.EndedWell || ending == chiveplace.EndedError || callerGone
	p.pool.Release(now, p.endpoint.Name, now.Sub(p.startedAt), succeeded)
	if ending == chiveplace.EndedFull {
		p.pool.Leaving(now, p.endpoint.Address)
		p.services.dispatcher.fleet.EndpointLeaves(p.endpoint.Address)
	}
	return 0
}

// Run runs a service request to its outcome; the response is nil if no endpoint gave one. Run returns before a large
// body has been received completely: the remainder is read from Rest while the forwarder is still running.
func (s *Services) Run(parent context.Context, request *ServiceWork) (Result, *ServiceAnswer) {
	ctx, cancel := context.WithCancel(parent)
	r := &serviceRun{request: request, ready: make(chan struct{}), cancel: cancel}
	go func() {
		result := s.forwarder.Run(ctx, r.forwardRequest(), r)
		r.handleResult(result)
	}()
	<-r.ready
	return r.result, r.response
}

// serviceRun is the state of one service request over all of its attempts, and the sink of its response.
type serviceRun struct {
	request    *ServiceWork
	cancel     context.CancelFunc
	readyOnce  sync.Once
	ready      chan struct{}
	restWriter *io.PipeWriter
	result     Result
	response   *ServiceAnswer
	// endsWithConnection means that the body may have been cut.
	endsWithConnection bool
}

func (r *serviceRun) class() *chiveconfig.Class { return r.request.Class }

// forwardRequest returns the request in the forwarder's form.
func (r *serviceRun) forwardRequest() *chiverequest.Request {
	request := r.request
	return &chiverequest.Request{
		ID: request.ID, Route: routeForClass(request.Class, request.Repeatable, maxServiceAttempts), Pool: request.Pool, Team: request.Team, Method: request.Method, Target: request.Path, Header: request.Header,
		Body: request.Body, Content: request.Content, Arrival: request.Arrival, Deadline: request.Deadline, Silence: request.Class.Stall(), Stream: nil, Source: r,
	}
}

// EndsWithConnection records that the body may have been cut.
func (r *serviceRun) EndsWithConnection() { r.endsWithConnection = true }

// Start records the status and the header of the response.
func (r *serviceRun) Start(status int, header http.Header) {
	r.response = &ServiceAnswer{Status: status, Header: header, EndsWithConnection: r.endsWithConnection}
	r.result.Status, r.result.Outcome = status, Completed
	if status >= http.StatusBadRequest {
		r.result.Outcome = Failed
	}
}

// Write takes a chunk of the body. The first chunk is returned with the status and header; the first further chunk, of
// a large body, makes Run return and is passed on through a pipe, as are all after it.
func (r *serviceRun) Write(data []byte, _ bool) error {
	if r.response.Body == nil {
		r.response.Body = append([]byte{}, data...)
		return nil
	}
	if r.restWriter == nil {
		reader, writer := io.Pipe()
		r.response.Rest, r.restWriter = &cancelOnClose{ReadCloser: reader, cancel: r.cancel}, writer
		r.readyOnce.Do(func() { close(r.ready) })
	}
	_, err := r.restWriter.Write(data)
	return err //nolint:wrapcheck // only means that the caller has disconnected
}

// errBodyTruncated is returned by Rest if the endpoint does not complete the body.
var errBodyTruncated = errors.New("dispatch: response body truncated by the endpoint")

// handleResult handles the end of the forwarder's run: it closes the pipe of a large body, or makes Run return.
func (r *serviceRun) handleResult(forwarded chiveforward.Result) {
	if r.restWriter != nil {
		var err error
		if endedWithoutResponse(&forwarded) {
			err = errBodyTruncated
		}
		// Closing a pipe writer never fails.
		_ = r.restWriter.CloseWithError(err)
		return
	}
	defer r.cancel()
	if endedWithoutResponse(&forwarded) {
		r.response = nil
		r.result = Result{Outcome: forwarded.Outcome}
		r.result.setFailure(&forwarded)
	}
	for i, attempt := range forwarded.Tries {
		entry := Attempt{Number: i + 1, Endpoint: attempt.Endpoint, Reason: reasonFewerInFlight, Touched: attempt.Touched, Ended: endReason(attempt, &forwarded)}
		if attempt.Err != nil {
			entry.Error = attempt.Err.Error()
		}
		r.result.Attempts = append(r.result.Attempts, entry)
	}
	r.readyOnce.Do(func() { close(r.ready) })
}

// cancelOnClose cancels the request's context when the reader of the remaining body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the request.
func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close() //nolint:wrapcheck // no caller uses the error
}
