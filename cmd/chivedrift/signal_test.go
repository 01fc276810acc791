package main_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"chivedrift/chivestand"
	chiveplatform "chivedrift/platform"
	chiveplatformstand "chivedrift/platform/stand"
)

const (
	stopBound    = 15 * time.Second
	pollInterval = 5 * time.Millisecond
	requestTime  = 800 * time.Millisecond
	// fillTime is longer than it takes to fill a pipe.
	fillTime = 300 * time.Millisecond
)

// servingCommand is one of the commands that serve callers, with settings for it.
type servingCommand struct {
	name string
	// readyURL answers 200 while the process is ready; callers is its address for callers.
	readyURL, callers string
	settings          string
	// path, host and header are those of a request that takes requestTime.
	path   string
	host   string
	header http.Header
	// logsTo sets where the command writes its log.
	logsTo func(process *exec.Cmd, to *os.File)
}

// servingCommands returns the commands that serve callers, each with its own stand-in platform.
func servingCommands(tb testing.TB) []*servingCommand {
	tb.Helper()
	return []*servingCommand{entryCommand(tb), nodeCommand(tb)}
}

func entryCommand(tb testing.TB) *servingCommand {
	tb.Helper()
	store := chiveplatformstand.NewStore()
	tb.Cleanup(store.Close)
	store.Publish(1, []chiveplatformstand.Route{{Name: "o", Host: "h.example", Prefix: "/o/", Kind: "idempotent", Backend: "app", Attempts: 2, TimeoutMs: 10000, TargetMs: 500}}, map[string][]string{"team": {processKey}})
	replica := chiveplatformstand.NewReplica(store, "i-app", "app", "a")
	replica.SetResponseTime(requestTime)
	tb.Cleanup(replica.Close)
	ready, peers, callers := chivestand.FreeAddress(), chivestand.FreeAddress(), chivestand.FreeAddress()
	return &servingCommand{
		name: "entry", callers: callers, readyURL: "http://" + ready + chiveplatform.ReadyPath,
		settings: chiveplatformstand.NodeSettings{
			Name: "n", FailureDomain: "a", Callers: callers, Ready: ready, Peers: peers, Store: store.Address(), Seeds: []string{peers}, MemoryMB: 128, GraceS: 4,
		}.Text(),
		path: "/o/1", host: "h.example", header: http.Header{"Attempt-Id": {"a1"}, "Deadline-Ms": {"8000"}, "Api-Key": {processKey}},
		logsTo: func(process *exec.Cmd, to *os.File) { process.Stdout = to },
	}
}

func nodeCommand(tb testing.TB) *servingCommand {
	tb.Helper()
	s := startSystem(tb)
	s.put("http://"+s.service+"/faults", fmt.Sprintf(`{"delay_ms":%d}`, requestTime.Milliseconds()))
	n := &nodeProcess{name: "entry-new", callers: chivestand.FreeAddress(), admin: chivestand.FreeAddress(), peers: chivestand.FreeAddress()}
	s.nodes = append(s.nodes, n)
	s.listVMs()
	return &servingCommand{
		name: "node", callers: n.callers, readyURL: "http://" + n.admin + "/readyz", settings: s.nodeSettings(n),
		path: "/services/svc/book", header: http.Header{"Authorization": {"Bearer " + processKey}},
		logsTo: func(process *exec.Cmd, to *os.File) { process.Stderr = to },
	}
}

// writeSettings writes the settings to a file of their own.
func (c *servingCommand) writeSettings(tb testing.TB) (file string) {
	tb.Helper()
	file = filepath.Join(tb.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(c.settings), 0o600); err != nil {
		tb.Fatal(err)
	}
	return file
}

// start starts the process, which logs to a file.
func (c *servingCommand) start(tb testing.TB, settingsFile string, logTo *os.File) *exec.Cmd {
	tb.Helper()
	process := exec.Command(filepath.Join(bin, "chivedrift"), c.name, "--settings", settingsFile)
	c.logsTo(process, logTo)
	if err := process.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = process.Process.Kill() })
	return process
}

// awaitReady waits until the process is ready; it returns an error if it ends or takes too long.
func (c *servingCommand) awaitReady(ended <-chan error) error {
	limit := time.After(startBound)
	for {
		if response, err := http.Get(c.readyURL); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case err := <-ended:
			return fmt.Errorf("the process ended: %w", errors.Join(err, errEnded))
		case <-limit:
			return errNotReady
		case <-time.After(pollInterval):
		}
	}
}

// longRequest sends a request that takes requestTime and returns an error unless its response is whole.
func (c *servingCommand) longRequest() error {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.callers+c.path, strings.NewReader("body"))
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	request.Host, request.Header = c.host, c.header
	response, err := new(http.Transport).RoundTrip(request)
	if err != nil {
		return fmt.Errorf("no response: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d, body %q: %w", errResponse, response.StatusCode, body, err)
	}
	return nil
}

var (
	errResponse = errors.New("response not whole")
	errEnded    = errors.New("ended")
	errNotReady = errors.New("the process does not get ready")
)

// wait returns a channel with the error with which a process ends.
func wait(process *exec.Cmd) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	return ended
}

// fullPipe returns both ends of a pipe that takes no more bytes until some are read.
func fullPipe(tb testing.TB) (reader, writer *os.File) {
	tb.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _, _ = reader.Close(), writer.Close() })
	if err := writer.SetWriteDeadline(time.Now().Add(fillTime)); err != nil {
		tb.Fatal(err)
	}
	for block := make([]byte, 1); err == nil; {
		_, err = writer.Write(block)
	}
	return reader, writer
}

// send sends a signal to a process, which may have ended.
func send(process *exec.Cmd, signal syscall.Signal) { _ = process.Process.Signal(signal) }

// Guards against nodes that neither start nor answer nor stop since nobody reads their log.
func TestNobodyReadsTheLog(t *testing.T) {
	for _, c := range servingCommands(t) {
		t.Run(c.name, func(t *testing.T) {
			_, writer := fullPipe(t)
			process := c.start(t, c.writeSettings(t), writer)
			ended := wait(process)
			if err := c.awaitReady(ended); err != nil {
				t.Fatal(err)
			}
			if err := c.longRequest(); err != nil {
				t.Error(err)
			}
			send(process, syscall.SIGTERM)
			select {
			case err := <-ended:
				if err != nil {
					t.Errorf("ended with %v", err)
				}
			case <-time.After(stopBound):
				t.Error("the process does not end")
			}
		})
	}
}
