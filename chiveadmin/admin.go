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

// ServiceName is the service name of the admin server.
const ServiceName = "admin"

const headerTimeout = 5 * time.Second

// Paths that the admin server offers to operators.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathState   = "/state"
	PathExplain = "/explain/"
	PathProfile = "/debug/pprof/"
)

// Options configure an admin server.
type Options struct {
	Address string
	Network chivewire.Network
	Metrics http.Handler
	State   func() map[string]any
	Ready   func() error
	Explain func(id string) (*chivegate.Explanation, bool)
	// Profile enables the profiling endpoints. Taking a profile costs CPU time.
	Profile bool
}

// Admin is the HTTP server for operators of a node.
type Admin struct {
	options Options
	server  *chivewire.HTTPServer
	leaving atomic.Bool
}

// New returns an admin server that is not listening yet.
func New(options Options) *Admin {
	a := &Admin{options: options}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET "+PathReady, a.serveReady)
	mux.Handle("GET "+PathMetrics, options.Metrics)
	mux.HandleFunc("GET "+PathState, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, options.State()) })
	mux.HandleFunc("GET "+PathExplain+"{id}", a.serveExplain)
	if options.Profile {
		mux.HandleFunc("GET "+PathProfile, pprof.Index)
		mux.HandleFunc("GET "+PathProfile+"profile", pprof.Profile)
	}
	a.server = chivewire.NewHTTPServer(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: chivewire.MaxHeadBytes})
	return a
}

// Start begins to listen for operators.
func (a *Admin) Start(context.Context) error {
	if err := a.server.Start(a.options.Network, a.options.Address); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Leave makes the readiness check fail, so that the load balancer stops sending traffic before the node stops.
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
	if err := a.options.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (a *Admin) serveExplain(w http.ResponseWriter, r *http.Request) {
	explanation, ok := a.options.Explain(r.PathValue("id"))
	if !ok {
		http.Error(w, "no such request among the latest of this node", http.StatusNotFound)
		return
	}
	writeJSON(w, explanation)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// An error here means that the client has disconnected, so there is nobody to report it to.
	_ = encoder.Encode(value) //nolint:errchkjson // dumps are made of plain values
}
