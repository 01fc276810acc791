package chiveadmin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"chivedrift/chivegate"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the admin server registers.
const ServiceName = "admin"

const headerTimeout = 5 * time.Second

// Paths of the operators' contract.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathState   = "/state"
	PathExplain = "/explain/"
	PathProfile = "/debug/pprof/"
)

// Options are the parts an admin server is made of.
type Options struct {
	Address string
	Network chivewire.Network
	Metrics http.Handler
	State   func() map[string]any
	Ready   func() error
	Explain func(id string) (*chivegate.Explanation, bool)
	// Profile serves profiles of the process, which cost processor time while they are taken.
	Profile bool
}

// Admin is the operators' server of a node.
type Admin struct {
	o       Options
	server  *chivewire.HTTPServer
	leaving atomic.Bool
}

// New returns an admin server that does not listen yet.
func New(o Options) *Admin {
	a := &Admin{o: o}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET "+PathReady, a.serveReady)
	mux.Handle("GET "+PathMetrics, o.Metrics)
	mux.HandleFunc("GET "+PathState, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.State()) })
	mux.HandleFunc("GET "+PathExplain+"{id}", a.serveExplain)
	if o.Profile {
		mux.HandleFunc("GET "+PathProfile, pprof.Index)
		mux.HandleFunc("GET "+PathProfile+"profile", pprof.Profile)
	}
	a.server = chivewire.NewHTTPServer(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout})
	return a
}

// Start listens for operators.
func (a *Admin) Start(context.Context) error {
	if err := a.server.Start(a.o.Network, a.o.Address); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Leave makes the node not ready, so that the balancer lets go of it before it stops.
func (a *Admin) Leave() { a.leaving.Store(true) }

// Stop closes the server.
func (a *Admin) Stop(context.Context) error {
	if err := a.server.Close(); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Dump returns whether the node is leaving.
func (a *Admin) Dump() any {
	return struct {
		Leaving bool `json:"leaving"`
	}{a.leaving.Load()}
}

func (a *Admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	if a.leaving.Load() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if err := a.o.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (a *Admin) serveExplain(w http.ResponseWriter, r *http.Request) {
	x, ok := a.o.Explain(r.PathValue("id"))
	if !ok {
		http.Error(w, "no such request among the latest of this node", http.StatusNotFound)
		return
	}
	writeJSON(w, x)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// When this fails the operator is gone, and nobody is left to tell.
	_ = encoder.Encode(value) //nolint:errchkjson // dumps are made of plain values
}
