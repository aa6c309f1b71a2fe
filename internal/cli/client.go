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
	entryclient.Call
	// repeatable is set if the call may be sent again although it may have
	// taken effect.
	repeatable bool
}

// get returns a call that reads a path.
func getCall(path string) call {
	return call{Call: entryclient.Call{Method: http.MethodGet, Path: path}, repeatable: true}
}

// do sends a call to the first entry host and turns to the next one if that
// is safe: nothing was sent, the host proves that nothing was run, or the call
// is repeatable.
func (c *client) sendWithFailover(ctx context.Context, k call) (entryclient.Reply, error) {
	var last error
	for _, base := range c.urls.urls {
		r, err := c.send(ctx, base, k)
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

// worse returns the error that says more about whether the work was run.
func moreSevere(before, after error) error {
	if before != nil && errkind.From(before).Run != errkind.NotRun {
		return before
	}
	return after
}

// mayTurn reports whether the next entry host may be tried after err. A
// refusal for load is final: sending it elsewhere would add to the load.
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

// send sends a call once.
func (c *client) send(ctx context.Context, base string, k call) (entryclient.Reply, error) {
	r, failed := entryclient.Send(ctx, c.transport, base, k.Call)
	if failed != nil {
		return r, &failure{err: failed.Err, id: failed.ID}
	}
	return r, nil
}

// get reads a document of an entry host.
func (c *client) get(ctx context.Context, path string, into any) ([]byte, error) {
	return c.document(ctx, getCall(path), into)
}

// document sends a call and decodes the document in the answer. It returns
// the document's bytes too.
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
