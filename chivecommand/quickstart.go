package chivecommand

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chivelog"
	"chivedrift/chivenode"
	"chivedrift/chivesettings"
	"chivedrift/chivestand"
	"chivedrift/chivewire"

	"github.com/integrii/flaggy"
)

const (
	quickstartKey     = "quickstart-key"
	quickstartSite    = "quickstart"
	quickstartNodes   = 3
	quickstartEngines = 3
	quickstartStep    = 10 * time.Millisecond
	quickstartReady   = 10 * time.Second
	quickstartHeader  = 5 * time.Second
	quickstartCache   = 64
	quickstartBatch   = 16
)

var quickstartVerb = verb{
	name: "quickstart", usage: "Run a stand-in platform, three engines, a service and three nodes in this process, until a signal.",
	flags: func(s *flaggy.Subcommand) action {
		var verbose, platform bool
		s.Bool(&verbose, "b", "verbose", "Show the nodes' log on standard error.")
		s.Bool(&platform, "p", "platform", "Show nodes on a platform with a metadata store instead.")
		return func(ctx context.Context, out io.Writer) error {
			level := slog.LevelError
			if verbose {
				level = slog.LevelInfo
			}
			if platform {
				return runPlatformQuickstart(ctx, out, level)
			}
			q := &quickstart{logger: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))}
			return q.run(ctx, out)
		}
	},
}

// quickstart is the whole path in one process: real nodes and stand-ins that talk over loopback.
type quickstart struct {
	logger  *slog.Logger
	log     *chivestand.Log
	logAt   string
	servers []*http.Server
	nodes   []*chivenode.Node
	callers []string
	admins  []string
}

func (q *quickstart) run(ctx context.Context, out io.Writer) error {
	defer q.stop()
	if err := q.startPlatform(); err != nil {
		return err
	}
	if err := q.startNodes(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "chivedrift quickstart: nodes on %s, admin on %s, log on %s\n", strings.Join(q.callers, " "), strings.Join(q.admins, " "), q.logAt)
	fmt.Fprintf(out, "try:\n  curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"stand-in\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		q.callers[0], quickstartKey)
	fmt.Fprintf(out, "  curl -si http://%s/services/echo/hello -H 'Authorization: Bearer %s'\n", q.callers[1], quickstartKey)
	fmt.Fprintln(out, "stop with Ctrl-C")
	<-ctx.Done()
	return nil
}

func (q *quickstart) startPlatform() error {
	q.log = chivestand.NewLog()
	address, err := q.serve(q.log.Handler())
	if err != nil {
		return err
	}
	q.logAt = address
	base := strings.Builder{}
	digest := sha256.Sum256([]byte(quickstartKey))
	fmt.Fprintf(&base, quickstartBase, hex.EncodeToString(digest[:]))
	for i := range quickstartEngines {
		engine := chivestand.NewEngine("stand-in", chivestand.EngineSpeed{Step: quickstartStep, Sequences: quickstartBatch, PrefixCacheBlocks: quickstartCache})
		address, err := q.serve(engine.Handler())
		if err != nil {
			return err
		}
		fmt.Fprintf(&base, "      - {name: engine-%d, address: %q, region: here, failure_domain: %c, capacity_tokens: 40000, sequences: %d}\n", i+1, address, 'a'+i, quickstartBatch)
	}
	address, err = q.serve(chivestand.NewService("echo").Handler())
	if err != nil {
		return err
	}
	fmt.Fprintf(&base, quickstartService, address)
	bundle := chiveconfig.Bundle{Base: base.String(), Overlays: []chiveconfig.Overlay{{Site: quickstartSite, Text: "{}\n"}}}
	if err := bundle.Check(); err != nil {
		return err
	}
	record, err := newRecord(bundle, "quickstart", 0)
	if err != nil {
		return err
	}
	data, err := record.Encode()
	if err != nil {
		return err
	}
	q.log.Append(chiveconfig.Stream, data)
	return nil
}

const quickstartBase = `tiers:
  - name: urgent
  - name: standard
classes:
  - {name: chat, tier: urgent, first_token_ms: 500, deadline_ms: 60000, stall_ms: 3000, expected_tokens: 60, retry_budget_percent: 20, idempotent: true}
  - {name: confirm, tier: urgent, first_token_ms: 1000, deadline_ms: 10000, stall_ms: 3000, expected_tokens: 1, idempotent: false}
teams:
  - {name: quickstart, key_sha256: [%q], weight: 1}
pools:
  - name: stand-in
    kind: model
    default_class: chat
    endpoints:
`

const quickstartService = `  - name: echo
    kind: service
    default_class: confirm
    endpoints:
      - {name: echo-1, address: %q, region: here, failure_domain: a}
`

func (q *quickstart) startNodes(ctx context.Context) error {
	var vms []chivelog.VM
	for i := range quickstartNodes {
		settings := q.settings(i)
		vms = append(vms, chivelog.VM{
			Name: settings.Name, Address: settings.Listen.Peers, AdminAddress: settings.Listen.Admin, Region: settings.Region,
			FailureDomain: settings.FailureDomain, Kind: chivelog.KindEntry, State: chivelog.StateLive,
		})
		node, err := chivenode.New(settings, chivewire.TCP{}, q.logger)
		if err != nil {
			return err
		}
		q.nodes = append(q.nodes, node)
		q.callers = append(q.callers, settings.Listen.Callers)
		q.admins = append(q.admins, settings.Listen.Admin)
	}
	q.log.SetVMs(vms)
	return q.awaitNodes(ctx)
}

func (q *quickstart) awaitNodes(ctx context.Context) error {
	for i, node := range q.nodes {
		if err := node.Start(context.WithoutCancel(ctx)); err != nil {
			q.nodes = q.nodes[:i]
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, quickstartReady)
	defer cancel()
	for _, node := range q.nodes {
		if err := node.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (q *quickstart) settings(i int) chivesettings.Settings {
	return chivesettings.Settings{
		Name: fmt.Sprintf("entry-%d", i+1), Site: quickstartSite, Region: "here", FailureDomain: string(rune('a' + i)),
		Listen:   chivesettings.Listen{Callers: chivestand.FreeAddress(), Admin: chivestand.FreeAddress(), Peers: chivestand.FreeAddress()},
		Platform: chivesettings.Platform{Log: q.logAt, VMList: q.logAt}, MemoryMB: quickstartMemoryMB,
	}
}

// serve runs a stand-in on a free loopback port and returns its address.
func (q *quickstart) serve(handler http.Handler) (string, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: quickstartHeader}
	q.servers = append(q.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintf(os.Stderr, "%s quickstart: stand-in: %v\n", program, err)
		}
	}()
	return listener.Addr().String(), nil
}

func (q *quickstart) stop() {
	for _, node := range q.nodes {
		// The process ends after this; a node that stops badly has logged it.
		_ = node.Stop(context.Background())
	}
	for _, server := range q.servers {
		_ = server.Close()
	}
}
