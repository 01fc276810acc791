package chivenode_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chivegate"
	"chivedrift/chivekernel"
	"chivedrift/chivelog"
	"chivedrift/chivenode"
	"chivedrift/chivesettings"
	"chivedrift/chivestand"
)

const (
	logAddress    = "10.0.0.1:80"
	testKey       = "key"
	testDigest    = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683" // SHA-256 of testKey
	clientAddress = "10.9.9.9:1"
	engineStep    = 10 * time.Millisecond
	settleTime    = 3 * time.Second
)

// cluster is a complete system on an in-memory network and the synthetic clock of a synctest bubble.
type cluster struct {
	t         *testing.T
	spec      clusterSpec
	network   *chivestand.Network
	log       *chivestand.Log
	engines   []*chivestand.Engine
	services  []*chivestand.Service
	nodes     []*chivenode.Node
	servers   []*http.Server
	vms       []chivelog.VM
	client    *http.Client
	transport *http.Transport

	mu          sync.Mutex
	isolated    map[string]bool
	partitioned func(from, to string) bool
}

// clusterSpec describes the size and configuration of a cluster.
type clusterSpec struct {
	nodes     int
	engines   int
	sequences int
	policy    string
	regions   int
}

// region returns the region of a node or an engine. A cluster has a single region unless regions is at least 2.
func (s clusterSpec) region(i int) string {
	if s.regions < 2 {
		return "r"
	}
	return fmt.Sprintf("r%d", i%s.regions)
}

func withCluster(t *testing.T, s clusterSpec, test func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, s)
		test(c)
		c.close()
	})
}

func newCluster(t *testing.T, s clusterSpec) *cluster {
	t.Helper()
	c := &cluster{t: t, spec: s, network: chivestand.NewNetwork(), log: chivestand.NewLog(), isolated: make(map[string]bool)}
	c.network.Block(c.blocked)
	c.transport = &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return c.network.Dial(ctx, clientAddress, address)
	}}
	c.client = &http.Client{Transport: c.transport}
	c.serve(logAddress, c.log.Handler())
	for i := range s.engines {
		engine := chivestand.NewEngine("m", chivestand.EngineSpeed{Step: engineStep, Sequences: s.sequences, PrefixCacheBlocks: 64})
		c.engines = append(c.engines, engine)
		c.serve(engineAddress(i), engine.Handler())
	}
	for i := range 2 {
		service := chivestand.NewService(fmt.Sprintf("s%d", i))
		c.services = append(c.services, service)
		c.serve(serviceAddress(i), service.Handler())
	}
	c.publish(0, bundleFor(s))
	for i := range s.nodes {
		c.vms = append(c.vms, chivelog.VM{
			Name: nodeName(i), Address: peerAddress(i), AdminAddress: adminAddress(i), Region: s.region(i), FailureDomain: domain(i),
			Kind: chivelog.KindEntry, State: chivelog.StateLive,
		})
	}
	c.log.SetVMs(c.vms)
	for i := range s.nodes {
		c.nodes = append(c.nodes, nil)
		c.start(i)
	}
	time.Sleep(settleTime)
	return c
}

func nodeName(i int) string       { return fmt.Sprintf("n%d", i) }
func domain(i int) string         { return string(rune('a' + i%3)) }
func callersAddress(i int) string { return fmt.Sprintf("10.1.%d.%d:80", i/200, i%200+1) }
func adminAddress(i int) string   { return fmt.Sprintf("10.1.%d.%d:81", i/200, i%200+1) }
func peerAddress(i int) string    { return fmt.Sprintf("10.1.%d.%d:82", i/200, i%200+1) }
func engineAddress(i int) string  { return fmt.Sprintf("10.2.%d.%d:80", i/200, i%200+1) }
func serviceAddress(i int) string { return fmt.Sprintf("10.3.0.%d:80", i+1) }

func (c *cluster) serve(address string, handler http.Handler) *http.Server {
	c.t.Helper()
	listener, err := c.network.Listen(address)
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	return server
}

func (c *cluster) settings(i int) chivesettings.Settings {
	return chivesettings.Settings{
		Name: nodeName(i), Site: "here", Region: c.spec.region(i), FailureDomain: domain(i),
		Listen:   chivesettings.Listen{Callers: callersAddress(i), Admin: adminAddress(i), Peers: peerAddress(i)},
		Platform: chivesettings.Platform{Log: logAddress, VMList: logAddress, LogRetentionS: 3600},
	}
}

func (c *cluster) start(i int) {
	c.t.Helper()
	node, err := chivenode.New(c.settings(i), c.network, slog.New(slog.DiscardHandler))
	if err != nil {
		c.t.Fatal(err)
	}
	if err := node.Start(context.Background()); err != nil {
		c.t.Fatal(err)
	}
	c.nodes[i] = node
}

// blocked reports whether traffic between two addresses is dropped, because one end is isolated or a partition
// separates them.
func (c *cluster) blocked(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolated[host(from)] || c.isolated[host(to)] || (c.partitioned != nil && c.partitioned(from, to))
}

func host(address string) string {
	name, _, _ := strings.Cut(address, ":")
	return name
}

// isolate disconnects VMs from the network until reconnect is called: their packets are dropped in both directions,
// and connections are not closed.
func (c *cluster) isolate(addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		c.isolated[host(address)] = true
	}
}

// reconnect ends the isolation of VMs.
func (c *cluster) reconnect(addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		delete(c.isolated, host(address))
	}
}

// partition drops traffic for which the function returns true; nil ends the partition.
func (c *cluster) partition(partitioned func(from, to string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = partitioned
}

// crash closes all connections of a VM at once, as when its process is killed, and isolates it.
func (c *cluster) crash(address string) {
	c.isolate(address)
	c.network.Cut(func(from, to string) bool { return host(from) == host(address) || host(to) == host(address) })
}

func (c *cluster) close() {
	c.network.Block(nil)
	c.transport.CloseIdleConnections()
	for _, node := range c.nodes {
		if node != nil {
			_ = node.Stop(context.Background())
		}
	}
	for _, server := range c.servers {
		_ = server.Close()
	}
	for _, engine := range c.engines {
		engine.Close()
	}
}

func (c *cluster) publish(parent int64, bundle chiveconfig.Bundle) {
	c.t.Helper()
	if err := bundle.Check(); err != nil {
		c.t.Fatal(err)
	}
	record := chiveconfig.Record{ID: fmt.Sprint("r", parent, bundle.Hash()), Kind: chiveconfig.KindPublish, Parent: parent, Author: "test", Bundle: bundle}
	data, err := record.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	c.log.Append(chiveconfig.Stream, data)
}

const testBaseConfig = `tiers: [{name: urgent}, {name: committed}, {name: standard}, {name: background}]
classes:
  - {name: nudge, tier: urgent, first_token_ms: 500, deadline_ms: 5000, stall_ms: 1000, expected_tokens: 20, retry_budget_percent: 50, idempotent: true}
  - {name: dossier, tier: committed, first_token_ms: 5000, deadline_ms: 120000, stall_ms: 1000, expected_tokens: 100, retry_budget_percent: 50, protected: true, idempotent: true}
  - {name: bulk, tier: background, first_token_ms: 60000, deadline_ms: 600000, stall_ms: 1000, expected_tokens: 100, retry_budget_percent: 50, idempotent: true}
  - {name: lookup, tier: standard, first_token_ms: 500, deadline_ms: 5000, stall_ms: 1000, expected_tokens: 1, retry_budget_percent: 50, idempotent: true}
  - {name: confirm, tier: urgent, first_token_ms: 500, deadline_ms: 8000, stall_ms: 1000, expected_tokens: 1, idempotent: false}
teams:
  - {name: t, key_sha256: [%s], weight: 1}
routing: {policy: %q, claim_window_s: 600}
pools:
  - name: svc
    kind: service
    default_class: lookup
    endpoints:
      - {name: svc-0, address: "10.3.0.1:80", region: r, failure_domain: a}
      - {name: svc-1, address: "10.3.0.2:80", region: r, failure_domain: b}
  - name: m
    kind: model
    default_class: nudge
    endpoints:
`

func bundleFor(s clusterSpec) chiveconfig.Bundle {
	base := fmt.Sprintf(testBaseConfig, testDigest, s.policy)
	for i := range s.engines {
		base += fmt.Sprintf("      - {name: e%d, address: %q, region: %s, failure_domain: %s, capacity_tokens: 20000, sequences: %d}\n", i, engineAddress(i), s.region(i), domain(i), s.sequences)
	}
	return chiveconfig.Bundle{Base: base, Overlays: []chiveconfig.Overlay{{Site: "here", Text: "{}\n"}}}
}

// ---------------------------------------------------------------- callers

// reply is a response as a caller sees it.
type reply struct {
	status     int
	header     http.Header
	outcome    string
	text       string
	body       string
	done       bool
	err        error
	firstToken time.Duration
}

type call struct {
	node   int
	method string
	path   string
	body   string
	class  string
	key    string
}

func chat(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, prompt)
}

func (c *cluster) do(ctx context.Context, spec call) reply {
	method := spec.method
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+callersAddress(spec.node)+spec.path, strings.NewReader(spec.body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	if spec.class != "" {
		request.Header.Set(chivegate.HeaderClass, spec.class)
	}
	if spec.key != "" {
		request.Header.Set(chivegate.HeaderKey, spec.key)
	}
	started := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	r := reply{status: response.StatusCode, header: response.Header}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		r.readStream(response.Body, started)
		r.outcome = response.Trailer.Get(chivegate.HeaderOutcome)
		return r
	}
	body, err := io.ReadAll(response.Body)
	r.body, r.err, r.outcome = string(body), err, response.Header.Get(chivegate.HeaderOutcome)
	return r
}

func (c *cluster) stream(node int, class, prompt string) reply {
	return c.do(context.Background(), call{node: node, path: "/v1/chat/completions", body: chat(prompt, true), class: class})
}

func (r *reply) readStream(body io.Reader, started time.Time) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) == 1 {
			if r.text == "" {
				r.firstToken = time.Since(started)
			}
			r.text += chunk.Choices[0].Delta.Content
		}
	}
	r.err = lines.Err()
}

// expectedText returns the text that a simulated engine generates for a prompt sent by chat if nothing fails.
func expectedText(prompt string, tokens int) string {
	messages, err := json.Marshal([]struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{{"user", prompt}})
	if err != nil {
		panic(err)
	}
	text := strings.Builder{}
	for i := range tokens {
		text.WriteString(chivestand.Token(string(messages), i))
	}
	return text.String()
}

func (c *cluster) gate(i int) *chivegate.Gate {
	c.t.Helper()
	gate, err := chivekernel.Lookup[*chivegate.Gate](c.nodes[i].Kernel(), chivegate.ServiceName)
	if err != nil {
		c.t.Fatal(err)
	}
	return gate
}
