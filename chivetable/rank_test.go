package chivetable_test

import (
	"testing"

	"chivedrift/chivetable"
)

// rankTable returns a table with two prompted routes and a plain one to one pool, teams of two tiers and one without.
func rankTable(t *testing.T) *chivetable.Table {
	t.Helper()
	shares := []chivetable.Share{{Pool: "p", Weight: 1}}
	table, err := chivetable.New(chivetable.Spec{
		Routes: []chivetable.Route{
			{Name: "urgent", Host: "h", Prefix: "/u/", Shares: shares, Prompted: true, Tier: 0},
			{Name: "usual", Host: "h", Prefix: "/n/", Shares: shares, Prompted: true, Tier: 4},
			{Name: "plain", Host: "h", Prefix: "/p/", Shares: shares, Tier: 3},
		},
		Pools: []chivetable.Pool{{Name: "p"}},
		Teams: []chivetable.Team{
			{Name: "gold", HasTier: true, Tier: 1}, {Name: "iron", HasTier: true, Tier: 2}, {Name: "none"},
		},
		TeamKeys: map[string]int{"gold": 0, "iron": 1, "none": 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// Guards against large requests of better-ranked teams that are served before urgent requests of all other teams.
func TestRouteTierPrecedesTeamTier(t *testing.T) {
	table := rankTable(t)
	order := []struct {
		key, path string
		place     int
	}{{"gold", "/u/", 0}, {"iron", "/u/", 1}, {"gold", "/n/", 2}, {"iron", "/n/", 3}, {"none", "/u/", 0}, {"none", "/n/", 2}}
	for _, o := range order {
		route, _ := table.Match("h", o.path)
		team, _ := table.Team(o.key)
		if got := table.RankOf("p", route, team); got != (chivetable.Rank{Place: o.place, Of: 4}) {
			t.Errorf("team %s on %s: got %+v, want index %d of 4", o.key, o.path, got, o.place)
		}
	}
}

// Guards against routes without keys that outrank every team.
func TestAnonymousRoutesDoNotOutrankTeams(t *testing.T) {
	shares := []chivetable.Share{{Pool: "p", Weight: 1}}
	table, err := chivetable.New(chivetable.Spec{
		Routes: []chivetable.Route{
			{Name: "urgent", Host: "h", Prefix: "/u/", Shares: shares, Prompted: true},
			{Name: "open", Host: "h", Prefix: "/o/", Shares: shares, Prompted: true, Anonymous: true},
			{Name: "usual", Host: "h", Prefix: "/n/", Shares: shares, Prompted: true, Tier: 2},
		},
		Pools: []chivetable.Pool{{Name: "p"}}, Teams: []chivetable.Team{{Name: "red", HasTier: true, Tier: 1}}, TeamKeys: map[string]int{"red": 0},
	})
	if err != nil {
		t.Fatal(err)
	}
	route, _ := table.Match("h", "/u/")
	team, _ := table.Team("red")
	if got := table.RankOf("p", route, team); got != (chivetable.Rank{Place: 0, Of: 2}) {
		t.Errorf("most urgent route of a team: got rank %+v, want 0 of 2", got)
	}
}

func TestRankScaling(t *testing.T) {
	if got := (chivetable.Rank{Place: 2, Of: 3}).Scaled(10); got != 2 {
		t.Errorf("fewer ranks than steps: got %d, want 2", got)
	}
	if got := (chivetable.Rank{Place: 19, Of: 20}).Scaled(10); got != 9 {
		t.Errorf("more ranks than steps: got %d, want 9", got)
	}
	if first, last := (chivetable.Rank{Of: 4}).Depth(), (chivetable.Rank{Place: 3, Of: 4}).Depth(); first != 0 || last != 1 {
		t.Errorf("got depths %v and %v, want 0 and 1", first, last)
	}
}
