package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	daemonjobs "github.com/parsleyhill/parsleyhill/internal/daemon/jobs"
	"github.com/parsleyhill/parsleyhill/internal/decide/jobs"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// cancelTimeout bounds one cancel at a peer: its owner waits for workers to
// confirm stops, and for the log.
const cancelTimeout = 5 * time.Second

// JobOwners asks other entry hosts about their jobs.
type JobClient struct {
	directory Directory
	client    *http.Client
}

// NewJobOwners returns a client of the job protocol.
func NewJobClient(d Directory, client *http.Client) *JobClient {
	return &JobClient{directory: d, client: client}
}

// GetJob implements daemonjobs.Owners.
func (o *JobClient) GetJob(ctx context.Context, owner ids.Incarnation, address string, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, error) {
	return o.ask(ctx, owner, address, wait+callTimeout, func(ctx context.Context, c peerv1connect.JobServiceClient) (*connect.Response[peerv1.GetJobResponse], error) {
		return c.GetJob(ctx, connect.NewRequest(&peerv1.GetJobRequest{
			Customer: k.Customer, Submission: k.Submission, WaitMs: wait.Milliseconds(),
		}))
	})
}

// CancelJob implements daemonjobs.Owners.
func (o *JobClient) CancelJob(ctx context.Context, owner ids.Incarnation, address string, k jobs.Key) (callerapi.JobAnswer, error) {
	return o.ask(ctx, owner, address, cancelTimeout, func(ctx context.Context, c peerv1connect.JobServiceClient) (*connect.Response[peerv1.GetJobResponse], error) {
		return c.CancelJob(ctx, connect.NewRequest(&peerv1.CancelJobRequest{Customer: k.Customer, Submission: k.Submission}))
	})
}

type jobCall func(ctx context.Context, c peerv1connect.JobServiceClient) (*connect.Response[peerv1.GetJobResponse], error)

// ask calls the owner at the address of its claim. If another process answers
// there, the owner's has ended, since it held the same port.
func (o *JobClient) ask(ctx context.Context, owner ids.Incarnation, address string, timeout time.Duration, call jobCall) (callerapi.JobAnswer, error) {
	var answer callerapi.JobAnswer
	base := "http://" + address
	if address == "" {
		p, ok := o.directory.Lookup(owner.Host())
		if !ok {
			return answer, fmt.Errorf("entry host %s is not known", owner.Host())
		}
		base = p.URL
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := call(ctx, peerv1connect.NewJobServiceClient(o.client, base))
	if err != nil {
		return answer, fmt.Errorf("ask %s: %w", owner.Host(), err)
	}
	answering := ids.Incarnation(resp.Msg.GetIncarnation())
	switch {
	case answering != owner && answering.Host() == owner.Host() && address != "":
		return answer, fmt.Errorf("%s answers in place of %s: %w", answering, owner, daemonjobs.ErrOwnerGone)
	case answering != owner:
		return answer, fmt.Errorf("%s answers in place of %s", answering, owner)
	case !resp.Msg.GetFound():
		return answer, fmt.Errorf("entry host %s does not hold the job", owner.Host())
	}
	if err := json.Unmarshal(resp.Msg.GetBody(), &answer); err != nil {
		return answer, fmt.Errorf("decode job of %s: %w", owner.Host(), err)
	}
	return answer, nil
}

// LocalJobs answers for the jobs that this host owns.
type LocalJobs interface {
	// Local returns the job's document, waiting up to wait for it to close.
	Local(ctx context.Context, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, bool)
	// CancelLocal cancels the job and returns its document.
	CancelLocal(ctx context.Context, k jobs.Key) (callerapi.JobAnswer, bool)
}

// JobHandler serves the job protocol.
type JobHandler struct {
	peerv1connect.UnimplementedJobServiceHandler
	// Jobs are this host's jobs.
	Jobs LocalJobs
	// Incarnation is this host's.
	Incarnation ids.Incarnation
}

// GetJob implements peerv1connect.JobServiceHandler.
func (h JobHandler) GetJob(ctx context.Context, req *connect.Request[peerv1.GetJobRequest]) (*connect.Response[peerv1.GetJobResponse], error) {
	wait := time.Duration(req.Msg.GetWaitMs()) * time.Millisecond
	k := jobs.Key{Customer: req.Msg.GetCustomer(), Submission: req.Msg.GetSubmission()}
	answer, ok := h.Jobs.Local(ctx, k, wait)
	return h.respond(answer, ok)
}

// CancelJob implements peerv1connect.JobServiceHandler.
func (h JobHandler) CancelJob(ctx context.Context, req *connect.Request[peerv1.CancelJobRequest]) (*connect.Response[peerv1.GetJobResponse], error) {
	k := jobs.Key{Customer: req.Msg.GetCustomer(), Submission: req.Msg.GetSubmission()}
	answer, ok := h.Jobs.CancelLocal(ctx, k)
	return h.respond(answer, ok)
}

func (h JobHandler) respond(answer callerapi.JobAnswer, ok bool) (*connect.Response[peerv1.GetJobResponse], error) {
	resp := &peerv1.GetJobResponse{Found: ok, Incarnation: string(h.Incarnation)}
	if !ok {
		return connect.NewResponse(resp), nil
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("encode job: %w", err))
	}
	resp.Body = body
	return connect.NewResponse(resp), nil
}
