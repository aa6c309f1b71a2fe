package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"strings"

	"github.com/parsleyhill/parsleyhill/internal/entryclient"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	defaultCallersURL   = "http://127.0.0.1:7101"
	defaultOperatorsURL = "http://127.0.0.1:7201"
)

// urlList is the value of a flag that accepts several URLs, separated by commas
// or in repeated flags.
type urlList struct {
	urls []string
	// set is false as long as urls holds the default.
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

// client sends calls to entry hosts and fails over between them.
type client struct {
	urls      urlList
	transport http.RoundTripper
	asJSON    bool
}

// newClient returns a client and adds the flags that configure it, which all
// commands that call entry hosts share.
func (t *Tool) newClient(flags *flag.FlagSet, port, defaultURL string) *client {
	c := &client{urls: urlList{urls: []string{defaultURL}}, transport: t.Transport}
	flags.Var(&c.urls, "url", port+" `URL` of an entry host; repeat the flag or separate URLs by commas to add hosts for failover")
	flags.BoolVar(&c.asJSON, "json", false, "print one JSON document")
	return c
}

// call is one call to an entry host.
type call struct {
	entryclient.Call
	// repeatable is set if the call may be sent again even if the first one
	// may have taken effect.
	repeatable bool
}

// getCall returns a repeatable GET of the path.
func getCall(path string) call {
	return call{Call: entryclient.Call{Method: http.MethodGet, Path: path}, repeatable: true}
}

// sendWithFailover sends a call to the first entry host and fails over to the
// next ones while that is safe: nothing was sent, the host proves that nothing
// was run, or the call is repeatable.
func (c *client) sendWithFailover(ctx context.Context, k call) (entryclient.Reply, error) {
	var last error
	for _, baseURL := range c.urls.urls {
		r, err := c.send(ctx, baseURL, k)
		if err == nil {
			return r, nil
		}
		last = moreSevere(last, err)
		if ctx.Err() != nil || !mayFailOver(k, errkind.From(err)) {
			break
		}
	}
	var failed *failure
	if errors.As(last, &failed) {
		failed.asJSON = c.asJSON
	}
	return entryclient.Reply{}, last
}

// moreSevere returns earlier unless it is nil or proves that the work was not
// run, so that a later refusal does not hide that the work may have run before.
func moreSevere(earlier, later error) error {
	if earlier != nil && errkind.From(earlier).Run != errkind.NotRun {
		return earlier
	}
	return later
}

// mayFailOver reports whether the next entry host may be tried after err. An
// overload refusal is final: sending the work elsewhere would add to the load.
func mayFailOver(k call, err *errkind.Error) bool {
	switch err.Kind {
	case errkind.NotReady, errkind.Stopping, errkind.NoBackend, errkind.LogUnavailable:
		return err.Run == errkind.NotRun || k.repeatable
	case errkind.PeerUnreachable:
		return err.Run == errkind.NotRun || k.repeatable
	default:
		return false
	}
}

// send sends a call once, to the entry host at baseURL.
func (c *client) send(ctx context.Context, baseURL string, k call) (entryclient.Reply, error) {
	r, failed := entryclient.Send(ctx, c.transport, baseURL, k.Call)
	if failed != nil {
		return r, &failure{err: failed.Err, id: failed.ID}
	}
	return r, nil
}

// get fetches the document at the path and decodes it into the value given. It
// also returns the raw document.
func (c *client) get(ctx context.Context, path string, into any) ([]byte, error) {
	return c.document(ctx, getCall(path), into)
}

// document sends a call and decodes the document in the answer into the value
// given. It also returns the raw document.
func (c *client) document(ctx context.Context, k call, into any) ([]byte, error) {
	r, err := c.sendWithFailover(ctx, k)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(r.Body, into); err != nil {
		return nil, &failure{err: errkind.Wrap(errkind.AnswerInvalid, err, "decode the answer"), asJSON: c.asJSON}
	}
	return r.Body, nil
}
