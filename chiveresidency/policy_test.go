package chiveresidency_test

import (
	"slices"
	"strings"
	"testing"

	"chivedrift/chiveresidency"
)

func TestBothPoliciesHold(t *testing.T) {
	cases := map[string]struct {
		a, b  []string
		allow string
		none  bool
	}{
		"no limit":        {nil, nil, "x,y,z", false},
		"one limit":       {[]string{"x", "y"}, nil, "x,y", false},
		"the other limit": {nil, []string{"z"}, "z", false},
		"both":            {[]string{"x", "y"}, []string{"y", "z"}, "y", false},
		"none in common":  {[]string{"x"}, []string{"z"}, "", true},
		"an empty list":   {[]string{}, nil, "", true},
	}
	for name, c := range cases {
		p := chiveresidency.Within(c.a).Intersect(chiveresidency.Within(c.b))
		var allowed []string
		for _, r := range []string{"x", "y", "z"} {
			if p.Allows(r) {
				allowed = append(allowed, r)
			}
		}
		if got := strings.Join(allowed, ","); got != c.allow || p.AllowsNone() != c.none {
			t.Errorf("%s: allows %q, none %v; want %q, %v", name, got, p.AllowsNone(), c.allow, c.none)
		}
	}
}

func TestUnknownRegionIsNamed(t *testing.T) {
	err := chiveresidency.Within([]string{"x", "mars"}).Check([]string{"x", "y"})
	if err == nil || err.Error() != `unknown region "mars"; expected one of x, y` {
		t.Errorf("got %v", err)
	}
}

// Guards against a limited request that is served in a failure domain whose region is not known.
func TestDomainsOfUnknownRegionAreLeftOut(t *testing.T) {
	regions := chiveresidency.Map{"z1": "x", "z2": "x", "z3": "y"}
	domains := regions.Domains(chiveresidency.Within([]string{"x"}))
	if !slices.Equal(domains.Names(), []string{"z1", "z2"}) || domains.Contains("z3") || domains.Contains("unlisted") {
		t.Errorf("got %v", domains.Names())
	}
	if every := regions.Domains(chiveresidency.Policy{}); every.IsLimited() || !every.Contains("unlisted") {
		t.Error("a policy without a limit allows every failure domain")
	}
}
