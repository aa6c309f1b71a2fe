// Package cli is the command-line tool: it calls entry hosts on behalf of
// operators and callers.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// exitUsage is the exit status after wrong arguments.
const exitUsage = 2

// streams are the tool's input and outputs.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// Run runs the tool and returns its exit status: 0, 2 after wrong arguments,
// or the status of the error kind.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	s := streams{in: in, out: out, err: errOut}
	root := &ffcli.Command{
		Name:       "parsleyhill",
		ShortUsage: "parsleyhill <command> [flags]",
		FlagSet:    flag.NewFlagSet("parsleyhill", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			requestCommand(s), jobCommand(s), planCommand(s), confirmCommand(s), explainCommand(s), statusCommand(s),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	root.FlagSet.SetOutput(errOut)
	err := root.ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	}
	return report(errOut, err)
}

// report writes an error with its kind and whether the work was run.
func report(w io.Writer, err error) int {
	e := errkind.From(err)
	_, _ = fmt.Fprintf(w, "parsleyhill: %s (%s): %s\n", e.Kind, e.Run, e.Detail)
	if e.Err != nil {
		_, _ = fmt.Fprintf(w, "  cause: %v\n", e.Err)
	}
	return errkind.Lookup(e.Kind).Exit
}
