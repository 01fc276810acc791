package chiveresidency

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Policy limits a request to some regions; the zero value allows every region.
type Policy struct {
	limited bool
	regions []string
}

// Within returns a policy that allows the listed regions; nil allows every region, an empty list none.
func Within(regions []string) Policy {
	if regions == nil {
		return Policy{}
	}
	return Policy{limited: true, regions: regions}
}

// Intersect returns the policy that allows what both allow.
func (p Policy) Intersect(other Policy) Policy {
	if !p.limited {
		return other
	}
	if !other.limited {
		return p
	}
	both := make([]string, 0, len(p.regions))
	for _, r := range p.regions {
		if slices.Contains(other.regions, r) {
			both = append(both, r)
		}
	}
	return Policy{limited: true, regions: both}
}

// IsLimited reports whether the policy allows some regions only.
func (p Policy) IsLimited() bool { return p.limited }

// AllowsNone reports whether the policy allows no region at all.
func (p Policy) AllowsNone() bool { return p.limited && len(p.regions) == 0 }

// Allows reports whether the policy allows a region.
func (p Policy) Allows(region string) bool { return !p.limited || slices.Contains(p.regions, region) }

// String returns the regions, separated by commas, for logs and error messages.
func (p Policy) String() string {
	if !p.limited {
		return "any"
	}
	return strings.Join(p.regions, ",")
}

// Check returns an error that names a region of the policy that is not among the known ones.
func (p Policy) Check(known []string) error {
	for _, r := range p.regions {
		if !slices.Contains(known, r) {
			return fmt.Errorf("unknown region %q; expected one of %s", r, strings.Join(known, ", "))
		}
	}
	return nil
}

// Domains is a set of failure domains; the zero value contains every domain.
type Domains struct {
	limited bool
	names   []string
}

// DomainsOf returns the set of the listed failure domains; nil stands for every domain.
func DomainsOf(names []string) Domains { return Domains{limited: names != nil, names: names} }

// Contains reports whether a failure domain is in the set.
func (d Domains) Contains(domain string) bool { return !d.limited || slices.Contains(d.names, domain) }

// IsLimited reports whether the set lacks some domain.
func (d Domains) IsLimited() bool { return d.limited }

// Names returns the failure domains of a limited set; nil stands for every domain.
func (d Domains) Names() []string { return d.names }

// Map holds the region of each failure domain.
type Map map[string]string

// Regions returns the known regions in alphabetical order.
func (m Map) Regions() []string { return slices.Compact(slices.Sorted(maps.Values(m))) }

// Domains returns the failure domains that a policy allows. A domain whose region is not known is allowed only where every region is.
func (m Map) Domains(p Policy) Domains {
	if !p.limited {
		return Domains{}
	}
	names := make([]string, 0, len(m))
	for _, domain := range slices.Sorted(maps.Keys(m)) {
		if p.Allows(m[domain]) {
			names = append(names, domain)
		}
	}
	return Domains{limited: true, names: names}
}
