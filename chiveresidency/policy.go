package chiveresidency

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Policy limits the regions in which a request may be served; the zero value allows every region.
type Policy struct {
	limited bool
	regions []string
}

// Within returns a policy that allows the listed regions. A nil list allows every region, an empty one allows none.
func Within(regions []string) Policy {
	if regions == nil {
		return Policy{}
	}
	return Policy{limited: true, regions: regions}
}

// Intersect returns the policy that allows the regions that both policies allow.
func (p Policy) Intersect(other Policy) Policy {
	if !p.limited {
		return other
	}
	if !other.limited {
		return p
	}
	common := make([]string, 0, len(p.regions))
	for _, r := range p.regions {
		if slices.Contains(other.regions, r) {
			common = append(common, r)
		}
	}
	return Policy{limited: true, regions: common}
}

// IsLimited reports whether the policy allows only listed regions.
func (p Policy) IsLimited() bool { return p.limited }

// AllowsNone reports whether the policy allows no region.
func (p Policy) AllowsNone() bool { return p.limited && len(p.regions) == 0 }

// Allows reports whether the policy allows a region.
func (p Policy) Allows(region string) bool { return !p.limited || slices.Contains(p.regions, region) }

// String returns the allowed regions, separated by commas, or "any", for logs and error messages.
func (p Policy) String() string {
	if !p.limited {
		return "any"
	}
	return strings.Join(p.regions, ",")
}

// Check returns an error that names the first region of the policy that is not among the known regions.
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

// DomainsOf returns the set of the listed failure domains; nil means every domain.
func DomainsOf(names []string) Domains { return Domains{limited: names != nil, names: names} }

// Contains reports whether a failure domain is in the set.
func (d Domains) Contains(domain string) bool { return !d.limited || slices.Contains(d.names, domain) }

// IsLimited reports whether the set contains only listed failure domains.
func (d Domains) IsLimited() bool { return d.limited }

// Names returns the failure domains of a limited set; nil means every domain.
func (d Domains) Names() []string { return d.names }

// Map holds the region of each failure domain, by the domain's name.
type Map map[string]string

// Regions returns the regions of the map in alphabetical order, without duplicates.
func (m Map) Regions() []string { return slices.Compact(slices.Sorted(maps.Values(m))) }

// Domains returns the failure domains in the regions that a policy allows. A domain whose region is unknown is allowed
// only if the policy allows every region.
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
