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

var chaosSeeds = flag.Int("chaos-seeds", 12, "number of seeds for the mixed-fault test")

// chaosRun runs callers against a cluster under a schedule of faults drawn from a seed, and records every answer that
// a caller got.
type chaosRun struct {
	c       *cluster
	random  *rand.Rand
	mu      sync.Mutex
	answers []answer
	faults  int
}

// answer is one answer that a caller got, with the ID of its request and the idempotency key of the call.
type answer struct {
	id      string
	key     string
	outcome string
	prompt  string
	tokens  int
	text    string
}

const (
	chaosNodes    = 6
	chaosCallers  = 8
	chaosDuration = 60 * time.Second
	chaosTokens   = 30
	callerTimeout = 12 * time.Second
)

// Guards against outcomes reported to callers that differ from what was executed, under randomly mixed faults.
func TestOutcomesAreTrueUnderMixedFaults(t *testing.T) {
	sum := make(map[string]int)
	for seed := range *chaosSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withCluster(t, clusterSpec{nodes: chaosNodes, engines: 4, sequences: 8}, func(c *cluster) {
				r := &chaosRun{c: c, random: rand.New(rand.NewPCG(uint64(seed), 7))}
				r.run()
				for outcome, n := range r.check(t) {
					sum[outcome] += n
				}
			})
		})
	}
	t.Logf("over %d seeds: %v", *chaosSeeds, sum)
}

func (r *chaosRun) run() {
	ctx, cancel := context.WithTimeout(context.Background(), chaosDuration)
	defer cancel()
	var running sync.WaitGroup
	for caller := range chaosCallers {
		running.Add(1)
		random := rand.New(rand.NewPCG(r.random.Uint64(), uint64(caller)))
		go func() {
			defer running.Done()
			for number := 0; ctx.Err() == nil; number++ {
				r.sendWithRetries(random, fmt.Sprintf("%d-%d", caller, number))
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
		}()
	}
	for ctx.Err() == nil {
		heal := r.injectFault()
		time.Sleep(time.Duration(500+r.random.IntN(4000)) * time.Millisecond)
		heal()
		time.Sleep(time.Duration(r.random.IntN(1500)) * time.Millisecond)
	}
	running.Wait()
	time.Sleep(10 * time.Second)
}

// sendWithRetries sends either a stream once, or a service request, usually with an idempotency key. A keyed request
// is sent up to three times until it completes; each time, two more copies are sent through random nodes
// concurrently.
func (r *chaosRun) sendWithRetries(random *rand.Rand, name string) {
	if random.IntN(3) == 0 {
		prompt := fmt.Sprintf("%s tokens=%d", name, chaosTokens)
		r.send(call{node: random.IntN(chaosNodes), path: "/v1/chat/completions", class: "dossier", body: chat(prompt, true)}, prompt)
		return
	}
	request := call{path: "/services/svc/book", class: "confirm", body: "x"}
	if random.IntN(4) > 0 {
		request.key = "key-" + name
	}
	for try := 0; try < 3 && !r.send(r.viaRandomNode(request, random), ""); try++ {
		if request.key == "" {
			return
		}
		var both sync.WaitGroup
		for range 2 {
			both.Add(1)
			retry := r.viaRandomNode(request, random)
			go func() {
				defer both.Done()
				r.send(retry, "")
			}()
		}
		both.Wait()
	}
}

func (r *chaosRun) viaRandomNode(request call, random *rand.Rand) call {
	request.node = random.IntN(chaosNodes)
	return request
}

// send sends a request, records the answer and reports whether the request completed.
func (r *chaosRun) send(request call, prompt string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	response := r.c.do(ctx, request)
	if response.err != nil || response.header == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, answer{id: response.header.Get(chivegate.HeaderRequestID), key: request.key, outcome: response.outcome, prompt: prompt, tokens: chaosTokens, text: response.text})
	return response.outcome == "completed"
}

// injectFault injects a random fault and returns a function that removes it.
func (r *chaosRun) injectFault() (heal func()) {
	r.faults++
	c := r.c
	node := r.random.IntN(chaosNodes)
	service := c.services[r.random.IntN(len(c.services))]
	engine := c.engines[r.random.IntN(len(c.engines))]
	switch r.random.IntN(13) {
	case 0:
		c.log.SetFaults(chivestand.LogFaults{Down: true})
	case 1:
		c.log.SetFaults(chivestand.LogFaults{LoseAnswerEvery: 2})
	case 2:
		c.log.SetFaults(chivestand.LogFaults{DelayMs: int64(r.random.IntN(2500))})
	case 3:
		c.isolate(logAddress)
		return func() { c.reconnect(logAddress) }
	case 4:
		service.SetFaults(chivestand.ServiceFaults{CrashAfter: true})
	case 5:
		service.SetFaults(chivestand.ServiceFaults{CrashBefore: true})
	case 6:
		service.SetFaults(chivestand.ServiceFaults{Stall: true})
	case 7:
		service.SetFaults(chivestand.ServiceFaults{Refuse: true})
	case 8:
		engine.SetFaults(chivestand.EngineFaults{CrashAfterTokens: 1 + r.random.IntN(20), CrashMidToken: r.random.IntN(2) == 0})
	case 9:
		engine.SetFaults(chivestand.EngineFaults{StallAfterTokens: 1 + r.random.IntN(20)})
	case 10:
		c.isolate(callersAddress(node))
		return func() { c.reconnect(callersAddress(node)) }
	case 12:
		return r.isolateDomain(domain(r.random.IntN(3)))
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

// isolateDomain disconnects a failure domain from the network: its engines and its nodes, which include schedulers
// and claim writers.
func (r *chaosRun) isolateDomain(name string) (heal func()) {
	var addresses []string
	for i := range chaosNodes {
		if domain(i) == name {
			addresses = append(addresses, peerAddress(i))
		}
	}
	for i := range r.c.engines {
		if domain(i) == name {
			addresses = append(addresses, engineAddress(i))
		}
	}
	r.c.isolate(addresses...)
	return func() { r.c.reconnect(addresses...) }
}

// check compares every answer with the executions that the simulated endpoints counted.
func (r *chaosRun) check(t *testing.T) map[string]int {
	t.Helper()
	byID, byKey := make(map[string]int), make(map[string]int)
	for _, s := range r.c.services {
		runs := s.Runs()
		for id, n := range runs.Runs {
			byID[id] += n
		}
		for key, n := range runs.Keys {
			byKey[key] += n
		}
	}
	for _, e := range r.c.engines {
		for id, n := range e.Runs().Runs {
			byID[id] += n
		}
	}
	for key, n := range byKey {
		if n > 1 {
			t.Errorf("key %s was executed %d times", key, n)
		}
	}
	sum := map[string]int{"faults": r.faults, "answers": len(r.answers)}
	for _, a := range r.answers {
		sum[a.outcome]++
		r.checkAnswer(t, a, byID[a.id], byKey[a.key], sum)
	}
	return sum
}

func (r *chaosRun) checkAnswer(t *testing.T, a answer, runs, keyRuns int, sum map[string]int) {
	t.Helper()
	switch a.outcome {
	case "not-run":
		if runs > 0 {
			t.Errorf("%s was reported as not run but was executed %d times", a.id, runs)
		}
	case "completed":
		a.checkCompleted(t, runs+keyRuns)
	case "unknown":
		if a.prompt == "" && runs == 0 && (a.key == "" || keyRuns == 0) {
			sum["unknown, not executed"]++
		}
	case "failed":
	default:
		if a.prompt == "" || !strings.HasPrefix(expectedText(a.prompt, a.tokens), a.text) {
			t.Errorf("%s ended with outcome %q and unexpected text %q", a.id, a.outcome, a.text)
		}
	}
}

func (a answer) checkCompleted(t *testing.T, runs int) {
	t.Helper()
	if a.prompt != "" && a.text != expectedText(a.prompt, a.tokens) {
		t.Errorf("%s completed with the wrong text %q", a.id, a.text)
	}
	if a.prompt == "" && runs == 0 {
		t.Errorf("%s was reported as completed but was never executed", a.id)
	}
}
