package cli

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/decision"
)

const explainHelp = `The id names a request, job, task, backend server, worker, entry host, zone or plan.
Any entry host can answer: it collects the decisions of all entry hosts and
lists the hosts that it could not reach. Each decision names its rule, its
inputs, the configuration version and the operator's intent behind that version.`

func (t *Tool) explainCommand() *ffcli.Command {
	flags := t.newFlags("explain")
	client := t.newClient(flags, "operators'", defaultOperatorsURL)
	last := flags.Int("last", 0, "print only the last `number` of decisions; 0 prints all")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "parsleyhill explain [flags] <id>",
		ShortHelp:  "Print what was decided about an id, why, and which intent caused it.",
		LongHelp:   explainHelp,
		FlagSet:    flags,
		Options:    envOptions(envPrefixOperators),
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseArguments(flags, args, "id")
			if err != nil {
				return err
			}
			var e operator.Explanation
			raw, err := client.get(ctx, operator.PathExplain+"/"+url.PathEscape(args[0]), &e)
			if err != nil {
				return withID(err, args[0])
			}
			if client.asJSON {
				return t.printRaw(raw)
			}
			return t.printExplanation(e, *last)
		},
	}
}

func (t *Tool) printExplanation(e operator.Explanation, last int) error {
	_, err := fmt.Fprintf(t.Out, "%s: %d decisions found on %d entry hosts\n", e.Subject, len(e.Records), len(e.Hosts))
	records := e.Records
	if skipped := len(records) - last; last > 0 && skipped > 0 {
		records = records[skipped:]
		_, _ = fmt.Fprintf(t.Out, "  (%d earlier decisions omitted)\n", skipped)
	}
	for _, r := range records {
		t.printRecord(r)
	}
	if len(e.Unreached) > 0 {
		_, _ = fmt.Fprintf(t.Out, "  not reached, so the list may be incomplete: %s\n", strings.Join(e.Unreached, ", "))
	}
	return err
}

func (t *Tool) printRecord(r decision.Record) {
	rule := ""
	if r.Rule != "" {
		rule = " by rule " + r.Rule
	}
	_, _ = fmt.Fprintf(t.Out, "  %s %s %s: %s%s: %s\n", r.Time.Format(time.StampMilli), r.Host, r.Part, r.Action, rule, r.Why)
	_, _ = fmt.Fprintf(t.Out, "      about %s; version %d, intent %s\n", strings.Join(r.Subjects, ", "), r.Version, orNone(r.Intent))
}
