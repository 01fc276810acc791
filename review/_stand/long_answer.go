package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	chiveplatformstand "chivedrift/platform/stand"
)

// longAnswer: replicas answer idempotent requests with 2 MB in chunks. For 5.5 seconds three of five are faulty: they
// break off five in a hundred of their answers.
var longAnswer = testCase{
	nodes: 3,
	prepare: func(s *stand) {
		s.publish(chiveplatformstand.Route{Name: "card", Host: host, Prefix: "/card/", Kind: platform.Idempotent, Backend: "match-api", TimeoutMs: 4000, TargetMs: 1500, Attempts: 2})
		for i := range 5 {
			s.addReplica(&replica{id: fmt.Sprintf("i-%d", i+1), backend: "match-api", zone: zones[i%len(zones)], slots: 6, queueLength: 24})
		}
	},
	play: playLongAnswer,
}

const (
	longAnswerBytes = 2 << 20
	chunkBytes      = 16 << 10
	breakShare      = 0.05
)

// longBody is the body that a replica answers to an attempt; no two are alike.
func longBody(replica, attempt string) string {
	line := replica + " ran " + attempt + "\n"
	return strings.Repeat(line, longAnswerBytes/len(line))
}

func playLongAnswer(_ context.Context, s *stand, trouble bool) []string {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(79, 2))
	faultFrom, faultTo := time.Now().Add(11*time.Second), time.Now().Add(16500*time.Millisecond)
	answers, broken := 0, 0
	// breakAt returns after how many bytes a replica breaks off its next answer; 0 for not at all.
	breakAt := func(r *replica) int {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); !trouble || r.id > "i-3" || now.Before(faultFrom) || now.After(faultTo) {
			return 0
		}
		answers++
		if random.Float64() >= breakShare {
			return 0
		}
		broken++
		return 1 + random.IntN(longAnswerBytes-chunkBytes)
	}
	for _, r := range s.replicas {
		r.answer = func(r *replica, c *channel, request *http.Request) bool {
			return sendLong(s, r, c, request.Header.Get(platform.Attempt), breakAt(r))
		}
	}
	var clients []*client
	for i := range 6 {
		clients = append(clients, s.newClient(i%len(s.nodes)))
	}
	end := faultTo.Add(time.Second)
	together(clients, func(_ int, c *client) {
		for time.Now().Before(end) {
			c.send("/card/1", "", 4*time.Second)
			pause := 250 * time.Millisecond
			if time.Now().After(faultFrom) {
				pause = 30 * time.Millisecond
			}
			time.Sleep(pause)
		}
	})
	s.record.log("answers of faulty replicas %d, broken off %d", answers, broken)
	return judgeWhole(s, clients)
}

// sendLong sends an answer in chunks, or breaks it off by a reset of the channel.
func sendLong(s *stand, r *replica, c *channel, id string, breakAt int) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=10\r\n%s: %s\r\n%s: %s\r\n\r\n", platform.Attempt, id, platform.Seal, r.seal(id))
	if !c.send(head) {
		return false
	}
	body := longBody(r.id, id)
	for from := 0; from < len(body); from += chunkBytes {
		if breakAt > 0 && from >= breakAt {
			s.record.log("replica %s breaks off its answer to %s after %d bytes", r.id, id, from)
			// The bytes on the way still arrive; the end of the answer never does.
			time.Sleep(20 * time.Millisecond)
			if tcp, ok := c.Conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return false
		}
		part := body[from:min(from+chunkBytes, len(body))]
		if !c.send(fmt.Sprintf("%x\r\n%s\r\n", len(part), part)) {
			return false
		}
	}
	return c.send("0\r\n\r\n")
}

// judgeWhole returns the attempts that were answered with success and a body that is not the whole one of the replica
// whose receipt it bears.
func judgeWhole(s *stand, clients []*client) (broken []string) {
	statuses, cut := make(map[int]int), 0
	for _, c := range calls(clients) {
		if c.err != nil {
			cut++
			continue
		}
		statuses[c.status]++
		if c.status != http.StatusOK {
			continue
		}
		sound := false
		for _, r := range s.replicas {
			sound = sound || c.seal == r.seal(c.id) && c.body == longBody(r.id, c.id)
		}
		if !sound {
			broken = append(broken, fmt.Sprintf("MIXED: %s got 200 with receipt %q and a whole body of %d bytes, of which %s", c.id, c.seal, len(c.body), partsOf(c.body)))
		}
	}
	s.record.log("whole answers by status: %v, without a whole answer: %d", statuses, cut)
	return broken
}

// partsOf tells how many lines of a body are by which replica.
func partsOf(body string) string {
	var parts []string
	last, count := "", 0
	flush := func() {
		if count > 0 {
			parts = append(parts, fmt.Sprintf("%d lines %q", count, last))
		}
	}
	for line := range strings.SplitSeq(strings.TrimSuffix(body, "\n"), "\n") {
		if line != last {
			flush()
			last, count = line, 0
		}
		count++
	}
	flush()
	return strings.Join(parts, ", then ")
}
