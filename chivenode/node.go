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
	// errNoConfig is why a node without configuration is not ready.
	errNoConfig = errors.New("no configuration in force yet")
	// errStarting is why a node is not ready of which not all services have started.
	errStarting = errors.New("not all services have started yet")
)

// Node is one process between callers and endpoints.
type Node struct {
	settings chivesettings.Settings
	logger   *slog.Logger
	kernel   *chivekernel.Kernel
	mesh     *chivewire.Mesh
	members  *chivemember.Service
	follower *chivefollow.Follower
	gate     *chivegate.Gate
	admin    *chiveadmin.Admin
	started  atomic.Bool
}

// New puts a node together from its settings, on a network.
func New(settings chivesettings.Settings, network chivewire.Network, logger *slog.Logger) (*Node, error) {
	n := &Node{settings: settings, logger: logger, kernel: chivekernel.New()}
	if err := n.assemble(network); err != nil {
		return nil, err
	}
	return n, nil
}

// assemble makes the services, registers them in the order they start and connects those that follow changes.
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
	slots := chiveschedule.NewClient(s.Region, n.mesh, n.logger)
	claims := chiveclaim.NewClient(identity, n.mesh)
	quota := chivequota.NewService(n.mesh)
	quarantine := chivequarantine.New(chivequarantine.Options{Mesh: n.mesh, Logger: n.logger})
	dispatcher := chivedispatch.New(s.Listen.Callers, network, slots, n.members, quarantine, n.logger)
	services := chivedispatch.NewServices(dispatcher, s.Region)
	quarantine.OnFailure(func(failure chivehealth.Failure) (alive time.Time) {
		if alive = dispatcher.PeerFailure(failure); alive.IsZero() {
			alive = services.PeerFailure(failure)
		}
		return alive
	})
	n.gate = chivegate.New(chivegate.Options{
		Node: s.Name, Address: s.Listen.Callers, Network: network, Models: dispatcher, Services: services, Claims: claims, Quota: quota,
		InForce: n.follower.InForce, Scope: metrics.Scope(), Logger: n.logger,
	})
	n.admin = chiveadmin.New(chiveadmin.Options{
		Address: s.Listen.Admin, Network: network, Metrics: metrics.Handler(), State: n.kernel.Dump, Ready: n.ready, Explain: n.gate.Explain,
	})
	process := newProcess()
	err := n.register([]named{
		{processName, process},
		{metricsName, metrics},
		{logName, log},
		{wireName, n.mesh},
		{accountName, newAccount(metrics.Scope(), n.mesh, process)},
		{chivemember.ServiceName, n.members},
		{chivefollow.ServiceName, n.follower},
		{chiveschedule.OwnerName, chiveschedule.NewOwner(n.mesh, n.logger)},
		{chiveschedule.ClientName, slots},
		{chiveclaim.WriterName, chiveclaim.NewWriter(log, n.mesh, n.logger)},
		{chiveclaim.ClientName, claims},
		{chivequota.ServiceName, quota},
		{chivequarantine.ServiceName, quarantine},
		{chiveorder.ServiceName, chiveorder.NewService(identity, s.Listen.Peers, network, log, n.logger)},
		{chivedispatch.ServiceName, dispatcher},
		{servicesName, services},
		{chiveadmin.ServiceName, n.admin},
		{chivegate.ServiceName, n.gate},
	})
	n.connect()
	return err
}

// self is this node as the others come to know it.
func (n *Node) self(incarnation int64) chivemember.Member {
	s := n.settings
	return chivemember.Member{
		Name: s.Name, Address: s.Listen.Peers, AdminAddress: s.Listen.Admin, Region: s.Region, FailureDomain: s.FailureDomain, Incarnation: incarnation,
	}
}

// configListener is a service that takes each configuration that comes into force.
type configListener interface {
	SetConfig(config *chiveconfig.Config)
}

// memberListener is a service that takes each change of the fleet.
type memberListener interface {
	SetMembers(members []chivemember.Member)
}

// leavingListener is a service that takes the addresses of endpoints that take no new work.
type leavingListener interface {
	SetLeaving(addresses []string)
}

// connect tells changes to every registered service that listens to them, in the order they start.
func (n *Node) connect() {
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

type named struct {
	name    string
	service chivekernel.Service
}

func (n *Node) register(services []named) error {
	for _, s := range services {
		if err := n.kernel.Register(s.name, s.service); err != nil {
			return err
		}
	}
	return nil
}

// Kernel returns the node's services by name.
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

// ready returns why the node should get no traffic yet, or nil. The operators' address is served before the callers'.
func (n *Node) ready() error {
	if !n.started.Load() {
		return errStarting
	}
	if n.follower.InForce() == nil {
		return errNoConfig
	}
	return nil
}

// AwaitReady waits until the node has a configuration.
func (n *Node) AwaitReady(ctx context.Context) error {
	for n.ready() != nil {
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return fmt.Errorf("node %s: %w", n.settings.Name, n.ready())
		}
	}
	chiveevent.NodeReady.Log(ctx, n.logger, slog.String("node", n.settings.Name))
	return nil
}

const readyPoll = 20 * time.Millisecond

// Stop is the planned stop: not ready first, serving on until the balancer has let go, shards handed over, then every
// request in flight finished, whatever its length.
func (n *Node) Stop(ctx context.Context) error {
	chiveevent.NodeStopping.Log(ctx, n.logger, slog.Int64("in_flight", n.gate.InFlight()))
	n.admin.Leave()
	n.members.Leave(ctx)
	time.Sleep(time.Duration(n.settings.Stop.BalancerReleaseMs) * time.Millisecond)
	err := n.kernel.Stop(ctx)
	chiveevent.NodeStopped.Log(ctx, n.logger, slog.String("node", n.settings.Name))
	return err
}

// logService is the platform's log as a service of the kernel.
type logService struct {
	*chivelog.Client
	transport *http.Transport
}

func newLogService(s chivesettings.Settings, network chivewire.Network) *logService {
	transport := &http.Transport{
		DialContext:         chivewire.Dialer(network, s.Listen.Peers),
		MaxIdleConnsPerHost: logConnections, IdleConnTimeout: logIdle,
	}
	return &logService{Client: chivelog.NewClient(s.Platform.Log, s.Platform.VMList, transport), transport: transport}
}

const (
	logConnections = 4
	logIdle        = 30 * time.Second
)

// Start does nothing: calls run on their callers' goroutines.
func (l *logService) Start(context.Context) error { return nil }

// Stop closes idle connections.
func (l *logService) Stop(context.Context) error {
	l.transport.CloseIdleConnections()
	return nil
}

// Dump returns how many calls were made.
func (l *logService) Dump() any { return l.Counts() }
