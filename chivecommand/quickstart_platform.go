package chivecommand

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	"chivedrift/chivenode"
	"chivedrift/chivesettings"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
	chiveplatformstand "chivedrift/platform/stand"
)

const (
	quickstartMemoryMB = 256
	quickstartGraceS   = 3
	quickstartRelease  = 200
)

// platformQuickstart is the whole path of a node with a metadata store in one process.
type platformQuickstart struct {
	logger *slog.Logger
	demo   *chiveplatformstand.Demo
	nodes  []*chivenode.StoreNode
	peers  []string
	fronts []string
	admins []string
}

// runPlatformQuickstart runs a stand-in store, replicas and three nodes until the context ends.
func runPlatformQuickstart(ctx context.Context, out io.Writer, level slog.Level) error {
	q := &platformQuickstart{
		logger: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), demo: chiveplatformstand.NewDemo(),
	}
	defer q.stop()
	for i := range quickstartNodes {
		if err := q.start(ctx, i); err != nil {
			return err
		}
	}
	if err := q.awaitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "chivedrift quickstart: nodes on %s, admin on %s, store on %s\n", strings.Join(q.fronts, " "), strings.Join(q.admins, " "), q.demo.Address())
	fmt.Fprintln(out, "try:")
	for _, command := range q.demo.Try(q.fronts[0]) {
		fmt.Fprintf(out, "  %s\n", command)
	}
	fmt.Fprintln(out, "stop with Ctrl-C")
	<-ctx.Done()
	return nil
}

func (q *platformQuickstart) start(ctx context.Context, i int) error {
	listen := chivesettings.StoreListen{
		Callers: chivestand.FreeAddress(), Ready: chivestand.FreeAddress(), Admin: chivestand.FreeAddress(), Peers: chivestand.FreeAddress(),
	}
	node, err := chivenode.NewStoreNode(chivesettings.StoreNode{
		Name: fmt.Sprintf("entry-%d", i+1), Region: "here", FailureDomain: string(rune('a' + i)), Listen: listen, Store: q.demo.Address(),
		Seeds: append([]string(nil), q.peers...), MemoryMB: quickstartMemoryMB,
		Stop:    chivesettings.StoreStop{BalancerReleaseMs: quickstartRelease, GraceS: quickstartGraceS},
		Repeats: chivesettings.StoreRepeat{Ratio: 0.2, Headroom: 50, WindowS: 10},
	}, chivewire.TCP{}, q.logger)
	if err != nil {
		return err
	}
	if err := node.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	q.nodes, q.peers = append(q.nodes, node), append(q.peers, listen.Peers)
	q.fronts, q.admins = append(q.fronts, listen.Callers), append(q.admins, listen.Admin)
	return nil
}

func (q *platformQuickstart) awaitReady(ctx context.Context) error {
	limit := time.After(quickstartReady)
	for _, node := range q.nodes {
		for node.NotReady() != nil {
			select {
			case <-time.After(readyPoll):
			case <-limit:
				return fmt.Errorf("a node is not ready: %w", node.NotReady())
			case <-ctx.Done():
				return fmt.Errorf("stopped before the nodes were ready: %w", ctx.Err())
			}
		}
	}
	return nil
}

const readyPoll = 20 * time.Millisecond

func (q *platformQuickstart) stop() {
	for _, node := range q.nodes {
		// The process ends after this; a node that stops badly has logged it.
		_ = node.Stop(context.Background())
	}
	q.demo.Close()
}
