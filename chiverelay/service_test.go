package chiverelay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivemember"
	"chivedrift/chiverelay"
	"chivedrift/chiveresidency"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

const patience = 2 * time.Second

// cutNetwork refuses connections to endpoints while it is cut.
type cutNetwork struct {
	chivewire.TCP
	endpoint string
	cut      atomic.Bool
	// accepted counts the connections that peers have opened.
	accepted *atomic.Int64
	// dials counts the attempts to connect to the endpoint.
	dials atomic.Int64
}

func (n *cutNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.TCP.Listen(address)
	return countingListener{listener, n.accepted}, err
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

func (n *cutNetwork) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	if address == n.endpoint {
		n.dials.Add(1)
		if n.cut.Load() {
			return nil, syscall.ECONNREFUSED
		}
	}
	return n.TCP.Dial(ctx, from, address)
}

// endpoint is a server that hands over its connections.
type endpoint struct {
	address string
	conns   chan net.Conn
}

func startEndpoint(t *testing.T) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startEndpointAt(t, listener)
}

// startEndpointAt starts an endpoint that accepts connections at a listener.
func startEndpointAt(t *testing.T, listener net.Listener) *endpoint {
	t.Helper()
	t.Cleanup(func() { listener.Close() })
	e := &endpoint{address: listener.Addr().String(), conns: make(chan net.Conn, 64)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.conns <- conn
		}
	}()
	return e
}

// accept returns the next connection that carries data, and the data.
func (e *endpoint) accept(t *testing.T, want string) net.Conn {
	t.Helper()
	for {
		select {
		case conn := <-e.conns:
			t.Cleanup(func() { conn.Close() })
			data := make([]byte, len(want))
			if _, err := io.ReadFull(conn, data); err == nil && string(data) == want {
				return conn
			}
		case <-time.After(patience):
			t.Fatal("no connection with the data arrived")
		}
	}
}

// node is one relay with the network below it.
type node struct {
	relay   *chiverelay.Service
	network *cutNetwork
	member  chivemember.Member
	// asked counts the connections of peers.
	asked *atomic.Int64
}

func startNode(t *testing.T, e *endpoint, cut bool) *node {
	t.Helper()
	return startNodeOn(t, e, cut, func(network chivewire.Network) chivewire.Network { return network })
}

// startNodeOn starts a node on a network around the one that may be cut.
func startNodeOn(t *testing.T, e *endpoint, cut bool, around func(chivewire.Network) chivewire.Network) *node {
	t.Helper()
	n := &node{network: &cutNetwork{endpoint: e.address}, asked: &atomic.Int64{}}
	n.network.accepted = n.asked
	n.network.cut.Store(cut)
	address := chivestand.FreeAddress()
	n.relay = chiverelay.New(chiverelay.Options{
		Self: address, Address: address, Network: around(n.network), Region: "r", Regions: chiveresidency.Map{"z": "r", "other": "r2"}, Logger: slog.New(slog.DiscardHandler),
	})
	n.member = chivemember.Member{Name: address, Address: address, RelayAddress: address, Region: "r", FailureDomain: "z", State: chivemember.Alive}
	n.relay.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{{ID: "e", Pool: "p", Address: e.address, FailureDomain: "z"}}})
	if err := n.relay.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.relay.Stop(context.Background()) })
	return n
}

// startNodes starts nodes that know each other, of which the first few are cut off.
func startNodes(t *testing.T, e *endpoint, cutOff, nodes int) []*node {
	t.Helper()
	var all []*node
	var members []chivemember.Member
	for i := range nodes {
		n := startNode(t, e, i < cutOff)
		all, members = append(all, n), append(members, n.member)
	}
	for _, n := range all {
		n.relay.SetMembers(members)
	}
	return all
}

func (n *node) dial(t *testing.T, address string) (net.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	conn, err := n.relay.Dial(ctx, n.member.Address, address)
	if err == nil {
		t.Cleanup(func() { conn.Close() })
	}
	return conn, err
}

// mustDial connects and has the endpoint receive a request.
func (n *node) mustDial(t *testing.T, e *endpoint) (conn, far net.Conn) {
	t.Helper()
	conn, err := n.dial(t, e.address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "request"); err != nil {
		t.Fatal(err)
	}
	return conn, e.accept(t, "request")
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("not within %v: %s", patience, description)
}

// Guards against a node that cannot use the links of its peers, or does not return to its own.
func TestNodeReachesEndpointThroughPeerWhileItIsCutOff(t *testing.T) {
	e := startEndpoint(t)
	nodes := startNodes(t, e, 2, 4)
	cutOff := nodes[0]
	conn, far := cutOff.mustDial(t, e)
	if _, err := io.WriteString(far, "response"); err != nil {
		t.Fatal(err)
	}
	far.Close()
	if got, err := io.ReadAll(conn); string(got) != "response" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
	if counts := cutOff.relay.Counts(); counts.LostPaths != 1 || !cutOff.relay.IsLost(e.address) {
		t.Errorf("lost paths: %d", counts.LostPaths)
	}
	cutOff.network.cut.Store(false)
	eventually(t, "path restored", func() bool { return !cutOff.relay.IsLost(e.address) })
	if stale, ok := conn.(interface{ Stale() bool }); !ok || !stale.Stale() {
		t.Error("the connection through a peer is used for new requests though the path is restored")
	}
}

// Guards against an answer that broke off on the way and is taken for a complete one, and against evidence for a crash of
// the endpoint.
func TestBrokenTunnelIsNoEndOfTheResponse(t *testing.T) {
	for name, breakOff := range map[string]func(t *testing.T, peer *node, far net.Conn){
		"endpoint resets": func(t *testing.T, _ *node, far net.Conn) {
			t.Helper()
			if err := far.(*net.TCPConn).SetLinger(0); err != nil {
				t.Fatal(err)
			}
			far.Close()
		},
		"peer ends": func(t *testing.T, peer *node, _ net.Conn) {
			t.Helper()
			if err := peer.relay.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEndpoint(t)
			nodes := startNodes(t, e, 1, 2)
			conn, far := nodes[0].mustDial(t, e)
			if _, err := io.WriteString(far, "half"); err != nil {
				t.Fatal(err)
			}
			half := make([]byte, 4)
			if _, err := io.ReadFull(conn, half); err != nil {
				t.Fatal(err)
			}
			breakOff(t, nodes[1], far)
			_, err := io.ReadAll(conn)
			if err == nil || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
				t.Errorf("got %v, want an error that says nothing about the endpoint", err)
			}
		})
	}
}

// Guards against an endpoint that works on for a caller that has left a node which is cut off.
func TestCloseReachesTheEndpoint(t *testing.T) {
	e := startEndpoint(t)
	nodes := startNodes(t, e, 1, 2)
	conn, far := nodes[0].mustDial(t, e)
	conn.Close()
	if err := far.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the endpoint read %v, want the end of the connection", err)
	}
	eventually(t, "no tunnel left at the peer", func() bool { return nodes[1].relay.Counts().Tunnels == 0 })
}

// Guards against a planned stop of a peer that cuts a response, and against new requests through it.
func TestLeavingPeerEndsItsTunnels(t *testing.T) {
	e := startEndpoint(t)
	nodes := startNodes(t, e, 1, 2)
	conn, far := nodes[0].mustDial(t, e)
	leaving := nodes[1].member
	leaving.State = chivemember.Leaving
	nodes[0].relay.SetMembers([]chivemember.Member{nodes[0].member, leaving})
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		nodes[1].relay.Drain(ctx)
	}()
	if stale, ok := conn.(interface{ Stale() bool }); !ok || !stale.Stale() {
		t.Error("the connection through a leaving peer is used for new requests")
	}
	if _, err := nodes[0].dial(t, e.address); err == nil {
		t.Error("the leaving peer was asked for a connection")
	}
	select {
	case <-drained:
		t.Error("the peer did not wait for the response")
	case <-time.After(100 * time.Millisecond):
	}
	if _, err := io.WriteString(far, "response"); err != nil {
		t.Fatal(err)
	}
	far.Close()
	if got, err := io.ReadAll(conn); string(got) != "response" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
	<-drained
}

// Guards against requests in regions that may not see them, and against relays of more than one hop.
func TestOnlyPeersInTheEndpointsRegionAreAsked(t *testing.T) {
	e := startEndpoint(t)
	nodes := startNodes(t, e, 1, 2)
	elsewhere := nodes[1].member
	elsewhere.Region = "r2"
	nodes[0].relay.SetMembers([]chivemember.Member{nodes[0].member, elsewhere})
	if _, err := nodes[0].dial(t, e.address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("got %v, want the error of the node's own attempt", err)
	}
	all := startNodes(t, e, 3, 3)
	if _, err := all[0].dial(t, e.address); err == nil {
		t.Error("nodes that are all cut off reached the endpoint")
	}
}

// Guards against an endpoint that has crashed and gets a connection attempt of every node for each of them.
func TestCrashedEndpointIsNotDialledByAllPeers(t *testing.T) {
	e := startEndpoint(t)
	nodes := startNodes(t, e, 8, 8)
	const dials = 20
	for range dials {
		if _, err := nodes[0].dial(t, e.address); err == nil {
			t.Fatal("reached the endpoint")
		}
	}
	others := int64(0)
	for _, n := range nodes[1:] {
		others += n.network.dials.Load()
	}
	if others > 6 {
		t.Errorf("%d connection attempts by peers for %d of the node", others, dials)
	}
}

// Guards against nodes that use up their processors with connection attempts through peers while many endpoints are down.
func TestPeersAreAskedRarelyWhileManyEndpointsAreDown(t *testing.T) {
	e := startEndpoint(t)
	nodes := startNodes(t, e, 2, 2)
	const endpoints = 80
	var diff chivedirectory.Diff
	var addresses []string
	for i := range endpoints {
		address := chivestand.FreeAddress()
		addresses = append(addresses, address)
		diff.Changed = append(diff.Changed, chivedirectory.Endpoint{ID: fmt.Sprintf("down-%d", i), Pool: "p", Address: address, FailureDomain: "z"})
	}
	for _, n := range nodes {
		n.relay.ApplyEndpoints(diff)
	}
	start := time.Now()
	for _, address := range addresses {
		if _, err := nodes[0].dial(t, address); err == nil {
			t.Fatal("reached an endpoint that is down")
		}
	}
	allowed := int64(time.Since(start)/time.Second) + 1
	if asked := nodes[1].asked.Load(); asked > allowed {
		t.Errorf("the peer was asked %d times in %v, allowed %d", asked, time.Since(start), allowed)
	}
}

// Guards against processes that reach endpoints through a node without being one, and against connections to other
// addresses.
func TestOnlyNodesReachOnlyEndpoints(t *testing.T) {
	const (
		relayAddress    = "10.0.0.1:84"
		peerHost        = "10.0.0.2"
		endpointAddress = "10.9.0.1:80"
	)
	network := chivestand.NewNetwork()
	relay := chiverelay.New(chiverelay.Options{Self: relayAddress, Address: relayAddress, Network: network, Region: "r", Logger: slog.New(slog.DiscardHandler)})
	relay.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{{ID: "e", Pool: "p", Address: endpointAddress}}})
	relay.SetMembers([]chivemember.Member{{Name: "b", Address: peerHost + ":82", State: chivemember.Alive}})
	if err := relay.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer relay.Stop(context.Background())
	for _, c := range []struct {
		from, method, path string
		want               int
	}{
		{peerHost, http.MethodPost, "/endpoints/" + endpointAddress, http.StatusBadGateway},
		{"10.0.0.3", http.MethodPost, "/endpoints/" + endpointAddress, http.StatusForbidden},
		{peerHost, http.MethodPost, "/endpoints/10.9.0.2:80", http.StatusNotFound},
		{peerHost, http.MethodPost, "/endpoints/" + relayAddress, http.StatusNotFound},
		{peerHost, http.MethodPost, "/endpoints/", http.StatusNotFound},
		{peerHost, http.MethodPost, "/" + endpointAddress, http.StatusNotFound},
		{peerHost, http.MethodGet, "/endpoints/" + endpointAddress, http.StatusNotFound},
	} {
		transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, c.from+":1", address)
		}}
		request, err := http.NewRequestWithContext(context.Background(), c.method, "http://"+relayAddress+c.path, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != c.want {
			t.Errorf("%s %s from %s: got %d, want %d", c.method, c.path, c.from, response.StatusCode, c.want)
		}
	}
}
