// Package worker is a small stand-in for a worker of the platform: it runs
// tasks under leases, within its cores and memory, and counts the starts of each
// task.
package worker

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// Capacity is a set of resources of a worker.
type Capacity struct {
	Cores        int
	MemoryMB     int
	Accelerators int
}

// Work is the payload that the stand-in interprets. Any other payload runs for
// the default time.
type Work struct {
	// RunMs is the run time in milliseconds.
	RunMs int64 `json:"run_ms"`
	// Fail ends the task as failed.
	Fail bool `json:"fail,omitempty"`
	// Cores and MemoryMB are what the task reports as used; 0 means as declared.
	Cores    int `json:"cores,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
}

// Faults selects the failures that the stand-in simulates.
type Faults struct {
	// FailAll ends every task as failed at once.
	FailAll bool `json:"fail_all"`
	// SlowBy multiplies run times; 0 means 1.
	SlowBy float64 `json:"slow_by"`
	// Leaving refuses new tasks.
	Leaving bool `json:"leaving"`
}

// defaultRunMs is the run time, in milliseconds, of a task whose payload does not
// set one.
const defaultRunMs = 50

// taskKey identifies one task of one submission.
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
	reserve Capacity
}

// Worker is one worker. It is safe for concurrent use.
type Worker struct {
	name     string
	instance string
	capacity Capacity

	mu          sync.Mutex
	faults      Faults
	epoch       int64
	leases      map[string]lease
	tasks       map[taskKey]*task
	starts      map[string]int
	used        Capacity
	lastSeq     map[string]int64
	results     map[string][]workerapi.Result
	resultAdded chan struct{}
}

// New returns an idle worker.
func New(name string, capacity Capacity) *Worker {
	return &Worker{
		name:        name,
		instance:    uuid.NewString(),
		capacity:    capacity,
		leases:      map[string]lease{},
		tasks:       map[taskKey]*task{},
		starts:      map[string]int{},
		lastSeq:     map[string]int64{},
		results:     map[string][]workerapi.Result{},
		resultAdded: make(chan struct{}),
	}
}

// Lease grants or renews the caller's lease. A lease that has expired is granted
// again under a new epoch.
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
	l.reserve = Capacity{call.Reserve.Cores, call.Reserve.MemoryMB, call.Reserve.Accelerators}
	w.leases[call.Holder] = l
	return workerapi.Lease{
		Worker:       w.name,
		Instance:     w.instance,
		Holder:       call.Holder,
		Epoch:        l.epoch,
		TTLMs:        call.TTLMs,
		Cores:        w.capacity.Cores,
		MemoryMB:     w.capacity.MemoryMB,
		Accelerators: w.capacity.Accelerators,
		Used:         w.usage(call.Holder),
	}
}

// usage returns the resources that are not free for the holder: those of running
// tasks and those that other holders have reserved.
func (w *Worker) usage(holder string) workerapi.Usage {
	u := workerapi.Usage{Cores: w.used.Cores, MemoryMB: w.used.MemoryMB, Accelerators: w.used.Accelerators}
	for other, l := range w.leases {
		if other != holder && time.Now().Before(l.expires) {
			u.Cores += l.reserve.Cores
			u.MemoryMB += l.reserve.MemoryMB
			u.Accelerators += l.reserve.Accelerators
		}
	}
	return u
}

// Start starts those tasks of the call that fit and returns a verdict for each
// task. It also renews the lease if the call asks for that with a TTL.
func (w *Worker) Start(call workerapi.StartCall) workerapi.StartReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	verdicts := make([]workerapi.Verdict, len(call.Tasks))
	for i, t := range call.Tasks {
		verdicts[i] = w.startOne(call, t)
	}
	w.renew(call)
	return workerapi.StartReply{Verdicts: verdicts, Used: w.usage(call.Holder)}
}

// renew extends the lease under which the call was made, unless it has expired,
// and clears the resources reserved with it.
func (w *Worker) renew(call workerapi.StartCall) {
	l, ok := w.leases[call.Holder]
	now := time.Now()
	if call.TTLMs <= 0 || call.Instance != w.instance || !ok || l.epoch != call.Epoch || now.After(l.expires) {
		return
	}
	l.expires = now.Add(time.Duration(call.TTLMs) * time.Millisecond)
	l.reserve = Capacity{}
	w.leases[call.Holder] = l
}

func (w *Worker) startOne(call workerapi.StartCall, t workerapi.Start) workerapi.Verdict {
	l, ok := w.leases[call.Holder]
	key := taskKey{t.Submission, t.Task}
	switch {
	case w.faults.Leaving:
		return workerapi.RefusedLeaving
	case call.Instance != w.instance || !ok || l.epoch != call.Epoch || time.Now().After(l.expires):
		return workerapi.RefusedLeaseExpired
	case w.tasks[key] != nil:
		return workerapi.RefusedAlreadyStarted
	case !w.fits(call.Holder, t):
		return workerapi.RefusedNoCapacity
	}
	w.starts[t.Submission+"/"+t.Task]++
	w.addUsage(t, 1)
	running := &task{start: t, holder: call.Holder, state: workerapi.TaskRunning}
	w.tasks[key] = running
	running.timer = time.AfterFunc(w.runTime(t), func() { w.finish(key) })
	return workerapi.Started
}

func (w *Worker) fits(holder string, t workerapi.Start) bool {
	used := w.usage(holder)
	return used.Cores+t.Cores <= w.capacity.Cores &&
		used.MemoryMB+t.MemoryMB <= w.capacity.MemoryMB &&
		used.Accelerators+t.Accelerators <= w.capacity.Accelerators
}

// addUsage adds the resources that the task declares to those in use, or
// subtracts them if sign is -1.
func (w *Worker) addUsage(t workerapi.Start, sign int) {
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
	// A payload of any other form runs for the default time.
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
		w.endTask(key, t, workerapi.TaskFailed, "task failed")
		return
	}
	w.endTask(key, t, workerapi.TaskDone, "")
}

// endTask frees the task's resources and adds its result to those that its holder,
// the entry host that started it, can poll. The caller holds the lock.
func (w *Worker) endTask(key taskKey, t *task, state workerapi.TaskState, reason string) {
	t.state = state
	w.addUsage(t.start, -1)
	w.lastSeq[t.holder]++
	work := parseWork(t.start.Payload)
	peak := workerapi.Usage{Cores: t.start.Cores, MemoryMB: t.start.MemoryMB, Accelerators: t.start.Accelerators}
	if work.Cores > 0 {
		peak.Cores = work.Cores
	}
	if work.MemoryMB > 0 {
		peak.MemoryMB = work.MemoryMB
	}
	w.results[t.holder] = append(w.results[t.holder], workerapi.Result{
		Seq:        w.lastSeq[t.holder],
		Submission: key.submission,
		Task:       key.task,
		State:      state,
		Output:     fmt.Appendf(nil, "%s/%s on %s", key.submission, key.task, w.name),
		Error:      reason,
		RunMs:      work.RunMs,
		Peak:       peak,
	})
	close(w.resultAdded)
	w.resultAdded = make(chan struct{})
}

// Results returns the results of the holder's ended tasks with sequence numbers
// above after, and a channel that is closed when another task ends. The results
// up to after are dropped.
func (w *Worker) Results(holder string, after int64) (workerapi.Results, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := w.results[holder]
	for len(kept) > 0 && kept[0].Seq <= after {
		kept = kept[1:]
	}
	w.results[holder] = kept
	page := workerapi.Results{Instance: w.instance, Results: slices.Clone(kept), Used: w.usage(holder)}
	return page, w.resultAdded
}

// Stop stops running tasks and returns the state of each task of the call. A task
// that the worker has never seen is blocked from starting later.
func (w *Worker) Stop(call workerapi.StopCall) workerapi.StopReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	states := make([]workerapi.TaskState, len(call.Tasks))
	for i, ref := range call.Tasks {
		if call.Instance != w.instance {
			states[i] = workerapi.TaskUnknown
			continue
		}
		key := taskKey{ref.Submission, ref.Task}
		t, ok := w.tasks[key]
		if !ok {
			w.tasks[key] = &task{state: workerapi.TaskNeverSeen}
			states[i] = workerapi.TaskNeverSeen
			continue
		}
		if t.state == workerapi.TaskRunning {
			t.timer.Stop()
			w.endTask(key, t, workerapi.TaskStopped, "stopped")
		}
		states[i] = t.state
	}
	return workerapi.StopReply{States: states}
}

// QueryTasks returns the state of each task of the call. A task that the worker
// has never seen may still start later; Stop blocks it.
func (w *Worker) QueryTasks(call workerapi.StopCall) workerapi.StopReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	states := make([]workerapi.TaskState, len(call.Tasks))
	for i, ref := range call.Tasks {
		t, ok := w.tasks[taskKey{ref.Submission, ref.Task}]
		switch {
		case call.Instance != w.instance:
			states[i] = workerapi.TaskUnknown
		case !ok:
			states[i] = workerapi.TaskNeverSeen
		default:
			states[i] = t.state
		}
	}
	return workerapi.StopReply{States: states}
}

// Starts returns the number of starts of each task, by "submission/task".
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
