package chivenode

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"chivedrift/chiveadmin"
	"chivedrift/chivebudget"
	"chivedrift/chivecache"
	"chivedrift/chivedirectory"
	"chivedrift/chivedistance"
	"chivedrift/chiveentry"
	"chivedrift/chiveevacuation"
	"chivedrift/chiveevent"
	"chivedrift/chivefeed"
	"chivedrift/chiveforward"
	"chivedrift/chivegate"
	"chivedrift/chivegossip"
	"chivedrift/chivegrant"
	"chivedrift/chivekernel"
	"chivedrift/chivelease"
	"chivedrift/chiveload"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chivemetric"
	"chivedrift/chivenotice"
	"chivedrift/chiveplace"
	"chivedrift/chivequarantine"
	"chivedrift/chiverate"
	"chivedrift/chiverelay"
	"chivedrift/chiverequest"
	"chivedrift/chivescale"
	"chivedrift/chivesettings"
	"chivedrift/chivestream"
	"chivedrift/chivetable"
	"chivedrift/chiveusage"
	"chivedrift/chiveversion"
	"chivedrift/chivewire"
	chiveplatform "chivedrift/platform"
)

const (
	tableFeedName     = "table feed"
	directoryFeedName = "directory feed"
	discoveryFeedName = "roster feed"

	// discoveryReadInterval is the minimum time between two reads of the nodes' topic. It can be long, because nodes
	// that know each other pass on new nodes themselves.
	discoveryReadInterval = 20 * time.Second
	// stopMargin is the part of the grace time that is reserved for the last log lines and the exit of the process.
	stopMargin = 400 * time.Millisecond
	// announceStopTimeout limits the calls to other nodes and to the store at a stop.
	announceStopTimeout = time.Second
	// memoryLimitShare is the share of the process's memory at which the garbage collector starts to work harder.
	memoryLimitShare = 0.6
	megabyte         = 1 << 20
)

// StoreNode is a router node on a platform that keeps configuration and endpoints in a metadata store.
type StoreNode struct {
	settings  chivesettings.StoreNode
	logger    *slog.Logger
	kernel    *chivekernel.Kernel
	mesh      *chivewire.Mesh
	members   *chivemember.Service
	distances *chivedistance.Table
	tables    *chivetable.Service
	directory *chivedirectory.Service
	versions  *chiveversion.Service
	streams   *chivestream.Service
	// endpointReadAge returns how long ago the store answered this node for the endpoints; negative means never.
	endpointReadAge   func() time.Duration
	entry             *chiveentry.Entry
	ready             *readiness
	gossip            *chivegossip.Service
	retryBudget       *chiveforward.Budget
	sharedRetryBudget *chivebudget.Service
	loads             *chiveload.Service
	grants            *chivegrant.Service
	rates             *chiverate.Service
	relay             *chiverelay.Service
	notices           *chivenotice.Service
	startup           *startupTracker
	memory            *memoryGuard
	callers           *callerReport
	quarantine        *chivequarantine.Service
	pools             *chiveforward.Pools
	forwarder         *chiveforward.Forwarder
	evacuation        *chiveevacuation.Service
	// lease and usage are nil unless the platform expects usage reports.
	lease *chivelease.Service
	usage *chiveusage.Service
	// scaling is nil unless the platform takes orders of replicas.
	scaling *chivescale.Service
}

// operatorListener passes records of the operators' topic to both services that keep a part of them: the routing table
// and the evacuated failure domains.
type operatorListener struct {
	*chivetable.Service
	evacuation *chiveevacuation.Service
}

// Replace passes on a snapshot.
func (t operatorListener) Replace(snapshot chivelog.KeyedBatch) {
	t.Service.Replace(snapshot)
	t.evacuation.Replace(snapshot)
}

// Apply passes on later records.
func (t operatorListener) Apply(records []chivelog.KeyedRecord) {
	t.Service.Apply(records)
	t.evacuation.Apply(records)
}

// endpointListener passes records of the endpoints' topic to the directory, and their software versions to versions
// first, so that an endpoint that the directory lists has one.
type endpointListener struct {
	*chivedirectory.Service
	versions *chiveversion.Service
}

// Replace passes on a snapshot.
func (l endpointListener) Replace(snapshot chivelog.KeyedBatch) {
	l.versions.Replace(snapshot)
	l.Service.Replace(snapshot)
}

// Apply passes on later records.
func (l endpointListener) Apply(records []chivelog.KeyedRecord) {
	l.versions.Apply(records)
	l.Service.Apply(records)
}

// NewStoreNode returns a node with the given settings that uses the given network.
func NewStoreNode(settings chivesettings.StoreNode, network chivewire.Network, logger *slog.Logger) (*StoreNode, error) {
	n := &StoreNode{settings: settings, logger: logger, kernel: chivekernel.New()}
	if err := n.assemble(network); err != nil {
		return nil, err
	}
	return n, nil
}

// assemble creates the services and registers them in start order.
func (n *StoreNode) assemble(network chivewire.Network) error {
	store := chiveplatform.NewStore(n.settings.Store, n.settings.Listen.Peers, network)
	metrics := chivemetric.New()
	discovery := n.assembleFleet(network, store)
	n.distances.Instrument(n.logger, metrics.Scope())
	feeds := n.newFeeds(store, discovery)
	n.endpointReadAge = feeds.directory.Age
	n.versions.DetectStalls(chiveforward.SinceBoot, feeds.directory.ConfirmedAge)
	singletons := n.assembleSingletons(network, store)
	serving := n.assembleServing(network, metrics)
	n.retryBudget.SetListedPeers(discovery.listedPeers)
	process := newProcess()
	gauges := newGaugeReporter(metrics.Scope(), n.mesh, process, slices.Concat(n.gauges(store, feeds.table, feeds.directory), n.callers.gauges())...)
	gauges.SetPoolGauges(poolGauge{"repeats_overdrawn", func() map[string]float64 { return n.retryBudget.Overdrawn(time.Now()) }})
	return n.register(slices.Concat([]namedService{
		{processName, process},
		{memoryName, n.memory},
		{callersName, n.callers},
		{metricsName, metrics},
		{wireName, n.mesh},
		{gaugeReporterName, gauges},
		{discoveryName, discovery},
		{chivedistance.ServiceName, n.distances},
		{chivemember.ServiceName, n.members},
		{chivetable.ServiceName, n.tables},
		{chivedirectory.ServiceName, n.directory},
		{chiveversion.ServiceName, n.versions},
		{chivestream.ServiceName, n.streams},
		{chivegossip.ServiceName, n.gossip},
		{chiveevacuation.ServiceName, n.evacuation},
		{tableFeedName, feeds.table},
		{directoryFeedName, feeds.directory},
		{discoveryFeedName, feeds.discovery},
		{chiveforward.PoolsName, serving.pools},
		{chivequarantine.ServiceName, n.quarantine},
		{chivebudget.ServiceName, n.sharedRetryBudget},
		{chiveforward.ServiceName, serving.forwarder},
		{chiverate.ServiceName, n.rates},
		{chiverelay.ServiceName, n.relay},
		{chivenotice.ServiceName, n.notices},
		{chivegrant.ServiceName, n.grants},
		{chiveload.ServiceName, n.loads},
		{chivecache.ServiceName, serving.caches},
		{chiveadmin.ServiceName, &optionalService{logger: n.logger, Service: chiveadmin.New(chiveadmin.Options{
			Address: n.settings.Listen.Admin, Network: network, Metrics: metrics.Handler(), State: n.kernel.Dump, Ready: n.NotReady,
			Explain: func(string) (*chivegate.Explanation, bool) { return nil, false }, Profile: n.settings.Profile,
		})}},
		{chiveentry.ServiceName, n.entry},
		{readinessName, n.ready},
		{startupName, n.startup},
	}, singletons))
}

// assembleFleet creates the services that hold the membership list, the configuration and the endpoints, and the gossip
// between nodes about them.
func (n *StoreNode) assembleFleet(network chivewire.Network, store *chiveplatform.Store) *peerDiscovery {
	s := n.settings
	n.mesh = chivewire.NewMesh(s.Listen.Peers, network)
	n.distances = chivedistance.New(s.Region, s.RegionOf())
	n.distances.SetConnected(n.mesh.IsConnected)
	readsForAll := func() bool { return n.gossip.Reads() }
	discovery := newPeerDiscovery(s.Listen.Peers, s.Region, s.FailureDomain, s.Seeds, store.Nodes(), readsForAll, n.logger)
	n.members = chivemember.NewService(chivemember.Member{
		Name: s.Listen.Peers, Address: s.Listen.Peers, AdminAddress: s.Listen.Admin, RelayAddress: s.Listen.Relay, Region: s.Region, FailureDomain: s.FailureDomain,
		Incarnation: time.Now().UnixMilli(),
	}, n.mesh, discovery, n.logger)
	n.tables = chivetable.NewService(n.decodeTable, chiveplatform.IsConfiguration, n.logger)
	n.evacuation = chiveevacuation.New(chiveevacuation.Options{Mesh: n.mesh, Decode: chiveplatform.DecodeEvacuation, Running: n.inFlightByDomain, Logger: n.logger})
	n.directory = chivedirectory.NewService(chiveplatform.DecodeEndpoint, chivedirectory.DefaultGrace, n.logger)
	n.versions = chiveversion.New(n.mesh, chiveplatform.DecodeVersion, func() time.Duration { return n.endpointReadAge() })
	n.versions.SetDistances(n.distances)
	n.directory.OnChange(n.versions.ApplyEndpoints)
	n.members.OnReply(n.distances.Observer())
	n.streams = chivestream.New(n.mesh)
	n.streams.SetDistances(n.distances)
	n.streams.SetJournal(chivestream.JournalOptions{
		Log: store.Streams(), Reads: func() bool { return n.gossip.ReadsEarly() }, Stores: n.versions.Several, Readers: chivegossip.Readers, Logger: n.logger,
	})
	n.gossip = chivegossip.New(chivegossip.Options{Mesh: n.mesh, Tables: n.tables, Endpoints: n.directory, Deferred: n.directory.Deferred, Logger: n.logger})
	n.tables.OnChange(func(*chivetable.Table) { n.gossip.Learnt() })
	n.directory.OnChange(func(chivedirectory.Diff) { n.gossip.Learnt() })
	n.directory.OnStale(n.gossip.WentStale)
	n.directory.OnRestored(discovery.Restored)
	return discovery
}

// assembleSingletons creates the services for platform work that one node at a time does for the whole fleet.
func (n *StoreNode) assembleSingletons(network chivewire.Network, store *chiveplatform.Store) []namedService {
	duties := n.settings.PlatformDuties
	if !duties.Expects(chivesettings.DutyUsage) {
		return nil
	}
	self, incarnation := n.settings.Listen.Peers, time.Now().UnixMilli()
	cloud := chiveplatform.NewCloud(duties.Address, n.settings.Name, self, network, store.Endpoints())
	n.lease = chivelease.New(chivelease.Options{
		Topic: store.Lease(), Self: self, Incarnation: incarnation, Term: duties.Lease(), Rank: func() (int, bool) { return n.usage.Rank() },
		SinceBoot: chiveforward.SinceBoot, Logger: n.logger,
	})
	n.usage = chiveusage.New(chiveusage.Options{
		Mesh: n.mesh, Incarnation: incarnation, Loads: func() map[string]int64 { return n.forwarder.InProgress() },
		Lease: n.lease, Platform: cloud, Window: duties.UsageWindow(), Delay: duties.UsageDelay(),
		SinceBoot: chiveforward.SinceBoot, Logger: n.logger,
	})
	singletons := []namedService{{chiveusage.ServiceName, n.usage}, {chivelease.ServiceName, n.lease}}
	if !duties.Expects(chivesettings.DutyScaling) {
		return singletons
	}
	n.scaling = chivescale.New(chivescale.Options{Lease: n.lease, Platform: cloud, Load: n.usage.Load, SinceBoot: chiveforward.SinceBoot, Logger: n.logger})
	n.tables.OnChange(n.scaling.SetTable)
	n.directory.OnChange(n.scaling.ApplyEndpoints)
	return append(singletons, namedService{chivescale.ServiceName, n.scaling})
}

// feeds are the followers of the store's topics.
type feeds struct {
	table     *chivefeed.Follower
	directory *chivefeed.Follower
	discovery *chivefeed.Follower
}

func (n *StoreNode) newFeeds(store *chiveplatform.Store, discovery *peerDiscovery) feeds {
	return feeds{
		table: chivefeed.New(chivefeed.Options{
			Topic: store.Configurations(), Wait: n.gossip.ReadWait, Listener: operatorListener{n.tables, n.evacuation}, Answered: n.directory.AnsweredElse, Held: n.gossip.Held,
			Settle: chivegossip.SettleFor, ReadsEarly: n.gossip.ReadsEarly,
		}),
		directory: chivefeed.New(chivefeed.Options{
			Topic: store.Endpoints(), Wait: n.endpointReadWait, SinceBoot: chiveforward.SinceBoot, Pace: n.gossip.ReadPace, Listener: endpointListener{n.directory, n.versions}, Answered: n.directory.Answered, Held: n.gossip.Held,
			Settle: chivegossip.SettleFor, ReadsEarly: n.gossip.ReadsEarly, HoldFirst: n.newFirstReadPolicy(discovery).defers, Known: n.directory.Newest,
		}),
		discovery: chivefeed.New(chivefeed.Options{
			Topic: store.Nodes(), Wait: noWait, Pace: func() time.Duration { return discoveryReadInterval }, Listener: discovery, Answered: n.directory.AnsweredElse,
			Held: func() bool { return !n.gossip.Reads() }, HeldAtStart: true,
		}),
	}
}

// endpointReadWait returns how long a read of the endpoints waits for a record. After the node stood still, an answer at once
// confirms what it knows.
func (n *StoreNode) endpointReadWait(gotRecord bool) time.Duration {
	if n.versions.AwaitsConfirmation() {
		return 0
	}
	return n.gossip.ReadWait(gotRecord)
}

// serving holds the services that forward requests to endpoints.
type serving struct {
	pools     *chiveforward.Pools
	forwarder *chiveforward.Forwarder
	caches    *chivecache.Service
}

// assembleServing creates the services that place and forward requests, and subscribes them to changes of the
// configuration and of the endpoints.
func (n *StoreNode) assembleServing(network chivewire.Network, metrics *chivemetric.Metrics) serving {
	s := n.settings
	n.retryBudget = chiveforward.NewBudget(time.Now(), chiveforward.BudgetLimits{
		Ratio: s.Repeats.Ratio, Headroom: s.Repeats.Headroom, Window: time.Duration(s.Repeats.WindowS * float64(time.Second)),
	})
	n.retryBudget.SetSinceBoot(chiveforward.SinceBoot)
	n.sharedRetryBudget = chivebudget.New(n.mesh, n.retryBudget)
	n.sharedRetryBudget.SetDistances(n.distances)
	shutdown := chiveforward.NewShutdown()
	descriptors := processDescriptors(s.MaxDescriptors)
	bounds := callerBounds(s.MemoryMB*megabyte, descriptors)
	n.memory = newMemoryGuard(s.MemoryMB*megabyte, bounds.Memory, n.logger)
	n.quarantine = chivequarantine.New(chivequarantine.Options{Mesh: n.mesh, Distances: n.distances, Logger: n.logger})
	pools := chiveforward.NewPools(s.FailureDomain)
	pools.SetRegions(s.RegionOf())
	pools.SetVersions(n.versions.Of)
	pools.SetTraffic(chiveplace.Traffic{
		RequestsPerGB: s.RegionTraffic.RequestsPerGB, PromptTokenBytes: s.RegionTraffic.PromptTokenBytes, CachedTokenBytes: s.RegionTraffic.CachedTokenBytes,
	})
	n.pools = pools
	n.relay = chiverelay.New(chiverelay.Options{
		Self: s.Listen.Callers, Address: s.Listen.Relay, Network: chivewire.Bounded(network, bounds.Receive), Region: s.Region, Regions: s.RegionOf(), Full: n.memory.Full, Logger: n.logger,
		Distances:  n.distances,
		Accepts:    pools.Accepts,
		MaxTunnels: maxTunnels(descriptors),
	})
	n.notices = chivenotice.New(chivenotice.Options{Mesh: n.mesh, State: pools.StateNotice, StateWarmUp: pools.StateWarmUp, ConnectedFor: n.relay.ConnectedFor, Logger: n.logger})
	forwarder := chiveforward.New(chiveforward.Options{
		Self: s.Listen.Callers, Network: n.relay, PathLost: n.relay.IsLost, Dialect: chiveplatform.Endpoints{}, Places: pools, Repeats: n.sharedRetryBudget, Rules: chiveforward.StoreRules,
		Distances: n.distances, Shutdown: shutdown,
		Quarantine: n.quarantine, Streams: n.streams, OnNotice: n.forwardNotice, OnWarmUp: n.recordWarmUp, OnStart: n.recordStart, SinceBoot: chiveforward.SinceBoot, Logger: n.logger,
	})
	n.forwarder = forwarder
	n.quarantine.OnFailure(forwarder.PeerFailure)
	n.quarantine.OnCrash(forwarder.PeerCrash)
	n.entry = chiveentry.New(chiveentry.Options{
		Address: s.Listen.Callers, Network: network, Dialect: chiveplatform.Callers{}, Forwarder: forwarder, Shutdown: shutdown, Full: n.memory.Full, Bounds: bounds,
		Streams: n.streams, Versions: n.versions,
		Scope: metrics.Scope(), Logger: n.logger,
	})
	n.callers = newCallerReport(bounds, n.entry, n.logger)
	n.ready = newReadiness(s.Listen.Ready, chiveplatform.ReadyPath, network, n.NotReady)
	n.grants = chivegrant.New(chivegrant.Options{Mesh: n.mesh, Pools: pools, Distances: n.distances, Logger: n.logger})
	pools.SetAsker(n.grants)
	for _, setDistances := range []func(chivedistance.Map){pools.SetDistances, n.grants.SetDistances} {
		setDistances(n.distances.Map())
		n.distances.OnChange(setDistances)
	}
	n.rates = chiverate.New(n.mesh)
	n.rates.SetDistances(n.distances)
	n.rates.SetSettled(n.grants.Settled)
	pools.SetRates(n.rates)
	caches := chivecache.New(chivecache.Options{
		Caches: chiveplatform.NewCaches(s.Listen.Peers, n.relay), Pools: pools, Owners: n.grants, Logger: n.logger,
	})
	n.loads = chiveload.New(chiveload.Options{Mesh: n.mesh, Pools: pools, Owners: n.grants})
	n.startup = newStartupTracker(n.logger, n.NotReady, n.grants.Settled, func() int { return len(n.members.Members()) })
	n.tables.OnChange(func(*chivetable.Table) { n.startup.recordTable() })
	n.directory.OnChange(func(chivedirectory.Diff) { n.startup.recordEndpoints() })
	n.evacuation.OnChange(pools.SetEvacuated)
	pools.SetEvacuationsKnown(n.evacuation.Known)
	n.tables.OnChange(pools.SetTable)
	n.tables.OnChange(n.grants.SetTable)
	n.tables.OnChange(caches.SetTable)
	n.tables.OnChange(n.entry.SetTable)
	n.directory.OnChange(n.relay.ApplyEndpoints)
	n.directory.OnChange(pools.ApplyEndpoints)
	n.directory.OnChange(forwarder.ApplyEndpoints)
	n.directory.OnChange(n.grants.ApplyEndpoints)
	return serving{pools, forwarder, caches}
}

// decodeTable decodes the operators' document. It also checks the regions if the settings list those of the deployment.
func (n *StoreNode) decodeTable(document []byte) (*chivetable.Table, error) {
	table, err := chiveplatform.DecodeTable(document)
	if err != nil || len(n.settings.Regions) == 0 {
		return table, err
	}
	if err := table.CheckRegions(n.settings.RegionOf().Regions()); err != nil {
		return nil, err
	}
	return table, nil
}

// forwardNotice forwards what an endpoint states about its process: that it is leaving to all nodes, and that it wants rest
// to the nodes that share connections to it.
func (n *StoreNode) forwardNotice(through string, endpoint chiveforward.Target, notice chiverequest.Notice) {
	if notice.Leaving {
		n.members.EndpointLeaves(endpoint.Incarnation)
	}
	n.notices.Forward(through, endpoint.Incarnation, endpoint.Address, notice)
}

// recordWarmUp records how long an endpoint stays cold by its own response, and forwards it to all nodes.
func (n *StoreNode) recordWarmUp(incarnation string, left time.Duration) {
	if !n.pools.StateWarmUp(time.Now(), incarnation, left) {
		return
	}
	chiveevent.WarmUpStated.Log(context.Background(), n.logger, slog.String("endpoint", incarnation), slog.Int64("left_ms", left.Milliseconds()))
	n.notices.ForwardWarmUp(incarnation, left)
}

// recordStart records a request for the usage reports when an endpoint first answers it.
func (n *StoreNode) recordStart(request *chiverequest.Request) {
	if n.usage != nil && request.Team != "" {
		n.usage.RecordStart(request.Team)
	}
}

func (n *StoreNode) register(services []namedService) error {
	for _, s := range services {
		if err := n.kernel.Register(s.name, s.service); err != nil {
			return err
		}
	}
	n.members.OnChange(func(members []chivemember.Member) {
		n.distances.SetMembers(members)
		n.retryBudget.SetNodes(time.Now(), len(members))
		n.sharedRetryBudget.SetMembers(members)
		n.pools.SetNodes(len(members))
		n.pools.SetReportedLeaving(n.members.LeavingEndpoints())
		n.evacuation.SetMembers(members)
		n.rates.SetMembers(members)
		n.relay.SetMembers(members)
		n.notices.SetMembers(members)
		n.grants.SetMembers(members)
		n.loads.SetMembers(members)
		n.gossip.SetMembers(members)
		n.versions.SetMembers(members)
		n.streams.SetMembers(members)
		n.quarantine.SetMembers(members)
		if n.usage != nil {
			n.usage.SetMembers(members)
		}
	})
	return nil
}

// gauges returns the metrics of the node's dependencies and services that /metrics shows.
func (n *StoreNode) gauges(store *chiveplatform.Store, tableFeed, directoryFeed *chivefeed.Follower) []gauge {
	return []gauge{
		{"store_calls", func() float64 { return float64(store.Calls()) }},
		{"store_age_seconds", func() float64 { return tableFeed.Age().Seconds() }},
		{"directory_age_seconds", func() float64 { return directoryFeed.Age().Seconds() }},
		{"repeats_spent", func() float64 { return float64(n.retryBudget.Spent()) }},
		{"repeats_sent", func() float64 { return float64(n.forwarder.Repeated()) }},
		{"repeats_denied", func() float64 { return float64(n.retryBudget.Denied()) }},
		{"responses_late", func() float64 { return float64(n.forwarder.ResponseCounts().Late) }},
		{"responses_other", func() float64 { return float64(n.forwarder.ResponseCounts().Other) }},
		{"responses_unnamed", func() float64 { return float64(n.forwarder.ResponseCounts().Unnamed) }},
		{"responses_unsolicited", func() float64 { return float64(n.forwarder.ResponseCounts().Unsolicited) }},
		{"streams_cut", func() float64 { return float64(n.forwarder.ResponseCounts().CutStreams) }},
		{"places_asked", func() float64 { return float64(n.grants.Counts().Asked) }},
		{"places_granted", func() float64 { return float64(n.grants.Counts().Granted) }},
		{"places_refused", func() float64 { return float64(n.grants.Counts().Refused) }},
		{"places_own_region", func() float64 { return float64(n.pools.CrossingCounts().OwnRegion) }},
		{"places_other_region", func() float64 { return float64(n.pools.CrossingCounts().OtherRegion) }},
		{"places_spilled", func() float64 { return float64(n.pools.CrossingCounts().Spilled) }},
		{"domains_evacuated", func() float64 { return float64(n.evacuation.Counts().Evacuated) }},
		{"domains_evacuated_retained", func() float64 { return float64(n.evacuation.Counts().Retained) }},
		{"attempts_in_evacuated_domains", func() float64 { return float64(n.evacuation.Counts().Running) }},
		{"endpoints_limited", func() float64 { return float64(n.pools.LimitedEndpoints()) }},
		{"endpoints_cold", func() float64 { return float64(n.pools.ColdEndpoints()) }},
		{"endpoints_leaving", func() float64 { return float64(n.pools.NoticeCounts().Leaving) }},
		{"endpoints_resting", func() float64 { return float64(n.pools.NoticeCounts().Resting) }},
		{"streams_recorded", func() float64 { return float64(n.streams.Counts().Records) }},
		{"streams_found", func() float64 { return float64(n.streams.Counts().Found) }},
		{"streams_unknown", func() float64 { return float64(n.streams.Counts().Unknown) }},
		{"streams_unanswered", func() float64 { return float64(n.streams.Counts().Unanswered) }},
		{"streams_stored", func() float64 { return float64(n.streams.Counts().Stored) }},
		{"streams_read_back", func() float64 { return float64(n.streams.Counts().ReadBack) }},
		{"lost_paths", func() float64 { return float64(n.relay.Counts().LostPaths) }},
		{"tunnels", func() float64 { return float64(n.relay.Counts().Tunnels) }},
		{"tunnels_opened", func() float64 { return float64(n.relay.Counts().Opened) }},
		{"tunnel_bytes", func() float64 { return float64(n.relay.Counts().Bytes) }},
		{"permits_granted", func() float64 { return float64(n.rates.Counts().Granted) }},
		{"permits_denied", func() float64 { return float64(n.rates.Counts().Denied) }},
		{"permits_unanswered", func() float64 { return float64(n.rates.Counts().Unanswered) }},
		{"owners_too_far", func() float64 { return float64(n.grants.Counts().Far) }},
		{"owners_silent", func() float64 { return float64(n.grants.Counts().Silent) }},
		{"requests_quarantined", func() float64 { return float64(n.quarantine.Counts().Quarantined) }},
		{"parts_quarantined", func() float64 { return float64(n.quarantine.Counts().Parts) }},
		{"requests_quarantined_refused", func() float64 { return float64(n.quarantine.Counts().Refused) }},
		{"crashes_under_requests", func() float64 { return float64(n.quarantine.Counts().Crashes) }},
		{"table_version", func() float64 { return float64(n.tables.Version()) }},
		{"table_newest_known", func() float64 { return float64(n.tables.Newest()) }},
		{"table_since_seconds", func() float64 { return n.tables.Since().Seconds() }},
		{"table_behind_seconds", func() float64 { return n.tables.Behind().Seconds() }},
		{"table_copies", func() float64 { return float64(n.tables.Counts().Copies) }},
		{"table_copies_unneeded", func() float64 { return float64(n.tables.Counts().Unneeded) }},
		{"directory_offset", func() float64 { return float64(n.directory.Newest().Offset()) }},
		{"store_era", func() float64 { return float64(n.directory.Newest().Era()) }},
		{"lease_held", n.leaseHeld},
		{"lease_token", n.leaseToken},
		{"usage_windows_reported", func() float64 { return float64(n.usageCounts().Reported) }},
		{"usage_windows_omitted", func() float64 { return float64(n.usageCounts().Omitted) }},
		{"usage_windows_refused", func() float64 { return float64(n.usageCounts().Refused) }},
		{"replica_orders_accepted", func() float64 { return float64(n.orderCounts().Accepted) }},
		{"replica_orders_refused", func() float64 { return float64(n.orderCounts().Refused) }},
		{"replica_orders_unanswered", func() float64 { return float64(n.orderCounts().Unanswered) }},
		{"wire_links", func() float64 { return float64(n.mesh.Links()) }},
		{"members", func() float64 { return float64(len(n.members.Members())) }},
	}
}

// leaseToken returns the fencing token of the current tenure, or 0 if this node does not hold the lease.
func (n *StoreNode) leaseToken() float64 {
	if n.lease == nil {
		return 0
	}
	tenure, _ := n.lease.Tenure()
	return float64(tenure.Token)
}

// leaseHeld returns 1 if this node holds the lease, and 0 otherwise.
func (n *StoreNode) leaseHeld() float64 {
	if n.leaseToken() > 0 {
		return 1
	}
	return 0
}

func (n *StoreNode) usageCounts() chiveusage.Counts {
	if n.usage == nil {
		return chiveusage.Counts{}
	}
	return n.usage.Counts()
}

func (n *StoreNode) orderCounts() chivescale.Counts {
	if n.scaling == nil {
		return chivescale.Counts{}
	}
	return n.scaling.Counts()
}

func noWait(bool) time.Duration { return 0 }

// errNoEndpoints is the readiness error of a node that knows no endpoint.
var errNoEndpoints = fmt.Errorf("no endpoint known yet")

// errNoEvacuations is the readiness error of a node that does not know yet which failure domains are evacuated.
var errNoEvacuations = fmt.Errorf("evacuations not known yet")

// NotReady returns why the node must not get new connections yet, or nil.
func (n *StoreNode) NotReady() error {
	if n.tables.Version() < 0 {
		return errNoConfig
	}
	if !n.directory.Knew() {
		return errNoEndpoints
	}
	if !n.evacuation.Known() {
		return errNoEvacuations
	}
	return nil
}

// inFlightByDomain returns the number of attempts in flight by the failure domain of their endpoint.
func (n *StoreNode) inFlightByDomain() map[string]int { return n.forwarder.InFlightByDomain() }

// WatchMemory makes the node refuse new requests while the number of bytes returned by used is close to the settings'
// limit, and bounds the garbage in the process's heap. It must be called before Start, and only if the process runs a
// single node.
func (n *StoreNode) WatchMemory(used func() uint64) { n.memory.setUsageFunc(used) }

// Handler returns the HTTP handler for callers, for use without a listener.
func (n *StoreNode) Handler() http.Handler { return n.entry.Handler() }

// Kernel returns the kernel that holds the node's services.
func (n *StoreNode) Kernel() *chivekernel.Kernel { return n.kernel }

// Start starts every service.
func (n *StoreNode) Start(ctx context.Context) error {
	chiveevent.NodeStarting.Log(ctx, n.logger, slog.String("node", n.settings.Name), slog.String("callers", n.settings.Listen.Callers),
		slog.String("failure_domain", n.settings.FailureDomain), slog.String("store", n.settings.Store))
	if err := n.kernel.Start(ctx); err != nil {
		chiveevent.NodeFailed.Log(ctx, n.logger, slog.String("error", err.Error()))
		return err
	}
	return nil
}

// Stop shuts the node down without interrupting requests, as far as the grace time allows. It reports the node as not
// ready, serves on until the load balancer has stopped sending traffic, and then waits for requests in flight.
func (n *StoreNode) Stop(ctx context.Context) error {
	started := time.Now()
	cut := started.Add(n.settings.Stop.Grace() - stopMargin)
	chiveevent.NodeStopping.Log(ctx, n.logger, slog.Int64("in_flight", n.entry.InFlight()))
	n.ready.Leave()
	n.entry.Leave(cut)
	n.relay.Leave()
	stopCtx, cancel := context.WithDeadline(ctx, cut)
	defer cancel()
	// What other nodes and the store do about the stop must not use up the time for the callers' requests.
	var others sync.WaitGroup
	others.Go(func() { n.announceStop(stopCtx) })
	time.Sleep(min(n.settings.Stop.BalancerRelease(), n.settings.Stop.Grace()/2))
	others.Go(func() { n.relay.Drain(stopCtx) })
	err := n.entry.Stop(stopCtx)
	others.Wait()
	counts := n.entry.StopCounts()
	chiveevent.NodeStopped.Log(ctx, n.logger, slog.String("node", n.settings.Name), slog.Int64("in_flight", n.entry.InFlight()),
		slog.Int64("refused", counts.Refused), slog.Int64("unanswered", counts.Unanswered), slog.Int64("cut", counts.Cut),
		slog.Int64("took_ms", time.Since(started).Milliseconds()))
	return err
}

// announceStop makes the other nodes do without this one.
func (n *StoreNode) announceStop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceStopTimeout)
	defer cancel()
	var announced sync.WaitGroup
	announced.Go(func() { n.members.Leave(ctx) })
	if n.lease != nil {
		announced.Go(func() { n.lease.Release(ctx) })
	}
	announced.Wait()
}

// MemoryLimit returns the soft memory limit for the Go runtime, in bytes.
func MemoryLimit(settings chivesettings.StoreNode) int64 {
	return int64(float64(settings.MemoryMB*megabyte) * memoryLimitShare)
}
