package chivecommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"chivedrift/chiveadmin"
	"chivedrift/chiveevacuation"

	"github.com/integrii/flaggy"
)

// evacuationsRequest is which nodes are asked.
type evacuationsRequest struct {
	files  []string
	admins []string
}

var evacuationsVerb = verb{
	name: "evacuations", usage: "Show which failure domains each node has evacuated, by which record since when, and how many of its attempts still run there.",
	flags: func(s *flaggy.Subcommand) action {
		request := &evacuationsRequest{}
		s.StringSlice(&request.files, "f", "file", "A state dump of one node, as the state command prints it; may be given again.")
		s.StringSlice(&request.admins, "a", "admin", "A node's admin IP:port; may be given again.")
		return request.run
	},
}

// evacuationState is the part of a state dump that the verb shows.
type evacuationState struct {
	Evacuation *struct {
		Known   bool                     `json:"known"`
		Domains []chiveevacuation.Domain `json:"domains"`
	} `json:"evacuation"`
}

func (r *evacuationsRequest) run(ctx context.Context, out io.Writer) error {
	if len(r.files)+len(r.admins) == 0 {
		return &exitError{exitBadInput, errors.New("--file or --admin is required")}
	}
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintln(table, "node\tfailure domain\tera\toffset\tread at\trecord\trunning")
	for _, file := range r.files {
		data, err := os.ReadFile(file)
		if err != nil {
			return &exitError{exitBadInput, err}
		}
		var state evacuationState
		if err := json.Unmarshal(data, &state); err != nil {
			return &exitError{exitBadInput, fmt.Errorf("%s: %w", file, err)}
		}
		if err := state.write(table, file); err != nil {
			return err
		}
	}
	for _, admin := range r.admins {
		var state evacuationState
		if err := adminGet(ctx, admin, chiveadmin.PathState, &state); err != nil {
			return err
		}
		if err := state.write(table, admin); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// write writes a line for each evacuated failure domain of a node.
func (e *evacuationState) write(out io.Writer, node string) error {
	if e.Evacuation == nil {
		return &exitError{exitBadInput, fmt.Errorf("%s: no service %q on this node; on a platform with a log, config show has the version that evacuates", node, chiveevacuation.ServiceName)}
	}
	if !e.Evacuation.Known {
		fmt.Fprintf(out, "%s\t(not known yet)\n", node)
	}
	for _, d := range e.Evacuation.Domains {
		readAt, record := "unknown", "in the store"
		if !d.ReadAt.IsZero() {
			readAt = d.ReadAt.Format(time.RFC3339)
		}
		if d.Retained {
			record = "lost by the store"
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%s\t%s\t%d\n", node, d.Domain, d.Era, d.Offset, readAt, record, d.Running)
	}
	return nil
}
