package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/entryclient"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const submitHelp = `The job is a JSON document, which may contain comments, in the named file or on
standard input ("-"):

  {"submission": "batch-1", "customer": "tamarind", "deadline_ms": 60000,
   "tasks": [{"name": "pair-1", "cores": 2, "memory_mb": 1024}]}

The command waits for the job's answer. A job that is submitted again under the
same submission id joins the first one. If the reply is lost, the command fails
over to the next entry host, unless the job has no submission id or is marked as
attempt 1. If the job fails, the exit status is that of its error kind.`

func (t *Tool) jobCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "job",
		ShortUsage:  "parsleyhill job <submit|status|cancel> [flags] [arguments]",
		ShortHelp:   "Submit a job, print its state or cancel it.",
		FlagSet:     t.newFlags("job"),
		Subcommands: []*ffcli.Command{t.jobSubmitCommand(), t.jobStatusCommand(), t.jobCancelCommand()},
		Exec:        unknownCommand,
	}
}

func (t *Tool) jobSubmitCommand() *ffcli.Command {
	flags := t.newFlags("job submit")
	client := t.newClient(flags, "callers'", defaultCallersURL)
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "parsleyhill job submit [flags] <file>",
		ShortHelp:  "Submit a job and wait for its answer.",
		LongHelp:   submitHelp,
		FlagSet:    flags,
		Options:    envOptions(envPrefixCallers),
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseArguments(flags, args, "file")
			if err != nil {
				return err
			}
			body, err := t.readDocument(args[0])
			if err != nil {
				return err
			}
			return t.sendJobCall(ctx, client, call{
				Call:       entryclient.Call{Method: http.MethodPost, Path: callerapi.PathJobs, Body: body},
				repeatable: isRepeatable(body),
			})
		},
	}
}

// isRepeatable reports whether a job may be sent again after its reply was
// lost: it has a submission id and is not marked as the first attempt.
func isRepeatable(document []byte) bool {
	var job struct {
		Submission string `json:"submission"`
		Attempt    int    `json:"attempt"`
	}
	// The entry host rejects a document that is not a job.
	err := json.Unmarshal(document, &job)
	return err == nil && job.Submission != "" && job.Attempt != 1
}

func (t *Tool) jobStatusCommand() *ffcli.Command {
	flags := t.newFlags("job status")
	client := t.newClient(flags, "callers'", defaultCallersURL)
	customer := flags.String("customer", "", "customer `name`")
	wait := flags.Duration("wait", 0, "`time` to wait for the job to end")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "parsleyhill job status -customer <name> [flags] <submission>",
		ShortHelp:  "Print the state of a job.",
		FlagSet:    flags,
		Options:    envOptions(envPrefixCallers),
		Exec: func(ctx context.Context, args []string) error {
			path, err := jobPath(flags, args, customer)
			if err != nil {
				return err
			}
			if *wait > 0 {
				path += "?wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
			}
			return t.sendJobCall(ctx, client, getCall(path))
		},
	}
}

func (t *Tool) jobCancelCommand() *ffcli.Command {
	flags := t.newFlags("job cancel")
	client := t.newClient(flags, "callers'", defaultCallersURL)
	customer := flags.String("customer", "", "customer `name`")
	return &ffcli.Command{
		Name:       "cancel",
		ShortUsage: "parsleyhill job cancel -customer <name> [flags] <submission>",
		ShortHelp:  "Cancel a job: stop its running tasks and end it as failed.",
		FlagSet:    flags,
		Options:    envOptions(envPrefixCallers),
		Exec: func(ctx context.Context, args []string) error {
			path, err := jobPath(flags, args, customer)
			if err != nil {
				return err
			}
			var answer callerapi.JobAnswer
			cancel := call{Call: entryclient.Call{Method: http.MethodPost, Path: path + "/cancel"}, repeatable: true}
			raw, err := client.document(ctx, cancel, &answer)
			if err != nil {
				return err
			}
			return t.printJob(client.asJSON, raw, answer)
		},
	}
}

func jobPath(flags *flag.FlagSet, args []string, customer *string) (string, error) {
	args, err := parseArguments(flags, args, "submission")
	if err != nil {
		return "", err
	}
	if *customer == "" {
		return "", usageErrorf("%s: -customer is missing", flags.Name())
	}
	return callerapi.PathJobs + "/" + url.PathEscape(*customer) + "/" + url.PathEscape(args[0]), nil
}

// sendJobCall sends a call that returns a job and prints the job. It returns an
// error if the job failed.
func (t *Tool) sendJobCall(ctx context.Context, c *client, k call) error {
	var answer callerapi.JobAnswer
	raw, err := c.document(ctx, k, &answer)
	if err != nil {
		return err
	}
	if err := t.printJob(c.asJSON, raw, answer); err != nil {
		return err
	}
	if answer.State != callerapi.JobFailed {
		return nil
	}
	failed := errkind.New(errkind.Kind(answer.ErrorKind), "%s", answer.Reason).WithRun(errkind.RunState(answer.Run))
	return &failure{err: failed, id: answer.Submission, asJSON: c.asJSON}
}

func (t *Tool) printJob(asJSON bool, raw []byte, a callerapi.JobAnswer) error {
	if asJSON {
		return t.printRaw(raw)
	}
	_, err := fmt.Fprintf(t.Out, "job %s is %s", a.Submission, a.State)
	if err == nil && a.Owner != "" {
		_, err = fmt.Fprintf(t.Out, ", owned by %s", a.Owner)
	}
	if err == nil && a.State == callerapi.JobComplete {
		_, err = fmt.Fprintf(t.Out, ", %d results from %d workers", len(a.Results), countWorkers(a))
	}
	if err == nil {
		_, err = fmt.Fprintln(t.Out)
	}
	return err
}

func countWorkers(a callerapi.JobAnswer) int {
	workers := map[string]bool{}
	for _, r := range a.Results {
		workers[r.Worker] = true
	}
	return len(workers)
}
