package cli

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/entryclient"
)

const idsHelp = `A minted id names the entry host that runs it. A request with a minted id runs
at most once, however often it is sent and to whichever entry host, and needs no
attempt number.`

func (t *Tool) idsCommand() *ffcli.Command {
	flags := t.newFlags("ids")
	client := t.newClient(flags, "callers'", defaultCallersURL)
	customer := flags.String("customer", "", "customer `name`")
	count := flags.Int("count", 1, "`number` of ids")
	return &ffcli.Command{
		Name:       "ids",
		ShortUsage: "parsleyhill ids -customer <name> [flags]",
		ShortHelp:  "Mint request ids.",
		LongHelp:   idsHelp,
		FlagSet:    flags,
		Options:    envOptions(envPrefixCallers),
		Exec: func(ctx context.Context, args []string) error {
			if _, err := parseArguments(flags, args); err != nil {
				return err
			}
			if *customer == "" {
				return usageErrorf("ids: -customer is missing")
			}
			mint := entryclient.Call{
				Method: http.MethodPost,
				Path:   callerapi.PathIDs + "?" + callerapi.ParamCount + "=" + strconv.Itoa(*count),
				Header: http.Header{callerapi.HeaderCustomer: {*customer}},
			}
			var minted callerapi.IDs
			raw, err := client.document(ctx, call{Call: mint, repeatable: true}, &minted)
			if err != nil {
				return err
			}
			return t.printIDs(client.asJSON, raw, minted)
		},
	}
}

// printIDs writes one id per line.
func (t *Tool) printIDs(asJSON bool, raw []byte, minted callerapi.IDs) error {
	if asJSON {
		return t.printRaw(raw)
	}
	var err error
	for _, id := range minted.IDs {
		_, err = fmt.Fprintln(t.Out, id)
	}
	return err
}
