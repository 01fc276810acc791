package chiverelay_test

import (
	"io"
	"testing"
)

// Guards against requests whose first byte a peer takes for the preamble, which is written beside them on a busy machine.
func TestRequestsThroughAPeerArriveUnchanged(t *testing.T) {
	const requests = 400
	e := startEndpoint(t)
	nodes := startNodes(t, e, 1, 2)
	for i := range requests {
		conn, err := nodes[0].dial(t, e.address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "request"); err != nil {
			t.Fatal(err)
		}
		far, data := <-e.conns, make([]byte, len("request"))
		if _, err := io.ReadFull(far, data); err != nil || string(data) != "request" {
			t.Fatalf("request %d: got %q, %v", i, data, err)
		}
		far.Close()
		conn.Close()
	}
}
