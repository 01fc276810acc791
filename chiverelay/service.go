package chiverelay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivecaller"
	"chivedrift/chivedirectory"
	"chivedrift/chivedistance"
	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivemember"
	"chivedrift/chiveresidency"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "relay"

const (
	// peerBackoff is how long a peer that could not connect is not asked again.
	peerBackoff = 2 * time.Second
	// unreachableBackoff is how long no peer is asked to connect to an endpoint after none could: a crashed endpoint must
	// not get the connection attempts of every node several times over.
	unreachableBackoff = time.Second
	// trialInterval is the time between two endpoints for which peers are asked while none has connected lately: when many
	// endpoints are down, asking for each of them would use up the processors of all nodes.
	trialInterval = time.Second
	// successRetention is how long a peer that has connected counts as proven, and minProven how many proven peers there
	// are before only they are asked first.
	successRetention = 10 * time.Second
	minProven        = 3
	// probeInterval is the time between two attempts to connect to endpoints whose paths are lost.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds such an attempt within a region, and probesPerInterval their number while none succeeds.
	probeTimeout      = 300 * time.Millisecond
	probesPerInterval = 2
	// drainPollInterval is how often Drain checks whether the connections of all peers have ended.
	drainPollInterval = 20 * time.Millisecond
	headerTimeout     = time.Second
)

// Options are the dependencies of the service.
type Options struct {
	// Self is the address from which this node connects to endpoints. Address is where it listens for peers; empty to
	// open no connections for them.
	Self    string
	Address string
	Network chivewire.Network
	// MaxTunnels is the number of connections that this node opens for peers at the same time; zero stands for a default.
	MaxTunnels int
	// Region is this node's region, Regions the region of each failure domain.
	Region  string
	Regions chiveresidency.Map
	// Distances are the distances to the peers and endpoints; nil in a deployment in one region.
	Distances *chivedistance.Table
	// Accepts reports whether the endpoint at an address takes requests of this node, and so of peers through it; nil means
	// that all do.
	Accepts func(address string) bool
	// Full reports whether the node has no memory for another connection; nil means never.
	Full   func() bool
	Logger *slog.Logger
}

// backoffKey identifies a peer, and an endpoint that it could not connect to; an empty address stands for all endpoints, and
// an empty peer for all peers.
type backoffKey struct{ peer, address string }

// Service is a network that reaches endpoints directly or through a peer, and opens connections for peers.
type Service struct {
	options   Options
	server    *chivewire.HTTPServer
	conns     *chivecaller.Conns
	leaving   atomic.Bool
	transport http.RoundTripper
	paths     *endpointPaths
	tunnels   atomic.Int64
	opened    atomic.Int64
	relayed   atomic.Int64
	duties    chivekernel.Duties

	mu           sync.Mutex
	members      []chivemember.Member
	memberHosts  map[string]bool
	backoffUntil map[backoffKey]time.Time
	// provenAt is when a peer last connected to an endpoint.
	provenAt map[string]time.Time
	// users counts the connections that are open for peers, by the endpoint's address and the peer's.
	users map[string]map[string]int
	// nextTrialAt is when peers may be asked again while none is proven.
	nextTrialAt time.Time
}

// New returns a service without peers and endpoints.
func New(o Options) *Service {
	s := &Service{options: o, conns: chivecaller.NewConns(), paths: newEndpointPaths(), backoffUntil: make(map[backoffKey]time.Time), provenAt: make(map[string]time.Time), users: make(map[string]map[string]int)}
	s.transport = chivewire.CheckHeads(&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return o.Network.Dial(ctx, o.Address, address)
		},
		DisableCompression: true, DisableKeepAlives: true, MaxResponseHeaderBytes: chivewire.MaxHeadBytes,
	})
	s.server = chivewire.NewHTTPServer(&http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(o.Logger.Handler(), slog.LevelDebug),
		ConnState: s.conns.ConnState,
	})
	return s
}

// Listen accepts connections at an IP:port address.
func (s *Service) Listen(address string) (net.Listener, error) {
	return s.options.Network.Listen(address)
}

// Start begins to listen for peers and to look for paths that work again.
func (s *Service) Start(ctx context.Context) error {
	if s.options.Address != "" {
		if err := s.server.Start(s.conns.On(s.options.Network), s.options.Address); err != nil {
			return fmt.Errorf("relay: %w", err)
		}
	}
	s.duties.Begin(ctx, s.probe)
	return nil
}

// Leave makes this node refuse to open connections for peers, which then ask others. Those that are open are kept.
func (s *Service) Leave() { s.leaving.Store(true) }

// Drain waits until the connections of all peers have ended, until the context ends. Those peers close the ones that they
// do not use once they know that this node is leaving.
func (s *Service) Drain(ctx context.Context) {
	s.Leave()
	for s.conns.CloseRest() > 0 && ctx.Err() == nil {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
}

// Stop closes all connections.
func (s *Service) Stop(context.Context) error {
	s.duties.End()
	if s.options.Address == "" {
		return nil
	}
	if err := s.server.Close(); err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	return nil
}

// Dump returns the endpoints that this node cannot connect to itself, and what it does for its peers.
func (s *Service) Dump() any {
	counts := s.Counts()
	return struct {
		Lost    []string `json:"lost_paths"`
		Tunnels int64    `json:"tunnels"`
		Opened  int64    `json:"opened"`
		Bytes   int64    `json:"bytes"`
	}{s.paths.takeLost(shownPaths), counts.Tunnels, counts.Opened, counts.Bytes}
}

// shownPaths is the number of lost paths in a state dump.
const shownPaths = 32

// Counts are numbers of the service since the start of the process.
type Counts struct {
	// LostPaths is the number of endpoints that this node cannot connect to itself now.
	LostPaths int
	// Tunnels is the number of connections that are open for peers now, Opened the number of all, Bytes what they carried.
	Tunnels int64
	Opened  int64
	Bytes   int64
}

// Counts returns the current numbers.
func (s *Service) Counts() Counts {
	return Counts{LostPaths: s.paths.lostCount(), Tunnels: s.tunnels.Load(), Opened: s.opened.Load(), Bytes: s.relayed.Load()}
}

// ApplyEndpoints applies a change of the directory.
func (s *Service) ApplyEndpoints(diff chivedirectory.Diff) { s.paths.apply(diff) }

// IsLost reports whether this node cannot connect to an endpoint's address itself.
func (s *Service) IsLost(address string) bool {
	_, lost, _ := s.paths.find(address)
	return lost
}

// SetMembers applies a membership change.
func (s *Service) SetMembers(members []chivemember.Member) {
	hosts := make(map[string]bool, len(members))
	for _, m := range members {
		if host, _, err := net.SplitHostPort(m.Address); err == nil {
			hosts[host] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members, s.memberHosts = members, hosts
}

// ConnectedFor returns the addresses of the peers for which connections to an endpoint's address are open.
func (s *Service) ConnectedFor(address string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.users[address]))
}

// addUser counts a connection to an endpoint that is open for the peer at a remote address, until remove is called.
func (s *Service) addUser(remote, address string) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer := s.memberAt(remote)
	if peer == "" {
		return func() {}
	}
	if s.users[address] == nil {
		s.users[address] = make(map[string]int)
	}
	s.users[address][peer]++
	return func() { s.removeUser(peer, address) }
}

func (s *Service) removeUser(peer, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.users[address][peer]--; s.users[address][peer] == 0 {
		delete(s.users[address], peer)
	}
	if len(s.users[address]) == 0 {
		delete(s.users, address)
	}
}

// memberAt returns the address of the member whose VM has a remote address; empty if there is none. The caller holds the
// lock.
func (s *Service) memberAt(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return ""
	}
	for _, m := range s.members {
		if memberHost, _, err := net.SplitHostPort(m.Address); err == nil && memberHost == host {
			return m.Address
		}
	}
	return ""
}

// isMemberHost reports whether an address is on the VM of a member. Loopback addresses are on this node's own VM.
func (s *Service) isMemberHost(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memberHosts[host] || net.ParseIP(host).IsLoopback()
}

// isAlive reports whether a peer is a member that takes new work.
func (s *Service) isAlive(peer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.members, func(m chivemember.Member) bool { return m.Address == peer && m.State == chivemember.Alive })
}

// peersFor returns the peers to ask for a connection to an endpoint, in the order in which to ask them. They are in the
// endpoint's region, where the request is allowed to be.
func (s *Service) peersFor(failureDomain, address string) []chivemember.Member {
	region, ok := s.options.Regions[failureDomain]
	if !ok {
		region = s.options.Region
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.backoffUntil[backoffKey{address: address}]) || !s.mayTry(now) {
		return nil
	}
	var peers []chivemember.Member
	for _, m := range s.members {
		isOther := m.State == chivemember.Alive && m.RelayAddress != "" && m.RelayAddress != s.options.Address
		if isOther && m.Region == region && !s.isInBackoff(now, m.Address, address) {
			peers = append(peers, m)
		}
	}
	s.sortPeers(now, peers, failureDomain)
	return peers[:min(len(peers), maxPeers)]
}

// mayTry reports whether peers may be asked for a connection; the caller holds the lock.
func (s *Service) mayTry(now time.Time) bool {
	for _, at := range s.provenAt {
		if now.Sub(at) < successRetention {
			return true
		}
	}
	if now.Before(s.nextTrialAt) {
		return false
	}
	s.nextTrialAt = now.Add(trialInterval)
	return true
}

// isInBackoff reports whether a peer has just failed to connect to an endpoint; the caller holds the lock.
func (s *Service) isInBackoff(now time.Time, peer, address string) bool {
	return now.Before(s.backoffUntil[backoffKey{peer, address}]) || now.Before(s.backoffUntil[backoffKey{peer: peer}])
}

// sortPeers sorts peers at random, but first those in the endpoint's failure domain, since the way through them leaves
// this node's domain only once. The first or second one has proven that it connects to endpoints, if there is one: many
// peers may be cut off themselves. The caller holds the lock.
func (s *Service) sortPeers(now time.Time, peers []chivemember.Member, failureDomain string) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b chivemember.Member) int {
		return compareBool(b.FailureDomain == failureDomain, a.FailureDomain == failureDomain)
	})
	isProven := func(m chivemember.Member) bool { return now.Sub(s.provenAt[m.Address]) < successRetention }
	count := 0
	for _, m := range peers {
		if isProven(m) {
			count++
		}
	}
	at := slices.IndexFunc(peers, isProven)
	if at < 0 {
		return
	}
	proven, first := peers[at], 1
	if count >= minProven {
		first = 0
	}
	if at > first {
		copy(peers[first+1:at+1], peers[first:at])
		peers[first] = proven
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// recordPeerFailure starts a backoff: for the endpoint if the peer could not connect to it, else for all endpoints.
func (s *Service) recordPeerFailure(peer chivemember.Member, address string, err error) {
	var refused *peerError
	key := backoffKey{peer: peer.Address}
	if errors.As(err, &refused) && refused.status == http.StatusBadGateway {
		key.address = address
	}
	s.backOff(key, peerBackoff)
}

// recordUnreachable starts a backoff for an endpoint that no peer could connect to.
func (s *Service) recordUnreachable(address string) {
	s.backOff(backoffKey{address: address}, unreachableBackoff)
}

func (s *Service) backOff(key backoffKey, duration time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.backoffUntil, func(_ backoffKey, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(s.provenAt, func(_ string, at time.Time) bool { return now.Sub(at) >= successRetention })
	s.backoffUntil[key] = now.Add(duration)
}

func (s *Service) recordPeerSuccess(peer chivemember.Member, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.provenAt[peer.Address] = time.Now()
	delete(s.backoffUntil, backoffKey{peer.Address, address})
	delete(s.backoffUntil, backoffKey{peer: peer.Address})
}

// losePath records that this node could not connect to an endpoint, but a peer could.
func (s *Service) losePath(address string) {
	if count, changed := s.paths.setLost(address, true); changed && count == 1 {
		chiveevent.PathsLost.Log(context.Background(), s.options.Logger, slog.String("address", address))
	}
}

// restorePath records that this node connected to an endpoint itself.
func (s *Service) restorePath(address string) {
	if count, changed := s.paths.setLost(address, false); changed && count == 0 {
		chiveevent.PathsRestored.Log(context.Background(), s.options.Logger, slog.String("address", address))
	}
}

// probe looks for lost paths that work again. After a success it goes on at once with other paths.
func (s *Service) probe(ctx context.Context) {
	chivekernel.Every(ctx, probeInterval, func(time.Time) {
		for failed := 0; failed < probesPerInterval && ctx.Err() == nil; {
			lost := s.paths.takeLost(1)
			if len(lost) == 0 {
				return
			}
			if !s.probePath(ctx, lost[0]) {
				failed++
			}
		}
	})
}

// probePath reports whether this node can connect to an endpoint itself.
func (s *Service) probePath(ctx context.Context, address string) bool {
	failureDomain, _, _ := s.paths.find(address)
	ctx, cancel := context.WithTimeout(ctx, s.options.Distances.WaitForDomain(failureDomain, probeTimeout, 1))
	defer cancel()
	conn, err := s.options.Network.Dial(ctx, s.options.Self, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	s.restorePath(address)
	return true
}
