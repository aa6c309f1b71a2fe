// Package pool sends requests to backend servers over HTTP. One call of Send
// is at most one request on the wire.
package backendpool

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
)

// Call is one request to one backend server.
type Call struct {
	ID          string
	Address     string
	ContentType string
	Body        []byte
}

// Dial opens a connection to a backend server.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds the connections to backend servers. It is safe for concurrent
// use.
type Pool struct {
	client *http.Client
}

// New returns a pool over TCP with no open connections.
func New() *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewWithDial(dialer.DialContext)
}

// NewWithDial returns a pool that opens its connections with dial.
func NewWithDial(dial DialFunc) *Pool {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
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
// refused before it started. A connection that gave an invalid answer is
// closed.
func (p *Pool) Send(ctx context.Context, c Call) (Answer, *errkind.Error) {
	req, err := newRequest(ctx, c)
	if err != nil {
		return Answer{Load: loadUnknown}, errkind.Wrap(errkind.Internal, err, "build request").WithRun(errkind.NotRun)
	}
	return p.do(ctx, c, req)
}

func (p *Pool) do(ctx context.Context, c Call, req *http.Request) (Answer, *errkind.Error) {
	s := &send{}
	resp, err := p.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, s.trace())))
	if err != nil {
		return Answer{Load: loadUnknown}, sendError(ctx, err, s.seal())
	}
	defer resp.Body.Close()
	answer, invalid := readAnswer(c, resp)
	if invalid == nil {
		return answer, nil
	}
	if invalid.Kind == errkind.AnswerInvalid {
		s.discard()
		return answer, invalidError(ctx, invalid)
	}
	return answer, invalid
}

func newRequest(ctx context.Context, c Call) (*http.Request, error) {
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
	run := errkind.Unknown
	if !wrote {
		run = errkind.NotRun
	}
	return errkind.Wrap(lostKind(ctx), err, "no answer from the backend server").WithRun(run)
}

// invalidError tells an answer that the deadline cut off from one that the
// server cut off.
func invalidError(ctx context.Context, err *errkind.Error) *errkind.Error {
	if err.Err != nil && lostKind(ctx) == errkind.Timeout {
		return errkind.Wrap(errkind.Timeout, err, "the answer was not whole at the deadline")
	}
	return err
}

func lostKind(ctx context.Context) errkind.Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Timeout
	}
	return errkind.BackendLost
}
