package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const defaultCallers = "http://127.0.0.1:7101"

func requestCommand(s streams) *ffcli.Command {
	flags := flag.NewFlagSet("request", flag.ContinueOnError)
	url := flags.String("url", defaultCallers, "callers' `URL` of an entry host")
	customer := flags.String("customer", "", "customer `name`")
	team := flags.String("team", "", "team `name`")
	id := flags.String("id", "", "request `id`")
	attempt := flags.Int("attempt", 1, "attempt `number` of the id")
	idempotent := flags.Bool("idempotent", false, "running the request twice does no harm")
	deadline := flags.Int64("deadline-ms", 0, "time to wait in `milliseconds`")
	return &ffcli.Command{
		Name:       "request",
		ShortUsage: "parsleyhill request [flags] [body]",
		ShortHelp:  "Send one request and print its answer.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			h := http.Header{}
			h.Set(callerapi.HeaderCustomer, *customer)
			h.Set(callerapi.HeaderTeam, *team)
			h.Set(callerapi.HeaderAttempt, strconv.Itoa(*attempt))
			h.Set(callerapi.HeaderIdempotent, strconv.FormatBool(*idempotent))
			if *id != "" {
				h.Set(callerapi.HeaderRequestID, *id)
			}
			if *deadline != 0 {
				h.Set(callerapi.HeaderDeadline, strconv.FormatInt(*deadline, 10))
			}
			header, body, err := call(ctx, http.MethodPost, *url+callerapi.PathRequests, h, strings.NewReader(strings.Join(args, " ")))
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(s.out, "request %s answered by %s through %s\n%s",
				header.Get(callerapi.HeaderRequestID), header.Get(callerapi.HeaderBackend), header.Get(callerapi.HeaderHost), body)
			return nil
		},
	}
}

func jobCommand(s streams) *ffcli.Command {
	return &ffcli.Command{
		Name:        "job",
		ShortUsage:  "parsleyhill job <submit|status> [flags]",
		ShortHelp:   "Submit a job or ask for one.",
		Subcommands: []*ffcli.Command{jobSubmitCommand(s), jobStatusCommand(s)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func jobSubmitCommand(s streams) *ffcli.Command {
	flags := flag.NewFlagSet("submit", flag.ContinueOnError)
	url := flags.String("url", defaultCallers, "callers' `URL` of an entry host")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "parsleyhill job submit [flags] < job.json",
		ShortHelp:  "Submit a job and wait for its answer.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			_, body, err := call(ctx, http.MethodPost, *url+callerapi.PathJobs, nil, s.in)
			if err != nil {
				return err
			}
			return printJob(s, body)
		},
	}
}

func jobStatusCommand(s streams) *ffcli.Command {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	url := flags.String("url", defaultCallers, "callers' `URL` of an entry host")
	customer := flags.String("customer", "", "customer `name`")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "parsleyhill job status [flags] <submission>",
		ShortHelp:  "Print where a job stands.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			path := callerapi.PathJobs + "/" + *customer + "/" + args[0]
			_, body, err := call(ctx, http.MethodGet, *url+path, nil, nil)
			if err != nil {
				return err
			}
			return printJob(s, body)
		},
	}
}

func printJob(s streams, body []byte) error {
	var answer callerapi.JobAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return errkind.Wrap(errkind.AnswerInvalid, err, "decode job")
	}
	_, _ = fmt.Fprintf(s.out, "job %s is %s, owned by %s, %d results\n", answer.Submission, answer.State, answer.Owner, len(answer.Results))
	if answer.State == callerapi.JobFailed {
		_, _ = fmt.Fprintf(s.out, "  %s (%s): %s\n", answer.ErrorKind, answer.Run, answer.Reason)
	}
	return nil
}
