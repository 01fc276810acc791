package chivecommand

import (
	"context"
	"io"
	"os"
	"runtime/debug"

	"chivedrift/chiveevent"
	"chivedrift/chivenode"
	"chivedrift/chivesettings"
	"chivedrift/chivewire"

	"github.com/integrii/flaggy"
)

var nodeVerb = settingsVerb("node", "Run one node until a signal; a planned stop finishes every request in flight.", runNode)

// settingsVerb is a verb that runs a process from its settings file.
func settingsVerb(name, usage string, run func(ctx context.Context, file string) error) verb {
	return verb{
		name: name, usage: usage, serves: true,
		flags: func(s *flaggy.Subcommand) action {
			var settings string
			s.String(&settings, "s", "settings", "The node's settings file.")
			return func(ctx context.Context, _ io.Writer) error {
				if err := required("settings", settings); err != nil {
					return err
				}
				return run(ctx, settings)
			}
		},
	}
}

func runNode(ctx context.Context, file string) error {
	watcher := newSettingsWatcher(file, chivesettings.Load)
	settings, err := chivesettings.Load(file)
	if err != nil {
		return err
	}
	output := chiveevent.NewOutput(os.Stderr)
	defer output.Close(lastLines)
	logger := output.Logger()
	chiveevent.TakeOverStandardLog(logger)
	stopWatching := watcher.start(ctx, settings, logger)
	defer stopWatching()
	node, err := chivenode.New(settings, chivewire.TCP{}, logger)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(node.MemoryLimit())
	node.WatchMemory(chivenode.HeldMemory)
	if err := node.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	// A signal may come before the configuration does; the stop below is the same.
	_ = node.AwaitReady(ctx)
	<-ctx.Done()
	return node.Stop(context.WithoutCancel(ctx))
}
