package chivecommand

import (
	"context"
	"errors"
	"fmt"
	"io"

	"chivedrift/chiveadmin"
	"chivedrift/chivegate"
	"chivedrift/chivelog"

	"github.com/integrii/flaggy"
)

var explainVerb = verb{
	name: "explain", usage: "Tell why a request ran where and when it did.",
	flags: func(s *flaggy.Subcommand) action {
		var admin, list, id string
		s.String(&admin, "a", "admin", "The admin IP:port of the node that accepted the request.")
		s.String(&list, "m", "vm-list", "The platform VM list's IP:port, to find that node by the request's identity.")
		s.AddPositionalValue(&id, "request", 1, true, "The request's identity, from the answer's Chivedrift-Request-Id.")
		return func(ctx context.Context, out io.Writer) error {
			if admin == "" {
				found, err := nodeAdmin(ctx, list, id)
				if err != nil {
					return err
				}
				admin = found
			}
			var x chivegate.Explanation
			if err := adminGet(ctx, admin, chiveadmin.PathExplain+id, &x); err != nil {
				return err
			}
			return printJSON(out, x)
		}
	},
}

// nodeAdmin finds the admin address of the node that gave a request its identity.
func nodeAdmin(ctx context.Context, list, id string) (string, error) {
	if list == "" {
		return "", &exitError{exitBadInput, errors.New("--admin or --vm-list is required")}
	}
	vms, err := chivelog.NewClient(list, list, nil).VMs(ctx)
	if err != nil {
		return "", fmt.Errorf("list of nodes: %w", err)
	}
	for _, vm := range vms {
		if vm.Name == chivegate.NodeOf(id) {
			return vm.AdminAddress, nil
		}
	}
	return "", fmt.Errorf("no node %q in the list of VMs", chivegate.NodeOf(id))
}
