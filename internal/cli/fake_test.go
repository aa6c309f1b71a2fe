package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// fakeHosts is an in-memory transport to fake entry hosts by address.
type fakeHosts map[string]*fakeHost

// fakeHost simulates one entry host.
type fakeHost struct {
	// refuseDial fails a call before a connection is established; loseReply
	// fails it after the handler has served it.
	refuseDial bool
	loseReply  bool
	handler    http.HandlerFunc
	calls      []recordedCall
}

// recordedCall is a call as the entry host received it.
type recordedCall struct {
	method string
	path   string
	header http.Header
	body   string
}

// RoundTrip implements http.RoundTripper.
func (f fakeHosts) RoundTrip(r *http.Request) (*http.Response, error) {
	host, ok := f[r.URL.Host]
	if !ok || host.refuseDial {
		return nil, errors.New("dial: connection refused")
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
	}
	host.calls = append(host.calls, recordedCall{r.Method, r.URL.RequestURI(), r.Header, string(body)})
	if host.loseReply {
		return nil, errors.New("connection reset")
	}
	w := httptest.NewRecorder()
	r.Body = io.NopCloser(bytes.NewReader(body))
	host.handler(w, r)
	return w.Result(), nil
}

// respondWith returns a handler that answers with v as JSON.
func respondWith(v any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(v)
	}
}

// respondWithError returns a handler that answers with an error document.
func respondWithError(err *errkind.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { errkind.Write(w, "id-1", err, 0) }
}

// result holds the exit status and the output of one run of the tool.
type result struct {
	status int
	out    string
	err    string
}

// run runs the tool against fake entry hosts.
func run(_ *testing.T, f fakeHosts, stdin string, args ...string) result {
	var out, errOut bytes.Buffer
	tool := Tool{In: strings.NewReader(stdin), Out: &out, Err: &errOut, Transport: f}
	status := tool.Run(context.Background(), args)
	return result{status, out.String(), errOut.String()}
}
