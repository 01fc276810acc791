package chiveresidency_test

import (
	"slices"
	"strings"
	"testing"

	"chivedrift/chiveresidency"
)

func TestIntersectionAllowsCommonRegions(t *testing.T) {
	cases := map[string]struct {
		a, b        []string
		wantAllowed string
		wantNone    bool
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
		if got := strings.Join(allowed, ","); got != c.wantAllowed || p.AllowsNone() != c.wantNone {
			t.Errorf("%s: allows %q, none %v; want %q, %v", name, got, p.AllowsNone(), c.wantAllowed, c.wantNone)
		}
	}
}

func TestCheckNamesUnknownRegion(t *testing.T) {
	err := chiveresidency.Within([]string{"x", "mars"}).Check([]string{"x", "y"})
	if err == nil || err.Error() != `unknown region "mars"; expected one of x, y` {
		t.Errorf("got %v", err)
	}
}

// Guards against a request with a limited policy that is served in a failure domain whose region is unknown.
func TestLimitedPolicyExcludesDomainsOfUnknownRegion(t *testing.T) {
	regions := chiveresidency.Map{"z1": "x", "z2": "x", "z3": "y"}
	domains := regions.Domains(chiveresidency.Within([]string{"x"}))
	if !slices.Equal(domains.Names(), []string{"z1", "z2"}) || domains.Contains("z3") || domains.Contains("unlisted") {
		t.Errorf("got %v", domains.Names())
	}
	if unlimited := regions.Domains(chiveresidency.Policy{}); unlimited.IsLimited() || !unlimited.Contains("unlisted") {
		t.Error("a policy without a limit does not allow every failure domain")
	}
}
