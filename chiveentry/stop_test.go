package chiveentry_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chivedrift/chiveentry"
	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivestand"
	"chivedrift/chivetable"
	"chivedrift/chivewire"

	"github.com/uber-go/tally/v4"
)

// testDialect is a minimal caller dialect.
type testDialect struct{}

func (testDialect) Read(header http.Header) (chiverequest.Asked, error) {
	if header.Get("Bad") != "" {
		return chiverequest.Asked{}, errors.New("header Bad: not a number")
	}
	wait, err := time.ParseDuration(header.Get("Wait"))
	if err != nil {
		wait = time.Second
	}
	return chiverequest.Asked{ID: header.Get("Id"), Key: header.Get("Key"), Wait: wait}, nil
}

func (testDialect) Strip(header http.Header)           { header.Del("Key") }
func (testDialect) Mark(header http.Header, id string) { header.Set("Id", id) }

// fakeForwarder records the requests it gets and responds with 200, or as run does if that is set.
type fakeForwarder struct {
	mu       sync.Mutex
	run      func(ctx context.Context, request *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result
	requests []*chiverequest.Request
}

func (f *fakeForwarder) Run(ctx context.Context, request *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
	f.mu.Lock()
	f.requests = append(f.requests, request)
	f.mu.Unlock()
	if f.run != nil {
		return f.run(ctx, request, sink)
	}
	sink.Start(http.StatusOK, http.Header{})
	return chiveforward.Result{Outcome: chiveforward.Completed, Started: true, Status: http.StatusOK}
}

func testTable(t *testing.T) *chivetable.Table {
	t.Helper()
	table, err := chivetable.New(chivetable.Spec{
		Version: 3,
		Routes: []chivetable.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Shares: []chivetable.Share{{Pool: "p", Weight: 1}}, Timeout: 5 * time.Second, Anonymous: true, Attempts: 1},
			{Name: "deep", Host: "a.example", Prefix: "/deep/", Shares: []chivetable.Share{{Pool: "p", Weight: 1}}, Timeout: 5 * time.Second, Tier: 2, Attempts: 1},
		},
		Pools:    []chivetable.Pool{{Name: "p"}},
		Teams:    []chivetable.Team{{Name: "red", HasTier: true, Tier: 1}},
		TeamKeys: map[string]int{"k-red": 0},
		Limits:   chivetable.Limits{BodyBytes: 100, HeaderBytes: 500},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func startEntry(t *testing.T, forwarder chiveentry.Forwarder) (*chiveentry.Entry, string) {
	t.Helper()
	return startEntryOn(t, chivewire.TCP{}, forwarder)
}

func startEntryOn(t *testing.T, network chivewire.Network, forwarder chiveentry.Forwarder) (*chiveentry.Entry, string) {
	t.Helper()
	address := chivestand.FreeAddress()
	e := chiveentry.New(chiveentry.Options{
		Address: address, Network: network, Dialect: testDialect{}, Forwarder: forwarder, Scope: tally.NoopScope,
		Logger: slog.New(slog.DiscardHandler),
	})
	e.SetTable(testTable(t))
	if err := e.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		e.Stop(ctx)
	})
	return e, address
}

func sendGet(t *testing.T, conn net.Conn, reader *bufio.Reader, path string) (*http.Response, error) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a.example\r\nId: 1\r\n\r\n"); err != nil {
		return nil, err
	}
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	return http.ReadResponse(reader, nil)
}

// startLongRequest keeps a request in flight, so that Stop has to wait, until release is closed.
func startLongRequest(t *testing.T, forwarder *fakeForwarder, address string) (conn net.Conn, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	running := make(chan struct{})
	forwarder.run = func(_ context.Context, request *chiverequest.Request, _ chiveforward.Sink) chiveforward.Result {
		if request.Target == "/long" {
			close(running)
			<-release
		}
		return chiveforward.Result{Outcome: chiveforward.NotRun, Status: http.StatusServiceUnavailable}
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: a.example\r\nId: 2\r\n\r\n")
	<-running
	return conn, release
}

// Guards against a stream that is aborted at the end of the grace period because it started on a connection that was
// idle when the shutdown began.
func TestStopClosesIdleConnections(t *testing.T) {
	forwarder := &fakeForwarder{}
	e, address := startEntry(t, forwarder)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if response, err := sendGet(t, conn, reader, "/one"); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("request before the stop: %v, %v", response, err)
	}
	longConn, release := startLongRequest(t, forwarder, address)
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	if response, err := sendGet(t, conn, reader, "/late"); err == nil {
		t.Errorf("the idle connection accepted a request during the stop: %v", response.Status)
	}
	longConn.SetReadDeadline(time.Now().Add(2 * time.Second))
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(longConn), nil)
	if err != nil || !response.Close {
		t.Errorf("response to the request in flight: %v, %v; want one that closes its connection", response, err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}

// slowNetwork returns connections whose Read blocks after it has read a "/slow" request, until resume is closed, as in
// a process that gets no CPU time.
type slowNetwork struct {
	chivewire.TCP
	requestRead chan struct{}
	resume      chan struct{}
}

func (n *slowNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.TCP.Listen(address)
	return &slowListener{listener, n}, err
}

type slowListener struct {
	net.Listener
	network *slowNetwork
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowConn{Conn: conn, network: l.network}, err
}

type slowConn struct {
	net.Conn
	network *slowNetwork
}

func (c *slowConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if strings.Contains(string(data[:n]), "/slow") {
		close(c.network.requestRead)
		<-c.network.resume
	}
	return n, err
}

// Guards against closing a connection as idle while its next request is being read: the request would be forwarded and
// its caller would get no response.
func TestStopDoesNotCloseConnectionDuringRequestRead(t *testing.T) {
	forwarder := &fakeForwarder{}
	network := &slowNetwork{requestRead: make(chan struct{}), resume: make(chan struct{})}
	e, address := startEntryOn(t, network, forwarder)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := sendGet(t, conn, reader, "/one"); err != nil {
		t.Fatal(err)
	}
	_, release := startLongRequest(t, forwarder, address)
	answered := make(chan error, 1)
	go func() {
		response, err := sendGet(t, conn, reader, "/slow")
		if err == nil {
			response.Body.Close()
		}
		answered <- err
	}()
	<-network.requestRead
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	close(network.resume)
	err = <-answered
	// The caller may see the connection close before the server has processed what it read.
	time.Sleep(100 * time.Millisecond)
	close(release)
	<-stopped
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	if err != nil && len(forwarder.requests) > 2 {
		t.Errorf("the request was forwarded, but its caller got no response: %v", err)
	}
}

// Guards against a connection that accepts another request after a response which ended during the shutdown.
func TestStopClosesConnectionWhenResponseEnds(t *testing.T) {
	forwarder := &fakeForwarder{}
	e, address := startEntry(t, forwarder)
	responseStarted, resume := make(chan struct{}), make(chan struct{})
	forwarder.run = func(_ context.Context, request *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
		sink.Start(http.StatusOK, http.Header{})
		if request.Target == "/long" {
			_ = sink.Write([]byte("first"), true)
			close(responseStarted)
			<-resume
		}
		return chiveforward.Result{Outcome: chiveforward.Completed, Started: true, Status: http.StatusOK}
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: a.example\r\nId: 2\r\n\r\n")
	<-responseStarted
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.Close {
		t.Fatalf("response that started before the stop: %v, %v", response, err)
	}
	_, release := startIncompleteRequest(t, e, address)
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	close(resume)
	if _, err := io.ReadAll(response.Body); err != nil {
		t.Errorf("reading the rest of the response: %v", err)
	}
	if response, err := sendGet(t, conn, reader, "/late"); err == nil {
		t.Errorf("the connection accepted another request during the stop: %v", response.Status)
	}
	release()
	<-stopped
}

// startIncompleteRequest sends a request without its body, so that Stop has to wait until release is called.
func startIncompleteRequest(t *testing.T, e *chiveentry.Entry, address string) (conn net.Conn, release func()) {
	t.Helper()
	before := e.InFlight()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, "POST /body HTTP/1.1\r\nHost: a.example\r\nId: 3\r\nContent-Length: 5\r\n\r\n")
	for e.InFlight() == before {
		time.Sleep(time.Millisecond)
	}
	return conn, func() { conn.Close() }
}
