package chivecommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"chivedrift/chiveadmin"
	"chivedrift/chivegate"
	"chivedrift/chivelog"
	"chivedrift/chivetrace"

	"github.com/integrii/flaggy"
)

var explainVerb = verb{
	name: "explain", usage: "Tell why a request ran where and when it did.",
	flags: func(s *flaggy.Subcommand) action {
		var admin, list, id string
		var logs []string
		s.String(&admin, "a", "admin", "The admin IP:port of the node that accepted the request.")
		s.String(&list, "m", "vm-list", "The platform VM list's IP:port, to find that node by the request's identity.")
		s.StringSlice(&logs, "l", "log", "A file with log lines of one or more processes, or - for standard input; may be given again.")
		s.AddPositionalValue(&id, "request", 1, true, "The request's identity, from its answer or from a log line.")
		return func(ctx context.Context, out io.Writer) error {
			if len(logs) > 0 {
				return explainFromLogs(out, logs, id)
			}
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

// explainFromLogs tells a request's trace from log lines alone, also when its process is gone.
func explainFromLogs(out io.Writer, files []string, id string) error {
	var lines []chivetrace.Line
	for _, file := range files {
		more, err := readLog(file)
		if err != nil {
			return &exitError{exitBadInput, err}
		}
		lines = append(lines, more...)
	}
	trace, ok := chivetrace.Collect(lines, id)
	if !ok {
		return fmt.Errorf("none of the %d log lines names request %q", len(lines), id)
	}
	trace.Write(out)
	return nil
}

func readLog(file string) ([]chivetrace.Line, error) {
	if file == "-" {
		return chivetrace.Read(os.Stdin, "stdin")
	}
	from, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	defer from.Close()
	return chivetrace.Read(from, filepath.Base(file))
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
