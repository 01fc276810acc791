package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	chiveplatformstand "chivedrift/platform/stand"
)

// doubleSlash: a route has the path prefix /, and clients send paths that begin with two slashes.
var doubleSlash = testCase{
	nodes: 1,
	prepare: func(s *stand) {
		s.publish(chiveplatformstand.Route{Name: "all", Host: host, Prefix: "/", Kind: platform.Once, Backend: "match-api", TimeoutMs: 1000, TargetMs: 150, Attempts: 1})
		for i := range 3 {
			s.addReplica(&replica{id: fmt.Sprintf("i-%d", i+1), backend: "match-api", zone: zones[i%len(zones)], slots: 6, queueLength: 24})
		}
	},
	play: playDoubleSlash,
}

func playDoubleSlash(_ context.Context, s *stand, trouble bool) (broken []string) {
	path := "/match/7?card=1"
	if trouble {
		path = "//match/7?card=1"
	}
	seen := make(chan string, 100)
	for _, r := range s.replicas {
		r.answer = func(r *replica, c *channel, request *http.Request) bool {
			id := request.Header.Get(platform.Attempt)
			seen <- request.RequestURI
			return c.send(answerText(http.StatusOK, "ran "+id+"\n", platform.Attempt, id, platform.Seal, r.seal(id)))
		}
	}
	c := s.newClient(0)
	for range 20 {
		c.send(path, "lookup", time.Second)
	}
	close(seen)
	for uri := range seen {
		if uri != path {
			broken = append(broken, fmt.Sprintf("UNASKED: a client sent path %q, a replica ran %q", path, uri))
		}
	}
	return broken
}
