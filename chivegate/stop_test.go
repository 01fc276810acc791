package chivegate_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chivedrift/chivedispatch"
	"chivedrift/chivegate"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

const (
	responseBound = 2 * time.Second
	stopBound     = 15 * time.Second
	settleTime    = 100 * time.Millisecond
)

// waitingServices answers a request at once, or, if its path begins with /wait, once release is closed.
type waitingServices struct {
	begun   chan string
	release chan struct{}
	body    string
}

func newWaitingServices() *waitingServices {
	return &waitingServices{begun: make(chan string, 16), release: make(chan struct{}), body: "whole"}
}

func (s *waitingServices) Run(_ context.Context, request *chivedispatch.ServiceWork) (chivedispatch.Result, *chivedispatch.ServiceAnswer) {
	s.begun <- request.Path
	if strings.HasPrefix(request.Path, "/wait") {
		<-s.release
	}
	return chivedispatch.Result{Outcome: chivedispatch.Completed}, &chivedispatch.ServiceAnswer{Status: http.StatusOK, Header: http.Header{"Connection": {"keep-alive"}}, Body: []byte(s.body)}
}

// startGateway starts a gateway on a network and returns its address.
func startGateway(t *testing.T, network chivewire.Network, services chivegate.Services) (*chivegate.Gate, string) {
	t.Helper()
	address := chivestand.FreeAddress()
	options := testOptions(t)
	options.Address, options.Network, options.Services = address, network, services
	gateway := newGatewayWith(t, options)
	if err := gateway.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return gateway, address
}

// stop stops a gateway and returns a channel that is closed when it has stopped.
func stop(t *testing.T, gateway *chivegate.Gate) (stopped chan struct{}) {
	t.Helper()
	stopped = make(chan struct{})
	go func() {
		defer close(stopped)
		if err := gateway.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	}()
	time.Sleep(settleTime)
	return stopped
}

func awaitStop(t *testing.T, stopped <-chan struct{}) {
	t.Helper()
	select {
	case <-stopped:
	case <-time.After(stopBound):
		t.Error("the gateway does not stop")
	}
}

// client is a caller's connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &client{conn, bufio.NewReader(conn)}
}

// send sends a request with a body.
func (c *client) send(path string) {
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", path, key)
}

// receive returns a whole response and its body.
func (c *client) receive() (*http.Response, string, error) {
	_ = c.SetReadDeadline(time.Now().Add(responseBound))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, "", fmt.Errorf("response: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, "", fmt.Errorf("body: %w", err)
	}
	return response, string(body), nil
}

// stallingNetwork returns connections whose Read stalls, after it has read a request for a path with "stall", until resume
// is closed, as in a process that gets no processor.
type stallingNetwork struct {
	chivewire.TCP
	requestRead, resume chan struct{}
}

func (n *stallingNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.TCP.Listen(address)
	return &stallingListener{listener, n}, err
}

type stallingListener struct {
	net.Listener
	network *stallingNetwork
}

func (l *stallingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &stallingConn{conn, l.network}, err
}

type stallingConn struct {
	net.Conn
	network *stallingNetwork
}

func (c *stallingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if strings.Contains(string(data[:n]), "stall") {
		close(c.network.requestRead)
		<-c.network.resume
	}
	return n, err
}

// Guards against a planned stop that closes a connection as idle while its next request is being read: the request would
// run and its caller would get no response.
func TestStopClosesNoConnectionWhoseRequestRuns(t *testing.T) {
	services, network := newWaitingServices(), &stallingNetwork{requestRead: make(chan struct{}), resume: make(chan struct{})}
	gateway, address := startGateway(t, network, services)
	running := dial(t, address)
	running.send("/services/s/wait")
	<-services.begun
	kept := dial(t, address)
	kept.send("/services/s/first")
	if _, _, err := kept.receive(); err != nil {
		t.Fatal(err)
	}
	<-services.begun
	kept.send("/services/s/stall")
	<-network.requestRead
	stopped := stop(t, gateway)
	close(network.resume)
	response, body, err := kept.receive()
	// The caller may see the connection close before the gateway has processed what it read.
	time.Sleep(settleTime)
	ran := len(services.begun) > 0
	close(services.release)
	awaitStop(t, stopped)
	if ran && (err != nil || body != "whole" || !response.Close) {
		t.Errorf("the request ran, and its caller got %q, %v", body, err)
	}
}

// Guards against callers that send another request on a connection which a planned stop is about to close, and that lose
// the response in flight to it.
func TestStopAnswersRunningRequestsAndClosesTheirConnections(t *testing.T) {
	services := newWaitingServices()
	gateway, address := startGateway(t, chivewire.TCP{}, services)
	running, unused := dial(t, address), dial(t, address)
	time.Sleep(settleTime)
	running.send("/services/s/wait")
	<-services.begun
	gateway.Leave()
	stopped := stop(t, gateway)
	unused.send("/services/s/wait/late")
	<-services.begun
	select {
	case <-stopped:
		t.Error("stopped beside running requests")
	case <-time.After(settleTime):
	}
	close(services.release)
	if _, body, err := running.receive(); err != nil || body != "whole" {
		t.Errorf("the running request got %q, %v", body, err)
	}
	if response, body, err := unused.receive(); err != nil || body != "whole" || !response.Close {
		t.Errorf("the request on an unused connection got %q, %v, want a whole response that closes the connection", body, err)
	}
	awaitStop(t, stopped)
	for _, c := range []*client{running, unused} {
		if _, err := c.reader.ReadByte(); err == nil {
			t.Error("the connection is still open")
		}
	}
}

// Guards against a planned stop that waits without end for the body of a request which was refused at once.
func TestStopEndsBesideABodyThatNeverEnds(t *testing.T) {
	for _, head := range []string{
		"POST /unknown HTTP/1.1\r\nHost: node\r\n",
		"POST /services/s/x HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer not-a-key\r\n",
	} {
		for _, body := range []string{"Content-Length: 100\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"} {
			t.Run(strings.Fields(head)[1]+" "+strings.Fields(body)[0], func(t *testing.T) {
				t.Parallel()
				gateway, address := startGateway(t, chivewire.TCP{}, newWaitingServices())
				caller := dial(t, address)
				_, _ = io.WriteString(caller, head+body)
				time.Sleep(settleTime)
				awaitStop(t, stop(t, gateway))
				if response, _, err := caller.receive(); err != nil || response.StatusCode < http.StatusBadRequest || !response.Close {
					t.Errorf("got %v, %v, want a refusal that closes the connection", response, err)
				}
			})
		}
	}
}

// Guards against callers that come back to a node which is about to stop, since no response has said so.
func TestResponsesCloseTheirConnectionsWhileTheGatewayLeaves(t *testing.T) {
	gateway, address := startGateway(t, chivewire.TCP{}, newWaitingServices())
	gateway.Leave()
	for _, path := range []string{"/services/s/x", "/services/none/x", "/unknown"} {
		caller := dial(t, address)
		caller.send(path)
		if response, _, err := caller.receive(); err != nil || !response.Close {
			t.Errorf("%s: %v, %v, want a response that closes the connection", path, response, err)
		}
	}
	awaitStop(t, stop(t, gateway))
}

// Guards against a planned stop that resets a connection with unread bytes, which destroys what the caller has not read yet.
func TestStopDeliversResponsesWithUnreadBytesBehindTheRequest(t *testing.T) {
	services := newWaitingServices()
	services.body = strings.Repeat("x", 1<<19)
	gateway, address := startGateway(t, chivewire.TCP{}, services)
	caller := dial(t, address)
	caller.send("/services/s/wait")
	<-services.begun
	caller.send("/services/s/behind")
	time.Sleep(settleTime)
	stopped := stop(t, gateway)
	close(services.release)
	time.Sleep(settleTime)
	if _, body, err := caller.receive(); err != nil || body != services.body {
		t.Errorf("got %d of %d bytes, %v", len(body), len(services.body), err)
	}
	awaitStop(t, stopped)
	if len(services.begun) > 0 {
		if _, body, err := caller.receive(); err != nil || body != services.body {
			t.Errorf("the request behind it ran, and its caller got %d bytes, %v", len(body), err)
		}
	}
}

// Guards against a request that is read behind a response which announces the end of the connection, and not answered.
func TestRequestsBehindAnAnnouncedEndStayUnread(t *testing.T) {
	services := newWaitingServices()
	gateway, address := startGateway(t, chivewire.TCP{}, services)
	gateway.Leave()
	caller := dial(t, address)
	caller.send("/services/s/wait")
	<-services.begun
	const behind = "GET /v1/models HTTP/1.1\r\nHost: node\r\n\r\n"
	_, _ = io.WriteString(caller, behind)
	time.Sleep(settleTime)
	stopped := stop(t, gateway)
	close(services.release)
	if response, body, err := caller.receive(); err != nil || body != "whole" || !response.Close {
		t.Errorf("got %q, %v, want a whole response that closes the connection", body, err)
	}
	if _, err := caller.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection is still open: %v", err)
	}
	if unread, err := chivestand.UnreadBytes(caller); err != nil || unread != len(behind) {
		t.Errorf("%d bytes are unread, %v; want %d", unread, err, len(behind))
	}
	caller.Close()
	awaitStop(t, stopped)
}
