package jobs

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// taskState is where a task of an owned job stands.
type taskState int8

const (
	// taskWaiting may be placed.
	taskWaiting taskState = iota
	// taskPlaced has a worker but was not sent.
	taskPlaced
	// taskSent was sent; the worker's verdict is awaited.
	taskSent
	// taskUnsure was sent and the reply was lost.
	taskUnsure
	// taskRunning was started.
	taskRunning
	// taskEnded was started and has ended, or is given up with its job.
	taskEnded
	// taskDropped was never started and never will be.
	taskDropped
)

// task is one task of an owned job.
type task struct {
	spec    *callerapi.Task
	stats   *placement.ClassStats
	state   taskState
	worker  string
	size    placement.Size
	started bool
	// lost is set when the worker that had it can no longer say what became
	// of it.
	lost bool
	// barred are the workers that will refuse the task.
	barred []string
}

func (t *task) declared() placement.Size {
	return placement.Size{Cores: t.spec.Cores, MemoryMB: t.spec.MemoryMB, Accelerators: t.spec.Accelerators}
}

// atWorker reports whether a worker has, or may have, the task.
func (t *task) atWorker() bool {
	return t.state == taskSent || t.state == taskUnsure || t.state == taskRunning
}

// job is one job that this host owns.
type job struct {
	// seq orders jobs by arrival.
	seq      int64
	key      Key
	text     string
	spec     callerapi.Job
	digest   string
	minted   bool
	deadline time.Time
	// leaseEnd is when this host's right to close the job alone ends.
	leaseEnd time.Time
	tasks    []task
	index    map[string]int
	// waiting are the tasks to place, the largest last.
	waiting []int
	results []callerapi.TaskResult
	left    int
	racks   placement.TasksByRack

	blockedSince time.Time
	// smaller is the count of smaller tasks placed when the job was blocked.
	smaller  int64
	reserved string

	// ending is why the job is being stopped, while stops are awaited.
	ending *errkind.Error
	stopBy time.Time

	closed   bool
	closedAt time.Time
	answered bool
	// recorded is set when the log is known to have the close first.
	recorded  bool
	confirmed bool
	// answerBy is when the answer is given although the log has not taken it.
	answerBy time.Time
	retryAt  time.Time
	answer   callerapi.JobAnswer
	// trimmed is what is said of a complete job whose results were let go.
	trimmed *errkind.Error
}

// ref names one task of an owned job.
type ref struct {
	job  *job
	task int
}

// t returns the task. One of a job that keeps only its answer has ended.
func (r ref) t() *task {
	if r.job.tasks == nil {
		return &task{state: taskEnded}
	}
	return &r.job.tasks[r.task]
}

func (c *Core) newJob(p *pending, k Key, leaseEnd time.Time) *job {
	spec := p.job
	deadline := p.asked.Add(time.Duration(spec.DeadlineMs) * time.Millisecond)
	if latest := leaseEnd.Add(-c.cfg.CloseMargin); deadline.After(latest) {
		deadline = latest
	}
	c.jobSeq++
	j := &job{
		seq: c.jobSeq, key: k, text: k.String(), spec: spec, digest: p.digest, minted: p.minted,
		deadline: deadline,
		leaseEnd: leaseEnd,
		tasks:    make([]task, len(spec.Tasks)),
		index:    make(map[string]int, len(spec.Tasks)),
		results:  make([]callerapi.TaskResult, len(spec.Tasks)),
		waiting:  make([]int, len(spec.Tasks)),
		left:     len(spec.Tasks),
		racks:    placement.TasksByRack{},
		answer: callerapi.JobAnswer{
			Submission: k.Submission, Customer: k.Customer, State: callerapi.JobRunning, Owner: c.cfg.Self.Host(),
		},
	}
	for i := range spec.Tasks {
		t := &spec.Tasks[i]
		declared := placement.Size{Cores: t.Cores, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators}
		stats := c.learner.Stats(placement.Class{Customer: k.Customer, Team: spec.Team, Declared: declared, RunMs: t.RunMs})
		j.tasks[i] = task{spec: t, stats: stats}
		j.index[t.Name] = i
		j.waiting[i] = i
	}
	slices.SortStableFunc(j.waiting, func(a, b int) int {
		return j.tasks[a].spec.Cores - j.tasks[b].spec.Cores
	})
	return j
}

// settled reports whether nothing is left to decide about the job.
func (j *job) settled() bool {
	return j.closed && j.answered && (j.confirmed || j.minted)
}

// runState says what is known of the job's tasks together.
func (j *job) runState() errkind.RunState {
	state := errkind.NotRun
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.started {
			return errkind.Ran
		}
		if t.lost || t.state == taskSent || t.state == taskUnsure {
			state = errkind.Unknown
		}
	}
	return state
}

// counts returns how many tasks have ended complete and how many were started.
func (j *job) counts() (done, started int) {
	for i := range j.tasks {
		if j.tasks[i].started {
			started++
		}
	}
	return len(j.tasks) - j.left, started
}

// busy reports whether a worker has, or may have, a task of the job.
func (j *job) busy() bool {
	for i := range j.tasks {
		if j.tasks[i].atWorker() {
			return true
		}
	}
	return false
}

// resultOverhead is what one result takes besides its output, in bytes.
const resultOverhead = 128

// answerBytes is about the size of the results in an answer.
func answerBytes(a callerapi.JobAnswer) int {
	total := 0
	for i := range a.Results {
		total += len(a.Results[i].Output) + resultOverhead
	}
	return total
}
