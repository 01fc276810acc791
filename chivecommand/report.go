package chivecommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"chivedrift/chivereport"

	"github.com/integrii/flaggy"
)

// reportRequest is which logs are read and how the report comes out.
type reportRequest struct {
	logs   []string
	json   bool
	page   string
	window int
}

// reportWindow is the length of the moments by which losses are told apart, in seconds.
const reportWindow = 2

var reportVerb = verb{
	name: "report", usage: "Tell from log lines which requests were lost or late, on which route, when and why.",
	flags: func(s *flaggy.Subcommand) action {
		r := reportRequest{window: reportWindow}
		s.StringSlice(&r.logs, "l", "log", "A file with log lines of one or more processes, or - for standard input; may be given again.")
		s.Bool(&r.json, "j", "json", "Print every row as JSON.")
		s.String(&r.page, "g", "page", "Write one HTML page with plots to this file.")
		s.Int(&r.window, "w", "window", "The length of a moment, in seconds.")
		return r.run
	},
}

func (r *reportRequest) run(_ context.Context, out io.Writer) error {
	if len(r.logs) == 0 {
		return required("log", "")
	}
	if r.window < 1 {
		return &exitError{exitBadInput, fmt.Errorf("--window: expected a number of seconds above 0, found %d", r.window)}
	}
	report := chivereport.New(time.Duration(r.window) * time.Second)
	for _, file := range r.logs {
		if err := readInto(report, file); err != nil {
			return &exitError{exitBadInput, err}
		}
	}
	report.Finish()
	if r.page != "" {
		if err := writeFile("--page", r.page, report.WritePage); err != nil {
			return err
		}
	}
	if r.json {
		return report.WriteJSON(out)
	}
	report.WriteTable(out)
	return nil
}

func readInto(report *chivereport.Report, file string) error {
	if file == "-" {
		return report.Read(os.Stdin, "stdin")
	}
	from, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer from.Close()
	return report.Read(from, filepath.Base(file))
}

// writeFile writes a file that a flag asked for.
func writeFile(flag, file string, write func(out io.Writer) error) error {
	to, err := os.OpenFile(file, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("%s: %w", flag, err)
	}
	if err := write(to); err != nil {
		_ = to.Close()
		return fmt.Errorf("%s: %w", flag, err)
	}
	if err := to.Close(); err != nil {
		return fmt.Errorf("%s: %w", flag, err)
	}
	return nil
}
