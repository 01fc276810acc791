package chiveexperiment

import "time"

// settle is how long after the last arrival a play goes on, so that what was begun can end.
const settle = 20 * time.Second

// Play plays a scenario once with a policy and a seed.
func Play(s *Scenario, policy string, seed uint64) Result {
	w := &world{scenario: s, seed: seed, random: newDraws(seed, 0), tally: newTally()}
	w.addEngines()
	w.router = newRouter(w, policy)
	w.router.setEndpoints(w.endpoints())
	w.addCallers()
	w.planFaults()
	w.run(seconds(s.Seconds) + settle)
	return w.tally.result()
}
