// Package cli implements the parsleyhill command, which calls entry hosts on
// behalf of operators and callers.
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

// Exit statuses other than those of the error kinds.
const (
	exitOK = 0
	// exitViolation reports a load run that observed a broken guarantee.
	exitViolation = 1
	// exitFindings reports a check that has findings.
	exitFindings = 1
	// exitUsage reports invalid arguments, or a check that was not complete.
	exitUsage = 2
)

const rootHelp = `Commands print text; with -json they print one JSON document instead. Errors go
to standard error, with the error kind and whether the work was run.

Exit status: 0 success; 1 a load run observed a broken guarantee, or a check has
findings; 2 invalid arguments, or a check was not complete; 10 and above identify
the error kind, see "parsleyhill kinds".

Flags can be set through environment variables: PARSLEYHILL_CALLERS_URL sets
-url for request, ids, job, ready and load, PARSLEYHILL_OPERATORS_URL for the
other commands.`

// Tool is the parsleyhill command with its standard streams and transport.
type Tool struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Transport sends the HTTP requests to entry hosts.
	Transport http.RoundTripper
}

// Run executes the command that args name and returns its exit status.
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
		ShortHelp:  "Call the entry hosts of a site as an operator or a caller.",
		LongHelp:   rootHelp,
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			t.requestCommand(), t.idsCommand(), t.jobCommand(), t.loadCommand(), t.readyCommand(),
			t.planCommand(), t.confirmCommand(), t.configCommand(), t.explainCommand(), t.statusCommand(), t.kindsCommand(),
		},
		Exec: unknownCommand,
	}
}

// unknownCommand runs if args name no existing subcommand.
func unknownCommand(_ context.Context, args []string) error {
	if len(args) == 0 {
		return usageErrorf("a command is missing; -help lists the commands")
	}
	return usageErrorf("unknown command %q; -help lists the commands", args[0])
}

// usageError reports invalid arguments.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func usageErrorf(format string, args ...any) error {
	return usageError{fmt.Sprintf(format, args...)}
}

// report writes err to standard error and returns the exit status.
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
	case errors.Is(err, errFindings):
		// The report of the check is printed already.
		return exitFindings
	case errors.Is(err, errViolation{}):
		_, _ = fmt.Fprintln(t.Err, "parsleyhill:", err)
		return exitViolation
	case errors.As(err, &usage), !hasKind(err):
		_, _ = fmt.Fprintln(t.Err, "parsleyhill:", err)
		return exitUsage
	}
	return (&failure{err: err}).report(t.Err)
}

// newFlags returns an empty flag set that reports errors on standard error.
func (t *Tool) newFlags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(t.Err)
	return flags
}

// envOptions lets environment variables with the prefix set flags.
func envOptions(prefix string) []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(prefix)}
}

// Prefixes of the environment variables for commands that call the callers'
// port and the operators' port of an entry host.
const (
	envPrefixCallers   = "PARSLEYHILL_CALLERS"
	envPrefixOperators = "PARSLEYHILL_OPERATORS"
)

// parseArguments returns the positional arguments of a command and requires
// exactly one for each name. Flags may come before, between and after them.
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
		return nil, usageErrorf("%s: <%s> is missing; see -help", flags.Name(), names[len(found)])
	}
	if len(found) > len(names) {
		return nil, usageErrorf("%s: unexpected argument %q; see -help", flags.Name(), found[len(names)])
	}
	return found, nil
}
