package chiveforward_test

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveforward"
	"chivedrift/chiverequest"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

// newStoppingFixture returns a fixture with an endpoint that answers after the time that the header "Lasts" gives.
func newStoppingFixture(t *testing.T, route chivetable.Route) (*fixture, *chiveforward.Shutdown, *endpoint) {
	t.Helper()
	return newStoppingFixtureOn(t, chivewire.TCP{}, route)
}

// newStoppingFixtureOn returns such a fixture on a network.
func newStoppingFixtureOn(t *testing.T, network chivewire.Network, route chivetable.Route) (*fixture, *chiveforward.Shutdown, *endpoint) {
	t.Helper()
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := newEndpointAt(t, listener, func(conn net.Conn, request *http.Request, body string) {
		lasts, _ := time.ParseDuration(request.Header.Get("Lasts"))
		time.Sleep(lasts)
		echo(conn, request, body)
	})
	shutdown := chiveforward.NewShutdown()
	s := newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Network, o.Shutdown = network, shutdown }, route, e.registration("one"))
	return s, shutdown, e
}

// lastingRequest returns a request that takes the endpoint the given time and has a distant deadline.
func (s *fixture) lastingRequest(lasts time.Duration) *chiverequest.Request {
	request := s.request(http.MethodPost, "body")
	request.Header.Set("Lasts", lasts.String())
	request.Deadline = time.Now().Add(time.Minute)
	return request
}

// countEarly returns how many requests of a play began with more than a time left before the cut; left is what each had.
func countEarly(t *testing.T, left []time.Duration, more, interval time.Duration) (early int) {
	t.Helper()
	for _, l := range left {
		if l > more {
			early++
		}
	}
	if planned := int((left[0] - more) / interval); early < planned/2 {
		t.Errorf("%d of %d requests were sent: the play shows too little", early, planned)
	}
	return early
}

// Guards against a stopping node that begins work which it cuts, and against one that refuses work which it could complete.
func TestStoppingNodeBeginsOnlyWhatStillEnds(t *testing.T) {
	const (
		untilCut = 1600 * time.Millisecond
		interval = 40 * time.Millisecond
	)
	for name, lasts := range map[string]time.Duration{"fast": 10 * time.Millisecond, "slow": 400 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s, shutdown, e := newStoppingFixture(t, chivetable.Route{Attempts: 2, Target: 4 * time.Second})
			for range 3 {
				if result, _ := s.run(s.lastingRequest(lasts)); result.Outcome != chiveforward.Completed {
					t.Fatalf("before the stop: %+v", result)
				}
			}
			before := e.requests()
			began := time.Now()
			cut := began.Add(untilCut)
			shutdown.Begin(began, cut)
			var wait sync.WaitGroup
			var mu sync.Mutex
			served, refused, servable := 0, 0, 0
			var left []time.Duration
			for time.Now().Before(cut) {
				request := s.lastingRequest(lasts)
				left = append(left, time.Until(cut))
				wait.Go(func() {
					begun := time.Now()
					result, _ := s.run(request)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case result.Outcome == chiveforward.Completed && time.Now().Before(cut):
						served++
					case result.Outcome == chiveforward.NotRun && result.Code == chiveforward.CodeStopping && time.Since(begun) < lasts/2+5*time.Millisecond:
						refused++
						// A quarter more than the longest, and the time for the last answers.
						if time.Until(cut) > lasts*5/4+lasts/4+300*time.Millisecond {
							servable++
						}
					default:
						t.Errorf("begun %v before the cut: %+v", cut.Sub(begun), result)
					}
				})
				time.Sleep(interval)
			}
			wait.Wait()
			t.Logf("%d served, %d refused, of these %d could have been served", served, refused, servable)
			if servable > 0 {
				t.Errorf("%d requests were refused that could have been served", servable)
			}
			least := countEarly(t, left, lasts*3/2+300*time.Millisecond, interval) - 3
			if served < least || refused == 0 {
				t.Errorf("%d served and %d refused, want at least %d and 1", served, refused, least)
			}
			if ran := e.requests() - before; ran != served {
				t.Errorf("the endpoint ran %d requests, %d were answered", ran, served)
			}
		})
	}
}

// Guards against a request that a stopping node begins although nothing is known of its route and its deadline lies after the
// cut, and against one that it refuses although its deadline lies before.
func TestStoppingNodeBeginsUnknownRequestsThatEndByTheirDeadline(t *testing.T) {
	s, shutdown, _ := newStoppingFixture(t, chivetable.Route{Attempts: 1})
	shutdown.Begin(time.Now(), time.Now().Add(2*time.Second))
	request := s.lastingRequest(10 * time.Millisecond)
	if result, _ := s.run(request); result.Outcome != chiveforward.NotRun || result.Code != chiveforward.CodeStopping || result.Status != http.StatusServiceUnavailable || result.RetryAfter <= 0 {
		t.Errorf("deadline after the cut: got %+v", result)
	}
	request.Deadline = time.Now().Add(time.Second)
	if result, _ := s.run(request); result.Outcome != chiveforward.Completed {
		t.Errorf("deadline before the cut: got %+v", result)
	}
}

// Guards against a request whose connection the cut closes while an endpoint has not answered it.
func TestStoppingNodeAnswersRequestsWithoutResponseBeforeTheCut(t *testing.T) {
	s, shutdown, e := newStoppingFixture(t, chivetable.Route{Attempts: 1})
	type end struct {
		result chiveforward.Result
		at     time.Time
	}
	ends := make(chan end, 1)
	go func() {
		result, _ := s.run(s.lastingRequest(3 * time.Second))
		ends <- end{result, time.Now()}
	}()
	for e.requests() == 0 {
		time.Sleep(time.Millisecond)
	}
	cut := time.Now().Add(400 * time.Millisecond)
	shutdown.Begin(time.Now(), cut)
	got := <-ends
	if left := cut.Sub(got.at); left <= 0 || left > 250*time.Millisecond {
		t.Errorf("answered %v before the cut", left)
	}
	if r := got.result; r.Outcome != chiveforward.Unknown || r.Status != http.StatusBadGateway || r.Code != chiveforward.CodeStopping || r.Started {
		t.Errorf("got %+v", r)
	}
}

// Guards against a retry that begins too late: the request has failed once and would be cut at the next endpoint.
func TestStoppingNodeDoesNotRetryTooLate(t *testing.T) {
	var shutdown *chiveforward.Shutdown
	fail := func(conn net.Conn, _ *http.Request, _ string) {
		shutdown.Begin(time.Now(), time.Now().Add(time.Second))
		reset(conn)
	}
	one, two := newEndpoint(t, fail), newEndpoint(t, fail)
	shutdown = chiveforward.NewShutdown()
	s := newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Shutdown = shutdown }, chivetable.Route{Attempts: 3, Repeat: chivetable.RepeatAlways}, one.registration("one"), two.registration("two"))
	result, _ := s.run(s.lastingRequest(0))
	if result.Outcome != chiveforward.Unknown || result.Status != http.StatusBadGateway || result.Code != chiveforward.CodeStopping || len(result.Tries) != 1 {
		t.Errorf("got %+v", result)
	}
}

// Guards against a request that waits for an endpoint until it is too late to begin, and holds up the stop.
func TestStoppingNodeRefusesWaitingRequestsInTime(t *testing.T) {
	s, shutdown, e := newStoppingFixture(t, chivetable.Route{Attempts: 1, Target: 40 * time.Second})
	if result, _ := s.run(s.lastingRequest(200 * time.Millisecond)); result.Outcome != chiveforward.Completed {
		t.Fatalf("got %+v", result)
	}
	s.pools.ApplyEndpoints(chivedirectory.Diff{Gone: []chivedirectory.Endpoint{e.registration("one")}})
	cut := time.Now().Add(time.Second)
	shutdown.Begin(time.Now(), cut)
	result, _ := s.run(s.lastingRequest(200 * time.Millisecond))
	if left := time.Until(cut); left < 300*time.Millisecond {
		t.Errorf("refused %v before the cut", left)
	}
	if result.Outcome != chiveforward.NotRun || result.Code != chiveforward.CodeStopping || len(result.Tries) != 0 {
		t.Errorf("got %+v", result)
	}
}

// Guards against a stream that is begun since most of its kind are short, and cut.
func TestStoppingNodeBeginsNoStreamThatMayBeAsLongAsAnother(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, request *http.Request, _ string) {
		lasts, _ := time.ParseDuration(request.Header.Get("Lasts"))
		const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
		write(conn, "HTTP/1.1 200 OK\r\nId: 42\r\nContent-Type: text/event-stream\r\nContent-Length: "+strconv.Itoa(len(first+second))+"\r\n\r\n"+first)
		time.Sleep(lasts)
		write(conn, second)
	})
	shutdown := chiveforward.NewShutdown()
	s := newFixtureWithOptions(t, func(o *chiveforward.Options) { o.Shutdown = shutdown }, chivetable.Route{Attempts: 1, Target: 4 * time.Second}, e.registration("one"))
	for i := range 40 {
		lasts := time.Millisecond
		if i == 20 {
			lasts = 400 * time.Millisecond
		}
		if result, _ := s.run(s.lastingRequest(lasts)); result.Outcome != chiveforward.Completed {
			t.Fatalf("got %+v", result)
		}
	}
	now := time.Now()
	shutdown.Begin(now, now.Add(400*time.Millisecond))
	if result, _ := s.run(s.lastingRequest(time.Millisecond)); result.Outcome != chiveforward.NotRun || result.Code != chiveforward.CodeStopping {
		t.Errorf("got %+v", result)
	}
}

// newSizedFixture returns the shutdown of a node that has served one request of 100 tokens, how long that ran, and further requests by their
// tokens.
func newSizedFixture(t *testing.T, lasts time.Duration) (shutdown *chiveforward.Shutdown, ran time.Duration, sized func(tokens int64) *chiverequest.Request) {
	t.Helper()
	s, shutdown, _ := newStoppingFixture(t, chivetable.Route{Attempts: 1})
	sized = func(tokens int64) *chiverequest.Request {
		request := s.lastingRequest(lasts)
		request.Prompt = &chiverequest.Prompt{MostOutput: tokens}
		return request
	}
	began := time.Now()
	if result, _ := s.run(sized(100)); result.Outcome != chiveforward.Completed {
		t.Fatalf("got %+v", result)
	}
	return shutdown, time.Since(began), sized
}

// Guards against an estimate from short prompts for one with a long output.
func TestExpectedDurationGrowsWithTheStatedOutput(t *testing.T) {
	const lasts, most, plays = 100 * time.Millisecond, 105 * time.Millisecond, 50
	shutdown, ran, sized := newSizedFixture(t, lasts)
	// The bounds hold for a first request that runs as long as its endpoint is to take.
	for play := 1; ran > most; play++ {
		if play == plays {
			t.Fatalf("none of %d requests of %v ended within %v", plays, lasts, most)
		}
		shutdown, ran, sized = newSizedFixture(t, lasts)
	}
	now := time.Now()
	shutdown.Begin(now, now.Add(time.Second))
	for tokens, want := range map[int64]bool{50: true, 100: true, 400: true, 1600: false} {
		if got := shutdown.MayBegin(now, sized(tokens), 0); got != want {
			t.Errorf("a prompt with %d tokens may begin: %v, want %v", tokens, got, want)
		}
	}
}

// Guards against the duration of a request that is estimated from much smaller ones, or from ones of no stated size, without bound.
func TestStoppingNodeExpectsNoAbsurdDurations(t *testing.T) {
	s, shutdown, _ := newStoppingFixture(t, chivetable.Route{Attempts: 1, Target: 4 * time.Second})
	sized := func(tokens int64) *chiverequest.Request {
		request := s.lastingRequest(5 * time.Millisecond)
		request.Prompt = &chiverequest.Prompt{MostOutput: tokens}
		return request
	}
	if result, _ := s.run(s.lastingRequest(5 * time.Millisecond)); result.Outcome != chiveforward.Completed {
		t.Fatalf("got %+v", result)
	}
	now := time.Now()
	shutdown.Begin(now, now.Add(2*time.Second))
	if !shutdown.MayBegin(now, sized(1000), 0) {
		t.Error("refused by the duration of requests that state no size")
	}
	if result, _ := s.run(sized(16)); result.Outcome != chiveforward.Completed {
		t.Fatalf("got %+v", result)
	}
	for _, tokens := range []int64{1 << 30, 1 << 38, 1 << 62} {
		if shutdown.MayBegin(now, sized(tokens), 0) {
			t.Errorf("a request of %d tokens may begin 2 s before the cut", tokens)
		}
	}
}
