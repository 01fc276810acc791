package chivetable

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"chivedrift/chiveresidency"
)

// Repetition tells what may be repeated of a request.
type Repetition uint8

const (
	// RepeatNever is a request that may run at most once.
	RepeatNever Repetition = iota
	// RepeatAlways is an idempotent request.
	RepeatAlways
	// RepeatResume is a stream that may go on at another endpoint after the last event that was delivered.
	RepeatResume
)

// String returns the name that logs show.
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

// Share is one pool of a weighted split.
type Share struct {
	Pool   string
	Weight int
}

// Route tells how requests for one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Shares []Share
	// Timeout is the longest a caller is kept waiting, whatever it would wait itself.
	Timeout time.Duration
	// Target is the time to the answer (streams: to the first event) that the class promises.
	Target time.Duration
	// Pause is the longest pause between events of a stream that is still on time; zero for answers in one piece.
	Pause time.Duration
	// Tier is the rank among routes; 0 goes first.
	Tier int
	// Attempts is the most endpoints that one request may be sent to.
	Attempts  int
	Anonymous bool
	// Prompted routes carry prompts in named parts, whose place in engine caches matters.
	Prompted bool
	Stream   bool
	Repeat   Repetition
	// Residency is where requests on the route may be served.
	Residency chiveresidency.Policy
}

// Engine tells what a pool of model engines can hold; zero for plain services.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CacheTokens is the memory of one engine for running requests and cached parts, in tokens.
	CacheTokens int64
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
}

// Pool is a set of endpoints that serve the same thing.
type Pool struct {
	Name string
	// Connections is the most connections that one endpoint takes from all callers together.
	Connections int
	Engine      Engine
	// Scaling holds the settings for ordering replicas; nil if none can be ordered.
	Scaling *Scaling
	// WarmUpRate is how many requests a second one endpoint takes while it warms up; 0 where that makes no difference.
	WarmUpRate float64
}

// Scaling holds the settings for ordering replicas of a pool.
type Scaling struct {
	// Min and Max limit the number of replicas of both kinds together in one failure domain.
	Min int
	Max int
	// Boot is the time from an order until the replica accepts requests.
	Boot time.Duration
	// PreemptiblePrice is the price of a preemptible replica relative to an on-demand one; 0 if there are none.
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

// Team is a customer. Its tier, where it has one, decides between requests on routes of one tier.
type Team struct {
	Name    string
	HasTier bool
	Tier    int
	// Residency is where the team's requests may be served.
	Residency chiveresidency.Policy
}

// Limits bound what a caller may send; sizes are in bytes, zero means no limit.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Spec is what a table is made of.
type Spec struct {
	Version int64
	Routes  []Route
	Pools   []Pool
	// Teams is nil when no request needs a key.
	Teams []Team
	// TeamKeys gives the index in Teams of each key's holder.
	TeamKeys map[string]int
	Limits   Limits
}

// Table is one version of the routing configuration; it never changes.
type Table struct {
	spec   Spec
	byHost map[string][]*Route
	routes map[string]*Route
	teams  map[string]*Team
	pools  map[string]*Pool
	ranks  map[queue][]tiers
	// usualTier is the tier that most teams have.
	usualTier int
}

// New checks a spec and returns its table; the error names the version and the route.
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
		if err := t.check(r); err != nil {
			return nil, fmt.Errorf("configuration version %d: route %q: %w", spec.Version, r.Name, err)
		}
		t.routes[r.Name] = r
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	t.usualTier = usualTierOf(spec.Teams)
	t.ranks = t.ranksOf()
	return t, nil
}

func (t *Table) check(r *Route) error {
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
			return fmt.Errorf("pool %q has the negative weight %d", s.Pool, s.Weight)
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

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits { return t.spec.Limits }

// Routes returns how many routes there are.
func (t *Table) Routes() int { return len(t.spec.Routes) }

// Pools returns every pool.
func (t *Table) Pools() []Pool { return t.spec.Pools }

// Pool returns a pool by name.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Match returns the route of a host whose prefix is the longest that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[bareHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// bareHost drops the port and the case of a Host header.
func bareHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// NeedsKey reports whether requests on a route must carry a team's key.
func (t *Table) NeedsKey(r *Route) bool { return t.spec.Teams != nil && !r.Anonymous }

// Team returns the team that holds a key.
func (t *Table) Team(key string) (*Team, bool) {
	i, ok := t.spec.TeamKeys[key]
	if !ok || key == "" {
		return nil, false
	}
	return &t.spec.Teams[i], true
}

// Residency returns where a request of a route and a team, by name, may be served; the policies of both hold. It reports false
// when there is no such route or, where a team is named, no such team.
func (t *Table) Residency(route, team string) (p chiveresidency.Policy, ok bool) {
	r, ok := t.routes[route]
	if !ok {
		return chiveresidency.Policy{}, false
	}
	if team == "" {
		return r.Residency, true
	}
	owner, ok := t.teams[team]
	if !ok {
		return chiveresidency.Policy{}, false
	}
	return r.Residency.Intersect(owner.Residency), true
}

// limited returns the regions of the routes and teams that may be served in some only, for state dumps.
func (t *Table) limited() map[string]string {
	limited := make(map[string]string)
	for i := range t.spec.Routes {
		if r := &t.spec.Routes[i]; r.Residency.IsLimited() {
			limited["route "+r.Name] = r.Residency.String()
		}
	}
	for i := range t.spec.Teams {
		if team := &t.spec.Teams[i]; team.Residency.IsLimited() {
			limited["team "+team.Name] = team.Residency.String()
		}
	}
	return limited
}

// CheckRegions returns an error that names the first route or team with a region that is not among the known ones.
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

func (r *Route) leadsTo(pool string) bool {
	for _, s := range r.Shares {
		if s.Pool == pool && s.Weight > 0 {
			return true
		}
	}
	return false
}

// PoolFor returns the pool that a point between 0 and 1 falls to in the route's split.
func (r *Route) PoolFor(point float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	rest := point * float64(total)
	for _, s := range r.Shares {
		rest -= float64(s.Weight)
		if rest < 0 {
			return s.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}
