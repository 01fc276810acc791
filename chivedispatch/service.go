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

// ServiceWork is one request to a plain service as the gateway accepted it.
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

// ServiceAnswer is a service's answer: what was read of the body, and the rest of a large one.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
}

const maxTries = 4

// Services chooses replicas of plain services and calls them.
type Services struct {
	d       *Dispatcher
	forward *chiveforward.Forwarder
	region  string
	mu      sync.Mutex
	pools   map[string]*chiveroute.Local
	config  *chiveconfig.Config
}

// NewServices returns a chooser without pools that shares the dispatcher's retry budget.
func NewServices(d *Dispatcher, region string) *Services {
	s := &Services{d: d, region: region, pools: make(map[string]*chiveroute.Local)}
	s.forward = d.newForwarder(s, maxTries)
	return s
}

// SetConfig takes a configuration that came into force.
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

// SetLeaving takes the addresses of endpoints that take no new work.
func (s *Services) SetLeaving(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pool := range s.pools {
		for _, address := range addresses {
			pool.Leaving(time.Now(), address)
		}
	}
}

// Start begins to look after idle connections.
func (s *Services) Start(ctx context.Context) error { return s.forward.Start(ctx) }

// Stop closes idle connections.
func (s *Services) Stop(ctx context.Context) error { return s.forward.Stop(ctx) }

// Dump returns the replicas of each pool.
func (s *Services) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	dump := make(map[string][]chiveroute.ReplicaState, len(s.pools))
	for name, pool := range s.pools {
		dump[name] = pool.States(time.Now())
	}
	return dump
}

// PeerFailure takes a failure of a replica that another node found, and returns when it was alive later.
func (s *Services) PeerFailure(failure chivehealth.Failure) (alive time.Time) {
	return s.forward.PeerFailure(failure)
}

// Take reserves a place on a replica.
func (s *Services) Take(_ context.Context, request *chiverequest.Request, exclude []string) (chiveforward.Place, error) {
	s.mu.Lock()
	pool := s.pools[request.Pool]
	var residency chiveresidency.Policy
	if run, ok := request.Source.(*serviceRun); ok && s.config != nil {
		residency = s.config.Residency(run.class().Name, request.Team)
	}
	s.mu.Unlock()
	if residency.AllowsNone() {
		return nil, &chiveplace.RefusedError{Reason: "no region is allowed for the class and the team", RetryAfter: minuteRetry}
	}
	if pool != nil {
		if endpoint, taken := pool.Take(time.Now(), s.region, residency, exclude); taken {
			return &replicaPlace{s: s, pool: pool, endpoint: endpoint, began: time.Now(), deadline: request.Deadline}, nil
		}
	}
	return nil, &chiveplace.RefusedError{Reason: "no replica is up with room", RetryAfter: time.Second}
}

// replicaPlace is a place on a replica as the forwarder sees it.
type replicaPlace struct {
	s        *Services
	pool     *chiveroute.Local
	endpoint chiveconfig.Endpoint
	began    time.Time
	deadline time.Time
}

const reasonFewer = "fewer_in_flight_of_two"

// Target returns the replica.
func (p *replicaPlace) Target() chiveforward.Target { return targetOf(p.endpoint) }

// Why returns the reason for the choice.
func (p *replicaPlace) Why() []slog.Attr { return []slog.Attr{slog.String("because", reasonFewer)} }

// Preempted never happens to plain services.
func (p *replicaPlace) Preempted() <-chan struct{} { return nil }

// Event does nothing.
func (p *replicaPlace) Event(time.Time, time.Duration) {}

// Leaving tells nothing here: replicas refuse new work while they leave, and finish what they have.
func (p *replicaPlace) Leaving(time.Time) bool { return false }

// Eject does nothing here: the chooser judges its replicas by how their requests end.
func (p *replicaPlace) Eject(time.Time) {}

// FetchFrom names nobody: plain services hold no prompts.
func (p *replicaPlace) FetchFrom() string { return "" }

// Done gives the place back; a replica that refuses is leaving, which the fleet hears.
func (p *replicaPlace) Done(now time.Time, ending chiveplace.Ending) time.Duration {
	callerGone := ending == chiveplace.EndedCaller && now.Before(p.deadline)
	well := ending == chiveplace.EndedWell || ending == chiveplace.EndedError || callerGone
	p.pool.Release(now, p.endpoint.Name, now.Sub(p.began), well)
	if ending == chiveplace.EndedFull {
		p.pool.Leaving(now, p.endpoint.Address)
		p.s.d.fleet.EndpointLeaves(p.endpoint.Address)
	}
	return 0
}

// Run carries a service request through to its outcome; the answer is nil when no endpoint gave one. Of a large body the rest
// comes while the forwarder still runs.
func (s *Services) Run(parent context.Context, work *ServiceWork) (Result, *ServiceAnswer) {
	ctx, cancel := context.WithCancel(parent)
	r := &serviceRun{work: work, ready: make(chan struct{}), cancel: cancel}
	go func() {
		result := s.forward.Run(ctx, r.request(), r)
		r.end(result)
	}()
	<-r.ready
	return r.result, r.answer
}

// serviceRun is one service request over all of its attempts, and the sink of its answer.
type serviceRun struct {
	work   *ServiceWork
	cancel context.CancelFunc
	once   sync.Once
	ready  chan struct{}
	rest   *io.PipeWriter
	result Result
	answer *ServiceAnswer
}

func (r *serviceRun) class() *chiveconfig.Class { return r.work.Class }

// request is the work as the forwarder sees it.
func (r *serviceRun) request() *chiverequest.Request {
	w := r.work
	return &chiverequest.Request{
		ID: w.ID, Route: routeOf(w.Class, w.Repeatable, maxTries), Pool: w.Pool, Team: w.Team, Method: w.Method, Target: w.Path, Header: w.Header,
		Body: w.Body, Content: w.Content, Arrival: w.Arrival, Deadline: w.Deadline, Silence: w.Class.Stall(), Stream: nil, Source: r,
	}
}

// Start takes the head of the answer.
func (r *serviceRun) Start(status int, header http.Header) {
	r.answer = &ServiceAnswer{Status: status, Header: header}
	r.result.Status, r.result.Outcome = status, Completed
	if status >= http.StatusBadRequest {
		r.result.Outcome = Failed
	}
}

// Write takes the body: the first piece with the head, further ones, of a large body, through a pipe.
func (r *serviceRun) Write(data []byte, _ bool) error {
	if r.answer.Body == nil {
		r.answer.Body = append([]byte{}, data...)
		return nil
	}
	if r.rest == nil {
		reader, writer := io.Pipe()
		r.answer.Rest, r.rest = &cancelling{ReadCloser: reader, cancel: r.cancel}, writer
		r.once.Do(func() { close(r.ready) })
	}
	_, err := r.rest.Write(data)
	return err //nolint:wrapcheck // says that the caller is gone
}

// errCut is what the reader of a large body sees when its endpoint broke off.
var errCut = errors.New("dispatch: the endpoint broke off inside the body")

// end is the end of the forwarder's run.
func (r *serviceRun) end(from chiveforward.Result) {
	if r.rest != nil {
		var err error
		if isGivenUp(&from) {
			err = errCut
		}
		// Closing a pipe never fails.
		_ = r.rest.CloseWithError(err)
		return
	}
	defer r.cancel()
	if isGivenUp(&from) {
		r.answer = nil
		r.result = Result{Outcome: from.Outcome}
		r.result.giveUp(&from)
	}
	for i, t := range from.Tries {
		a := Attempt{Number: i + 1, Endpoint: t.Endpoint, Reason: reasonFewer, Touched: t.Touched, Ended: endedWord(t, &from)}
		if t.Err != nil {
			a.Error = t.Err.Error()
		}
		r.result.Attempts = append(r.result.Attempts, a)
	}
	r.once.Do(func() { close(r.ready) })
}

// cancelling ends the request's context when the rest of a large body has been passed on.
type cancelling struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and ends the request.
func (c *cancelling) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close() //nolint:wrapcheck // nobody reads it
}
