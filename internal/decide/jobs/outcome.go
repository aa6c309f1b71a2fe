package jobs

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// popStart returns a start without a known outcome, and removes it.
func (c *Core) popStart(id int64) (*start, bool) {
	s, ok := c.starts[id]
	delete(c.starts, id)
	return s, ok
}

// awaitsVerdict reports whether the worker's verdict on a task is still
// outstanding.
func (s *start) awaitsVerdict(r taskRef) bool {
	return r.get().worker == s.worker.name && r.get().state == taskSent
}

// StartReplied applies a worker's verdicts on a start. The start also renewed
// the lease, counted from the time sent.
func (c *Core) StartReplied(now, sent time.Time, id int64, reply workerapi.StartReply) {
	s, ok := c.popStart(id)
	if !ok {
		return
	}
	w := s.worker
	leaseRefused := false
	for n, r := range s.refs {
		if !s.awaitsVerdict(r) {
			continue
		}
		c.applyVerdict(now, w, r, reply.Verdicts[n])
		leaseRefused = leaseRefused || reply.Verdicts[n] == workerapi.RefusedLeaseExpired
	}
	if leaseRefused {
		w.leaseEnd = time.Time{}
	} else if renewed := sent.Add(c.cfg.LeaseTTL); renewed.After(w.leaseEnd) && !w.leaseEnd.IsZero() {
		w.leaseEnd = renewed
	}
	c.reportUsage(now, w, reply.Used)
}

func (c *Core) applyVerdict(now time.Time, w *worker, r taskRef, v workerapi.Verdict) {
	t := r.get()
	switch v {
	case workerapi.Started:
		w.markRunning(r)
		if r.job.closed || r.job.stopCause != nil {
			c.queueStops(now, w, workerapi.TaskRef{Submission: r.job.keyText, Task: t.spec.Name})
		}
		return
	case workerapi.RefusedAlreadyStarted:
		if !slices.Contains(t.blockedOn, w.name) {
			c.releaseCapacity(r)
			t.state, t.started = taskEnded, true
			c.fail(now, r.job, errkind.New(errkind.TaskUnknown, "worker %s had already received task %s from elsewhere", w.name, t.spec.Name))
			return
		}
	case workerapi.RefusedNoCapacity:
		c.fleet.MarkFull(now, w.name, t.size)
	case workerapi.RefusedLeaving:
		w.live = false
		c.fleet.SetUsable(w.name, false)
	}
	c.logDecision(decision.PartPlace, "refused", string(v), r.job.key, []string{t.spec.Name, w.name}, "the worker refused the task; it was not started")
	c.requeueTask(r)
	c.finishStop(now, r.job)
}

// StartNotSent handles a start that the worker certainly did not receive. The
// flag down is set if the worker could not be reached.
func (c *Core) StartNotSent(now time.Time, id int64, down bool) {
	s, ok := c.popStart(id)
	if !ok {
		return
	}
	for _, r := range s.refs {
		if s.awaitsVerdict(r) {
			c.requeueTask(r)
			c.finishStop(now, r.job)
		}
	}
	if down {
		c.avoidWorker(now, s.worker, "start-unsent", "the worker could not be reached")
	} else {
		s.worker.leaseEnd = time.Time{}
	}
}

// StartReplyLost handles a start that the worker may have received. It is not
// sent again; the worker is asked instead.
func (c *Core) StartReplyLost(now time.Time, id int64) {
	s, ok := c.popStart(id)
	if !ok {
		return
	}
	w := s.worker
	for _, r := range s.refs {
		if !s.awaitsVerdict(r) {
			continue
		}
		r.get().state = taskUnconfirmed
		w.unconfirmed = append(w.unconfirmed, r)
		c.logDecision(decision.PartPlace, "ask", "reply-lost", r.job.key, []string{r.get().spec.Name, w.name},
			"the reply to the start was lost; the worker is asked and the start is not sent again")
	}
	c.avoidWorker(now, w, "start-lost", "the reply to a start was lost")
	c.queryUnconfirmed(now, w)
}

func (c *Core) queryUnconfirmed(now time.Time, w *worker) {
	var refs []workerapi.TaskRef
	for _, r := range w.unconfirmed {
		if r.get().state == taskUnconfirmed && r.get().worker == w.name {
			refs = append(refs, workerapi.TaskRef{Submission: r.job.keyText, Task: r.get().spec.Name})
		}
	}
	w.unconfirmed = nil
	if len(refs) > 0 {
		w.retryAt = now.Add(c.cfg.RetryInterval)
		c.emit(QueryTasks{Worker: w.name, Address: w.address, Call: c.stopCall(w, refs)})
	}
}

func (c *Core) stopCall(w *worker, refs []workerapi.TaskRef) workerapi.StopCall {
	return workerapi.StopCall{Holder: string(c.cfg.Self), Instance: w.instance, Tasks: refs}
}

func (c *Core) queueStops(now time.Time, w *worker, refs ...workerapi.TaskRef) {
	if w == nil || len(refs) == 0 {
		return
	}
	w.retryAt = now.Add(c.cfg.RetryInterval)
	w.stopNow = append(w.stopNow, refs...)
	c.markDirty(w)
}

// findTask returns the owned task that a worker refers to, if it is still
// assigned to that worker.
func (c *Core) findTask(w *worker, submission, name string) (taskRef, bool) {
	j, ok := c.byKeyText[submission]
	if !ok {
		return taskRef{}, false
	}
	i, ok := j.index[name]
	if !ok || j.tasks[i].worker != w.name {
		return taskRef{}, false
	}
	return taskRef{j, i}, true
}

// TasksQueried applies a worker's report on tasks whose start is unconfirmed.
// The start of a task that the worker never saw may still arrive, so the worker
// blocks the task before it is placed elsewhere.
func (c *Core) TasksQueried(now time.Time, name string, call workerapi.StopCall, states []workerapi.TaskState) {
	w, ok := c.workers[name]
	if !ok || call.Instance != w.instance {
		return
	}
	var toStop []workerapi.TaskRef
	for n, tr := range call.Tasks {
		r, ok := c.findTask(w, tr.Submission, tr.Task)
		if !ok || r.get().state != taskUnconfirmed {
			continue
		}
		switch states[n] {
		case workerapi.TaskNeverSeen:
			toStop = append(toStop, tr)
		case workerapi.TaskUnknown:
			c.failUnknown(now, w, r)
		default:
			w.markRunning(r)
			if r.job.closed || r.job.stopCause != nil {
				toStop = append(toStop, tr)
			}
		}
	}
	c.queueStops(now, w, toStop...)
}

func (c *Core) failUnknown(now time.Time, w *worker, r taskRef) {
	c.releaseCapacity(r)
	r.get().state, r.get().outcomeUnknown = taskEnded, true
	c.fail(now, r.job, errkind.New(errkind.TaskUnknown, "worker %s no longer knows task %s", w.name, r.get().spec.Name))
	c.finishStop(now, r.job)
}

// TaskQueryFailed handles a query of task states that got no reply.
func (c *Core) TaskQueryFailed(now time.Time, name string, call workerapi.StopCall) {
	w, ok := c.workers[name]
	if !ok || call.Instance != w.instance {
		return
	}
	w.retryAt = now.Add(c.cfg.RetryInterval)
	for _, tr := range call.Tasks {
		if r, ok := c.findTask(w, tr.Submission, tr.Task); ok && r.get().state == taskUnconfirmed {
			w.unconfirmed = append(w.unconfirmed, r)
		}
	}
}

// TasksStopped applies a worker's report on tasks that it was asked to stop.
func (c *Core) TasksStopped(now time.Time, name string, call workerapi.StopCall, states []workerapi.TaskState) {
	w, ok := c.workers[name]
	if !ok || call.Instance != w.instance {
		return
	}
	for n, tr := range call.Tasks {
		r, ok := c.findTask(w, tr.Submission, tr.Task)
		if ok && r.get().mayBeOnWorker() {
			c.applyStopState(now, w, r, states[n])
		}
	}
}

func (c *Core) applyStopState(now time.Time, w *worker, r taskRef, state workerapi.TaskState) {
	t := r.get()
	switch {
	case state == workerapi.TaskUnknown:
		c.failUnknown(now, w, r)
		return
	case state == workerapi.TaskNeverSeen && t.state == taskUnconfirmed:
		t.blockedOn = append(t.blockedOn, w.name)
		c.logDecision(decision.PartPlace, "bar", "never-seen", r.job.key, []string{t.spec.Name, w.name},
			"the worker never saw the task and will refuse it; it was not started")
		c.requeueTask(r)
	case state == workerapi.TaskStopped:
		t.started = true
		c.releaseCapacity(r)
		t.state = taskEnded
		if r.job.stopCause == nil {
			c.fail(now, r.job, errkind.New(errkind.TaskUnknown, "task %s was stopped on %s after the reply to its start was lost", t.spec.Name, w.name))
		}
	case state == workerapi.TaskDone || state == workerapi.TaskFailed:
		// The result is yet to be read, or has been read.
		w.markRunning(r)
		if r.job.closed {
			c.releaseCapacity(r)
			t.state = taskEnded
		}
		return
	}
	c.finishStop(now, r.job)
}

// TaskStopFailed handles stops that the worker did not confirm.
func (c *Core) TaskStopFailed(now time.Time, name string, call workerapi.StopCall) {
	w, ok := c.workers[name]
	if !ok || call.Instance != w.instance {
		return
	}
	w.retryAt = now.Add(c.cfg.RetryInterval)
	w.stopRetries = append(w.stopRetries, call.Tasks...)
}

// TasksEnded applies a page of ended tasks. Reading the page does not renew the
// lease.
func (c *Core) TasksEnded(now time.Time, name string, page workerapi.Results) {
	w, ok := c.workers[name]
	if !ok {
		return
	}
	if !c.checkInstance(now, w, page.Instance) {
		return
	}
	for _, res := range page.Results {
		if r, ok := c.findTask(w, res.Submission, res.Task); ok && r.get().mayBeOnWorker() {
			c.applyResult(now, w, r, res)
		}
	}
	c.reportUsage(now, w, page.Used)
}

func (c *Core) applyResult(now time.Time, w *worker, r taskRef, res workerapi.Result) {
	j, t := r.job, r.get()
	c.releaseCapacity(r)
	t.state, t.started = taskEnded, true
	switch res.State {
	case workerapi.TaskDone:
		peak := placement.Size{Cores: res.Peak.Cores, MemoryMB: res.Peak.MemoryMB, Accelerators: res.Peak.Accelerators}
		t.stats.Observe(peak, time.Duration(res.RunMs)*time.Millisecond)
		c.fleet.RecordSuccess(w.name, t.stats)
		if !j.closed {
			c.recordResult(now, j, r.task, w.name, res.Output)
		}
	case workerapi.TaskFailed:
		c.countFailure(now, w, t)
		if j.stopCause == nil {
			c.fail(now, j, errkind.New(errkind.TaskFailed, "task %s failed on %s: %s", t.spec.Name, w.name, res.Error))
		}
	default:
		if j.stopCause == nil {
			c.fail(now, j, errkind.New(errkind.TaskFailed, "task %s was stopped on %s: %s", t.spec.Name, w.name, res.Error))
		}
	}
	c.finishStop(now, j)
}

func (c *Core) countFailure(now time.Time, w *worker, t *task) {
	if duration, quarantined := c.fleet.RecordFailure(now, w.name, t.stats); quarantined {
		c.logDecision(decision.PartWorker, "quarantine", "fails-everything", Key{}, []string{w.name},
			"the worker failed tasks in a row that succeed elsewhere; no new task for %v", duration)
	}
}
