package chiverelay_test

import (
	"context"
	"net"
	"testing"
	"time"

	"chivedrift/chivemember"
)

// Guards against connections that are waited for without end because a peer has closed its connection without a response.
func TestPeerThatClosesWithoutResponse(t *testing.T) {
	e := startEndpoint(t)
	n := startNode(t, e, true)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
			conn.Close()
		}
	}()
	address := listener.Addr().String()
	n.relay.SetMembers([]chivemember.Member{n.member, {Name: "peer", Address: address, RelayAddress: address, Region: "r", FailureDomain: "z", State: chivemember.Alive}})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		_, err := n.relay.Dial(ctx, n.member.Address, e.address)
		done <- err
	}()
	select {
	case err := <-done:
		if err == nil {
			t.Error("connected through a peer that closes")
		}
	case <-time.After(2 * time.Second):
		t.Error("the attempt goes on after the end of its context")
	}
}
