package coordinator

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Interruption is how a run of a stored job's task ended without being done, as its
// driver learned it. It is a label of a metric.
type Interruption string

// The interruptions.
const (
	// RunReturned means that the owner of the worker reported the end of the run.
	RunReturned Interruption = "returned"
	// RunOrphaned means that the owner lost contact with the worker, or gave it up.
	RunOrphaned Interruption = "orphaned"
	// OwnerLost means that the driver lost contact with the owner.
	OwnerLost Interruption = "owner_lost"
	// RunNotListed means that the worker's next owner did not find the run.
	RunNotListed Interruption = "not_listed"
)

// TaskResumed reports, for the process log and the metrics, that a task of a stored job
// started again, how long it had nothing running, and how its last run had ended.
type TaskResumed struct {
	Task         fleet.TaskName
	Idle         time.Duration
	Interruption Interruption
}

func (TaskResumed) action() {}

// interrupted records that the run of a task ended without being done. The first
// record counts until the task starts again.
func (c *Coordinator) interrupted(now time.Time, j *job, t *task, how Interruption) {
	if j.stored && t.atWorker() && t.interruptedAt.IsZero() {
		t.interruptedAt, t.interruption = now, how
	}
}

// resumed reports that a task has started again.
func (c *Coordinator) resumed(now time.Time, t *task) {
	if !t.interruptedAt.IsZero() {
		c.emit(TaskResumed{Task: t.name, Idle: now.Sub(t.interruptedAt), Interruption: t.interruption})
		t.interruptedAt = time.Time{}
	}
}
