package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/daemon/journal"
	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/decision"
)

// maxExplainRecords is the maximum number of records that one host returns for
// one subject.
const maxExplainRecords = 200

// Explainer gathers decision records and status documents from this host and
// its peers, and serves this host's to them. It implements operator.Explainer.
type Explainer struct {
	self      string
	journal   *journal.Journal
	directory Directory
	client    *http.Client
	status    func() operator.Status
}

// NewExplainer returns an explainer. The function status returns the status of
// this host.
func NewExplainer(self string, j *journal.Journal, d Directory, client *http.Client, status func() operator.Status) *Explainer {
	return &Explainer{self: self, journal: j, directory: d, client: client, status: status}
}

// Explain implements operator.Explainer.
func (e *Explainer) Explain(ctx context.Context, subject string) operator.Explanation {
	records, horizon := e.journal.BySubject(subject, maxExplainRecords)
	out := operator.Explanation{Subject: subject, Records: records, Hosts: []string{e.self}}
	out.Horizons = []operator.Horizon{{Host: e.self, AgeMs: horizon.Milliseconds()}}
	answers, unreached := gather(ctx, e, func(ctx context.Context, c peerv1connect.ExplainServiceClient) (*peerv1.ExplainResponse, error) {
		resp, err := c.Explain(ctx, connect.NewRequest(&peerv1.ExplainRequest{Subject: subject, Limit: maxExplainRecords}))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	})
	for _, a := range answers {
		found, err := decodeRecords(a.value)
		if err != nil {
			unreached = append(unreached, a.host)
			continue
		}
		out.Hosts = append(out.Hosts, a.host)
		out.Horizons = append(out.Horizons, operator.Horizon{Host: a.host, AgeMs: a.value.GetHorizonMs()})
		out.Records = append(out.Records, found...)
	}
	out.Unreached = unreached
	slices.Sort(out.Hosts)
	slices.Sort(out.Unreached)
	slices.SortStableFunc(out.Records, func(a, b decision.Record) int { return a.Time.Compare(b.Time) })
	return out
}

func decodeRecords(resp *peerv1.ExplainResponse) ([]decision.Record, error) {
	records := make([]decision.Record, 0, len(resp.GetRecords()))
	for _, data := range resp.GetRecords() {
		var r decision.Record
		if err := json.Unmarshal(data, &r); err != nil {
			return nil, fmt.Errorf("decode record: %w", err)
		}
		records = append(records, r)
	}
	return records, nil
}

// Fleet implements operator.Explainer.
func (e *Explainer) Fleet(ctx context.Context) operator.Fleet {
	out := operator.Fleet{Hosts: []operator.Status{e.status()}}
	answers, unreached := gather(ctx, e, func(ctx context.Context, c peerv1connect.ExplainServiceClient) (operator.Status, error) {
		var s operator.Status
		resp, err := c.Status(ctx, connect.NewRequest(&peerv1.StatusRequest{}))
		if err != nil {
			return s, err
		}
		return s, json.Unmarshal(resp.Msg.GetBody(), &s)
	})
	for _, a := range answers {
		out.Hosts = append(out.Hosts, a.value)
	}
	out.Unreached = unreached
	slices.Sort(out.Unreached)
	slices.SortFunc(out.Hosts, func(a, b operator.Status) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// answer is one peer's answer.
type answer[T any] struct {
	host  string
	value T
}

// gather calls all peers concurrently. It returns the answers and the names of
// the peers that did not answer within callTimeout.
func gather[T any](
	ctx context.Context, e *Explainer, call func(context.Context, peerv1connect.ExplainServiceClient) (T, error),
) ([]answer[T], []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []answer[T]
	var unreached []string
	var group errgroup.Group
	for _, p := range e.directory.Peers() {
		group.Go(func() error {
			client := peerv1connect.NewExplainServiceClient(e.client, p.URL, connect.WithReadMaxBytes(maxReplyBytes))
			value, err := call(ctx, client)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreached = append(unreached, p.Host)
				return nil
			}
			answers = append(answers, answer[T]{p.Host, value})
			return nil
		})
	}
	// The functions of the group return no errors.
	_ = group.Wait()
	return answers, unreached
}

// Handler returns the handler that serves this host's records and status to
// peers.
func (e *Explainer) Handler() peerv1connect.ExplainServiceHandler { return explainHandler{e} }

type explainHandler struct{ e *Explainer }

// Explain implements peerv1connect.ExplainServiceHandler.
func (h explainHandler) Explain(_ context.Context, req *connect.Request[peerv1.ExplainRequest]) (*connect.Response[peerv1.ExplainResponse], error) {
	limit := min(int(req.Msg.GetLimit()), maxExplainRecords)
	records, horizon := h.e.journal.BySubject(req.Msg.GetSubject(), limit)
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
