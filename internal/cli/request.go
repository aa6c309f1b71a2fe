package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/entryclient"
)

const requestHelp = `The body is the argument, or the standard input if the argument is "-".

A request that is not idempotent is sent again only if it was proved not to
have run. Give it an id of its own: with the id, the same request sent again
with -attempt 2 joins the first one or says that its outcome is unknown; it
never runs twice.`

// requestFlags are the flags of one request.
type requestFlags struct {
	customer   string
	team       string
	id         string
	attempt    int
	idempotent bool
	deadlineMs int64
	declaredMs int64
}

func (f *requestFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.customer, "customer", "", "customer `name`")
	flags.StringVar(&f.team, "team", "", "team `name`")
	flags.StringVar(&f.id, "id", "", "request `id`; the entry host mints one if it is missing")
	flags.IntVar(&f.attempt, "attempt", 1, "attempt `number` of the id, from 1")
	flags.BoolVar(&f.idempotent, "idempotent", false, "running the request twice does no harm")
	flags.Int64Var(&f.deadlineMs, "deadline-ms", 0, "time to wait for the answer, in `milliseconds`")
	flags.Int64Var(&f.declaredMs, "declared-ms", 0, "expected run time, in `milliseconds`")
}

func (f *requestFlags) header() http.Header {
	h := http.Header{}
	h.Set(callerapi.HeaderCustomer, f.customer)
	h.Set(callerapi.HeaderIdempotent, strconv.FormatBool(f.idempotent))
	h.Set("Content-Type", "application/octet-stream")
	optional := map[string]string{
		callerapi.HeaderTeam:      f.team,
		callerapi.HeaderRequestID: f.id,
	}
	if f.id != "" {
		optional[callerapi.HeaderAttempt] = strconv.Itoa(f.attempt)
	}
	if f.deadlineMs != 0 {
		optional[callerapi.HeaderDeadline] = strconv.FormatInt(f.deadlineMs, 10)
	}
	if f.declaredMs != 0 {
		optional[callerapi.HeaderDeclaredRunTime] = strconv.FormatInt(f.declaredMs, 10)
	}
	for name, value := range optional {
		if value != "" {
			h.Set(name, value)
		}
	}
	return h
}

// requestAnswer is the document of an answered request.
type requestAnswer struct {
	Request       string `json:"request"`
	Host          string `json:"host"`
	Backend       string `json:"backend"`
	Status        int    `json:"status"`
	ContentType   string `json:"content_type"`
	ExtraMessages int64  `json:"extra_messages"`
	ResponseMs    int64  `json:"response_ms"`
	// Body is the answer's body, in base64 in the document.
	Body []byte `json:"body"`
}

func (t *Tool) requestCommand() *ffcli.Command {
	flags := t.newFlags("request")
	client := t.client(flags, "callers'", defaultCallers)
	var f requestFlags
	f.register(flags)
	return &ffcli.Command{
		Name:       "request",
		ShortUsage: "parsleyhill request -customer <name> [flags] <body>",
		ShortHelp:  "Send one request and print its answer.",
		LongHelp:   requestHelp,
		FlagSet:    flags,
		Options:    env(envCallers),
		Exec: func(ctx context.Context, args []string) error {
			args, err := arguments(flags, args, "body")
			if err != nil {
				return err
			}
			if f.customer == "" {
				return usageErrorf("request: -customer is missing")
			}
			body, err := t.body(args[0])
			if err != nil {
				return err
			}
			started := time.Now()
			r, err := client.do(ctx, call{
				Call:       entryclient.Call{Method: http.MethodPost, Path: callerapi.PathRequests, Header: f.header(), Body: body},
				repeatable: f.idempotent,
			})
			if err != nil {
				return withID(err, f.id)
			}
			return t.printRequest(client.asJSON, answerOf(r, time.Since(started)))
		},
	}
}

// withID names the id in a failure that names none.
func withID(err error, id string) error {
	var failed *failure
	if errors.As(err, &failed) && failed.id == "" {
		failed.id = id
	}
	return err
}

// body returns the argument, or the standard input for "-".
func (t *Tool) body(arg string) ([]byte, error) {
	if arg != "-" {
		return []byte(arg), nil
	}
	body, err := io.ReadAll(t.In)
	if err != nil {
		return nil, usageErrorf("read standard input: %v", err)
	}
	return body, nil
}

func answerOf(r entryclient.Reply, took time.Duration) requestAnswer {
	// An entry host that counts no messages sends no number.
	extra, _ := strconv.ParseInt(r.Header.Get(callerapi.HeaderExtraMessages), 10, 64)
	return requestAnswer{
		Request:       r.Header.Get(callerapi.HeaderRequestID),
		Host:          r.Header.Get(callerapi.HeaderHost),
		Backend:       r.Header.Get(callerapi.HeaderBackend),
		Status:        r.Status,
		ContentType:   r.Header.Get("Content-Type"),
		ExtraMessages: extra,
		ResponseMs:    took.Milliseconds(),
		Body:          r.Body,
	}
}

func (t *Tool) printRequest(asJSON bool, a requestAnswer) error {
	if asJSON {
		return json.NewEncoder(t.Out).Encode(a)
	}
	_, err := fmt.Fprintf(t.Out, "request %s answered by %s through %s in %d ms, %d extra messages\n%s\n",
		a.Request, a.Backend, a.Host, a.ResponseMs, a.ExtraMessages, trimNewline(a.Body))
	return err
}

func trimNewline(body []byte) []byte {
	for len(body) > 0 && body[len(body)-1] == '\n' {
		body = body[:len(body)-1]
	}
	return body
}
