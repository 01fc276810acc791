package chivecommand

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivenode"
	"chivedrift/chivesettings"
	"chivedrift/chivewire"
)

// lastLines bounds how long the exit waits for the log to be written.
const lastLines = 200 * time.Millisecond

var entryVerb = settingsVerb("entry", "Run one node on a platform with a metadata store, until a signal.", runEntry)

func runEntry(ctx context.Context, file string) error {
	watcher := newSettingsWatcher(file, chivesettings.LoadStoreNode)
	settings, err := chivesettings.LoadStoreNode(file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(chivenode.MemoryLimit(settings))
	output := chiveevent.NewOutput(os.Stdout)
	defer output.Close(lastLines)
	logger := output.Logger()
	chiveevent.TakeOverStandardLog(logger)
	stopWatching := watcher.start(ctx, settings, logger)
	defer stopWatching()
	node, err := chivenode.NewStoreNode(settings, chivewire.TCP{}, logger)
	if err != nil {
		return err
	}
	node.WatchMemory(chivenode.HeldMemory)
	if err := node.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	<-ctx.Done()
	return node.Stop(context.WithoutCancel(ctx))
}
