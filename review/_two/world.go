package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"chivedrift/chivestand"
	stand "chivedrift/platform/stand"
)

const (
	startBound  = 15 * time.Second
	readyPoll   = 20 * time.Millisecond
	stopBound   = 10 * time.Second
	clientKey   = "key-red"
	clientTeam  = "red"
	host        = "desk.example"
	memoryMB    = 284
	readyPathOf = "readyz"
)

var errNotReady = errors.New("a node did not become ready")

// world is the platform with its store, the router's processes and the record of a case.
type world struct {
	folder    string
	temporary string
	trouble   bool
	names     map[string]string
	store     *stand.Store
	nodes     []*node
	seeds     []string
	// storeAddress is where the nodes reach the store, moreSettings what a case adds to their settings.
	storeAddress, moreSettings string

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

// node is one process of the router.
type node struct {
	name, callers, ready, peers, admin, relay string
	settings                                  string
	process                                   *exec.Cmd
	done                                      chan struct{}
}

func newWorld(folder string) (*world, error) {
	names, err := readNames("review/_two/names.txt")
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-two")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	store := stand.NewStore()
	return &world{
		folder: folder, temporary: temporary, trouble: os.Getenv("TROUBLE") != "0", names: names, store: store, storeAddress: store.Address(), record: record, began: time.Now(),
	}, nil
}

// readNames reads the platform's own names, one a line behind the word under which the cases use it.
func readNames(file string) (map[string]string, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	names := make(map[string]string)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		word, name, _ := strings.Cut(lines.Text(), " ")
		names[word] = name
	}
	return names, nil
}

// note writes a line to the record.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, values ...any) {
	w.note(format, values...)
	fmt.Printf(format+"\n", values...)
}

// addNodes prepares nodes; start starts them.
func (w *world) addNodes(count int) {
	for i := range count {
		n := &node{
			name: fmt.Sprintf("entry-%d", i+1), callers: chivestand.FreeAddress(), ready: chivestand.FreeAddress(), peers: chivestand.FreeAddress(),
			admin: chivestand.FreeAddress(), relay: chivestand.FreeAddress(),
		}
		w.nodes = append(w.nodes, n)
		if len(w.seeds) < 3 {
			w.seeds = append(w.seeds, n.peers)
		}
	}
}

// settingsOf returns the settings that the template of the deploy file gives.
func (w *world) settingsOf(n *node) string {
	return fmt.Sprintf(`name: %q
region: "r"
failure_domain: "z0"
regions: [{ failure_domain: "z0", region: "r" }]
listen:
  callers: %q
  ready: %q
  admin: %q
  peers: %q
  relay: %q
store: %q
seeds: ["%s"]
memory_mb: %d
stop:
  balancer_release_ms: 2600
  grace_s: 8
repeats:
  ratio: 0.2
  headroom: 54
  window_s: 10
`, n.name, n.callers, n.ready, n.admin, n.peers, n.relay, w.storeAddress, strings.Join(w.seeds, `", "`), memoryMB) + w.moreSettings
}

// start starts a node with the command of the deploy file.
func (w *world) start(n *node) error {
	n.settings = filepath.Join(w.temporary, n.name+".yaml")
	if err := os.WriteFile(n.settings, []byte(w.settingsOf(n)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.temporary, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command("target/chivedrift", "entry", "--settings", n.settings)
	n.process.Stdout, n.process.Stderr = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	process, done := n.process, n.done
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(done)
	}()
	w.note("%s started as process %d, callers at %s", n.name, n.process.Process.Pid, n.callers)
	return nil
}

// startAll starts all nodes and waits until each is ready.
func (w *world) startAll() error {
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.awaitReady(n); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) isReady(n *node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.admin+"/"+readyPathOf, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) awaitReady(n *node) error {
	for end := time.Now().Add(startBound); time.Now().Before(end); time.Sleep(readyPoll) {
		if w.isReady(n) {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, n.name)
}

// hasEnded reports whether the node's process has ended.
func (n *node) hasEnded() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// kill ends a node's process and waits for its end.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill()
	select {
	case <-n.done:
	case <-time.After(stopBound):
	}
}

// close ends everything that the case has started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temporary)
	} else {
		fmt.Println("logs in", w.temporary)
	}
	_ = w.record.Close()
}

// listen returns a listener on a free loopback port.
func listen() (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
}
