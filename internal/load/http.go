package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/entryclient"
)

// answerMargin is how much longer than its deadline a request is waited for,
// so that the entry host can say how it ended.
const answerMargin = 500 * time.Millisecond

// HTTPSender sends attempts to entry hosts. The body tells the stand-in for a
// backend server how long to run.
type HTTPSender struct {
	// URLs are the callers' base URLs of the entry hosts.
	URLs      []string
	Customer  string
	Team      string
	Transport http.RoundTripper
}

// Send implements Sender.
func (s *HTTPSender) Send(ctx context.Context, a Attempt) Outcome {
	ctx, cancel := context.WithTimeout(ctx, a.Deadline+answerMargin)
	defer cancel()
	body := fmt.Appendf(nil, `{"run_ms":%d}`, a.RunTime.Milliseconds())
	call := entryclient.Call{Method: http.MethodPost, Path: callerapi.PathRequests, Header: s.header(a), Body: body}
	reply, failed := entryclient.Send(ctx, s.Transport, s.URLs[a.Target], call)
	if failed != nil {
		return Outcome{Err: failed.Err, RetryAfter: failed.RetryAfter}
	}
	// An entry host that counts no messages sends no number.
	extra, _ := strconv.ParseInt(reply.Header.Get(callerapi.HeaderExtraMessages), 10, 64)
	return Outcome{ExtraMessages: extra, Crossed: crossed(a, reply)}
}

func (s *HTTPSender) header(a Attempt) http.Header {
	h := http.Header{}
	h.Set(callerapi.HeaderCustomer, s.Customer)
	if s.Team != "" {
		h.Set(callerapi.HeaderTeam, s.Team)
	}
	h.Set(callerapi.HeaderRequestID, a.ID)
	h.Set(callerapi.HeaderAttempt, strconv.Itoa(a.AttemptHeader))
	h.Set(callerapi.HeaderIdempotent, strconv.FormatBool(a.Idempotent))
	h.Set(callerapi.HeaderDeadline, strconv.FormatInt(max(1, a.Deadline.Milliseconds()), 10))
	h.Set(callerapi.HeaderDeclaredRunTime, strconv.FormatInt(a.RunTime.Milliseconds(), 10))
	h.Set("Content-Type", "application/json")
	return h
}

// crossed reports whether an answer belongs to another request, by its header
// or by the request that the stand-in names in the body.
func crossed(a Attempt, reply entryclient.Reply) bool {
	var body struct {
		Request string `json:"request"`
	}
	if err := json.Unmarshal(reply.Body, &body); err != nil {
		return true
	}
	return reply.Header.Get(callerapi.HeaderRequestID) != a.ID || body.Request != a.ID
}

// ReadLedgers adds up the starts by request id that the stand-ins at the base
// URLs have counted.
func ReadLedgers(ctx context.Context, transport http.RoundTripper, urls []string) (map[string]int, error) {
	total := map[string]int{}
	for _, url := range urls {
		reply, failed := entryclient.Send(ctx, transport, url, entryclient.Call{Method: http.MethodGet, Path: "/v1/ledger"})
		if failed != nil {
			return nil, fmt.Errorf("read ledger: %w", failed)
		}
		var ledger struct {
			Starts map[string]int `json:"starts"`
		}
		if err := json.Unmarshal(reply.Body, &ledger); err != nil {
			return nil, fmt.Errorf("decode ledger of %s: %w", url, err)
		}
		for id, n := range ledger.Starts {
			total[id] += n
		}
	}
	return total, nil
}
