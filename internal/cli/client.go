package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	defaultCallers   = "http://127.0.0.1:7101"
	defaultOperators = "http://127.0.0.1:7201"
	// dialTimeout bounds the setting up of one connection.
	dialTimeout = 2 * time.Second
	// maxReplyBytes bounds what is read of one answer.
	maxReplyBytes = 256 << 20
)

// NewTransport returns the transport of the tool. It reads no proxy from the
// environment: entry hosts are called by their IP addresses.
func NewTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64}
}

// urlList is a flag that takes several URLs, separated by commas or repeated.
type urlList struct {
	urls []string
	// set is false while urls holds the default.
	set bool
}

func (l *urlList) String() string { return strings.Join(l.urls, ",") }

func (l *urlList) Set(text string) error {
	if !l.set {
		l.urls, l.set = nil, true
	}
	for url := range strings.SplitSeq(text, ",") {
		url = strings.TrimSuffix(strings.TrimSpace(url), "/")
		if !strings.HasPrefix(url, "http://") && !strings.HasPrefix(url, "https://") {
			return fmt.Errorf("%q is not an http or https URL", url)
		}
		l.urls = append(l.urls, url)
	}
	return nil
}

// client calls entry hosts.
type client struct {
	urls      urlList
	transport http.RoundTripper
	asJSON    bool
}

// client adds the flags that all commands with calls share.
func (t *Tool) client(flags *flag.FlagSet, port, defaultURL string) *client {
	c := &client{urls: urlList{urls: []string{defaultURL}}, transport: t.Transport}
	flags.Var(&c.urls, "url", port+" `URL` of an entry host; repeat it, or separate by commas, to name others to turn to")
	flags.BoolVar(&c.asJSON, "json", false, "print one JSON document")
	return c
}

// call is one call to an entry host.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
	// repeatable is set if the call may be sent again although it may have
	// taken effect.
	repeatable bool
}

// reply is an answer that is not an error.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do sends a call to the first entry host and turns to the next one if that
// is safe: nothing was sent, the host proves that nothing was run, or the call
// is repeatable.
func (c *client) do(ctx context.Context, k call) (reply, error) {
	var last error
	for _, base := range c.urls.urls {
		r, err := c.send(ctx, base, k)
		if err == nil {
			return r, nil
		}
		last = worse(last, err)
		if ctx.Err() != nil || !mayTurn(k, errkind.From(err)) {
			break
		}
	}
	var failed *failure
	if errors.As(last, &failed) {
		failed.asJSON = c.asJSON
	}
	return reply{}, last
}

// worse returns the error that says more about whether the work was run.
func worse(before, after error) error {
	if before != nil && errkind.From(before).Run != errkind.NotRun {
		return before
	}
	return after
}

// mayTurn reports whether the next entry host may be tried after err. A
// refusal for load is final: sending it elsewhere would add to the load.
func mayTurn(k call, err *errkind.Error) bool {
	switch err.Kind {
	case errkind.NotReady, errkind.Stopping, errkind.NoBackend, errkind.LogUnavailable:
		return err.Run == errkind.NotRun || k.repeatable
	case errkind.PeerUnreachable:
		return err.Run == errkind.NotRun || k.repeatable
	default:
		return false
	}
}

// send sends a call once.
func (c *client) send(ctx context.Context, base string, k call) (reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), k.method, base+k.path, once(k.body))
	if err != nil {
		return reply{}, usageErrorf("%v", err)
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		e := errkind.Wrap(errkind.PeerUnreachable, err, "no answer from %s", base)
		if !connected.Load() {
			e = e.WithRun(errkind.NotRun)
		}
		return reply{}, &failure{err: e}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return reply{}, &failure{err: errkind.Wrap(errkind.AnswerInvalid, err, "the answer of %s was cut off", base)}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return reply{}, answerError(base, resp.StatusCode, body)
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// once returns a body that the transport cannot rewind, so that it sends the
// call at most once.
func once(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return io.MultiReader(bytes.NewReader(body))
}

// answerError returns the error that an answer carries.
func answerError(base string, status int, body []byte) error {
	var doc errkind.Document
	if err := json.Unmarshal(body, &doc); err != nil || doc.Kind == "" {
		return &failure{err: errkind.New(errkind.Internal, "%s answered status %d without an error document", base, status)}
	}
	return &failure{err: errkind.New(doc.Kind, "%s", doc.Detail).WithRun(doc.Run), id: doc.ID}
}

// get reads a document of an entry host.
func (c *client) get(ctx context.Context, path string, into any) ([]byte, error) {
	return c.document(ctx, call{method: http.MethodGet, path: path, repeatable: true}, into)
}

// document sends a call and decodes the document in the answer. It returns
// the document's bytes too.
func (c *client) document(ctx context.Context, k call, into any) ([]byte, error) {
	r, err := c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(r.body, into); err != nil {
		return nil, &failure{err: errkind.Wrap(errkind.AnswerInvalid, err, "decode the answer"), asJSON: c.asJSON}
	}
	return r.body, nil
}
