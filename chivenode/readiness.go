package chivenode

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"chivedrift/chivewire"
)

// readinessName is the service name of the readiness server.
const readinessName = "readiness"

const readinessHeaderTimeout = 2 * time.Second

// readiness serves the load balancer's readiness checks, which decide whether the node gets new connections.
type readiness struct {
	address string
	network chivewire.Network
	server  *chivewire.HTTPServer
	ready   func() error
	leaving atomic.Bool
}

func newReadiness(address, path string, network chivewire.Network, ready func() error) *readiness {
	r := &readiness{address: address, network: network, ready: ready}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, r.serve)
	r.server = chivewire.NewHTTPServer(&http.Server{Handler: mux, ReadHeaderTimeout: readinessHeaderTimeout, MaxHeaderBytes: chivewire.MaxHeadBytes})
	return r
}

// Start begins to serve readiness checks.
func (r *readiness) Start(context.Context) error {
	if err := r.server.Start(r.network, r.address); err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	return nil
}

// Leave makes every later check report that the node is not ready.
func (r *readiness) Leave() { r.leaving.Store(true) }

// Stop closes the server.
func (r *readiness) Stop(context.Context) error {
	if err := r.server.Close(); err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	return nil
}

// Dump returns whether the node is leaving and why it is not ready.
func (r *readiness) Dump() any {
	dump := struct {
		Leaving bool   `json:"leaving"`
		Reason  string `json:"not_ready_because,omitempty"`
	}{Leaving: r.leaving.Load()}
	if err := r.ready(); err != nil {
		dump.Reason = err.Error()
	}
	return dump
}

func (r *readiness) serve(w http.ResponseWriter, _ *http.Request) {
	if r.leaving.Load() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if err := r.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
