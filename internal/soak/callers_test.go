//go:build e2e

package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	tasksPerStep = 3
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 3 * time.Second
)

// call sends one request about a job to a host and returns the HTTP status and
// the job's state.
func (f *fleet) call(method string, h *host, id string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.ip+":8161/jobs/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "jobs.example"
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	var reply struct {
		State string `json:"state"`
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	_ = json.Unmarshal(data, &reply)
	return resp.StatusCode, reply.State, nil
}

func encodeJob(bestEffort bool) []byte {
	step := map[string]any{"count": tasksPerStep, "cpu": 11000, "mem_mb": 64, "est_runtime_ms": taskTime.Milliseconds()}
	steps := []any{step}
	if !bestEffort {
		second := map[string]any{"after": []int{0}}
		for k, v := range step {
			second[k] = v
		}
		steps = append(steps, second)
	}
	return encode(map[string]any{"best_effort": bestEffort, "spec": "x", "steps": steps})
}

// submit submits a best-effort job, checks the answer and reports whether the job
// completed.
func (f *fleet) submit(h *host, id string) bool {
	sent := time.Now()
	status, state, err := f.call(http.MethodPost, h, id, encodeJob(true))
	switch {
	case err != nil:
		var dial *net.OpError
		refused := errors.As(err, &dial) && dial.Op == "dial"
		// A stopping host closes its port but answers the requests it has accepted.
		if h.undisrupted(sent) && (!refused || h.accepting(sent)) {
			f.ledger.locked(func() { f.ledger.fail("job %s got no answer from %s, which was not disrupted: %v", id, h.name, err) })
		}
	case status == http.StatusOK && state == "completed":
		f.ledger.completed(id, 1, tasksPerStep)
		return true
	case status == http.StatusServiceUnavailable:
		f.ledger.notRun(id, sent)
	}
	return false
}

// submitStored submits a stored job and sends its id to accepted if a host accepts
// it. Without an answer the caller submits it again, to a host drawn anew.
func (f *fleet) submitStored(rng *rand.Rand, id string, accepted chan<- string) {
	for range 4 {
		h := f.hosts[rng.IntN(len(f.hosts))]
		status, _, err := f.call(http.MethodPost, h, id, encodeJob(false))
		switch {
		case err == nil && status == http.StatusOK:
			accepted <- id
			return
		case err == nil && status == http.StatusServiceUnavailable:
			return
		}
		time.Sleep(time.Second)
	}
}

// awaitStored waits for the end of a stored job and checks its outcome.
func (f *fleet) awaitStored(h *host, id string, limit time.Time) {
	last := ""
	for time.Now().Before(limit) {
		status, state, err := f.call(http.MethodGet, h, id, nil)
		last = fmt.Sprintf("%d %s %v", status, state, err)
		switch state {
		case "completed":
			f.ledger.completed(id, 2, tasksPerStep)
			return
		case "failed":
			// Failing workers may use up all attempts.
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.ledger.locked(func() {
		f.ledger.fail("stored job %s has not ended: %s answered %s", id, h.name, strings.TrimSpace(last))
	})
}
