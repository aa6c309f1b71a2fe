// Package offer defines the messages between the host that answers a job's
// caller and the hosts that own workers. Times are on the clock of the host that
// holds the value; hosts send each other the remaining durations instead.
package offer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Task is a task that the job's host offers to an owner of workers.
type Task struct {
	// Host is the entry host that answers the job's caller.
	Host string
	Name fleet.TaskName
	// Submission tells the submissions of a best-effort job at one host apart; its runs
	// have the same numbers each time.
	Submission int64
	// Stored is set if the run's end must be recorded in the log of stored jobs
	// before it is acknowledged to the worker.
	Stored bool
	Spec   string
	// Service names the pool of workers.
	Service string
	// Route names the queue of the job. It is empty if the offering host does not
	// send it.
	Route string
	// JobTasks is the number of tasks of the step, or zero if it is not sent.
	JobTasks int
	Size     fleet.Size
	// Estimate is the declared run time.
	Estimate time.Duration
	// RequiredLabel is a label that the worker must have, or empty.
	RequiredLabel string
	// Affinity names the rack that holds the data, or is empty.
	Affinity string
	// MaxPerWorker bounds the step's concurrent tasks on one worker; zero means
	// no bound.
	MaxPerWorker int
	// Priority orders queues; zero is the most urgent.
	Priority int
	// StartBy is the latest start with which the job can meet its objective.
	StartBy time.Time
	// Deadline is the time after which nobody waits for the job.
	Deadline time.Time
	// Avoid names the worker of the previous run, which is chosen only if no
	// other worker can start the task; it may be empty.
	Avoid string
	// JobStarted is set if another task of the job has started.
	JobStarted bool
	// Exclusive requires a worker without other runs, for as long as the task
	// runs: the task may crash its worker.
	Exclusive bool
	// NextRun is the number of the next run.
	NextRun int
	// Takeover is the number of the takeover under which Host drives a stored job; zero for
	// other jobs, and in messages of an older version.
	Takeover int
	// FailedRuns are the runs that failed.
	FailedRuns RunSet
	// MaxAttempts is how many failed runs make the task fail.
	MaxAttempts int
}

// Result is the state that an owner reports for an offered task. Its values are
// sent between hosts.
type Result int

// The results.
const (
	// Started means that a worker has accepted a run. It is not a final result.
	Started Result = iota + 1
	// Done means that the task completed.
	Done
	// Failed means that the task has failed Task.MaxAttempts times.
	Failed
	// Returned means that no worker of the owner holds a run of the task; it may
	// be offered again.
	Returned
	// Orphaned means that the owner lost its worker while a run may be on it. A
	// later owner may report the run; otherwise the run ends with its lease.
	Orphaned
)

// String returns the result as it appears in logs.
func (r Result) String() string {
	names := [...]string{"", "started", "done", "failed", "returned", "orphaned"}
	if r > 0 && int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// Outcome is an owner's report about one task.
type Outcome struct {
	// Host is the entry host that answers the job's caller.
	Host string
	Task fleet.TaskName
	// Submission is that of the task; zero if the owner does not send it.
	Submission int64
	// Run is the number of the last run that was started, or zero.
	Run int
	// FailedRuns are the runs that failed.
	FailedRuns RunSet
	Result     Result
	// MayHaveRun is set unless it is known that no run has started since the
	// offer.
	MayHaveRun bool
	Worker     string
	// Fence is the fence under which the owner holds the worker.
	Fence int64
	// Why is a short reason for logs.
	Why string
	// Loss is set if the run was lost with its worker.
	Loss *quarantine.Loss
	// MaxRemaining is the longest time that an orphaned run may still be at the
	// worker; it is zero with other results.
	MaxRemaining time.Duration
}

// Inventory lists the runs that a new owner found on a worker that it took
// over. Hosts claim the runs of their jobs; unclaimed runs are stopped.
type Inventory struct {
	Worker string
	// Fence is that of the new owner. A run started under a lower fence is listed
	// or has ended; the inventory says nothing about runs under a higher fence.
	Fence   int64
	Running []fleet.RunID
	Ended   []fleet.RunEnd
	// MoreEnds is set if the worker has, or may have, ends that the new owner has not read
	// yet. Nothing follows then from what the inventory lacks.
	MoreEnds bool
}

// Claim reports that a run found on a worker, in progress or ended, is the current
// run of a task of a job that is still wanted. Task.NextRun is the number of the
// claimed run plus one.
type Claim struct {
	Worker string
	Task   Task
}

// Run returns the claimed run.
func (c Claim) Run() fleet.RunID { return fleet.RunID{Task: c.Task.Name, Run: c.Task.NextRun - 1} }

// WorkerCapacity is the free capacity of one worker.
type WorkerCapacity struct {
	ID      string
	Service string
	Free    fleet.Size
	// RelativeTime is the learned run time divided by the estimate, over
	// RelativeTimeRuns runs; zero if unknown or if speeds do not decide.
	RelativeTime     float64
	RelativeTimeRuns int
	// Ends holds the expected ends of the worker's runs, earliest first. It is empty
	// unless the worker is a fast one and speeds decide, or a task named one of its
	// racks recently.
	Ends []ExpectedEnd
}

// ExpectedEnd is the time until a run is expected to end, and the capacity that it
// then frees, in thousandths of a core.
type ExpectedEnd struct {
	In       time.Duration
	MilliCPU int
}

// InsertEnd inserts an expected end into a sorted list of at most limit entries.
func InsertEnd(ends []ExpectedEnd, e ExpectedEnd, limit int) []ExpectedEnd {
	i, _ := slices.BinarySearchFunc(ends, e, func(a, b ExpectedEnd) int {
		return cmp.Or(cmp.Compare(a.In, b.In), cmp.Compare(a.MilliCPU, b.MilliCPU))
	})
	ends = slices.Insert(ends, i, e)
	return ends[:min(len(ends), limit)]
}

// CapacityReport describes the workers and the queue of an owner.
type CapacityReport struct {
	// Workers lists the workers that accept tasks.
	Workers []WorkerCapacity
	// Capacity is the sum of the workers' capacity, in thousandths of a core.
	Capacity int
	// QueuedWork is the waiting work by priority, in thousandths of a core times
	// milliseconds. Divided by Capacity it gives milliseconds.
	QueuedWork map[int]int64
	// Routes holds the work of each route, by name. It is empty unless routes share
	// scarce capacity by priority.
	Routes []RouteLoad
	// FreeingRate is the capacity that the ends of running tasks free, in
	// thousandths of a core per second.
	FreeingRate int64
	// Exclusive is the number of exclusive tasks that wait or run at the host, or
	// whose worker has not returned after a crash.
	Exclusive int
	// Stopping is set once a planned stop of the host has begun, and Leaving once the host
	// hands its workers over: it takes no more offers.
	Stopping, Leaving bool
	// Saturated is set while the host starts fewer tasks than its workers have
	// capacity for, since its link or processor delays its orders.
	Saturated bool
}

// Equal reports whether two reports are the same on the wire, which carries times in
// milliseconds.
func (r CapacityReport) Equal(o CapacityReport) bool {
	return r.Capacity == o.Capacity && r.FreeingRate == o.FreeingRate && r.Exclusive == o.Exclusive &&
		r.Stopping == o.Stopping && r.Leaving == o.Leaving && r.Saturated == o.Saturated && maps.Equal(r.QueuedWork, o.QueuedWork) &&
		slices.Equal(r.Routes, o.Routes) && slices.EqualFunc(r.Workers, o.Workers, WorkerCapacity.equal)
}

func (w WorkerCapacity) equal(o WorkerCapacity) bool {
	return w.ID == o.ID && w.Service == o.Service && w.Free == o.Free && w.RelativeTime == o.RelativeTime &&
		w.RelativeTimeRuns == o.RelativeTimeRuns && slices.EqualFunc(w.Ends, o.Ends, func(a, b ExpectedEnd) bool {
		return a.In.Milliseconds() == b.In.Milliseconds() && a.MilliCPU == b.MilliCPU
	})
}

// RouteLoad is the work of one route at an owner.
type RouteLoad struct {
	Route string
	// WaitingWork is in thousandths of a core times milliseconds.
	WaitingWork int64
	// RunningCPU is in thousandths of a core.
	RunningCPU   int64
	WaitingTasks int
}
