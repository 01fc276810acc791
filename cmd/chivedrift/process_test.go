package main_test

import (
	"bytes"
	"encoding/json"
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
)

// bin is the folder with the programs under test, built once.
var bin string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "chivedrift")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	bin = folder
	args := []string{"build", "-o", folder}
	if os.Getenv(raceVariable) != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "chivedrift/cmd/...")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// raceVariable makes the programs under test run with the race detector.
const raceVariable = "CHIVEDRIFT_RACE"

// system is a set of real processes on loopback.
type system struct {
	t       testing.TB
	folder  string
	log     string
	engines []string
	service string
	nodes   []*nodeProcess
}

type nodeProcess struct {
	name    string
	callers string
	admin   string
	peers   string
	process *exec.Cmd
}

const (
	processKey  = "process-key"
	startBound  = 30 * time.Second
	systemNodes = 3
)

func startSystem(tb testing.TB) *system {
	tb.Helper()
	s := &system{t: tb, folder: tb.TempDir(), log: chivestand.FreeAddress(), service: chivestand.FreeAddress()}
	s.run("chivestand", "log", "--listen", s.log)
	for range 2 {
		address := chivestand.FreeAddress()
		s.engines = append(s.engines, address)
		s.run("chivestand", "engine", "--listen", address, "--model", "m")
	}
	s.run("chivestand", "service", "--listen", s.service)
	for i := range systemNodes {
		s.nodes = append(s.nodes, &nodeProcess{name: fmt.Sprintf("entry-%d", i), callers: chivestand.FreeAddress(), admin: chivestand.FreeAddress(), peers: chivestand.FreeAddress()})
	}
	s.awaitUp("http://" + s.log + "/vms")
	s.listVMs()
	s.publish()
	for _, n := range s.nodes {
		s.startNode(n)
	}
	for _, n := range s.nodes {
		s.awaitUp("http://" + n.admin + "/readyz")
	}
	return s
}

func (s *system) run(name string, args ...string) *exec.Cmd {
	s.t.Helper()
	process := exec.Command(filepath.Join(bin, name), args...)
	complaints := &bytes.Buffer{}
	process.Stderr = complaints
	if err := process.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
		if text := complaints.String(); strings.Contains(text, "DATA RACE") {
			s.t.Errorf("%s %v: %s", name, args, text)
		} else if testing.Verbose() {
			s.t.Log(text)
		}
	})
	return process
}

func (s *system) startNode(n *nodeProcess) {
	s.t.Helper()
	file := filepath.Join(s.folder, n.name+".yaml")
	if err := os.WriteFile(file, []byte(s.nodeSettings(n)), 0o600); err != nil {
		s.t.Fatal(err)
	}
	n.process = s.run("chivedrift", "node", "--settings", file)
}

func (s *system) nodeSettings(n *nodeProcess) string {
	return fmt.Sprintf("name: %s\nsite: here\nregion: r\nfailure_domain: a\nlisten: {callers: %q, admin: %q, peers: %q}\nplatform: {log: %q, vm_list: %q, log_retention_s: 86400}\n",
		n.name, n.callers, n.admin, n.peers, s.log, s.log)
}

func (s *system) listVMs() {
	s.t.Helper()
	entries := make([]string, 0, len(s.nodes))
	for _, n := range s.nodes {
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%q,"admin_address":%q,"region":"r","failure_domain":"a","kind":"entry","state":"live"}`, n.name, n.peers, n.admin))
	}
	s.put("http://"+s.log+"/vms", `{"vms":[`+strings.Join(entries, ",")+`]}`)
}

func (s *system) put(address, body string) {
	s.t.Helper()
	request, err := http.NewRequest(http.MethodPut, address, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		s.t.Fatalf("PUT %s answered %s", address, response.Status)
	}
}

const processBase = `tiers: [{name: urgent}, {name: standard}]
classes:
  - {name: chat, tier: urgent, first_token_ms: 2000, deadline_ms: 60000, stall_ms: 3000, expected_tokens: 40, retry_budget_percent: 50, idempotent: true}
  - {name: confirm, tier: urgent, first_token_ms: 2000, deadline_ms: 20000, stall_ms: 5000, expected_tokens: 1, idempotent: false}
teams: [{name: t, key_sha256: [d27bd726517775d9d127215627faed41f9dff8c6a38b0e849d05a693b3c3b867], weight: 1}]
pools:
  - name: svc
    kind: service
    default_class: confirm
    endpoints: [{name: svc-0, address: %q, region: r, failure_domain: a}]
  - name: m
    kind: model
    default_class: chat
    endpoints:
      - {name: e0, address: %q, region: r, failure_domain: a, capacity_tokens: 20000, sequences: 16}
      - {name: e1, address: %q, region: r, failure_domain: a, capacity_tokens: 20000, sequences: 16}
`

func (s *system) publish() {
	s.t.Helper()
	s.write("base.yaml", fmt.Sprintf(processBase, s.service, s.engines[0], s.engines[1]))
	s.write("here.yaml", "{}\n")
	out := s.command(0, "config", "publish", "--folder", filepath.Join(s.folder, "config"), "--log", s.log, "--author", "test", "--parent", "0")
	if !strings.Contains(out, "accepted: version 1") {
		s.t.Fatalf("publish said %s", out)
	}
}

func (s *system) write(name, text string) {
	s.t.Helper()
	folder := filepath.Join(s.folder, "config")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// command runs the program to its end and expects an exit code.
func (s *system) command(code int, args ...string) string {
	s.t.Helper()
	process := exec.Command(filepath.Join(bin, "chivedrift"), args...)
	out, _ := process.CombinedOutput()
	if got := process.ProcessState.ExitCode(); got != code {
		s.t.Fatalf("chivedrift %s exited with %d, expected %d:\n%s", strings.Join(args, " "), got, code, out)
	}
	return string(out)
}

func (s *system) awaitUp(address string) {
	s.t.Helper()
	deadline := time.Now().Add(startBound)
	for time.Now().Before(deadline) {
		response, err := http.Get(address)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatalf("%s did not come up in %s", address, startBound)
}

func (s *system) ask(n *nodeProcess, path, class, key, body string) (status int, header http.Header, answer string) {
	s.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+n.callers+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+processKey)
	if class != "" {
		request.Header.Set("Chivedrift-Class", class)
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, response.Header, err.Error()
	}
	return response.StatusCode, response.Header, string(data)
}

func TestRequestThroughEachNodeProcess(t *testing.T) {
	s := startSystem(t)
	for _, n := range s.nodes {
		status, _, streamed := s.ask(n, "/v1/chat/completions", "chat", "", `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello tokens=10"}]}`)
		if status != http.StatusOK || strings.Count(streamed, `"content":"w`) != 10 || !strings.Contains(streamed, `{"outcome":"completed"`) {
			t.Errorf("%s streamed %d %s", n.name, status, streamed)
		}
		status, header, whole := s.ask(n, "/v1/chat/completions", "chat", "", `{"model":"m","messages":[{"role":"user","content":"hello tokens=10"}]}`)
		if status != http.StatusOK || header.Get("Chivedrift-Outcome") != "completed" || !strings.Contains(whole, `"completion_tokens":10`) {
			t.Errorf("%s answered %d %s", n.name, status, whole)
		}
		status, header, service := s.ask(n, "/services/svc/book", "", "key-"+n.name, "x")
		if status != http.StatusOK || header.Get("Chivedrift-Outcome") != "completed" {
			t.Errorf("%s service answered %d %s", n.name, status, service)
		}
		explained := s.command(0, "explain", header.Get("Chivedrift-Request-Id"), "--vm-list", s.log)
		if !strings.Contains(explained, `"outcome": "completed"`) {
			t.Errorf("explain said %s", explained)
		}
	}
}

// Guards against a planned stop that cuts a running stream.
func TestPlannedStopFinishesTheStreamAndExitsWithZero(t *testing.T) {
	s := startSystem(t)
	n := s.nodes[0]
	request, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/v1/chat/completions", strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"long tokens=400"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+processKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		t.Fatal(err)
	}
	if err := n.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(response.Body)
	if err != nil || bytes.Count(rest, []byte(`"content":"w`)) != 400 || response.Trailer.Get("Chivedrift-Outcome") != "completed" {
		t.Errorf("status %d, header %v, body after its first byte %.300s", response.StatusCode, response.Header, rest)
		t.Errorf("stream ended with %v after %d tokens, outcome %q", err, bytes.Count(rest, []byte(`"content":"w`)), response.Trailer.Get("Chivedrift-Outcome"))
	}
	if err := n.process.Wait(); err != nil {
		t.Errorf("node ended with %v", err)
	}
}

// Guards against a key that runs twice because its gateway was frozen while the claim was under way.
func TestFrozenGatewayDoesNotRunAKeyTwice(t *testing.T) {
	s := startSystem(t)
	s.put("http://"+s.log+"/faults", `{"delay_ms":400}`)
	answers := make(chan string, systemNodes)
	ask := func(n *nodeProcess) {
		_, header, body := s.ask(n, "/services/svc/book", "", "frozen-key", "x")
		answers <- header.Get("Chivedrift-Outcome") + " " + body
	}
	go ask(s.nodes[0])
	time.Sleep(200 * time.Millisecond)
	s.signal(s.nodes[0], syscall.SIGSTOP)
	time.Sleep(5 * time.Second)
	s.put("http://"+s.log+"/faults", `{}`)
	go ask(s.nodes[1])
	go ask(s.nodes[2])
	time.Sleep(4 * time.Second)
	s.signal(s.nodes[0], syscall.SIGCONT)
	for range systemNodes {
		t.Log(<-answers)
	}
	var runs struct {
		Keys map[string]int `json:"keys"`
	}
	s.get("http://"+s.service+"/runs", &runs)
	if runs.Keys["frozen-key"] > 1 {
		t.Errorf("the key ran %d times", runs.Keys["frozen-key"])
	}
}

func (s *system) signal(n *nodeProcess, signal syscall.Signal) {
	s.t.Helper()
	if err := n.process.Process.Signal(signal); err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) get(address string, value any) {
	s.t.Helper()
	response, err := http.Get(address)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		s.t.Fatal(err)
	}
}

// Guards against reporting a publish as failed or successful against the state of the log.
func TestPublishTellsWhatTheLogSays(t *testing.T) {
	s := startSystem(t)
	publish := func(code int, parent, author string) string {
		return s.command(code, "config", "publish", "--folder", filepath.Join(s.folder, "config"), "--log", s.log, "--author", author, "--parent", parent, "--wait", "3s")
	}
	s.put("http://"+s.log+"/faults", `{"lose_answer_every":1}`)
	s.write("here.yaml", "limits: {in_flight: 100}\n")
	if out := publish(0, "1", "lost-answer"); !strings.Contains(out, "accepted: version 2") {
		t.Errorf("with the answer lost: %s", out)
	}
	s.put("http://"+s.log+"/faults", `{}`)
	s.write("here.yaml", "limits: {in_flight: 200}\n")
	if out := publish(3, "1", "late"); !strings.Contains(out, "rejected: version 2 by lost-answer") || !strings.Contains(out, "+limits: {in_flight: 200}") {
		t.Errorf("from an old version: %s", out)
	}
	s.put("http://"+s.log+"/faults", `{"down":true}`)
	if out := publish(1, "2", "down"); !strings.Contains(out, "nothing was published") {
		t.Errorf("with the log down: %s", out)
	}
	s.put("http://"+s.log+"/faults", `{}`)
	out := s.command(0, "config", "show", "--log", s.log)
	if strings.Count(out, "version 2,") != systemNodes || !strings.Contains(out, "log: version 2 by lost-answer") {
		t.Errorf("in force: %s", out)
	}
}
