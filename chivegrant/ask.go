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
	"chivedrift/chiveresidency"
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
		service: s, assignment: a, pool: pool, request: request, startedAt: time.Now(), exclude: append(pool.PassedOver(time.Now()), limits.Exclude...), limits: limits,
	}
	h := s.homeOf(request, pool, limits.Domains)
	place, err := p.placeInAny(ctx, p.untriedFirst(h))
	var refused *chiveplace.RefusedError
	if !errors.As(err, &refused) {
		return place, err
	}
	if fallback, fallbackErr := p.placeInAny(ctx, a.fallbackGroups(h)); fallbackErr == nil {
		return fallback, nil
	}
	return nil, err
}

// placeInAny places the request in one of some groups.
func (p *placement) placeInAny(ctx context.Context, groups []groupID) (*chiveplace.Place, error) {
	groups = slices.DeleteFunc(groups, p.allExcluded)
	switch len(groups) {
	case 0:
		return nil, ErrAlone
	case 1:
		return p.placeIn(ctx, groups[0], 0, 0)
	}
	return p.placeInFirst(ctx, groups)
}

// untriedFirst returns the home groups in regions where the request was not tried so often yet or, if there are none, such
// fallback groups; all home groups if there are none either.
func (p *placement) untriedFirst(h home) []groupID {
	groups := p.assignment.homeGroups(h)
	tried := p.pool.RegionsTried(p.limits.Exclude)
	if len(tried) == 0 {
		return groups
	}
	isTried := func(group groupID) bool { return slices.Contains(tried, group.region) }
	for _, some := range [][]groupID{groups, p.assignment.fallbackGroups(h)} {
		if untried := slices.DeleteFunc(slices.Clone(some), isTried); len(untried) > 0 {
			return untried
		}
	}
	return groups
}

// homeOf returns where the requests with the shared part of a request are placed.
func (s *Service) homeOf(request *chiverequest.Request, pool *chiveplace.Pool, domains chiveresidency.Domains) home {
	distances := s.distances.Load()
	return home{
		pool: request.Pool, part: chiveplace.SharedPart(request.Prompt), domains: domains,
		region: distances.Region(), fleetWide: distances.spansRegions && pool.HasFleetHome(request.Prompt),
	}
}

// Home returns the ids of the engines in the primary group of a request. A node that places the request locally then
// prefers the engines that the group's owner would choose from.
func (s *Service) Home(request *chiverequest.Request, limits chiveplace.Ask) []string {
	a := s.assignment.Load()
	if !a.usesOwners {
		return nil
	}
	pool := s.options.Pools.Pool(request.Pool)
	if pool == nil {
		return nil
	}
	groups := a.homeGroups(s.homeOf(request, pool, limits.Domains))
	if len(groups) == 0 {
		return nil
	}
	return a.engines(groups[0])
}

// placement holds the state of one call of Place.
type placement struct {
	service    *Service
	assignment *assignment
	pool       *chiveplace.Pool
	request    *chiverequest.Request
	startedAt  time.Time
	exclude    []string
	// limits holds the failure domains and the software version that the request is limited to.
	limits chiveplace.Ask
}

// placeInFirst places the request in the first of at least two groups whose loss is low or, if there is none, in the one
// with the lowest loss. The last group is asked only for a place that costs less than those of the groups before.
func (p *placement) placeInFirst(ctx context.Context, groups []groupID) (*chiveplace.Place, error) {
	var refused refusals
	for i, group := range groups {
		maxLoss, recomputeTokens := spillLossMargin, p.request.Prompt.Input
		if i == len(groups)-1 {
			maxLoss, recomputeTokens = max(refused.loss-p.askLoss(group), 0), 0
			if maxLoss == 0 && refused.cheapest != noGroup {
				break
			}
		}
		place, err := p.placeIn(ctx, group, maxLoss, recomputeTokens)
		if err == nil {
			if refused.held > 0 {
				place.FetchInstead(refused.holder, refused.held)
			}
			return place, nil
		}
		if !refused.add(group, err) && i == 0 {
			return nil, err
		}
	}
	if refused.cheapest == noGroup {
		return nil, refused.last
	}
	return p.placeIn(ctx, refused.cheapest, 0, 0)
}

// refusals are the answers of the groups that have not placed a request.
type refusals struct {
	last error
	// cheapest is the group that has room at the lowest loss; noGroup if none has room.
	cheapest groupID
	loss     float64
	// holder is the address of the engine that has the longest prefix of the prompt cached, held the length of that
	// prefix in tokens.
	holder string
	held   int64
}

// add adds the answer of a group and reports whether it is a refusal.
func (r *refusals) add(group groupID, err error) (isRefusal bool) {
	r.last = err
	var refused *chiveplace.RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	if refused.Held > r.held {
		r.holder, r.held = refused.Holder, refused.Held
	}
	if refused.Loss > 0 && (r.cheapest == noGroup || refused.Loss < r.loss) {
		r.cheapest, r.loss = group, refused.Loss
	}
	return true
}

// askLoss is the loss from the time that it takes to ask the owner of a group in another region.
func (p *placement) askLoss(group groupID) float64 {
	return float64(p.service.distances.Load().ToRegion(group.region)) / float64(max(p.request.Prompt.Target, time.Millisecond))
}

// targetLeft returns what the questions to owners so far have left of the request's target; 0 if it has none.
func (p *placement) targetLeft() time.Duration {
	target := p.request.Prompt.Target
	if target == 0 {
		return 0
	}
	return max(target-time.Since(p.startedAt), 1)
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
	if !s.options.Distances.CanWait(owner, requestTimeout, p.targetLeft()) {
		s.far.Add(1)
		return nil, ErrAlone
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

// requestPlacement sends a placement request to an owner and waits for the response.
func (s *Service) requestPlacement(ctx context.Context, owner string, request PlaceAsk) (PlaceAnswer, error) {
	s.mu.Lock()
	unavailable := owner == "" || time.Now().Before(s.backoffUntil[owner])
	s.mu.Unlock()
	if unavailable {
		return PlaceAnswer{}, ErrAlone
	}
	s.asked.Add(1)
	askedAt := time.Now()
	// A response after the timeout is dropped, and the owner drops its grant after a while, since this node never reports
	// the request.
	response, err := s.calls.Call(ctx, owner, requestTimeout, func(number uint64) error {
		request.Number = number
		return s.options.Mesh.Send(owner, chivewire.KindPlaceAsk, request)
	})
	switch {
	case errors.Is(err, chivewire.ErrNoReply):
		s.recordTimeout(ctx, owner, request.Group, time.Since(askedAt))
		return PlaceAnswer{}, ErrAlone
	case err != nil:
		return PlaceAnswer{}, fmt.Errorf("%w: %w", ErrAlone, err)
	}
	s.recordResponse(ctx, owner)
	return response, nil
}

// recordTimeout starts the backoff for an owner that did not respond. Only the first of consecutive timeouts is logged.
func (s *Service) recordTimeout(ctx context.Context, owner, group string, waited time.Duration) {
	s.timedOut.Add(1)
	s.mu.Lock()
	_, backedOff := s.backoffUntil[owner]
	s.backoffUntil[owner] = time.Now().Add(ownerBackoff)
	s.mu.Unlock()
	if !backedOff {
		chiveevent.OwnerSilent.Log(ctx, s.options.Logger, slog.String("owner", owner), slog.String("group", group),
			slog.Int64("waited_ms", waited.Milliseconds()))
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
