package main_test

import (
	"errors"
	"fmt"
	"io"
	"net"
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
	stopBound     = 15 * time.Second
	pollInterval  = 5 * time.Millisecond
	stoppedEvent  = `"event":103,`
	reloadedEvent = `"event":106,`
	requestTime   = 800 * time.Millisecond
	// signalTime is longer than the system takes to deliver a signal, fillTime than to fill a pipe.
	signalTime = 100 * time.Millisecond
	fillTime   = 300 * time.Millisecond
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
		path: "/o/1", host: "h.example", header: chiveplatformstand.CallerHeader("a1", processKey, 10*requestTime),
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

// logFile returns a file for the log of a process.
func logFile(tb testing.TB) *os.File {
	tb.Helper()
	file, err := os.Create(filepath.Join(tb.TempDir(), "log"))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = file.Close() })
	return file
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

// readLog returns what a process has logged to a file so far.
func readLog(tb testing.TB, file *os.File) string {
	tb.Helper()
	text, err := os.ReadFile(file.Name())
	if err != nil {
		tb.Fatal(err)
	}
	return string(text)
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

// Guards against nodes that a changed settings file ends, and all their requests, since they have just been started.
func TestHangUpWhileANodeReadsItsSettings(t *testing.T) {
	for _, c := range servingCommands(t) {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings")
			if err := syscall.Mkfifo(file, 0o600); err != nil {
				t.Fatal(err)
			}
			log := logFile(t)
			process := c.start(t, file, log)
			ended := wait(process)
			// Opening returns once the process opens the file too.
			settings, err := os.OpenFile(file, os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			send(process, syscall.SIGHUP)
			time.Sleep(signalTime)
			if _, err := settings.WriteString(c.settings); err != nil {
				t.Error(err)
			}
			_ = settings.Close()
			if err := c.awaitReady(ended); err != nil {
				t.Fatalf("%v; log %s", err, readLog(t, log))
			}
			send(process, syscall.SIGTERM)
			if err := <-ended; err != nil {
				t.Errorf("ended with %v; log %s", err, readLog(t, log))
			}
		})
	}
}

// Guards against nodes that a hang-up or a second request to stop ends while they wait for requests.
func TestSignalsWhileANodeStopsCutNoRequest(t *testing.T) {
	for _, c := range servingCommands(t) {
		t.Run(c.name, func(t *testing.T) {
			log := logFile(t)
			process := c.start(t, c.writeSettings(t), log)
			ended := wait(process)
			if err := c.awaitReady(ended); err != nil {
				t.Fatalf("%v; log %s", err, readLog(t, log))
			}
			responses := make(chan error, 1)
			go func() { responses <- c.longRequest() }()
			time.Sleep(requestTime / 4)
			send(process, syscall.SIGTERM)
			for range 10 {
				time.Sleep(pollInterval)
				for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
					send(process, signal)
				}
			}
			if err := <-responses; err != nil {
				t.Error(err)
			}
			if err := <-ended; err != nil {
				t.Errorf("ended with %v", err)
			}
			if text := readLog(t, log); !strings.Contains(text, stoppedEvent) || !strings.Contains(text, reloadedEvent) {
				t.Errorf("events of the stop or of the changed settings are missing: %s", text)
			}
		})
	}
}

// Guards against last log lines that are lost since a hang-up ends the process while it writes them.
func TestHangUpWhileTheLastLinesAreWritten(t *testing.T) {
	for _, c := range servingCommands(t) {
		t.Run(c.name, func(t *testing.T) {
			_, writer := fullPipe(t)
			process := c.start(t, c.writeSettings(t), writer)
			ended := wait(process)
			if err := c.awaitReady(ended); err != nil {
				t.Fatal(err)
			}
			send(process, syscall.SIGTERM)
			limit := time.After(stopBound)
			for {
				send(process, syscall.SIGHUP)
				select {
				case err := <-ended:
					if err != nil {
						t.Errorf("ended with %v", err)
					}
					return
				case <-limit:
					t.Fatal("the process does not end")
				case <-time.After(pollInterval):
				}
			}
		})
	}
}

// Guards against commands that run on after their terminal has closed, since nodes ignore that signal.
func TestHangUpEndsCommandsThatAreNoNodes(t *testing.T) {
	process := exec.Command(filepath.Join(bin, "chivedrift"), "quickstart")
	out, err := process.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = process.Process.Kill() })
	if _, err := out.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	send(process, syscall.SIGHUP)
	select {
	case err := <-wait(process):
		if err == nil || err.Error() != "signal: hangup" {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(stopBound):
		t.Error("the process does not end")
	}
}

// Guards against nodes that end, and cut all requests, since the process that reads their log has ended.
func TestReaderOfTheLogEnds(t *testing.T) {
	for _, c := range servingCommands(t) {
		t.Run(c.name, func(t *testing.T) {
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			process := c.start(t, c.writeSettings(t), writer)
			ended := wait(process)
			_, _ = writer.Close(), reader.Close()
			if err := c.awaitReady(ended); err != nil {
				t.Fatal(err)
			}
			responses := make(chan error, 1)
			go func() { responses <- c.longRequest() }()
			time.Sleep(requestTime / 4)
			send(process, syscall.SIGHUP)
			if err := <-responses; err != nil {
				t.Error(err)
			}
			send(process, syscall.SIGTERM)
			if err := <-ended; err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// Guards against nodes that cannot be stopped since the platform accepts connections and answers nothing.
func TestStopWhileThePlatformHangs(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	peers, grace := chivestand.FreeAddress(), 4
	hung := listener.Addr().String()
	entry := chiveplatformstand.NodeSettings{
		Name: "n", FailureDomain: "a", Callers: chivestand.FreeAddress(), Ready: chivestand.FreeAddress(), Peers: peers, Store: hung, Seeds: []string{peers}, MemoryMB: 128, GraceS: grace,
	}.Text()
	node := (&system{log: hung}).nodeSettings(&nodeProcess{name: "n", callers: chivestand.FreeAddress(), admin: chivestand.FreeAddress(), peers: chivestand.FreeAddress()})
	for _, c := range []*servingCommand{
		{name: "entry", settings: entry, logsTo: func(process *exec.Cmd, to *os.File) { process.Stdout = to }},
		{name: "node", settings: node, logsTo: func(process *exec.Cmd, to *os.File) { process.Stderr = to }},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := logFile(t)
			process := c.start(t, c.writeSettings(t), log)
			ended := wait(process)
			time.Sleep(requestTime)
			started := time.Now()
			send(process, syscall.SIGTERM)
			select {
			case err := <-ended:
				if err != nil || !strings.Contains(readLog(t, log), stoppedEvent) {
					t.Errorf("ended with %v; log %s", err, readLog(t, log))
				}
				t.Logf("ended after %v", time.Since(started))
			case <-time.After(time.Duration(grace) * time.Second):
				t.Error("the process does not end")
			}
		})
	}
}
