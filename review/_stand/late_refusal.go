package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	chiveplatformstand "chivedrift/platform/stand"
)

// lateRefusal: replicas that are full refuse requests. For five seconds three of five are faulty: three in a hundred of
// their answers are sent once more, late, where the next answer on the channel is expected.
var lateRefusal = testCase{
	nodes: 3,
	prepare: func(s *stand) {
		s.publish(chiveplatformstand.Route{Name: "confirm", Host: host, Prefix: "/confirm/", Kind: platform.Once, Backend: "match-api", TimeoutMs: 1000, TargetMs: 150, Attempts: 2})
		for i := range 5 {
			s.addReplica(&replica{id: fmt.Sprintf("i-%d", i+1), backend: "match-api", zone: zones[i%len(zones)], slots: 6, queueLength: 2})
		}
	},
	play: playLateRefusal,
}

const (
	copyShare  = 0.03
	refusalRun = 30 * time.Millisecond
)

// copier decides which answers of the faulty replicas come twice, and counts them.
type copier struct {
	mu              sync.Mutex
	random          *rand.Rand
	active          bool
	answers, copies int
}

func (k *copier) note(r *replica, c *channel, text string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.active || r.id > "i-3" {
		return
	}
	k.answers++
	if k.random.Float64() < copyShare {
		k.copies++
		c.copies = append(c.copies, text)
	}
}

func playLateRefusal(_ context.Context, s *stand, trouble bool) []string {
	k := &copier{random: rand.New(rand.NewPCG(79, 1))}
	for _, r := range s.replicas {
		r.refused = k.note
		r.answer = func(r *replica, c *channel, request *http.Request) bool {
			id := request.Header.Get(platform.Attempt)
			for _, text := range c.copies {
				s.record.log("replica %s sends a copy of an earlier answer before that of %s: %.40q", r.id, id, strings.ReplaceAll(text, "\r\n", " "))
				if !c.send(text) {
					return false
				}
			}
			c.copies = nil
			time.Sleep(refusalRun)
			text := answerText(http.StatusOK, r.id+" ran "+id+"\n", platform.Attempt, id, platform.Seal, r.seal(id))
			if !c.send(text) {
				return false
			}
			k.note(r, c, text)
			return true
		}
	}
	var clients []*client
	for i := range 46 {
		clients = append(clients, s.newClient(i%len(s.nodes)))
	}
	end := time.Now().Add(17 * time.Second)
	faultFrom, faultTo := time.Now().Add(11*time.Second), time.Now().Add(16*time.Second)
	for round := 0; time.Now().Before(end); round++ {
		k.mu.Lock()
		now := time.Now()
		k.active = trouble && now.After(faultFrom) && now.Before(faultTo)
		k.mu.Unlock()
		together(clients, func(_ int, c *client) { c.send("/confirm/"+fmt.Sprint(round), "confirm", time.Second) })
		pause := 300 * time.Millisecond
		if now.After(faultFrom) && now.Before(faultTo) {
			pause = 70 * time.Millisecond
		}
		time.Sleep(time.Until(now.Add(pause)))
	}
	time.Sleep(500 * time.Millisecond)
	s.record.log("answers of faulty replicas %d, sent twice %d", k.answers, k.copies)
	return judgeOnce(s, clients)
}

// judgeOnce returns the attempts that ran more than once, or ran although their answer promises that they have not.
func judgeOnce(s *stand, clients []*client) (broken []string) {
	runs := s.runsOf()
	statuses := make(map[int]int)
	for _, c := range calls(clients) {
		statuses[c.status]++
		ran := runs[c.id]
		if len(ran) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran at %s", c.id, strings.Join(ran, " and ")))
		}
		switch c.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(ran) > 0 {
				broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and ran at %s", c.id, c.status, strings.Join(ran, " and ")))
			}
		}
	}
	s.record.log("answers by status: %v", statuses)
	return broken
}
