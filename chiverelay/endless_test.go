package chiverelay_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"chivedrift/chivemember"
	"chivedrift/chivestand"
)

// Guards against a peer whose response has a head without end, of which a node keeps megabytes.
func TestHeadWithoutEndOfAPeerIsBrokenOff(t *testing.T) {
	// most is what the node may read and what stands in the buffers of the connection.
	const most = 8 << 20
	var sent atomic.Int64
	address, ended := chivestand.FreeAddress(), make(chan struct{})
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		field := []byte("Some-Field: " + strings.Repeat("x", 4<<10) + "\r\n")
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"); err != nil {
			return
		}
		for sent.Load() < 2*most {
			n, err := conn.Write(field)
			if err != nil {
				return
			}
			sent.Add(int64(n))
		}
	}()
	e := startEndpoint(t)
	n := startNode(t, e, true)
	n.relay.SetMembers([]chivemember.Member{n.member, {Name: address, Address: address, RelayAddress: address, Region: "r", FailureDomain: "z", State: chivemember.Alive}})
	if _, err := n.dial(t, e.address); err == nil {
		t.Error("connected through a peer without a response")
	}
	<-ended
	if sent.Load() == 0 || sent.Load() > most {
		t.Errorf("the peer sent %d bytes, want at most %d", sent.Load(), most)
	}
}
