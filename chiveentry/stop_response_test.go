package chiveentry_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivewire"
)

// slowWriteNetwork returns connections whose writes take some time, as on a busy machine or a narrow link.
type slowWriteNetwork struct {
	chivewire.TCP
	delay time.Duration
}

func (n slowWriteNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.TCP.Listen(address)
	return slowWriteListener{listener, n.delay}, err
}

type slowWriteListener struct {
	net.Listener
	delay time.Duration
}

func (l slowWriteListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowWriteConn{conn, l.delay}, err
}

type slowWriteConn struct {
	net.Conn
	delay time.Duration
}

func (c slowWriteConn) Write(data []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(data)
}

func (c slowWriteConn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.CloseWrite()
}

// respond returns a forwarder that responds after some time and counts the requests that it gets.
func respond(after time.Duration, body string, forwarded *atomic.Int64) *fakeForwarder {
	return &fakeForwarder{run: func(_ context.Context, _ *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
		forwarded.Add(1)
		time.Sleep(after)
		sink.Start(http.StatusOK, http.Header{})
		_ = sink.Write([]byte(body), false)
		return chiveforward.Result{Outcome: chiveforward.Completed, Started: true, Status: http.StatusOK}
	}}
}

// Guards against a stop that closes the connections of requests whose handlers have returned before their responses were written
// out: the endpoints ran the requests, and their callers got nothing.
func TestStopWaitsUntilResponsesAreWrittenOut(t *testing.T) {
	const stops, callers = 4, 20
	var forwarded, answered atomic.Int64
	for range stops {
		forwarder := respond(30*time.Millisecond, strings.Repeat("x", 800), &forwarded)
		e, address, _ := startLoggingEntry(t, slowWriteNetwork{delay: 50 * time.Millisecond}, forwarder)
		var wait sync.WaitGroup
		for i := range callers {
			wait.Go(func() {
				answered.Add(requestUntilClosed(address, i%2 == 0))
			})
		}
		time.Sleep(200 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		if err := e.Stop(ctx); err != nil {
			t.Error(err)
		}
		if ctx.Err() != nil {
			t.Error("the stop took all of its time")
		}
		cancel()
		wait.Wait()
	}
	t.Logf("%d of %d forwarded requests were answered", answered.Load(), forwarded.Load())
	if answered.Load() != forwarded.Load() {
		t.Errorf("%d requests were forwarded, %d answered", forwarded.Load(), answered.Load())
	}
}

// requestUntilClosed sends requests, on one connection or a new one each, until one fails, and returns how many were answered.
func requestUntilClosed(address string, keeps bool) (answered int64) {
	transport := &http.Transport{DisableKeepAlives: !keeps}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 3 * time.Second}
	for {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader("12345"))
		if err != nil {
			return answered
		}
		request.Host = "a.example"
		request.Header.Set("Wait", "1s")
		response, err := client.Do(request)
		if err != nil {
			return answered
		}
		_, err = io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			return answered
		}
		if response.StatusCode == http.StatusOK {
			answered++
		}
	}
}

// Guards against a response that a reset destroys: closing a connection with unread bytes, here of another request, resets it.
func TestStopDeliversResponsesWithUnreadBytesBehindTheRequest(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(protocol, func(t *testing.T) {
			var forwarded atomic.Int64
			body := strings.Repeat("x", 512<<10)
			e, address, _ := startLoggingEntry(t, chivewire.TCP{}, respond(50*time.Millisecond, body, &forwarded))
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "POST /x %s\r\nHost: a.example\r\nId: 1\r\nContent-Length: 5\r\n\r\n12345", protocol)
			for forwarded.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			stopped := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				defer cancel()
				stopped <- e.Stop(ctx)
			}()
			io.WriteString(conn, "POST /y HTTP/1.1\r\nHost: a.example\r\nId: 2\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("y", 9000))
			time.Sleep(150 * time.Millisecond)
			conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(response.Body)
			if err != nil || len(got) != len(body) {
				t.Errorf("got %d of %d bytes, %v", len(got), len(body), err)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
			if forwarded.Load() != 1 {
				t.Errorf("%d requests were forwarded", forwarded.Load())
			}
		})
	}
}

// Guards against a caller that reads slowly and gets only the beginning of a response, since its handler has returned.
func TestStopWaitsForSlowReaders(t *testing.T) {
	var forwarded atomic.Int64
	body := strings.Repeat("x", 8<<20)
	e, address, _ := startLoggingEntry(t, chivewire.TCP{}, respond(0, body, &forwarded))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a.example\r\nId: 1\r\n\r\n")
	for forwarded.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		stopped <- e.Stop(ctx)
	}()
	time.Sleep(500 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil || len(got) != len(body) {
		t.Errorf("got %d of %d bytes, %v", len(got), len(body), err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a stop that forwards a request from a connection that it has closed, and against one that waits for connections
// on which nothing comes.
func TestStopEndsUnusedConnections(t *testing.T) {
	var forwarded atomic.Int64
	e, address, _ := startLoggingEntry(t, chivewire.TCP{}, respond(0, "x", &forwarded))
	conns := make([]net.Conn, 0, 40)
	for range cap(conns) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	answered, began := make(chan bool), time.Now()
	for i, conn := range conns {
		go func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a.example\r\nId: 1\r\nWait: 100ms\r\n\r\n")
			conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			conn.Close()
			answered <- err == nil && response.StatusCode == http.StatusOK
		}()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	if err := e.Stop(ctx); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the stop took %v", took)
	}
	count := int64(0)
	for range conns {
		if <-answered {
			count++
		}
	}
	t.Logf("%d of %d requests were forwarded", forwarded.Load(), len(conns))
	if count != forwarded.Load() {
		t.Errorf("%d requests were forwarded, %d answered", forwarded.Load(), count)
	}
}

// Guards against a new connection that the stop closes while its first request is being read: the request would be forwarded and its
// caller would get no response.
func TestStopDoesNotForwardFromNewConnectionsThatItCloses(t *testing.T) {
	network := &slowNetwork{requestRead: make(chan struct{}), resume: make(chan struct{})}
	var forwarded atomic.Int64
	e, address, _ := startLoggingEntry(t, network, respond(0, "x", &forwarded))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: a.example\r\nId: 1\r\nWait: 100ms\r\n\r\n")
	<-network.requestRead
	time.AfterFunc(500*time.Millisecond, func() { close(network.resume) })
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if err := e.Stop(ctx); err != nil {
		t.Error(err)
	}
	conn.SetReadDeadline(time.Now().Add(time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	// The server may go on with what it has read after the caller has seen the end of the connection.
	time.Sleep(200 * time.Millisecond)
	if err != nil && forwarded.Load() > 0 {
		t.Errorf("the request was forwarded, but its caller got no response: %v, %v", response, err)
	}
}

// Guards against a stop that drops a request which came together with the one before, or while that was served, on a response that
// did not ask to close.
func TestStopServesPipelinedRequests(t *testing.T) {
	t.Run("together", func(t *testing.T) { checkPipelined(t, 0) })
	t.Run("behind", func(t *testing.T) { checkPipelined(t, 50*time.Millisecond) })
}

func checkPipelined(t *testing.T, between time.Duration) {
	t.Helper()
	var forwarded atomic.Int64
	release := make(chan struct{})
	forwarder := &fakeForwarder{run: func(_ context.Context, _ *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
		sink.Start(http.StatusOK, http.Header{})
		_ = sink.Write([]byte("x"), true)
		if forwarded.Add(1) == 1 {
			<-release
		}
		return chiveforward.Result{Outcome: chiveforward.Completed, Started: true, Status: http.StatusOK}
	}}
	e, address, _ := startLoggingEntry(t, chivewire.TCP{}, forwarder)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	one := "POST /x HTTP/1.1\r\nHost: a.example\r\nId: 1\r\nWait: 500ms\r\nContent-Length: 2\r\n\r\nhi"
	io.WriteString(conn, one)
	time.Sleep(between)
	io.WriteString(conn, one)
	for forwarded.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		stopped <- e.Stop(ctx)
	}()
	time.Sleep(50 * time.Millisecond)
	close(release)
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	reader := bufio.NewReader(conn)
	for i, closes := range []bool{false, true} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || string(body) != "x" || response.Close != closes {
			t.Errorf("response %d: %q, %v, closes %v", i, body, err, response.Close)
		}
	}
	conn.Close()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
