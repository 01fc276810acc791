package chivecommand

import (
	"context"
	"fmt"
	"io"

	"chivedrift/chiveconfig"
	"chivedrift/chivelog"

	"github.com/integrii/flaggy"
)

var configDiffVerb = verb{
	group: configGroup, name: "diff", usage: "Show what a folder would change against the version on the log.",
	flags: func(s *flaggy.Subcommand) action {
		var folder, log string
		s.String(&folder, "f", "folder", "The folder with base.yaml and one overlay a site.")
		s.String(&log, "l", "log", "The platform log's IP:port.")
		return func(ctx context.Context, out io.Writer) error {
			bundle, err := checkedBundle(folder)
			if err != nil {
				return err
			}
			if err := required("log", log); err != nil {
				return err
			}
			h, _, err := history(ctx, chivelog.NewClient(log, log, nil))
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "against version %d, hash %s\n%s", h.Version(), h.Current().Bundle.Hash(), chiveconfig.Diff(h.Current().Bundle, bundle))
			return nil
		}
	},
}
