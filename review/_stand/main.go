// Command _stand runs the stand-ins of one case of the review: the platform's store, the replicas and the clients. The
// nodes are separate processes, which the case's script starts from the settings files that this program writes.
package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	startupTime = 20 * time.Second
	// settleTime is the time between the start of the nodes and that of the traffic, as in the small deployments.
	settleTime = 10 * time.Second
)

//go:embed platform.json
var platformJSON []byte

// platform holds the platform's names of headers, paths and words, from platform.json.
var platform struct {
	Attempt, Deadline, Seal, NotExecuted, ExpectInstance, Instance, LastEvent, Key, Tenant, Model, TokenCount, PromptPrefix string
	HealthPath, ReportPath, CacheListPath, ReadyPath, ServersTopic                                                          string
	Idempotent, Once, Streaming                                                                                             string
	Registration, Report, CacheList                                                                                         string
}

// testCase is one case: how it publishes the configuration, and what it does once the nodes are ready. It returns what
// broke the rule, one entry a line; nothing if the rule held.
type testCase struct {
	nodes   int
	prepare func(s *stand)
	play    func(ctx context.Context, s *stand, trouble bool) (broken []string)
}

var cases = map[string]testCase{
	"late-refusal": lateRefusal,
	"long-answer":  longAnswer,
	"cut-event":    cutEvent,
	"double-slash": doubleSlash,
	"own-503":      own503,
}

func main() {
	name := flag.String("case", "", "the case")
	folder := flag.String("folder", "", "an empty folder for the settings of the nodes")
	recordFile := flag.String("record", "", "the file that tells what was sent, answered and run")
	template := flag.String("template", "deploy/entry.yaml.template", "the settings template of the nodes")
	flag.Parse()
	os.Exit(run(*name, *folder, *recordFile, *template, os.Getenv("TROUBLE") != "0"))
}

func run(name, folder, recordFile, template string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	if err := json.Unmarshal(platformJSON, &platform); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	record.log("case %s, trouble %v", name, trouble)
	s := newStand(record)
	defer s.close()
	c.prepare(s)
	if err := s.writeSettings(folder, template, c.nodes); err != nil {
		record.log("not run: %v", err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	if err := s.awaitReady(ctx); err != nil {
		record.log("not run: %v", err)
		return exitNotRun
	}
	time.Sleep(settleTime)
	broken := c.play(ctx, s, trouble)
	if ctx.Err() != nil {
		record.log("not run: out of time")
		return exitNotRun
	}
	for _, line := range broken {
		record.log("BROKEN %s", line)
	}
	fmt.Printf("%s, trouble %v: %d broken\n", name, trouble, len(broken))
	for _, line := range broken[:min(len(broken), 5)] {
		fmt.Println("  " + line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	record.log("the rule held")
	return exitHeld
}

// fill replaces $NAME by its value in a text.
func fill(text string, values ...string) string { return strings.NewReplacer(values...).Replace(text) }

// settingsFile returns the path of a node's settings.
func settingsFile(folder string, node int) string {
	return filepath.Join(folder, fmt.Sprintf("node-%d.yaml", node))
}
