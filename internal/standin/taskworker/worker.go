// Package taskworker stands in for one of the platform's workers: it starts,
// stops and lists runs under leases and fences, over HTTP as the platform's
// page describes. It works in virtual time.
package taskworker

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

type run struct {
	task  string
	run   int
	timer *time.Timer
}

// Event is something that happens to a run.
type Event struct {
	Worker string
	Task   string
	Run    int
	// How is Started, Noted or the word with which the run ended.
	Kind string
}

const (
	// Started means that the run has begun.
	Started = "started"
	// Noted means that an end that came as done was taken note of under the
	// lease that it came under.
	Acknowledged = "noted"
)

// Worker is a stand-in for a worker whose every task takes the same time.
type Worker struct {
	id   string
	took time.Duration
	// observe, if set, is told of every event, in order.
	observe func(Event)

	mu      sync.Mutex
	born    time.Time
	fence   int64
	running map[string]*run
	barred  map[string]int
	ended   [][]any
	seq     int64
	changed chan struct{}
	lease   *time.Timer
	// Started counts the starts of each task.
	started map[string]int
	mute    bool
	failing bool
	// rate is how fast the worker's clock goes.
	rate float64
	// leases counts the leases that have expired, endedUnder gives the count at
	// the time of each end.
	leases     int
	endedUnder map[int64]int
}

// New returns a worker whose tasks take so long.
func New(id string, took time.Duration) *Worker {
	return &Worker{
		id: id, took: took, born: time.Now(), running: map[string]*run{}, barred: map[string]int{},
		changed: make(chan struct{}), started: map[string]int{}, rate: 1, endedUnder: map[int64]int{},
	}
}

// Observe has every later event told, in order. What is told must not call the
// worker.
func (w *Worker) Observe(observe func(Event)) { w.observe = observe }

// SetClockRate has the worker's clock go faster or slower than ours.
func (w *Worker) SetClockRate(rate float64) { w.rate = rate }

// Restart ends the worker's lifetime and begins another under the same id:
// everything is forgotten.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		r.timer.Stop()
		w.tell(r, "lost")
	}
	if w.lease != nil {
		w.lease.Stop()
	}
	w.born, w.fence, w.seq, w.ended = time.Now(), 0, 0, nil
	w.running, w.barred, w.endedUnder = map[string]*run{}, map[string]int{}, map[int64]int{}
}

// Born returns when the present lifetime began, in Unix milliseconds.
func (w *Worker) StartTimeMs() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.born.UnixMilli()
}

func (w *Worker) tell(r *run, how string) {
	if w.observe != nil {
		w.observe(Event{Worker: w.id, Task: r.task, Run: r.run, Kind: how})
	}
}

// SetMute has the worker answer nothing, though it does what it is told.
func (w *Worker) SetWithholdReplies(mute bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = mute
}

// SetFailing has every run fail.
func (w *Worker) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = failing
}

// Started returns how many runs each task had.
func (w *Worker) Started() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for task, n := range w.started {
		counts[task] = n
	}
	return counts
}

// Running returns how many runs there are.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	UntilMs int64  `json:"until_ms"`
	Fence   int64  `json:"fence"`
	AckSeq  int64  `json:"ack_seq"`
	WaitMs  int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	born := w.StartTimeMs()
	if r.URL.Path == "/-/hold" && o.WaitMs > 0 {
		w.await(r, o)
	}
	if w.StartTimeMs() != born {
		// The lifetime that was asked is over.
		panic(http.ErrAbortHandler)
	}
	status, body := w.carry(r.URL.Path, o)
	w.mu.Lock()
	mute := w.mute
	w.mu.Unlock()
	if mute {
		<-r.Context().Done()
		return
	}
	rw.WriteHeader(status)
	// A failed write means that the caller has gone.
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *Worker) await(r *http.Request, o order) {
	w.mu.Lock()
	changed, ready := w.changed, len(w.ended) > 0 && w.seq > o.AckSeq
	w.mu.Unlock()
	if ready {
		return
	}
	select {
	case <-changed:
	case <-r.Context().Done():
	case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
	}
}

func (w *Worker) carry(path string, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clock := int64(float64(time.Since(w.born).Milliseconds()) * w.rate)
	body := map[string]any{"clock_ms": clock, "born": w.born.UnixMilli()}
	if o.Fence < w.fence {
		body["reason"] = "fence"
		return http.StatusConflict, body
	}
	w.fence = o.Fence
	if o.UntilMs > clock {
		w.renew(time.Duration(min(o.UntilMs-clock, 1000)) * time.Millisecond)
	}
	switch path {
	case "/-/run-start":
		return w.start(o, clock, body)
	case "/-/run-stop":
		if r := w.running[o.Task]; r != nil {
			w.end(r, "stopped")
		}
		w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	case "/-/hold":
		w.list(o, body)
	}
	return http.StatusOK, body
}

func (w *Worker) start(o order, clock int64, body map[string]any) (int, map[string]any) {
	switch {
	case w.running[o.Task] != nil && w.running[o.Task].run == o.Run:
		return http.StatusOK, body
	case o.Run <= w.barred[o.Task]:
		body["reason"] = "old"
		return http.StatusConflict, body
	case o.UntilMs <= clock:
		body["reason"] = "late"
		return http.StatusConflict, body
	}
	r := &run{task: o.Task, run: o.Run}
	how := "done"
	if w.failing {
		how = "failed"
	}
	r.timer = time.AfterFunc(w.took, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[r.task] == r {
			w.end(r, how)
		}
	})
	w.running[o.Task] = r
	w.started[o.Task]++
	w.tell(r, Started)
	return http.StatusOK, body
}

// renew sets the lease of everything that runs; it never shortens.
func (w *Worker) renew(d time.Duration) {
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.leases++
		for _, r := range w.running {
			w.end(r, "lapsed")
		}
	})
}

func (w *Worker) end(r *run, how string) {
	r.timer.Stop()
	delete(w.running, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.run)
	w.seq++
	w.endedUnder[w.seq] = w.leases
	w.tell(r, how)
	w.ended = append(w.ended, []any{w.seq, r.task, r.run, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) list(o order, body map[string]any) {
	rest := [][]any{}
	for _, e := range w.ended {
		seq := e[0].(int64)
		if seq > o.AckSeq {
			rest = append(rest, e)
			continue
		}
		if e[3] == "done" && w.endedUnder[seq] == w.leases {
			w.tell(&run{task: e[1].(string), run: e[2].(int)}, Acknowledged)
		}
		delete(w.endedUnder, seq)
	}
	w.ended = rest
	running := [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.run, "", 50, 1000})
	}
	body["running"], body["ended_runs"] = running, rest
}
