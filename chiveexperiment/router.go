package chiveexperiment

import (
	"errors"
	"math"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveplace"
	"chivedrift/chivetable"
	"chivedrift/chivetime"
)

// place is a call's place on an engine.
type place interface {
	endpoint() string
	// fetchFrom is the engine from which the chosen one should fetch what it lacks; empty for none.
	fetchFrom() string
	event(now time.Time, waited time.Duration)
	done(now time.Time, ending chiveplace.Ending)
}

// router places calls on engines.
type router interface {
	choose(c *call, left time.Duration) (place, *chiveplace.RefusedError)
	setEndpoints(endpoints []chivedirectory.Endpoint)
	deafen(node int, until time.Duration)
}

// Policies by name.
const (
	// PolicyProduct is the product's: every node decides from what it saw and from the others' late news.
	PolicyProduct = "product"
	// PolicyInformed is the product's rule where every node knows at once what all others do.
	PolicyInformed = "informed"
	// PolicyAllKnowing knows what the engines really hold and have to read, and takes the one with the soonest first event.
	PolicyAllKnowing = "all-knowing"
	// PolicyRandom takes any engine.
	PolicyRandom = "random"
)

// Policies are the names of all policies.
var Policies = []string{PolicyProduct, PolicyInformed, PolicyAllKnowing, PolicyRandom}

func newRouter(w *world, policy string) router {
	switch policy {
	case PolicyInformed:
		return newPools(w, 1)
	case PolicyAllKnowing:
		return &knowing{w: w}
	case PolicyRandom:
		return &anyEngine{w: w}
	}
	return newPools(w, w.scenario.Nodes)
}

// pools is the product's rule: a pool a node.
type pools struct {
	w     *world
	nodes []*chiveplace.Pool
	deaf  []time.Duration
}

// repeatEvery is how often a node tells everything anew, as the product does.
const repeatEvery = 2 * time.Second

func newPools(w *world, nodes int) *pools {
	p := &pools{w: w, deaf: make([]time.Duration, nodes)}
	of := w.scenario.Engines[0]
	for range nodes {
		pool := chiveplace.NewSeededPool("a", w.random.Uint64())
		pool.SetEngine(chivetable.Engine{Slots: of.Slots, CacheTokens: of.MemoryTokens, TokensPerEvent: int(of.TokensPerEvent)})
		p.nodes = append(p.nodes, pool)
	}
	if nodes > 1 && w.scenario.News.EveryMs > 0 {
		for i := range nodes {
			// Nodes do not tell in step.
			w.after(time.Duration(w.random.Float64()*float64(chivetime.Milliseconds(w.scenario.News.EveryMs))), func() { p.tell(i, -repeatEvery) })
		}
	}
	return p
}

// tell tells the other nodes what changed, or everything, and plans the next word.
func (p *pools) tell(node int, repeated time.Duration) {
	w := p.w
	all := w.clock-repeated >= repeatEvery
	if all {
		repeated = w.clock
	}
	news := chiveplace.Report{All: all}
	p.nodes[node].Collect(&news, all)
	if !news.Empty() && w.clock >= p.deaf[node] {
		p.spread(node, news)
	}
	w.after(chivetime.Milliseconds(w.scenario.News.EveryMs), func() { p.tell(node, repeated) })
}

func (p *pools) spread(from int, news chiveplace.Report) {
	w := p.w
	for to := range p.nodes {
		if to == from || w.random.Float64() < w.scenario.News.Lost {
			continue
		}
		w.after(chivetime.Milliseconds(w.scenario.News.LateMs), func() {
			if w.clock >= p.deaf[to] {
				p.nodes[to].Hear(w.now(), nodeName(from), &news)
			}
		})
	}
}

func nodeName(node int) string { return "node" + string(rune('a'+node%26)) + string(rune('a'+node/26)) }

func (p *pools) choose(c *call, left time.Duration) (place, *chiveplace.RefusedError) {
	ask := chiveplace.Ask{Prompt: c.prompt, Exclude: c.exclude, Left: left}
	taken, err := p.nodes[c.node%len(p.nodes)].Take(p.w.now(), ask)
	var refused *chiveplace.RefusedError
	if errors.As(err, &refused) {
		return nil, refused
	}
	return pooled{taken}, nil
}

func (p *pools) setEndpoints(endpoints []chivedirectory.Endpoint) {
	for _, n := range p.nodes {
		n.SetEndpoints(endpoints)
	}
}

func (p *pools) deafen(node int, until time.Duration) {
	if node < len(p.deaf) {
		p.deaf[node] = until
	}
}

// pooled is a place of the product's pool.
type pooled struct{ *chiveplace.Place }

func (p pooled) endpoint() string                          { return p.Endpoint().ID }
func (p pooled) fetchFrom() string                         { return p.FetchFrom() }
func (p pooled) event(now time.Time, waited time.Duration) { p.Event(now, waited) }
func (p pooled) done(now time.Time, ending chiveplace.Ending) {
	p.Done(now, ending)
}

// simple is a place of a policy that keeps no account.
type simple string

func (s simple) endpoint() string                { return string(s) }
func (simple) fetchFrom() string                 { return "" }
func (simple) event(time.Time, time.Duration)    {}
func (simple) done(time.Time, chiveplace.Ending) {}

// knowing is the all-knowing policy. It is a limit for a rule that places each call when it comes, not for one that knows the
// calls to come.
type knowing struct{ w *world }

// knowingAgain is how much more a token counts that is read than one that waits: what is read again is time that all others lose.
const knowingAgain = 2.0

func (k *knowing) choose(c *call, _ time.Duration) (place, *chiveplace.RefusedError) {
	best, least := -1, math.Inf(1)
	for i, e := range k.w.engines {
		running, waiting := e.model.Load()
		if !e.up || !e.listed || running+waiting >= e.of.Slots {
			continue
		}
		reads := c.prompt.Input - e.model.Held(c.prompt.Parts)
		cost := (float64(e.model.Unread(c.prompt.Rank.Place)) + knowingAgain*float64(reads)) / e.of.ReadTokensPerMs * e.model.Speed()
		if cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		return nil, &chiveplace.RefusedError{Reason: "all engines are full", RetryAfter: time.Second}
	}
	return simple(k.w.engines[best].id()), nil
}

func (*knowing) setEndpoints([]chivedirectory.Endpoint) {}
func (*knowing) deafen(int, time.Duration)              {}

// anyEngine takes engines at random.
type anyEngine struct{ w *world }

func (a *anyEngine) choose(*call, time.Duration) (place, *chiveplace.RefusedError) {
	for range 2 * len(a.w.engines) {
		if e := a.w.engines[a.w.random.IntN(len(a.w.engines))]; e.listed {
			return simple(e.id()), nil
		}
	}
	return nil, &chiveplace.RefusedError{Reason: "no engine", RetryAfter: time.Second}
}

func (*anyEngine) setEndpoints([]chivedirectory.Endpoint) {}
func (*anyEngine) deafen(int, time.Duration)              {}
