package chivetable

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"chivedrift/chiveresidency"
)

// Repetition says whether a request may be retried.
type Repetition uint8

const (
	// RepeatNever marks a request that may run at most once.
	RepeatNever Repetition = iota
	// RepeatAlways marks an idempotent request.
	RepeatAlways
	// RepeatResume marks a stream that may be resumed at another endpoint after the last delivered event.
	RepeatResume
)

// String returns the name used in logs.
func (r Repetition) String() string {
	switch r {
	case RepeatAlways:
		return "idempotent"
	case RepeatResume:
		return "resumable"
	case RepeatNever:
	}
	return "once"
}

// Share is one pool of a weighted traffic split.
type Share struct {
	Pool   string
	Weight int
}

// Route describes how requests for a host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Shares []Share
	// Timeout is the longest that a caller is kept waiting, even if the caller allows more.
	Timeout time.Duration
	// Target is the latency target of the class: the time to the response, or for streams to the first event.
	Target time.Duration
	// Pause is the longest time between two events of a stream that meets its target; 0 for responses that are not
	// streamed.
	Pause time.Duration
	// Tier is the priority among routes; 0 is the most urgent.
	Tier int
	// Attempts is the maximum number of endpoints that one request may be sent to.
	Attempts  int
	Anonymous bool
	// Prompted is set for routes whose requests carry prompts in named parts, so that it matters which engine has them
	// cached.
	Prompted bool
	Stream   bool
	Repeat   Repetition
	// Residency limits the regions in which requests on the route may be served.
	Residency chiveresidency.Policy
}

// Engine describes the capacity of one engine of a model pool; zero for plain services.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CacheTokens is the memory of one engine for running requests and cached prompt parts, in tokens.
	CacheTokens int64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Pool is a set of endpoints that serve the same model or service.
type Pool struct {
	Name string
	// Connections is the maximum number of connections to one endpoint from all callers together.
	Connections int
	Engine      Engine
	// Scaling holds the settings for ordering replicas; nil if replicas cannot be ordered.
	Scaling *Scaling
	// WarmUpRate is the number of requests per second that one endpoint accepts while it warms up; 0 if warming up
	// makes no difference.
	WarmUpRate float64
}

// Scaling holds the settings for ordering replicas of a pool.
type Scaling struct {
	// Min and Max limit the number of replicas in one failure domain, on-demand and preemptible ones together.
	Min int
	Max int
	// Boot is the time from an order until the replica accepts requests.
	Boot time.Duration
	// PreemptiblePrice is the price of a preemptible replica relative to an on-demand one; 0 if there are no
	// preemptible replicas.
	PreemptiblePrice float64
	// Prices holds the price of a replica by failure domain.
	Prices map[string]float64
}

// validate returns an error if a value is negative or the minimum is above the maximum.
func (s *Scaling) validate() error {
	switch {
	case s.Min < 0 || s.Max < 0 || s.Boot < 0 || s.PreemptiblePrice < 0:
		return fmt.Errorf("scaling: limits, boot time and preemptible price must not be negative")
	case s.Min > s.Max:
		return fmt.Errorf("scaling: the minimum %d is above the maximum %d", s.Min, s.Max)
	}
	for domain, price := range s.Prices {
		if price < 0 {
			return fmt.Errorf("scaling: the price %v of failure domain %q is negative", price, domain)
		}
	}
	return nil
}

// Team is a caller with its keys. The tier, if any, orders requests of different teams on routes of the same tier.
type Team struct {
	Name    string
	HasTier bool
	Tier    int
	// Residency limits the regions in which the team's requests may be served.
	Residency chiveresidency.Policy
}

// Limits bounds what callers may send; sizes are in bytes, and 0 means no limit.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Spec holds the contents of a table.
type Spec struct {
	Version int64
	Routes  []Route
	Pools   []Pool
	// Teams is nil if no request needs a key.
	Teams []Team
	// TeamKeys maps each key to the index of its team in Teams.
	TeamKeys map[string]int
	Limits   Limits
}

// Table is one immutable version of the routing configuration.
type Table struct {
	spec   Spec
	byHost map[string][]*Route
	routes map[string]*Route
	teams  map[string]*Team
	pools  map[string]*Pool
	ranks  map[queueKey][]priority
	// commonTier is the most common tier of the teams.
	commonTier int
}

// New validates a spec and returns its table; errors name the version and the route or pool.
func New(spec Spec) (*Table, error) {
	t := &Table{
		spec: spec, byHost: make(map[string][]*Route), routes: make(map[string]*Route, len(spec.Routes)), teams: make(map[string]*Team, len(spec.Teams)),
		pools: make(map[string]*Pool),
	}
	for i := range t.spec.Teams {
		t.teams[t.spec.Teams[i].Name] = &t.spec.Teams[i]
	}
	for i := range t.spec.Pools {
		p := &t.spec.Pools[i]
		t.pools[p.Name] = p
		if p.Scaling == nil {
			continue
		}
		if err := p.Scaling.validate(); err != nil {
			return nil, fmt.Errorf("configuration version %d: pool %q: %w", spec.Version, p.Name, err)
		}
	}
	for i := range t.spec.Routes {
		r := &t.spec.Routes[i]
		if err := t.validateRoute(r); err != nil {
			return nil, fmt.Errorf("configuration version %d: route %q: %w", spec.Version, r.Name, err)
		}
		t.routes[r.Name] = r
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	t.commonTier = mostCommonTier(spec.Teams)
	t.ranks = t.buildRanks()
	return t, nil
}

func (t *Table) validateRoute(r *Route) error {
	if r.Host == "" {
		return fmt.Errorf("no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return fmt.Errorf("path prefix %q does not begin with a slash", r.Prefix)
	}
	total := 0
	for _, s := range r.Shares {
		if _, ok := t.pools[s.Pool]; !ok {
			return fmt.Errorf("unknown pool %q", s.Pool)
		}
		if s.Weight < 0 {
			return fmt.Errorf("pool %q: weight %d is negative", s.Pool, s.Weight)
		}
		total += s.Weight
	}
	if total == 0 {
		return fmt.Errorf("no pool with a weight above 0")
	}
	return nil
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.spec.Version }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.spec.Limits }

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.spec.Routes) }

// Pools returns all pools.
func (t *Table) Pools() []Pool { return t.spec.Pools }

// Pool returns a pool by name.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Match returns the route of a host with the longest prefix that matches the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normalizeHost returns a Host header in lower case and without the port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// NeedsKey reports whether requests on a route must carry the key of a team.
func (t *Table) NeedsKey(r *Route) bool { return t.spec.Teams != nil && !r.Anonymous }

// Team returns the team that a key belongs to.
func (t *Table) Team(key string) (*Team, bool) {
	i, ok := t.spec.TeamKeys[key]
	if !ok || key == "" {
		return nil, false
	}
	return &t.spec.Teams[i], true
}

// Residency returns where requests of a team on a route may be served: in the regions that both policies allow. An
// empty team name means no team. It reports false if the route or the team does not exist.
func (t *Table) Residency(routeName, teamName string) (policy chiveresidency.Policy, ok bool) {
	r, ok := t.routes[routeName]
	if !ok {
		return chiveresidency.Policy{}, false
	}
	if teamName == "" {
		return r.Residency, true
	}
	team, ok := t.teams[teamName]
	if !ok {
		return chiveresidency.Policy{}, false
	}
	return r.Residency.Intersect(team.Residency), true
}

// regionLimits returns, for state dumps, the allowed regions of routes and teams that are limited to some.
func (t *Table) regionLimits() map[string]string {
	limits := make(map[string]string)
	for i := range t.spec.Routes {
		if r := &t.spec.Routes[i]; r.Residency.IsLimited() {
			limits["route "+r.Name] = r.Residency.String()
		}
	}
	for i := range t.spec.Teams {
		if team := &t.spec.Teams[i]; team.Residency.IsLimited() {
			limits["team "+team.Name] = team.Residency.String()
		}
	}
	return limits
}

// CheckRegions returns an error that names the first route or team with an unknown region.
func (t *Table) CheckRegions(known []string) error {
	for i := range t.spec.Routes {
		r := &t.spec.Routes[i]
		if err := r.Residency.Check(known); err != nil {
			return fmt.Errorf("configuration version %d: route %q: regions: %w", t.spec.Version, r.Name, err)
		}
	}
	for i := range t.spec.Teams {
		team := &t.spec.Teams[i]
		if err := team.Residency.Check(known); err != nil {
			return fmt.Errorf("configuration version %d: team %q: regions: %w", t.spec.Version, team.Name, err)
		}
	}
	return nil
}

// SendsTo reports whether the route sends requests to a pool.
func (r *Route) SendsTo(pool string) bool {
	for _, s := range r.Shares {
		if s.Pool == pool && s.Weight > 0 {
			return true
		}
	}
	return false
}

// PoolFor returns the pool for a point from 0 to 1 in the route's traffic split.
func (r *Route) PoolFor(point float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}
