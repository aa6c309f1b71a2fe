package coordinator

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/decide/sharing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// replyTime is how long before its caller stops waiting a job is answered: a tick and the way
// back to the caller. It is at most a tenth of the caller's limit.
const replyTime = 30 * time.Millisecond

// Submit accepts or refuses a job and offers its first tasks. If callerTimeout
// is zero, the caller named no limit and the queue's timeout applies. Submit
// returns false if the coordinator already has a job with this ID.
func (c *Coordinator) Submit(now time.Time, spec fleet.Job, route fleet.Route, callerTimeout time.Duration) bool {
	if _, ok := c.jobs[spec.ID]; ok {
		return false
	}
	limit := timeLimit(route, callerTimeout)
	c.cfg.Speeds.ObserveStretch(route.Service, route.Stretch)
	c.seq++
	j := newJob(now, c.seq, spec, route, now.Add(limit))
	if callerTimeout > 0 {
		j.replyTime = min(replyTime, callerTimeout/10)
	}
	c.limitDeadline(j)
	c.jobs[spec.ID] = j
	c.observeArrival(now, j)
	if err := c.checkServable(j); err != nil {
		c.answer(now, j, err, 0)
		return true
	}
	c.recallLosses(now, j)
	if c.giveUpDeadly(now, j) {
		return true
	}
	if c.refuseEvacuated(now, j) {
		return true
	}
	if c.refuseSaturated(now, j) {
		return true
	}
	if !c.admit(now, j, limit) {
		c.refuseOverloaded(now, j)
		return true
	}
	if c.missesStop(now, j, j.expectedWait) {
		c.refuseStopping(now, j)
		return true
	}
	c.offerJob(now, j)
	return true
}

// noCapacity is the reason given for refusing a job that would wait too long.
const noCapacity = "no room in time"

// maxExpectedWait returns the longest expected wait with which a job is accepted.
func (c *Coordinator) maxExpectedWait(j *job, limit time.Duration) time.Duration {
	return min(time.Duration(admitObjectiveFactor*float64(j.objective)), limit) - j.criticalPath - crossZoneDelay
}

// checkServable returns the error for a job that is refused regardless of the
// free capacity, or nil.
func (c *Coordinator) checkServable(j *job) *errkind.Error {
	if c.workers.empty() {
		return errkind.New(errkind.NotReady, "no worker is known")
	}
	if j.spec.Unsupported != "" {
		return errkind.New(errkind.NotReady, "the job asks for %s, which is not served", j.spec.Unsupported)
	}
	return nil
}

const (
	// minRetryAfter is the shortest delay that the Retry-After header can express.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the delay while no capacity is known at all: hosts and
	// workers usually return within a few seconds.
	maxRetryAfter = 3 * time.Second
)

// refuse answers a job none of whose tasks has run.
func (c *Coordinator) refuse(now time.Time, j *job, reason Refusal, why string) {
	j.refusal = reason
	c.answer(now, j, errkind.New(errkind.Overloaded, "%s", why+c.evacuationNote()), j.retryAfter())
}

// refuseOverloaded refuses a job for want of capacity.
func (c *Coordinator) refuseOverloaded(now time.Time, j *job) {
	reason, why := j.overloadedWhy()
	c.refuse(now, j, reason, why)
}

// retryAfter returns the delay after which the caller of a refused job may
// retry: when capacity is expected to be free.
func (j *job) retryAfter() time.Duration {
	delay := min(max(j.expectedWait, minRetryAfter), maxRetryAfter)
	if j.sharing.Decided() {
		delay = sharing.SpreadRetryAfter(j.spec.ID, delay)
	}
	return delay
}

// answer removes a job, emits its answer and withdraws its remaining tasks.
func (c *Coordinator) answer(now time.Time, j *job, err *errkind.Error, retryAfter time.Duration) {
	delete(c.jobs, j.spec.ID)
	for _, t := range j.tasks {
		delete(c.suspects, t)
	}
	why := ""
	if err != nil {
		why = err.Detail
	}
	// After an error, every host that was ever offered a task is notified, even
	// if its run is believed to have ended.
	for _, name := range j.offeredHosts {
		c.flushOffers(name)
		if err != nil || slices.Contains(j.currentHosts(), name) {
			c.emit(Withdraw{Host: name, Job: j.spec.ID})
		}
	}
	c.emitAnswer(now, j, err, retryAfter, why)
}

// emitAnswer emits the answer of a job that was removed.
func (c *Coordinator) emitAnswer(now time.Time, j *job, err *errkind.Error, retryAfter time.Duration, why string) {
	c.emit(Answer{
		Job: j.spec.ID, Stored: j.stored, Err: err, RetryAfter: retryAfter,
		Failed: err != nil && err.Kind == errkind.TaskFailed,
		Summary: Summary{
			Route: j.route.Name, Tasks: j.taskCount(), Runs: j.runCount(), Elapsed: now.Sub(j.arrived),
			Objective: j.objective, ExpectedWait: j.expectedWait, Why: why, Refusal: j.refusal, Sharing: j.sharing,
		},
	})
}

// Cancel ends a job that was cancelled, or whose caller does not wait any more.
func (c *Coordinator) Cancel(now time.Time, id, why string) {
	if j, ok := c.jobs[id]; ok {
		c.answer(now, j, errkind.New(errkind.Cancelled, "%s", why), 0)
	}
}

// HandleOutcome applies an owner's report about a task.
func (c *Coordinator) HandleOutcome(now time.Time, from string, o offer.Outcome) {
	j, t := c.find(o.Task)
	if t == nil || t.state == taskDone {
		return
	}
	// A report from an owner that no longer has the task counts only if the
	// task is done.
	if (t.host != from || j.isFormer(o)) && o.Result != offer.Done {
		return
	}
	if o.MayHaveRun && o.Run < t.currentRun() && o.Result != offer.Done {
		c.formerRunEnded(now, j, t, o)
		return
	}
	failureRecorded := j.stored && t.failedRuns.Contains(o.Run)
	t.lastRun = max(t.lastRun, o.Run)
	t.mayHaveRun = t.mayHaveRun || o.MayHaveRun
	if o.Worker != "" {
		t.worker, t.fence = o.Worker, o.Fence
	}
	t.failedRuns = t.failedRuns.With(o.FailedRuns...)
	switch o.Result {
	case offer.Started:
		c.resumed(now, t)
		c.cfg.Flow.Started(now)
		t.state = taskStarted
		t.incarnation, _, _ = c.workers.Worker(o.Worker)
		c.markStarted(now, j, from)
		c.taskStarted(now, j)
	case offer.Done:
		if j.isFormer(o) {
			c.withdrawTask(t)
		}
		c.taskDone(now, j, t, o.Run)
	case offer.Failed:
		c.answerFailed(now, j, t, o.Worker)
	case offer.Returned:
		c.interrupted(now, j, t, RunReturned)
		t.state, t.host, t.lastEndedRun = taskIdle, "", t.lastRun
		if o.Worker == "" {
			t.skipHost(from, now)
		}
		if o.Loss != nil {
			c.addLoss(now, j, t, *o.Loss)
		}
		c.recallLate(now, j)
		c.review(now, j)
	case offer.Orphaned:
		c.interrupted(now, j, t, RunOrphaned)
		if failureRecorded {
			t.state, t.host, t.lastEndedRun = taskIdle, "", t.lastRun
		} else {
			t.state, t.host, t.orphanEndsAt = taskOrphaned, "", now.Add(min(o.MaxRemaining+orphanMargin, c.orphanTimeout()))
		}
		c.review(now, j)
	}
}

// formerRunEnded handles an owner's report about a run that is not the task's current
// one. The report may be late, because the end of a stored job's run is recorded first,
// and the owner may have been offered the task again since.
func (c *Coordinator) formerRunEnded(now time.Time, j *job, t *task, o offer.Outcome) {
	t.failedRuns = t.failedRuns.With(o.FailedRuns...)
	if o.Loss != nil {
		c.addLoss(now, j, t, *o.Loss)
	}
}

// returnedPause is how long a task is not offered again to a host that returned
// it.
const returnedPause = 100 * time.Millisecond

func (t *task) skipHost(host string, now time.Time) {
	if t.skipUntil == nil {
		t.skipUntil = map[string]time.Time{}
	}
	t.skipUntil[host] = now.Add(returnedPause)
}

func (c *Coordinator) find(name fleet.TaskName) (*job, *task) {
	j, ok := c.jobs[name.Job]
	if !ok {
		return nil, nil
	}
	t := j.lookup(name.Step, name.Index)
	if t == nil {
		return nil, nil
	}
	return j, t
}

// markStarted records that a task of a job has started. From then on the job's
// waiting tasks have precedence in the hosts' queues, and none is recalled.
func (c *Coordinator) markStarted(now time.Time, j *job, from string) {
	if j.started {
		return
	}
	j.started = true
	j.recalledAt = time.Time{}
	notified := map[string]bool{from: true}
	for _, t := range j.tasks {
		if t.state == taskOffered && !notified[t.host] {
			notified[t.host] = true
			c.emit(JobStarted{Host: t.host, Job: j.spec.ID})
		}
	}
	c.offerJob(now, j)
}

// taskDone marks a task as done by a run. If the run is an earlier one, whose end
// became known late, the host that has the task now must not run it.
func (c *Coordinator) taskDone(now time.Time, j *job, t *task, run int) {
	if run < t.currentRun() {
		c.withdrawTask(t)
	}
	// A task with losses under investigation is kept until their cause is known.
	j.markDone(t, c.suspects[t] != nil)
	j.started, j.recalledAt = true, time.Time{}
	step := t.name.Step
	j.remaining[step]--
	if j.allDone() {
		c.answer(now, j, nil, 0)
		return
	}
	if j.remaining[step] == 0 {
		c.offerJob(now, j)
	}
}

// withdrawTask tells the host that has a task, if any, that it is no longer needed.
func (c *Coordinator) withdrawTask(t *task) {
	if t.currentRun() == 0 {
		return
	}
	c.flushOffers(t.host)
	c.emit(WithdrawTask{Host: t.host, Task: t.name})
}

// HandleInventory processes the inventory that a new owner made of a worker. It
// claims the listed runs of unfinished tasks and processes the listed ends. Runs
// of the former owner that are not listed are over, unless the owner has more ends
// to read: its requests no longer reach the worker.
func (c *Coordinator) HandleInventory(now time.Time, from string, inv offer.Inventory) {
	listed := make(map[fleet.TaskName]bool, len(inv.Running))
	for _, r := range inv.Running {
		listed[r.Task] = true
		c.claimRun(from, inv, r)
	}
	for _, e := range inv.Ended {
		j, t := c.find(e.Task)
		if t == nil || j.handover == handoverListed || t.state == taskDone || t.lastRun > e.Run || t.atOtherWorker(inv.Worker) {
			continue
		}
		t.mayHaveRun = true
		if e.Reason == fleet.EndedDone && j.stored {
			// Until the end is in the log, the run counts as still at the worker. The
			// new owner records it only if it has read that the job is a stored one.
			c.emit(RecordEnd{RunID: e.RunID, Reason: e.Reason})
			if t.currentRun() > e.Run {
				// A later run may have started. The task stays with its host until the
				// log has the end, and the end must not be acknowledged under its lease.
				continue
			}
			listed[e.Task] = true
			before := t.claimedTask()
			t.lastRun, t.state, t.host, t.worker, t.fence = e.Run, taskStarted, from, inv.Worker, inv.Fence
			c.emit(Claim{Host: from, Claim: offer.Claim{Worker: inv.Worker, Task: c.offerTask(j, t)}, Before: before})
			continue
		}
		if e.Reason == fleet.EndedDone {
			if t.worker != inv.Worker {
				c.withdrawTask(t)
			}
			c.taskDone(now, j, t, e.Run)
			continue
		}
		if e.Reason == fleet.EndedFailed && t.worker == inv.Worker && !listed[e.Task] {
			t.failedRuns = t.failedRuns.With(e.Run)
		}
		if t.state != taskOffered {
			// The host that has an offered task reports its run, which must not count as an
			// earlier one then.
			t.lastRun = max(t.lastRun, e.Run)
		}
	}
	if inv.MoreEnds {
		c.awaitEnds(now, inv, listed)
		return
	}
	for _, j := range c.jobsByArrival() {
		lost := false
		for _, t := range j.tasks {
			if !t.atWorker() || t.worker != inv.Worker || t.fence >= inv.Fence || listed[t.name] {
				continue
			}
			lost = true
			c.interrupted(now, j, t, RunNotListed)
			if j.stored {
				// The run may have ended, been recorded in the log and been removed
				// from the worker's list.
				t.state, t.host, t.fence, t.orphanEndsAt = taskOrphaned, "", inv.Fence, now.Add(c.stopTime()-takeoverTime)
				continue
			}
			// The former owner may have stopped the run a moment ago.
			t.state, t.host, t.fence, t.orphanEndsAt = taskOrphaned, "", inv.Fence, now.Add(c.stopTime())
		}
		if lost {
			c.review(now, j)
		}
	}
}

// awaitEnds prolongs the wait for orphaned runs of stored jobs that may be among the ends of
// a worker that its new owner has not read yet.
func (c *Coordinator) awaitEnds(now time.Time, inv offer.Inventory, listed map[fleet.TaskName]bool) {
	for _, j := range c.jobs {
		if !j.stored {
			continue
		}
		for _, t := range j.tasks {
			if t.state == taskOrphaned && t.worker == inv.Worker && t.fence < inv.Fence && !listed[t.name] && t.orphanEndsAt.Before(now) {
				t.orphanEndsAt = now
			}
		}
	}
}

// claimRun claims a run found on a worker if its task is still needed. A run of a
// best-effort job is claimed only if it is known to be on that worker: it may otherwise be
// a run of a former submission of the job, whose runs have the same numbers.
func (c *Coordinator) claimRun(from string, inv offer.Inventory, r fleet.RunID) {
	worker := inv.Worker
	j, t := c.find(r.Task)
	if t == nil || j.handover == handoverListed || t.state == taskDone || t.state == taskIdle || t.lastRun > r.Run || t.lastEndedRun >= r.Run || t.atOtherWorker(worker) {
		return
	}
	if !j.stored && t.worker != worker {
		return
	}
	if t.fence > inv.Fence && t.atWorker() || t.fence == inv.Fence && t.state == taskStarted {
		return
	}
	before := t.claimedTask()
	t.lastRun, t.state, t.host, t.worker, t.fence, t.mayHaveRun = r.Run, taskStarted, from, worker, inv.Fence, true
	t.interruptedAt = time.Time{}
	j.addOfferedHost(from)
	c.emit(Claim{Host: from, Claim: offer.Claim{Worker: worker, Task: c.offerTask(j, t)}, Before: before})
}

// review releases orphaned tasks whose runs are over, and then abandons the job
// if it can no longer be done, or offers its idle tasks.
func (c *Coordinator) review(now time.Time, j *job) {
	if c.jobs[j.spec.ID] != j {
		return
	}
	for _, t := range j.tasks {
		if t.state == taskOrphaned && c.orphanOver(now, j, t) {
			c.addOrphanLoss(now, j, t)
			t.state = taskIdle
			t.lastRun++
			t.lastEndedRun, t.mayHaveRun = t.lastRun, true
		}
	}
	switch {
	case c.giveUpFailed(now, j):
		return
	case c.giveUpDeadly(now, j):
		return
	case c.refuseEvacuated(now, j):
		return
	case c.cannotFinish(now, j):
		c.abandon(now, j)
		return
	case !j.recalledAt.IsZero() && j.noneAtHosts():
		c.abandon(now, j)
		return
	}
	c.offerJob(now, j)
}

// giveUpFailed answers a job with a task that has failed as often as its queue allows
// and reports whether it did. It does not matter how the ends became known.
func (c *Coordinator) giveUpFailed(now time.Time, j *job) bool {
	for _, t := range j.tasks {
		if t.state != taskDone && t.state != taskStarted && j.route.MaxAttempts > 0 && len(t.failedRuns) >= j.route.MaxAttempts {
			c.answerFailed(now, j, t, t.worker)
			return true
		}
	}
	return false
}

func (c *Coordinator) answerFailed(now time.Time, j *job, t *task, worker string) {
	c.answer(now, j, errkind.New(errkind.TaskFailed, "task %s failed %d times, last on worker %s", t.name, len(t.failedRuns), worker), 0)
}

// cannotFinish reports whether a job can no longer be done before its deadline.
func (c *Coordinator) cannotFinish(now time.Time, j *job) bool {
	for _, t := range j.tasks {
		if !j.stored && t.state == taskIdle && t.verdict != quarantine.Unrestricted {
			// The fate of a worker takes longer to learn than callers wait, and one
			// more crash costs more jobs than a second run of a suspect saves.
			return true
		}
		step := j.spec.Steps[t.name.Step]
		if t.state == taskOrphaned && t.orphanEndsAt.Add(step.Estimate+crossZoneDelay).After(j.deadline) {
			// Only a claim of the orphaned run could still complete the job in time.
			// A claim arrives soon or not at all.
			return t.lastRun == 0 || now.Add(step.Estimate).After(j.callerDeadline)
		}
	}
	return false
}

// abandon answers a job that cannot be done. The answer says that the job has
// not run only if none of its tasks can have run.
func (c *Coordinator) abandon(now time.Time, j *job) {
	switch {
	case j.notRun() && c.missesStop(now, j, 0):
		c.refuseStopping(now, j)
		return
	case j.notRun():
		c.refuseOverloaded(now, j)
		return
	}
	c.answer(now, j, errkind.New(errkind.Timeout, "tasks were lost with their owner or worker"), 0)
}

// Tick offers idle tasks, recalls jobs that wait too long, and answers jobs that
// are past their deadline or can no longer be done.
func (c *Coordinator) Tick(now time.Time) {
	c.resolveLosses(now)
	for _, j := range c.jobsByArrival() {
		switch {
		case now.After(j.answerDeadline()):
			c.answer(now, j, errkind.New(errkind.Timeout, "not done after %v%s", now.Sub(j.arrived), j.stopNote()), 0)
		default:
			c.recall(now, j)
			c.review(now, j)
		}
	}
}

// recall asks hosts to return the waiting tasks of a job that has not started.
// After recallObjectiveShare of its objective a job is recalled if it is expected
// to be late, after recallTimeoutShare of the caller's timeout in any case, and during
// a planned stop as soon as it cannot end before the callers' port does.
func (c *Coordinator) recall(now time.Time, j *job) {
	waited := now.Sub(j.arrived)
	if j.stored {
		return
	}
	callerTimeout := j.callerDeadline.Sub(j.arrived)
	due := !j.recalledAt.IsZero() || waited > time.Duration(recallTimeoutShare*float64(callerTimeout)) || c.missesStop(now, j, 0)
	if !due && !j.waitRechecked && waited >= time.Duration(recallObjectiveShare*float64(j.objective))-crossZoneDelay {
		j.waitRechecked = true
		due = c.willBeLate(now, j)
	}
	if !due || j.started || now.Sub(j.recalledAt) < recallInterval {
		return
	}
	c.emitRecalls(now, j)
}

// emitRecalls asks hosts to return the waiting tasks of a job.
func (c *Coordinator) emitRecalls(now time.Time, j *job) {
	j.recalledAt = now
	for _, name := range j.currentHosts() {
		c.flushOffers(name)
		c.emit(Recall{Host: name, Job: j.spec.ID})
	}
}
