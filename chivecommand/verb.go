package chivecommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"chivedrift/chiveyaml"

	"github.com/integrii/flaggy"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailure  = 1
	exitBadInput = 2
	exitRejected = 3
	exitUnknown  = 4
)

const program = "chivedrift"

// verb is one command: its place in the command line, what it says about itself and what it does.
type verb struct {
	group string
	name  string
	usage string
	flags func(s *flaggy.Subcommand) action
}

// action runs a verb once its flags were read.
type action func(ctx context.Context, out io.Writer) error

// verbs is the table through which every verb is found.
func verbs() []verb {
	return []verb{
		nodeVerb,
		entryVerb,
		configCheckVerb,
		configDiffVerb,
		configPublishVerb,
		configShowVerb,
		stateVerb,
		accountVerb,
		evacuationsVerb,
		evacuateVerb,
		explainVerb,
		reportVerb,
		quickstartVerb,
		loadVerb,
		experimentVerb,
	}
}

const configGroup = "config"

var groups = map[string]string{configGroup: "Check, compare, publish and show the configuration."}

// exitError carries the exit code that an error asks for.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// Main runs the program and returns its exit code.
func Main(args []string, out, errors io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	chosen, act := parse(args)
	if act == nil {
		fmt.Fprintf(errors, "%s: expected a command; see %s --help\n", program, program)
		return exitBadInput
	}
	err := act(ctx, out)
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(errors, "%s %s: %v\n", program, chosen, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	var problems chiveyaml.FieldErrors
	if errors.As(err, &problems) {
		return exitBadInput
	}
	return exitFailure
}

// parse reads the command line and returns the chosen verb's name and action.
func parse(args []string) (name string, act action) {
	parser := flaggy.NewParser(program)
	parser.Description = "A router for language-model traffic with service levels and priorities."
	parser.Version = version
	parser.ShowHelpOnUnexpected = true
	attached := make(map[string]*flaggy.Subcommand)
	type built struct {
		name string
		sub  *flaggy.Subcommand
		act  action
	}
	var all []built
	for _, v := range verbs() {
		sub := flaggy.NewSubcommand(v.name)
		sub.Description = v.usage
		act := v.flags(sub)
		full := v.name
		if v.group == "" {
			parser.AttachSubcommand(sub, 1)
		} else {
			groupOf(parser, attached, v.group).AttachSubcommand(sub, 1)
			full = v.group + " " + v.name
		}
		all = append(all, built{full, sub, act})
	}
	if err := parser.ParseArgs(args); err != nil {
		return "", nil
	}
	for _, b := range all {
		if b.sub.Used {
			return b.name, b.act
		}
	}
	return "", nil
}

func groupOf(parser *flaggy.Parser, attached map[string]*flaggy.Subcommand, name string) *flaggy.Subcommand {
	if group, ok := attached[name]; ok {
		return group
	}
	group := flaggy.NewSubcommand(name)
	group.Description = groups[name]
	parser.AttachSubcommand(group, 1)
	attached[name] = group
	return group
}

const version = "0.1.0"

// required reports a flag that was not given.
func required(flag, value string) error {
	if value != "" {
		return nil
	}
	return &exitError{exitBadInput, fmt.Errorf("--%s is required", flag)}
}
