package chivedispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiveevent"
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

const (
	bufferedBytes = 1 << 20
	maxTries      = 4
)

// Services chooses replicas of plain services and calls them.
type Services struct {
	d      *Dispatcher
	region string
	mu     sync.Mutex
	pools  map[string]*chiveroute.Local
}

// NewServices returns a chooser without pools that shares the dispatcher's retry budget.
func NewServices(d *Dispatcher, region string) *Services {
	return &Services{d: d, region: region, pools: make(map[string]*chiveroute.Local)}
}

// SetConfig takes a configuration that came into force.
func (s *Services) SetConfig(config *chiveconfig.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// Start does nothing: requests run on their callers' goroutines.
func (s *Services) Start(context.Context) error { return nil }

// Stop does nothing.
func (s *Services) Stop(context.Context) error { return nil }

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

// serviceRun is the state of one service request over its attempts.
type serviceRun struct {
	s       *Services
	work    *ServiceWork
	pool    *chiveroute.Local
	exclude []string
	result  Result
	answer  *ServiceAnswer
	touched bool
}

// Run carries a service request through to its outcome; the answer is nil when no endpoint gave one.
func (s *Services) Run(parent context.Context, work *ServiceWork) (Result, *ServiceAnswer) {
	ctx, cancel := context.WithDeadlineCause(parent, work.Deadline, errDeadline)
	s.d.budget.Earn(work.Class.Name, work.Class.RetryBudgetPercent)
	s.mu.Lock()
	pool := s.pools[work.Pool]
	s.mu.Unlock()
	r := &serviceRun{s: s, work: work, pool: pool}
	for number := 1; ; number++ {
		if r.attempt(ctx, number) {
			break
		}
	}
	if r.answer != nil && r.answer.Rest != nil {
		r.answer.Rest = &cancelling{ReadCloser: r.answer.Rest, cancel: cancel}
		return r.result, r.answer
	}
	cancel()
	return r.result, r.answer
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

// attempt runs one attempt and reports whether the request has its outcome.
func (r *serviceRun) attempt(ctx context.Context, number int) bool {
	var endpoint chiveconfig.Endpoint
	taken := false
	if r.pool != nil {
		endpoint, taken = r.pool.Take(time.Now(), r.s.region, r.exclude)
	}
	if !taken {
		r.result.giveUp(r.touched, CodeRefused, "no replica is up with room", time.Second)
		return true
	}
	started := time.Now()
	answer, touched, err := r.call(ctx, endpoint.Address)
	refused := answer != nil && answer.Status == http.StatusServiceUnavailable && answer.Header.Get(NotRunHeader) == "true"
	callerGone := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline)
	r.pool.Release(time.Now(), endpoint.Name, time.Since(started), (err == nil && !refused) || callerGone)
	r.note(number, endpoint, touched && !refused, answer, err)
	if refused {
		r.pool.Leaving(time.Now(), endpoint.Address)
		r.s.d.fleet.EndpointLeaves(endpoint.Address)
		return r.next(number, endpoint, false)
	}
	r.touched = r.touched || touched
	if err == nil {
		r.finish(answer)
		return true
	}
	chiveevent.RequestBroken.Log(ctx, r.s.d.logger, slog.String("request", r.work.ID), slog.String("endpoint", endpoint.Name), slog.Any("error", err))
	if ctx.Err() != nil {
		r.result.giveUp(r.touched, CodeDeadline, "the request's time ran out", 0)
		return true
	}
	return r.next(number, endpoint, touched)
}

func (r *serviceRun) note(number int, endpoint chiveconfig.Endpoint, touched bool, answer *ServiceAnswer, err error) {
	a := Attempt{Number: number, Endpoint: endpoint.Name, Reason: "fewer_in_flight_of_two", Touched: touched, Ended: string(endedComplete)}
	switch {
	case err != nil:
		a.Ended, a.Error = string(endedBroken), err.Error()
	case !touched:
		a.Ended = string(endedRefused)
	case answer.Status >= http.StatusBadRequest:
		a.Ended = string(endedError)
	}
	r.result.Attempts = append(r.result.Attempts, a)
}

// next goes on elsewhere when that is safe: nothing reached the endpoint, or the request may run again.
func (r *serviceRun) next(number int, endpoint chiveconfig.Endpoint, touched bool) bool {
	r.exclude = append(r.exclude, endpoint.Name)
	if number < maxTries && (!touched || (r.work.Repeatable && r.s.d.budget.Spend(r.work.Class.Name))) {
		return false
	}
	r.result.giveUp(r.touched, CodeBroken, "the endpoint broke off", time.Second)
	return true
}

func (r *serviceRun) finish(answer *ServiceAnswer) {
	r.answer = answer
	r.result.Status = answer.Status
	r.result.Outcome = Completed
	if answer.Status >= http.StatusBadRequest {
		r.result.Outcome = Failed
	}
}

// call makes one attempt; it tells whether a byte of the request may have reached the endpoint.
func (r *serviceRun) call(parent context.Context, address string) (answer *ServiceAnswer, touched bool, err error) {
	ctx, cancel := context.WithCancelCause(parent)
	stall := time.AfterFunc(r.work.Class.Stall(), func() { cancel(errStalled) })
	defer stall.Stop()
	response, touched, err := r.send(ctx, address)
	if err != nil {
		cancel(nil)
		return nil, touched, stalledOr(ctx, err)
	}
	head, err := io.ReadAll(io.LimitReader(response.Body, bufferedBytes))
	if err != nil {
		cancel(nil)
		_ = response.Body.Close()
		return nil, touched, stalledOr(ctx, err)
	}
	answer = &ServiceAnswer{Status: response.StatusCode, Header: response.Header, Body: head}
	if len(head) < bufferedBytes {
		cancel(nil)
		_ = response.Body.Close()
		return answer, touched, nil
	}
	answer.Rest = &cancelling{ReadCloser: response.Body, cancel: func() { cancel(nil) }}
	return answer, touched, nil
}

func stalledOr(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) {
		return errStalled
	}
	return err
}

func (r *serviceRun) send(ctx context.Context, address string) (*http.Response, bool, error) {
	var connected atomic.Bool
	if r.work.Repeatable {
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
		ctx = httptrace.WithClientTrace(ctx, trace)
	}
	request, err := http.NewRequestWithContext(ctx, r.work.Method, "http://"+address+r.work.Path, bytes.NewReader(r.work.Body))
	if err != nil {
		return nil, false, fmt.Errorf("request: %w", err)
	}
	request.Header = r.work.Header.Clone()
	request.Header.Set(requestIDHeader, r.work.ID)
	if r.work.Repeatable {
		response, err := r.s.d.pooled.RoundTrip(request)
		return response, connected.Load(), err
	}
	transport := newOnce(r.s.d.self, r.s.d.network)
	response, err := transport.transport.RoundTrip(request)
	return response, transport.touched(), err
}
