package chiverelay_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"chivedrift/chivedirectory"
	"chivedrift/chivemember"
	"chivedrift/chiverelay"
	"chivedrift/chivestand"
)

// BenchmarkRequest measures a plain request and its response of 800 bytes, over an open connection and over a new one,
// directly and through a peer; node and peer are in one process.
func BenchmarkRequest(b *testing.B) {
	body := make([]byte, 800)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	defer server.Close()
	address := server.Listener.Addr().String()
	for _, c := range []struct {
		name           string
		relayed, fresh bool
	}{{"direct/open", false, false}, {"relayed/open", true, false}, {"direct/new", false, true}, {"relayed/new", true, true}} {
		b.Run(c.name, func(b *testing.B) {
			node := startBenchNodes(b, address, c.relayed)
			transport := &http.Transport{DisableKeepAlives: c.fresh, DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
				return node.Dial(ctx, "", to)
			}}
			defer transport.CloseIdleConnections()
			for b.Loop() {
				request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL, http.NoBody)
				if err != nil {
					b.Fatal(err)
				}
				response, err := transport.RoundTrip(request)
				if err != nil {
					b.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, response.Body); err != nil || n != int64(len(body)) {
					b.Fatalf("%d bytes, %v", n, err)
				}
				response.Body.Close()
			}
		})
	}
}

// startBenchNodes starts a node, cut off from the endpoint or not, and a peer.
func startBenchNodes(b *testing.B, endpoint string, cutOff bool) *chiverelay.Service {
	b.Helper()
	var services []*chiverelay.Service
	var members []chivemember.Member
	for i := range 2 {
		network := &cutNetwork{endpoint: endpoint, accepted: &atomic.Int64{}}
		network.cut.Store(cutOff && i == 0)
		address := chivestand.FreeAddress()
		s := chiverelay.New(chiverelay.Options{Self: address, Address: address, Network: network, Region: "r", Logger: slog.New(slog.DiscardHandler)})
		s.ApplyEndpoints(chivedirectory.Diff{Changed: []chivedirectory.Endpoint{{ID: "e", Pool: "p", Address: endpoint}}})
		if err := s.Start(context.Background()); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { s.Stop(context.Background()) })
		services = append(services, s)
		members = append(members, chivemember.Member{Name: address, Address: address, RelayAddress: address, Region: "r", State: chivemember.Alive})
	}
	for _, s := range services {
		s.SetMembers(members)
	}
	return services[0]
}
