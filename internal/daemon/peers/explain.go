package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/daemon/journal"
	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/decision"
)

// explainLimit is how many records one host gives for one subject.
const explainLimit = 200

// Explain gathers decision records from this host and its peers, and serves
// this host's records to them.
type Explain struct {
	self      string
	journal   *journal.Journal
	directory Directory
	client    *http.Client
	status    func() operator.Status
}

// NewExplain returns an explainer. Status describes this host.
func NewExplain(self string, j *journal.Journal, d Directory, client *http.Client, status func() operator.Status) *Explain {
	return &Explain{self: self, journal: j, directory: d, client: client, status: status}
}

// Explain implements operator.Explainer.
func (e *Explain) Explain(ctx context.Context, subject string) operator.Explanation {
	records, _ := e.journal.About(subject, explainLimit)
	out := operator.Explanation{Subject: subject, Records: records, Hosts: []string{e.self}}
	var mu sync.Mutex
	var group errgroup.Group
	for _, p := range e.directory.Peers() {
		group.Go(func() error {
			found, err := e.ask(ctx, p, subject)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.Unreached = append(out.Unreached, p.Host)
				return nil
			}
			out.Hosts = append(out.Hosts, p.Host)
			out.Records = append(out.Records, found...)
			return nil
		})
	}
	// The functions return no errors.
	_ = group.Wait()
	slices.Sort(out.Hosts)
	slices.Sort(out.Unreached)
	slices.SortStableFunc(out.Records, func(a, b decision.Record) int { return a.Time.Compare(b.Time) })
	return out
}

func (e *Explain) ask(ctx context.Context, p Peer, subject string) ([]decision.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := peerv1connect.NewExplainServiceClient(e.client, p.URL)
	req := connect.NewRequest(&peerv1.ExplainRequest{Subject: subject, Limit: explainLimit})
	resp, err := client.Explain(ctx, req)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", p.Host, err)
	}
	records := make([]decision.Record, 0, len(resp.Msg.GetRecords()))
	for _, data := range resp.Msg.GetRecords() {
		var r decision.Record
		if err := json.Unmarshal(data, &r); err != nil {
			return nil, fmt.Errorf("decode record of %s: %w", p.Host, err)
		}
		records = append(records, r)
	}
	return records, nil
}

// Handler serves the explain protocol to peers.
func (e *Explain) Handler() peerv1connect.ExplainServiceHandler { return explainHandler{e} }

type explainHandler struct{ e *Explain }

// Explain implements peerv1connect.ExplainServiceHandler.
func (h explainHandler) Explain(_ context.Context, req *connect.Request[peerv1.ExplainRequest]) (*connect.Response[peerv1.ExplainResponse], error) {
	limit := min(int(req.Msg.GetLimit()), explainLimit)
	records, horizon := h.e.journal.About(req.Msg.GetSubject(), limit)
	resp := &peerv1.ExplainResponse{Host: h.e.self, HorizonMs: horizon.Milliseconds()}
	for _, r := range records {
		data, err := json.Marshal(r)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("encode record: %w", err))
		}
		resp.Records = append(resp.Records, data)
	}
	return connect.NewResponse(resp), nil
}

// Status implements peerv1connect.ExplainServiceHandler.
func (h explainHandler) Status(context.Context, *connect.Request[peerv1.StatusRequest]) (*connect.Response[peerv1.StatusResponse], error) {
	body, err := json.Marshal(h.e.status())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("encode status: %w", err))
	}
	return connect.NewResponse(&peerv1.StatusResponse{Body: body}), nil
}
