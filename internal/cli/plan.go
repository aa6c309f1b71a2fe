package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/entryclient"
)

const planHelp = `A plan lists the effects of an intent. Nothing changes until it is confirmed:

  parsleyhill plan drain backend-3 -operator wanjiru -reason "bad rig"
  parsleyhill confirm plan-....json

The plan is written to a file named after its id, or to the file given by -out.
With -json it is written to standard output, and to a file only if -out is set.

A plan that would do harm has warnings; it cannot be confirmed unless it was
planned with -force. "plan intent <file>" plans any intent, given as a JSON
document, which may contain comments.`

// planner builds one plan command and holds the values of its flags.
type planner struct {
	tool     *Tool
	flags    *flag.FlagSet
	client   *client
	out      string
	operator string
	reason   string
	force    bool
}

func (t *Tool) newPlanner(name string) *planner {
	flags := t.newFlags("plan " + name)
	p := &planner{tool: t, flags: flags, client: t.newClient(flags, "operators'", defaultOperatorsURL)}
	flags.StringVar(&p.out, "out", "", "`file` for the plan")
	return p
}

// newCommand returns a command that plans the intent made from its arguments.
func (p *planner) newCommand(name, help string, names []string, intent func(args []string) (config.Intent, error)) *ffcli.Command {
	p.flags.StringVar(&p.operator, "operator", "", "your `name`")
	p.flags.StringVar(&p.reason, "reason", "", "reason for the change, in a short `sentence`")
	p.flags.BoolVar(&p.force, "force", false, "acknowledge the plan's warnings")
	usage := "parsleyhill plan " + name
	for _, n := range names {
		usage += " <" + n + ">"
	}
	return &ffcli.Command{
		Name:       name,
		ShortUsage: usage + " -operator <name> -reason <sentence> [flags]",
		ShortHelp:  help,
		FlagSet:    p.flags,
		Options:    envOptions(envPrefixOperators),
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseArguments(p.flags, args, names...)
			if err != nil {
				return err
			}
			if p.operator == "" {
				return usageErrorf("%s: -operator is missing", p.flags.Name())
			}
			i, err := intent(args)
			if err != nil {
				return err
			}
			i.Operator, i.Reason, i.Force = p.operator, p.reason, p.force
			document, err := json.Marshal(i)
			if err != nil {
				return fmt.Errorf("encode intent: %w", err)
			}
			return p.plan(ctx, document)
		},
	}
}

func (t *Tool) planCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "plan",
		ShortUsage: "parsleyhill plan <intent> [flags] [arguments]",
		ShortHelp:  "Plan an intent. Nothing changes until the plan is confirmed.",
		LongHelp:   planHelp,
		FlagSet:    t.newFlags("plan"),
		Subcommands: []*ffcli.Command{
			t.planIntentCommand(), t.planHostCommand(config.Drain, "Take a host out of service: it gets no new work."),
			t.planHostCommand(config.Undrain, "Return a drained host to service."), t.planWeightCommand(),
			t.planZoneCommand("evacuate-zone", config.EvacuateZone, "Give the backend servers and workers of a zone no new work."),
			t.planZoneCommand("readmit-zone", config.ReadmitZone, "Return an evacuated zone to service."),
			t.planSetCustomerCommand(), t.planRemoveCustomerCommand(), t.planSetTeamCommand(), t.planRemoveTeamCommand(),
			t.planOutcomeCommand(),
		},
		Exec: unknownCommand,
	}
}

func (t *Tool) planIntentCommand() *ffcli.Command {
	p := t.newPlanner("intent")
	return &ffcli.Command{
		Name:       "intent",
		ShortUsage: "parsleyhill plan intent [flags] <file>",
		ShortHelp:  "Plan the intent in a JSON document; \"-\" reads standard input.",
		FlagSet:    p.flags,
		Options:    envOptions(envPrefixOperators),
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseArguments(p.flags, args, "file")
			if err != nil {
				return err
			}
			document, err := t.readDocument(args[0])
			if err != nil {
				return err
			}
			return p.plan(ctx, document)
		},
	}
}

func (t *Tool) planHostCommand(verb config.Verb, help string) *ffcli.Command {
	return t.newPlanner(string(verb)).newCommand(string(verb), help, []string{"host"}, func(args []string) (config.Intent, error) {
		return config.Intent{Verb: verb, Host: args[0]}, nil
	})
}

func (t *Tool) planZoneCommand(name string, verb config.Verb, help string) *ffcli.Command {
	return t.newPlanner(name).newCommand(name, help, []string{"zone"}, func(args []string) (config.Intent, error) {
		return config.Intent{Verb: verb, Zone: args[0]}, nil
	})
}

func (t *Tool) planWeightCommand() *ffcli.Command {
	names := []string{"customer", "backend", "weight"}
	help := "Set a backend server's weight for a customer; 0 gives it no work."
	return t.newPlanner("set-weight").newCommand("set-weight", help, names, func(args []string) (config.Intent, error) {
		weight, err := strconv.ParseFloat(args[2], 64)
		if err != nil {
			return config.Intent{}, usageErrorf("plan set-weight: %q is not a number", args[2])
		}
		return config.Intent{Verb: config.SetWeight, Customer: args[0], Host: args[1], Weight: &weight}, nil
	})
}

func (t *Tool) planSetCustomerCommand() *ffcli.Command {
	help := "Replace a customer's rules with those in a JSON document."
	return t.newPlanner("set-customer").newCommand("set-customer", help, []string{"customer", "file"}, func(args []string) (config.Intent, error) {
		document, err := t.readDocument(args[1])
		if err != nil {
			return config.Intent{}, err
		}
		var rules standing.Customer
		if err := json.Unmarshal(document, &rules); err != nil {
			return config.Intent{}, usageErrorf("%s: %v", args[1], err)
		}
		return config.Intent{Verb: config.SetCustomer, Customer: args[0], Rules: &rules}, nil
	})
}

func (t *Tool) planRemoveCustomerCommand() *ffcli.Command {
	help := "Remove a customer: all its new work is refused."
	return t.newPlanner("remove-customer").newCommand("remove-customer", help, []string{"customer"}, func(args []string) (config.Intent, error) {
		return config.Intent{Verb: config.RemoveCustomer, Customer: args[0]}, nil
	})
}

func (t *Tool) planSetTeamCommand() *ffcli.Command {
	p := t.newPlanner("set-team")
	var rules standing.Team
	p.flags.IntVar(&rules.Weight, "weight", 1, "the team's `share` when teams compete")
	p.flags.IntVar(&rules.Slots, "slots", 0, "maximum number of concurrent `requests` on one entry host; 0 means no limit")
	p.flags.IntVar(&rules.Cores, "cores", 0, "maximum number of worker `cores` in use at once; 0 means no limit")
	return p.newCommand("set-team", "Replace one team's rules.", []string{"customer", "team"}, func(args []string) (config.Intent, error) {
		return config.Intent{Verb: config.SetTeam, Customer: args[0], Team: args[1], TeamRules: &rules}, nil
	})
}

func (t *Tool) planRemoveTeamCommand() *ffcli.Command {
	help := "Remove a team of a customer."
	return t.newPlanner("remove-team").newCommand("remove-team", help, []string{"customer", "team"}, func(args []string) (config.Intent, error) {
		return config.Intent{Verb: config.RemoveTeam, Customer: args[0], Team: args[1]}, nil
	})
}

// plan requests the plan of an intent, prints it and writes it to a file.
func (p *planner) plan(ctx context.Context, intent []byte) error {
	var plan config.Plan
	raw, err := p.client.document(ctx, call{
		Call:       entryclient.Call{Method: http.MethodPost, Path: operator.PathPlans, Body: intent},
		repeatable: true,
	}, &plan)
	if err != nil {
		return err
	}
	out := p.out
	if out == "" && !p.client.asJSON {
		out = plan.ID + ".json"
	}
	if out != "" {
		if err := os.WriteFile(out, raw, planFileMode); err != nil {
			return fmt.Errorf("write plan: %w", err)
		}
	}
	if p.client.asJSON {
		return p.tool.printRaw(raw)
	}
	return p.tool.printPlan(plan, out)
}

// planFileMode is the permission mode of a plan's file.
const planFileMode = 0o600

func (t *Tool) printPlan(plan config.Plan, out string) error {
	w := t.Out
	_, err := fmt.Fprintf(w, "%s by %s is based on version %d. It\n", plan.ID, plan.Intent.Operator, plan.Base)
	for _, effect := range plan.Effects {
		_, _ = fmt.Fprintf(w, "  - %s\n", effect)
	}
	_, _ = fmt.Fprintf(w, "In flight: %s.\nIt is valid %s.\n", plan.InFlight, plan.Validity)
	for _, warning := range plan.Warnings {
		_, _ = fmt.Fprintf(w, "WARNING: %s\n", warning)
	}
	if len(plan.Warnings) > 0 && !plan.Intent.Force {
		_, _ = fmt.Fprintln(w, "It cannot be confirmed. To proceed despite the warnings, plan again with -force, or \"force\": true in the intent.")
		return err
	}
	_, _ = fmt.Fprintf(w, "Nothing has changed yet. To proceed: parsleyhill confirm %s\n", out)
	return err
}
