package chivecaller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chivedrift/chivecaller"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

const (
	// settleTime is how long a server has to read what it will.
	settleTime = 50 * time.Millisecond
	// readTimeout limits the reads of callers.
	readTimeout = 5 * time.Second
	next        = "POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nnext"
)

// server serves requests on tracked connections. A request for /hold waits in its handler.
type server struct {
	conns   *chivecaller.Conns
	address string
	// held gets a value when a request is held, release ends it, with a whole response or none.
	held    chan struct{}
	release chan bool
	// answer is what the held request is answered with.
	answer string
	// left is closed when the context of a held request ends.
	left chan struct{}
	// seen gets the body of each request.
	seen chan string
	// dropped gets what callers had sent behind a request when its connection was closed.
	dropped chan chivecaller.Unserved
}

func startServer(t *testing.T) *server {
	t.Helper()
	s := &server{
		conns: chivecaller.NewConns(), address: chivestand.FreeAddress(), held: make(chan struct{}, 16), release: make(chan bool, 16), answer: "held",
		left: make(chan struct{}), seen: make(chan string, 1024), dropped: make(chan chivecaller.Unserved, 16),
	}
	s.conns.OnUnserved(func(u chivecaller.Unserved) { s.dropped <- u })
	served := chivewire.NewHTTPServer(&http.Server{Handler: http.HandlerFunc(s.serve), ConnContext: s.conns.ConnContext, ConnState: s.conns.ConnState})
	if err := served.Start(s.conns.On(chivewire.TCP{}), s.address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.conns.Cut()
		served.Close()
	})
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	conn := chivecaller.Of(r)
	if !conn.StartServing(r) {
		panic(http.ErrAbortHandler)
	}
	conn.SetID(r.Header.Get("Id"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	conn.RequestRead()
	s.seen <- string(body)
	if r.URL.Path == "/hold" {
		s.hold(w, r)
	}
	conn.Answered()
}

func (s *server) hold(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Last") != "" {
		w.Header().Set("Connection", "close")
	}
	io.WriteString(w, s.answer)
	http.NewResponseController(w).Flush()
	s.held <- struct{}{}
	select {
	case whole := <-s.release:
		if !whole {
			panic(http.ErrAbortHandler)
		}
	case <-r.Context().Done():
		close(s.left)
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	return conn
}

// receive returns the next value of a channel.
func receive[T any](t *testing.T, values <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(readTimeout):
		t.Error("nothing comes")
	}
	return value
}

// checkUnread checks how many bytes on a connection the server has not read.
func checkUnread(t *testing.T, conn net.Conn, want int) {
	t.Helper()
	if got, err := chivestand.UnreadBytes(conn); err != nil || got != want {
		t.Errorf("%d bytes are unread, %v; want %d", got, err, want)
	}
}

// readBody reads a response and returns its body.
func readBody(t *testing.T, reader *bufio.Reader) string {
	t.Helper()
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode == http.StatusContinue {
			continue
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return string(body)
	}
}

// heldForms are requests that are held, in forms whose ends differ, each with its body.
var heldForms = map[string][2]string{
	"no body":       {"GET /hold HTTP/1.1\r\nHost: a\r\n\r\n", ""},
	"bare newlines": {"GET /hold HTTP/1.1\nHost: a\n\n", ""},
	"length":        {"POST /hold HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12345", "12345"},
	"length zero":   {"POST /hold HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", ""},
	"large":         {"POST /hold HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000), strings.Repeat("x", 100_000)},
	"large head":    {"GET /hold HTTP/1.1\r\nHost: a\r\nPadding: " + strings.Repeat("x", 10_000) + "\r\n\r\n", ""},
	"chunks":        {"POST /hold HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n003;a=b\r\n345\r\n0\r\n\r\n", "12345"},
	"large chunks":  {"POST /hold HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2710\r\n" + strings.Repeat("y", 10_000) + "\r\n0\r\n\r\n", strings.Repeat("y", 10_000)},
	"trailer":       {"POST /hold HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\nA\r\n0123456789\r\n0\r\nSum: 1\r\n\r\n", "0123456789"},
	"expect":        {"POST /hold HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n12345", "12345"},
}

// Guards against a server that reads a request behind a running one, which it cannot answer if the response before is broken off.
func TestNoByteBehindARequestIsRead(t *testing.T) {
	for name, form := range heldForms {
		for _, sending := range []string{"together", "later", "in pieces"} {
			t.Run(name+" "+sending, func(t *testing.T) {
				t.Parallel()
				s := startServer(t)
				conn := dial(t, s.address)
				send(conn, form[0], next+next, sending)
				receive(t, s.held)
				if sending == "later" {
					io.WriteString(conn, next+next)
				}
				time.Sleep(settleTime)
				checkUnread(t, conn, 2*len(next))
				s.release <- true
				reader := bufio.NewReader(conn)
				for _, want := range []string{"held", "", ""} {
					if got := readBody(t, reader); got != want {
						t.Errorf("got %q, want %q", got, want)
					}
				}
				for _, want := range []string{form[1], "next", "next"} {
					if got := receive(t, s.seen); got != want {
						t.Errorf("request %.40q, want %.40q", got, want)
					}
				}
			})
		}
	}
}

// Guards against bytes that are withheld from net/http, which alone decides what a request is.
func TestWhatIsNoRequestIsAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		// statuses are those of all responses.
		statuses []int
	}{
		"empty line behind a body":      {next + "\r\n" + next, []int{200, 200}},
		"empty line first":              {"\r\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n", []int{400}},
		"no request":                    {"hello\r\n\r\n", []int{400}},
		"a length that is none":         {next + "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", []int{200, 400}},
		"another expectation":           {next + "POST /x HTTP/1.1\r\nHost: a\r\nExpect: x\r\nContent-Length: 1\r\n\r\nx", []int{200, 417}},
		"chunk without a length":        {next + "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\r\nxx\r\n0\r\n\r\n", []int{200}},
		"chunk with too long a length":  {next + "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n11112222333344445\r\nxx\r\n0\r\n\r\n", []int{200}},
		"an empty line in a folded one": {next + "GET /x HTTP/1.1\r\nHost: a\r\nA: b\r\n \r\n\r\n" + next, []int{200, 200, 200}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, startServer(t).address)
			io.WriteString(conn, c.text)
			reader := bufio.NewReader(conn)
			for _, want := range c.statuses {
				response, err := http.ReadResponse(reader, nil)
				if err != nil || response.StatusCode != want {
					t.Fatalf("got %+v, %v; want %d", response, err, want)
				}
				io.Copy(io.Discard, response.Body)
			}
		})
	}
}

// send sends a request and, unless they come later, what stands behind it.
func send(conn net.Conn, request, behind, sending string) {
	switch sending {
	case "together":
		io.WriteString(conn, request+behind)
	case "later":
		io.WriteString(conn, request)
	default:
		dice := rand.New(rand.NewPCG(1, uint64(len(request))))
		for text := request + behind; text != ""; {
			n := min(len(text), 1+dice.IntN(1+len(request)/8))
			io.WriteString(conn, text[:n])
			text = text[n:]
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against a request that is read and not answered since the response before it was broken off, or ended the connection.
func TestRequestsBehindTheLastResponseStayUnread(t *testing.T) {
	for name, c := range map[string]struct {
		request, behind string
		whole           bool
		closing         chivecaller.Closing
	}{
		"broken off":       {"GET /hold HTTP/1.1\r\nHost: a\r\nId: 7\r\n\r\n", next, false, chivecaller.BrokenOff},
		"announced":        {"GET /hold HTTP/1.1\r\nHost: a\r\nId: 7\r\nLast: 1\r\n\r\n", next, true, chivecaller.Announced},
		"asked for":        {"GET /hold HTTP/1.1\r\nHost: a\r\nId: 7\r\nConnection: close\r\n\r\n", next, true, chivecaller.Announced},
		"HTTP/1.0":         {"GET /hold HTTP/1.0\r\nHost: a\r\nId: 7\r\n\r\n", next, true, chivecaller.Announced},
		"a part of it":     {"GET /hold HTTP/1.1\r\nHost: a\r\nId: 7\r\n\r\n", next[:20], false, chivecaller.BrokenOff},
		"larger than read": {"GET /hold HTTP/1.1\r\nHost: a\r\nId: 7\r\n\r\n", "POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 60_000), false, chivecaller.BrokenOff},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startServer(t)
			conn := dial(t, s.address)
			io.WriteString(conn, c.request+c.behind)
			receive(t, s.held)
			time.Sleep(settleTime)
			s.release <- c.whole
			got, err := io.ReadAll(conn)
			if err != nil || !strings.Contains(string(got), "held") {
				t.Errorf("got %q, %v", got, err)
			}
			checkUnread(t, conn, len(c.behind))
			if got, want := receive(t, s.dropped), (chivecaller.Unserved{ID: "7", Closing: c.closing, Waiting: true}); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

// Guards against a reset that destroys the end of a response which a slow reader has not got, since another request is unread.
func TestSlowReadersGetResponsesWithAnotherRequestUnread(t *testing.T) {
	s := startServer(t)
	s.answer = strings.Repeat("x", 8<<20)
	conn := dial(t, s.address)
	fmt.Fprintf(conn, "GET /hold HTTP/1.0\r\nHost: a\r\n\r\n%s", next)
	s.release <- true
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(700 * time.Millisecond)
	count := 0
	for buffer := make([]byte, 256<<10); err == nil; time.Sleep(time.Millisecond) {
		var n int
		n, err = response.Body.Read(buffer)
		count += n
	}
	if !errors.Is(err, io.EOF) || count != len(s.answer) {
		t.Errorf("got %d of %d bytes, %v", count, len(s.answer), err)
	}
	checkUnread(t, conn, len(next))
}

// Guards against a response that is lost to a caller which takes it only after the connection was reset, since another request is unread.
func TestLateReadersGetResponsesWithAnotherRequestUnread(t *testing.T) {
	s := startServer(t)
	s.answer = strings.Repeat("x", 32<<10)
	conn := dial(t, s.address)
	io.WriteString(conn, "GET /hold HTTP/1.1\r\nHost: a\r\nLast: 1\r\n\r\n"+next)
	receive(t, s.held)
	s.release <- true
	for closed := time.Now().Add(readTimeout); time.Now().Before(closed); time.Sleep(settleTime) {
		if unread, err := chivestand.UnreadBytes(conn); err != nil || unread < 0 {
			break
		}
	}
	if got := readBody(t, bufio.NewReader(conn)); got != s.answer {
		t.Errorf("got %d of %d bytes", len(got), len(s.answer))
	}
}

// Guards against a server that no longer notices that the caller of a running request has left.
func TestLeavingCallersAreNoticed(t *testing.T) {
	for name, behind := range map[string]string{"nothing behind": "", "another request behind": next} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t)
			conn := dial(t, s.address)
			io.WriteString(conn, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n"+behind)
			receive(t, s.held)
			time.Sleep(settleTime)
			if behind != "" {
				// A reset, since the end of the connection stands behind the request that is not read.
				conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
			select {
			case <-s.left:
			case <-time.After(readTimeout):
				t.Error("the request goes on")
			}
		})
	}
}

// Guards against connections that stay open, or whose callers are reset, when a shutdown comes between two requests.
func TestShutdownServesRequestsThatWait(t *testing.T) {
	s := startServer(t)
	conn := dial(t, s.address)
	io.WriteString(conn, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n"+next)
	receive(t, s.held)
	s.conns.CloseIdle()
	s.release <- true
	reader := bufio.NewReader(conn)
	for _, want := range []string{"held", ""} {
		if got := readBody(t, reader); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection stays open: %v", err)
	}
	conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for s.conns.CloseRest() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if ctx.Err() != nil {
		t.Error("a connection is still tracked")
	}
}
