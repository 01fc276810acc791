package chivegrant

import (
	"context"
	"errors"
	"time"

	"chivedrift/chiveplace"
	"chivedrift/chivewire"
)

func (s *Service) run(ctx context.Context) {
	for {
		incoming, ok := s.inbox.Take(ctx)
		if !ok {
			return
		}
		// If the response is lost, the requesting node places the request locally.
		_ = s.options.Mesh.Send(incoming.from, chivewire.KindPlaceAnswer, s.respond(incoming))
	}
}

// respond answers a placement request for a group.
func (s *Service) respond(incoming incomingRequest) PlaceAnswer {
	response := PlaceAnswer{Number: incoming.request.Number}
	pool, engines := s.options.Pools.Pool(incoming.request.Pool), []string(nil)
	if id, ok := parseGroupID(incoming.request.Pool, incoming.request.Group); ok {
		engines = s.assignment.Load().engines(id)
	}
	if pool == nil || len(engines) == 0 {
		response.Unknown = true
		return response
	}
	number := s.lastGrant.Add(1)
	grant, err := pool.Grant(time.Now(), incoming.from, number, chiveplace.Ask{
		Prompt: incoming.request.prompt(), Exclude: incoming.request.Exclude, Among: engines, Domains: incoming.request.domains(), From: s.domainOf(incoming.from), Most: incoming.request.Most, MostReads: incoming.request.MostReads,
	})
	var refused *chiveplace.RefusedError
	if errors.As(err, &refused) {
		response.Refused, response.RetryAfter, response.Loss = refused.Reason, refused.RetryAfter, refused.Loss
		response.Grant.FetchFrom, response.Grant.Fetches = refused.Holder, refused.Held
		return response
	}
	response.Given, response.Grant = number, grant
	return response
}
