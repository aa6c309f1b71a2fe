package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const defaultOperators = "http://127.0.0.1:7201"

func planCommand(s streams) *ffcli.Command {
	flags := flag.NewFlagSet("plan", flag.ContinueOnError)
	url := flags.String("url", defaultOperators, "operators' `URL` of an entry host")
	return &ffcli.Command{
		Name:       "plan",
		ShortUsage: "parsleyhill plan [flags] < intent.json > plan.json",
		ShortHelp:  "Turn an intent into a plan. Nothing happens until it is confirmed.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			_, body, err := call(ctx, http.MethodPost, *url+operator.PathPlans, nil, s.in)
			if err != nil {
				return err
			}
			return printPlan(s, body)
		},
	}
}

// printPlan writes the plan for people to the error stream and as it is to
// the output, so that it can be confirmed.
func printPlan(s streams, body []byte) error {
	var p config.Plan
	if err := json.Unmarshal(body, &p); err != nil {
		return errkind.Wrap(errkind.AnswerInvalid, err, "decode plan")
	}
	_, _ = fmt.Fprintf(s.err, "plan %s by %s on version %d:\n", p.ID, p.Intent.Operator, p.Base)
	for _, effect := range p.Effects {
		_, _ = fmt.Fprintf(s.err, "  - %s\n", effect)
	}
	_, err := s.out.Write(body)
	return err
}

func confirmCommand(s streams) *ffcli.Command {
	flags := flag.NewFlagSet("confirm", flag.ContinueOnError)
	url := flags.String("url", defaultOperators, "operators' `URL` of an entry host")
	return &ffcli.Command{
		Name:       "confirm",
		ShortUsage: "parsleyhill confirm [flags] < plan.json",
		ShortHelp:  "Confirm a plan.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			plan, err := io.ReadAll(s.in)
			if err != nil {
				return errkind.Wrap(errkind.BadRequest, err, "read plan")
			}
			_, body, err := call(ctx, http.MethodPost, *url+operator.PathConfirms, nil, bytes.NewReader(plan))
			if err != nil {
				return err
			}
			var c operator.Confirmed
			if err := json.Unmarshal(body, &c); err != nil {
				return errkind.Wrap(errkind.AnswerInvalid, err, "decode confirmation")
			}
			_, _ = fmt.Fprintf(s.out, "plan %s is %s, version %d\n", c.Plan, c.Result, c.Version)
			return nil
		},
	}
}

func explainCommand(s streams) *ffcli.Command {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	url := flags.String("url", defaultOperators, "operators' `URL` of an entry host")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "parsleyhill explain [flags] <id>",
		ShortHelp:  "Tell what happened to a request, job, task, host or plan, and why.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			_, body, err := call(ctx, http.MethodGet, *url+operator.PathExplain+"/"+args[0], nil, nil)
			if err != nil {
				return err
			}
			return printExplanation(s, body)
		},
	}
}

func printExplanation(s streams, body []byte) error {
	var e operator.Explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return errkind.Wrap(errkind.AnswerInvalid, err, "decode explanation")
	}
	_, _ = fmt.Fprintf(s.out, "%s: %d decisions on %d entry hosts\n", e.Subject, len(e.Records), len(e.Hosts))
	for _, r := range e.Records {
		_, _ = fmt.Fprintf(s.out, "  %s %s %s: %s (%s), version %d, intent %s\n",
			r.Time.Format(time.StampMilli), r.Host, r.Part, r.Action, r.Why, r.Version, orNone(r.Intent))
	}
	for _, host := range e.Unreached {
		_, _ = fmt.Fprintf(s.out, "  entry host %s did not answer\n", host)
	}
	return nil
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func statusCommand(s streams) *ffcli.Command {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	url := flags.String("url", defaultOperators, "operators' `URL` of an entry host")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "parsleyhill status [flags]",
		ShortHelp:  "Print the state of an entry host and what it knows of the others.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			_, body, err := call(ctx, http.MethodGet, *url+operator.PathStatus, nil, nil)
			if err != nil {
				return err
			}
			return printStatus(s, body)
		},
	}
}

func printStatus(s streams, body []byte) error {
	var st operator.Status
	if err := json.Unmarshal(body, &st); err != nil {
		return errkind.Wrap(errkind.AnswerInvalid, err, "decode status")
	}
	_, _ = fmt.Fprintf(s.out, "%s (%s): version %d, log heard %d ms ago\n", st.Host, st.Zone, st.Version, st.LogAgeMs)
	for _, p := range st.Peers {
		_, _ = fmt.Fprintf(s.out, "  peer %s (%s): version %d, reachable %t\n", p.Host, p.Zone, p.Version, p.Reachable)
	}
	return nil
}
