package chivegrant_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivedistance"
	"chivedrift/chivegrant"
	"chivedrift/chivemember"
	"chivedrift/chiveplace"
	"chivedrift/chiverequest"
	"chivedrift/chiveresidency"
	"chivedrift/chivestand"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

var regions = chiveresidency.Map{"a": "ra", "b": "rb", "c": "rc"}

// distancesFrom returns the distances of a node in one of the three regions, which lie 60 ms apart there and back.
func distancesFrom(domain string) chivedistance.Map {
	return chivedistance.NewMap(regions[domain], regions, nil, 60*time.Millisecond)
}

// membersIn returns alive members of a failure domain.
func membersIn(domain string, count int) []chivemember.Member {
	members := make([]chivemember.Member, count)
	for i := range members {
		address := fmt.Sprintf("10.0.%s.%d:1", domain, i)
		members[i] = chivemember.Member{Name: address, Address: address, State: chivemember.Alive, Region: regions[domain], FailureDomain: domain}
	}
	return members
}

// newRegionNode returns a node in a failure domain, with as many engines in each of the three domains as given.
func newRegionNode(tb testing.TB, self, domain string, engines int, members ...[]chivemember.Member) *node {
	tb.Helper()
	n := newNodeIn(domain, self)
	n.setRegions(tb, distancesFrom(domain), engines, slices.Concat(members...))
	return n
}

func (n *node) setRegions(tb testing.TB, distances chivedistance.Map, engines int, members []chivemember.Member) {
	tb.Helper()
	table, err := chivetable.New(chivetable.Spec{Pools: []chivetable.Pool{{Name: "p", Engine: engine}}})
	if err != nil {
		tb.Fatal(err)
	}
	var endpoints []chivedirectory.Endpoint
	for _, domain := range slices.Sorted(maps.Keys(regions)) {
		for i := range engines {
			endpoints = append(endpoints, chivedirectory.Endpoint{ID: fmt.Sprint(domain, i), Pool: "p", FailureDomain: domain})
		}
	}
	n.pool.SetDistances(distances)
	n.pool.SetEngine(engine)
	n.pool.SetEndpoints(endpoints)
	n.service.SetDistances(distances)
	n.service.SetTable(table)
	n.service.ApplyEndpoints(chivedirectory.Diff{Changed: endpoints})
	n.service.SetMembers(members)
	n.service.Divide()
}

// ownedIn returns the number of engines of a failure domain that each node owns.
func (n *node) ownedIn(domain string, engines int) map[string]int {
	owned := make(map[string]int)
	for i := range engines {
		owned[n.service.OwnerOf(fmt.Sprint(domain, i))]++
	}
	return owned
}

// Guards against owners that are asked over the way between regions for engines next to the caller.
func TestEnginesAreOwnedInTheirRegion(t *testing.T) {
	members := [][]chivemember.Member{membersIn("a", 8), membersIn("b", 6), membersIn("c", 6)}
	n := newRegionNode(t, "127.0.0.1:1", "a", 50, members...)
	for i, domain := range []string{"a", "b", "c"} {
		for owner := range n.ownedIn(domain, 50) {
			if !slices.ContainsFunc(members[i], func(m chivemember.Member) bool { return m.Address == owner }) {
				t.Errorf("an engine in %s is owned by %q", domain, owner)
			}
		}
	}
}

// Guards against engines without an owner in a region whose nodes are all gone.
func TestRegionWithoutNodesIsOwnedElsewhere(t *testing.T) {
	n := newRegionNode(t, "127.0.0.1:1", "a", 50, membersIn("a", 8), membersIn("b", 8))
	owned := n.ownedIn("c", 50)
	if _, without := owned[""]; without || len(owned) < 4 {
		t.Errorf("the engines are owned by %v", owned)
	}
}

// Guards against a region that joins, or comes back from a partition, and whose engines stay owned in other regions, or
// that takes engines of other regions.
func TestRegionThatJoinsTakesItsOwnEngines(t *testing.T) {
	before := [][]chivemember.Member{membersIn("a", 8), membersIn("b", 8)}
	n := newRegionNode(t, "127.0.0.1:1", "a", 50, before...)
	ownedInB := n.ownedIn("b", 50)
	joined := membersIn("c", 8)
	n.service.SetMembers(slices.Concat(before[0], before[1], joined))
	n.service.Divide()
	for owner := range n.ownedIn("c", 50) {
		if !slices.ContainsFunc(joined, func(m chivemember.Member) bool { return m.Address == owner }) {
			t.Errorf("an engine of the region that joined is owned by %q", owner)
		}
	}
	if now := n.ownedIn("b", 50); !maps.Equal(ownedInB, now) {
		t.Errorf("another region's engines were owned by %v, now by %v", ownedInB, now)
	}
}

// Guards against operators who do not see that a region's engines are owned in other regions.
func TestRegionOwnedElsewhereIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	mesh, pool := chivewire.NewMesh("127.0.0.1:1", chivewire.TCP{}), chiveplace.NewPool("a")
	n := &node{mesh: mesh, pool: pool, service: chivegrant.New(chivegrant.Options{Mesh: mesh, Pools: singlePool{pool}, Logger: slog.New(slog.NewTextHandler(&lines, nil))})}
	members := slices.Concat(membersIn("a", 8), membersIn("b", 8))
	n.setRegions(t, distancesFrom("a"), 50, members)
	n.setRegions(t, distancesFrom("a"), 60, members)
	if got := strings.Count(lines.String(), "region=rc elsewhere="); got != 1 {
		t.Errorf("%d lines name the region without nodes:\n%s", got, lines.String())
	}
	n.setRegions(t, distancesFrom("a"), 60, slices.Concat(members, membersIn("c", 8)))
	if !strings.Contains(lines.String(), "region=rc elsewhere=0") {
		t.Errorf("no line tells that the region's engines are owned there again:\n%s", lines.String())
	}
}

// Guards against a region's last nodes that have to grant all of its engines.
func TestFewNodesOfARegionDoNotOwnAllOfIt(t *testing.T) {
	const engines, evenShare = 300, 15
	n := newRegionNode(t, "127.0.0.1:1", "a", engines, membersIn("a", 1), membersIn("b", 29), membersIn("c", 30))
	owned := n.ownedIn("a", engines)
	last := membersIn("a", 1)[0].Address
	if owned[last] < evenShare || owned[last] > 4*evenShare {
		t.Errorf("the region's only node owns %d of %d engines, an even share is %d", owned[last], engines, evenShare)
	}
	for owner, count := range n.ownedIn("b", engines) {
		if slices.ContainsFunc(membersIn("c", 30), func(m chivemember.Member) bool { return m.Address == owner }) {
			t.Errorf("%d engines of a region with 29 nodes are owned in another one", count)
		}
	}
}

// Guards against nodes of one region that name groups otherwise than those of an earlier release, which would not grant
// them.
func TestGroupsOfOneRegionKeepTheirNames(t *testing.T) {
	members := membersIn("a", 20)
	owners := func(distances chivedistance.Map) string {
		n := newNode("127.0.0.1:1")
		n.setRegions(t, distances, 50, members)
		return fmt.Sprintf("%+v", n.service.Dump())
	}
	one := chivedistance.NewMap("ra", chiveresidency.Map{"a": "ra", "b": "ra", "c": "ra"}, nil, 60*time.Millisecond)
	if before, now := owners(chivedistance.Map{}), owners(one); before != now {
		t.Errorf("the groups are %s, without regions %s", now, before)
	}
}

// sharedRequest returns a request whose prompt shares its first part with others.
func sharedRequest(part uint64, sharedTokens int64) *chiverequest.Request {
	return &chiverequest.Request{Pool: "p", Prompt: &chiverequest.Prompt{
		Parts: []chiverequest.Part{{ID: part, Tokens: sharedTokens}, {ID: part + 1_000_000, Tokens: 1000}}, Input: sharedTokens + 1000,
		Target: 2 * time.Second, Urgent: time.Second, Pause: time.Second,
	}}
}

// homesOf returns, for nodes in two regions, the engines in which each prefers to place requests with a shared part.
func homesOf(t *testing.T, part uint64, sharedTokens int64) (a, b []string) {
	t.Helper()
	members := [][]chivemember.Member{membersIn("a", 8), membersIn("b", 8), membersIn("c", 8)}
	inA, inB := newRegionNode(t, "127.0.0.1:1", "a", 50, members...), newRegionNode(t, "127.0.0.1:2", "b", 50, members...)
	request := sharedRequest(part, sharedTokens)
	return inA.service.Home(request, chiveplace.Ask{}), inB.service.Home(request, chiveplace.Ask{})
}

// Guards against a long shared part that is read again in each region.
func TestLongPartHasOneHomeOverAllRegions(t *testing.T) {
	for part := range uint64(20) {
		if a, b := homesOf(t, part+1, 13_000); !slices.Equal(a, b) {
			t.Fatalf("part %d: one region places it on %v, another on %v", part+1, a, b)
		}
	}
}

// Guards against requests that go to the engines of a region that is cut off, because long parts have their home there.
func TestRegionWithoutNodesIsNoHome(t *testing.T) {
	n := newRegionNode(t, "127.0.0.1:1", "a", 50, membersIn("a", 8), membersIn("b", 8))
	for part := range uint64(20) {
		request := sharedRequest(part+1, 13_000)
		if home := n.service.Home(request, chiveplace.Ask{}); home[0][0] == 'c' {
			t.Fatalf("part %d has its home at %v", part+1, home)
		}
		if home := n.service.Home(request, chiveplace.Ask{Domains: chiveresidency.DomainsOf([]string{"c"})}); len(home) == 0 || home[0][0] != 'c' {
			t.Fatalf("part %d, allowed in c only, has its home at %v", part+1, home)
		}
	}
}

// Guards against refusals of a long part that is asked for so often that the groups of its home are full, while engines of
// the caller's region are idle.
func TestFullHomeOfALongPartSpillsToTheOwnRegion(t *testing.T) {
	n := startBesideFullRegion(t)
	for part := range uint64(20) {
		place, err := n.service.Place(context.Background(), n.pool, sharedRequest(part+1, 13_000), chiveplace.Ask{})
		if err != nil {
			t.Fatalf("part %d: %v", part+1, err)
		}
		place.Done(time.Now(), chiveplace.EndedWell)
	}
}

// Guards against several questions in a row over the way between regions before a request is placed.
func TestFullFarHomeIsAskedOnce(t *testing.T) {
	n := startBesideFullRegion(t)
	for part := range uint64(20) {
		before := n.service.Counts().Asked
		place, err := n.service.Place(context.Background(), n.pool, sharedRequest(part+1, 13_000), chiveplace.Ask{})
		if err != nil {
			t.Fatalf("part %d: %v", part+1, err)
		}
		place.Done(time.Now(), chiveplace.EndedWell)
		if asked := n.service.Counts().Asked - before; asked > 1 {
			t.Errorf("part %d: %d questions to another region", part+1, asked)
		}
	}
}

// startBesideFullRegion starts an owner in each of two regions, of which the second has no room, and returns the first.
func startBesideFullRegion(t *testing.T) *node {
	t.Helper()
	members := slices.Concat([]chivemember.Member{
		{Address: chivestand.FreeAddress(), State: chivemember.Alive, Region: "ra", FailureDomain: "a"},
		{Address: chivestand.FreeAddress(), State: chivemember.Alive, Region: "rb", FailureDomain: "b"},
	}, leaving(20))
	var nodes []*node
	for _, m := range members[:2] {
		n := startNodeIn(t, m.FailureDomain, m.Address)
		n.setRegions(t, distancesFrom(m.FailureDomain), 20, members)
		n.setQueue("b", 60_000)
		nodes = append(nodes, n)
	}
	return nodes[0]
}

// Guards against one engine more that moves the homes of most long parts to other regions.
func TestOneEngineMoreMovesFewHomes(t *testing.T) {
	n := newRegionNode(t, "127.0.0.1:1", "a", 50, membersIn("a", 8), membersIn("b", 8), membersIn("c", 8))
	const parts = 300
	homes := func() (regions string) {
		for part := range uint64(parts) {
			regions += n.service.Home(sharedRequest(part+1, 13_000), chiveplace.Ask{})[0][:1]
		}
		return regions
	}
	before := homes()
	n.service.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{{ID: "new", Pool: "p", FailureDomain: "a"}}})
	n.service.Divide()
	moved := 0
	for i, region := range []byte(homes()) {
		if region != before[i] && region != 'n' {
			moved++
		}
	}
	if moved > parts/30 {
		t.Errorf("%d of %d homes moved to another region", moved, parts)
	}
}

// Guards against quick requests that cross regions to the home of a short shared part.
func TestShortPartHasAHomeInEachRegion(t *testing.T) {
	for part := range uint64(20) {
		a, b := homesOf(t, part+1, 350)
		if len(a) == 0 || len(b) == 0 || a[0][0] != 'a' || b[0][0] != 'b' {
			t.Fatalf("part %d: the nodes in a and b place it on %v and %v", part+1, a, b)
		}
	}
}

// setQueue reports the prompt tokens queued on each of 20 engines of a failure domain.
func (n *node) setQueue(domain string, tokens int64) {
	var report chiveplace.Report
	for i := range 20 {
		report.Loads = append(report.Loads, chiveplace.Load{Endpoint: fmt.Sprint(domain, i), Requests: 30, Waiting: []int64{tokens}})
	}
	n.pool.Hear(time.Now(), "10.0."+domain+".1:1", &report)
}

// Guards against requests that are refused while engines in another region are idle, and against requests that stay there
// once their own region has room.
func TestFullRegionSpillsAndReturns(t *testing.T) {
	n := newOnlyOwner(t)
	placed := func() string {
		place, err := n.service.Place(context.Background(), n.pool, sharedRequest(1, 350), chiveplace.Ask{})
		if err != nil {
			t.Fatal(err)
		}
		place.Done(time.Now(), chiveplace.EndedWell)
		return place.Endpoint().FailureDomain
	}
	if got := placed(); got != "a" {
		t.Errorf("with idle engines a request goes to %s", got)
	}
	n.setQueue("a", 60_000)
	if got := placed(); got == "a" {
		t.Error("a request stays behind 60,000 tokens")
	}
	n.setQueue("a", 0)
	if got := placed(); got != "a" {
		t.Errorf("after the queues a request goes to %s", got)
	}
}

// leaving returns members that own nothing but count towards the size of the fleet.
func leaving(count int) []chivemember.Member {
	members := membersIn("b", count)
	for i := range members {
		members[i].State = chivemember.Leaving
	}
	return members
}

// newOnlyOwner returns a node in a that owns the engines of all regions.
func newOnlyOwner(t *testing.T) *node {
	t.Helper()
	self := membersIn("a", 1)
	return newRegionNode(t, self[0].Address, "a", 20, self, leaving(20))
}

// Guards against urgent requests that are refused because less urgent ones of another region fill the engines.
func TestRanksHoldOverRegions(t *testing.T) {
	n := newOnlyOwner(t)
	var report chiveplace.Report
	for domain := range regions {
		for i := range 20 {
			report.Loads = append(report.Loads, chiveplace.Load{Endpoint: fmt.Sprint(domain, i), Requests: 10, Waiting: []int64{0, 0, 100_000}})
		}
	}
	n.pool.Hear(time.Now(), "10.0.b.1:1", &report)
	for rank, want := range map[int]bool{0: true, 2: false} {
		request := sharedRequest(1, 350)
		request.Prompt.Rank = chivetable.Rank{Place: rank, Of: 3}
		if _, err := n.service.Place(context.Background(), n.pool, request, chiveplace.Ask{}); (err == nil) != want {
			t.Errorf("rank %d behind queues of rank 2 in all regions: %v", rank, err)
		}
	}
}

// Guards against requests that may be served in one region only and are placed in their caller's or in the home of their
// shared part.
func TestResidencyBindsBeforeDistance(t *testing.T) {
	n := newOnlyOwner(t)
	for _, sharedTokens := range []int64{350, 13_000} {
		for part := range uint64(10) {
			place, err := n.service.Place(context.Background(), n.pool, sharedRequest(part+1, sharedTokens), chiveplace.Ask{Domains: chiveresidency.DomainsOf([]string{"b"})})
			if err != nil || place.Endpoint().FailureDomain != "b" {
				t.Fatalf("%d shared tokens: placed on %+v: %v", sharedTokens, place, err)
			}
		}
	}
}

// Guards against engines that are passed over because the settings of this node do not name the region of their failure
// domain.
func TestEnginesOfAnUnknownRegionAreNear(t *testing.T) {
	const engines, parts = 50, 200
	n := newRegionNode(t, "127.0.0.1:1", "a", engines, membersIn("a", 8), membersIn("b", 8), membersIn("c", 8))
	var unnamed []chivedirectory.Endpoint
	for i := range engines {
		unnamed = append(unnamed, chivedirectory.Endpoint{ID: fmt.Sprint("x", i), Pool: "p", FailureDomain: "x"})
	}
	n.service.ApplyEndpoints(chivedirectory.Diff{Changed: unnamed})
	n.service.Divide()
	for sharedTokens, share := range map[int64]int{350: 2, 13_000: 4} {
		homes := make(map[byte]int)
		for part := range uint64(parts) {
			homes[n.service.Home(sharedRequest(part+1, sharedTokens), chiveplace.Ask{})[0][0]]++
		}
		if homes['x'] < parts/share/2 {
			t.Errorf("%d shared tokens: of %d homes %d lie in the unknown region with one of %d engines: %v", sharedTokens, parts, homes['x'], share, homes)
		}
	}
}

// Guards against refusals of a long part that may be served in other regions only, one of which has room.
func TestFullHomeSpillsToAnotherRegionThatIsAllowed(t *testing.T) {
	n := newOnlyOwner(t)
	n.setQueue("b", 60_000)
	for part := range uint64(20) {
		place, err := n.service.Place(context.Background(), n.pool, sharedRequest(part+1, 13_000), chiveplace.Ask{Domains: chiveresidency.DomainsOf([]string{"b", "c"})})
		if err != nil {
			t.Fatalf("part %d: %v", part+1, err)
		}
		place.Done(time.Now(), chiveplace.EndedWell)
	}
}

// Guards against a request that is tried at one engine after another of a region whose engines have crashed, because its
// part has its home there.
func TestLongPartLeavesARegionThatCrashed(t *testing.T) {
	n := newOnlyOwner(t)
	var exclude []string
	for _, id := range []string{"b0", "b1"} {
		exclude = append(exclude, chivedirectory.Endpoint{ID: id}.Incarnation().Key())
	}
	for part := range uint64(20) {
		place, err := n.service.Place(context.Background(), n.pool, sharedRequest(part+1, 13_000), chiveplace.Ask{Exclude: exclude, Domains: chiveresidency.DomainsOf([]string{"b", "c"})})
		if err != nil {
			t.Fatalf("part %d: %v", part+1, err)
		}
		if domain := place.Endpoint().FailureDomain; domain == "b" {
			t.Errorf("part %d is placed in %s after two tries there", part+1, domain)
		}
		place.Done(time.Now(), chiveplace.EndedWell)
	}
}

// Guards against engines that are filtered by failure domain twice for each request.
func TestHomeOfALimitedRequestIsFoundInOnePass(t *testing.T) {
	const maxAllocations = 80
	n := newNode("127.0.0.1:1")
	n.setRegions(t, chivedistance.Map{}, 50, membersIn("a", 20))
	limits := chiveplace.Ask{Domains: chiveresidency.DomainsOf([]string{"b"})}
	request := sharedRequest(1, 350)
	if got := testing.AllocsPerRun(100, func() { n.service.Home(request, limits) }); got > maxAllocations {
		t.Errorf("%v allocations, want at most %d", got, maxAllocations)
	}
}
