package chiveschedule_test

import (
	"fmt"
	"testing"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiveschedule"

	"pgregory.net/rapid"
)

// model is what the invariants are checked against: every decision that a shard made, in order.
type model struct {
	t       *rapid.T
	shard   *chiveschedule.Shard
	now     time.Time
	next    int
	waiting map[string]chiveschedule.SlotRequest
	running map[string]chiveschedule.SlotGrant
	cost    map[string]int64
	classes map[string]chiveconfig.Class
	tiers   map[string]int
	ends    []chiveconfig.Endpoint
}

const (
	modelSequences = 3
	modelTokens    = 4000
	modelEndpoints = 3
)

func newModel(t *rapid.T) *model {
	config := &chiveconfig.Config{Tiers: []chiveconfig.Tier{{Name: "0"}, {Name: "1"}, {Name: "2"}}}
	m := &model{
		t: t, now: dawn, waiting: make(map[string]chiveschedule.SlotRequest), running: make(map[string]chiveschedule.SlotGrant),
		cost: make(map[string]int64), classes: make(map[string]chiveconfig.Class), tiers: map[string]int{"0": 0, "1": 1, "2": 2},
	}
	for _, c := range []chiveconfig.Class{
		{Name: "urgent", Tier: "0", FirstTokenMs: 500, DeadlineMs: 5000, ExpectedTokens: 50, Repeatable: true},
		{Name: "dossier", Tier: "1", FirstTokenMs: 5000, DeadlineMs: 120000, ExpectedTokens: 600, Protected: true, Repeatable: true},
		{Name: "bulk", Tier: "2", FirstTokenMs: 10000, DeadlineMs: 60000, ExpectedTokens: 300, MinSharePercent: 5, Repeatable: true},
	} {
		config.Classes = append(config.Classes, c)
		m.classes[c.Name] = c
	}
	config.Teams = []chiveconfig.Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}
	for i := range modelEndpoints {
		m.ends = append(m.ends, chiveconfig.Endpoint{Name: fmt.Sprintf("e%d", i), Sequences: modelSequences, CapacityTokens: modelTokens})
	}
	m.shard = chiveschedule.NewShard("s", 1, chiveschedule.NewPlan(config, m.ends), dawn)
	return m
}

// take books a shard's decisions and checks what must hold of each of them.
func (m *model) take(decisions []chiveschedule.Decision) {
	for _, d := range decisions {
		switch {
		case d.Grant != nil:
			m.takeGrant(*d.Grant)
		case d.Refusal != nil:
			m.takeRefusal(*d.Refusal)
		case d.Preempt != nil:
			m.takePreempt(*d.Preempt)
		}
	}
}

func (m *model) takeGrant(g chiveschedule.SlotGrant) {
	if _, again := m.running[g.ID]; again {
		return
	}
	if _, ok := m.waiting[g.ID]; !ok {
		m.t.Fatalf("grant for %s, which does not wait", g.ID)
	}
	delete(m.waiting, g.ID)
	m.running[g.ID] = g
	m.cost[g.ID] = g.Cost
}

func (m *model) takeRefusal(r chiveschedule.SlotRefusal) {
	refused, ok := m.waiting[r.ID]
	if !ok {
		m.t.Fatalf("refusal for %s, which does not wait", r.ID)
	}
	if r.RetryAfterMs < 1000 {
		m.t.Fatalf("refusal with Retry-After of %d ms", r.RetryAfterMs)
	}
	delete(m.waiting, r.ID)
	class := m.classes[refused.Class]
	if class.Protected && r.Reason == chiveschedule.ReasonFull {
		for _, w := range m.waiting {
			if m.tiers[m.classes[w.Class].Tier] > m.tiers[class.Tier] {
				m.t.Fatalf("a %s was shed while a %s waits", class.Name, w.Class)
			}
		}
	}
}

func (m *model) takePreempt(p chiveschedule.SlotPreempt) {
	victim, ok := m.running[p.ID]
	if !ok {
		return
	}
	class := m.classOf(victim.ID)
	if class.Protected {
		m.t.Fatalf("a protected %s was preempted", class.Name)
	}
	for _, w := range m.waiting {
		if m.tiers[m.classes[w.Class].Tier] < m.tiers[class.Tier] {
			return
		}
	}
	m.t.Fatalf("a %s was preempted and no more urgent request waits", class.Name)
}

func (m *model) classOf(id string) chiveconfig.Class {
	for name, class := range m.classes {
		if len(id) > len(name) && id[:len(name)] == name {
			return class
		}
	}
	m.t.Fatalf("no class in %q", id)
	return chiveconfig.Class{}
}

// checkLedger adds up the slots in use and holds them to the endpoints' capacity.
func (m *model) checkLedger() {
	sequences, tokens := make(map[string]int64), make(map[string]int64)
	for id, g := range m.running {
		sequences[g.Endpoint]++
		tokens[g.Endpoint] += m.cost[id]
	}
	for _, e := range m.ends {
		alone := sequences[e.Name] == 1
		if sequences[e.Name] > e.Sequences || (tokens[e.Name] > e.CapacityTokens && !alone) {
			m.t.Fatalf("%s holds %d sequences and %d tokens", e.Name, sequences[e.Name], tokens[e.Name])
		}
	}
	if m.shard.Waiting() != len(m.waiting) || m.shard.Running() != len(m.running) {
		m.t.Fatalf("shard has %d waiting and %d running, the model %d and %d", m.shard.Waiting(), m.shard.Running(), len(m.waiting), len(m.running))
	}
}

func (m *model) submit(class string) {
	m.next++
	id := fmt.Sprintf("%s-%d", class, m.next)
	c := m.classes[class]
	r := chiveschedule.SlotRequest{
		ID: id, Attempt: 1, Class: class, Team: rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "team"), Prefix: rapid.Uint64Range(0, 3).Draw(m.t, "prefix"),
		PromptTokens: rapid.Int64Range(1, 1500).Draw(m.t, "prompt"), ArrivalMs: m.now.UnixMilli(), DeadlineMs: m.now.UnixMilli() + c.DeadlineMs, Repeatable: true,
	}
	m.waiting[id] = r
	m.take(m.shard.Submit(m.now, "g", r))
}

func (m *model) finish(result chiveschedule.Result) {
	for id, g := range m.running {
		delete(m.running, id)
		tokens := rapid.Int64Range(1, 2000).Draw(m.t, "tokens")
		m.take(m.shard.Finish(m.now, chiveschedule.SlotDone{
			ID: id, Attempt: 1, Endpoint: g.Endpoint, Class: m.classOf(id).Name, Team: "a", Result: result, Tokens: tokens, StreamMs: tokens * 20,
		}))
		return
	}
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.take(m.shard.Tick(m.now))
}

func TestShardKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit urgent":  func(*rapid.T) { m.submit("urgent") },
			"submit dossier": func(*rapid.T) { m.submit("dossier") },
			"submit bulk":    func(*rapid.T) { m.submit("bulk") },
			"finish":         func(*rapid.T) { m.finish(chiveschedule.ResultOK) },
			"fail":           func(*rapid.T) { m.finish(chiveschedule.ResultFailed) },
			"advance":        func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"":               func(*rapid.T) { m.checkLedger() },
		})
		m.drain()
	})
}

// drain finishes what runs until nothing waits: every queued request is granted or finally answered.
func (m *model) drain() {
	for range 10000 {
		if len(m.waiting)+len(m.running) == 0 {
			return
		}
		m.finish(chiveschedule.ResultOK)
		m.advance(100 * time.Millisecond)
	}
	m.t.Fatalf("%d wait and %d run after the drain", len(m.waiting), len(m.running))
}

// plainItem is a waiting item for tests of the order alone.
type plainItem struct {
	tier  int
	class string
	due   time.Time
}

func (i *plainItem) Place() (tier int, class, team string) { return i.tier, i.class, "a" }
func (i *plainItem) Due() time.Time                        { return i.due }
func (i *plainItem) Cost() int64                           { return 100 }

// Guards against starvation of a class with a guaranteed share: it waits for at most 100 grants per 1% of the share.
func TestEveryClassIsServedWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 0.3).Draw(t, "share")
		q := chiveschedule.Policies[*plainItem]()["slack"](chiveschedule.Shares{
			Tiers: 3, MinShare: func(string) float64 { return share }, Weight: func(string) int64 { return 1 },
		})
		now, gap := dawn, time.Duration(rapid.IntRange(1, 50).Draw(t, "gap"))*time.Millisecond
		bulk := &plainItem{2, "bulk", now.Add(time.Minute)}
		q.Push(now, bulk)
		bound := int(1/share) + 2
		for range bound {
			q.Push(now, &plainItem{0, "urgent", now.Add(time.Second)})
			item, ok := q.Next(now, func(*plainItem) bool { return true })
			if !ok {
				t.Fatal("the queue is empty")
			}
			q.Remove(now, item, true)
			if item == bulk {
				return
			}
			now = now.Add(gap)
		}
		t.Fatalf("not served within %d grants at a share of %.3f", bound, share)
	})
}

// Guards against a full queue that sheds protected work before low work.
func TestFullQueueShedsLowWorkAndNeverADossier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.now = m.now.Add(time.Second)
		const full = 4096 + modelSequences*modelEndpoints
		for i := range full {
			m.submitLarge([]string{"bulk", "dossier"}[i%2])
		}
		for range 50 {
			m.submitLarge(rapid.SampledFrom([]string{"urgent", "dossier", "bulk"}).Draw(t, "class"))
			m.checkLedger()
		}
		bulk := 0
		for _, w := range m.waiting {
			if w.Class == "bulk" {
				bulk++
			}
		}
		if bulk == 0 {
			t.Fatal("nothing was left to shed; the test shows nothing")
		}
	})
}

// submitLarge queues a request of a fixed size, without drawing, so that a queue can be filled quickly.
func (m *model) submitLarge(class string) {
	m.next++
	r := chiveschedule.SlotRequest{
		ID: fmt.Sprintf("%s-%d", class, m.next), Attempt: 1, Class: class, Team: "a", PromptTokens: 500,
		ArrivalMs: m.now.UnixMilli(), DeadlineMs: m.now.UnixMilli() + m.classes[class].DeadlineMs, Repeatable: true,
	}
	m.waiting[r.ID] = r
	m.take(m.shard.Submit(m.now, "g", r))
}
