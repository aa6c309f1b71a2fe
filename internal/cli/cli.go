// Package cli is the command-line tool: it calls entry hosts on behalf of
// operators and callers.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// The exit statuses that belong to no error kind.
const (
	exitOK = 0
	// exitBroken follows a load run that saw a promise broken.
	exitViolation = 1
	// exitUsage follows wrong arguments.
	exitUsage = 2
)

// rootHelp is the help of the whole tool.
const rootHelp = `Each command prints for people; -json prints one JSON document for programs.
Errors go to the error stream with their kind and whether the work was run.

Exit status: 0 done; 1 a load run saw a promise broken; 2 wrong arguments;
10 and above the kind of the error, see "parsleyhill kinds".

A flag can be set in the environment: PARSLEYHILL_CALLERS_URL for request,
ids, job, ready and load, PARSLEYHILL_OPERATORS_URL for the others.`

// Tool is the command-line tool with its surroundings.
type Tool struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Transport carries the calls to entry hosts.
	Transport http.RoundTripper
}

// Run runs one command and returns the exit status.
func (t *Tool) Run(ctx context.Context, args []string) int {
	root := t.root()
	if len(args) == 0 {
		_, _ = fmt.Fprintln(t.Err, ffcli.DefaultUsageFunc(root))
		return exitUsage
	}
	return t.report(root.ParseAndRun(ctx, args))
}

func (t *Tool) root() *ffcli.Command {
	flags := flag.NewFlagSet("parsleyhill", flag.ContinueOnError)
	flags.SetOutput(t.Err)
	return &ffcli.Command{
		Name:       "parsleyhill",
		ShortUsage: "parsleyhill <command> [flags] [arguments]",
		ShortHelp:  "Drive the entry hosts of a site as an operator or a caller.",
		LongHelp:   rootHelp,
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			t.requestCommand(), t.idsCommand(), t.jobCommand(), t.loadCommand(), t.readyCommand(),
			t.planCommand(), t.confirmCommand(), t.explainCommand(), t.statusCommand(), t.kindsCommand(),
		},
		Exec: unknownCommand,
	}
}

// unknownCommand is run in place of a subcommand that does not exist.
func unknownCommand(_ context.Context, args []string) error {
	if len(args) == 0 {
		return usageErrorf("a command is missing; -help lists them")
	}
	return usageErrorf("unknown command %q; -help lists them", args[0])
}

// usageError is a mistake in the arguments.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func usageErrorf(format string, args ...any) error {
	return usageError{fmt.Sprintf(format, args...)}
}

// report writes an error and returns the exit status.
func (t *Tool) report(err error) int {
	var usage usageError
	var failed *failure
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &failed):
		return failed.report(t.Err)
	case errors.Is(err, errViolation{}):
		_, _ = fmt.Fprintln(t.Err, "parsleyhill:", err)
		return exitViolation
	case errors.As(err, &usage), !hasKind(err):
		_, _ = fmt.Fprintln(t.Err, "parsleyhill:", err)
		return exitUsage
	}
	return (&failure{err: err}).report(t.Err)
}

// newFlags returns the flags of one command.
func (t *Tool) newFlags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(t.Err)
	return flags
}

// env lets the environment set flags, under a prefix.
func envOptions(prefix string) []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(prefix)}
}

// The prefixes of the environment for both ports of an entry host.
const (
	envPrefixCallers   = "PARSLEYHILL_CALLERS"
	envPrefixOperators = "PARSLEYHILL_OPERATORS"
)

// arguments returns the arguments of a command that takes exactly the named
// ones. Flags may stand before, between and after them.
func parseArguments(flags *flag.FlagSet, args []string, names ...string) ([]string, error) {
	var found []string
	for len(args) > 0 {
		found = append(found, args[0])
		if err := flags.Parse(args[1:]); err != nil {
			return nil, err
		}
		args = flags.Args()
	}
	if len(found) < len(names) {
		return nil, usageErrorf("%s: <%s> is missing; -help explains", flags.Name(), names[len(found)])
	}
	if len(found) > len(names) {
		return nil, usageErrorf("%s: unexpected argument %q; -help explains", flags.Name(), found[len(names)])
	}
	return found, nil
}
