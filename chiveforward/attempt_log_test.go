package chiveforward_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
	"chivedrift/chivetrace"
	"chivedrift/chivewire"
)

// askedPlaces are places that ask accepts before the first byte of a request is written.
type askedPlaces struct {
	chiveforward.Places
	accepts func() bool
}

type askedPlace struct {
	chiveforward.Place
	accepts func() bool
}

func (p askedPlaces) Take(ctx context.Context, request *chiverequest.Request, exclude []string) (chiveforward.Place, error) {
	place, err := p.Places.Take(ctx, request, exclude)
	return askedPlace{place, p.accepts}, err
}

func (p askedPlace) Accepts(time.Time) bool { return p.accepts() }

// peerNetwork makes connections through a peer.
type peerNetwork struct{ chivewire.TCP }

type peerConn struct{ net.Conn }

func (peerConn) Peer() string { return "peer:1" }

func (n peerNetwork) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	conn, err := n.TCP.Dial(ctx, from, address)
	return peerConn{conn}, err
}

// Guards against log lines that do not say why an attempt counts as run or not run.
func TestLogShowsEvidenceOfAttempt(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		response string
		kept     bool
		closes   bool
		change   func(o *chiveforward.Options)
		want     string
	}{
		"refusal":            {response: "HTTP/1.1 503 Full\r\nId: 42\r\nNot-Run: 1\r\n" + empty, want: "ended=refused_by_endpoint touched=false status=503 connection=new response_names=request framing=length not_run_by=refusal"},
		"refusal, kept":      {response: "HTTP/1.1 503 Full\r\nId: 42\r\nNot-Run: 1\r\n" + empty, kept: true, want: "ended=refused_by_endpoint touched=false status=503 connection=kept response_names=request framing=length not_run_by=refusal"},
		"other endpoint":     {response: "HTTP/1.1 421 Gone\r\nId: 42\r\n" + empty, want: "ended=other_endpoint touched=false status=421 connection=new response_names=request framing=length not_run_by=misdirected"},
		"another's response": {response: "HTTP/1.1 503 Full\r\nId: 41\r\nNot-Run: 1\r\n" + empty, want: "ended=broken touched=true status=0 connection=new response_names=other framing=length"},
		"unnamed response":   {response: "HTTP/1.1 200 OK\r\n" + empty, kept: true, want: "ended=broken touched=true status=0 connection=kept response_names=none framing=length"},
		"late, then own":     {response: "HTTP/1.1 503 Full\r\nId: 41\r\nNot-Run: 1\r\n" + empty + "HTTP/1.1 200 OK\r\nId: 42\r\n" + empty, kept: true, want: "ended=complete touched=true status=200 connection=kept response_names=request framing=length late_responses=1"},
		"until closed":       {response: "HTTP/1.1 200 OK\r\nId: 42\r\nConnection: close\r\n\r\n", closes: true, want: "ended=complete touched=true status=200 connection=new response_names=request framing=close"},
		"until closed, 1.0":  {response: "HTTP/1.0 200 OK\r\nId: 42\r\n\r\n", closes: true, want: "ended=complete touched=true status=200 connection=new response_names=request framing=close"},
		"no response":        {response: "", kept: true, want: "ended=broken touched=true status=0 connection=kept"},
		"through a peer":     {response: "HTTP/1.1 200 OK\r\nId: 42\r\n" + empty, change: func(o *chiveforward.Options) { o.Network = peerNetwork{} }, want: "ended=complete touched=true status=200 connection=new through=peer:1 response_names=request framing=length"},
		"withdrawn":          {change: askBefore(func() bool { return false }), want: "ended=unreached touched=false status=0 connection=new not_run_by=withdrawn"},
		"not connected":      {change: func(o *chiveforward.Options) { o.Network = deafNetwork{} }, want: "ended=unreached touched=false status=0 connection=new not_run_by=not_connected"},
	} {
		t.Run(name, func(t *testing.T) {
			var logged bytes.Buffer
			e := newEndpoint(t, func(conn net.Conn, request *http.Request, body string) {
				if request.Header.Get("Id") == "41" {
					echo(conn, request, body)
					return
				}
				write(conn, c.response)
				if c.response == "" || c.closes {
					conn.Close()
				}
			})
			s := newFixtureWithOptions(t, func(o *chiveforward.Options) {
				o.Logger = slog.New(slog.NewJSONHandler(&logged, nil))
				if c.change != nil {
					c.change(o)
				}
			}, chivetable.Route{Attempts: 1}, e.registration("one"))
			if c.kept {
				first := s.request(http.MethodPost, "first")
				first.ID = "41"
				s.run(first)
			}
			request := s.request(http.MethodPost, "")
			request.Deadline = time.Now().Add(200 * time.Millisecond)
			s.run(request)
			if got := attemptEnd(t, logged.String()); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

func askBefore(accepts func() bool) func(o *chiveforward.Options) {
	return func(o *chiveforward.Options) { o.Places = askedPlaces{o.Places, accepts} }
}

// deafNetwork is a network without connections.
type deafNetwork struct{ chivewire.TCP }

func (deafNetwork) Dial(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
}

// attemptEnd returns how the trace of request 42 shows the end of its first attempt, without endpoint, times and error.
func attemptEnd(t *testing.T, logged string) string {
	t.Helper()
	lines, err := chivetrace.Read(strings.NewReader(logged), "n1")
	if err != nil {
		t.Fatal(err)
	}
	trace, _ := chivetrace.Collect(lines, "42")
	for _, l := range trace.Lines {
		if l.Event != chiveevent.AttemptEnded.Number() {
			continue
		}
		var out bytes.Buffer
		(&chivetrace.Trace{Lines: []chivetrace.Line{l}}).Write(&out)
		_, fields, _ := strings.Cut(out.String(), "endpoint=one ")
		fields, _, _ = strings.Cut(fields, " error=")
		before, after, _ := strings.Cut(fields, " events=0")
		_, after, _ = strings.Cut(strings.TrimSpace(after), " ")
		after, _, _ = strings.Cut(after, "endpoint_passed_over_ms")
		return strings.TrimSpace(before + " " + after)
	}
	t.Fatalf("no line of event 503 in %s", logged)
	return ""
}

// Guards against log lines as long as what an endpoint sends, since errors quote it.
func TestErrorOfAttemptIsBounded(t *testing.T) {
	var logged bytes.Buffer
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, strings.Repeat("x", 50_000)+"\r\n\r\n")
	})
	s := newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Logger = slog.New(slog.NewJSONHandler(&logged, nil)) }, chivetable.Route{Attempts: 1}, e.registration("one"))
	s.run(s.request(http.MethodPost, ""))
	for _, line := range strings.Split(logged.String(), "\n") {
		if len(line) > 1000 {
			t.Errorf("line of %d bytes: %s", len(line), line[:400])
		}
	}
	if !strings.Contains(logged.String(), `"error":"`) {
		t.Errorf("no error in %s", logged.String())
	}
}
