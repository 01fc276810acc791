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
	// serves is set for commands that serve callers until they are asked to stop.
	serves bool
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
	// Received before the command is known, since a node that is starting may get one at any time. signal.Ignore could not
	// be undone for the other commands.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	chosen, ok := parse(args)
	if !ok {
		fmt.Fprintf(errors, "%s: expected a command; see %s --help\n", program, program)
		return exitBadInput
	}
	if chosen.serves {
		// A write to a log whose reader has ended must not end the process.
		signal.Ignore(syscall.SIGPIPE)
	} else {
		signal.Stop(hangUps)
	}
	err := chosen.act(ctx, out)
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(errors, "%s %s: %v\n", program, chosen.name, err)
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

// command is a verb with its full name, its flags as a parser reads them and what it does with them.
type command struct {
	name   string
	serves bool
	flags  *flaggy.Subcommand
	act    action
}

// parse reads the command line and returns the command that it names.
func parse(args []string) (chosen command, ok bool) {
	parser := flaggy.NewParser(program)
	parser.Description = "A router for language-model traffic with service levels and priorities."
	parser.Version = version
	parser.ShowHelpOnUnexpected = true
	attached := make(map[string]*flaggy.Subcommand)
	var all []command
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
		all = append(all, command{name: full, serves: v.serves, flags: sub, act: act})
	}
	if err := parser.ParseArgs(args); err != nil {
		return command{}, false
	}
	for _, c := range all {
		if c.flags.Used {
			return c, true
		}
	}
	return command{}, false
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
