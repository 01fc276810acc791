package chiveentry_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chivedrift/chivecaller"
	"chivedrift/chiveentry"
	"chivedrift/chiveforward"
	"chivedrift/chivememory"
	"chivedrift/chiverequest"
	"chivedrift/chivestand"
	"chivedrift/chivetable"
	"chivedrift/chivewire"

	"github.com/uber-go/tally/v4"
)

const (
	bodyLimit   = 256 << 10
	headerLimit = 4 << 10
	// bodyMemory is enough for two bodies of the largest size.
	bodyMemory = 4 * bodyLimit
	bodyWait   = 5 * time.Second
)

// startBounded starts an entry with bounds and returns its forwarder, pool and address.
func startBounded(t *testing.T, connections int) (*fakeForwarder, *chivememory.Pool, string) {
	t.Helper()
	table, err := chivetable.New(chivetable.Spec{
		Routes: []chivetable.Route{{Name: "all", Host: "a.example", Prefix: "/", Shares: []chivetable.Share{{Pool: "p", Weight: 1}}, Anonymous: true, Attempts: 1}},
		Pools:  []chivetable.Pool{{Name: "p"}}, Limits: chivetable.Limits{BodyBytes: bodyLimit, HeaderBytes: headerLimit},
	})
	if err != nil {
		t.Fatal(err)
	}
	forwarder, pool, address := &fakeForwarder{}, chivememory.NewPool(bodyMemory), chivestand.FreeAddress()
	e := chiveentry.New(chiveentry.Options{
		Address: address, Network: chivewire.TCP{}, Dialect: testDialect{}, Forwarder: forwarder, Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler),
		Bounds: chivecaller.Bounds{Connections: connections, Memory: pool, Receive: chivewire.NewReceiveBuffers(1 << 20)},
	})
	e.SetTable(table)
	if err := e.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Stop(t.Context()) })
	return forwarder, pool, address
}

// dialEntry opens a connection that ends with the test.
func dialEntry(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(bodyWait))
	return conn
}

// readAnswer returns the response on a connection.
func readAnswer(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response
}

// checkEnded checks that each request that found no memory or gave way was refused on its connection, and that the others are still being
// read. Which ones gave way follows from when their last bytes were read, not from the order in which they were sent.
func checkEnded(t *testing.T, pool *chivememory.Pool, conns []net.Conn) {
	t.Helper()
	counts, read := pool.Counts(), make(chan error, len(conns))
	for _, conn := range conns {
		go func() { read <- readNoMemory(conn) }()
	}
	ended := int(counts.Refused + counts.GaveWay)
	for range ended {
		if err := <-read; err != nil {
			t.Errorf("of %d requests that ended: %v", ended, err)
		}
	}
	if counts.Arriving != len(conns)-ended {
		t.Errorf("%d requests, %d ended, %d still being read", len(conns), ended, counts.Arriving)
	}
}

var errNoRefusal = errors.New("no refusal for want of memory")

// readNoMemory reads the refusal of a request that there is no memory for.
func readNoMemory(conn net.Conn) error {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		return fmt.Errorf("%w: %s, Retry-After %q", errNoRefusal, response.Status, response.Header.Get("Retry-After"))
	}
	return nil
}

func bodyHead(fields string) string {
	return "POST /x HTTP/1.1\r\nHost: a.example\r\n" + fields + "\r\n"
}

// Guards against a node that reads a body which its head announces as too large, or asks for it.
func TestAnnouncedBodyOverTheLimitIsRefusedUnread(t *testing.T) {
	for _, expect := range []string{"", "Expect: 100-continue\r\n"} {
		forwarder, pool, address := startBounded(t, 0)
		conn := dialEntry(t, address)
		io.WriteString(conn, bodyHead(fmt.Sprintf("Content-Length: %d\r\n%s", bodyLimit+1, expect)))
		if response := readAnswer(t, conn); response.StatusCode != http.StatusRequestEntityTooLarge || !response.Close {
			t.Errorf("%q: %s", expect, response.Status)
		}
		if most := pool.Counts().Most; most != 0 || len(forwarder.requests) != 0 {
			t.Errorf("%q: %d bytes were reserved, %d requests forwarded", expect, most, len(forwarder.requests))
		}
	}
}

// Guards against a refusal that a caller loses which is still sending its body.
func TestRefusalReachesACallerThatStillSends(t *testing.T) {
	_, _, address := startBounded(t, 0)
	for name, fields := range map[string]string{"announced": "Content-Length: 8000000\r\n", "in chunks": "Transfer-Encoding: chunked\r\n"} {
		conn := dialEntry(t, address)
		go func() {
			piece := strings.Repeat("a", 1<<12)
			io.WriteString(conn, bodyHead(fields))
			for range 2000 {
				if _, err := fmt.Fprintf(conn, "1000\r\n%s\r\n", piece); err != nil {
					return
				}
			}
		}()
		if response := readAnswer(t, conn); response.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("%s: %s", name, response.Status)
		}
	}
}

// Guards against bodies that stay in memory although they stopped short of their end, and against one that is refused for their sake.
func TestStalledBodiesGiveWayToOthers(t *testing.T) {
	forwarder, pool, address := startBounded(t, 0)
	var stalled []net.Conn
	body := strings.Repeat("a", bodyLimit)
	for range 3 {
		conn := dialEntry(t, address)
		io.WriteString(conn, bodyHead(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))+body[1:])
		stalled = append(stalled, conn)
	}
	time.Sleep(1500 * time.Millisecond)
	conn := dialEntry(t, address)
	io.WriteString(conn, bodyHead(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))+body)
	if response := readAnswer(t, conn); response.StatusCode != http.StatusOK || len(forwarder.requests) != 1 || string(forwarder.requests[0].Body) != body {
		t.Errorf("the whole body: %s", response.Status)
	}
	if counts := pool.Counts(); counts.GaveWay == 0 {
		t.Errorf("%+v", counts)
	}
	checkEnded(t, pool, stalled)
}

// Guards against memory that a request keeps after it was answered, refused or cut.
func TestRequestsReturnTheirMemory(t *testing.T) {
	_, pool, address := startBounded(t, 0)
	body := strings.Repeat("a", bodyLimit)
	for name, text := range map[string]string{
		"whole":          bodyHead(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit)) + body,
		"cut":            bodyHead(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit)) + body[1:],
		"cut in a chunk": bodyHead("Transfer-Encoding: chunked\r\n") + "30000\r\n" + body[:0x2000],
		"too large":      bodyHead("Transfer-Encoding: chunked\r\n") + "50000\r\n" + body + body,
		"long head":      bodyHead("X-Long: " + strings.Repeat("h", 3<<10) + "\r\n"),
		"cut head":       "POST /" + strings.Repeat("p", 12<<10),
	} {
		conn := dialEntry(t, address)
		io.WriteString(conn, text)
		time.Sleep(50 * time.Millisecond)
		conn.Close()
		for start := time.Now(); pool.Counts().Used != 0 || pool.Counts().Arriving != 0; time.Sleep(10 * time.Millisecond) {
			if time.Since(start) > bodyWait {
				t.Fatalf("%s: %+v", name, pool.Counts())
			}
		}
	}
	if pool.Counts().Most == 0 {
		t.Error("nothing was reserved")
	}
}

// Guards against heads that are read far beyond the limit, and against a refusal that its caller loses.
func TestHeadFarOverTheLimitIsRefused(t *testing.T) {
	forwarder, _, address := startBounded(t, 0)
	conn := dialEntry(t, address)
	go io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: a.example\r\nX-Long: "+strings.Repeat("h", 1<<20))
	if response := readAnswer(t, conn); response.StatusCode != http.StatusRequestHeaderFieldsTooLarge || len(forwarder.requests) != 0 {
		t.Errorf("%s", response.Status)
	}
}

// Guards against connections that keep others from being accepted: those that bring no request go first, used ones last.
func TestConnectionsWithoutARequestMakeRoom(t *testing.T) {
	const connections = 20
	_, _, address := startBounded(t, connections)
	kept := dialEntry(t, address)
	reader := bufio.NewReader(kept)
	request := bodyHead("Content-Length: 0\r\n")
	useKept := func() {
		io.WriteString(kept, request)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("on the used connection: %v", err)
		}
		response.Body.Close()
	}
	useKept()
	for range 3 {
		for range connections {
			dialEntry(t, address)
		}
		time.Sleep(300 * time.Millisecond)
		conn := dialEntry(t, address)
		io.WriteString(conn, request)
		if response := readAnswer(t, conn); response.StatusCode != http.StatusOK {
			t.Errorf("on a new connection: %s", response.Status)
		}
		conn.Close()
		useKept()
	}
}

// Guards against refused requests whose bodies never come, and which keep their connections for ever.
func TestRefusedRequestWithoutItsBodyIsAnswered(t *testing.T) {
	_, _, address := startBounded(t, 0)
	conn := dialEntry(t, address)
	io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: b.example\r\nContent-Length: 100\r\n\r\na")
	if response := readAnswer(t, conn); response.StatusCode != http.StatusNotFound {
		t.Errorf("%s", response.Status)
	}
}

// Guards against heads that stay in memory although their rest does not come, and against a refusal of them that is no promise.
func TestStalledHeadsGiveWayToOthers(t *testing.T) {
	const heads = 30
	forwarder, pool, address := startBounded(t, 0)
	var stalled []net.Conn
	for range heads {
		conn := dialEntry(t, address)
		io.WriteString(conn, "POST /"+strings.Repeat("p", 12<<10))
		stalled = append(stalled, conn)
	}
	time.Sleep(1500 * time.Millisecond)
	conn := dialEntry(t, address)
	io.WriteString(conn, bodyHead(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))+strings.Repeat("a", bodyLimit))
	if response := readAnswer(t, conn); response.StatusCode != http.StatusOK || len(forwarder.requests) != 1 {
		t.Errorf("the whole body: %s", response.Status)
	}
	if counts := pool.Counts(); counts.GaveWay == 0 || counts.GaveWay == heads {
		t.Errorf("%+v", counts)
	}
	checkEnded(t, pool, stalled)
}

// Guards against callers that keep others from being accepted since they read nothing of their responses.
func TestUnreadResponsesMakeRoom(t *testing.T) {
	const connections = 4
	forwarder, _, address := startBounded(t, connections)
	forwarder.run = func(_ context.Context, request *chiverequest.Request, sink chiveforward.Sink) chiveforward.Result {
		sink.Start(http.StatusOK, http.Header{})
		if request.Target == "/large" {
			if err := sink.Write(make([]byte, 32<<20), true); err != nil {
				return chiveforward.Result{Outcome: chiveforward.Unknown, Started: true}
			}
		}
		return chiveforward.Result{Outcome: chiveforward.Completed, Started: true, Status: http.StatusOK}
	}
	for range connections {
		io.WriteString(dialEntry(t, address), "POST /large HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n")
	}
	for start := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		conn := dialEntry(t, address)
		io.WriteString(conn, bodyHead("Content-Length: 0\r\n"))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			response.Body.Close()
			return
		}
		if time.Since(start) > 10*time.Second {
			t.Fatal(err)
		}
	}
}
