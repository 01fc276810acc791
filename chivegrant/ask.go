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

// Place gets a place for a prompt. The error is ErrAlone when the node has to decide alone, a *chiveplace.RefusedError when
// the engines have no room.
//
// The ask names the endpoints that were tried and the failure domains that the request is limited to.
func (s *Service) Place(ctx context.Context, pool *chiveplace.Pool, request *chiverequest.Request, limits chiveplace.Ask) (*chiveplace.Place, error) {
	g := s.divided.Load()
	if !g.asking {
		return nil, ErrAlone
	}
	w := &wish{
		service: s, groups: g, pool: pool, request: request, exclude: append(pool.PassedOver(time.Now()), limits.Exclude...), domains: limits.Domains,
	}
	first, second := g.homes(request.Pool, chiveplace.SharedPart(request.Prompt), limits.Domains)
	if w.isOut(first) {
		first, second = second, noGroup
	}
	if w.isOut(first) {
		return nil, ErrAlone
	}
	if w.isOut(second) {
		return w.from(ctx, first, 0, 0)
	}
	place, err := w.from(ctx, first, spillLoss, request.Prompt.Input)
	var refused *chiveplace.RefusedError
	if !errors.As(err, &refused) {
		return place, err
	}
	place, elsewhere := w.from(ctx, second, refused.Loss, 0)
	if elsewhere == nil {
		place.FetchInstead(refused.Holder, refused.Held)
	}
	if elsewhere == nil || refused.Loss == 0 {
		return place, elsewhere
	}
	return w.from(ctx, first, 0, 0)
}

// Home returns the ids of the engines in the group of a request's shared part, so that a node that decides alone chooses among the same engines as
// the owner of the group would.
func (s *Service) Home(request *chiverequest.Request, limits chiveplace.Ask) []string {
	g := s.divided.Load()
	if !g.asking {
		return nil
	}
	first, _ := g.homes(request.Pool, chiveplace.SharedPart(request.Prompt), limits.Domains)
	return g.engines(first)
}

// wish is one request on its way to a place.
type wish struct {
	service *Service
	groups  *groups
	pool    *chiveplace.Pool
	request *chiverequest.Request
	exclude []string
	domains chiveresidency.Domains
}

// isOut reports whether this node would send to no engine of a group. A node that was cut off from the engines for a moment passes
// over all of them; were it to ask, all would be excluded and the request refused, while alone it tries one of them.
func (w *wish) isOut(of group) bool {
	for _, id := range w.groups.engines(of) {
		if !slices.ContainsFunc(w.exclude, func(incarnation string) bool { return chivedirectory.IDOf(incarnation) == id }) {
			return false
		}
	}
	return true
}

// from asks the owner of a group, which may be this node.
func (w *wish) from(ctx context.Context, of group, most float64, mostReads int64) (*chiveplace.Place, error) {
	s := w.service
	owner := w.groups.owners[of]
	if owner == s.o.Mesh.Self() {
		return w.pool.Take(time.Now(), chiveplace.Ask{
			Prompt: w.request.Prompt, Exclude: w.exclude, Among: w.groups.engines(of), Domains: w.domains, Most: most, MostReads: mostReads,
		})
	}
	ask := newPlaceAsk(w.request.Pool, of.String(), w.request.Prompt)
	ask.Exclude, ask.Domains, ask.Most, ask.MostReads = w.exclude, w.domains.Names(), most, mostReads
	answer, err := s.ask(ctx, owner, ask)
	if err != nil {
		return nil, err
	}
	if answer.Unknown {
		return nil, ErrAlone
	}
	if answer.Refused != "" {
		s.refused.Add(1)
		return nil, &chiveplace.RefusedError{
			Reason: answer.Refused, RetryAfter: answer.RetryAfter, Loss: answer.Loss,
			Holder: answer.Grant.FetchFrom, Held: answer.Grant.Fetches,
		}
	}
	s.granted.Add(1)
	answer.Grant.Owner = owner
	place, ok := w.pool.Adopt(time.Now(), answer.Grant, chiveplace.Ask{Prompt: w.request.Prompt, Domains: w.domains})
	s.note(owner, answer.Given)
	if !ok {
		return nil, ErrAlone
	}
	return place, nil
}

// note remembers a grant, so that the next load report to its owner tells that it is counted there.
func (s *Service) note(owner string, given uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[owner] = given
}

// ask sends a question and waits a short while for its answer.
func (s *Service) ask(ctx context.Context, owner string, ask PlaceAsk) (PlaceAnswer, error) {
	ask.Number = s.numbers.Add(1)
	answered := make(chan PlaceAnswer, 1)
	s.mu.Lock()
	silent := owner == "" || time.Now().Before(s.silent[owner])
	if !silent {
		s.waiting[ask.Number] = answered
	}
	s.mu.Unlock()
	if silent {
		return PlaceAnswer{}, ErrAlone
	}
	defer s.forget(ask.Number)
	s.asked.Add(1)
	if err := s.o.Mesh.Send(owner, chivewire.KindPlaceAsk, ask); err != nil {
		return PlaceAnswer{}, fmt.Errorf("%w: %w", ErrAlone, err)
	}
	timer := time.NewTimer(askWithin)
	defer timer.Stop()
	select {
	case answer := <-answered:
		s.noteAnswer(ctx, owner)
		return answer, nil
	case <-ctx.Done():
	case <-timer.C:
		s.noteSilence(ctx, owner, ask.Group)
	}
	return PlaceAnswer{}, ErrAlone
}

// noteSilence keeps the node from asking an owner for a while; one line tells of a silence, however long it lasts.
func (s *Service) noteSilence(ctx context.Context, owner, group string) {
	s.unheard.Add(1)
	s.mu.Lock()
	_, known := s.silent[owner]
	s.silent[owner] = time.Now().Add(silentFor)
	s.mu.Unlock()
	if !known {
		chiveevent.OwnerSilent.Log(ctx, s.o.Logger, slog.String("owner", owner), slog.String("group", group),
			slog.Int64("waited_ms", askWithin.Milliseconds()))
	}
}

func (s *Service) noteAnswer(ctx context.Context, owner string) {
	s.mu.Lock()
	_, known := s.silent[owner]
	delete(s.silent, owner)
	s.mu.Unlock()
	if known {
		chiveevent.OwnerBack.Log(ctx, s.o.Logger, slog.String("owner", owner))
	}
}

func (s *Service) forget(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, number)
}

// hear hands an answer to the request that waits for it; one that comes too late is dropped, and its place with it after a
// while, since this node never tells of it.
func (s *Service) hear(answer PlaceAnswer) {
	s.mu.Lock()
	answered := s.waiting[answer.Number]
	s.mu.Unlock()
	if answered != nil {
		answered <- answer
	}
}
