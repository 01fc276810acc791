package chiveconfig

import (
	"slices"
	"time"

	"chivedrift/chiveresidency"
)

// Config is the effective configuration of one site, after its overlay was merged into the base.
type Config struct {
	Tiers   []Tier  `yaml:"tiers" validate:"required,min=1,max=16,dive"`
	Classes []Class `yaml:"classes" validate:"required,min=1,dive"`
	Teams   []Team  `yaml:"teams" validate:"required,min=1,dive"`
	Pools   []Pool  `yaml:"pools" validate:"required,min=1,dive"`
	Routing Routing `yaml:"routing"`
	Limits  Limits  `yaml:"limits"`
	// Evacuated lists the failure domains whose endpoints get no further requests.
	Evacuated []string `yaml:"evacuated"`
}

// Tier is a service level; tiers are listed from the most to the least urgent.
type Tier struct {
	Name string `yaml:"name" validate:"required"`
}

// Class is a kind of request with its tier, its latency targets and its promises.
type Class struct {
	Name               string `yaml:"name" validate:"required"`
	Tier               string `yaml:"tier" validate:"required"`
	FirstTokenMs       int64  `yaml:"first_token_ms" validate:"min=1,max=3600000"`
	BetweenTokensMs    int64  `yaml:"between_tokens_ms" validate:"min=0,max=60000"`
	DeadlineMs         int64  `yaml:"deadline_ms" validate:"min=1,max=86400000"`
	StallMs            int64  `yaml:"stall_ms" validate:"min=10,max=600000"`
	ExpectedTokens     int64  `yaml:"expected_tokens" validate:"min=1,max=1000000"`
	MinSharePercent    int64  `yaml:"min_share_percent" validate:"min=0,max=50"`
	RetryBudgetPercent int64  `yaml:"retry_budget_percent" validate:"min=0,max=100"`
	Protected          bool   `yaml:"protected"`
	Repeatable         bool   `yaml:"idempotent"`
	// Regions lists where requests of the class may be served; nil allows every region, an empty list none.
	Regions []string `yaml:"regions"`
}

// Team is a caller with its key digests, its weight and its limit over the whole fleet.
type Team struct {
	Name            string   `yaml:"name" validate:"required"`
	KeySHA256       []string `yaml:"key_sha256" validate:"required,min=1,dive,digest"`
	Weight          int64    `yaml:"weight" validate:"min=1,max=1000"`
	TokensPerSecond int64    `yaml:"tokens_per_second" validate:"min=0"`
	// Regions lists where the team's requests may be served; nil allows every region, an empty list none.
	Regions []string `yaml:"regions"`
}

// Pool is a set of endpoints that serve one model, or one plain service; version, adapters and role are what
// the router orders each of them to load or to be.
type Pool struct {
	Name         string     `yaml:"name" validate:"required"`
	Kind         string     `yaml:"kind" validate:"required,oneof=model service"`
	DefaultClass string     `yaml:"default_class" validate:"required"`
	Version      string     `yaml:"version" validate:"max=256"`
	Adapters     []string   `yaml:"adapters" validate:"max=64,dive,min=1,max=256"`
	Role         string     `yaml:"role" validate:"max=64"`
	Endpoints    []Endpoint `yaml:"endpoints" validate:"required,min=1,dive"`
}

// Endpoint is one replica of a pool; its capacity is counted in tokens of context in flight.
type Endpoint struct {
	Name           string `yaml:"name" validate:"required"`
	Address        string `yaml:"address" validate:"required,ipport"`
	Region         string `yaml:"region" validate:"required"`
	FailureDomain  string `yaml:"failure_domain" validate:"required"`
	CapacityTokens int64  `yaml:"capacity_tokens" validate:"min=0,max=100000000"`
	Sequences      int64  `yaml:"sequences" validate:"min=0,max=100000"`
	ChecksFencing  bool   `yaml:"checks_fencing"`
}

// Routing tunes the routing decisions.
type Routing struct {
	Policy            string `yaml:"policy" validate:"omitempty,oneof=slack tiers fifo"`
	EndpointsPerShard int64  `yaml:"endpoints_per_shard" validate:"min=0,max=1000"`
	GrantWaitMs       int64  `yaml:"grant_wait_ms" validate:"min=0,max=60000"`
	ClaimWindowS      int64  `yaml:"claim_window_s" validate:"min=0,max=86400"`
}

// Limits bounds what callers may send.
type Limits struct {
	BodyBytes   int64 `yaml:"body_bytes" validate:"min=0,max=1073741824"`
	HeaderBytes int64 `yaml:"header_bytes" validate:"min=0,max=1048576"`
	InFlight    int64 `yaml:"in_flight" validate:"min=0,max=1000000"`
}

const (
	// KindModel marks a pool of language-model engines.
	KindModel = "model"
	// KindService marks a pool of plain service replicas.
	KindService = "service"
)

const (
	defaultPolicy            = "slack"
	defaultEndpointsPerShard = 8
	defaultGrantWaitMs       = 500
	defaultClaimWindowS      = 600
	defaultBodyBytes         = 4 << 20
	defaultHeaderBytes       = 32 << 10
	defaultInFlight          = 4096
)

func (c *Config) setDefaults() {
	if c.Routing.Policy == "" {
		c.Routing.Policy = defaultPolicy
	}
	orDefault(&c.Routing.EndpointsPerShard, defaultEndpointsPerShard)
	orDefault(&c.Routing.GrantWaitMs, defaultGrantWaitMs)
	orDefault(&c.Routing.ClaimWindowS, defaultClaimWindowS)
	orDefault(&c.Limits.BodyBytes, defaultBodyBytes)
	orDefault(&c.Limits.HeaderBytes, defaultHeaderBytes)
	orDefault(&c.Limits.InFlight, defaultInFlight)
}

func orDefault(field *int64, value int64) {
	if *field == 0 {
		*field = value
	}
}

// Class finds a class by name.
func (c *Config) Class(name string) (*Class, bool) {
	return find(c.Classes, func(e *Class) bool { return e.Name == name })
}

// Team finds a team by name.
func (c *Config) Team(name string) (*Team, bool) {
	return find(c.Teams, func(e *Team) bool { return e.Name == name })
}

// Residency returns where a request of a class and a team, by name, may be served; the lists of both hold.
func (c *Config) Residency(class, team string) chiveresidency.Policy {
	var policy chiveresidency.Policy
	if found, ok := c.Class(class); ok {
		policy = chiveresidency.Within(found.Regions)
	}
	if found, ok := c.Team(team); ok {
		policy = policy.Intersect(chiveresidency.Within(found.Regions))
	}
	return policy
}

// IsEvacuated reports whether the endpoints of a failure domain get no further requests.
func (c *Config) IsEvacuated(failureDomain string) bool {
	return slices.Contains(c.Evacuated, failureDomain)
}

// Pool finds a pool by name.
func (c *Config) Pool(name string) (*Pool, bool) {
	return find(c.Pools, func(e *Pool) bool { return e.Name == name })
}

// TierRank returns the place of a tier, 0 for the most urgent, or -1 for an unknown one.
func (c *Config) TierRank(name string) int {
	for i := range c.Tiers {
		if c.Tiers[i].Name == name {
			return i
		}
	}
	return -1
}

func find[T any](list []T, matches func(*T) bool) (*T, bool) {
	for i := range list {
		if matches(&list[i]) {
			return &list[i], true
		}
	}
	return nil, false
}

// FirstToken returns the class's target for the first token.
func (c *Class) FirstToken() time.Duration { return time.Duration(c.FirstTokenMs) * time.Millisecond }

// Deadline returns how long after its arrival a request of the class is still useful.
func (c *Class) Deadline() time.Duration { return time.Duration(c.DeadlineMs) * time.Millisecond }

// Stall returns how long a stream of the class may be silent before it counts as broken.
func (c *Class) Stall() time.Duration { return time.Duration(c.StallMs) * time.Millisecond }

// GrantWait returns how long a gateway waits for any word from a shard's scheduler.
func (r *Routing) GrantWait() time.Duration {
	return time.Duration(r.GrantWaitMs) * time.Millisecond
}
