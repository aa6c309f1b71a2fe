// Package entryclient calls entry hosts over HTTP on behalf of callers and
// operators. One call of Send is at most one request on the wire.
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
	// dialTimeout bounds the setting up of one connection.
	dialTimeout = 2 * time.Second
	// maxReplyBytes bounds what is read of one answer.
	maxReplyBytes = 256 << 20
)

// NewTransport returns a transport that keeps up to conns idle connections to
// each entry host. It reads no proxy from the environment: entry hosts are
// called by their IP addresses.
func NewTransport(conns int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: conns}
}

// Call is one call to an entry host.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Reply is an answer that is not an error.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Failure is a call that got no answer, or an error for an answer.
type Failure struct {
	// Err has run state NotRun only if nothing was sent or the entry host
	// answered so.
	Err *errkind.Error
	// ID names the request, job or plan, if the answer does.
	ID string
	// RetryAfter is the delay that the answer asks for, or 0.
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the error with its kind.
func (f *Failure) Unwrap() error { return f.Err }

// Send sends the call to the entry host at the base URL.
func Send(ctx context.Context, transport http.RoundTripper, base string, c Call) (Reply, *Failure) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.Method, base+c.Path, nonRewindable(c.Body))
	if err != nil {
		return Reply{}, &Failure{Err: errkind.Wrap(errkind.BadRequest, err, "build call")}
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Reply{}, noAnswerFailure(base, err, connected.Load())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return Reply{}, &Failure{Err: errkind.Wrap(errkind.AnswerInvalid, err, "the answer of %s was cut off", base)}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return Reply{}, answerFailure(base, resp, body)
	}
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func noAnswerFailure(base string, err error, connected bool) *Failure {
	e := errkind.Wrap(errkind.PeerUnreachable, err, "no answer from %s", base)
	if !connected {
		e = e.WithRun(errkind.NotRun)
	}
	return &Failure{Err: e}
}

// once returns a body that the transport cannot rewind, so that it sends the
// call at most once.
func nonRewindable(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return io.MultiReader(bytes.NewReader(body))
}

// answerFailure returns the failure that an answer carries.
func answerFailure(base string, resp *http.Response, body []byte) *Failure {
	var doc errkind.Document
	if err := json.Unmarshal(body, &doc); err != nil || doc.Kind == "" {
		return &Failure{Err: errkind.New(errkind.Internal, "%s answered status %d without an error document", base, resp.StatusCode)}
	}
	// An answer without the header asks for no delay.
	seconds, _ := strconv.ParseInt(resp.Header.Get("Retry-After"), 10, 64)
	return &Failure{
		Err:        errkind.New(doc.Kind, "%s", doc.Detail).WithRun(doc.Run),
		ID:         doc.ID,
		RetryAfter: time.Duration(seconds) * time.Second,
	}
}
