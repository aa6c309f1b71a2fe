package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// storedTimeout is the deadline given to a stored job where a job needs one. A
	// stored job has no limit: it is done whenever it can be. When the deadline
	// passes, the coordinator drops the job, which stays open in the log.
	storedTimeout = time.Hour
	// takeoverTime is how long the next owner of a worker may take to list the
	// runs that ended there: the time to live of a member, a join and a poll. It is
	// also longer than the lease of a run after its owner has found it
	// (workerpool.Config.FoundRunHold).
	takeoverTime = 1500 * time.Millisecond
)

// SubmitStored adds a stored job and offers its first tasks. No caller waits for
// its answer: the job is never refused or recalled, and ends when the log records
// all its tasks as done. A job that is already present is left as it is.
func (c *Coordinator) SubmitStored(now time.Time, stored ledger.Drive) {
	if _, ok := c.jobs[stored.Job.ID]; ok {
		return
	}
	c.seq++
	j := newJob(now, c.seq, stored.Job, stored.Route, now.Add(storedTimeout))
	j.stored, j.takeover = true, stored.Takeover
	j.formerRuns = stored.FirstRun - 1
	for _, name := range stored.Done {
		if t := j.lookup(name.Step, name.Index); t != nil && t.state != taskDone {
			j.markDone(t, false)
			j.remaining[name.Step]--
		}
	}
	for name, failed := range stored.FailedRuns {
		if t := j.lookup(name.Step, name.Index); t != nil {
			t.failedRuns = failed
		}
	}
	c.jobs[stored.Job.ID] = j
	c.adoptHanded(now, j, stored)
	for name, at := range stored.HeldAt {
		if _, t := c.find(name); t != nil && t.state == taskIdle && now.Before(at.Add(takeoverTime)) {
			t.state, t.mayHaveRun, t.orphanEndsAt = taskOrphaned, true, at
		}
	}
	for _, name := range slices.SortedFunc(maps.Keys(stored.Lost), fleet.TaskName.Compare) {
		t := j.lookup(name.Step, name.Index)
		if t == nil || t.state == taskDone {
			continue
		}
		for _, l := range stored.Lost[name] {
			t.losses.Add(now, l)
		}
		c.judge(j, t)
	}
	c.review(now, j)
}

// storedObjectiveFactor is the multiple of its objective that a stored job may
// be expected to take and still be accepted. A later result is of no use to the
// caller.
const storedObjectiveFactor = 3

// AdmitStored returns nil if a stored job can be accepted. Otherwise it returns
// the reason and the delay after which the caller may retry.
func (c *Coordinator) AdmitStored(now time.Time, spec fleet.Job, route fleet.Route) (*errkind.Error, time.Duration) {
	j := newJob(now, 0, spec, route, now.Add(storedTimeout))
	if err := c.checkServable(j); err != nil {
		return err, minRetryAfter
	}
	if why := c.evacuatedPlaces(j); why != "" {
		return errkind.New(errkind.Overloaded, "%s", why), maxRetryAfter
	}
	j.expectedWait = c.expectedWait(j)
	if j.expectedWait+j.criticalPath > storedObjectiveFactor*j.objective {
		return errkind.New(errkind.Overloaded, "%s", noCapacity+c.evacuationNote()), j.retryAfter()
	}
	return nil, 0
}

// ReleaseStored removes a stored job that another host drives now, or that has
// ended.
func (c *Coordinator) ReleaseStored(now time.Time, id, why string) {
	if j, ok := c.jobs[id]; ok && j.stored {
		c.answer(now, j, errkind.New(errkind.Cancelled, "%s", why), 0)
	}
}

// TaskRecorded marks a task as done that the log records as done by a run.
func (c *Coordinator) TaskRecorded(now time.Time, run fleet.RunID) {
	if j, t := c.find(run.Task); t != nil && t.state != taskDone {
		c.taskDone(now, j, t, run.Run)
	}
}

// FailureRecorded records that the log holds a failed run of a task.
func (c *Coordinator) FailureRecorded(now time.Time, run fleet.RunID) {
	if j, t := c.find(run.Task); t != nil && t.state != taskDone {
		t.failedRuns = t.failedRuns.With(run.Run)
		if t.atWorker() && t.lastRun == run.Run {
			// The owner that has the end may not be able to report it any more.
			t.state, t.host, t.lastEndedRun = taskIdle, "", run.Run
		}
		c.review(now, j)
	}
}

// RunHeld records that the log holds a record of an owner that has found a run on a worker and
// holds it for its driver. The owner renews the run's lease only with the record in the log, so
// that the record is read before an orphaned run counts as over.
func (c *Coordinator) RunHeld(now time.Time, held ledger.RunHeld) {
	_, t := c.find(held.Task)
	if t == nil || t.state != taskOrphaned || held.Run == t.lastRun && held.Fence < t.fence {
		return
	}
	if t.orphanEndsAt.Before(now) {
		t.orphanEndsAt = now
	}
}

// SetLogReadTime sets the time at which the last read of the log was requested.
// Every end that had been recorded by then is known.
func (c *Coordinator) SetLogReadTime(sent time.Time) { c.logReadAt = sent }

// orphanOver reports whether an orphaned run has ended without a result. The
// end of a stored job's run may still be found in the log, or in its worker's
// list, which the worker's next owner reads.
func (c *Coordinator) orphanOver(now time.Time, j *job, t *task) bool {
	if !j.stored {
		return !now.Before(t.orphanEndsAt)
	}
	resolvedAt := t.orphanEndsAt.Add(takeoverTime)
	return !now.Before(resolvedAt) && c.logReadAt.After(resolvedAt)
}
