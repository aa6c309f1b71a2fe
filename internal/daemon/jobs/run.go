package jobs

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/jobs"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// taskState is where a task of an owned job stands.
type taskState int

const (
	taskWaiting taskState = iota
	taskSent
	taskDone
)

// run is one job that this host owns. The service's lock guards it.
type run struct {
	job     callerapi.Job
	key     jobs.Key
	states  []taskState
	index   map[string]int
	results []callerapi.TaskResult
	left    int
	closed  bool
	answer  callerapi.JobAnswer
	owner   string
	done    chan struct{}
}

func newRun(job callerapi.Job, k jobs.Key, host string) *run {
	r := &run{
		job:     job,
		key:     k,
		states:  make([]taskState, len(job.Tasks)),
		index:   make(map[string]int, len(job.Tasks)),
		results: make([]callerapi.TaskResult, len(job.Tasks)),
		left:    len(job.Tasks),
		answer:  callerapi.JobAnswer{Submission: k.Submission, Customer: k.Customer, State: callerapi.JobRunning, Owner: host},
		owner:   host,
		done:    make(chan struct{}),
	}
	for i, t := range job.Tasks {
		r.index[t.Name] = i
	}
	return r
}

// waiting returns the indexes of tasks that may be placed.
func (r *run) waiting() []int {
	if r.closed {
		return nil
	}
	var tasks []int
	for i, state := range r.states {
		if state == taskWaiting {
			tasks = append(tasks, i)
		}
	}
	return tasks
}

// wait returns the answer once the job is closed, or the running state after
// wait or when ctx ends.
func (r *run) wait(ctx context.Context, wait time.Duration) callerapi.JobAnswer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-ctx.Done():
	case <-timer.C:
	}
	select {
	case <-r.done:
		return r.answer
	default:
	}
	return callerapi.JobAnswer{
		Submission: r.key.Submission, Customer: r.key.Customer, State: callerapi.JobRunning, Owner: r.owner,
	}
}

func (r *run) close(err *errkind.Error) {
	r.closed = true
	if err == nil {
		r.answer.State = callerapi.JobComplete
		r.answer.Results = r.results
	} else {
		r.answer.State = callerapi.JobFailed
		r.answer.ErrorKind = string(err.Kind)
		r.answer.Run = string(err.Run)
		r.answer.Reason = err.Detail
	}
	close(r.done)
}

// finish takes the end of a task. It returns an error if the job has failed.
func (r *run) finish(worker string, res workerapi.Result) *errkind.Error {
	i, ok := r.index[res.Task]
	if !ok || r.states[i] != taskSent {
		return nil
	}
	r.states[i] = taskDone
	r.left--
	if res.State != workerapi.TaskDone {
		return errkind.New(errkind.TaskFailed, "task %s ended %s on %s: %s", res.Task, res.State, worker, res.Error)
	}
	r.results[i] = callerapi.TaskResult{Name: res.Task, Worker: worker, Output: res.Output}
	return nil
}

func (r *run) String() string { return fmt.Sprintf("job %s", r.key) }
