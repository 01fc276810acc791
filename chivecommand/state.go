package chivecommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"chivedrift/chiveadmin"

	"github.com/integrii/flaggy"
)

var stateVerb = verb{
	name: "state", usage: "Dump the state of a node, by service.",
	flags: func(s *flaggy.Subcommand) action {
		var admin, service string
		s.String(&admin, "a", "admin", "The node's admin IP:port.")
		s.String(&service, "s", "service", "Only this service.")
		return func(ctx context.Context, out io.Writer) error {
			if err := required("admin", admin); err != nil {
				return err
			}
			var state map[string]json.RawMessage
			if err := adminGet(ctx, admin, chiveadmin.PathState, &state); err != nil {
				return err
			}
			if service == "" {
				return printJSON(out, state)
			}
			dump, ok := state[service]
			if !ok {
				return &exitError{exitBadInput, fmt.Errorf("no service %q on this node", service)}
			}
			return printJSON(out, dump)
		}
	},
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
