package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	stand "chivedrift/platform/stand"
)

const (
	engineCount = 8
	// upgraded engines are a quarter of them.
	upgradedCount = 2
	streamEvents  = 30
	eventInterval = 100 * time.Millisecond
	streamsPerS   = 20
	clientWait    = 8 * time.Second
	quietFor      = 10 * time.Second
	storeDownFor  = 6 * time.Second
	engineDownFor = time.Second
	crashAfter    = 200 * time.Millisecond
	afterwards    = 5 * time.Second
	mostMixed     = 2
	// busyFor is how long clients send all streams, sparePart the part of them that they send from then on.
	busyFor   = quietFor + storeDownFor - 800*time.Millisecond
	sparePart = 5
	// sessions is the number of shared parts of prompts.
	sessions       = 24
	oldVersion     = "v1"
	newVersion     = "v2"
	engineService  = "engines"
	streamRoute    = "/hint/"
	heartbeatEvery = 1200 * time.Millisecond
)

// engine is a replica of model engines that can crash and start again under its id.
type engine struct {
	w       *world
	id      string
	replica *stand.ByteReplica

	// events and interval are those of its streams.
	events   int
	interval time.Duration

	mu       sync.Mutex
	version  string
	conns    map[net.Conn]struct{}
	isDown   bool
	listener net.Listener
}

// trackedListener knows the connections of an engine, and resets new ones while it is down.
type trackedListener struct {
	net.Listener
	e *engine
}

func (l trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.e.mu.Lock()
		down := l.e.isDown
		if !down {
			l.e.conns[conn] = struct{}{}
		}
		l.e.mu.Unlock()
		if !down {
			return conn, nil
		}
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func newEngine(w *world, id string) (*engine, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	e := &engine{w: w, id: id, events: streamEvents, interval: eventInterval, version: oldVersion, conns: make(map[net.Conn]struct{})}
	e.listener = trackedListener{listener, e}
	e.replica = stand.NewByteReplica(w.store, e.listener, id, engineService, e.answer)
	return e, nil
}

// crash resets all connections; the engine is back after a time, under its id and with a version.
func (e *engine) crash(downFor time.Duration, version string) {
	e.mu.Lock()
	e.isDown = true
	for conn := range e.conns {
		reset(conn)
	}
	e.conns = make(map[net.Conn]struct{})
	e.mu.Unlock()
	e.w.note("engine %s crashes", e.id)
	time.AfterFunc(downFor, func() {
		e.mu.Lock()
		e.isDown, e.version = false, version
		e.mu.Unlock()
		// Its entry is seen once the store answers again.
		e.replica.Replace(e.id, version)
		e.w.note("engine %s is back under its id with version %s", e.id, version)
	})
}

func (e *engine) versionNow() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// answer streams the events that follow the one that the request names; each event states the engine's version.
func (e *engine) answer(_ *stand.ByteReplica, c *stand.ByteConn, request *http.Request) (keep bool) {
	names := e.w.names
	attempt, version := request.Header.Get(names["attempt"]), e.versionNow()
	if expected := request.Header.Get(names["expect"]); expected != "" && expected != e.id {
		return c.Send(stand.ByteResponse(http.StatusMisdirectedRequest, "", names["attempt"], attempt, names["notrun"], "1"))
	}
	after, err := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	e.w.note("engine %s (%s) runs %s after event %d", e.id, version, attempt, after)
	if !c.Send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n%s: seal-%s-%s\r\n\r\n", names["attempt"], attempt, names["seal"], e.id, attempt)) {
		return false
	}
	for i := after + 1; i <= e.events; i++ {
		if !c.Send(stand.ByteChunk(fmt.Sprintf("id: %d\ndata: piece %d by %s\n\n", i, i, version))) {
			return false
		}
		time.Sleep(e.interval)
	}
	return c.Send("0\r\n\r\n")
}

// streamResult is what a client got.
type streamResult struct {
	status   int
	events   int
	versions map[string]bool
	whole    bool
}

// getStream sends one request for a stream and reads its events.
func (w *world) getStream(node, attempt, session string) (result streamResult) {
	ctx, cancel := context.WithTimeout(context.Background(), clientWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+streamRoute+attempt, strings.NewReader("prompt"))
	if err != nil {
		return result
	}
	request.Host = host
	request.Header = stand.CallerHeader(attempt, clientKey, clientWait)
	request.Header.Set("Model", "m")
	request.Header.Set(w.names["tokens"], "300,60")
	request.Header.Set(w.names["prompt"], fmt.Sprintf("%s:200,%x:100", session, attempt))
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return result
	}
	defer response.Body.Close()
	result.status, result.versions = response.StatusCode, make(map[string]bool)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if _, version, ok := strings.Cut(lines.Text(), " by "); ok && strings.HasPrefix(lines.Text(), "data: ") {
			result.events++
			result.versions[version] = true
		}
	}
	result.whole = lines.Err() == nil && result.events == streamEvents
	return result
}

// playVersions has two of nine engines crash while the store is down and start again under their ids with a newer version.
func playVersions(w *world) int {
	w.store.Publish(1, []stand.Route{
		{Name: "hint", Host: host, Prefix: streamRoute, Kind: "streaming", Backend: engineService, Attempts: 2, Resumable: true, TimeoutMs: 8000, TargetMs: 1200},
	}, map[string][]string{clientTeam: {clientKey}})
	var engines []*engine
	for i := range engineCount {
		e, err := newEngine(w, fmt.Sprintf("i-e%d", i+1))
		if err != nil {
			w.say("no engine: %v", err)
			return caseNotRun
		}
		engines = append(engines, e)
	}
	w.addNodes(2)
	if err := w.startAll(); err != nil {
		w.say("%v", err)
		return caseNotRun
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(quietFor)
		if w.trouble {
			w.note("the store is down")
			w.store.SetDown(true)
			time.Sleep(crashAfter)
			for _, e := range engines[:upgradedCount] {
				e.crash(engineDownFor, newVersion)
			}
			time.Sleep(storeDownFor - crashAfter)
			w.store.SetDown(false)
			w.note("the store answers again")
		} else {
			time.Sleep(storeDownFor)
		}
		time.Sleep(afterwards)
	}()
	return w.judgeVersions(done)
}

// judgeVersions sends streams until the time is over, and counts those with events of two versions.
func (w *world) judgeVersions(done <-chan struct{}) int {
	var (
		clients               sync.WaitGroup
		mu                    sync.Mutex
		sent, complete, mixed int
	)
	ticker, began, ticks := time.NewTicker(time.Second/streamsPerS), time.Now(), 0
	defer ticker.Stop()
	for isOver := false; !isOver; {
		select {
		case <-done:
			isOver = true
		case <-ticker.C:
			if ticks++; time.Since(began) > busyFor && ticks%sparePart != 0 {
				continue
			}
			sent++
			node, attempt, session := w.nodes[sent%len(w.nodes)].callers, fmt.Sprintf("a%06d", sent), fmt.Sprintf("5e%02x", sent%sessions)
			clients.Go(func() {
				w.note("client sends %s", attempt)
				r := w.getStream(node, attempt, session)
				w.note("client got %s: status %d, %d events of versions %v, whole %v", attempt, r.status, r.events, r.versions, r.whole)
				mu.Lock()
				defer mu.Unlock()
				if r.whole {
					complete++
				}
				if len(r.versions) > 1 {
					mixed++
					w.note("MIXED VERSIONS in %s", attempt)
				}
			})
		}
	}
	clients.Wait()
	w.say("%d streams sent, %d complete, %d with events of two software versions (more than %d break the rule)", sent, complete, mixed, mostMixed)
	switch {
	case mixed > mostMixed:
		return ruleBroken
	case complete < sent/2:
		w.say("too few streams were served to judge")
		return caseNotRun
	}
	return ruleHeld
}
