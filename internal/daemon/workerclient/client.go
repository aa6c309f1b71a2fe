// Package workers speaks to the platform's workers over HTTP.
package workerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// maxReply bounds what is read from one reply.
const maxReply = 64 << 20

// Client calls workers. It is safe for concurrent use.
type Client struct {
	client *http.Client
}

// NewClient returns a client over the transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{client: &http.Client{Transport: transport}}
}

// Lease asks for or renews a lease.
func (c *Client) Lease(ctx context.Context, address string, call workerapi.LeaseCall) (workerapi.Lease, *errkind.Error) {
	var lease workerapi.Lease
	err := c.post(ctx, address, workerapi.PathLeases, call, &lease)
	return lease, err
}

// Start starts tasks. An error with run state NotRun proves that none started.
func (c *Client) Start(ctx context.Context, address string, call workerapi.StartCall) (workerapi.StartReply, *errkind.Error) {
	var reply workerapi.StartReply
	if err := c.post(ctx, address, workerapi.PathStarts, call, &reply); err != nil {
		return reply, err
	}
	if len(reply.Verdicts) != len(call.Tasks) {
		return reply, errkind.New(errkind.TaskUnknown, "%d verdicts for %d tasks", len(reply.Verdicts), len(call.Tasks))
	}
	return reply, nil
}

// Stop stops tasks. A task that the worker never saw is barred there.
func (c *Client) Stop(ctx context.Context, address string, call workerapi.StopCall) (workerapi.StopReply, *errkind.Error) {
	return c.states(ctx, address, workerapi.PathStops, call)
}

// Ask returns where tasks stand.
func (c *Client) QueryTasks(ctx context.Context, address string, call workerapi.StopCall) (workerapi.StopReply, *errkind.Error) {
	return c.states(ctx, address, workerapi.PathTasks, call)
}

func (c *Client) states(ctx context.Context, address, path string, call workerapi.StopCall) (workerapi.StopReply, *errkind.Error) {
	var reply workerapi.StopReply
	if err := c.post(ctx, address, path, call, &reply); err != nil {
		return reply, err
	}
	if len(reply.States) != len(call.Tasks) {
		return reply, errkind.New(errkind.TaskUnknown, "%d states for %d tasks", len(reply.States), len(call.Tasks))
	}
	return reply, nil
}

// Results waits up to waitMs milliseconds for ended tasks after seq.
func (c *Client) Results(ctx context.Context, address, holder string, after, waitMs int64) (workerapi.Results, *errkind.Error) {
	query := url.Values{
		"holder":  {holder},
		"after":   {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(waitMs, 10)},
	}
	target := "http://" + address + workerapi.PathResults + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return workerapi.Results{}, errkind.Wrap(errkind.Internal, err, "build request")
	}
	var results workerapi.Results
	failed := c.do(req, &results)
	return results, failed
}

func (c *Client) post(ctx context.Context, address, path string, call, reply any) *errkind.Error {
	body, err := json.Marshal(call)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode call").WithRun(errkind.NotRun)
	}
	// The reader hides the body's type, so that the transport cannot rewind it
	// and send the call a second time.
	oneShot := io.MultiReader(bytes.NewReader(body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, oneShot)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "build call").WithRun(errkind.NotRun)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, reply)
}

func (c *Client) do(req *http.Request, reply any) *errkind.Error {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	resp, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		e := errkind.Wrap(errkind.TaskUnknown, err, "no reply from the worker")
		if !wrote.Load() {
			e = e.WithRun(errkind.NotRun)
		}
		return e
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errkind.New(errkind.TaskUnknown, "the worker answered status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(reply); err != nil {
		return errkind.Wrap(errkind.TaskUnknown, fmt.Errorf("decode reply: %w", err), "the worker's reply was cut off")
	}
	return nil
}
