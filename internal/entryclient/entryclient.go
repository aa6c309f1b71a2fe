// Package entryclient calls entry hosts over HTTP on behalf of callers and
// operators. Each call of Send sends at most one HTTP request.
package entryclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	// dialTimeout limits the time to establish a connection.
	dialTimeout = 2 * time.Second
	// maxReplyBytes limits how much of an answer's body is read.
	maxReplyBytes = 256 << 20
)

// NewTransport returns a transport that keeps up to conns idle connections to
// each entry host. It ignores proxy settings in the environment, because entry
// hosts are called by their IP addresses.
func NewTransport(conns int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: conns}
}

// Call is one HTTP request to an entry host.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Reply is a successful answer, with a status below 400.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Failure reports a call that got no answer, or an error as its answer.
type Failure struct {
	// Err has run state NotRun only if nothing was sent or the entry host
	// answered that the work was not run.
	Err *errkind.Error
	// ID is the id of the request, job or plan if the answer contains it.
	ID string
	// RetryAfter is the delay before a retry that the answer asks for, or 0.
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns f.Err, which carries the error kind.
func (f *Failure) Unwrap() error { return f.Err }

// Send sends the call to the entry host at baseURL. The Failure is nil if it
// succeeds.
func Send(ctx context.Context, transport http.RoundTripper, baseURL string, c Call) (Reply, *Failure) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.Method, baseURL+c.Path, nonRewindable(c.Body))
	if err != nil {
		return Reply{}, &Failure{Err: errkind.Wrap(errkind.BadRequest, err, "build call")}
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Reply{}, noAnswerFailure(baseURL, err, connected.Load())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return Reply{}, &Failure{Err: errkind.Wrap(errkind.AnswerInvalid, err, "the answer from %s was truncated", baseURL)}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return Reply{}, answerFailure(baseURL, resp, body)
	}
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func noAnswerFailure(baseURL string, err error, connected bool) *Failure {
	e := errkind.Wrap(errkind.PeerUnreachable, err, "no answer from %s", baseURL)
	if !connected {
		e = e.WithRun(errkind.NotRun)
	}
	return &Failure{Err: e}
}

// nonRewindable returns a reader of body that the transport cannot rewind, so
// that it does not resend the call on its own.
func nonRewindable(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return io.MultiReader(bytes.NewReader(body))
}

// answerFailure returns the failure that an error answer describes.
func answerFailure(baseURL string, resp *http.Response, body []byte) *Failure {
	var doc errkind.Document
	if err := json.Unmarshal(body, &doc); err != nil || doc.Kind == "" {
		return &Failure{Err: errkind.New(errkind.Internal, "%s answered status %d without an error document", baseURL, resp.StatusCode)}
	}
	// Without the header, the answer asks for no delay.
	seconds, _ := strconv.ParseInt(resp.Header.Get("Retry-After"), 10, 64)
	return &Failure{
		Err:        errkind.New(doc.Kind, "%s", doc.Detail).WithRun(doc.Run),
		ID:         doc.ID,
		RetryAfter: time.Duration(seconds) * time.Second,
	}
}
