package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/parsleyhill/parsleyhill/internal/load"
)

const loadHelp = `Requests arrive at random times that do not depend on the answers (open loop),
at the mean rate given by -rate, spread over the entry hosts given by -url. Most
run for 50 ms to 1 s, a few for several seconds. The same seed generates the
same requests.

Response times are measured from when a request was due. The slowdown is the
response time divided by the sum of the run time and one round trip. -ledgers
gives the URLs of the stand-ins for backend servers; their counts show requests
that started twice, or that started although every attempt was answered "not
run". The exit status is 1 if the run observed either of these, or an answer
that belonged to another request.`

func (t *Tool) loadCommand() *ffcli.Command {
	flags := t.newFlags("load")
	client := t.newClient(flags, "callers'", defaultCallersURL)
	sender := load.HTTPSender{Transport: t.Transport}
	workload := load.Workload{Mix: load.DefaultMix}
	var options load.Options
	var ledgers urlList
	flags.StringVar(&sender.Customer, "customer", "", "customer `name`")
	flags.StringVar(&sender.Team, "team", "", "team `name`")
	flags.Float64Var(&workload.Rate, "rate", 10, "mean `number` of requests per second")
	flags.DurationVar(&workload.Duration, "duration", 10*time.Second, "`time` during which requests arrive")
	flags.Uint64Var(&workload.Seed, "seed", 1, "`number` that seeds the random choices; the same seed repeats the requests")
	flags.StringVar(&workload.Name, "name", "", "`prefix` of the request ids; a random one if empty")
	flags.Float64Var(&workload.IdempotentShare, "idempotent", 0, "`share` of requests marked as idempotent")
	flags.Float64Var(&workload.Mix.LongShare, "long", workload.Mix.LongShare, "`share` of requests that run for several seconds")
	flags.IntVar(&options.Attempts, "attempts", 1, "maximum `number` of attempts for one request")
	flags.DurationVar(&options.Deadline, "deadline", 10*time.Second, "`time` to wait for an answer")
	flags.DurationVar(&options.RoundTrip, "round-trip", time.Millisecond, "network round-trip `time` of an ideal answer")
	flags.Var(&ledgers, "ledgers", "`URLs` of stand-ins for backend servers")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "parsleyhill load -customer <name> [flags]",
		ShortHelp:  "Send requests at random times and measure response times and failures.",
		LongHelp:   loadHelp,
		FlagSet:    flags,
		Options:    envOptions(envPrefixCallers),
		Exec: func(ctx context.Context, args []string) error {
			if _, err := parseArguments(flags, args); err != nil {
				return err
			}
			sender.URLs = client.urls.urls
			workload.Targets = len(sender.URLs)
			if workload.Name == "" {
				workload.Name = "load-" + uuid.NewString()[:8]
			}
			if err := validateLoad(sender, workload, options); err != nil {
				return err
			}
			report := load.Run(ctx, workload, options, &sender)
			if len(ledgers.urls) > 0 {
				starts, err := load.ReadLedgers(ctx, t.Transport, ledgers.urls)
				if err != nil {
					return client.asFailure(err)
				}
				report.CheckLedger(starts)
			}
			return t.printLoad(client.asJSON, report)
		},
	}
}

func validateLoad(s load.HTTPSender, w load.Workload, o load.Options) error {
	switch {
	case s.Customer == "":
		return usageErrorf("load: -customer is missing")
	case w.Rate <= 0 || w.Duration <= 0 || o.Deadline <= 0 || o.RoundTrip < 0 || o.Attempts < 1:
		return usageErrorf("load: -rate, -duration, -deadline and -attempts must be greater than 0; -round-trip must not be negative")
	case w.IdempotentShare < 0 || w.IdempotentShare > 1 || w.Mix.LongShare < 0 || w.Mix.LongShare > 1:
		return usageErrorf("load: -idempotent and -long must be between 0 and 1")
	}
	return nil
}

// errViolation ends the command with exitViolation once the report is printed.
type errViolation struct{}

func (errViolation) Error() string { return "the run observed a broken guarantee" }

func (t *Tool) printLoad(asJSON bool, r load.Report) error {
	var err error
	if asJSON {
		err = json.NewEncoder(t.Out).Encode(r)
	} else {
		err = t.printLoadText(r)
	}
	if err == nil && r.HasViolations() {
		return errViolation{}
	}
	return err
}

func (t *Tool) printLoadText(r load.Report) error {
	w := t.Out
	_, _ = fmt.Fprintf(w, "run %s, seed %d: %d requests in %.1f s, %d answered, %d failed, %d attempts\n",
		r.Name, r.Seed, r.Offered, r.Seconds, r.Answered, r.Failed, r.Attempts)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "\tmean\tp50\tp99\tp99.9\tmax\t")
	row := func(name string, q load.Quantiles) {
		_, _ = fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", name, q.Mean, q.P50, q.P99, q.P999, q.Max)
	}
	row("response (ms)", r.ResponseMs)
	row("slowdown", r.Slowdown)
	row("generator lag (ms)", r.LagMs)
	err := table.Flush()
	_, _ = fmt.Fprintf(w, "extra messages: %d, %.3f per request\n", r.ExtraMessages, r.ExtraPerRequest)
	printCounts(t, "failed as", r.Kinds)
	printCounts(t, "failed and", r.Runs)
	_, _ = fmt.Fprintf(w, "crossed answers: %d\n", r.Crossed)
	if r.Doubled != nil {
		_, _ = fmt.Fprintf(w, "started twice: %d, started but reported as not run: %d\n", *r.Doubled, *r.FalseNotRun)
	}
	return err
}

func printCounts[K ~string](t *Tool, label string, counts map[K]int) {
	var names []string
	for k := range counts {
		names = append(names, string(k))
	}
	slices.Sort(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(t.Out, "%s %s: %d\n", label, name, counts[K(name)])
	}
}
