package chivenode

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"chivedrift/chivewire"
)

// readinessName is the name under which the readiness server registers.
const readinessName = "readiness"

const readinessHeaderTime = 2 * time.Second

// readiness answers the balancer's question whether the node should get new connections.
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
	r.server = chivewire.NewHTTPServer(&http.Server{Handler: mux, ReadHeaderTimeout: readinessHeaderTime})
	return r
}

// Start listens for the balancer.
func (r *readiness) Start(context.Context) error {
	if err := r.server.Start(r.network, r.address); err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	return nil
}

// Leave makes the node not ready from now on.
func (r *readiness) Leave() { r.leaving.Store(true) }

// Stop closes the server.
func (r *readiness) Stop(context.Context) error {
	if err := r.server.Close(); err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	return nil
}

// Dump returns whether the node is ready and why not.
func (r *readiness) Dump() any {
	dump := struct {
		Leaving bool   `json:"leaving"`
		Because string `json:"not_ready_because,omitempty"`
	}{Leaving: r.leaving.Load()}
	if err := r.ready(); err != nil {
		dump.Because = err.Error()
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
