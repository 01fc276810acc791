package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	chiveplatformstand "chivedrift/platform/stand"
)

// longAnswer: replicas answer idempotent requests with 2 MB in chunks, evenly over 80 ms. For 6.5 seconds two of thirteen
// work five times as long.
var longAnswer = testCase{
	nodes: 3,
	prepare: func(s *stand) {
		s.publish(chiveplatformstand.Route{Name: "card", Host: host, Prefix: "/card/", Kind: platform.Idempotent, Backend: "match-api", TimeoutMs: 2000, TargetMs: 150, Attempts: 2})
		for i := range 13 {
			s.addReplica(&replica{id: fmt.Sprintf("i-%d", i+1), backend: "match-api", zone: zones[i%len(zones)], slots: 6, queueLength: 24})
		}
	},
	play: playLongAnswer,
}

const (
	longAnswerBytes = 2 << 20
	longAnswerWork  = 80 * time.Millisecond
	longAnswerParts = 50
	slowFactor      = 5
)

// longBody is the body that a replica answers to an attempt; no two are alike.
func longBody(replica, attempt string) string {
	line := replica + " ran " + attempt + "\n"
	return strings.Repeat(line, longAnswerBytes/len(line))
}

func playLongAnswer(_ context.Context, s *stand, trouble bool) []string {
	slowFrom, slowTo := time.Now().Add(11*time.Second), time.Now().Add(17500*time.Millisecond)
	for _, r := range s.replicas {
		r.answer = func(r *replica, c *channel, request *http.Request) bool {
			work := longAnswerWork
			if now := time.Now(); trouble && (r.id == "i-1" || r.id == "i-2") && now.After(slowFrom) && now.Before(slowTo) {
				work *= slowFactor
			}
			return sendLong(s, r, c, request.Header.Get(platform.Attempt), work)
		}
	}
	var clients []*client
	for i := range 12 {
		clients = append(clients, s.newClient(i%len(s.nodes)))
	}
	end := slowTo.Add(time.Second)
	together(clients, func(_ int, c *client) {
		for time.Now().Before(end) {
			c.send("/card/1", "", 2*time.Second)
			pause := 250 * time.Millisecond
			if time.Now().After(slowFrom) {
				pause = 100 * time.Millisecond
			}
			time.Sleep(pause)
		}
	})
	return judgeWhole(s, clients)
}

// sendLong sends an answer in equal chunks over the time of its work.
func sendLong(s *stand, r *replica, c *channel, id string, work time.Duration) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=10\r\n%s: %s\r\n%s: %s\r\n\r\n", platform.Attempt, id, platform.Seal, r.seal(id))
	if !c.send(head) {
		return false
	}
	body, start := longBody(r.id, id), time.Now()
	for part := range longAnswerParts {
		text := body[len(body)*part/longAnswerParts : len(body)*(part+1)/longAnswerParts]
		if !c.send(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) {
			s.record.log("replica %s: the channel of %s was closed %d ms after it began, in part %d of %d", r.id, id, time.Since(start).Milliseconds(), part+1, longAnswerParts)
			return false
		}
		time.Sleep(time.Until(start.Add(work * time.Duration(part+1) / longAnswerParts)))
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
