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

// plainDialect is a callers' dialect with one header field.
type plainDialect struct{}

func (plainDialect) Read(header http.Header) (chiverequest.Asked, error) {
	if header.Get("Bad") != "" {
		return chiverequest.Asked{}, errors.New("header Bad: not a number")
	}
	wait, err := time.ParseDuration(header.Get("Wait"))
	if err != nil {
		wait = time.Second
	}
	return chiverequest.Asked{ID: header.Get("Id"), Key: header.Get("Key"), Wait: wait}, nil
}

func (plainDialect) Strip(header http.Header)           { header.Del("Key") }
func (plainDialect) Mark(header http.Header, id string) { header.Set("Id", id) }

// fakeForwarder answers as a test tells it and keeps what it was asked.
type fakeForwarder struct {
	mu   sync.Mutex
	run  func(ctx context.Context, request *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result
	seen []*chiverequest.Request
}

func (f *fakeForwarder) Run(ctx context.Context, request *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
	f.mu.Lock()
	f.seen = append(f.seen, request)
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
		Address: address, Network: network, Dialect: plainDialect{}, Forwarder: forwarder, Scope: tally.NoopScope,
		Logger: slog.New(slog.DiscardHandler),
	})
	e.SetTable(testTable(t))
	if err := e.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		e.Stop(ended)
	})
	return e, address
}

func ask(t *testing.T, conn net.Conn, from *bufio.Reader, path string) (*http.Response, error) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a.example\r\nId: 1\r\n\r\n"); err != nil {
		return nil, err
	}
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	return http.ReadResponse(from, nil)
}

// keepBusy holds a long request in flight, so that a stop has to wait, until release is closed.
func keepBusy(t *testing.T, forwarder *fakeForwarder, address string) (conn net.Conn, release chan struct{}) {
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

// Guards against a stream cut at the end of the grace period because it began on a connection that was idle at the signal.
func TestStopClosesIdleConnections(t *testing.T) {
	forwarder := &fakeForwarder{}
	e, address := startEntry(t, forwarder)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	from := bufio.NewReader(conn)
	if response, err := ask(t, conn, from, "/one"); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("before the stop: %v, %v", response, err)
	}
	other, release := keepBusy(t, forwarder, address)
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	if response, err := ask(t, conn, from, "/late"); err == nil {
		t.Errorf("the idle connection took a request during the stop: %v", response.Status)
	}
	other.SetReadDeadline(time.Now().Add(2 * time.Second))
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(other), nil)
	if err != nil || !response.Close {
		t.Errorf("the request in flight: %v, %v; want an answer that closes its connection", response, err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}

// slowNetwork hands out connections that keep what they have read to themselves for a while, as a process does that the
// system leaves without processor time.
type slowNetwork struct {
	chivewire.TCP
	reading chan struct{}
	goOn    chan struct{}
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
		close(c.network.reading)
		<-c.network.goOn
	}
	return n, err
}

// Guards against closing a connection as idle while its next request is being read.
func TestStopDoesNotCutARequestThatIsBeingRead(t *testing.T) {
	forwarder := &fakeForwarder{}
	network := &slowNetwork{reading: make(chan struct{}), goOn: make(chan struct{})}
	e, address := startEntryOn(t, network, forwarder)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	from := bufio.NewReader(conn)
	if _, err := ask(t, conn, from, "/one"); err != nil {
		t.Fatal(err)
	}
	_, release := keepBusy(t, forwarder, address)
	answered := make(chan error, 1)
	go func() {
		response, err := ask(t, conn, from, "/slow")
		if err == nil {
			response.Body.Close()
		}
		answered <- err
	}()
	<-network.reading
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	close(network.goOn)
	err = <-answered
	// The caller sees the closing before the server has gone on with what it read.
	time.Sleep(100 * time.Millisecond)
	close(release)
	<-stopped
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	if err != nil && len(forwarder.seen) > 2 {
		t.Errorf("the request was passed on, and its caller got no answer: %v", err)
	}
}

// Guards against a new request on a connection whose answer ended after the listener was closed.
func TestStopClosesAConnectionAsItsAnswerEnds(t *testing.T) {
	forwarder := &fakeForwarder{}
	e, address := startEntry(t, forwarder)
	begun, goOn := make(chan struct{}), make(chan struct{})
	forwarder.run = func(_ context.Context, request *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
		sink.Start(http.StatusOK, http.Header{})
		if request.Target == "/long" {
			_ = sink.Write([]byte("first"), true)
			close(begun)
			<-goOn
		}
		return chiveforward.Result{Outcome: chiveforward.Completed, Started: true, Status: http.StatusOK}
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	from := bufio.NewReader(conn)
	io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: a.example\r\nId: 2\r\n\r\n")
	<-begun
	response, err := http.ReadResponse(from, nil)
	if err != nil || response.Close {
		t.Fatalf("the answer that begins before the stop: %v, %v", response, err)
	}
	_, release := keepBusyBeside(t, e, address)
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	close(goOn)
	if _, err := io.ReadAll(response.Body); err != nil {
		t.Errorf("the rest of the answer: %v", err)
	}
	if response, err := ask(t, conn, from, "/late"); err == nil {
		t.Errorf("the connection took another request during the stop: %v", response.Status)
	}
	release()
	<-stopped
}

// keepBusyBeside keeps a stop waiting with a request whose body is not there yet, until release is called.
func keepBusyBeside(t *testing.T, e *chiveentry.Entry, address string) (conn net.Conn, release func()) {
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
