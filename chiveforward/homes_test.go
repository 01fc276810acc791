//go:build !race

package chiveforward_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chiveforward"
	"chivedrift/chivegrant"
	"chivedrift/chivemember"
	"chivedrift/chiverelay"
	"chivedrift/chiverequest"
	"chivedrift/chiveresidency"
	"chivedrift/chivestand"
	"chivedrift/chivetable"
	"chivedrift/chivewire"
)

// homeRegions is the region of each failure domain; the host of an address 10.0.D.N is in the domain with index D.
var homeRegions = chiveresidency.Map{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

var homeDomains = []string{"a1", "a2", "b1", "b2", "c1", "c2"}

func domainOf(address string) string {
	var domain, host, port int
	fmt.Sscanf(address, "10.0.%d.%d:%d", &domain, &host, &port)
	return homeDomains[domain]
}

// watchedNetwork calls onBody when a connection carries the body of a request.
type watchedNetwork struct {
	*chivestand.Network
	onBody func(to string, data []byte)
}

type watchedConn struct {
	net.Conn
	onWrite func(data []byte)
}

func (c watchedConn) Write(data []byte) (int, error) {
	if bytes.Contains(data, []byte(bodyMark)) {
		c.onWrite(data)
	}
	return c.Conn.Write(data)
}

const bodyMark = "body of "

func (n *watchedNetwork) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	// As over TCP, a connection attempt ends even if its context does not.
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	conn, err := n.Network.Dial(ctx, from, to)
	if err != nil {
		return nil, err
	}
	return watchedConn{conn, func(data []byte) { n.onBody(to, data) }}, nil
}

// homeNode is what decides on one node: its pools, its grants, its relay and its forwarder.
type homeNode struct {
	address   string
	pools     *chiveforward.Pools
	grants    *chivegrant.Service
	forwarder *chiveforward.Forwarder
	// table and evacuated are in force; since is when they last changed, and before is what was in force until then.
	table, tableBefore         *chivetable.Table
	evacuated, evacuatedBefore []string
	since                      time.Time
}

// mayServe reports whether a request may be at a failure domain now by what the node knows. Of a change at this very
// moment both sides count.
func (n *homeNode) mayServe(request *chiverequest.Request, domain string, isEndpoint bool) bool {
	allows := func(table *chivetable.Table, evacuated []string) bool {
		policy, _ := table.Residency(request.Route.Name, request.Team)
		region := homeRegions[domain]
		return policy.Allows(region) && request.Residency.Allows(region) && (!isEndpoint || !slices.Contains(evacuated, domain))
	}
	return allows(n.table, n.evacuated) || n.since.Equal(time.Now()) && allows(n.tableBefore, n.evacuatedBefore)
}

// fetchDialect checks the address from which an engine is to fetch.
type fetchDialect struct {
	headerDialect
	onFetch func(request *chiverequest.Request, from string)
}

func (d fetchDialect) Prepare(header http.Header, send chiverequest.Send) ([]byte, error) {
	d.onFetch(send.Request, send.FetchFrom)
	return d.headerDialect.Prepare(header, send)
}

// homeFleet is a fleet in three regions with a node and two engines in each failure domain.
type homeFleet struct {
	t       *testing.T
	random  *rand.Rand
	network *watchedNetwork
	nodes   []*homeNode
	// mu guards what follows: requests in progress by their ID, with the node of each, and counts.
	mu       sync.Mutex
	requests map[string]*chiverequest.Request
	nodeOf   map[string]*homeNode
	// fetchOf are the addresses that the requests prepared last fetch from.
	fetchOf                              map[string]string
	sent, relayed, fetched, ran, refused int
}

func newHomeFleet(t *testing.T, seed uint64) *homeFleet {
	t.Helper()
	f := &homeFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 2)), network: &watchedNetwork{Network: chivestand.NewNetwork()},
		requests: make(map[string]*chiverequest.Request), nodeOf: make(map[string]*homeNode), fetchOf: make(map[string]string),
	}
	f.network.onBody = f.recordBody
	var endpoints []chivedirectory.Endpoint
	var members []chivemember.Member
	for i, domain := range homeDomains {
		for k := range 2 {
			e := chivedirectory.Endpoint{ID: fmt.Sprintf("e-%s-%d", domain, k), Pool: "p", Address: fmt.Sprintf("10.0.%d.%d:9", i, 8+k), FailureDomain: domain, Slots: 4}
			endpoints = append(endpoints, e)
			f.serve(e.Address)
		}
		address := fmt.Sprintf("10.0.%d.1:1", i)
		members = append(members, chivemember.Member{Name: address, Address: address, Region: homeRegions[domain], FailureDomain: domain, RelayAddress: fmt.Sprintf("10.0.%d.1:2", i), State: chivemember.Alive})
	}
	for _, m := range members {
		f.nodes = append(f.nodes, f.startNode(m, members, endpoints))
	}
	time.Sleep(3 * time.Second)
	return f
}

// serve answers requests at an address; every fourth is refused, so that it is tried elsewhere.
func (f *homeFleet) serve(address string) {
	listener, _ := f.network.Listen(address)
	count := 0
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		defer f.mu.Unlock()
		count++
		w.Header().Set("Id", r.Header.Get("Id"))
		if count%4 == 0 {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go server.Serve(listener)
	f.t.Cleanup(func() { server.Close() })
}

func (f *homeFleet) startNode(self chivemember.Member, members []chivemember.Member, endpoints []chivedirectory.Endpoint) *homeNode {
	n := &homeNode{address: self.Address, pools: chiveforward.NewPools(self.FailureDomain)}
	n.pools.SetRegions(homeRegions)
	mesh := chivewire.NewMesh(self.Address, f.network)
	logger := slog.New(slog.DiscardHandler)
	n.grants = chivegrant.New(chivegrant.Options{Mesh: mesh, Pools: n.pools, Logger: logger})
	n.pools.SetAsker(n.grants)
	relay := chiverelay.New(chiverelay.Options{
		Self: strings.Replace(self.Address, ":1", ":3", 1), Address: self.RelayAddress, Network: f.network, Region: self.Region, Regions: homeRegions, Accepts: n.pools.Accepts, Logger: logger,
	})
	n.forwarder = chiveforward.New(chiveforward.Options{
		Self: self.Address, Network: relay, PathLost: relay.IsLost, Places: n.pools, Rules: chiveforward.StoreRules, Logger: logger,
		Dialect: fetchDialect{onFetch: f.recordFetch},
		Repeats: chiveforward.NewBudget(time.Now(), chiveforward.BudgetLimits{Ratio: 1, Headroom: 1000, Window: time.Second}),
	})
	f.configure(n, f.newTable())
	n.pools.ApplyEndpoints(chivedirectory.Diff{Changed: endpoints})
	relay.ApplyEndpoints(chivedirectory.Diff{Changed: endpoints})
	n.grants.ApplyEndpoints(chivedirectory.Diff{Changed: endpoints})
	relay.SetMembers(members)
	// Leaving members count towards the size above which nodes ask owners.
	for i := range 20 {
		members = append(members, chivemember.Member{Name: fmt.Sprint(i), Address: fmt.Sprintf("10.0.0.9:%d", 100+i), State: chivemember.Leaving})
	}
	n.grants.SetMembers(members)
	for _, s := range []interface {
		Start(context.Context) error
		Stop(context.Context) error
	}{mesh, n.grants, relay, n.forwarder} {
		if err := s.Start(context.Background()); err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { s.Stop(context.Background()) })
	}
	n.grants.Divide()
	return n
}

// newTable returns a configuration with random regions for a route and a team.
func (f *homeFleet) newTable() *chivetable.Table {
	random := randomDeployment{random: f.random}
	shares := []chivetable.Share{{Pool: "p", Weight: 1}}
	table, err := chivetable.New(chivetable.Spec{
		Routes: []chivetable.Route{
			{Name: "r0", Host: "h", Prefix: "/0/", Shares: shares, Target: 200 * time.Millisecond, Attempts: 3, Repeat: chivetable.RepeatAlways, Residency: chiveresidency.Within(random.randomRegions())},
			{Name: "r1", Host: "h", Prefix: "/1/", Shares: shares, Target: 200 * time.Millisecond, Attempts: 3, Repeat: chivetable.RepeatAlways},
		},
		Pools:    []chivetable.Pool{{Name: "p", Engine: chivetable.Engine{Slots: 4, CacheTokens: 50_000, TokensPerEvent: 4}}},
		Teams:    []chivetable.Team{{Name: "t0", Residency: chiveresidency.Within(random.randomRegions())}, {Name: "t1"}},
		TeamKeys: map[string]int{"k0": 0, "k1": 1},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return table
}

func (f *homeFleet) configure(n *homeNode, table *chivetable.Table) {
	f.mu.Lock()
	n.table, n.tableBefore, n.evacuatedBefore, n.since = table, n.table, n.evacuated, time.Now()
	f.mu.Unlock()
	n.pools.SetTable(table)
	n.grants.SetTable(table)
}

func (f *homeFleet) evacuate(n *homeNode, domains []string) {
	f.mu.Lock()
	n.evacuated, n.tableBefore, n.evacuatedBefore, n.since = domains, n.table, n.evacuated, time.Now()
	f.mu.Unlock()
	n.pools.SetEvacuated(domains)
}

// recordBody checks that the address to which a body is written may get it: an endpoint's, or that of a peer's relay.
func (f *homeFleet) recordBody(to string, data []byte) {
	_, id, _ := strings.Cut(string(data), bodyMark)
	id, _, _ = strings.Cut(id, ";")
	f.mu.Lock()
	defer f.mu.Unlock()
	isEndpoint := strings.HasSuffix(to, ":9")
	if f.sent++; !isEndpoint {
		f.relayed++
	}
	if request := f.requests[id]; !f.nodeOf[id].mayServe(request, domainOf(to), isEndpoint) {
		f.t.Errorf("request %s of route %s, team %s, accepted for %s: body sent to %s in %s", id, request.Route.Name, request.Team, request.Residency, to, domainOf(to))
	}
	if from := f.fetchOf[id]; from != "" && !f.nodeOf[id].mayServe(f.requests[id], domainOf(from), true) {
		f.t.Errorf("request %s, accepted for %s, is sent with a fetch from %s in %s", id, f.requests[id].Residency, from, domainOf(from))
	}
	// A peer that connects for this node passes the same body on later.
	delete(f.fetchOf, id)
}

func (f *homeFleet) recordFetch(request *chiverequest.Request, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetchOf[request.ID] = from
	if from == "" {
		return
	}
	if f.fetched++; !f.nodeOf[request.ID].mayServe(request, domainOf(from), true) {
		f.t.Errorf("request %s, accepted for %s, is fetched from %s in %s", request.ID, request.Residency, from, domainOf(from))
	}
}

// change makes one random change: of the configuration or the evacuations at one node or at all, or of the links.
func (f *homeFleet) change() {
	nodes := f.nodes
	if f.random.IntN(2) == 0 {
		nodes = nodes[f.random.IntN(len(nodes)):][:1]
	}
	table, evacuated := f.newTable(), slices.DeleteFunc(slices.Clone(homeDomains), func(string) bool { return f.random.IntN(4) > 0 })
	kind, cut := f.random.IntN(4), f.random.IntN(1<<16)
	switch kind {
	case 0:
		for _, n := range nodes {
			f.configure(n, table)
		}
	case 1:
		for _, n := range nodes {
			f.evacuate(n, evacuated)
		}
	case 2:
		// Cuts about a third of the pairs of failure domains.
		f.network.Block(func(from, to string) bool {
			a, b := slices.Index(homeDomains, domainOf(from)), slices.Index(homeDomains, domainOf(to))
			return a != b && (cut>>(min(a, b)*2)^max(a, b))%3 == 0
		})
	case 3:
		f.network.Block(nil)
	}
}

// send returns a function that sends a request from a random node.
func (f *homeFleet) send(id string) (run func()) {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	route, _ := n.table.Match("h", []string{"/0/", "/1/"}[f.random.IntN(2)])
	team, _ := n.table.Team([]string{"k0", "k1"}[f.random.IntN(2)])
	now := time.Now()
	request := &chiverequest.Request{
		ID: id, Route: route, Pool: "p", Team: team.Name, Residency: route.Residency.Intersect(team.Residency),
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(bodyMark + id + ";"), Arrival: now, Deadline: now.Add(time.Second),
	}
	if f.random.IntN(3) > 0 {
		request.Prompt = &chiverequest.Prompt{
			Parts: []chiverequest.Part{{ID: uint64(f.random.IntN(5)), Tokens: 8000}}, Input: 9000, Target: time.Second, Urgent: time.Second, Pause: time.Second,
		}
	}
	f.mu.Lock()
	f.requests[id], f.nodeOf[id] = request, n
	f.mu.Unlock()
	return func() {
		result := n.forwarder.Run(context.Background(), request, &recordingSink{})
		f.mu.Lock()
		defer f.mu.Unlock()
		if result.Outcome == chiveforward.Completed {
			f.ran++
		} else {
			f.refused++
		}
	}
}

// Guards against a request at an endpoint outside the regions of its route and team or in an evacuated failure domain, and
// against a body at a peer outside those regions, while links are cut, lists and evacuations change at some nodes or all,
// owners are in other regions and peers connect for others.
func TestBodiesStayInAllowedRegions(t *testing.T) {
	const fleets, histories = 100, 200
	var sent, relayed, fetched, ran, refused int
	for seed := range uint64(fleets) {
		synctest.Test(t, func(t *testing.T) {
			f := newHomeFleet(t, seed)
			for i := range histories {
				var requests sync.WaitGroup
				for k := range 2 {
					requests.Go(f.send(fmt.Sprintf("%d-%d", i, k)))
					time.Sleep(time.Duration(f.random.IntN(60)) * time.Millisecond)
					f.change()
				}
				requests.Wait()
			}
			// Lets health checks on cut links end.
			time.Sleep(10 * time.Second)
			sent, relayed, fetched, ran, refused = sent+f.sent, relayed+f.relayed, fetched+f.fetched, ran+f.ran, refused+f.refused
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d bodies sent, %d of them through peers, %d fetches, %d requests completed, %d not", sent, relayed, fetched, ran, refused)
	if relayed == 0 || fetched == 0 || ran < fleets*histories/2 {
		t.Error("too few relays, fetches or completed requests")
	}
}
