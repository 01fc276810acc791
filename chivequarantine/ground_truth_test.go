//go:build !race

package chivequarantine_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivehealth"
)

// truthSeeds runs more simulations: go test ./chivequarantine -run GroundTruth -truth.seeds 200.
var truthSeeds = flag.Uint64("truth.seeds", 12, "number of simulations in TestQuarantineAgainstGroundTruth")

// engine is a simulated model engine, of which the test knows when and why it crashed.
type engine struct {
	id      int
	starts  int
	up      bool
	running []*attempt
}

func (e *engine) incarnation() string { return fmt.Sprintf("e%d@%d", e.id, e.starts) }

func (e *engine) domain() string { return fmt.Sprintf("z%d", e.id%3) }

// attempt is an attempt of a request that is running on an engine.
type attempt struct {
	content      string
	node         *node
	startedAt    time.Time
	endsAt       time.Time
	attemptsLeft int
}

// simulation is a fleet with engines, callers, crashes and network faults.
type simulation struct {
	t           *testing.T
	fleet       *fleet
	random      *rand.Rand
	engines     []*engine
	sendsDeadly bool
	crashes     int
	uniqueSent  int
}

const simulationStep = 20 * time.Millisecond

// Guards against quarantining harmless requests, and against not quarantining the deadly one, which crashes every
// engine that runs it, while engines crash and connections break for other reasons.
func TestQuarantineAgainstGroundTruth(t *testing.T) {
	for seed := range *truthSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &simulation{t: t, fleet: newFleet(t, 3+int(seed%4)*6), random: rand.New(rand.NewPCG(seed, 5)), sendsDeadly: seed%2 == 0}
				for i := range 12 {
					s.engines = append(s.engines, &engine{id: i, up: true})
				}
				s.run(20 * time.Second)
			})
		})
	}
}

func (s *simulation) run(length time.Duration) {
	began := time.Now()
	var thirdCrash time.Time
	for step := 0; time.Since(began) < length; step++ {
		s.sendRequests(step)
		if time.Since(began) > time.Second {
			s.injectFaults()
		}
		s.endAttempts()
		if s.crashes >= 3 && thirdCrash.IsZero() {
			thirdCrash = time.Now()
		}
		time.Sleep(simulationStep)
		s.checkHarmless()
	}
	if s.sendsDeadly && !thirdCrash.IsZero() && time.Since(thirdCrash) > propagationLimit {
		if admitting := s.fleet.countAdmitting("deadly", s.fleet.nodes); admitting > 0 {
			s.t.Errorf("%d of %d nodes admit the deadly request after %d crashes", admitting, len(s.fleet.nodes), s.crashes)
		}
	}
}

// sendRequests sends three requests that are polled repeatedly, requests that are sent once, and the deadly request.
func (s *simulation) sendRequests(step int) {
	for i := range 3 {
		if s.random.IntN(2) == 0 {
			s.send(fmt.Sprintf("poll%d", i), 1)
		}
	}
	if s.random.IntN(3) == 0 {
		s.uniqueSent++
		s.send(fmt.Sprintf("once%d", s.uniqueSent), 4)
	}
	if s.sendsDeadly && step%5 == 0 {
		n := s.fleet.nodes[s.random.IntN(len(s.fleet.nodes))]
		if !n.Quarantined(time.Now(), requestOf("deadly")).Quarantined {
			s.start("deadly", n, 1)
		}
	}
}

func (s *simulation) send(content string, attempts int) {
	s.start(content, s.fleet.nodes[s.random.IntN(len(s.fleet.nodes))], attempts)
}

func (s *simulation) start(content string, n *node, attempts int) {
	e := s.engines[s.random.IntN(len(s.engines))]
	if !e.up || attempts == 0 {
		return
	}
	now := time.Now()
	e.running = append(e.running, &attempt{content, n, now, now.Add(time.Duration(20+s.random.IntN(400)) * time.Millisecond), attempts - 1})
}

// injectFaults randomly crashes a failure domain, restarts a proxy or resets connections.
func (s *simulation) injectFaults() {
	switch s.random.IntN(150) {
	case 0:
		domain := fmt.Sprintf("z%d", s.random.IntN(3))
		for _, e := range s.engines {
			if e.domain() == domain {
				s.crash(e)
			}
		}
	case 1:
		// A proxy restarts: new connections are reset for a moment too, although the engine behind it stays up.
		s.breakAttempts(s.engines[s.random.IntN(len(s.engines))], chivehealth.EvidenceReset)
	case 2, 3, 4:
		// The network resets connections; the engine accepts new ones.
		s.breakAttempts(s.engines[s.random.IntN(len(s.engines))], chivehealth.EvidenceNone)
	}
}

func (s *simulation) crash(e *engine) {
	if !e.up {
		return
	}
	s.breakAttempts(e, chivehealth.EvidenceReset)
	e.up = false
	time.AfterFunc(time.Duration(500+s.random.IntN(1500))*time.Millisecond, func() { e.starts, e.up = e.starts+1, true })
}

// breakAttempts breaks all attempts on an engine. Their nodes report the evidence, if any, and the callers retry.
func (s *simulation) breakAttempts(e *engine, evidence chivehealth.Evidence) {
	broken := e.running
	e.running = nil
	for _, a := range broken {
		if evidence != chivehealth.EvidenceNone {
			a.node.Crashed(time.Now(), requestOf(a.content), chivehealth.Failure{
				Endpoint: e.incarnation(), Unique: true, FailureDomain: e.domain(), Evidence: evidence, At: time.Now(),
			}, false)
		}
		s.send(a.content, a.attemptsLeft)
	}
}

// endAttempts answers the attempts that are due, and crashes the engines that are running the deadly request.
func (s *simulation) endAttempts() {
	now := time.Now()
	for _, e := range s.engines {
		var running []*attempt
		for _, a := range e.running {
			switch {
			case now.Before(a.endsAt) && a.content != "deadly":
				running = append(running, a)
			case a.content == "deadly":
				running = append(running, a)
			default:
				a.node.Alive(now, e.incarnation(), a.startedAt)
				a.node.Answered(now, requestOf(a.content))
			}
		}
		e.running = running
		for _, a := range running {
			if a.content == "deadly" && now.Sub(a.startedAt) >= 2*simulationStep {
				s.crashes++
				s.crash(e)
				break
			}
		}
	}
}

func (s *simulation) checkHarmless() {
	for _, n := range s.fleet.nodes {
		for i := range 3 {
			s.checkNotQuarantined(n, fmt.Sprintf("poll%d", i))
		}
		for i := max(0, s.uniqueSent-20); i <= s.uniqueSent; i++ {
			s.checkNotQuarantined(n, fmt.Sprintf("once%d", i))
		}
	}
}

func (s *simulation) checkNotQuarantined(n *node, content string) {
	if n.Quarantined(time.Now(), requestOf(content)).Quarantined {
		s.t.Fatalf("the harmless request %s is quarantined at %s", content, n.address)
	}
}
