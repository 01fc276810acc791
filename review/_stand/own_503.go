package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	chiveplatformstand "chivedrift/platform/stand"
)

// own503: for 6.5 seconds one replica of seven fails four in ten of the requests that it runs, with a status 503 of its
// own that doesn't say that the request has not run.
var own503 = testCase{
	nodes: 3,
	prepare: func(s *stand) {
		s.publish(chiveplatformstand.Route{Name: "confirm", Host: host, Prefix: "/confirm/", Kind: platform.Once, Backend: "match-api", TimeoutMs: 1000, TargetMs: 150, Attempts: 2})
		for i := range 7 {
			s.addReplica(&replica{id: fmt.Sprintf("i-%d", i+1), backend: "match-api", zone: zones[i%len(zones)], slots: 6, queueLength: 24})
		}
	},
	play: playOwn503,
}

const failShare = 0.4

func playOwn503(_ context.Context, s *stand, trouble bool) []string {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(79, 5))
	failFrom, failTo := time.Now().Add(11*time.Second), time.Now().Add(17500*time.Millisecond)
	fails := func(r *replica) bool {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		return trouble && r.id == "i-1" && now.After(failFrom) && now.Before(failTo) && random.Float64() < failShare
	}
	for _, r := range s.replicas {
		r.answer = func(r *replica, c *channel, request *http.Request) bool {
			id := request.Header.Get(platform.Attempt)
			time.Sleep(30 * time.Millisecond)
			status, text := http.StatusOK, "ran "+id+"\n"
			if fails(r) {
				status, text = http.StatusServiceUnavailable, "failed after the order was taken\n"
				s.record.log("replica %s fails %s with %d", r.id, id, status)
			}
			return c.send(answerText(status, text, platform.Attempt, id, platform.Seal, r.seal(id)))
		}
	}
	var clients []*client
	for i := range 12 {
		clients = append(clients, s.newClient(i%len(s.nodes)))
	}
	end := failTo.Add(time.Second)
	together(clients, func(_ int, c *client) {
		for time.Now().Before(end) {
			c.send("/confirm/1", "confirm", time.Second)
			pause := 200 * time.Millisecond
			if time.Now().After(failFrom) {
				pause = 50 * time.Millisecond
			}
			time.Sleep(pause)
		}
	})
	return judgeOnce(s, clients)
}
