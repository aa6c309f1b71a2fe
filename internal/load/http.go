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

// answerMargin is added to the deadline of a request when waiting for its
// answer, so that the entry host can still report how the request ended.
const answerMargin = 500 * time.Millisecond

// HTTPSender sends attempts to entry hosts over HTTP. The request body sets the
// run time on the stand-in for a backend server.
type HTTPSender struct {
	// URLs are the base URLs of the callers' ports of the entry hosts.
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
	// An entry host that does not count messages omits the header.
	extra, _ := strconv.ParseInt(reply.Header.Get(callerapi.HeaderExtraMessages), 10, 64)
	return Outcome{ExtraMessages: extra, Crossed: isCrossed(a, reply)}
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

// isCrossed reports whether an answer belongs to another request, judging by its
// header and by the request that the stand-in names in the body.
func isCrossed(a Attempt, reply entryclient.Reply) bool {
	var body struct {
		Request string `json:"request"`
	}
	if err := json.Unmarshal(reply.Body, &body); err != nil {
		return true
	}
	return reply.Header.Get(callerapi.HeaderRequestID) != a.ID || body.Request != a.ID
}

// ReadLedgers returns the number of starts by request id, summed over the
// ledgers of the stand-ins for backend servers at the base URLs.
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
