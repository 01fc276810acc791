package chiveschedule_test

import (
	"fmt"
	"testing"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiveschedule"

	"pgregory.net/rapid"
)

// model tracks the waiting and running requests of a shard from its decisions, to check the shard's invariants.
type model struct {
	t         *rapid.T
	shard     *chiveschedule.Shard
	now       time.Time
	lastID    int
	waiting   map[string]chiveschedule.SlotRequest
	running   map[string]chiveschedule.SlotGrant
	costs     map[string]int64
	classes   map[string]chiveconfig.Class
	tiers     map[string]int
	endpoints []chiveconfig.Endpoint
}

const (
	modelSequences = 3
	modelTokens    = 4000
	modelEndpoints = 3
)

func newModel(t *rapid.T) *model {
	config := &chiveconfig.Config{Tiers: []chiveconfig.Tier{{Name: "0"}, {Name: "1"}, {Name: "2"}}}
	m := &model{
		t: t, now: simulationStart, waiting: make(map[string]chiveschedule.SlotRequest), running: make(map[string]chiveschedule.SlotGrant),
		costs: make(map[string]int64), classes: make(map[string]chiveconfig.Class), tiers: map[string]int{"0": 0, "1": 1, "2": 2},
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
		m.endpoints = append(m.endpoints, chiveconfig.Endpoint{Name: fmt.Sprintf("e%d", i), Sequences: modelSequences, CapacityTokens: modelTokens})
	}
	m.shard = chiveschedule.NewShard("s", 1, chiveschedule.NewPlan(config, m.endpoints), simulationStart)
	return m
}

// applyDecisions applies a shard's decisions to the model and checks the invariants of each.
func (m *model) applyDecisions(decisions []chiveschedule.Decision) {
	for _, d := range decisions {
		switch {
		case d.Grant != nil:
			m.applyGrant(*d.Grant)
		case d.Refusal != nil:
			m.applyRefusal(*d.Refusal)
		case d.Preempt != nil:
			m.applyPreemption(*d.Preempt)
		}
	}
}

func (m *model) applyGrant(g chiveschedule.SlotGrant) {
	if _, running := m.running[g.ID]; running {
		return
	}
	if _, ok := m.waiting[g.ID]; !ok {
		m.t.Fatalf("grant for %s, which is not waiting", g.ID)
	}
	delete(m.waiting, g.ID)
	m.running[g.ID] = g
	m.costs[g.ID] = g.Cost
}

func (m *model) applyRefusal(r chiveschedule.SlotRefusal) {
	refused, ok := m.waiting[r.ID]
	if !ok {
		m.t.Fatalf("refusal for %s, which is not waiting", r.ID)
	}
	if r.RetryAfterMs < 1000 {
		m.t.Fatalf("refusal with a retry time of %d ms, want at least 1000 ms", r.RetryAfterMs)
	}
	delete(m.waiting, r.ID)
	class := m.classes[refused.Class]
	if class.Protected && r.Reason == chiveschedule.ReasonFull {
		for _, w := range m.waiting {
			if m.tiers[m.classes[w.Class].Tier] > m.tiers[class.Tier] {
				m.t.Fatalf("protected %s request refused because the queue is full while a less urgent %s request waits", class.Name, w.Class)
			}
		}
	}
}

func (m *model) applyPreemption(p chiveschedule.SlotPreempt) {
	victim, ok := m.running[p.ID]
	if !ok {
		return
	}
	class := m.classOf(victim.ID)
	if class.Protected {
		m.t.Fatalf("protected %s request preempted", class.Name)
	}
	for _, w := range m.waiting {
		if m.tiers[m.classes[w.Class].Tier] < m.tiers[class.Tier] {
			return
		}
	}
	m.t.Fatalf("%s request preempted while no more urgent request waits", class.Name)
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

// checkAccounting checks that the running requests fit the endpoints' capacity, and that the shard counts the same requests
// as the model.
func (m *model) checkAccounting() {
	sequences, tokens := make(map[string]int64), make(map[string]int64)
	for id, g := range m.running {
		sequences[g.Endpoint]++
		tokens[g.Endpoint] += m.costs[id]
	}
	for _, e := range m.endpoints {
		onlySequence := sequences[e.Name] == 1
		if sequences[e.Name] > e.Sequences || (tokens[e.Name] > e.CapacityTokens && !onlySequence) {
			m.t.Fatalf("endpoint %s is over its capacity: %d sequences and %d tokens", e.Name, sequences[e.Name], tokens[e.Name])
		}
	}
	if m.shard.Waiting() != len(m.waiting) || m.shard.Running() != len(m.running) {
		m.t.Fatalf("shard has %d waiting and %d running requests, the model %d and %d", m.shard.Waiting(), m.shard.Running(), len(m.waiting), len(m.running))
	}
}

func (m *model) submit(class string) {
	m.lastID++
	id := fmt.Sprintf("%s-%d", class, m.lastID)
	c := m.classes[class]
	r := chiveschedule.SlotRequest{
		ID: id, Attempt: 1, Class: class, Team: rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "team"), Prefix: rapid.Uint64Range(0, 3).Draw(m.t, "prefix"),
		PromptTokens: rapid.Int64Range(1, 1500).Draw(m.t, "prompt"), ArrivalMs: m.now.UnixMilli(), DeadlineMs: m.now.UnixMilli() + c.DeadlineMs, Repeatable: true,
	}
	m.waiting[id] = r
	m.applyDecisions(m.shard.Submit(m.now, "g", r))
}

func (m *model) finish(result chiveschedule.Result) {
	for id, g := range m.running {
		delete(m.running, id)
		tokens := rapid.Int64Range(1, 2000).Draw(m.t, "tokens")
		m.applyDecisions(m.shard.Finish(m.now, chiveschedule.SlotDone{
			ID: id, Attempt: 1, Endpoint: g.Endpoint, Class: m.classOf(id).Name, Team: "a", Result: result, Tokens: tokens, StreamMs: tokens * 20,
		}))
		return
	}
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.applyDecisions(m.shard.Tick(m.now))
}

// Guards against overbooked endpoints, preempted protected requests and requests that are never answered, under random
// submissions, completions and failures.
func TestShardInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit urgent":  func(*rapid.T) { m.submit("urgent") },
			"submit dossier": func(*rapid.T) { m.submit("dossier") },
			"submit bulk":    func(*rapid.T) { m.submit("bulk") },
			"finish":         func(*rapid.T) { m.finish(chiveschedule.ResultOK) },
			"fail":           func(*rapid.T) { m.finish(chiveschedule.ResultFailed) },
			"advance":        func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"":               func(*rapid.T) { m.checkAccounting() },
		})
		m.drain()
	})
}

// drain finishes running requests until none is running or waiting, and fails when some request is never answered.
func (m *model) drain() {
	for range 10000 {
		if len(m.waiting)+len(m.running) == 0 {
			return
		}
		m.finish(chiveschedule.ResultOK)
		m.advance(100 * time.Millisecond)
	}
	m.t.Fatalf("%d requests waiting and %d running after the drain", len(m.waiting), len(m.running))
}

// testItem is a queue item for tests of a queue policy without a shard.
type testItem struct {
	tier  int
	class string
	due   time.Time
}

func (i *testItem) Place() (tier int, class, team string) { return i.tier, i.class, "a" }
func (i *testItem) Due() time.Time                        { return i.due }
func (i *testItem) Cost() int64                           { return 100 }

// Guards against starvation of a class with a guaranteed share: it must be served within 1/share + 2 grants, about 100
// at a share of 1%.
func TestMinShareBoundsGrantsBeforeService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 0.3).Draw(t, "share")
		q := chiveschedule.Policies[*testItem]()["slack"](chiveschedule.Shares{
			Tiers: 3, MinShare: func(string) float64 { return share }, Weight: func(string) int64 { return 1 },
		})
		now, gap := simulationStart, time.Duration(rapid.IntRange(1, 50).Draw(t, "gap"))*time.Millisecond
		bulk := &testItem{2, "bulk", now.Add(time.Minute)}
		q.Push(now, bulk)
		maxGrants := int(1/share) + 2
		for range maxGrants {
			q.Push(now, &testItem{0, "urgent", now.Add(time.Second)})
			item, ok := q.Next(now, func(*testItem) bool { return true })
			if !ok {
				t.Fatal("the queue is empty")
			}
			q.Remove(now, item, true)
			if item == bulk {
				return
			}
			now = now.Add(gap)
		}
		t.Fatalf("not served within %d grants at a share of %.3f", maxGrants, share)
	})
}

// Guards against a full queue that refuses a protected request while a less urgent one waits.
func TestFullQueueShedsLowerTiersBeforeProtected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.now = m.now.Add(time.Second)
		const fillCount = 4096 + modelSequences*modelEndpoints
		for i := range fillCount {
			m.submitFixedSize([]string{"bulk", "dossier"}[i%2])
		}
		for range 50 {
			m.submitFixedSize(rapid.SampledFrom([]string{"urgent", "dossier", "bulk"}).Draw(t, "class"))
			m.checkAccounting()
		}
		bulk := 0
		for _, w := range m.waiting {
			if w.Class == "bulk" {
				bulk++
			}
		}
		if bulk == 0 {
			t.Fatal("no bulk request is waiting, so the test checks nothing")
		}
	})
}

// submitFixedSize submits a request of a fixed size. It draws no random values, so that the queue can be filled
// quickly.
func (m *model) submitFixedSize(class string) {
	m.lastID++
	r := chiveschedule.SlotRequest{
		ID: fmt.Sprintf("%s-%d", class, m.lastID), Attempt: 1, Class: class, Team: "a", PromptTokens: 500,
		ArrivalMs: m.now.UnixMilli(), DeadlineMs: m.now.UnixMilli() + m.classes[class].DeadlineMs, Repeatable: true,
	}
	m.waiting[r.ID] = r
	m.applyDecisions(m.shard.Submit(m.now, "g", r))
}
