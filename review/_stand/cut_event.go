package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	chiveplatformstand "chivedrift/platform/stand"
)

// cutEvent: engines stream events in chunks. For 5.5 seconds three of five are faulty: they end five in a hundred of
// their streams inside an event, with the last chunk of the encoding.
var cutEvent = testCase{
	nodes: 3,
	prepare: func(s *stand) {
		s.publish(chiveplatformstand.Route{Name: "dossier", Host: host, Prefix: "/dossier/", Kind: platform.Streaming, Backend: "drift-pool", TimeoutMs: 12000, TargetMs: 2500, Attempts: 2, Resumable: true})
		for i := range 5 {
			s.addReplica(&replica{id: fmt.Sprintf("i-%d", i+1), backend: "drift-pool", zone: zones[i%len(zones)], slots: 8, queueLength: 24})
		}
	},
	play: playCutEvent,
}

const (
	streamEvents  = 12
	eventInterval = 10 * time.Millisecond
	breakShare    = 0.05
)

func eventText(number int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number) }

func playCutEvent(_ context.Context, s *stand, trouble bool) []string {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(79, 3))
	faultFrom, faultTo := time.Now().Add(11*time.Second), time.Now().Add(16500*time.Millisecond)
	streams, cut := 0, 0
	// cutAt returns the event inside which a replica ends its next stream; 0 for none.
	cutAt := func(r *replica) int {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); !trouble || r.id > "i-3" || now.Before(faultFrom) || now.After(faultTo) {
			return 0
		}
		streams++
		if random.Float64() >= breakShare {
			return 0
		}
		cut++
		return 2 + random.IntN(streamEvents-1)
	}
	for _, r := range s.replicas {
		r.answer = func(r *replica, c *channel, request *http.Request) bool {
			return sendStream(s, r, c, request, cutAt(r))
		}
	}
	var clients []*client
	for i := range 18 {
		clients = append(clients, s.newClient(i%len(s.nodes)))
	}
	end := faultTo.Add(time.Second)
	together(clients, func(i int, c *client) {
		for time.Now().Before(end) {
			c.send("/dossier/1", "x", 12*time.Second, platform.Model, "m", platform.TokenCount, "100,48", platform.PromptPrefix, fmt.Sprintf("aa:50,%x:50", 256+i))
			time.Sleep(20 * time.Millisecond)
		}
	})
	s.record.log("streams of faulty replicas %d, ended inside an event %d", streams, cut)
	return judgeStreams(s, clients)
}

func sendStream(s *stand, r *replica, c *channel, request *http.Request, cutAt int) bool {
	id := request.Header.Get(platform.Attempt)
	after, err := strconv.Atoi(request.Header.Get(platform.LastEvent))
	if err != nil {
		after = 0
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=10\r\n%s: %s\r\n%s: %s\r\n\r\n",
		platform.Attempt, id, platform.Seal, r.seal(id))
	if !c.send(head) {
		return false
	}
	for number := after + 1; number <= streamEvents; number++ {
		time.Sleep(eventInterval)
		text := eventText(number)
		if number == cutAt {
			text = text[:len(text)/2]
			s.record.log("replica %s ends its stream to %s inside event %d", r.id, id, number)
		}
		if !c.send(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) {
			return false
		}
		if number == cutAt {
			break
		}
	}
	return c.send("0\r\n\r\n")
}

// judgeStreams returns the streams that ended as complete before their last piece, or hold other pieces.
func judgeStreams(s *stand, clients []*client) (broken []string) {
	var want strings.Builder
	for number := 1; number <= streamEvents; number++ {
		want.WriteString(eventText(number))
	}
	statuses, cut := make(map[int]int), 0
	for _, c := range calls(clients) {
		if c.err != nil {
			cut++
			continue
		}
		statuses[c.status]++
		if c.status == http.StatusOK && c.body != want.String() {
			broken = append(broken, fmt.Sprintf("ORDER: %s got a complete stream of %d bytes that ends in %q", c.id, len(c.body), c.body[max(0, len(c.body)-24):]))
		}
	}
	s.record.log("complete streams by status: %v, streams that broke off: %d", statuses, cut)
	return broken
}
