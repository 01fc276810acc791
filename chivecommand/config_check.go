package chivecommand

import (
	"context"
	"fmt"
	"io"

	"chivedrift/chiveconfig"

	"github.com/integrii/flaggy"
)

var configCheckVerb = verb{
	group: configGroup, name: "check", usage: "Check base.yaml and every overlay in a folder; prints all problems at once.",
	flags: func(s *flaggy.Subcommand) action {
		var folder string
		s.String(&folder, "f", "folder", "The folder with base.yaml and one overlay a site.")
		return func(_ context.Context, out io.Writer) error {
			bundle, err := checkedBundle(folder)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "ok: %d sites, hash %s\n", len(bundle.Overlays), bundle.Hash())
			return nil
		}
	},
}

// checkedBundle reads a folder and returns its bundle only when every site's configuration is right.
func checkedBundle(folder string) (chiveconfig.Bundle, error) {
	if err := required("folder", folder); err != nil {
		return chiveconfig.Bundle{}, err
	}
	bundle, err := chiveconfig.ReadBundle(folder)
	if err != nil {
		return bundle, &exitError{exitBadInput, err}
	}
	if err := bundle.Check(); err != nil {
		return bundle, &exitError{exitBadInput, fmt.Errorf("the configuration has problems:\n%w", err)}
	}
	return bundle, nil
}
