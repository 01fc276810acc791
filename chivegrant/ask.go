package chivegrant

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveevent"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chivewire"
)

// Place gets a place for a request from the owner of its primary or secondary group. The error is ErrAlone when the
// node has to place the request locally, a *chiveplace.RefusedError when the engines have no room, and a
// *chiveplace.LimitedError when the engine has limits.
//
// limits names the endpoints that were already tried and the failure domains that the request is limited to.
func (s *Service) Place(ctx context.Context, pool *chiveplace.Pool, request *chiverequest.Request, limits chiveplace.Ask) (*chiveplace.Place, error) {
	a := s.assignment.Load()
	if !a.usesOwners {
		return nil, ErrAlone
	}
	p := &placement{
		service: s, assignment: a, pool: pool, request: request, exclude: append(pool.PassedOver(time.Now()), limits.Exclude...), limits: limits,
	}
	primary, secondary := a.homeGroups(request.Pool, chiveplace.SharedPart(request.Prompt), limits.Domains)
	if p.allExcluded(primary) {
		primary, secondary = secondary, noGroup
	}
	if p.allExcluded(primary) {
		return nil, ErrAlone
	}
	if p.allExcluded(secondary) {
		return p.placeIn(ctx, primary, 0, 0)
	}
	place, err := p.placeIn(ctx, primary, spillLossMargin, request.Prompt.Input)
	var refused *chiveplace.RefusedError
	if !errors.As(err, &refused) {
		return place, err
	}
	place, secondaryErr := p.placeIn(ctx, secondary, refused.Loss, 0)
	if secondaryErr == nil {
		place.FetchInstead(refused.Holder, refused.Held)
	}
	if secondaryErr == nil || refused.Loss == 0 {
		return place, secondaryErr
	}
	return p.placeIn(ctx, primary, 0, 0)
}

// Home returns the ids of the engines in the primary group of a request. A node that places the request locally then
// prefers the engines that the group's owner would choose from.
func (s *Service) Home(request *chiverequest.Request, limits chiveplace.Ask) []string {
	a := s.assignment.Load()
	if !a.usesOwners {
		return nil
	}
	primary, _ := a.homeGroups(request.Pool, chiveplace.SharedPart(request.Prompt), limits.Domains)
	return a.engines(primary)
}

// placement holds the state of one call of Place.
type placement struct {
	service    *Service
	assignment *assignment
	pool       *chiveplace.Pool
	request    *chiverequest.Request
	exclude    []string
	// limits holds the failure domains and the software version that the request is limited to.
	limits chiveplace.Ask
}

// allExcluded reports whether this node excludes every engine of a group. After a short network partition a node
// excludes all engines. Asking the owner would then get the request refused, whereas local placement still tries one of
// the engines.
func (p *placement) allExcluded(group groupID) bool {
	exclude := p.excludedIn(group)
	for _, id := range p.assignment.engines(group) {
		if !slices.ContainsFunc(exclude, func(incarnation string) bool { return chivedirectory.IDOf(incarnation) == id }) {
			return false
		}
	}
	return true
}

// excludedIn returns the endpoints that this node excludes, with those of a group that the request is not allowed to use.
// An owner gets them as excluded ones, since nodes of earlier releases know of no other limit by software version.
func (p *placement) excludedIn(group groupID) []string {
	return slices.Concat(p.exclude, p.pool.NotAllowed(p.limits, p.assignment.engines(group)))
}

// placeIn places the request in a group through its owner, which may be this node.
func (p *placement) placeIn(ctx context.Context, group groupID, maxLoss float64, recomputeTokens int64) (*chiveplace.Place, error) {
	s := p.service
	owner := p.assignment.owners[group]
	if owner == s.options.Mesh.Self() {
		return p.pool.Take(time.Now(), chiveplace.Ask{
			Prompt: p.request.Prompt, Exclude: p.exclude, Among: p.assignment.engines(group), Domains: p.limits.Domains, Allows: p.limits.Allows, Most: maxLoss, MostReads: recomputeTokens,
		})
	}
	request := newPlacementRequest(p.request.Pool, group.String(), p.request.Prompt)
	request.Exclude, request.Domains, request.Most, request.MostReads = p.excludedIn(group), p.limits.Domains.Names(), maxLoss, recomputeTokens
	response, err := s.requestPlacement(ctx, owner, request)
	if err != nil {
		return nil, err
	}
	if response.Unknown {
		return nil, ErrAlone
	}
	if response.Refused != "" {
		s.refused.Add(1)
		return nil, &chiveplace.RefusedError{
			Reason: response.Refused, RetryAfter: response.RetryAfter, Loss: response.Loss,
			Holder: response.Grant.FetchFrom, Held: response.Grant.Fetches,
		}
	}
	s.granted.Add(1)
	if limited := p.pool.Limited(time.Now(), response.Grant.Endpoint); limited != nil {
		return nil, limited
	}
	response.Grant.Owner = owner
	place, ok := p.pool.Adopt(time.Now(), response.Grant, chiveplace.Ask{Prompt: p.request.Prompt, Domains: p.limits.Domains, Allows: p.limits.Allows})
	s.recordAdopted(owner, response.Given)
	if !ok {
		return nil, ErrAlone
	}
	return place, nil
}

// recordAdopted records the newest grant adopted from an owner. The next load report to that owner carries its number,
// so that the owner knows that the report includes the request.
func (s *Service) recordAdopted(owner string, grant uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopted[owner] = grant
}

// requestPlacement sends a placement request to an owner and waits up to requestTimeout for the response.
func (s *Service) requestPlacement(ctx context.Context, owner string, request PlaceAsk) (PlaceAnswer, error) {
	s.mu.Lock()
	unavailable := owner == "" || time.Now().Before(s.backoffUntil[owner])
	s.mu.Unlock()
	if unavailable {
		return PlaceAnswer{}, ErrAlone
	}
	s.asked.Add(1)
	// A response after the timeout is dropped, and the owner drops its grant after a while, since this node never reports
	// the request.
	response, err := s.calls.Call(ctx, requestTimeout, func(number uint64) error {
		request.Number = number
		return s.options.Mesh.Send(owner, chivewire.KindPlaceAsk, request)
	})
	switch {
	case errors.Is(err, chivewire.ErrNoReply):
		s.recordTimeout(ctx, owner, request.Group)
		return PlaceAnswer{}, ErrAlone
	case err != nil:
		return PlaceAnswer{}, fmt.Errorf("%w: %w", ErrAlone, err)
	}
	s.recordResponse(ctx, owner)
	return response, nil
}

// recordTimeout starts the backoff for an owner that did not respond. Only the first of consecutive timeouts is logged.
func (s *Service) recordTimeout(ctx context.Context, owner, group string) {
	s.timedOut.Add(1)
	s.mu.Lock()
	_, backedOff := s.backoffUntil[owner]
	s.backoffUntil[owner] = time.Now().Add(ownerBackoff)
	s.mu.Unlock()
	if !backedOff {
		chiveevent.OwnerSilent.Log(ctx, s.options.Logger, slog.String("owner", owner), slog.String("group", group),
			slog.Int64("waited_ms", requestTimeout.Milliseconds()))
	}
}

func (s *Service) recordResponse(ctx context.Context, owner string) {
	s.mu.Lock()
	_, backedOff := s.backoffUntil[owner]
	delete(s.backoffUntil, owner)
	s.mu.Unlock()
	if backedOff {
		chiveevent.OwnerBack.Log(ctx, s.options.Logger, slog.String("owner", owner))
	}
}
