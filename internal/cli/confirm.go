package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/entryclient"
)

const confirmHelp = `If the outcome is unknown, ask for it with "parsleyhill plan outcome <plan>", or
confirm the same file again: a plan counts once, however often it is confirmed.`

func (t *Tool) confirmCommand() *ffcli.Command {
	flags := t.newFlags("confirm")
	client := t.client(flags, "operators'", defaultOperators)
	return &ffcli.Command{
		Name:       "confirm",
		ShortUsage: "parsleyhill confirm [flags] <file>",
		ShortHelp:  "Confirm the plan in a file; \"-\" reads the standard input.",
		LongHelp:   confirmHelp,
		FlagSet:    flags,
		Options:    env(envOperators),
		Exec: func(ctx context.Context, args []string) error {
			args, err := arguments(flags, args, "file")
			if err != nil {
				return err
			}
			plan, err := t.readDocument(args[0])
			if err != nil {
				return err
			}
			var c operator.PlanResult
			send := entryclient.Call{Method: http.MethodPost, Path: operator.PathConfirms, Body: plan}
			raw, err := client.document(ctx, call{Call: send}, &c)
			if err != nil {
				return withID(err, planID(plan))
			}
			return t.printConfirmed(client.asJSON, raw, c)
		},
	}
}

// planID returns the id in a plan's document, or nothing.
func planID(document []byte) string {
	var plan struct {
		ID string `json:"id"`
	}
	// The entry host refuses a document that is no plan.
	_ = json.Unmarshal(document, &plan)
	return plan.ID
}

func (t *Tool) printConfirmed(asJSON bool, raw []byte, c operator.PlanResult) error {
	if asJSON {
		return t.printRaw(raw)
	}
	_, err := fmt.Fprintf(t.Out, "%s is %s, version %d\n", c.Plan, c.Result, c.Version)
	if c.Reason != "" {
		_, _ = fmt.Fprintf(t.Out, "  %s\n", c.Reason)
	}
	return err
}

func (t *Tool) planOutcomeCommand() *ffcli.Command {
	flags := t.newFlags("plan outcome")
	client := t.client(flags, "operators'", defaultOperators)
	return &ffcli.Command{
		Name:       "outcome",
		ShortUsage: "parsleyhill plan outcome [flags] <plan>",
		ShortHelp:  "Tell what became of a confirmed plan, by its id.",
		FlagSet:    flags,
		Options:    env(envOperators),
		Exec: func(ctx context.Context, args []string) error {
			args, err := arguments(flags, args, "plan")
			if err != nil {
				return err
			}
			var c operator.PlanResult
			raw, err := client.get(ctx, operator.PathPlans+"/"+url.PathEscape(args[0]), &c)
			if err != nil {
				return withID(err, args[0])
			}
			return t.printConfirmed(client.asJSON, raw, c)
		},
	}
}
