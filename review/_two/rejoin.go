package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	stand "chivedrift/platform/stand"
)

const (
	longEvents     = 30
	longInterval   = 300 * time.Millisecond
	longPerS       = 4
	longWait       = 12 * time.Second
	killAfter      = 14 * time.Second
	startDelay     = 500 * time.Millisecond
	stability      = 3 * time.Second
	afterKill      = 8 * time.Second
	leastTakenUp   = 12
	rejoinSessions = 24
	rejoinNodes    = 3
)

// takeUpPauses are the pauses before a client's further tries, from the end of its channel on.
var takeUpPauses = []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond, 2600 * time.Millisecond}

// try is one attempt of a client to get a stream.
type try struct {
	sentAt time.Time
	// takesUp means that events were got before, goesOn that this try brought the one behind them, or the first one.
	takesUp, goesOn bool
}

// longStream is a client that takes its stream up again.
type longStream struct {
	w                *world
	id, session      string
	began            time.Time
	first            string
	last, nextNode   int
	tries            []try
	whole, hasOrphan bool
}

// attempt sends one attempt and reads its events; it returns whether the client is done.
func (s *longStream) attempt(number int) (done bool) {
	left := longWait - time.Since(s.began)
	if left <= 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	attempt := fmt.Sprintf("%s-%d", s.id, number)
	node := s.w.nodes[s.nextNode%len(s.w.nodes)]
	s.nextNode++
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.callers+streamRoute+s.id, strings.NewReader("prompt"))
	if err != nil {
		return true
	}
	request.Host, request.Close = host, true
	request.Header = stand.CallerHeader(attempt, clientKey, left)
	request.Header.Set("Model", "m")
	request.Header.Set(s.w.names["tokens"], "300,60")
	request.Header.Set(s.w.names["prompt"], fmt.Sprintf("%s:200,%x:100", s.session, s.id))
	t := try{sentAt: time.Now(), takesUp: s.last > 0}
	if t.takesUp {
		request.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		request.Header.Set("Resumes", s.first)
	}
	s.w.note("client sends %s to %s, behind event %d", attempt, node.name, s.last)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		s.w.note("client got no answer to %s: %v", attempt, err)
		s.tries = append(s.tries, t)
		return false
	}
	defer response.Body.Close()
	before := s.last
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok && response.StatusCode == http.StatusOK {
			number, err := strconv.Atoi(id)
			if err != nil || number != s.last+1 {
				s.hasOrphan = true
				continue
			}
			if s.last = number; number == 1 {
				s.first = attempt
			}
		}
	}
	t.goesOn = s.last > before
	s.whole = s.last == longEvents
	s.tries = append(s.tries, t)
	s.w.note("client got %s: status %d, events up to %d of %d", attempt, response.StatusCode, s.last, longEvents)
	return s.whole
}

// play gets the stream with some tries within the client's time limit.
func (s *longStream) play() {
	if s.attempt(0) {
		return
	}
	for i, pause := range takeUpPauses {
		time.Sleep(pause)
		if s.attempt(i + 1) {
			return
		}
	}
}

// playRejoin has all nodes killed at once; clients take their streams up again.
func playRejoin(w *world) int {
	w.store.Publish(1, []stand.Route{
		{Name: "hint", Host: host, Prefix: streamRoute, Kind: "streaming", Backend: engineService, Attempts: 2, Resumable: true, TimeoutMs: 12000, TargetMs: 2500},
	}, map[string][]string{clientTeam: {clientKey}})
	for i := range engineCount {
		e, err := newEngine(w, fmt.Sprintf("i-e%d", i+1))
		if err != nil {
			w.say("no engine: %v", err)
			return caseNotRun
		}
		e.events, e.interval = longEvents, longInterval
	}
	w.addNodes(rejoinNodes)
	if err := w.startAll(); err != nil {
		w.say("%v", err)
		return caseNotRun
	}
	var (
		clients   sync.WaitGroup
		streams   []*longStream
		mu        sync.Mutex
		startedAt time.Time
	)
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(killAfter)
		if w.trouble {
			w.killAll()
			time.Sleep(startDelay)
			for _, n := range w.nodes {
				if err := w.start(n); err != nil {
					w.say("%v", err)
				}
			}
		}
		mu.Lock()
		startedAt = time.Now()
		mu.Unlock()
		time.Sleep(afterKill)
	}()
	ticker := time.NewTicker(time.Second / longPerS)
	defer ticker.Stop()
	for isOver := false; !isOver; {
		select {
		case <-done:
			isOver = true
		case <-ticker.C:
			s := &longStream{w: w, id: fmt.Sprintf("d%05d", len(streams)), session: fmt.Sprintf("5e%02x", len(streams)%rejoinSessions), began: time.Now(), nextNode: len(streams)}
			streams = append(streams, s)
			clients.Go(s.play)
		}
	}
	clients.Wait()
	return w.judgeRejoin(streams, startedAt.Add(stability))
}

// killAll kills all nodes at once.
func (w *world) killAll() {
	var kills sync.WaitGroup
	for _, n := range w.nodes {
		kills.Go(n.kill)
	}
	kills.Wait()
	w.note("all nodes were killed at once")
}

// judgeRejoin compares the take-ups that were sent from a time on with the new streams.
func (w *world) judgeRejoin(streams []*longStream, inTouch time.Time) int {
	sent, begun, takenUp, goOn, orphans := 0, 0, 0, 0, 0
	for _, s := range streams {
		if s.hasOrphan {
			orphans++
		}
		for _, t := range s.tries {
			switch {
			case t.sentAt.Before(inTouch):
			case t.takesUp:
				takenUp++
				if t.goesOn {
					goOn++
				}
			default:
				sent++
				if t.goesOn {
					begun++
				}
			}
		}
	}
	w.say("sent later than %v after the nodes' start: %d of %d new streams begin, %d of %d that clients take up go on; %d with events out of order", stability, begun, sent, goOn, takenUp, orphans)
	switch {
	case sent == 0 || begun < sent/2:
		return caseNotRun
	case w.trouble && takenUp < leastTakenUp:
		return caseNotRun
	case takenUp >= leastTakenUp && 2*goOn*sent < begun*takenUp:
		return ruleBroken
	}
	return ruleHeld
}
