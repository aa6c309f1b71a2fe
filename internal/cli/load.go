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

const loadHelp = `Requests arrive at random times that do not depend on the answers, at the mean
rate given, and are spread over the entry hosts named by -url. Most run 50 ms
to a second, a few several seconds. The same seed offers the same requests.

Response times count from when a request was due. The slowdown is the response
time over the run time and one round trip. -ledgers names the stand-ins for
backend servers; their counts show requests that started twice, or started
although every attempt was answered "not run". A run that saw one of these, or
a crossed answer, exits with status 1.`

func (t *Tool) loadCommand() *ffcli.Command {
	flags := t.newFlags("load")
	client := t.client(flags, "callers'", defaultCallers)
	sender := load.HTTPSender{Transport: t.Transport}
	plan := load.Workload{Mix: load.DefaultMix}
	var options load.Options
	var ledgers urlList
	flags.StringVar(&sender.Customer, "customer", "", "customer `name`")
	flags.StringVar(&sender.Team, "team", "", "team `name`")
	flags.Float64Var(&plan.Rate, "rate", 10, "mean `number` of requests a second")
	flags.DurationVar(&plan.Duration, "duration", 10*time.Second, "`time` in which requests arrive")
	flags.Uint64Var(&plan.Seed, "seed", 1, "`number` that makes the run repeatable")
	flags.StringVar(&plan.Name, "name", "", "`prefix` of the request ids; a random one if it is missing")
	flags.Float64Var(&plan.IdempotentShare, "idempotent", 0, "`share` of requests marked as idempotent")
	flags.Float64Var(&plan.Mix.LongShare, "long", plan.Mix.LongShare, "`share` of requests that run several seconds")
	flags.IntVar(&options.Attempts, "attempts", 1, "most `sends` of one request")
	flags.DurationVar(&options.Deadline, "deadline", 10*time.Second, "`time` to wait for an answer")
	flags.DurationVar(&options.RoundTrip, "round-trip", time.Millisecond, "network `time` of an ideal answer")
	flags.Var(&ledgers, "ledgers", "`URLs` of stand-ins for backend servers")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "parsleyhill load -customer <name> [flags]",
		ShortHelp:  "Send requests at random times and measure what callers see.",
		LongHelp:   loadHelp,
		FlagSet:    flags,
		Options:    env(envCallers),
		Exec: func(ctx context.Context, args []string) error {
			if _, err := arguments(flags, args); err != nil {
				return err
			}
			sender.URLs = client.urls.urls
			plan.Targets = len(sender.URLs)
			if plan.Name == "" {
				plan.Name = "load-" + uuid.NewString()[:8]
			}
			if err := checkLoad(sender, plan, options); err != nil {
				return err
			}
			report := load.Run(ctx, plan, options, &sender)
			if len(ledgers.urls) > 0 {
				starts, err := load.ReadLedgers(ctx, t.Transport, ledgers.urls)
				if err != nil {
					return client.mark(err)
				}
				report.CheckLedger(starts)
			}
			return t.printLoad(client.asJSON, report)
		},
	}
}

func checkLoad(s load.HTTPSender, p load.Workload, o load.Options) error {
	switch {
	case s.Customer == "":
		return usageErrorf("load: -customer is missing")
	case p.Rate <= 0 || p.Duration <= 0 || o.Deadline <= 0 || o.RoundTrip < 0 || o.Attempts < 1:
		return usageErrorf("load: -rate, -duration, -deadline and -attempts must be more than 0")
	case p.IdempotentShare < 0 || p.IdempotentShare > 1 || p.Mix.LongShare < 0 || p.Mix.LongShare > 1:
		return usageErrorf("load: -idempotent and -long are shares between 0 and 1")
	}
	return nil
}

// errBroken ends the command with exitBroken after the report.
type errBroken struct{}

func (errBroken) Error() string { return "the run saw a promise broken" }

func (t *Tool) printLoad(asJSON bool, r load.Report) error {
	var err error
	if asJSON {
		err = json.NewEncoder(t.Out).Encode(r)
	} else {
		err = t.printLoadText(r)
	}
	if err == nil && r.HasViolations() {
		return errBroken{}
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
	_, _ = fmt.Fprintf(w, "extra messages: %d, %.3f a request\n", r.ExtraMessages, r.ExtraPerRequest)
	printCounts(t, "failed as", r.Kinds)
	printCounts(t, "failed and", r.Runs)
	_, _ = fmt.Fprintf(w, "crossed answers: %d\n", r.Crossed)
	if r.Doubled != nil {
		_, _ = fmt.Fprintf(w, "started twice: %d, started but called not run: %d\n", *r.Doubled, *r.FalseNotRun)
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
