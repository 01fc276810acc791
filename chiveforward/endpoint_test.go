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

// wireDialect is an endpoints' dialect with four header fields.
type wireDialect struct{}

func (wireDialect) Prepare(header http.Header, send chiverequest.Send) ([]byte, error) {
	header.Set("Id", send.Request.ID)
	header.Set("Left-Ms", strconv.FormatInt(send.Left.Milliseconds(), 10))
	header.Set("Meant", send.Endpoint)
	if send.After != "" {
		header.Set("After", send.After)
	}
	return send.Request.Body, nil
}

func (wireDialect) Judge(request *chiverequest.Request, response *http.Response) chiverequest.Verdict {
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return chiverequest.VerdictElsewhere
	case response.Header.Get("Not-Run") != "":
		return chiverequest.VerdictNotRun
	case response.Header.Get("Id") != request.ID:
		return chiverequest.VerdictForeign
	}
	return chiverequest.VerdictAnswer
}

const healthTarget = "/health"

func (wireDialect) HealthCheck(header http.Header, id string) (method, target string) {
	header.Set("Meant", id)
	return http.MethodGet, healthTarget
}

func (wireDialect) JudgeHealth(_, _ string, response *http.Response) chiverequest.Health {
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return chiverequest.HealthOther
	case chiverequest.IsGateway(response.StatusCode):
		return chiverequest.HealthGateway
	}
	return chiverequest.HealthAlive
}

// endpoint is a listener whose answers a test writes byte for byte.
type endpoint struct {
	listener net.Listener
	answer   func(conn net.Conn, request *http.Request, body string)
	// health answers health checks; nil says that the endpoint is alive.
	health func(conn net.Conn)
	mu     sync.Mutex
	got    []*http.Request
	bodies []string
	conns  int
}

func newEndpoint(t *testing.T, answer func(conn net.Conn, request *http.Request, body string)) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{listener: listener, answer: answer}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns++
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return e
}

func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	from := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		if request.URL.Path == healthTarget {
			e.checkHealth(conn, request)
			continue
		}
		e.mu.Lock()
		e.got = append(e.got, request)
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
	return len(e.got)
}

func (e *endpoint) connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns
}

func (e *endpoint) request(i int) *http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.got[i]
}

func (e *endpoint) entry(id string) chivedirectory.Endpoint {
	return chivedirectory.Endpoint{ID: id, Pool: "p", Address: e.listener.Addr().String(), FailureDomain: "a", Slots: 4}
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func write(conn net.Conn, text string) { io.WriteString(conn, text) }

func plain(conn net.Conn, request *http.Request, body string) {
	write(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// caller keeps what goes out to a caller.
type caller struct {
	status int
	header http.Header
	body   []byte
}

func (c *caller) Start(status int, header http.Header) { c.status, c.header = status, header.Clone() }

func (c *caller) Write(data []byte, _ bool) error {
	c.body = append(c.body, data...)
	return nil
}

type setup struct {
	// asleep is how long the machine has been suspended since the test began, in nanoseconds.
	asleep    *atomic.Int64
	forwarder *chiveforward.Forwarder
	budget    *chiveforward.Budget
	pools     *chiveforward.Pools
	table     *chivetable.Table
}

func newSetup(t *testing.T, route chivetable.Route, endpoints ...chivedirectory.Endpoint) *setup {
	t.Helper()
	return newSetupOn(t, chivewire.TCP{}, route, endpoints...)
}

func newSetupOn(t *testing.T, network chivewire.Network, route chivetable.Route, endpoints ...chivedirectory.Endpoint) *setup {
	t.Helper()
	return newSetupWith(t, func(o *chiveforward.Options) { o.Network = network }, route, endpoints...)
}

// newSetupWith makes a forwarder whose options a test may change.
func newSetupWith(t *testing.T, change func(o *chiveforward.Options), route chivetable.Route, endpoints ...chivedirectory.Endpoint) *setup {
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
	asleep, began := &atomic.Int64{}, time.Now()
	options := chiveforward.Options{
		SinceBoot: func() time.Duration { return time.Since(began) + time.Duration(asleep.Load()) },
		Self:      "test", Network: chivewire.TCP{}, Dialect: wireDialect{}, Places: pools, Repeats: budget, Rules: chiveforward.StoreRules,
		Logger: slog.New(slog.DiscardHandler),
	}
	change(&options)
	f := chiveforward.New(options)
	if err := f.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Stop(context.Background()) })
	return &setup{asleep, f, budget, pools, table}
}

func (s *setup) request(method, body string) *chiverequest.Request {
	route, _ := s.table.Match("h", "/")
	now := time.Now()
	return &chiverequest.Request{
		ID: "42", Route: route, Pool: "p", Method: method, Target: "/x?y=%2F", Host: "h", Header: http.Header{"A": {"b"}}, Body: []byte(body),
		Arrival: now, Deadline: now.Add(3 * time.Second),
	}
}

func (s *setup) run(request *chiverequest.Request) (chiveforward.Result, *caller) {
	c := &caller{}
	return s.forwarder.Run(context.Background(), request, c), c
}
