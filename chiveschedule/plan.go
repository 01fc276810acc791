package chiveschedule

import (
	"time"

	"chivedrift/chiveconfig"
)

// Plan is the part of the configuration that a shard needs.
type Plan struct {
	policy    string
	tiers     int
	classes   map[string]*ClassPlan
	teams     map[string]int64
	endpoints []EndpointPlan
}

// ClassPlan is the scheduling configuration of a service class.
type ClassPlan struct {
	name             string
	tier             int
	firstTokenTarget time.Duration
	deadline         time.Duration
	protected        bool
	minShare         float64
	expectedTokens   int64
}

// EndpointPlan describes an endpoint and its capacity in concurrent sequences and in tokens in flight.
type EndpointPlan struct {
	Name          string
	FailureDomain string
	Sequences     int64
	Tokens        int64
	// Evacuated means that the endpoint gets no further requests.
	Evacuated bool
}

const (
	defaultSequences = 16
	minClassShare    = 0.01
	percent          = 100
)

// NewPlan derives the plan of a shard from the configuration and the shard's endpoints.
func NewPlan(config *chiveconfig.Config, endpoints []chiveconfig.Endpoint) *Plan {
	p := &Plan{
		policy: config.Routing.Policy, tiers: len(config.Tiers),
		classes: make(map[string]*ClassPlan, len(config.Classes)), teams: make(map[string]int64, len(config.Teams)),
	}
	for i := range config.Classes {
		c := &config.Classes[i]
		p.classes[c.Name] = &ClassPlan{
			name: c.Name, tier: config.TierRank(c.Tier), firstTokenTarget: c.FirstToken(), deadline: c.Deadline(),
			protected: c.Protected, expectedTokens: c.ExpectedTokens, minShare: max(float64(c.MinSharePercent)/percent, minClassShare),
		}
	}
	for i := range config.Teams {
		p.teams[config.Teams[i].Name] = config.Teams[i].Weight
	}
	for i := range endpoints {
		e := &endpoints[i]
		sequences := e.Sequences
		if sequences == 0 {
			sequences = defaultSequences
		}
		p.endpoints = append(p.endpoints, EndpointPlan{Name: e.Name, FailureDomain: e.FailureDomain, Sequences: sequences, Tokens: e.CapacityTokens, Evacuated: config.IsEvacuated(e.FailureDomain)})
	}
	return p
}

// WithPolicy returns a copy of the plan with another queue policy.
func (p *Plan) WithPolicy(name string) *Plan {
	copied := *p
	copied.policy = name
	return &copied
}

func (p *Plan) class(name string) *ClassPlan {
	if c, ok := p.classes[name]; ok {
		return c
	}
	// A gateway with a newer configuration may name a class that is not known here yet; it gets the least urgent tier.
	return &ClassPlan{name: name, tier: max(p.tiers-1, 0), firstTokenTarget: time.Minute, deadline: time.Minute, expectedTokens: unknownClassTokens, minShare: minClassShare}
}

const unknownClassTokens = 256

func (p *Plan) weight(team string) int64 {
	if w, ok := p.teams[team]; ok {
		return max(w, 1)
	}
	return 1
}
