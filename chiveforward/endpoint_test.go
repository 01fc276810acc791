package chiveforward_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

// headerDialect is an endpoint dialect that consists of a few header fields.
type headerDialect struct{}

func (headerDialect) Prepare(header http.Header, send chiverequest.Send) ([]byte, error) {
	header.Set("Id", send.Request.ID)
	header.Set("Left-Ms", strconv.FormatInt(send.Left.Milliseconds(), 10))
	header.Set("Meant", send.Endpoint)
	if send.After != "" {
		header.Set("After", send.After)
	}
	return send.Request.Body, nil
}

func (headerDialect) Identify(request *chiverequest.Request, response *http.Response) chiverequest.Identity {
	switch id := response.Header.Get("Id"); {
	case id == request.ID:
		return chiverequest.IdentitySame
	case id != "":
		return chiverequest.IdentityOther
	case response.StatusCode == http.StatusMisdirectedRequest, response.Header.Get("Not-Run") != "":
		return chiverequest.IdentityUnstated
	}
	return chiverequest.IdentityMissing
}

func (headerDialect) Judge(response chiverequest.Matched) chiverequest.Verdict {
	switch {
	case response.Status() == http.StatusMisdirectedRequest:
		return chiverequest.VerdictElsewhere
	case response.Header().Get("Not-Run") != "":
		return chiverequest.VerdictNotRun
	}
	return chiverequest.VerdictAnswer
}

func (headerDialect) Limits(chiverequest.Matched) (chiverequest.Limits, error) {
	return chiverequest.Limits{}, nil
}

func (headerDialect) Notice(chiverequest.Matched) (chiverequest.Notice, error) {
	return chiverequest.Notice{}, nil
}

func (headerDialect) WarmUp(chiverequest.Matched) (time.Duration, error) { return 0, nil }

const healthPath = "/health"

func (headerDialect) HealthCheck(header http.Header, id string) (method, target string) {
	header.Set("Meant", id)
	return http.MethodGet, healthPath
}

func (headerDialect) JudgeHealth(_, _ string, response *http.Response) chiverequest.Health {
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return chiverequest.HealthOther
	case chiverequest.IsGateway(response.StatusCode):
		return chiverequest.HealthGateway
	}
	return chiverequest.HealthAlive
}

// endpoint is a listener whose responses a test writes byte for byte.
type endpoint struct {
	listener net.Listener
	answer   func(conn net.Conn, request *http.Request, body string)
	// health responds to health checks; nil responds that the endpoint is alive.
	health   func(conn net.Conn)
	mu       sync.Mutex
	received []*http.Request
	bodies   []string
	accepted int
}

func newEndpoint(t *testing.T, answer func(conn net.Conn, request *http.Request, body string)) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newEndpointAt(t, listener, answer)
}

// newEndpointAt returns an endpoint that accepts connections at a listener.
func newEndpointAt(t *testing.T, listener net.Listener, answer func(conn net.Conn, request *http.Request, body string)) *endpoint {
	t.Helper()
	e := &endpoint{listener: listener, answer: answer}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.accepted++
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return e
}

func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		if request.URL.Path == healthPath {
			e.checkHealth(conn, request)
			continue
		}
		e.mu.Lock()
		e.received = append(e.received, request)
		e.bodies = append(e.bodies, string(body))
		e.mu.Unlock()
		e.answer(conn, request, string(body))
	}
}

func (e *endpoint) setHealth(health func(conn net.Conn)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health = health
}

func (e *endpoint) checkHealth(conn net.Conn, _ *http.Request) {
	e.mu.Lock()
	health := e.health
	e.mu.Unlock()
	if health == nil {
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return
	}
	health(conn)
}

func (e *endpoint) requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.received)
}

func (e *endpoint) connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted
}

func (e *endpoint) request(i int) *http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received[i]
}

func (e *endpoint) registration(id string) chivedirectory.Endpoint {
	return chivedirectory.Endpoint{ID: id, Pool: "p", Address: e.listener.Addr().String(), FailureDomain: "a", Slots: 4}
}

// reset closes a connection so that the peer receives a TCP reset.
func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func write(conn net.Conn, text string) { io.WriteString(conn, text) }

func echo(conn net.Conn, request *http.Request, body string) {
	write(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// recordingSink records what is passed to the caller.
type recordingSink struct {
	status int
	header http.Header
	body   []byte
	// endsWithConnection means that the end of the body is not known to be one.
	endsWithConnection bool
}

func (c *recordingSink) EndsWithConnection() { c.endsWithConnection = true }

func (c *recordingSink) Start(status int, header http.Header) {
	c.status, c.header = status, header.Clone()
}

func (c *recordingSink) Write(data []byte, _ bool) error {
	c.body = append(c.body, data...)
	return nil
}

type fixture struct {
	// suspendedNs is the simulated time for which the machine has been suspended since the start of the test.
	suspendedNs *atomic.Int64
	forwarder   *chiveforward.Forwarder
	budget      *chiveforward.Budget
	pools       *chiveforward.Pools
	table       *chivetable.Table
}

func newFixture(t *testing.T, route chivetable.Route, endpoints ...chivedirectory.Endpoint) *fixture {
	t.Helper()
	return newFixtureOnNetwork(t, chivewire.TCP{}, route, endpoints...)
}

func newFixtureOnNetwork(t *testing.T, network chivewire.Network, route chivetable.Route, endpoints ...chivedirectory.Endpoint) *fixture {
	t.Helper()
	return newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Network = network }, route, endpoints...)
}

// newFixtureWithOptions creates a forwarder after a test has changed its options.
func newFixtureWithOptions(t *testing.T, change func(o *chiveforward.Options), route chivetable.Route, endpoints ...chivedirectory.Endpoint) *fixture {
	t.Helper()
	route.Name, route.Host, route.Prefix = "r", "h", "/"
	route.Shares = []chivetable.Share{{Pool: "p", Weight: 1}}
	if route.Target == 0 {
		route.Target = 200 * time.Millisecond
	}
	table, err := chivetable.New(chivetable.Spec{Version: 1, Routes: []chivetable.Route{route}, Pools: []chivetable.Pool{{Name: "p"}}})
	if err != nil {
		t.Fatal(err)
	}
	budget := chiveforward.NewBudget(time.Now().Add(-time.Minute), chiveforward.BudgetLimits{Ratio: 0.2, Headroom: 50, Window: 10 * time.Second})
	pools := chiveforward.NewPools("a")
	pools.SetTable(table)
	pools.ApplyEndpoints(chivedirectory.Diff{Changed: endpoints})
	suspendedNs, start := &atomic.Int64{}, time.Now()
	options := chiveforward.Options{
		SinceBoot: func() time.Duration { return time.Since(start) + time.Duration(suspendedNs.Load()) },
		Self:      "test", Network: chivewire.TCP{}, Dialect: headerDialect{}, Places: pools, Repeats: budget, Rules: chiveforward.StoreRules,
		Logger: slog.New(slog.DiscardHandler),
	}
	change(&options)
	f := chiveforward.New(options)
	if err := f.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Stop(context.Background()) })
	return &fixture{suspendedNs, f, budget, pools, table}
}

func (s *fixture) request(method, body string) *chiverequest.Request {
	route, _ := s.table.Match("h", "/")
	now := time.Now()
	return &chiverequest.Request{
		ID: "42", Route: route, Pool: "p", Method: method, Target: "/x?y=%2F", Host: "h", Header: http.Header{"A": {"b"}}, Body: []byte(body),
		Arrival: now, Deadline: now.Add(3 * time.Second),
	}
}

func (s *fixture) run(request *chiverequest.Request) (chiveforward.Result, *recordingSink) {
	c := &recordingSink{}
	return s.forwarder.Run(context.Background(), request, c), c
}
