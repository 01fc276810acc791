package chivecommand

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"chivedrift/chiveevent"
)

// settingsWatcher answers SIGHUP, by which an operator says that the settings file has changed: the node logs what it finds
// and serves on, since addresses in use cannot change under the callers' connections.
type settingsWatcher[S any] struct {
	file    string
	load    func(file string) (S, error)
	signals chan os.Signal
	done    chan struct{}
}

// newSettingsWatcher returns a watcher that keeps a signal for when it runs.
func newSettingsWatcher[S any](file string, load func(file string) (S, error)) *settingsWatcher[S] {
	w := &settingsWatcher[S]{file: file, load: load, signals: make(chan os.Signal, 1), done: make(chan struct{})}
	signal.Notify(w.signals, syscall.SIGHUP)
	return w
}

// start answers signals until stop is called.
func (w *settingsWatcher[S]) start(ctx context.Context, inForce S, logger *slog.Logger) (stop func()) {
	go func() {
		for {
			select {
			case <-w.signals:
				w.lookAgain(ctx, inForce, logger)
			case <-w.done:
				return
			}
		}
	}()
	return func() {
		// signal.Stop would restore the default action, which ends the process before its last log lines are written.
		signal.Ignore(syscall.SIGHUP)
		close(w.done)
	}
}

func (w *settingsWatcher[S]) lookAgain(ctx context.Context, inForce S, logger *slog.Logger) {
	found, err := w.load(w.file)
	if err != nil {
		chiveevent.SettingsReloaded.Log(ctx, logger, slog.String("file", w.file), slog.String("error", err.Error()), slog.Bool("kept", true))
		return
	}
	changed := !reflect.DeepEqual(found, inForce)
	chiveevent.SettingsReloaded.Log(ctx, logger, slog.String("file", w.file), slog.Bool("changed", changed), slog.Bool("kept", true))
}
