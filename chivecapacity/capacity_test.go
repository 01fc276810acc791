package chivecapacity_test

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"
	"text/template"
	"time"

	"chivedrift/chivecapacity"
	"chivedrift/chiveclaim"
	"chivedrift/chiveconfig"
	"chivedrift/chivemember"
	"chivedrift/chiveroute"
	"chivedrift/chiveschedule"
)

var page = flag.Bool("page", false, "write docs/CAPACITY.md from the measurements")

// The target of the users' letter.
const (
	targetNodes     = 330
	targetEndpoints = 600
	targetRequests  = 990.0
	targetTokens    = 370000.0
	targetTeams     = 1700
	targetModels    = 5
	targetRegions   = 2
	targetDomains   = 6
	targetChanges   = 700.0
	targetFailures  = 17.0
	targetReplaced  = 360.0
	daySeconds      = 86400.0
	limitCPU        = 1.1
	limitMemory     = 64.0
	limitBytes      = 15.0
	keyedShare      = 0.1
	queuedMost      = 4096
)

// series is one measured slope.
type series struct {
	Name   string
	Unit   string
	Size   string
	Sizes  []float64
	Values []float64
	Line   chivecapacity.Line
	Target float64
}

func newSeries(name, unit, size string, target float64, sizes, values []float64) *series {
	return &series{name, unit, size, sizes, values, chivecapacity.Fit(sizes, values), target}
}

// Extrapolated is the value at the target's size.
func (s *series) Extrapolated() float64 { return s.Line.At(s.Target) }

// Row formats the series for the page's table.
func (s *series) Row() string {
	points := make([]string, len(s.Sizes))
	for i := range s.Sizes {
		points[i] = fmt.Sprintf("%g: %.3g", s.Sizes[i], s.Values[i])
	}
	decades := "under a decade"
	if s.Sizes[len(s.Sizes)-1]/s.Sizes[0] >= 10 {
		decades = "a decade or more"
	}
	return fmt.Sprintf("| %s | %s | %s | %.3g + %.3g x %s | %.2g | %s | %.3g at %g |",
		s.Name, s.Unit, strings.Join(points, ", "), s.Line.Intercept(), s.Line.Slope(), s.Size, s.Line.Residual(), decades, s.Extrapolated(), s.Target)
}

// ---------------------------------------------------------------- measurements

const idleFor = 6 * time.Second

// measureIdle runs fleets without requests: what membership, configuration and ticks cost a node.
func measureIdle(b *testing.B) (bytes, messages, cpuPercent, heap *series) {
	b.Helper()
	var sizes, bytesS, messagesS, cpuS, heapS []float64
	for _, n := range []int{8, 16, 32, 64, 96} {
		before := memory()
		f := startFleet(b, n, 1)
		traffic, spent, started := f.traffic(), cpu(), time.Now()
		time.Sleep(idleFor)
		seconds := time.Since(started).Seconds()
		sent, count := difference(f.traffic(), traffic), float64(n)
		m, bs := sum(sent)
		sizes = append(sizes, count)
		messagesS = append(messagesS, m/seconds/count)
		bytesS = append(bytesS, bs/seconds/count/1000)
		cpuS = append(cpuS, 100*(cpu()-spent)/seconds/count)
		heapS = append(heapS, (memory()-before)/count/1e6)
		f.stop()
	}
	return newSeries("idle control traffic sent", "KB/s a node", "nodes", targetNodes, sizes, bytesS),
		newSeries("idle control messages sent", "1/s a node", "nodes", targetNodes, sizes, messagesS),
		newSeries("idle processor time, with its part of the log stand-in", "% of a core a node", "nodes", targetNodes, sizes, cpuS),
		newSeries("idle memory", "MB a node", "nodes", targetNodes, sizes, heapS)
}

// perRequest is the control traffic of one model request, by kind.
type perRequest struct {
	Kinds    []string
	Messages float64
	Bytes    float64
}

const countedRequests = 400

// measureRequest counts what one request costs in messages and bytes between nodes, less the traffic of membership.
func measureRequest(b *testing.B) (model, keyed perRequest) {
	b.Helper()
	f := startFleet(b, 8, 2)
	defer f.stop()
	return f.count(b, f.request), f.count(b, f.keyed)
}

func (f *fleet) count(b *testing.B, send func(node, number int) error) perRequest {
	b.Helper()
	before := f.traffic()
	for i := range countedRequests {
		if err := send(i%len(f.nodes), i); err != nil {
			b.Fatal(err)
		}
	}
	all := difference(f.traffic(), before)
	var out perRequest
	for kind, n := range all {
		if !strings.HasPrefix(kind, "slot_") && !strings.HasPrefix(kind, "claim_") && kind != "hello" {
			continue
		}
		out.Messages += float64(n.Messages) / countedRequests
		out.Bytes += float64(n.Bytes) / countedRequests
		out.Kinds = append(out.Kinds, fmt.Sprintf("| %s | %.2f | %.0f |", kind, float64(n.Messages)/countedRequests, float64(n.Bytes)/countedRequests))
	}
	sort.Strings(out.Kinds)
	return out
}

// measureDecisions times a shard's whole work on one request at several lengths of the queue.
func measureDecisions(b *testing.B) (request, tick, queueMemory *series) {
	b.Helper()
	var sizes, requestS, tickS, memoryS []float64
	for _, waiting := range []int{100, 400, 1000, 4000} {
		before := memory()
		shard, now := loadedShard(waiting)
		memoryS = append(memoryS, (memory()-before)/1e6)
		sizes = append(sizes, float64(waiting))
		const rounds = 2000
		started := time.Now()
		for i := range rounds {
			now = now.Add(time.Microsecond)
			id := fmt.Sprint("r", i)
			for _, d := range shard.Submit(now, "g", slotRequest(id, now)) {
				if d.Grant != nil {
					shard.Progress(now, chiveschedule.SlotProgress{ID: d.Grant.ID, Attempt: 1, Endpoint: d.Grant.Endpoint, Tokens: 1, FirstMs: 5})
				}
			}
			shard.Finish(now, chiveschedule.SlotDone{ID: fmt.Sprint("w", i%waiting), Attempt: 1, Endpoint: "e0", Class: "c", Team: "t1", Result: chiveschedule.ResultOK, Tokens: 20})
			shard.Withdraw(now, id, 1)
		}
		requestS = append(requestS, time.Since(started).Seconds()*1e6/rounds)
		started = time.Now()
		const ticks = 50
		for range ticks {
			shard.Tick(now)
		}
		tickS = append(tickS, time.Since(started).Seconds()*1e6/ticks)
	}
	return newSeries("scheduler's decisions on a request", "us", "waiting", queuedMost, sizes, requestS),
		newSeries("scheduler's tick", "us", "waiting", queuedMost, sizes, tickS),
		newSeries("scheduler's memory with a queue", "MB", "waiting", queuedMost, sizes, memoryS)
}

func slotRequest(id string, now time.Time) chiveschedule.SlotRequest {
	return chiveschedule.SlotRequest{
		ID: id, Attempt: 1, Class: "c", Team: "t" + id[len(id)-1:], Prefix: uint64(len(id)), PromptTokens: 500,
		ArrivalMs: now.UnixMilli(), DeadlineMs: now.Add(time.Hour).UnixMilli(), Repeatable: true,
	}
}

func loadedShard(waiting int) (*chiveschedule.Shard, time.Time) {
	config := &chiveconfig.Config{
		Tiers:   []chiveconfig.Tier{{Name: "0"}},
		Classes: []chiveconfig.Class{{Name: "c", Tier: "0", FirstTokenMs: 3600000, DeadlineMs: 3600000, ExpectedTokens: 100, Repeatable: true}},
	}
	var endpoints []chiveconfig.Endpoint
	for i := range 12 {
		endpoints = append(endpoints, chiveconfig.Endpoint{Name: fmt.Sprint("e", i), Sequences: 16, CapacityTokens: 100000})
	}
	now := time.Now()
	shard := chiveschedule.NewShard("s", 1, chiveschedule.NewPlan(config, endpoints), now.Add(-time.Hour))
	for i := range waiting {
		shard.Submit(now, "g", slotRequest(fmt.Sprint("w", i), now))
	}
	return shard, now
}

// targetBundle is a configuration of a part of the target's size.
func targetBundle(part float64) chiveconfig.Bundle {
	base := strings.Builder{}
	base.WriteString("tiers: [{name: a}, {name: b}, {name: c}, {name: d}]\nclasses:\n  - {name: c, tier: a, first_token_ms: 1000, deadline_ms: 10000, stall_ms: 1000, expected_tokens: 10}\nteams:\n")
	for i := range int(part * targetTeams) {
		fmt.Fprintf(&base, "  - {name: team-%d, key_sha256: [\"%x\"], weight: 1}\n", i, sha256.Sum256([]byte{byte(i), byte(i >> 8)}))
	}
	base.WriteString("pools:\n")
	for m := range targetModels {
		fmt.Fprintf(&base, "  - name: model-%d\n    kind: model\n    default_class: c\n    endpoints:\n", m)
		for i := range max(int(part*targetEndpoints/targetModels), 1) {
			fmt.Fprintf(&base, "      - {name: engine-%d-%d, address: \"10.%d.%d.%d:80\", region: r%d, failure_domain: d%d, capacity_tokens: 100000, sequences: 32}\n",
				m, i, m, i/200, i%200, i%targetRegions, i%targetDomains)
		}
	}
	return chiveconfig.Bundle{Base: base.String(), Overlays: []chiveconfig.Overlay{{Site: "s", Text: "{}\n"}}}
}

// measureConfig times and weighs a configuration coming into force.
func measureConfig(b *testing.B) (size, load, heap *series) {
	b.Helper()
	var sizes, sizeS, loadS, heapS []float64
	for _, part := range []float64{0.0625, 0.125, 0.25, 0.5, 1} {
		bundle := targetBundle(part)
		data, err := chiveconfig.Record{ID: "x", Kind: chiveconfig.KindPublish, Bundle: bundle}.Encode()
		if err != nil {
			b.Fatal(err)
		}
		before, spent := memory(), cpu()
		config, err := bundle.Effective("s")
		if err != nil {
			b.Fatal(err)
		}
		loadS = append(loadS, (cpu()-spent)*1000)
		heapS = append(heapS, (memory()-before)/1e6)
		sizes = append(sizes, part*targetTeams)
		sizeS = append(sizeS, float64(len(data))/1000)
		if len(config.Teams) == 0 {
			b.Fatal("no teams")
		}
	}
	return newSeries("configuration record", "KB", "teams", targetTeams, sizes, sizeS),
		newSeries("processor time to bring a version into force", "ms", "teams", targetTeams, sizes, loadS),
		newSeries("memory of a version in force", "MB", "teams", targetTeams, sizes, heapS)
}

// measureView weighs a node's view of the fleet.
func measureView() *series {
	var sizes, heapS []float64
	for _, n := range []int{32, 96, 330} {
		before := memory()
		view := chivemember.NewView(member(0), time.Now())
		var all []chivemember.Member
		for i := range n {
			all = append(all, member(i))
		}
		view.Receive(time.Now(), "x", chivemember.Sync{Members: all})
		heapS = append(heapS, (memory()-before)/1e6)
		sizes = append(sizes, float64(len(view.Members())))
	}
	return newSeries("memory of the view of the fleet", "MB", "nodes", targetNodes, sizes, heapS)
}

func member(i int) chivemember.Member {
	return chivemember.Member{
		Name: fmt.Sprintf("entry-%d", i), Address: fmt.Sprintf("10.0.%d.%d:82", i/200, i%200), AdminAddress: fmt.Sprintf("10.0.%d.%d:81", i/200, i%200),
		Region: fmt.Sprint("r", i%targetRegions), FailureDomain: fmt.Sprint("d", i%targetDomains), Incarnation: 1, State: chivemember.Alive,
	}
}

// placement counts how the target's shards fall on its nodes.
type placement struct {
	Shards  int
	Busiest int
	Slots   int
}

func placeTarget(b *testing.B) placement {
	b.Helper()
	config, err := targetBundle(1).Effective("s")
	if err != nil {
		b.Fatal(err)
	}
	var members []chivemember.Member
	for i := range targetNodes {
		members = append(members, member(i))
	}
	var keys, slots []chiveroute.Key
	for _, s := range chiveroute.Shards(config) {
		keys = append(keys, chiveroute.NewKey(s.ID(), s.Region()))
	}
	for slot := range chiveclaim.Slots {
		slots = append(slots, chiveroute.NewKey(chiveclaim.StreamOf(slot), ""))
	}
	return placement{Shards: len(keys), Busiest: busiest(keys, members), Slots: busiest(slots, members)}
}

// busiest returns the most keys that one member keeps.
func busiest(keys []chiveroute.Key, members []chivemember.Member) int {
	placed := chiveroute.NewPlacement(keys, members)
	counts, most := make(map[string]int), 0
	for _, k := range keys {
		name := placed.Keepers(k.ID())[0].Name
		counts[name]++
		most = max(most, counts[name])
	}
	return most
}

// ---------------------------------------------------------------- the page

// report is everything the page shows.
type report struct {
	Idle, Messages, CPU, Heap    *series
	Decision, Tick, QueueMemory  *series
	Record, Load, ConfigMemory   *series
	View                         *series
	Request, Keyed               perRequest
	Placement                    placement
	Goroutine                    string
	SchedulerRequests            float64
	BytesIdle, BytesGateway      float64
	BytesScheduler, BytesConfig  float64
	BytesList, BytesClaims       float64
	BytesHeaders                 float64
	BytesTotal                   float64
	Room                         float64
	WireMicro                    float64
	CPUIdle, CPUDecisions        float64
	CPUTicks, CPUConfig, CPUWire float64
	CPUTotal                     float64
	MemoryTotal                  float64
	Appends                      float64
}

const (
	listBytes       = 1.024
	headerBytes     = 52.0 // of TCP and IP on each message, with timestamps
	logHops         = 3.0  // each claim goes to the writer, from it to the log, and back when it is read
	claimAppendsMax = 200.0
)

func BenchmarkCapacity(b *testing.B) {
	for b.Loop() {
		r := &report{}
		r.Record, r.Load, r.ConfigMemory = measureConfig(b)
		r.View = measureView()
		r.Decision, r.Tick, r.QueueMemory = measureDecisions(b)
		r.Placement = placeTarget(b)
		r.Request, r.Keyed = measureRequest(b)
		r.Idle, r.Messages, r.CPU, r.Heap = measureIdle(b)
		r.add()
		b.Logf("KB/s: idle %.2f gateway %.2f scheduler %.2f config %.2f list %.2f claims %.2f", r.BytesIdle, r.BytesGateway, r.BytesScheduler, r.BytesConfig, r.BytesList, r.BytesClaims)
		b.Logf("core%%: idle %.3f decisions %.3f ticks %.3f wire %.3f config %.3f", r.CPUIdle, r.CPUDecisions, r.CPUTicks, r.CPUWire, r.CPUConfig)
		b.Logf("MB: idle %.1f view %.2f config %.2f queue %.1f; placement %+v; per request %v %v", r.Heap.Line.Intercept(), r.View.Extrapolated(), r.ConfigMemory.Extrapolated(), r.QueueMemory.Extrapolated(), r.Placement, r.Request, r.Keyed)
		b.ReportMetric(r.BytesTotal, "KB/s")
		b.ReportMetric(r.CPUTotal, "core%")
		b.ReportMetric(r.MemoryTotal, "MB")
		if *page {
			writePage(b, r)
		}
	}
}

// add works out the busiest node at the target from the slopes.
func (r *report) add() {
	perShard := targetRequests / float64(r.Placement.Shards)
	r.SchedulerRequests = perShard * float64(r.Placement.Busiest)
	perNode := targetRequests / targetNodes
	r.BytesIdle = 2 * r.Idle.Extrapolated()
	r.BytesGateway = perNode * r.Request.Bytes / 1000
	r.BytesScheduler = r.SchedulerRequests * r.Request.Bytes / 1000
	r.BytesConfig = r.Record.Extrapolated() * targetChanges / daySeconds
	r.BytesList = listBytes
	r.BytesClaims = targetRequests * keyedShare / chiveclaim.Slots * float64(r.Placement.Slots) * logHops * r.Keyed.Bytes / 1000
	claims := targetRequests * keyedShare / chiveclaim.Slots * float64(r.Placement.Slots)
	messages := 2*r.Messages.Extrapolated() + (perNode+r.SchedulerRequests)*r.Request.Messages + claims*logHops*r.Keyed.Messages
	r.BytesHeaders = messages * headerBytes / 1000
	r.BytesTotal = r.BytesIdle + r.BytesGateway + r.BytesScheduler + r.BytesConfig + r.BytesList + r.BytesClaims + r.BytesHeaders
	r.Room = limitBytes - r.BytesTotal
	r.CPUIdle = max(r.CPU.Extrapolated(), r.CPU.Values[len(r.CPU.Values)-1])
	r.CPUDecisions = r.SchedulerRequests * r.Decision.Extrapolated() / 1e6 * 100
	r.CPUTicks = float64(r.Placement.Busiest) * 10 * r.Tick.Values[0] / 1e6 * 100
	r.WireMicro = r.CPU.Line.Intercept() / 100 / (2 * r.Messages.Line.Intercept()) * 1e6
	r.CPUWire = (r.SchedulerRequests + perNode) * r.Request.Messages * r.WireMicro / 1e6 * 100
	r.CPUConfig = r.Load.Extrapolated() / 1000 * targetChanges / daySeconds * 100
	r.CPUTotal = r.CPUIdle + r.CPUDecisions + r.CPUTicks + r.CPUWire + r.CPUConfig
	r.MemoryTotal = r.Heap.Extrapolated() + 2*r.ConfigMemory.Extrapolated() + r.QueueMemory.Extrapolated()*float64(r.Placement.Busiest)
	r.Appends = claimAppendsMax + targetChanges/daySeconds + targetModels/10.0*3
}

func writePage(b *testing.B, r *report) {
	b.Helper()
	text, err := os.ReadFile("testdata/CAPACITY.tmpl")
	if err != nil {
		b.Fatal(err)
	}
	parsed, err := template.New("page").Parse(string(text))
	if err != nil {
		b.Fatal(err)
	}
	out := strings.Builder{}
	if err := parsed.Execute(&out, r); err != nil {
		b.Fatal(err)
	}
	if err := os.WriteFile("../docs/CAPACITY.md", []byte(out.String()), 0o600); err != nil {
		b.Fatal(err)
	}
}
