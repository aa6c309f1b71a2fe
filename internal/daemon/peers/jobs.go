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
	"github.com/parsleyhill/parsleyhill/internal/decide/jobs"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// JobOwners asks other entry hosts about their jobs.
type JobOwners struct {
	directory Directory
	client    *http.Client
}

// NewJobOwners returns a client of the job protocol.
func NewJobOwners(d Directory, client *http.Client) *JobOwners {
	return &JobOwners{directory: d, client: client}
}

// GetJob returns the owner's document of the job.
func (o *JobOwners) GetJob(ctx context.Context, owner ids.Incarnation, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, error) {
	var answer callerapi.JobAnswer
	p, ok := o.directory.Lookup(owner.Host())
	if !ok {
		return answer, fmt.Errorf("entry host %s is not known", owner.Host())
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	client := peerv1connect.NewJobServiceClient(o.client, p.URL)
	resp, err := client.GetJob(ctx, connect.NewRequest(&peerv1.GetJobRequest{
		Customer: k.Customer, Submission: k.Submission, WaitMs: wait.Milliseconds(),
	}))
	if err != nil {
		return answer, fmt.Errorf("ask %s: %w", p.Host, err)
	}
	if !resp.Msg.GetFound() {
		return answer, fmt.Errorf("entry host %s does not hold the job", p.Host)
	}
	if err := json.Unmarshal(resp.Msg.GetBody(), &answer); err != nil {
		return answer, fmt.Errorf("decode job of %s: %w", p.Host, err)
	}
	return answer, nil
}

// LocalJobs answers for the jobs that this host owns.
type LocalJobs interface {
	// Local returns the job's document, waiting up to wait for it to close.
	Local(ctx context.Context, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, bool)
}

// JobHandler serves the job protocol.
type JobHandler struct {
	peerv1connect.UnimplementedJobServiceHandler
	// Jobs are this host's jobs.
	Jobs LocalJobs
}

// GetJob implements peerv1connect.JobServiceHandler.
func (h JobHandler) GetJob(ctx context.Context, req *connect.Request[peerv1.GetJobRequest]) (*connect.Response[peerv1.GetJobResponse], error) {
	wait := time.Duration(req.Msg.GetWaitMs()) * time.Millisecond
	k := jobs.Key{Customer: req.Msg.GetCustomer(), Submission: req.Msg.GetSubmission()}
	answer, ok := h.Jobs.Local(ctx, k, wait)
	if !ok {
		return connect.NewResponse(&peerv1.GetJobResponse{}), nil
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("encode job: %w", err))
	}
	return connect.NewResponse(&peerv1.GetJobResponse{Found: true, Body: body}), nil
}
