package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	resendDelay = 1300 * time.Millisecond
)

// jobSpec is a job that clients send.
type jobSpec struct {
	Counts      []int
	CPU         int
	Ms, EstMs   int
	Fail        float64
	BestEffort  bool
	Limit       time.Duration
	Attempts    int
	MaxAttempts int
}

func (s jobSpec) body() []byte {
	steps := []map[string]any{}
	for i, count := range s.Counts {
		step := map[string]any{"count": count, "cpu": s.CPU, "mem_mb": 64, "est_runtime_ms": s.EstMs}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	body := map[string]any{"spec": string(encode(taskSpec{Ms: s.Ms, Fail: s.Fail})), "steps": steps}
	if s.BestEffort {
		body["best_effort"] = true
	}
	return encode(body)
}

// pick returns a host that gets new connections: any in rotation, or any if none is.
func (w *world) pick() *entryHost {
	var good []*entryHost
	for _, h := range w.hosts {
		if h.inRotation() {
			good = append(good, h)
		}
	}
	if len(good) == 0 {
		good = w.hosts
	}
	return good[w.intn(len(good))]
}

// call sends one request on a connection of its own. The status is zero without an answer.
func (w *world) call(h *entryHost, method, id string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.ip+":8161"+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	resp, err := w.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// send hands a job in, and again after no answer, a broken connection, 502 or 504.
func (w *world) send(spec jobSpec) *jobState {
	id := fmt.Sprintf("%016x", w.uint64())
	j := w.check.submit(spec, id)
	for attempt := 1; attempt <= spec.Attempts; attempt++ {
		h := w.pick()
		w.record("send %s to %s, attempt %d", id, h.name, attempt)
		status, body := w.call(h, http.MethodPost, id, spec.body(), spec.Limit)
		var reply struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal(body, &reply)
		w.record("answer %s of %s: %d %s", id, h.name, status, reply.State)
		w.count(fmt.Sprintf("%d %s", status, reply.State))
		w.check.mu.Lock()
		switch {
		case status >= 200 && status < 300:
			j.accepted = time.Now()
		case status == 429 || status == 503:
			j.rejections++
		default:
			j.others++
		}
		w.check.mu.Unlock()
		switch {
		case status >= 200 && status < 300:
			if spec.BestEffort && reply.State == "completed" {
				w.check.answeredCompleted(j)
			}
			return j
		case status != 0 && status != 502 && status != 504:
			return j
		}
		time.Sleep(resendDelay)
	}
	return j
}

// state asks for the state of a job.
func (w *world) state(id string) (int, string) {
	h := w.pick()
	status, body := w.call(h, http.MethodGet, id, nil, 1500*time.Millisecond)
	var reply struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &reply)
	return status, reply.State
}

// cancel cancels a job, until an answer says so.
func (w *world) cancel(j *jobState) {
	w.check.mu.Lock()
	j.cancelSent = time.Now()
	w.check.mu.Unlock()
	for range 4 {
		h := w.pick()
		status, _ := w.call(h, http.MethodDelete, j.id, nil, 1500*time.Millisecond)
		w.record("cancel %s at %s: %d", j.id, h.name, status)
		if status >= 200 && status < 300 || status == http.StatusGone {
			w.check.mu.Lock()
			j.cancelled = time.Now()
			w.check.mu.Unlock()
			return
		}
		time.Sleep(resendDelay)
	}
}
