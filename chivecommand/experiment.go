package chivecommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"chivedrift/chiveexperiment"

	"github.com/integrii/flaggy"
)

// experimentRequest is a scenario with the policies and seeds to play it with.
type experimentRequest struct {
	scenario string
	policies string
	out      string
	seeds    int
}

const (
	experimentSeeds = 10
	experimentMost  = 10000
	// progressPause is the least time between two lines of progress.
	progressPause = 5 * time.Second
)

var experimentVerb = verb{
	name: "experiment", usage: "Play the router's decisions on virtual time, without a network, against other policies on the same calls.",
	flags: func(s *flaggy.Subcommand) action {
		r := experimentRequest{seeds: experimentSeeds, policies: chiveexperiment.PolicyProduct + "," + chiveexperiment.PolicyAllKnowing}
		s.String(&r.scenario, "s", "scenario", "The scenario file.")
		s.Int(&r.seeds, "n", "seeds", "How many seeds are played.")
		s.String(&r.policies, "p", "policies", "The policies, separated by commas: "+strings.Join(chiveexperiment.Policies, ", ")+".")
		s.String(&r.out, "o", "out", "The folder for results.json and page.html; without it only the table is printed.")
		return r.run
	},
}

func (r *experimentRequest) run(ctx context.Context, out io.Writer) error {
	if err := required("scenario", r.scenario); err != nil {
		return err
	}
	policies := strings.Split(r.policies, ",")
	for _, p := range policies {
		if !slices.Contains(chiveexperiment.Policies, p) {
			return &exitError{exitBadInput, fmt.Errorf("--policies: expected some of %s, found %q", strings.Join(chiveexperiment.Policies, ", "), p)}
		}
	}
	if r.seeds < 1 || r.seeds > experimentMost {
		return &exitError{exitBadInput, fmt.Errorf("--seeds: expected a number from 1 to %d, found %d", experimentMost, r.seeds)}
	}
	scenario, err := chiveexperiment.Load(r.scenario)
	if err != nil {
		return err
	}
	told := time.Now()
	x, err := chiveexperiment.Run(ctx, scenario, policies, r.seeds, func(done, all int) {
		if time.Since(told) > progressPause {
			told = time.Now()
			fmt.Fprintf(os.Stderr, "%s experiment: %d of %d plays done\n", program, done, all)
		}
	})
	if err != nil {
		return fmt.Errorf("stopped before all plays were done: %w", err)
	}
	// The files come first: a reader of the table that goes away must not cost them.
	if r.out != "" {
		if err := r.write(x); err != nil {
			return err
		}
	}
	x.WriteTable(out)
	return nil
}

// write writes the results as JSON and as a page with plots.
func (r *experimentRequest) write(x *chiveexperiment.Experiment) error {
	if err := os.MkdirAll(r.out, folderMode); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	results := func(out io.Writer) error { return printJSON(out, x) }
	if err := writeFile("--out", filepath.Join(r.out, "results.json"), results); err != nil {
		return err
	}
	return writeFile("--out", filepath.Join(r.out, "page.html"), x.WritePage)
}

const (
	folderMode = 0o755
	fileMode   = 0o600
)
