package chivecapacity_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chivekernel"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chivenode"
	"chivedrift/chivesettings"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

const benchKey = "bench-key"

// fleet is real nodes over loopback TCP in this process, with stand-ins beside them.
type fleet struct {
	t       testing.TB
	log     *chivestand.Log
	nodes   []*chivenode.Node
	callers []string
	servers []*http.Server
	engines []*chivestand.Engine
}

func startFleet(tb testing.TB, nodes, engines int) *fleet {
	tb.Helper()
	f := &fleet{t: tb, log: chivestand.NewLog()}
	logAddress := f.serve(f.log.Handler())
	digest := sha256.Sum256([]byte(benchKey))
	base := fmt.Sprintf(`tiers: [{name: urgent}]
classes:
  - {name: confirm, tier: urgent, first_token_ms: 1000, deadline_ms: 60000, stall_ms: 5000, expected_tokens: 4, idempotent: false}
  - {name: chat, tier: urgent, first_token_ms: 1000, deadline_ms: 60000, stall_ms: 5000, expected_tokens: 4, idempotent: true}
teams: [{name: t, key_sha256: [%s], weight: 1}]
pools:
  - {name: svc, kind: service, default_class: confirm, endpoints: [{name: s, address: %q, region: r, failure_domain: a}]}
  - {name: m, kind: model, default_class: chat, endpoints: [
`, hex.EncodeToString(digest[:]), f.serve(chivestand.NewService("svc").Handler()))
	for i := range engines {
		engine := chivestand.NewEngine("m", chivestand.EngineSpeed{Step: time.Millisecond, Sequences: 64, PrefixCacheBlocks: 64})
		f.engines = append(f.engines, engine)
		base += fmt.Sprintf("    {name: e%d, address: %q, region: r, failure_domain: a, capacity_tokens: 1000000, sequences: 64},\n", i, f.serve(engine.Handler()))
	}
	base += "  ]}\n"
	bundle := chiveconfig.Bundle{Base: base, Overlays: []chiveconfig.Overlay{{Site: "here", Text: "{}\n"}}}
	if err := bundle.Check(); err != nil {
		tb.Fatal(err)
	}
	data, err := chiveconfig.Record{ID: "1", Kind: chiveconfig.KindPublish, Bundle: bundle}.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	f.log.Append(chiveconfig.Stream, data)
	f.startNodes(logAddress, nodes)
	return f
}

func (f *fleet) startNodes(logAddress string, count int) {
	f.t.Helper()
	var vms []chivelog.VM
	var all []chivesettings.Settings
	for i := range count {
		s := chivesettings.Settings{
			Name: fmt.Sprintf("n%d", i), Site: "here", Region: "r", FailureDomain: "a",
			Listen:   chivesettings.Listen{Callers: chivestand.FreeAddress(), Admin: chivestand.FreeAddress(), Peers: chivestand.FreeAddress()},
			Platform: chivesettings.Platform{Log: logAddress, VMList: logAddress},
		}
		all = append(all, s)
		f.callers = append(f.callers, s.Listen.Callers)
		vms = append(vms, chivelog.VM{Name: s.Name, Address: s.Listen.Peers, AdminAddress: s.Listen.Admin, Region: "r", Kind: chivelog.KindEntry, State: chivelog.StateLive})
	}
	f.log.SetVMs(vms)
	for _, s := range all {
		node, err := chivenode.New(s, chivewire.TCP{}, slog.New(slog.DiscardHandler))
		if err != nil {
			f.t.Fatal(err)
		}
		if err := node.Start(context.Background()); err != nil {
			f.t.Fatal(err)
		}
		f.nodes = append(f.nodes, node)
	}
	f.settle(count)
}

// settle waits until every node knows all others; a measurement has no verdict, so the clock may be the real one.
func (f *fleet) settle(count int) {
	f.t.Helper()
	deadline := time.Now().Add(time.Minute)
	for _, node := range f.nodes {
		members, err := chivekernel.Lookup[*chivemember.Service](node.Kernel(), chivemember.ServiceName)
		if err != nil {
			f.t.Fatal(err)
		}
		for len(members.Members()) < count {
			if time.Now().After(deadline) {
				f.t.Fatalf("%d of %d members known after a minute", len(members.Members()), count)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
}

func (f *fleet) serve(handler http.Handler) string {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

func (f *fleet) stop() {
	var stopping sync.WaitGroup
	for _, node := range f.nodes {
		stopping.Add(1)
		go func() {
			defer stopping.Done()
			_ = node.Stop(context.Background())
		}()
	}
	stopping.Wait()
	for _, server := range f.servers {
		_ = server.Close()
	}
	for _, engine := range f.engines {
		engine.Close()
	}
}

// traffic sums up what all nodes sent to each other, by kind.
func (f *fleet) traffic() map[string]chivewire.Traffic {
	total := make(map[string]chivewire.Traffic)
	for _, node := range f.nodes {
		mesh, err := chivekernel.Lookup[*chivewire.Mesh](node.Kernel(), "wire")
		if err != nil {
			f.t.Fatal(err)
		}
		sent, _ := mesh.Traffic()
		for kind, n := range sent {
			sum := total[kind]
			total[kind] = chivewire.Traffic{Messages: sum.Messages + n.Messages, Bytes: sum.Bytes + n.Bytes}
		}
	}
	return total
}

func difference(after, before map[string]chivewire.Traffic) map[string]chivewire.Traffic {
	d := make(map[string]chivewire.Traffic)
	for kind, n := range after {
		if grown := n.Messages - before[kind].Messages; grown > 0 {
			d[kind] = chivewire.Traffic{Messages: grown, Bytes: n.Bytes - before[kind].Bytes}
		}
	}
	return d
}

func sum(traffic map[string]chivewire.Traffic) (messages, bytes float64) {
	for _, n := range traffic {
		messages += float64(n.Messages)
		bytes += float64(n.Bytes)
	}
	return messages, bytes
}

// cpu returns the processor time of this process in seconds.
func cpu() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}

// memory returns the bytes in use on the heap and on goroutines' stacks after a collection.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// request sends one short streamed request through a node.
func (f *fleet) request(node, number int) error {
	body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":"%d tokens=4"}]}`, number)
	return f.post(node, "/v1/chat/completions", "", body, "[DONE]")
}

// keyed sends one request that may not be repeated through a node.
func (f *fleet) keyed(node, number int) error {
	return f.post(node, "/services/svc/book", fmt.Sprintf("key-%d-%d", number, time.Now().UnixNano()), "x", "1 bytes")
}

func (f *fleet) post(node int, path, key, body, want string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callers[node]+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+benchKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(bufio.NewReader(response.Body))
	if err == nil && !strings.Contains(string(text), want) {
		err = fmt.Errorf("answer %q", text)
	}
	return err
}
