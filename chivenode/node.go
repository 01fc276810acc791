package chivenode

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"chivedrift/chiveadmin"
	"chivedrift/chiveclaim"
	"chivedrift/chiveconfig"
	"chivedrift/chivedispatch"
	"chivedrift/chiveevent"
	"chivedrift/chivefollow"
	"chivedrift/chivegate"
	"chivedrift/chivehealth"
	"chivedrift/chivekernel"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chivemetric"
	"chivedrift/chiveorder"
	"chivedrift/chivequarantine"
	"chivedrift/chivequota"
	"chivedrift/chiveschedule"
	"chivedrift/chivesettings"
	"chivedrift/chivewire"
)

const (
	metricsName  = "metrics"
	wireName     = "wire"
	logName      = "log"
	servicesName = "services"
)

var (
	// errNoConfig is the readiness error of a node without configuration.
	errNoConfig = errors.New("no configuration in force yet")
	// errStarting is the readiness error of a node that is still starting its services.
	errStarting = errors.New("not all services have started yet")
)

// Node is a router node that reads its configuration from the platform's log.
type Node struct {
	settings chivesettings.Settings
	logger   *slog.Logger
	kernel   *chivekernel.Kernel
	mesh     *chivewire.Mesh
	members  *chivemember.Service
	follower *chivefollow.Follower
	gate     *chivegate.Gate
	admin    *chiveadmin.Admin
	memory   *memoryGuard
	started  atomic.Bool
}

// New returns a node with the given settings that uses the given network.
func New(settings chivesettings.Settings, network chivewire.Network, logger *slog.Logger) (*Node, error) {
	n := &Node{settings: settings, logger: logger, kernel: chivekernel.New()}
	if err := n.assemble(network); err != nil {
		return nil, err
	}
	return n, nil
}

// assemble creates the services, registers them in start order and connects the change listeners.
func (n *Node) assemble(network chivewire.Network) error {
	s := n.settings
	incarnation := time.Now().UnixMilli()
	identity := fmt.Sprintf("%s/%d", s.Name, incarnation)
	log := newLogService(s, network)
	metrics := chivemetric.New()
	n.mesh = chivewire.NewMesh(s.Listen.Peers, network)
	n.members = chivemember.NewService(n.self(incarnation), n.mesh, log, n.logger)
	n.follower = chivefollow.New(chivefollow.Options{
		Site: s.Site, Self: s.Name, Retention: time.Duration(s.Platform.LogRetentionS) * time.Second,
		Log: log, Mesh: n.mesh, Members: n.members, Logger: n.logger,
	})
	memoryBytes := processMemory(s.MemoryMB)
	bounds := callerBounds(memoryBytes, processDescriptors(s.MaxDescriptors))
	n.memory = newMemoryGuard(memoryBytes, bounds.Memory, n.logger)
	schedulerClient := chiveschedule.NewClient(s.Region, n.mesh, n.logger)
	claimClient := chiveclaim.NewClient(identity, n.mesh)
	quota := chivequota.NewService(n.mesh)
	quarantine := chivequarantine.New(chivequarantine.Options{Mesh: n.mesh, Logger: n.logger})
	dispatcher := chivedispatch.New(s.Listen.Callers, chivewire.Bounded(network, bounds.Receive), schedulerClient, n.members, quarantine, n.logger)
	services := chivedispatch.NewServices(dispatcher, s.Region)
	quarantine.OnFailure(func(failure chivehealth.Failure) (alive time.Time) {
		if alive = dispatcher.PeerFailure(failure); alive.IsZero() {
			alive = services.PeerFailure(failure)
		}
		return alive
	})
	quarantine.OnCrash(func(failure chivehealth.Failure) {
		dispatcher.PeerCrash(failure)
		services.PeerCrash(failure)
	})
	n.gate = chivegate.New(chivegate.Options{
		Node: s.Name, Address: s.Listen.Callers, Network: network, Models: dispatcher, Services: services, Claims: claimClient, Quota: quota,
		InForce: n.follower.InForce, Full: n.memory.Full, Bounds: bounds, Scope: metrics.Scope(), Logger: n.logger,
	})
	n.admin = chiveadmin.New(chiveadmin.Options{
		Address: s.Listen.Admin, Network: network, Metrics: metrics.Handler(), State: n.kernel.Dump, Ready: n.ready, Explain: n.gate.Explain,
	})
	process, callers := newProcess(), newCallerReport(bounds, n.gate, n.logger)
	err := n.register([]namedService{
		{processName, process},
		{memoryName, n.memory},
		{callersName, callers},
		{metricsName, metrics},
		{logName, log},
		{wireName, n.mesh},
		{gaugeReporterName, newGaugeReporter(metrics.Scope(), n.mesh, process, callers.gauges()...)},
		{chivemember.ServiceName, n.members},
		{chivefollow.ServiceName, n.follower},
		{chiveschedule.OwnerName, chiveschedule.NewOwner(n.mesh, n.logger)},
		{chiveschedule.ClientName, schedulerClient},
		{chiveclaim.WriterName, chiveclaim.NewWriter(log, n.mesh, n.logger)},
		{chiveclaim.ClientName, claimClient},
		{chivequota.ServiceName, quota},
		{chivequarantine.ServiceName, quarantine},
		{chiveorder.ServiceName, chiveorder.NewService(identity, s.Listen.Peers, network, log, n.logger)},
		{chivedispatch.ServiceName, dispatcher},
		{servicesName, services},
		{chiveadmin.ServiceName, n.admin},
		{chivegate.ServiceName, n.gate},
	})
	n.connectListeners()
	return err
}

// self returns this node's entry in the membership list.
func (n *Node) self(incarnation int64) chivemember.Member {
	s := n.settings
	return chivemember.Member{
		Name: s.Name, Address: s.Listen.Peers, AdminAddress: s.Listen.Admin, Region: s.Region, FailureDomain: s.FailureDomain, Incarnation: incarnation,
	}
}

// configListener is implemented by services that need each configuration that takes effect.
type configListener interface {
	SetConfig(config *chiveconfig.Config)
}

// memberListener is implemented by services that need each change of the membership list.
type memberListener interface {
	SetMembers(members []chivemember.Member)
}

// leavingListener is implemented by services that need the addresses of draining endpoints, which accept no new work.
type leavingListener interface {
	SetLeaving(addresses []string)
}

// connectListeners passes changes to every registered service that implements the matching listener, in start order.
func (n *Node) connectListeners() {
	configListeners := chivekernel.Offering[configListener](n.kernel)
	memberListeners := chivekernel.Offering[memberListener](n.kernel)
	leavingListeners := chivekernel.Offering[leavingListener](n.kernel)
	n.follower.OnChange(func(f *chivefollow.InForce) {
		for _, l := range configListeners {
			l.SetConfig(f.Config())
		}
	})
	n.members.OnChange(func(members []chivemember.Member) {
		for _, l := range memberListeners {
			l.SetMembers(members)
		}
		leaving := n.members.LeavingEndpoints()
		for _, l := range leavingListeners {
			l.SetLeaving(leaving)
		}
	})
}

type namedService struct {
	name    string
	service chivekernel.Service
}

func (n *Node) register(services []namedService) error {
	for _, s := range services {
		if err := n.kernel.Register(s.name, s.service); err != nil {
			return err
		}
	}
	return nil
}

// WatchMemory makes the node refuse new requests while the number of bytes returned by used is close to the process's memory, and bounds
// the garbage in the process's heap. It must be called before Start, and only if the process runs a single node.
func (n *Node) WatchMemory(used func() uint64) { n.memory.setUsageFunc(used) }

// MemoryLimit returns the soft memory limit for the Go runtime, in bytes.
func (n *Node) MemoryLimit() int64 { return int64(memoryLimitShare * n.memory.limit) }

// Kernel returns the kernel that holds the node's services.
func (n *Node) Kernel() *chivekernel.Kernel { return n.kernel }

// Start starts every service.
func (n *Node) Start(ctx context.Context) error {
	chiveevent.NodeStarting.Log(ctx, n.logger, slog.String("node", n.settings.Name), slog.String("callers", n.settings.Listen.Callers))
	if err := n.kernel.Start(ctx); err != nil {
		chiveevent.NodeFailed.Log(ctx, n.logger, slog.String("error", err.Error()))
		return err
	}
	n.started.Store(true)
	return nil
}

// ready returns why the node must not receive traffic yet, or nil. It has to check that all services have started,
// because the admin server, which answers readiness checks, starts before the listener for callers.
func (n *Node) ready() error {
	if !n.started.Load() {
		return errStarting
	}
	if n.follower.InForce() == nil {
		return errNoConfig
	}
	return nil
}

// AwaitReady waits until the node has started and has a configuration, or until the context ends.
func (n *Node) AwaitReady(ctx context.Context) error {
	for n.ready() != nil {
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("node %s: %w", n.settings.Name, n.ready())
		}
	}
	chiveevent.NodeReady.Log(ctx, n.logger, slog.String("node", n.settings.Name))
	return nil
}

const readyPollInterval = 20 * time.Millisecond

// Stop shuts the node down without interrupting requests. It reports the node as not ready and as leaving, so that
// its shards are handed over, serves on until the load balancer has stopped sending traffic, and then waits for all
// requests in flight without a time limit.
func (n *Node) Stop(ctx context.Context) error {
	chiveevent.NodeStopping.Log(ctx, n.logger, slog.Int64("in_flight", n.gate.InFlight()))
	n.admin.Leave()
	n.gate.Leave()
	n.members.Leave(ctx)
	time.Sleep(time.Duration(n.settings.Stop.BalancerReleaseMs) * time.Millisecond)
	err := n.kernel.Stop(ctx)
	chiveevent.NodeStopped.Log(ctx, n.logger, slog.String("node", n.settings.Name))
	return err
}

// logService registers the client of the platform's log as a service.
type logService struct {
	*chivelog.Client
	transport *http.Transport
}

func newLogService(s chivesettings.Settings, network chivewire.Network) *logService {
	transport := &http.Transport{
		DialContext:         chivewire.Dialer(network, s.Listen.Peers),
		MaxIdleConnsPerHost: logMaxIdleConns, IdleConnTimeout: logIdleTimeout, MaxResponseHeaderBytes: chivewire.MaxHeadBytes,
	}
	return &logService{Client: chivelog.NewClient(s.Platform.Log, s.Platform.VMList, chivewire.CheckHeads(transport)), transport: transport}
}

const (
	logMaxIdleConns = 4
	logIdleTimeout  = 30 * time.Second
)

// Start does nothing, because calls run on their callers' goroutines.
func (l *logService) Start(context.Context) error { return nil }

// Stop closes idle connections.
func (l *logService) Stop(context.Context) error {
	l.transport.CloseIdleConnections()
	return nil
}

// Dump returns the numbers of calls made.
func (l *logService) Dump() any { return l.Counts() }
