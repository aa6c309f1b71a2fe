// Package pool sends requests to backend servers over HTTP. One call of Send
// is at most one request on the wire.
package pool

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/backendapi"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	// ConnsPerBackend is this host's part of a backend server's 60
	// connections when eight entry hosts share it.
	ConnsPerBackend = 7
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 90 * time.Second
	// MaxAnswerBytes bounds an answer's body.
	MaxAnswerBytes = 16 << 20
)

// Call is one request to one backend server.
type Call struct {
	ID          string
	Address     string
	ContentType string
	Body        []byte
}

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Load is how many requests the server holds, or -1 if it did not say.
	Load int
	// Leaving is set if the server says that it is stopping.
	Leaving bool
}

// Pool holds the connections to backend servers. It is safe for concurrent
// use.
type Pool struct {
	client *http.Client
}

// New returns a pool with no open connections.
func New() *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     ConnsPerBackend,
		MaxIdleConnsPerHost: ConnsPerBackend,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Pool{client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (p *Pool) Close() { p.client.CloseIdleConnections() }

// Send sends the call once and returns a whole answer. The run state of an
// error is NotRun only if nothing was written to a connection, or the server
// refused before it started.
func (p *Pool) Send(ctx context.Context, c Call) (Answer, *errkind.Error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	req, err := p.request(httptrace.WithClientTrace(ctx, trace), c)
	if err != nil {
		return Answer{}, errkind.Wrap(errkind.Internal, err, "build request").WithRun(errkind.NotRun)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return Answer{}, sendError(ctx, err, wrote.Load())
	}
	defer resp.Body.Close()
	return readAnswer(c, resp)
}

func (p *Pool) request(ctx context.Context, c Call) (*http.Request, error) {
	url := "http://" + c.Address + backendapi.PathRun
	// The reader hides the body's type, so that the transport cannot rewind it
	// and send the request a second time.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.MultiReader(bytes.NewReader(c.Body)))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", c.Address, err)
	}
	req.ContentLength = int64(len(c.Body))
	if len(c.Body) == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set("Content-Type", c.ContentType)
	req.Header.Set(backendapi.HeaderRequestID, c.ID)
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(deadline).Milliseconds())
		req.Header.Set(backendapi.HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return req, nil
}

func sendError(ctx context.Context, err error, wrote bool) *errkind.Error {
	kind := errkind.BackendLost
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = errkind.Timeout
	}
	run := errkind.Unknown
	if !wrote {
		run = errkind.NotRun
	}
	return errkind.Wrap(kind, err, "no answer from the backend server").WithRun(run)
}

// readAnswer reads an answer and checks that it is whole and belongs to the
// call.
func readAnswer(c Call, resp *http.Response) (Answer, *errkind.Error) {
	h := resp.Header
	a := Answer{
		Status:      resp.StatusCode,
		ContentType: h.Get("Content-Type"),
		Leaving:     h.Get(backendapi.HeaderLeaving) == "true",
		Load:        parseLoad(h.Get(backendapi.HeaderLoad)),
	}
	if got := h.Get(backendapi.HeaderRequestID); got != c.ID {
		return a, errkind.New(errkind.AnswerInvalid, "the answer belongs to request %q", got)
	}
	if reason := h.Get(backendapi.HeaderRefused); reason != "" {
		return a, errkind.New(errkind.BackendRefused, "refused: %s", reason)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	switch {
	case err != nil:
		return a, errkind.Wrap(errkind.AnswerInvalid, err, "the answer was cut off")
	case len(body) > MaxAnswerBytes:
		return a, errkind.New(errkind.AnswerInvalid, "the answer is larger than %d bytes", MaxAnswerBytes)
	case h.Get(backendapi.HeaderDigest) != backendapi.Digest(body):
		return a, errkind.New(errkind.AnswerInvalid, "the answer's digest does not match")
	case resp.StatusCode >= http.StatusInternalServerError:
		return a, errkind.New(errkind.BackendFailed, "the backend server answered status %d", resp.StatusCode)
	}
	a.Body = body
	return a, nil
}

func parseLoad(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return n
}
