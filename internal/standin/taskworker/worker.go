// Package taskworker is a stand-in for one of the platform's workers: it starts,
// stops and lists runs under leases and fences, over the worker's HTTP
// interface. It works in the virtual time of testing/synctest.
package taskworker

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

type taskRun struct {
	task      string
	number    int
	timer     *time.Timer
	startedAt time.Time
	duration  time.Duration
}

// Event is a change in the state of a run.
type Event struct {
	Worker string
	Task   string
	Run    int
	// Kind is Started, Acknowledged or the reason for which the run ended.
	Kind string
}

const (
	// Started means that the run was started.
	Started = "started"
	// Acknowledged means that the end of a run that was done was acknowledged
	// before the lease under which the run ended expired.
	Acknowledged = "noted"
)

// Worker is a stand-in for a worker.
type Worker struct {
	id string
	// runTime returns how long a task takes.
	runTime func(task string) time.Duration
	// observe, if set, is called with every event, in order.
	observe func(Event)

	mu        sync.Mutex
	startTime time.Time
	fence     int64
	running   map[string]*taskRun
	blocked   map[string]int
	ended     [][]any
	seq       int64
	changed   chan struct{}
	// renewedAt is when the lease was last renewed, leaseUntil when it ends.
	renewedAt, leaseUntil time.Time
	leaseTimer            *time.Timer
	// started counts the starts of each task.
	started         map[string]int
	withholdReplies bool
	failing         bool
	// clockRate is the speed of the worker's clock; 1 is that of the local clock.
	clockRate float64
	// leaseExpiries counts the leases that have expired. expiriesAtEnd gives that
	// count at the end of each run, by sequence number of the end.
	leaseExpiries int
	expiriesAtEnd map[int64]int
}

// New returns a worker on which every task takes runTime.
func New(id string, runTime time.Duration) *Worker {
	return &Worker{
		id: id, runTime: func(string) time.Duration { return runTime }, startTime: time.Now(), running: map[string]*taskRun{}, blocked: map[string]int{},
		changed: make(chan struct{}), started: map[string]int{}, clockRate: 1, expiriesAtEnd: map[int64]int{},
	}
}

// Observe sets the function that is called with every later event, in order. The
// function must not call the worker.
func (w *Worker) Observe(observe func(Event)) { w.observe = observe }

// SetRunTime sets the function that returns how long a task takes. It must be called
// before the worker serves.
func (w *Worker) SetRunTime(runTime func(task string) time.Duration) { w.runTime = runTime }

// SetClockRate sets the speed of the worker's clock; 1 is that of the local clock.
func (w *Worker) SetClockRate(rate float64) { w.clockRate = rate }

// Restart ends the worker's incarnation and begins another under the same id,
// without the runs, fence, lease and blocked runs of the old one.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		r.timer.Stop()
		w.notify(r, "lost")
	}
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.startTime, w.fence, w.seq, w.ended = time.Now(), 0, 0, nil
	w.running, w.blocked, w.expiriesAtEnd = map[string]*taskRun{}, map[string]int{}, map[int64]int{}
}

// StartTimeMs returns when the current incarnation began, in Unix milliseconds.
func (w *Worker) StartTimeMs() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startTime.UnixMilli()
}

func (w *Worker) notify(r *taskRun, kind string) {
	if w.observe != nil {
		w.observe(Event{Worker: w.id, Task: r.task, Run: r.number, Kind: kind})
	}
}

// SetWithholdReplies sets whether the worker executes calls without replying to
// them.
func (w *Worker) SetWithholdReplies(withhold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.withholdReplies = withhold
}

// SetFailing sets whether the runs that are started from now on fail.
func (w *Worker) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = failing
}

// Started returns how many runs of each task were started.
func (w *Worker) Started() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for task, n := range w.started {
		counts[task] = n
	}
	return counts
}

// Lease returns when the lease of all runs was last renewed and when it ends.
func (w *Worker) Lease() (renewed, end time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.renewedAt, w.leaseUntil
}

// Running returns the number of current runs.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

type request struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	UntilMs int64  `json:"until_ms"`
	Fence   int64  `json:"fence"`
	AckSeq  int64  `json:"ack_seq"`
	WaitMs  int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	startTime, ok := r.Context().Value(incarnationKey{}).(int64)
	if !ok {
		startTime = w.StartTimeMs()
	}
	if r.URL.Path == "/-/hold" && req.WaitMs > 0 {
		w.takeLease(startTime, req)
		w.waitForEnd(r, req)
	}
	status, body := w.execute(startTime, r.URL.Path, req)
	if body == nil {
		// The incarnation that received the call has ended.
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	withhold := w.withholdReplies
	w.mu.Unlock()
	if withhold {
		<-r.Context().Done()
		return
	}
	rw.WriteHeader(status)
	// A failed write means that the caller disconnected.
	_ = json.NewEncoder(rw).Encode(body)
}

type incarnationKey struct{}

// ConnContext is for http.Server: only the incarnation that has accepted a connection
// serves the calls that are read from it.
func (w *Worker) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, incarnationKey{}, w.StartTimeMs())
}

func (w *Worker) waitForEnd(r *http.Request, req request) {
	w.mu.Lock()
	changed, ready := w.changed, len(w.ended) > 0 && w.seq > req.AckSeq
	w.mu.Unlock()
	if ready {
		return
	}
	select {
	case <-changed:
	case <-r.Context().Done():
	case <-time.After(time.Duration(req.WaitMs) * time.Millisecond):
	}
}

// takeLease renews the lease for a call that waits for an end, at its arrival.
func (w *Worker) takeLease(startTime int64, req request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.startTime.UnixMilli() != startTime {
		return
	}
	clock := int64(float64(time.Since(w.startTime).Milliseconds()) * w.clockRate)
	if req.Fence >= w.fence && req.UntilMs > clock {
		w.renew(time.Duration(min(req.UntilMs-clock, 1000)) * time.Millisecond)
	}
}

// execute executes a call for the incarnation with the given start time. It returns no
// body if another one is there.
func (w *Worker) execute(startTime int64, path string, req request) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.startTime.UnixMilli() != startTime {
		return 0, nil
	}
	clock := int64(float64(time.Since(w.startTime).Milliseconds()) * w.clockRate)
	body := map[string]any{"clock_ms": clock, "born": w.startTime.UnixMilli()}
	if req.Fence < w.fence {
		body["reason"] = "fence"
		return http.StatusConflict, body
	}
	w.fence = req.Fence
	if req.UntilMs > clock {
		w.renew(time.Duration(min(req.UntilMs-clock, 1000)) * time.Millisecond)
	}
	switch path {
	case "/-/run-start":
		return w.start(req, clock, body)
	case "/-/run-stop":
		if r := w.running[req.Task]; r != nil {
			w.end(r, "stopped")
		}
		w.blocked[req.Task] = max(w.blocked[req.Task], req.Run)
	case "/-/hold":
		w.listRuns(req, body)
	}
	return http.StatusOK, body
}

func (w *Worker) start(req request, clock int64, body map[string]any) (int, map[string]any) {
	switch {
	case w.running[req.Task] != nil && w.running[req.Task].number == req.Run:
		return http.StatusOK, body
	case req.Run <= w.blocked[req.Task]:
		body["reason"] = "old"
		return http.StatusConflict, body
	case req.UntilMs <= clock:
		body["reason"] = "late"
		return http.StatusConflict, body
	}
	r := &taskRun{task: req.Task, number: req.Run, startedAt: time.Now(), duration: w.runTime(req.Task)}
	reason := "done"
	if w.failing {
		reason = "failed"
	}
	r.timer = time.AfterFunc(r.duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[r.task] == r {
			w.end(r, reason)
		}
	})
	w.running[req.Task] = r
	w.started[req.Task]++
	w.notify(r, Started)
	return http.StatusOK, body
}

// renew restarts the lease that covers all runs: they end after d unless it is
// renewed again.
func (w *Worker) renew(d time.Duration) {
	now := time.Now()
	until := now.Add(d)
	if until.Before(w.leaseUntil) && len(w.running) > 0 {
		return
	}
	w.renewedAt, w.leaseUntil = now, until
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.leaseExpiries++
		for _, r := range w.running {
			w.end(r, "lapsed")
		}
	})
}

func (w *Worker) end(r *taskRun, reason string) {
	r.timer.Stop()
	delete(w.running, r.task)
	w.blocked[r.task] = max(w.blocked[r.task], r.number)
	w.seq++
	w.expiriesAtEnd[w.seq] = w.leaseExpiries
	w.notify(r, reason)
	w.ended = append(w.ended, []any{w.seq, r.task, r.number, reason, ""})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) listRuns(req request, body map[string]any) {
	unacknowledged := [][]any{}
	for _, e := range w.ended {
		seq := e[0].(int64)
		if seq > req.AckSeq {
			unacknowledged = append(unacknowledged, e)
			continue
		}
		if e[3] == "done" && w.expiriesAtEnd[seq] == w.leaseExpiries {
			w.notify(&taskRun{task: e[1].(string), number: e[2].(int)}, Acknowledged)
		}
		delete(w.expiriesAtEnd, seq)
	}
	w.ended = unacknowledged
	running := [][]any{}
	for _, r := range w.running {
		percent := min(99, int(100*time.Since(r.startedAt)/r.duration))
		running = append(running, []any{r.task, r.number, "", percent, 1000})
	}
	body["running"], body["ended_runs"] = running, unacknowledged
}
