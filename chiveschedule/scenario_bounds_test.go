package chiveschedule_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/goccy/go-yaml"
)

// bounds are the limits on a scenario's results; values given for a scenario override the defaults. BehindOracleMax and
// GoodputRatioMin compare with the all-knowing queue.
type bounds struct {
	TopAttainedMin       *float64 `yaml:"top_attained_min"`
	BehindOracleMax      *float64 `yaml:"behind_knowing_max"`
	CommittedAttainedMin *float64 `yaml:"committed_attained_min"`
	GoodputRatioMin      *float64 `yaml:"goodput_ratio_min"`
	WastedMax            *float64 `yaml:"wasted_max"`
	OtherTeamsMin        *float64 `yaml:"others_min"`
	WorstWaitMax         *float64 `yaml:"worst_wait_max"`
}

type boundsFile struct {
	Default   bounds            `yaml:"default"`
	Scenarios map[string]bounds `yaml:"scenarios"`
}

func readBounds(t *testing.T) boundsFile {
	t.Helper()
	data, err := os.ReadFile("testdata/bounds.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var file boundsFile
	if err := yaml.UnmarshalWithOptions(data, &file, yaml.Strict()); err != nil {
		t.Fatal(err)
	}
	return file
}

func (f boundsFile) forScenario(name string) bounds {
	b, own := f.Default, f.Scenarios[name]
	override := func(target **float64, value *float64) {
		if value != nil {
			*target = value
		}
	}
	override(&b.TopAttainedMin, own.TopAttainedMin)
	override(&b.BehindOracleMax, own.BehindOracleMax)
	override(&b.CommittedAttainedMin, own.CommittedAttainedMin)
	override(&b.GoodputRatioMin, own.GoodputRatioMin)
	override(&b.WastedMax, own.WastedMax)
	override(&b.OtherTeamsMin, own.OtherTeamsMin)
	override(&b.WorstWaitMax, own.WorstWaitMax)
	return b
}

const boundsSeed = 1

// TestScenariosStayWithinBounds guards against regressions in service levels: it runs every scenario with chivedrift
// and with the all-knowing queue, and checks the results against testdata/bounds.yaml.
func TestScenariosStayWithinBounds(t *testing.T) {
	file := readBounds(t)
	makers := strategyMakers()
	for _, w := range []workload{sopotnikWorkload(), hakataWorkload()} {
		for _, s := range scenarios() {
			if s.gateways > defaultGateways {
				continue // the large fleet runs only in the benchmark
			}
			t.Run(w.name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				r := runScenario(w, s, makers[0], boundsSeed)
				oracle := runScenario(w, s, makers[1], boundsSeed)
				file.forScenario(s.name).check(t, w, r, oracle)
			})
		}
	}
}

func (b bounds) check(t *testing.T, w workload, r, oracle results) {
	t.Helper()
	atLeast := func(metric string, got, bound float64) {
		if got < bound {
			t.Errorf("%s is %.2f, the bound is at least %.2f", metric, got, bound)
		}
	}
	top, committed := w.classes[0].name, w.classes[1].name
	atLeast("top-tier attainment", r.attained[top], *b.TopAttainedMin)
	atLeast("attainment relative to the all-knowing queue in points", r.attained[top]-oracle.attained[top], -*b.BehindOracleMax)
	atLeast("second-tier attainment", r.attained[committed], *b.CommittedAttainedMin)
	atLeast("goodput relative to the all-knowing queue", r.goodput/oracle.goodput, *b.GoodputRatioMin)
	atLeast("wasted tokens, negated", -r.wasted, -*b.WastedMax)
	atLeast("attainment of the other teams", r.otherTeams, *b.OtherTeamsMin)
	atLeast("longest wait of the lowest class, negated", -r.longestWait, -*b.WorstWaitMax)
}

// ---------------------------------------------------------------- docs/SCHEDULING.md

var writePage = flag.Bool("page", false, "write docs/SCHEDULING.md from the benchmark")

const benchSeeds = 10

// BenchmarkScenarios runs every strategy with ten seeds; with -page it writes docs/SCHEDULING.md.
func BenchmarkScenarios(b *testing.B) {
	for b.Loop() {
		out := strings.Builder{}
		out.WriteString(pageHeader)
		for _, w := range []workload{sopotnikWorkload(), hakataWorkload()} {
			for _, s := range scenarios() {
				writeScenario(b, &out, w, s)
			}
		}
		if *writePage {
			if err := os.WriteFile("../docs/SCHEDULING.md", []byte(out.String()), 0o600); err != nil {
				b.Fatal(err)
			}
		}
	}
}

const pageHeader = `# Scheduling under load

Written by ` + "`go test ./chiveschedule -run xxx -bench Scenarios -benchtime 1x -timeout 60m -page`" + `; not edited by hand.

Real shards, policies and shard choice on virtual time against fake engines: 9 engines of 16 sequences behind 8 nodes
(72 behind 64 in the last scenario), 25 ms a token, 0.5 ms between nodes, outputs lognormal with sigma 0.8 and unknown
beforehand, 70% load, bursts of 90 s raising the whole demand to the factor named. Every cell is the mean over ten seeds
with the lowest and highest in brackets. Attained: the first token within the class's target and the end within its
deadline, of all that arrived. Goodput: useful tokens over the capacity in the arrival time. Wasted: tokens computed and
thrown away or read again. Wait: the longest of the lowest class. Others: attainment over all teams but the largest.
"All-knowing queue": one queue over all engines that knows every length, without network delay.
`

func writeScenario(b *testing.B, out *strings.Builder, w workload, s scenario) {
	b.Helper()
	fmt.Fprintf(out, "\n## %s: %s\n\n| way | %s | goodput %% | wasted %% | wait s | others %% |\n|---|%s---|---|---|---|\n",
		w.name, s.name, strings.Join(classNames(w), " % | ")+" %", strings.Repeat("---|", len(w.classes)))
	for i, maker := range strategyMakers() {
		runs := runSeeds(w, s, maker)
		fmt.Fprintf(out, "| %s |", maker.name)
		for _, c := range w.classes {
			fmt.Fprintf(out, " %s |", meanAndRange(runs, func(r results) float64 { return r.attained[c.name] }))
		}
		fmt.Fprintf(out, " %s | %s | %s | %s |\n", meanAndRange(runs, func(r results) float64 { return r.goodput }), meanAndRange(runs, func(r results) float64 { return r.wasted }),
			meanAndRange(runs, func(r results) float64 { return r.longestWait }), meanAndRange(runs, func(r results) float64 { return r.otherTeams }))
		if i == 0 {
			key := strings.ReplaceAll(w.name+"-"+s.name, " ", "-")
			b.ReportMetric(mean(runs, func(r results) float64 { return r.attained[w.classes[0].name] }), key+"-top%")
		}
	}
}

func classNames(w workload) []string {
	names := make([]string, 0, len(w.classes))
	for _, c := range w.classes {
		names = append(names, c.name)
	}
	return names
}

func runSeeds(w workload, s scenario, maker strategyMaker) []results {
	runs := make([]results, benchSeeds)
	var running sync.WaitGroup
	for i := range runs {
		running.Add(1)
		go func() {
			defer running.Done()
			runs[i] = runScenario(w, s, maker, uint64(i+1))
		}()
	}
	running.Wait()
	return runs
}

func mean(runs []results, value func(results) float64) float64 {
	sum := 0.0
	for _, r := range runs {
		sum += value(r)
	}
	return sum / float64(len(runs))
}

func meanAndRange(runs []results, value func(results) float64) string {
	low, high := math.Inf(1), math.Inf(-1)
	for _, r := range runs {
		low, high = min(low, value(r)), max(high, value(r))
	}
	return fmt.Sprintf("%.1f (%.1f-%.1f)", mean(runs, value), low, high)
}
