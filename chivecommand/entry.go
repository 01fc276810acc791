package chivecommand

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
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
	settings, err := chivesettings.LoadStoreNode(file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(chivenode.MemoryLimit(settings))
	output := chiveevent.NewOutput(os.Stdout)
	defer output.Close(lastLines)
	logger := output.Logger()
	chiveevent.TakeOverStandardLog(logger)
	stopWatching := watchSettings(ctx, file, settings, logger)
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

// watchSettings answers the signal that the settings file has changed: the node says what it finds and serves on, since
// addresses in use cannot change under the callers' connections.
func watchSettings(ctx context.Context, file string, inForce chivesettings.StoreNode, logger *slog.Logger) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
				lookAgain(ctx, file, inForce, logger)
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

func lookAgain(ctx context.Context, file string, inForce chivesettings.StoreNode, logger *slog.Logger) {
	found, err := chivesettings.LoadStoreNode(file)
	if err != nil {
		chiveevent.SettingsReloaded.Log(ctx, logger, slog.String("file", file), slog.String("error", err.Error()), slog.Bool("kept", true))
		return
	}
	changed := !reflect.DeepEqual(found, inForce)
	chiveevent.SettingsReloaded.Log(ctx, logger, slog.String("file", file), slog.Bool("changed", changed), slog.Bool("kept", true))
}
