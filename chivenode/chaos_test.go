package chivenode_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"chivedrift/chivegate"
	"chivedrift/chivestand"
)

var chaosSeeds = flag.Int("chaos-seeds", 12, "how many seeds the mixed-fault test runs")

// A chaos run is callers, a schedule of faults drawn from a seed, and a ledger of what every caller was told.
type chaos struct {
	c      *cluster
	random *rand.Rand
	mu     sync.Mutex
	told   []told
	faults int
}

// told is one answer with the identity of its request and the key it was for.
type told struct {
	id      string
	key     string
	outcome string
	prompt  string
	tokens  int
	text    string
}

const (
	chaosNodes   = 6
	chaosCallers = 8
	chaosTime    = 60 * time.Second
	chaosTokens  = 30
	callerWaits  = 12 * time.Second
)

// Guards against any gap between what is done and what callers are told, under randomly mixed faults.
func TestNoFalseWordUnderMixedFaults(t *testing.T) {
	sum := make(map[string]int)
	for seed := range *chaosSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inCluster(t, shape{nodes: chaosNodes, engines: 4, sequences: 8}, func(c *cluster) {
				x := &chaos{c: c, random: rand.New(rand.NewPCG(uint64(seed), 7))}
				x.run()
				for word, n := range x.check(t) {
					sum[word] += n
				}
			})
		})
	}
	t.Logf("over %d seeds: %v", *chaosSeeds, sum)
}

func (x *chaos) run() {
	ctx, cancel := context.WithTimeout(context.Background(), chaosTime)
	defer cancel()
	var running sync.WaitGroup
	for caller := range chaosCallers {
		running.Add(1)
		random := rand.New(rand.NewPCG(x.random.Uint64(), uint64(caller)))
		go func() {
			defer running.Done()
			for number := 0; ctx.Err() == nil; number++ {
				x.callOnce(random, fmt.Sprintf("%d-%d", caller, number))
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
		}()
	}
	for ctx.Err() == nil {
		heal := x.fault()
		time.Sleep(time.Duration(500+x.random.IntN(4000)) * time.Millisecond)
		heal()
		time.Sleep(time.Duration(x.random.IntN(1500)) * time.Millisecond)
	}
	running.Wait()
	time.Sleep(10 * time.Second)
}

// callOnce sends a keyed request, up to three times and the retries through two nodes at once, or a stream.
func (x *chaos) callOnce(random *rand.Rand, name string) {
	if random.IntN(3) == 0 {
		prompt := fmt.Sprintf("%s tokens=%d", name, chaosTokens)
		x.ask(call{node: random.IntN(chaosNodes), path: "/v1/chat/completions", class: "dossier", body: chat(prompt, true)}, prompt)
		return
	}
	k := call{path: "/services/svc/book", class: "confirm", body: "x"}
	if random.IntN(4) > 0 {
		k.key = "key-" + name
	}
	for try := 0; try < 3 && !x.ask(x.through(k, random), ""); try++ {
		if k.key == "" {
			return
		}
		var both sync.WaitGroup
		for range 2 {
			both.Add(1)
			retry := x.through(k, random)
			go func() {
				defer both.Done()
				x.ask(retry, "")
			}()
		}
		both.Wait()
	}
}

func (x *chaos) through(k call, random *rand.Rand) call {
	k.node = random.IntN(chaosNodes)
	return k
}

// ask sends a request, notes what the caller was told and reports whether it is content.
func (x *chaos) ask(k call, prompt string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerWaits)
	defer cancel()
	r := x.c.do(ctx, k)
	if r.err != nil || r.header == nil {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.told = append(x.told, told{id: r.header.Get(chivegate.HeaderRequestID), key: k.key, outcome: r.outcome, prompt: prompt, tokens: chaosTokens, text: r.text})
	return r.outcome == "completed"
}

// fault puts one fault into force and returns what lifts it.
func (x *chaos) fault() (heal func()) {
	x.faults++
	c := x.c
	node := x.random.IntN(chaosNodes)
	service := c.services[x.random.IntN(len(c.services))]
	engine := c.engines[x.random.IntN(len(c.engines))]
	switch x.random.IntN(13) {
	case 0:
		c.log.SetFaults(chivestand.LogFaults{Down: true})
	case 1:
		c.log.SetFaults(chivestand.LogFaults{LoseAnswerEvery: 2})
	case 2:
		c.log.SetFaults(chivestand.LogFaults{DelayMs: int64(x.random.IntN(2500))})
	case 3:
		c.lose(logAddress)
		return func() { c.find(logAddress) }
	case 4:
		service.SetFaults(chivestand.ServiceFaults{CrashAfter: true})
	case 5:
		service.SetFaults(chivestand.ServiceFaults{CrashBefore: true})
	case 6:
		service.SetFaults(chivestand.ServiceFaults{Stall: true})
	case 7:
		service.SetFaults(chivestand.ServiceFaults{Refuse: true})
	case 8:
		engine.SetFaults(chivestand.EngineFaults{CrashAfterTokens: 1 + x.random.IntN(20), CrashMidToken: x.random.IntN(2) == 0})
	case 9:
		engine.SetFaults(chivestand.EngineFaults{StallAfterTokens: 1 + x.random.IntN(20)})
	case 10:
		c.lose(callersAddress(node))
		return func() { c.find(callersAddress(node)) }
	case 12:
		return x.loseDomain(domain(x.random.IntN(3)))
	case 11:
		c.network.Silence(func(from, to string) bool {
			return host(from) == host(callersAddress(node)) || host(to) == host(callersAddress(node))
		})
	}
	return func() {
		c.log.SetFaults(chivestand.LogFaults{})
		service.SetFaults(chivestand.ServiceFaults{})
		engine.SetFaults(chivestand.EngineFaults{})
	}
}

// loseDomain takes a failure domain off the network: its nodes, schedulers and claim writers among them, and its engines.
func (x *chaos) loseDomain(name string) (heal func()) {
	var lost []string
	for i := range chaosNodes {
		if domain(i) == name {
			lost = append(lost, peerAddress(i))
		}
	}
	for i := range x.c.engines {
		if domain(i) == name {
			lost = append(lost, engineAddress(i))
		}
	}
	x.c.lose(lost...)
	return func() { x.c.find(lost...) }
}

// check compares every word with what the stand-ins counted.
func (x *chaos) check(t *testing.T) map[string]int {
	t.Helper()
	byID, byKey := make(map[string]int), make(map[string]int)
	for _, s := range x.c.services {
		runs := s.Runs()
		for id, n := range runs.Runs {
			byID[id] += n
		}
		for key, n := range runs.Keys {
			byKey[key] += n
		}
	}
	for _, e := range x.c.engines {
		for id, n := range e.Runs().Runs {
			byID[id] += n
		}
	}
	for key, n := range byKey {
		if n > 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	sum := map[string]int{"faults": x.faults, "answers": len(x.told)}
	for _, a := range x.told {
		sum[a.outcome]++
		x.checkWord(t, a, byID[a.id], byKey[a.key], sum)
	}
	return sum
}

func (x *chaos) checkWord(t *testing.T, a told, ran, keyRan int, sum map[string]int) {
	t.Helper()
	switch a.outcome {
	case "not-run":
		if ran > 0 {
			t.Errorf("%s was said not to have run and ran %d times", a.id, ran)
		}
	case "completed":
		a.checkCompleted(t, ran+keyRan)
	case "unknown":
		if a.prompt == "" && ran == 0 && (a.key == "" || keyRan == 0) {
			sum["unknown that had not run"]++
		}
	case "failed":
	default:
		if a.prompt == "" || !strings.HasPrefix(expected(a.prompt, a.tokens), a.text) {
			t.Errorf("%s ended as %q with %q", a.id, a.outcome, a.text)
		}
	}
}

func (a told) checkCompleted(t *testing.T, ran int) {
	t.Helper()
	if a.prompt != "" && a.text != expected(a.prompt, a.tokens) {
		t.Errorf("%s completed with the wrong text %q", a.id, a.text)
	}
	if a.prompt == "" && ran == 0 {
		t.Errorf("%s was said to be completed and never ran", a.id)
	}
}
