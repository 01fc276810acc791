package chivecommand

import (
	"context"
	"fmt"
	"io"

	"chivedrift/chiveadmin"
	"chivedrift/chivefollow"
	"chivedrift/chivelog"

	"github.com/integrii/flaggy"
)

var configShowVerb = verb{
	group: configGroup, name: "show", usage: "Show the version on the log and the version and hash in force on each node.",
	flags: func(s *flaggy.Subcommand) action {
		var log, list string
		var text bool
		s.String(&log, "l", "log", "The platform log's IP:port.")
		s.String(&list, "m", "vm-list", "The platform VM list's IP:port; the log's when not given.")
		s.Bool(&text, "t", "text", "Print the text of the base and of each overlay too.")
		return func(ctx context.Context, out io.Writer) error {
			if err := required("log", log); err != nil {
				return err
			}
			if list == "" {
				list = log
			}
			return showConfig(ctx, out, chivelog.NewClient(log, list, nil), text)
		}
	},
}

func showConfig(ctx context.Context, out io.Writer, client *chivelog.Client, text bool) error {
	if h, _, err := history(ctx, client); err != nil {
		fmt.Fprintf(out, "log: unknown (%v)\n", err)
	} else {
		current := h.Current()
		fmt.Fprintf(out, "log: version %d by %s, hash %s\n", current.Version, current.Author, current.Bundle.Hash())
		if text {
			fmt.Fprintf(out, "# base.yaml\n%s", current.Bundle.Base)
			for _, overlay := range current.Bundle.Overlays {
				fmt.Fprintf(out, "# %s.yaml\n%s", overlay.Site, overlay.Text)
			}
		}
	}
	return showInForce(ctx, out, client)
}

// showInForce asks every listed node what it runs; a node that does not answer is shown as unknown.
func showInForce(ctx context.Context, out io.Writer, client *chivelog.Client) error {
	vms, err := client.VMs(ctx)
	if err != nil {
		return fmt.Errorf("list of nodes: %w", err)
	}
	for _, vm := range vms {
		if vm.Kind != chivelog.KindEntry {
			continue
		}
		var state struct {
			Configuration chivefollow.State `json:"configuration"`
		}
		if err := adminGet(ctx, vm.AdminAddress, chiveadmin.PathState, &state); err != nil {
			fmt.Fprintf(out, "%s: unknown (%v)\n", vm.Name, err)
			continue
		}
		c := state.Configuration
		fmt.Fprintf(out, "%s: version %d, hash %s%s\n", vm.Name, c.Version, c.Hash, problemNote(c))
	}
	return nil
}

func problemNote(c chivefollow.State) string {
	if c.Problem == "" {
		return ""
	}
	return fmt.Sprintf(", accepted version %d not usable here: %s", c.Accepted, c.Problem)
}
