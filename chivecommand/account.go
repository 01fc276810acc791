package chivecommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"chivedrift/chiveaccount"
	"chivedrift/chiveadmin"

	"github.com/integrii/flaggy"
)

// accountRequest is which nodes are summed up.
type accountRequest struct {
	files  []string
	admins []string
}

var accountVerb = verb{
	name: "account", usage: "Sum up what nodes spend on control: messages by kind, calls to the store, processor time and memory.",
	flags: func(s *flaggy.Subcommand) action {
		request := &accountRequest{}
		s.StringSlice(&request.files, "f", "file", "A state dump of one node, as the state command prints it; may be given again.")
		s.StringSlice(&request.admins, "a", "admin", "A node's admin IP:port; may be given again.")
		return request.run
	},
}

func (r *accountRequest) run(ctx context.Context, out io.Writer) error {
	if len(r.files)+len(r.admins) == 0 {
		return &exitError{exitBadInput, fmt.Errorf("--file or --admin is required")}
	}
	var nodes []chiveaccount.Node
	for _, file := range r.files {
		node, err := readDump(file)
		if err != nil {
			return &exitError{exitBadInput, err}
		}
		nodes = append(nodes, node)
	}
	for _, admin := range r.admins {
		var state json.RawMessage
		if err := adminGet(ctx, admin, chiveadmin.PathState, &state); err != nil {
			return err
		}
		node, err := chiveaccount.ReadNode(bytes.NewReader(state))
		if err != nil {
			return fmt.Errorf("%s: %w", admin, err)
		}
		nodes = append(nodes, node)
	}
	if err := chiveaccount.New(nodes).Write(out); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// readDump reads a saved dump; the error names the file.
func readDump(file string) (chiveaccount.Node, error) {
	dump, err := os.Open(file)
	if err != nil {
		return chiveaccount.Node{}, fmt.Errorf("dump: %w", err)
	}
	defer dump.Close()
	node, err := chiveaccount.ReadNode(dump)
	if err != nil {
		return chiveaccount.Node{}, fmt.Errorf("%s: %w", file, err)
	}
	return node, nil
}
