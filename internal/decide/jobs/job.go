package jobs

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// taskState is the state of one task of an owned job.
type taskState int8

const (
	// taskWaiting can be placed on a worker.
	taskWaiting taskState = iota
	// taskPlaced has a worker, but its start was not sent.
	taskPlaced
	// taskSent was sent to its worker, which has not replied yet.
	taskSent
	// taskUnconfirmed was sent and the reply was lost, so the worker may or may
	// not have it.
	taskUnconfirmed
	// taskRunning was started by its worker.
	taskRunning
	// taskEnded was started and has ended, or was abandoned with its job.
	taskEnded
	// taskDiscarded was never started and never will be.
	taskDiscarded
)

// task is one task of an owned job.
type task struct {
	spec    *callerapi.Task
	stats   *placement.ClassStats
	state   taskState
	worker  string
	size    placement.Size
	started bool
	// outcomeUnknown is set when the worker that had the task can no longer
	// report its outcome.
	outcomeUnknown bool
	// blockedOn lists the workers that refuse the task.
	blockedOn []string
}

func (t *task) declared() placement.Size {
	return placement.Size{Cores: t.spec.Cores, MemoryMB: t.spec.MemoryMB, Accelerators: t.spec.Accelerators}
}

// mayBeOnWorker reports whether a worker has, or may have, the task.
func (t *task) mayBeOnWorker() bool {
	return t.state == taskSent || t.state == taskUnconfirmed || t.state == taskRunning
}

// job is a job that this host owns.
type job struct {
	// seq orders jobs by arrival.
	seq      int64
	key      Key
	keyText  string
	spec     callerapi.Job
	digest   string
	minted   bool
	deadline time.Time
	// leaseEnd is when this host's exclusive right to close the job ends.
	leaseEnd time.Time
	tasks    []task
	index    map[string]int
	// waiting holds the indexes of the tasks to place, the largest last.
	waiting   []int
	results   []callerapi.TaskResult
	remaining int
	racks     placement.TasksByRack

	blockedSince time.Time
	// smallerAtBlock is the number of smaller tasks placed so far when the job
	// was first blocked.
	smallerAtBlock int64
	reserved       string

	// stopCause is why the job is being stopped; it is nil unless a stop has
	// begun.
	stopCause    *errkind.Error
	stopDeadline time.Time

	closed   bool
	closedAt time.Time
	answered bool
	// closeLogged is set when the job's close is known to be the first in the
	// log, or when a minted submission needs no close there.
	closeLogged bool
	// closeFinal is set when the close need not be appended again.
	closeFinal bool
	// answerDeadline is when the answer is given even if the log has not
	// accepted the close.
	answerDeadline time.Time
	retryAt        time.Time
	answer         callerapi.JobAnswer
	// resultsDropped is the error returned for a complete job whose results
	// were discarded.
	resultsDropped *errkind.Error
}

// taskRef identifies one task of an owned job.
type taskRef struct {
	job  *job
	task int
}

// get returns the task. If the job keeps only its answer, the task counts as
// ended.
func (r taskRef) get() *task {
	if r.job.tasks == nil {
		return &task{state: taskEnded}
	}
	return &r.job.tasks[r.task]
}

func (c *Core) newJob(p *pendingClaim, k Key, leaseEnd time.Time) *job {
	spec := p.job
	deadline := p.requestedAt.Add(time.Duration(spec.DeadlineMs) * time.Millisecond)
	if latest := leaseEnd.Add(-c.cfg.CloseMargin); deadline.After(latest) {
		deadline = latest
	}
	c.jobSeq++
	j := &job{
		seq: c.jobSeq, key: k, keyText: k.String(), spec: spec, digest: p.digest, minted: p.minted,
		deadline:  deadline,
		leaseEnd:  leaseEnd,
		tasks:     make([]task, len(spec.Tasks)),
		index:     make(map[string]int, len(spec.Tasks)),
		results:   make([]callerapi.TaskResult, len(spec.Tasks)),
		waiting:   make([]int, len(spec.Tasks)),
		remaining: len(spec.Tasks),
		racks:     placement.TasksByRack{},
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

// resolved reports whether nothing is left to decide about the job.
func (j *job) resolved() bool {
	return j.closed && j.answered && (j.closeFinal || j.minted)
}

// runState returns what is known about whether any task of the job ran.
func (j *job) runState() errkind.RunState {
	state := errkind.NotRun
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.started {
			return errkind.Ran
		}
		if t.outcomeUnknown || t.state == taskSent || t.state == taskUnconfirmed {
			state = errkind.Unknown
		}
	}
	return state
}

// counts returns how many tasks completed and how many were started.
func (j *job) counts() (done, started int) {
	for i := range j.tasks {
		if j.tasks[i].started {
			started++
		}
	}
	return len(j.tasks) - j.remaining, started
}

// hasTasksOnWorkers reports whether a worker has, or may have, a task of the
// job.
func (j *job) hasTasksOnWorkers() bool {
	for i := range j.tasks {
		if j.tasks[i].mayBeOnWorker() {
			return true
		}
	}
	return false
}

// resultOverheadBytes is the approximate size of a result besides its output.
const resultOverheadBytes = 128

// answerBytes returns the approximate size of the results in an answer.
func answerBytes(a callerapi.JobAnswer) int {
	total := 0
	for i := range a.Results {
		total += len(a.Results[i].Output) + resultOverheadBytes
	}
	return total
}
