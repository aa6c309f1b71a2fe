package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"unicode"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/parsleyhill/parsleyhill/internal/daemon/follower"
	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/configcheck"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

const configCheckHelp = `Checks a change of the configuration before it is planned. The file holds an
intent, as "plan intent" takes it, or with -customer the rules of that customer, as
"plan set-customer" takes them. "-" reads standard input. Nothing is sent to an
entry host but queries. With -platform the file holds a configuration of routes and
services, as the operators of the users' platform write it.

  parsleyhill config check -against http://10.1.0.1:7201 customer.json
  parsleyhill config check -platform -against in-force.json routes.json

-against names the source of the version in force: the operators' URL of an entry
host, or a file with its "status -json" or the "state" in it. An entry host
provides the host list too; -hosts names a file with the platform's list instead.
With -platform, -against is a file of the same form, and the other sources do not
apply.
Checks without their source are listed as not made.

Exit status: 0 no finding; 1 findings; 2 the file or a source that is named cannot
be read. The difference from the version in force is no finding.`

// errFindings reports a completed check with findings.
var errFindings = errors.New("the check has findings")

// configChecker holds the flags of the check.
type configChecker struct {
	tool     *Tool
	customer string
	against  string
	hosts    string
	runMs    int64
	asJSON   bool
	// platform is set if the file holds a configuration of the users' platform.
	platform bool
}

func (t *Tool) configCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "config",
		ShortUsage:  "parsleyhill config <command> [flags] [arguments]",
		ShortHelp:   "Check changes of the configuration.",
		FlagSet:     t.newFlags("config"),
		Subcommands: []*ffcli.Command{t.configCheckCommand()},
		Exec:        unknownCommand,
	}
}

func (t *Tool) configCheckCommand() *ffcli.Command {
	flags := t.newFlags("config check")
	c := &configChecker{tool: t}
	c.addFlags(flags)
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "parsleyhill config check [flags] <file>",
		ShortHelp:  "Check an intent or a customer's rules before they are planned.",
		LongHelp:   configCheckHelp,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseArguments(flags, args, "file")
			if err != nil {
				return err
			}
			if c.runMs < 0 {
				return usageErrorf("config check: -run-ms is negative")
			}
			if c.platform {
				return c.runPlatform(args[0])
			}
			return c.run(ctx, args[0])
		},
	}
}

func (c *configChecker) addFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.customer, "customer", "", "`name` of the customer whose rules the file holds")
	flags.StringVar(&c.against, "against", "", "operators' `URL` of an entry host, several separated by commas, or a file with the version in force")
	flags.StringVar(&c.hosts, "hosts", "", "`file` with the platform's host list")
	flags.Int64Var(&c.runMs, "run-ms", 0, "expected run `time` of the customer's requests in milliseconds")
	flags.BoolVar(&c.platform, "platform", false, "the file holds routes and services, as the operators of the users' platform write them")
	flags.BoolVar(&c.asJSON, "json", false, "print one JSON document")
}

// run checks a file and prints the report. If a source cannot be read, the other
// checks are made and the error is returned.
func (c *configChecker) run(ctx context.Context, file string) error {
	document, err := c.tool.readDocument(file)
	if err != nil {
		return err
	}
	in := configcheck.Input{Document: document, Customer: c.customer, MaxBytes: operator.MaxDocumentBytes, RunMs: c.runMs}
	sourceErr := c.readSources(ctx, &in)
	report, err := configcheck.Check(in)
	if err != nil {
		return usageErrorf("%s: %v", file, err)
	}
	return c.finish(file, report, sourceErr)
}

// finish prints the report. It returns sourceErr, or errFindings if all sources
// were read and the report has findings.
func (c *configChecker) finish(file string, report configcheck.Report, sourceErr error) error {
	if err := c.print(file, report); err != nil {
		return err
	}
	if sourceErr == nil && len(report.Findings) > 0 {
		return errFindings
	}
	return sourceErr
}

// readSources sets the version in force and the host list of the input. The
// errors that it returns carry no error kind, so that they exit as a check that
// was not complete.
func (c *configChecker) readSources(ctx context.Context, in *configcheck.Input) error {
	var errs []error
	in.InForceUnknown, in.HostsUnknown = "-against is not given", "neither -hosts nor an entry host is given"
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.against != "" {
		if in.InForce, err = c.readInForce(ctx, client); err != nil {
			in.InForceUnknown = err.Error()
			errs = append(errs, fmt.Errorf("the version in force: %s", in.InForceUnknown))
		}
	}
	if c.hosts != "" || client != nil {
		if in.Hosts, err = c.readHosts(ctx, client); err != nil {
			in.HostsUnknown = err.Error()
			errs = append(errs, fmt.Errorf("the host list: %s", in.HostsUnknown))
		}
	}
	return errors.Join(errs...)
}

// namesHosts reports whether -against names entry hosts instead of a file.
func (c *configChecker) namesHosts() bool {
	return strings.HasPrefix(c.against, "http://") || strings.HasPrefix(c.against, "https://")
}

// client returns a client to the entry hosts that -against names, or nil if it
// names none.
func (c *configChecker) client() (*client, error) {
	if !c.namesHosts() {
		return nil, nil
	}
	client := &client{transport: c.tool.Transport, asJSON: c.asJSON}
	if err := client.urls.Set(c.against); err != nil {
		return nil, usageErrorf("config check: -against: %v", err)
	}
	return client, nil
}

func (c *configChecker) readInForce(ctx context.Context, client *client) (*standing.State, error) {
	var status operator.Status
	if client != nil {
		if _, err := client.get(ctx, operator.PathStatus, &status); err != nil {
			return nil, err
		}
		if status.State == nil {
			return nil, fmt.Errorf("entry host %s has no configuration yet", status.Host)
		}
		return status.State, nil
	}
	document, err := c.tool.readDocument(c.against)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(document, &status); err != nil {
		return nil, fmt.Errorf("%s: %w", c.against, err)
	}
	if status.State != nil {
		return status.State, nil
	}
	// The state in a status has an offset, a status of its own has none.
	var state struct {
		Offset *int64 `json:"offset"`
		standing.State
	}
	if err := json.Unmarshal(document, &state); err != nil {
		return nil, fmt.Errorf("%s: %w", c.against, err)
	}
	if state.Offset == nil {
		return nil, fmt.Errorf("%s: neither a status of an entry host nor the state in it", c.against)
	}
	state.State.Offset = *state.Offset
	return &state.State, nil
}

// readHosts reads the host list from a file or from an entry host. An empty list
// is an outage of the platform and thus an error.
func (c *configChecker) readHosts(ctx context.Context, client *client) (config.ListedHosts, error) {
	var listed config.ListedHosts
	if c.hosts == "" {
		if _, err := client.get(ctx, operator.PathHosts, &listed); err != nil {
			return config.ListedHosts{}, err
		}
	} else {
		document, err := c.tool.readDocument(c.hosts)
		if err != nil {
			return config.ListedHosts{}, err
		}
		var hosts platform.Hosts
		if err := json.Unmarshal(document, &hosts); err != nil {
			return config.ListedHosts{}, fmt.Errorf("%s: %w", c.hosts, err)
		}
		listed = follower.Listed(hosts.Hosts)
	}
	if !listed.AnyListed() {
		return config.ListedHosts{}, errors.New("no host is listed")
	}
	return listed, nil
}

func (c *configChecker) print(file string, r configcheck.Report) error {
	if c.asJSON {
		return json.NewEncoder(c.tool.Out).Encode(r)
	}
	w := &strings.Builder{}
	for _, f := range r.Findings {
		writeLine(w, "%s: %s: %s; %s", position(file, f.Line, f.Path), f.Kind, f.Text, f.Fix)
	}
	if r.FindingsOmitted > 0 {
		writeLine(w, "(%d more findings omitted)", r.FindingsOmitted)
	}
	for _, change := range r.Changes {
		writeLine(w, "%s: %s", position(file, change.Line, change.Path), describeChange(change))
	}
	if r.ChangesOmitted > 0 {
		writeLine(w, "(%d more changes omitted)", r.ChangesOmitted)
	}
	for _, missing := range r.Missing {
		writeLine(w, "not checked: %s", missing)
	}
	summary := fmt.Sprintf("%d findings", len(r.Findings)+r.FindingsOmitted)
	if r.Base != nil {
		summary += fmt.Sprintf(", %d fields differ from version %d", len(r.Changes)+r.ChangesOmitted, *r.Base)
	}
	writeLine(w, "%s", summary)
	_, err := io.WriteString(c.tool.Out, w.String())
	return err
}

// writeLine writes one line. Control characters, which names in a file may
// contain, are replaced, so that they neither end the line nor reach a terminal.
func writeLine(w *strings.Builder, format string, args ...any) {
	w.WriteString(strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return unicode.ReplacementChar
		}
		return r
	}, fmt.Sprintf(format, args...)))
	w.WriteByte('\n')
}

// position returns the file, line and path of an entry.
func position(file string, line int, path string) string {
	at := fmt.Sprintf("%s:%d", file, line)
	if path != "" {
		at += ": " + path
	}
	return at
}

func describeChange(c configcheck.Change) string {
	switch c.Action {
	case configcheck.Added:
		return fmt.Sprintf("added %s: %v", c.Field, c.New)
	case configcheck.Removed:
		return fmt.Sprintf("removed %s: %v", c.Field, c.Old)
	default:
		return fmt.Sprintf("changed %s from %v to %v", c.Field, c.Old, c.New)
	}
}
