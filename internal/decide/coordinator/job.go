package coordinator

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// taskState is where a task of a waiting job stands.
type taskState int

const (
	// taskIdle is nowhere and may be offered once its step's turn has come.
	taskIdle taskState = iota
	// taskOffered waits at a host.
	taskOffered
	// taskStarted runs at a worker of a host.
	taskStarted
	// taskOrphaned may run at a worker that its owner has lost.
	taskOrphaned
	// taskDone has completed.
	taskDone
)

type task struct {
	name  fleet.TaskName
	state taskState
	host  string
	// worker is the one that is known to have the present run, or empty.
	worker string
	// avoid is the worker of the run before, or empty.
	avoid string
	// fence is the one that the owner held that worker with.
	fence int64
	// runs is the number of the last run that is known of.
	runs   int
	failed int
	// ran is set once a run has, or may have, begun.
	ran bool
	// over is the highest run that is known to have ended.
	over int
	// overAt is when an orphaned run has surely ended.
	overAt time.Time
	// refusedBy are hosts that gave the task back, and until when they are
	// passed over.
	refusedBy map[string]time.Time
}

type job struct {
	seq   int64
	spec  fleet.Job
	route fleet.Route
	// stored jobs outlive their host: the log holds their ends.
	stored bool
	tasks  []*task
	// first is the index of each step's first task.
	first    []int
	left     []int
	arrived  time.Time
	deadline time.Time
	// objective is how long the job may take to be in time.
	objective time.Duration
	// chain is the estimated time of the longest chain of steps.
	chain time.Duration
	begun bool
	// hosts were offered tasks of the job.
	hosts []string
	// judged is set once the job was looked at a second time.
	judged bool
	// recalled is when the waiting tasks were last asked back; zero if they are
	// wanted where they are.
	recalled time.Time
	// wait is the wait that was expected on arrival.
	wait time.Duration
}

// atWorker reports whether a run of the task is, or may be, at a worker.
func (t *task) atWorker() bool { return t.state == taskStarted || t.state == taskOrphaned }

// elsewhere reports whether the present run of the task is known to be at
// another worker: what is found on this one belongs to an earlier submission.
func (t *task) elsewhere(worker string) bool {
	return t.atWorker() && t.worker != "" && t.worker != worker
}

// offered notes that the task waits at a host. Where its next run will be is
// not known until its start is reported.
func (t *task) offered(host string) {
	t.state, t.host = taskOffered, host
	if t.worker != "" {
		t.avoid = t.worker
	}
	t.worker, t.fence = "", 0
}

// offeredTo notes that a host holds, or held, tasks of the job.
func (j *job) offeredTo(host string) {
	if !slices.Contains(j.hosts, host) {
		j.hosts = append(j.hosts, host)
	}
}

func newJob(now time.Time, seq int64, spec fleet.Job, route fleet.Route, deadline time.Time) *job {
	j := &job{seq: seq, spec: spec, route: route, arrived: now, deadline: deadline}
	for i, step := range spec.Steps {
		j.first = append(j.first, len(j.tasks))
		j.left = append(j.left, step.Count)
		for k := range step.Count {
			j.tasks = append(j.tasks, &task{name: fleet.TaskName{Job: spec.ID, Step: i, Index: k}})
		}
	}
	j.chain = j.longest()
	j.objective = time.Duration(float64(j.chain)*route.Stretch) + route.LatencySlack
	return j
}

// longest returns the estimated time of the longest chain of steps.
func (j *job) longest() time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	var longest time.Duration
	for i, step := range j.spec.Steps {
		var begin time.Duration
		for _, a := range step.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// ready reports whether a step's turn has come.
func (j *job) ready(step int) bool {
	for _, a := range j.spec.Steps[step].After {
		if j.left[a] > 0 {
			return false
		}
	}
	return true
}

// done reports whether all tasks are done.
func (j *job) done() bool {
	for _, left := range j.left {
		if left > 0 {
			return false
		}
	}
	return true
}

// notRun reports whether no task can have run.
func (j *job) notRun() bool {
	for _, t := range j.tasks {
		if t.ran || t.state == taskOffered || t.state == taskOrphaned || t.state == taskDone {
			return false
		}
	}
	return true
}

// idle reports whether no host has a task of the job.
func (j *job) idle() bool {
	for _, t := range j.tasks {
		if t.state != taskIdle && t.state != taskDone {
			return false
		}
	}
	return true
}

// runs counts the runs that are known of.
func (j *job) runs() int {
	n := 0
	for _, t := range j.tasks {
		n += t.runs
	}
	return n
}

// atHosts returns the hosts that hold tasks of the job, each once.
func (j *job) atHosts() []string {
	var hosts []string
	for _, t := range j.tasks {
		if (t.state == taskOffered || t.state == taskStarted) && !slices.Contains(hosts, t.host) {
			hosts = append(hosts, t.host)
		}
	}
	return hosts
}
