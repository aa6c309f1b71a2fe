package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	// pollInterval is the delay between two polls while a command waits.
	pollInterval = 100 * time.Millisecond
	// defaultWait is the default limit on how long a command waits.
	defaultWait = 20 * time.Second
)

const statusHelp = `Prints the state of one entry host: its zone, the configuration version in
force, the time since the log last answered, the drained hosts and evacuated
zones, the peers as this entry host sees them, and the conditions that need
attention.

With -wait-version the command waits until at least that version is in force on
this entry host and on every peer that it lists.`

func (t *Tool) statusCommand() *ffcli.Command {
	flags := t.newFlags("status")
	client := t.newClient(flags, "operators'", defaultOperatorsURL)
	version := flags.Int64("wait-version", 0, "wait until the `version` is in force on all entry hosts")
	hosts := flags.Int("wait-hosts", 1, "with -wait-version, the minimum `number` of entry hosts to wait for")
	timeout := flags.Duration("timeout", defaultWait, "maximum `time` to wait with -wait-version")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "parsleyhill status [flags]",
		ShortHelp:  "Print the state of an entry host and its view of its peers.",
		LongHelp:   statusHelp,
		FlagSet:    flags,
		Options:    envOptions(envPrefixOperators),
		Exec: func(ctx context.Context, args []string) error {
			if _, err := parseArguments(flags, args); err != nil {
				return err
			}
			wait := *timeout
			if *version == 0 {
				wait = 0
			}
			var status operator.Status
			var raw []byte
			err := poll(ctx, wait, func(ctx context.Context) (err error) {
				status = operator.Status{}
				if raw, err = client.get(ctx, operator.PathStatus, &status); err != nil || *version == 0 {
					return err
				}
				return checkInForce(status, *version, *hosts)
			})
			if raw != nil {
				if printErr := t.printStatus(client.asJSON, raw, status); printErr != nil {
					return printErr
				}
			}
			return client.asFailure(err)
		},
	}
}

// checkInForce returns an error unless the version or a later one is in force on
// this entry host, on all its peers and on at least the given number of hosts.
func checkInForce(status operator.Status, version int64, hosts int) error {
	current := 0
	if status.Version >= version {
		current++
	}
	for _, p := range status.Peers {
		if p.Reachable && p.Version >= version {
			current++
		}
	}
	if expected := max(hosts, 1+len(status.Peers)); current < expected {
		return errkind.New(errkind.NotReady, "version %d is in force on %d of %d entry hosts", version, current, expected)
	}
	return nil
}

func (t *Tool) printStatus(asJSON bool, raw []byte, status operator.Status) error {
	if asJSON {
		return t.printRaw(raw)
	}
	w := t.Out
	_, err := fmt.Fprintf(w, "%s in zone %s: version %d, log heard %d ms ago\n", status.Host, status.Zone, status.Version, status.LogAgeMs)
	for _, p := range status.Peers {
		printPeer(w, p)
	}
	if status.State != nil {
		for name, d := range status.State.Drains {
			_, _ = fmt.Fprintf(w, "  drained: %s since version %d by %s (%s), intent %s\n", name, d.Since, d.Operator, orNone(d.Reason), d.Intent)
		}
		for _, zone := range slices.Sorted(maps.Keys(status.State.Evacuations)) {
			e := status.State.Evacuations[zone]
			_, _ = fmt.Fprintf(w, "  evacuated: zone %s since version %d by %s (%s), intent %s\n", zone, e.Since, e.Operator, orNone(e.Reason), e.Intent)
		}
	}
	for _, c := range status.Conditions {
		_, _ = fmt.Fprintf(w, "  condition: %s %s: %s\n", c.Part, c.Action, c.Why)
	}
	return err
}

func printPeer(w io.Writer, p operator.PeerStatus) {
	if !p.Reachable {
		_, _ = fmt.Fprintf(w, "  peer %s in zone %s: not reachable, last seen at version %d\n", p.Host, p.Zone, p.Version)
		return
	}
	_, _ = fmt.Fprintf(w, "  peer %s in zone %s: version %d\n", p.Host, p.Zone, p.Version)
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func (t *Tool) readyCommand() *ffcli.Command {
	flags := t.newFlags("ready")
	client := t.newClient(flags, "callers'", defaultCallersURL)
	timeout := flags.Duration("wait", 0, "`time` to wait until all entry hosts are ready")
	return &ffcli.Command{
		Name:       "ready",
		ShortUsage: "parsleyhill ready [flags]",
		ShortHelp:  "Check that every entry host given by -url accepts work.",
		FlagSet:    flags,
		Options:    envOptions(envPrefixCallers),
		Exec: func(ctx context.Context, args []string) error {
			if _, err := parseArguments(flags, args); err != nil {
				return err
			}
			for _, url := range client.urls.urls {
				err := poll(ctx, *timeout, func(ctx context.Context) error {
					_, err := client.send(ctx, url, getCall(callerapi.PathReady))
					return err
				})
				if err != nil {
					return client.asFailure(err)
				}
			}
			return t.printReady(client)
		},
	}
}

func (t *Tool) printReady(c *client) error {
	if c.asJSON {
		return json.NewEncoder(t.Out).Encode(struct {
			Ready []string `json:"ready"`
		}{c.urls.urls})
	}
	_, err := fmt.Fprintf(t.Out, "%d entry hosts are ready\n", len(c.urls.urls))
	return err
}
