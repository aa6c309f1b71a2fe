// Package offer holds what the host that answers a caller and the hosts that
// own workers say to each other. Times are local to the host that holds the
// value; what travels are the durations that remain.
package offer

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Task is a task that its job's host asks an owner of workers to run.
type Task struct {
	// Host is the entry host that answers the job's caller.
	Host string
	Name fleet.TaskName
	// Stored is set if the run's end has to be recorded before it is taken note of.
	Stored bool
	Spec   string
	// Service names the pool of workers.
	Service string
	Size    fleet.Size
	// Estimate is the declared run time.
	Estimate time.Duration
	// RequiredLabel is a label that the worker must have, or empty.
	RequiredLabel string
	// Affinity names the rack that holds the data, or is empty.
	Affinity string
	// MaxPerWorker bounds the tasks of the step on one worker; zero: no bound.
	MaxPerWorker int
	// Priority orders queues; zero comes first.
	Priority int
	// StartBy is when the task has to start for the job to meet its objective.
	StartBy time.Time
	// UsefulUntil is when nobody waits for the job any more.
	Deadline time.Time
	// Avoid names the worker of the run before, which is taken last; it may be
	// empty.
	Avoid string
	// Begun is set if another task of the job has started.
	JobStarted bool
	// NextRun is the number of the next run.
	NextRun int
	// Failed counts the runs that failed.
	FailedRuns int
	// MaxAttempts bounds the failed runs.
	MaxAttempts int
}

// Result says what became of an offered task.
type Result int

// The results.
const (
	// Started means that a run is at a worker. It is no final result.
	Started Result = iota + 1
	// Done means that the task completed.
	Done
	// Failed means that the task has failed as often as its queue allows.
	Failed
	// Returned means that no run of the task is at any worker of the owner; it
	// may be offered again.
	Returned
	// Orphaned means that the owner lost the worker with a run on it. A later
	// owner may report it; otherwise it ends with its lease.
	Orphaned
)

// String returns the result for logs.
func (r Result) String() string {
	names := [...]string{"", "started", "done", "failed", "returned", "orphaned"}
	if r > 0 && int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// Outcome is an owner's word about a task.
type Outcome struct {
	// Host is the entry host that answers the job's caller.
	Host string
	Task fleet.TaskName
	// Run is the last run that was started, or zero.
	Run int
	// Failed counts the runs that failed.
	FailedRuns int
	Result     Result
	// Ran is set unless it is known that no run has begun since the offer.
	MayHaveRun bool
	Worker     string
	// Fence is the one that the owner holds the worker with.
	Fence int64
	// Why is a short reason for logs.
	Why string
	// OverIn is, with Orphaned, how long the run may still be there.
	MaxRemaining time.Duration
}

// Sighting is what a new owner found on a worker that it took over. Hosts
// claim the runs of their jobs; the others are stopped.
type Inventory struct {
	Worker string
	// Fence is the new owner's. What an owner with a lower one started is
	// listed or over; of a higher one the sighting says nothing.
	Fence   int64
	Running []fleet.RunID
	Ended   []fleet.RunEnd
}

// Claim says that a run found on a worker belongs to a job that still has its
// caller. Task.NextRun is one more than the claimed run.
type Claim struct {
	Worker string
	Task   Task
}

// WorkerRoom is the free room of one worker.
type WorkerCapacity struct {
	ID      string
	Service string
	Free    fleet.Size
}

// Report is what an owner says about its workers and its queue.
type CapacityReport struct {
	// Workers lists the workers that take tasks.
	Workers []WorkerCapacity
	// Capacity is the sum of the workers' capacity, in thousandths of a core.
	Capacity int
	// QueuedWork is the work waiting by priority: thousandths of a core times
	// milliseconds, over Capacity gives milliseconds.
	QueuedWork map[int]int64
	// FreeingRate is how much room the running tasks' ends free, in thousandths
	// of a core a second.
	FreeingRate int64
	// Leaving is set while the host prepares to stop.
	Leaving bool
}
