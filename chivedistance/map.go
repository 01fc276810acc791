package chivedistance

import (
	"time"

	"chivedrift/chiveresidency"
)

// Map holds the round trips from this node to the regions as of one moment. It is immutable; the zero value describes a
// deployment in one region.
type Map struct {
	region   string
	regions  chiveresidency.Map
	toRegion map[string]time.Duration
	assumed  time.Duration
	spans    bool
}

// NewMap returns a map for a node in the given region. A region without a round trip in toRegion has the given assumed
// one.
func NewMap(region string, regions chiveresidency.Map, toRegion map[string]time.Duration, assumed time.Duration) Map {
	return Map{region: region, regions: regions, toRegion: toRegion, assumed: assumed, spans: len(regions.Regions()) > 1}
}

// SpansRegions reports whether the deployment is known to lie in more than one region.
func (m Map) SpansRegions() bool { return m.spans }

// Region returns the region of this node.
func (m Map) Region() string { return m.region }

// RegionOf returns the region of a failure domain; empty if it is not known.
func (m Map) RegionOf(domain string) string { return m.regions[domain] }

// ToDomain returns the round trip from this node to a failure domain, beyond the one inside a region: 0 for its own
// region and for a domain whose region is not known.
func (m Map) ToDomain(domain string) time.Duration { return m.ToRegion(m.regions[domain]) }

// MeasuredToDomain is ToDomain, but 0 for a domain in a region that has not been measured.
func (m Map) MeasuredToDomain(domain string) time.Duration {
	return m.measuredToRegion(m.regions[domain])
}

func (m Map) measuredToRegion(region string) time.Duration {
	if _, measured := m.toRegion[region]; !measured {
		return 0
	}
	return m.ToRegion(region)
}

// ToRegion returns the round trip from this node to a region, beyond the one inside a region.
func (m Map) ToRegion(region string) time.Duration {
	if !m.spans || region == m.region || region == "" {
		return 0
	}
	if roundTrip, ok := m.toRegion[region]; ok {
		return roundTrip
	}
	return m.assumed
}

// IsKnown reports whether the round trip to a failure domain follows from messages rather than from an assumption. It is also
// known for this node's own region and for a domain whose region is not known.
func (m Map) IsKnown(domain string) bool {
	region := m.regions[domain]
	if !m.spans || region == m.region || region == "" {
		return true
	}
	_, ok := m.toRegion[region]
	return ok
}

// Between returns an estimate of the round trip between two failure domains. Between two regions other than this node's
// it is the longer of the round trips to them, since no message shows the way between them.
func (m Map) Between(a, b string) time.Duration {
	from, to := m.regions[a], m.regions[b]
	if from == to {
		return 0
	}
	return max(m.ToRegion(from), m.ToRegion(to))
}
