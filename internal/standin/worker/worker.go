// Package worker is a small stand-in for a worker of the platform: it runs
// tasks under leases, within its cores and memory, and keeps a ledger of what
// it started.
package worker

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// Capacity is what a worker has.
type Capacity struct {
	Cores        int
	MemoryMB     int
	Accelerators int
}

// Work is the payload that the stand-in understands. Any other payload runs
// for the default time.
type Work struct {
	// RunMs is the run time in milliseconds.
	RunMs int64 `json:"run_ms"`
	// Fail ends the task as failed.
	Fail bool `json:"fail,omitempty"`
}

// Faults are the failures that the stand-in brings about.
type Faults struct {
	// FailAll ends every task as failed at once.
	FailAll bool `json:"fail_all"`
	// SlowBy multiplies run times; 0 means 1.
	SlowBy float64 `json:"slow_by"`
	// Leaving refuses new tasks.
	Leaving bool `json:"leaving"`
}

// defaultRunMs is the run time of a task whose payload names none.
const defaultRunMs = 50

// taskKey names one task of one submission.
type taskKey struct {
	submission string
	task       string
}

// task is one task that the worker has started.
type task struct {
	start  workerapi.Start
	holder string
	state  workerapi.TaskState
	timer  *time.Timer
}

// lease is one holder's lease.
type lease struct {
	epoch   int64
	expires time.Time
}

// Worker is one worker. It is safe for concurrent use.
type Worker struct {
	name     string
	capacity Capacity

	mu      sync.Mutex
	faults  Faults
	epoch   int64
	leases  map[string]lease
	tasks   map[taskKey]*task
	starts  map[string]int
	used    Capacity
	results map[string][]workerapi.Result
	ended   chan struct{}
}

// New returns an idle worker.
func New(name string, capacity Capacity) *Worker {
	return &Worker{
		name:     name,
		capacity: capacity,
		leases:   map[string]lease{},
		tasks:    map[taskKey]*task{},
		starts:   map[string]int{},
		results:  map[string][]workerapi.Result{},
		ended:    make(chan struct{}),
	}
}

// Lease grants or renews the caller's lease. A lapsed lease comes back with a
// new epoch.
func (w *Worker) Lease(call workerapi.LeaseCall) workerapi.Lease {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	l, ok := w.leases[call.Holder]
	if !ok || now.After(l.expires) {
		w.epoch++
		l.epoch = w.epoch
	}
	l.expires = now.Add(time.Duration(call.TTLMs) * time.Millisecond)
	w.leases[call.Holder] = l
	return workerapi.Lease{
		Worker:       w.name,
		Holder:       call.Holder,
		Epoch:        l.epoch,
		TTLMs:        call.TTLMs,
		Cores:        w.capacity.Cores,
		MemoryMB:     w.capacity.MemoryMB,
		Accelerators: w.capacity.Accelerators,
		UsedCores:    w.used.Cores,
		UsedMemoryMB: w.used.MemoryMB,
	}
}

// Start starts what fits of the call's tasks.
func (w *Worker) Start(call workerapi.StartCall) workerapi.StartReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	verdicts := make([]workerapi.Verdict, len(call.Tasks))
	for i, t := range call.Tasks {
		verdicts[i] = w.startOne(call, t)
	}
	return workerapi.StartReply{Verdicts: verdicts}
}

func (w *Worker) startOne(call workerapi.StartCall, t workerapi.Start) workerapi.Verdict {
	l, ok := w.leases[call.Holder]
	key := taskKey{t.Submission, t.Task}
	switch {
	case w.faults.Leaving:
		return workerapi.RefusedLeave
	case !ok || l.epoch != call.Epoch || time.Now().After(l.expires):
		return workerapi.RefusedLease
	case w.tasks[key] != nil:
		return workerapi.RefusedTwice
	case !w.fits(t):
		return workerapi.RefusedRoom
	}
	w.starts[t.Submission+"/"+t.Task]++
	w.take(t, 1)
	running := &task{start: t, holder: call.Holder, state: workerapi.TaskRunning}
	w.tasks[key] = running
	running.timer = time.AfterFunc(w.runTime(t), func() { w.finish(key) })
	return workerapi.Started
}

func (w *Worker) fits(t workerapi.Start) bool {
	return w.used.Cores+t.Cores <= w.capacity.Cores &&
		w.used.MemoryMB+t.MemoryMB <= w.capacity.MemoryMB &&
		w.used.Accelerators+t.Accelerators <= w.capacity.Accelerators
}

func (w *Worker) take(t workerapi.Start, sign int) {
	w.used.Cores += sign * t.Cores
	w.used.MemoryMB += sign * t.MemoryMB
	w.used.Accelerators += sign * t.Accelerators
}

func (w *Worker) runTime(t workerapi.Start) time.Duration {
	if w.faults.FailAll {
		return 0
	}
	work := parseWork(t.Payload)
	factor := w.faults.SlowBy
	if factor == 0 {
		factor = 1
	}
	return time.Duration(float64(work.RunMs) * factor * float64(time.Millisecond))
}

func parseWork(payload []byte) Work {
	work := Work{RunMs: defaultRunMs}
	// A payload that is not ours runs for the default time.
	_ = json.Unmarshal(payload, &work)
	return work
}

func (w *Worker) finish(key taskKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[key]
	if t.state != workerapi.TaskRunning {
		return
	}
	work := parseWork(t.start.Payload)
	if w.faults.FailAll || work.Fail {
		w.end(key, t, workerapi.TaskFailed, "task failed")
		return
	}
	w.end(key, t, workerapi.TaskDone, "")
}

// end frees the task's room and publishes its result to the holder.
func (w *Worker) end(key taskKey, t *task, state workerapi.TaskState, reason string) {
	t.state = state
	w.take(t.start, -1)
	results := w.results[t.holder]
	w.results[t.holder] = append(results, workerapi.Result{
		Seq:        int64(len(results)) + 1,
		Submission: key.submission,
		Task:       key.task,
		State:      state,
		Output:     fmt.Appendf(nil, "%s/%s on %s", key.submission, key.task, w.name),
		Error:      reason,
		RunMs:      parseWork(t.start.Payload).RunMs,
	})
	close(w.ended)
	w.ended = make(chan struct{})
}

// Results returns the holder's ended tasks after seq, and a channel that is
// closed when another task ends.
func (w *Worker) Results(holder string, after int64) (workerapi.Results, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	results := w.results[holder]
	if after < int64(len(results)) {
		return workerapi.Results{Results: results[after:]}, w.ended
	}
	return workerapi.Results{}, w.ended
}

// Stop stops running tasks and returns the state of each. A task that was
// never seen is barred from starting later.
func (w *Worker) Stop(call workerapi.StopCall) workerapi.StopReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	states := make([]workerapi.TaskState, len(call.Tasks))
	for i, name := range call.Tasks {
		key := taskKey{call.Submission, name}
		t, ok := w.tasks[key]
		if !ok {
			w.tasks[key] = &task{state: workerapi.TaskNeverSeen}
			states[i] = workerapi.TaskNeverSeen
			continue
		}
		if t.state == workerapi.TaskRunning {
			t.timer.Stop()
			w.end(key, t, workerapi.TaskStopped, "stopped")
		}
		states[i] = t.state
	}
	return workerapi.StopReply{States: states}
}

// Task returns the state of one task. A task that was never seen may still
// start later; Stop bars it.
func (w *Worker) Task(submission, name string) workerapi.TaskState {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[taskKey{submission, name}]
	if !ok {
		return workerapi.TaskNeverSeen
	}
	return t.state
}

// Starts counts starts by "submission/task".
func (w *Worker) Starts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	starts := make(map[string]int, len(w.starts))
	for k, n := range w.starts {
		starts[k] = n
	}
	return starts
}

// SetFaults replaces the faults in force.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}
