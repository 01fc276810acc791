package chiveconfig

import (
	"fmt"
	"slices"

	"chivedrift/chiveyaml"
)

// A checker collects the problems of one effective configuration and finds the file and line each comes from.
type checker struct {
	config   *Config
	base     *chiveyaml.Document
	over     *chiveyaml.Document
	problems chiveyaml.FieldErrors
}

func check(config *Config, base, over *chiveyaml.Document) chiveyaml.FieldErrors {
	c := &checker{config: config, base: base, over: over}
	for _, v := range chiveyaml.Validate(config) {
		c.addf(v.Path, "%s", v.Message)
	}
	c.checkClasses()
	c.checkKeys()
	c.checkPools()
	c.checkRegions()
	c.checkEvacuated()
	return c.problems
}

// addf reports a problem at the overlay's line where the overlay has the field, else at the base's.
func (c *checker) addf(path, format string, args ...any) {
	document := c.base
	if c.over.Has(path) || c.base.Line(path) == 0 {
		document = c.over
	}
	c.problems = append(c.problems, document.Problem(path, format, args...))
}

func (c *checker) checkClasses() {
	share := int64(0)
	for i := range c.config.Classes {
		class := &c.config.Classes[i]
		path := "classes[" + class.Name + "]"
		if class.Tier != "" && c.config.TierRank(class.Tier) < 0 {
			c.addf(path+".tier", "unknown tier %q; expected one of the tiers listed", class.Tier)
		}
		if class.FirstTokenMs > class.DeadlineMs {
			c.addf(path+".first_token_ms", "expected at most deadline_ms %d, found %d", class.DeadlineMs, class.FirstTokenMs)
		}
		share += class.MinSharePercent
	}
	if share > maxSharePercent {
		c.addf("classes", "the min_share_percent of all classes add up to %d; expected at most %d", share, maxSharePercent)
	}
}

const maxSharePercent = 60

func (c *checker) checkKeys() {
	owners := make(map[string]string)
	for i := range c.config.Teams {
		team := &c.config.Teams[i]
		for k, digest := range team.KeySHA256 {
			if owner, taken := owners[digest]; taken {
				c.addf(fmt.Sprintf("teams[%s].key_sha256[%d]", team.Name, k), "this key already belongs to team %q", owner)
			}
			owners[digest] = team.Name
		}
	}
}

// checkRegions reports regions of classes and teams in which no endpoint is.
func (c *checker) checkRegions() {
	known := make(map[string]bool)
	for i := range c.config.Pools {
		for _, e := range c.config.Pools[i].Endpoints {
			known[e.Region] = true
		}
	}
	for i := range c.config.Classes {
		class := &c.config.Classes[i]
		c.checkRegionList("classes["+class.Name+"].regions", class.Regions, known)
	}
	for i := range c.config.Teams {
		team := &c.config.Teams[i]
		c.checkRegionList("teams["+team.Name+"].regions", team.Regions, known)
	}
}

func (c *checker) checkRegionList(path string, regions []string, known map[string]bool) {
	for _, region := range regions {
		if !known[region] {
			c.addf(path, "unknown region %q; expected the region of an endpoint", region)
		}
	}
}

// checkEvacuated reports evacuated failure domains in which no endpoint is.
func (c *checker) checkEvacuated() {
	for i, domain := range c.config.Evacuated {
		isKnown := slices.ContainsFunc(c.config.Pools, func(p Pool) bool {
			return slices.ContainsFunc(p.Endpoints, func(e Endpoint) bool { return e.FailureDomain == domain })
		})
		if !isKnown {
			c.addf(fmt.Sprintf("evacuated[%d]", i), "unknown failure domain %q; expected the failure domain of an endpoint", domain)
		}
	}
}

func (c *checker) checkPools() {
	addresses := make(map[string]string)
	for i := range c.config.Pools {
		pool := &c.config.Pools[i]
		path := "pools[" + pool.Name + "]"
		if _, ok := c.config.Class(pool.DefaultClass); !ok && pool.DefaultClass != "" {
			c.addf(path+".default_class", "unknown class %q", pool.DefaultClass)
		}
		for e := range pool.Endpoints {
			endpoint := &pool.Endpoints[e]
			field := path + ".endpoints[" + endpoint.Name + "]"
			if owner, taken := addresses[endpoint.Address]; taken {
				c.addf(field+".address", "address %s already belongs to endpoint %q", endpoint.Address, owner)
			}
			addresses[endpoint.Address] = endpoint.Name
			if pool.Kind == KindModel && endpoint.CapacityTokens < 1 {
				c.addf(field+".capacity_tokens", "expected at least 1 for an endpoint of a model")
			}
		}
	}
}
