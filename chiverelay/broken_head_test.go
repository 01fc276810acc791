package chiverelay_test

import (
	"io"
	"net"
	"testing"

	"chivedrift/chivemember"
)

// Guards against a connection through a peer whose response is none.
func TestBrokenHeadOfAPeerOpensNoConnection(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				io.WriteString(conn, head)
			}
		}()
		e := startEndpoint(t)
		n := startNode(t, e, true)
		address := listener.Addr().String()
		n.relay.SetMembers([]chivemember.Member{n.member, {Name: "peer", Address: address, RelayAddress: address, Region: "r", FailureDomain: "z", State: chivemember.Alive}})
		if _, err := n.dial(t, e.address); err == nil {
			t.Errorf("%q: connected", head)
		}
		listener.Close()
	}
}
