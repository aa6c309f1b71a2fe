package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

func (t *Tool) kindsCommand() *ffcli.Command {
	flags := t.newFlags("kinds")
	asJSON := flags.Bool("json", false, "print one JSON document")
	return &ffcli.Command{
		Name:       "kinds",
		ShortUsage: "parsleyhill kinds [flags]",
		ShortHelp:  "List the error kinds with their exit statuses.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if _, err := parseArguments(flags, args); err != nil {
				return err
			}
			return t.printKinds(*asJSON)
		},
	}
}

// kindRow describes one error kind; -json prints it under these tags.
type kindRow struct {
	Kind   errkind.Kind     `json:"kind"`
	Exit   int              `json:"exit_status"`
	Status int              `json:"http_status"`
	Run    errkind.RunState `json:"run"`
	Retry  errkind.Retry    `json:"retry"`
}

// kindRows returns all error kinds in order of exit status.
func kindRows() []kindRow {
	var rows []kindRow
	for _, k := range errkind.All() {
		r := errkind.Lookup(k)
		rows = append(rows, kindRow{Kind: k, Exit: r.Exit, Status: r.HTTPStatus, Run: r.Run, Retry: r.Retry})
	}
	slices.SortFunc(rows, func(a, b kindRow) int { return cmp.Compare(a.Exit, b.Exit) })
	return rows
}

func (t *Tool) printKinds(asJSON bool) error {
	if asJSON {
		return json.NewEncoder(t.Out).Encode(kindRows())
	}
	w := tabwriter.NewWriter(t.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "KIND\tEXIT STATUS\tHTTP STATUS\tRUN\tRETRY")
	for _, r := range kindRows() {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\n", r.Kind, r.Exit, r.Status, r.Run, r.Retry)
	}
	return w.Flush()
}
