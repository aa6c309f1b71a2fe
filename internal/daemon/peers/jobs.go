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

// cancelTimeout is the timeout of one cancel call to a job's owner. The owner
// waits for its workers to confirm that they stopped, and for the log.
const cancelTimeout = 5 * time.Second

// JobClient queries and cancels jobs that other entry hosts own. It implements
// daemonjobs.OwnerClient.
type JobClient struct {
	directory Directory
	client    *http.Client
}

// NewJobClient returns a client of the job protocol.
func NewJobClient(d Directory, client *http.Client) *JobClient {
	return &JobClient{directory: d, client: client}
}

// GetJob implements daemonjobs.OwnerClient.
func (o *JobClient) GetJob(ctx context.Context, owner ids.Incarnation, address string, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, error) {
	return o.callOwner(ctx, owner, address, wait+callTimeout, func(ctx context.Context, c peerv1connect.JobServiceClient) (*connect.Response[peerv1.GetJobResponse], error) {
		return c.GetJob(ctx, connect.NewRequest(&peerv1.GetJobRequest{
			Customer: k.Customer, Submission: k.Submission, WaitMs: wait.Milliseconds(),
		}))
	})
}

// CancelJob implements daemonjobs.OwnerClient.
func (o *JobClient) CancelJob(ctx context.Context, owner ids.Incarnation, address string, k jobs.Key) (callerapi.JobAnswer, error) {
	return o.callOwner(ctx, owner, address, cancelTimeout, func(ctx context.Context, c peerv1connect.JobServiceClient) (*connect.Response[peerv1.GetJobResponse], error) {
		return c.CancelJob(ctx, connect.NewRequest(&peerv1.CancelJobRequest{Customer: k.Customer, Submission: k.Submission}))
	})
}

type jobRPC func(ctx context.Context, c peerv1connect.JobServiceClient) (*connect.Response[peerv1.GetJobResponse], error)

// callOwner calls the owner at the address of its claim, or at the one in the
// directory if address is empty. If another incarnation of the owner's host
// answers at the claim's address, the error is daemonjobs.ErrOwnerEnded: the
// owner's process must have ended, since it held the same port.
func (o *JobClient) callOwner(ctx context.Context, owner ids.Incarnation, address string, timeout time.Duration, call jobRPC) (callerapi.JobAnswer, error) {
	var answer callerapi.JobAnswer
	base := "http://" + address
	if address == "" {
		p, ok := o.directory.Lookup(owner.Host())
		if !ok {
			return answer, fmt.Errorf("unknown entry host %s", owner.Host())
		}
		base = p.URL
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := call(ctx, peerv1connect.NewJobServiceClient(o.client, base))
	if err != nil {
		return answer, fmt.Errorf("call entry host %s: %w", owner.Host(), err)
	}
	answering := ids.Incarnation(resp.Msg.GetIncarnation())
	switch {
	case answering != owner && answering.Host() == owner.Host() && address != "":
		return answer, fmt.Errorf("%s answered instead of %s: %w", answering, owner, daemonjobs.ErrOwnerEnded)
	case answering != owner:
		return answer, fmt.Errorf("%s answered instead of %s", answering, owner)
	case !resp.Msg.GetFound():
		return answer, fmt.Errorf("entry host %s does not hold the job", owner.Host())
	}
	if err := json.Unmarshal(resp.Msg.GetBody(), &answer); err != nil {
		return answer, fmt.Errorf("decode job from %s: %w", owner.Host(), err)
	}
	return answer, nil
}

// LocalJobs provides access to the jobs that this host owns.
type LocalJobs interface {
	// Local returns the job's document, after waiting up to wait for the job to
	// end. It returns false if this host has no answer for the job.
	Local(ctx context.Context, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, bool)
	// CancelLocal cancels the job and returns its document. It returns false if
	// this host has no answer for the job.
	CancelLocal(ctx context.Context, k jobs.Key) (callerapi.JobAnswer, bool)
}

// JobHandler serves this host's jobs to peers.
type JobHandler struct {
	peerv1connect.UnimplementedJobServiceHandler
	// Jobs are this host's jobs.
	Jobs LocalJobs
	// Incarnation is the incarnation of this host.
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
