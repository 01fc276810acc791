package chiveexperiment

import (
	"context"
	"math"
	"runtime"
	"sync"
)

// Experiment is a scenario, played with several policies on the same seeds.
type Experiment struct {
	Scenario *Scenario `json:"-"`
	Name     string    `json:"scenario"`
	Seeds    int       `json:"seeds"`
	Policies []string  `json:"policies"`
	// Results holds one result a seed, by policy.
	Results map[string][]Result `json:"results"`
}

// Run plays everything, as many plays at a time as half of the processors; progress hears after each play how many are done. Plays that
// the context's end leaves out are an error.
func Run(ctx context.Context, s *Scenario, policies []string, seeds int, progress func(done, all int)) (*Experiment, error) {
	x := &Experiment{Scenario: s, Name: s.Name, Seeds: seeds, Policies: policies, Results: make(map[string][]Result)}
	for _, p := range policies {
		x.Results[p] = make([]Result, seeds)
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	done := 0
	free := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for _, p := range policies {
		for seed := range seeds {
			free <- struct{}{}
			if ctx.Err() != nil {
				<-free
				continue
			}
			wait.Go(func() {
				defer func() { <-free }()
				x.Results[p][seed] = Play(s, p, uint64(seed))
				mu.Lock()
				defer mu.Unlock()
				done++
				progress(done, seeds*len(policies))
			})
		}
	}
	wait.Wait()
	return x, ctx.Err() //nolint:wrapcheck // the context's own error says it all
}

// Mean is a mean over seeds with half the width of its 95% interval.
type Mean struct {
	Value float64 `json:"mean"`
	Half  float64 `json:"half_interval"`
}

// normal95 is the number of standard errors to either side that hold 95 of 100 means.
const normal95 = 1.96

func meanOf(values []float64) Mean {
	n := float64(len(values))
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
	}
	mean := sum / n
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	if n < 2 {
		return Mean{Value: mean}
	}
	return Mean{Value: mean, Half: normal95 * math.Sqrt(squares/(n-1)/n)}
}

// figure is one figure of a result.
type figure func(r Result) float64

// Of returns a policy's mean of a figure.
func (x *Experiment) of(policy string, f figure) Mean {
	values := make([]float64, 0, x.Seeds)
	for _, r := range x.Results[policy] {
		values = append(values, f(r))
	}
	return meanOf(values)
}

// against returns the mean difference of a figure to the first policy, seed by seed.
func (x *Experiment) against(policy string, f figure) Mean {
	first := x.Results[x.Policies[0]]
	values := make([]float64, 0, x.Seeds)
	for i, r := range x.Results[policy] {
		values = append(values, f(r)-f(first[i]))
	}
	return meanOf(values)
}
