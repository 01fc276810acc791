package chiverelay_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"chivedrift/chivemember"
	"chivedrift/chivewire"
)

const writeTime = 100 * time.Millisecond

// slowNetwork is a network on which each write to an accepted connection takes writeTime.
type slowNetwork struct{ chivewire.Network }

func (n slowNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.Network.Listen(address)
	return slowListener{listener}, err
}

type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(data []byte) (int, error) {
	time.Sleep(writeTime)
	return c.Conn.Write(data)
}

// Guards against a response through a peer that ends without its last bytes, since the peer's planned stop ended before
// they were written.
func TestLeavingPeerWritesTheEndOfAResponse(t *testing.T) {
	e := startEndpoint(t)
	cutOff := startNode(t, e, true)
	peer := startNodeOn(t, e, false, func(network chivewire.Network) chivewire.Network { return slowNetwork{network} })
	for _, n := range []*node{cutOff, peer} {
		n.relay.SetMembers([]chivemember.Member{cutOff.member, peer.member})
	}
	conn, far := cutOff.mustDial(t, e)
	if _, err := io.WriteString(far, "response"); err != nil {
		t.Fatal(err)
	}
	far.Close()
	peer.relay.Drain(context.Background())
	if err := peer.relay.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	if got, err := io.ReadAll(conn); string(got) != "response" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// Guards against connections through a peer that is about to end, which would cut the requests on them. A node that does
// not know yet that the peer is leaving takes the way through another one.
func TestLeavingPeerOpensNoConnections(t *testing.T) {
	e := startEndpoint(t)
	nodes := startNodes(t, e, 1, 2)
	cutOff, leaving := nodes[0], nodes[1]
	conn, far := cutOff.mustDial(t, e)
	leaving.relay.Leave()
	if _, err := cutOff.dial(t, e.address); err == nil {
		t.Error("the leaving peer opened a connection")
	}
	if _, err := io.WriteString(far, "response"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, len("response"))); err != nil {
		t.Errorf("the connection that was open: %v", err)
	}
	const dials = 8
	other, staying := startNode(t, e, true), startNode(t, e, false)
	for _, n := range []*node{other, leaving, staying} {
		n.relay.SetMembers([]chivemember.Member{other.member, leaving.member, staying.member})
	}
	for range dials {
		if _, err := other.dial(t, e.address); err != nil {
			t.Errorf("beside a leaving peer: %v", err)
		}
	}
	if opened := staying.relay.Counts().Opened; opened != dials {
		t.Errorf("the peer that stays opened %d connections, want %d", opened, dials)
	}
}

// Guards against an endpoint that counts as unreachable since all peers that were asked are leaving.
func TestPeersThatRefuseSayNothingAboutTheEndpoint(t *testing.T) {
	e := startEndpoint(t)
	nodes := startNodes(t, e, 1, 2)
	cutOff, leaving := nodes[0], nodes[1]
	if _, err := cutOff.dial(t, e.address); err != nil {
		t.Fatal(err)
	}
	leaving.relay.Leave()
	if _, err := cutOff.dial(t, e.address); err == nil {
		t.Error("the leaving peer opened a connection")
	}
	staying := startNode(t, e, false)
	for _, n := range []*node{cutOff, staying} {
		n.relay.SetMembers([]chivemember.Member{cutOff.member, leaving.member, staying.member})
	}
	if _, err := cutOff.dial(t, e.address); err != nil {
		t.Errorf("beside a peer that stays: %v", err)
	}
}
