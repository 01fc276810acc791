package chivecommand

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chivelog"

	"github.com/integrii/flaggy"
)

// publishRequest is what an operator wants published, and on which version it was made.
type publishRequest struct {
	folder string
	log    string
	list   string
	author string
	parent int64
	wait   time.Duration
}

const (
	publishWait = 10 * time.Second
	publishPoll = 100 * time.Millisecond
	idBytes     = 12
)

var configPublishVerb = verb{
	group: configGroup, name: "publish",
	usage: "Publish a folder as the next version; says accepted, rejected (exit 3) or unknown (exit 4), then what is in force on each node.",
	flags: func(s *flaggy.Subcommand) action {
		r := publishRequest{parent: -1, wait: publishWait}
		s.String(&r.folder, "f", "folder", "The folder with base.yaml and one overlay a site.")
		s.String(&r.log, "l", "log", "The platform log's IP:port.")
		s.String(&r.list, "m", "vm-list", "The platform VM list's IP:port; the log's when not given.")
		s.String(&r.author, "a", "author", "Who publishes.")
		s.Int64(&r.parent, "p", "parent", "The version this change was made from; 0 for the first.")
		s.Duration(&r.wait, "w", "wait", "How long to look for the result.")
		return r.run
	},
}

func (r *publishRequest) check() error {
	for flag, value := range map[string]string{"folder": r.folder, "log": r.log, "author": r.author} {
		if err := required(flag, value); err != nil {
			return err
		}
	}
	if r.parent < 0 {
		return &exitError{exitBadInput, errors.New("--parent is required: the version this change was made from, 0 for the first")}
	}
	if r.list == "" {
		r.list = r.log
	}
	return nil
}

func (r *publishRequest) run(ctx context.Context, out io.Writer) error {
	if err := r.check(); err != nil {
		return err
	}
	bundle, err := checkedBundle(r.folder)
	if err != nil {
		return err
	}
	client := chivelog.NewClient(r.log, r.list, nil)
	h, next, err := history(ctx, client)
	if err != nil {
		return fmt.Errorf("nothing was published: %w", err)
	}
	if h.Rooted() && h.Version() != r.parent {
		return rejected(h.Current(), bundle)
	}
	record, err := newRecord(bundle, r.author, r.parent)
	if err != nil {
		return err
	}
	if err := r.append(ctx, client, record); err != nil {
		return err
	}
	if err := r.readBack(ctx, out, client, h, next, record); err != nil {
		return err
	}
	return showInForce(ctx, out, client)
}

func newRecord(bundle chiveconfig.Bundle, author string, parent int64) (chiveconfig.Record, error) {
	id := make([]byte, idBytes)
	if _, err := rand.Read(id); err != nil {
		return chiveconfig.Record{}, fmt.Errorf("identity: %w", err)
	}
	return chiveconfig.Record{
		ID: hex.EncodeToString(id), Kind: chiveconfig.KindPublish, Parent: parent, Author: author, AtMs: time.Now().UnixMilli(), Bundle: bundle,
	}, nil
}

// append writes the record once. When the answer is lost, reading back finds out; the record is not written again.
func (r *publishRequest) append(ctx context.Context, client *chivelog.Client, record chiveconfig.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	_, err = client.Append(ctx, chiveconfig.Stream, data)
	if errors.Is(err, chivelog.ErrNotAppended) {
		return fmt.Errorf("nothing was published: %w", err)
	}
	return nil
}

// readBack looks for the record on the log until it knows what the rule of acceptance says of it.
func (r *publishRequest) readBack(ctx context.Context, out io.Writer, client *chivelog.Client, h *chiveconfig.History, next int64, record chiveconfig.Record) error {
	ctx, cancel := context.WithTimeout(ctx, r.wait)
	defer cancel()
	for {
		if from, err := extend(ctx, client, h, next); err == nil {
			next = from
		}
		if outcome, known := h.Outcome(record.ID); known {
			return tell(out, outcome, record)
		}
		select {
		case <-time.After(publishPoll):
		case <-ctx.Done():
			return &exitError{exitUnknown, fmt.Errorf("unknown: the log did not say in %s whether it took the record %s; it may still come into force; look with config show", r.wait, record.ID)}
		}
	}
}

func tell(out io.Writer, outcome chiveconfig.Outcome, record chiveconfig.Record) error {
	if outcome.Verdict != chiveconfig.Accepted {
		return rejected(outcome.Winner, record.Bundle)
	}
	fmt.Fprintf(out, "accepted: version %d, hash %s\n", outcome.Version, record.Bundle.Hash())
	return nil
}

// rejected tells whose change came first and how it differs from the one that lost.
func rejected(winner chiveconfig.Record, bundle chiveconfig.Bundle) error {
	return &exitError{exitRejected, fmt.Errorf("rejected: version %d by %s, hash %s, is in force now; make your change from it. Its difference to yours:\n%s",
		winner.Version, winner.Author, winner.Bundle.Hash(), chiveconfig.Diff(winner.Bundle, bundle))}
}
