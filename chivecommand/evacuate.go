package chivecommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"chivedrift/chivelog"
	"chivedrift/chivewire"
	chiveplatform "chivedrift/platform"

	"github.com/integrii/flaggy"
)

// evacuateTimeout is how long the store may take to accept a record.
const evacuateTimeout = 10 * time.Second

// evacuateRequest is the failure domain to evacuate, or whose evacuation to end.
type evacuateRequest struct {
	store  string
	domain string
	end    bool
}

var evacuateVerb = verb{
	name: "evacuate", usage: "Evacuate a failure domain through the platform's store, or end its evacuation; says accepted, rejected (exit 3) or unknown (exit 4).",
	flags: func(s *flaggy.Subcommand) action {
		request := &evacuateRequest{}
		s.String(&request.store, "s", "store", "The store's IP:port.")
		s.String(&request.domain, "d", "failure-domain", "The failure domain.")
		s.Bool(&request.end, "e", "end", "End the evacuation.")
		return request.run
	},
}

func (r *evacuateRequest) run(ctx context.Context, out io.Writer) error {
	for flag, value := range map[string]string{"store": r.store, "failure-domain": r.domain} {
		if err := required(flag, value); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	err := chiveplatform.NewStore(r.store, "", chivewire.TCP{}).SetEvacuated(ctx, r.domain, !r.end)
	switch {
	case errors.Is(err, chivelog.ErrNotAppended):
		return &exitError{exitRejected, fmt.Errorf("rejected, nothing has changed: %w; the platform may accept evacuations only from its own operators", err)}
	case err != nil:
		return &exitError{exitUnknown, fmt.Errorf("unknown, look with evacuations: %w", err)}
	}
	verdict := "evacuated"
	if r.end {
		verdict = "evacuation ended"
	}
	fmt.Fprintf(out, "accepted: %s: %s\n", r.domain, verdict)
	return nil
}
