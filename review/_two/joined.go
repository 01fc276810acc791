package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	stand "chivedrift/platform/stand"
)

const (
	joinedFor   = 24 * time.Second
	joinedEvery = 16 * time.Millisecond
	// Replicas are faulty for spoilFor in each spoilEvery.
	spoilFor, spoilEvery = 5 * time.Second, 8 * time.Second
	// faultyCount of joinedCount replicas are faulty; spoiltPart is one in how many of their answers have bytes behind them.
	joinedCount   = 5
	faultyCount   = 3
	spoiltPart    = 34
	lastOfAnswers = 8
)

// joinedWorld knows the answers of the replicas.
type joinedWorld struct {
	*world
	mu     sync.Mutex
	bodies map[string]string
	// last are the answers that were sent last, with a length.
	last []string
	// runs is the number of requests that each faulty replica has run, by its id.
	runs map[string]int
}

// answer sends an answer that has no length and ends with its channel. Behind one in spoiltPart a faulty replica sends the answer to an
// earlier request again.
func (j *joinedWorld) answer(_ *stand.ByteReplica, c *stand.ByteConn, request *http.Request) (keep bool) {
	attempt, id := request.Header.Get(j.names["attempt"]), request.Header.Get(j.names["expect"])
	body := fmt.Sprintf("record of %s: %s\n", attempt, strings.Repeat("x", 600))
	j.mu.Lock()
	isSpoilt := false
	if runs, isFaulty := j.runs[id]; isFaulty {
		j.runs[id]++
		isSpoilt = j.trouble && time.Since(j.began)%spoilEvery < spoilFor && (runs+1)%spoiltPart == 0 && len(j.last) > 0
	}
	j.bodies[attempt] = body
	extra := ""
	if isSpoilt {
		extra = j.last[0]
	}
	again := stand.ByteResponse(http.StatusOK, body, j.names["attempt"], attempt, j.names["seal"], "seal-"+attempt)
	if j.last = append(j.last, again); len(j.last) > lastOfAnswers {
		j.last = j.last[1:]
	}
	j.mu.Unlock()
	own := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nConnection: close\r\n\r\n%s", j.names["attempt"], attempt, j.names["seal"], attempt, body)
	j.note("replica %s runs %s, an earlier answer behind its own %v", id, attempt, isSpoilt)
	_ = c.Send(own) && c.Send(extra)
	return false
}

// get sends a request and returns the status and the body of the answer.
func (j *joinedWorld) get(node, attempt string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), deskWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+deskRoute+"x", strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	request.Host = host
	request.Header = stand.CallerHeader(attempt, clientKey, deskWait)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// playJoined has replicas send answers without a length, and three of five an earlier answer again behind some of them.
func playJoined(w *world) int {
	j := &joinedWorld{world: w, bodies: make(map[string]string), runs: make(map[string]int)}
	w.store.Publish(1, []stand.Route{
		{Name: "status", Host: host, Prefix: deskRoute, Kind: w.names["kindunsafe"], Backend: deskService, TimeoutMs: 1000, TargetMs: 150},
	}, map[string][]string{clientTeam: {clientKey}})
	for i := range joinedCount {
		listener, err := listen()
		if err != nil {
			w.say("%v", err)
			return caseNotRun
		}
		id := fmt.Sprintf("i-d%d", i+1)
		if i < faultyCount {
			j.runs[id] = 0
		}
		stand.NewByteReplica(w.store, listener, id, deskService, j.answer)
	}
	w.addNodes(2)
	if err := w.startAll(); err != nil {
		w.say("%v", err)
		return caseNotRun
	}
	var clients sync.WaitGroup
	sent, served, foreign := 0, 0, 0
	for end := time.Now().Add(joinedFor); time.Now().Before(end); time.Sleep(joinedEvery) {
		sent++
		attempt, node := fmt.Sprintf("c%06d", sent), w.nodes[sent%len(w.nodes)].callers
		clients.Go(func() {
			status, body, err := j.get(node, attempt)
			j.mu.Lock()
			defer j.mu.Unlock()
			switch {
			case status != http.StatusOK || err != nil:
				j.note("client got %s: status %d, error %v", attempt, status, err)
			case body == j.bodies[attempt]:
				served++
			default:
				foreign++
				j.note("FOREIGN BYTES: client got %s as a whole success of %d bytes, the replica's body has %d; behind it: %.120q", attempt, len(body), len(j.bodies[attempt]), strings.TrimPrefix(body, j.bodies[attempt]))
			}
		})
	}
	clients.Wait()
	w.say("%d requests sent, %d answered with the replica's body, %d successes with bytes of another answer", sent, served, foreign)
	switch {
	case foreign > 0:
		return ruleBroken
	case served < sent/2:
		return caseNotRun
	}
	return ruleHeld
}
