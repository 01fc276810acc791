package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"chivedrift/chivestand"
	chiveplatformstand "chivedrift/platform/stand"
)

// Ports of each node on its own loopback address.
const (
	frontendPort  = 8227
	readinessPort = 8220
	peersPort     = 8229
	adminPort     = 9100
	relayPort     = 7340
)

// heartbeat is the interval at which replicas write to the store, as in the small deployments.
const heartbeat = 1200 * time.Millisecond

var zones = []string{"lj-a", "lj-b", "lj-c"}

const (
	region  = "lj"
	host    = "app.example"
	team    = "hule930"
	teamKey = "n2ctnfzs989anu6wsjnb"
)

// stand is the surroundings of the nodes.
type stand struct {
	record   *record
	store    *chiveplatformstand.Store
	server   *http.Server
	address  string
	replicas []*replica
	// nodes are the addresses of the nodes on the loopback network.
	nodes []string
	done  chan struct{}
}

func newStand(r *record) *stand {
	s := &stand{record: r, store: chiveplatformstand.NewUnservedStore(), address: chivestand.FreeAddress(), done: make(chan struct{})}
	s.server = &http.Server{Addr: s.address, Handler: s.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() {
		if err := s.server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			r.log("store: %v", err)
		}
	}()
	return s
}

func (s *stand) close() {
	close(s.done)
	_ = s.server.Close()
	for _, r := range s.replicas {
		r.close()
	}
}

// publish writes the operator's configuration with the routes and one team.
func (s *stand) publish(routes ...chiveplatformstand.Route) {
	s.store.Publish(1, routes, map[string][]string{team: {teamKey}})
}

// writeSettings fills in the settings template for each node.
func (s *stand) writeSettings(folder, template string, nodes int) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return fmt.Errorf("settings template: %w", err)
	}
	if err := s.chooseAddresses(nodes); err != nil {
		return err
	}
	for i := range s.nodes {
		if err := os.WriteFile(settingsFile(folder, i+1), []byte(s.settings(string(text), i)), 0o600); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	}
	if err := os.WriteFile(filepath.Join(folder, "written"), nil, 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// chooseAddresses gives each node a loopback address on which its ports are free.
func (s *stand) chooseAddresses(nodes int) error {
	for at := os.Getpid(); len(s.nodes) < nodes; at += 7919 {
		address := fmt.Sprintf("127.%d.%d.%d", 64+at>>14&63, 1+at>>7&127, 1+at&127)
		if isFree(address) {
			s.nodes = append(s.nodes, address)
		} else if at > os.Getpid()+100*7919 {
			return errors.New("no free addresses")
		}
	}
	return nil
}

func isFree(address string) bool {
	for _, port := range []int{frontendPort, readinessPort, peersPort, adminPort, relayPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// settings fills in the template as the platform does, for a small deployment without duties.
func (s *stand) settings(text string, node int) string {
	var zoneList, seedList []string
	for _, z := range zones {
		zoneList = append(zoneList, fmt.Sprintf("{ failure_domain: %q, region: %q }", z, region))
	}
	for _, address := range s.nodes[:min(len(s.nodes), 3)] {
		seedList = append(seedList, fmt.Sprintf("%q", at(address, peersPort)))
	}
	section := func(name string) *regexp.Regexp {
		return regexp.MustCompile(`(?s)\{\{#` + regexp.QuoteMeta(name) + `\}\}.*\{\{/` + regexp.QuoteMeta(name) + `\}\}`)
	}
	text = section("zones").ReplaceAllLiteralString(text, strings.Join(zoneList, ", "))
	text = section("seedNodes").ReplaceAllLiteralString(text, strings.Join(seedList, ", "))
	text = section("cloudApi.address").ReplaceAllLiteralString(text, "")
	ip := s.nodes[node]
	return fill(text, "{{nodeName}}", fmt.Sprintf("edge-%d", node+1), "{{region}}", region, "{{zone}}", zones[node%len(zones)],
		"{{listen.frontend}}", at(ip, frontendPort), "{{listen.readiness}}", at(ip, readinessPort), "{{listen.controlPlane}}", at(ip, peersPort),
		"{{ip}}", ip, "{{portRange.0}}", fmt.Sprint(relayPort), "{{platform.address}}", s.address, "{{limits.memoryMb}}", "284",
		"{{thresholds.gracePeriodS}}", "8", "{{thresholds.retryBudgetRatio}}", "0.2", "{{thresholds.retryHeadroom}}", "54", "{{thresholds.retryWindowS}}", "10")
}

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// frontend returns the address of a node for clients.
func (s *stand) frontend(node int) string { return at(s.nodes[node], frontendPort) }

// awaitReady waits until all nodes say that they are ready.
func (s *stand) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startupTime)
	defer cancel()
	for _, address := range s.nodes {
		for !isReady(ctx, "http://"+at(address, readinessPort)+platform.ReadyPath) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("node at %s is not ready", address)
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
