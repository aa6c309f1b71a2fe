package jobs

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// takeStart returns a start whose outcome is not yet known, once.
func (c *Core) takeStart(id int64) (*start, bool) {
	s, ok := c.starts[id]
	delete(c.starts, id)
	return s, ok
}

// inDoubt reports whether the start's verdict on a task is still awaited.
func (s *start) inDoubt(r ref) bool {
	return r.t().worker == s.worker.name && r.t().state == taskSent
}

// StartReplied takes a worker's verdicts. The lease was renewed as of sent.
func (c *Core) StartReplied(now, sent time.Time, id int64, reply workerapi.StartReply) {
	s, ok := c.takeStart(id)
	if !ok {
		return
	}
	w := s.worker
	lapsed := false
	for n, r := range s.refs {
		if !s.inDoubt(r) {
			continue
		}
		c.verdict(now, w, r, reply.Verdicts[n])
		lapsed = lapsed || reply.Verdicts[n] == workerapi.RefusedLease
	}
	if lapsed {
		w.expires = time.Time{}
	} else if renewed := sent.Add(c.cfg.LeaseTTL); renewed.After(w.expires) && !w.expires.IsZero() {
		w.expires = renewed
	}
	c.report(now, w, reply.Used)
}

func (c *Core) verdict(now time.Time, w *worker, r ref, v workerapi.Verdict) {
	t := r.t()
	switch v {
	case workerapi.Started:
		w.run(r)
		if r.job.closed || r.job.ending != nil {
			c.stopAt(now, w, workerapi.TaskRef{Submission: r.job.text, Task: t.spec.Name})
		}
		return
	case workerapi.RefusedTwice:
		if !slices.Contains(t.barred, w.name) {
			c.release(r)
			t.state, t.started = taskEnded, true
			c.fail(now, r.job, errkind.New(errkind.TaskUnknown, "worker %s was given task %s by somebody else", w.name, t.spec.Name))
			return
		}
	case workerapi.RefusedRoom:
		c.fleet.MarkFull(now, w.name, t.size)
	case workerapi.RefusedLeave:
		w.live = false
		c.fleet.SetUsable(w.name, false)
	}
	c.note(decision.PartPlace, "refused", string(v), r.job.key, []string{t.spec.Name, w.name}, "the worker refused the task, it was not started")
	c.putBack(r)
	c.finishEnding(now, r.job)
}

// StartUnsent is told when a start was surely not received.
func (c *Core) StartNotSent(now time.Time, id int64, down bool) {
	s, ok := c.takeStart(id)
	if !ok {
		return
	}
	for _, r := range s.refs {
		if s.inDoubt(r) {
			c.putBack(r)
			c.finishEnding(now, r.job)
		}
	}
	if down {
		c.setDown(now, s.worker, "start-unsent", "the worker took no connection")
	} else {
		s.worker.expires = time.Time{}
	}
}

// StartLost is told when a start may have been received. It is not sent again:
// the worker is asked.
func (c *Core) StartReplyLost(now time.Time, id int64) {
	s, ok := c.takeStart(id)
	if !ok {
		return
	}
	w := s.worker
	for _, r := range s.refs {
		if !s.inDoubt(r) {
			continue
		}
		r.t().state = taskUnsure
		w.doubts = append(w.doubts, r)
		c.note(decision.PartPlace, "ask", "reply-lost", r.job.key, []string{r.t().spec.Name, w.name},
			"the reply to the start was lost; the worker is asked, the start is not sent again")
	}
	c.setDown(now, w, "start-lost", "the reply to a start was lost")
	c.askDoubts(now, w)
}

func (c *Core) askDoubts(now time.Time, w *worker) {
	var refs []workerapi.TaskRef
	for _, r := range w.doubts {
		if r.t().state == taskUnsure && r.t().worker == w.name {
			refs = append(refs, workerapi.TaskRef{Submission: r.job.text, Task: r.t().spec.Name})
		}
	}
	w.doubts = nil
	if len(refs) > 0 {
		w.retryAt = now.Add(c.cfg.RetryInterval)
		c.emit(QueryTasks{Worker: w.name, Address: w.address, Call: c.stopCall(w, refs)})
	}
}

func (c *Core) stopCall(w *worker, refs []workerapi.TaskRef) workerapi.StopCall {
	return workerapi.StopCall{Holder: string(c.cfg.Self), Instance: w.instance, Tasks: refs}
}

func (c *Core) stopAt(now time.Time, w *worker, refs ...workerapi.TaskRef) {
	if w == nil || len(refs) == 0 {
		return
	}
	w.retryAt = now.Add(c.cfg.RetryInterval)
	w.stopNow = append(w.stopNow, refs...)
	c.touch(w)
}

// find returns the owned task that a worker names, if it is still there.
func (c *Core) find(w *worker, submission, name string) (ref, bool) {
	j, ok := c.byText[submission]
	if !ok {
		return ref{}, false
	}
	i, ok := j.index[name]
	if !ok || j.tasks[i].worker != w.name {
		return ref{}, false
	}
	return ref{j, i}, true
}

// Asked takes a worker's word on tasks whose start was in doubt. One that was
// never seen may still arrive, so it is barred before it is placed elsewhere.
func (c *Core) TasksQueried(now time.Time, name string, call workerapi.StopCall, states []workerapi.TaskState) {
	w, ok := c.workers[name]
	if !ok || call.Instance != w.instance {
		return
	}
	var bar []workerapi.TaskRef
	for n, tr := range call.Tasks {
		r, ok := c.find(w, tr.Submission, tr.Task)
		if !ok || r.t().state != taskUnsure {
			continue
		}
		switch states[n] {
		case workerapi.TaskNeverSeen:
			bar = append(bar, tr)
		case workerapi.TaskUnknown:
			c.lost(now, w, r)
		default:
			w.run(r)
			if r.job.closed || r.job.ending != nil {
				bar = append(bar, tr)
			}
		}
	}
	c.stopAt(now, w, bar...)
}

func (c *Core) lost(now time.Time, w *worker, r ref) {
	c.release(r)
	r.t().state, r.t().lost = taskEnded, true
	c.fail(now, r.job, errkind.New(errkind.TaskUnknown, "worker %s no longer knows of task %s", w.name, r.t().spec.Name))
	c.finishEnding(now, r.job)
}

// AskFailed is told when a worker did not say where tasks stand.
func (c *Core) TaskQueryFailed(now time.Time, name string, call workerapi.StopCall) {
	w, ok := c.workers[name]
	if !ok || call.Instance != w.instance {
		return
	}
	w.retryAt = now.Add(c.cfg.RetryInterval)
	for _, tr := range call.Tasks {
		if r, ok := c.find(w, tr.Submission, tr.Task); ok && r.t().state == taskUnsure {
			w.doubts = append(w.doubts, r)
		}
	}
}

// Stopped takes a worker's word on tasks that it was told to stop.
func (c *Core) TasksStopped(now time.Time, name string, call workerapi.StopCall, states []workerapi.TaskState) {
	w, ok := c.workers[name]
	if !ok || call.Instance != w.instance {
		return
	}
	for n, tr := range call.Tasks {
		r, ok := c.find(w, tr.Submission, tr.Task)
		if ok && r.t().atWorker() {
			c.stopped(now, w, r, states[n])
		}
	}
}

func (c *Core) stopped(now time.Time, w *worker, r ref, state workerapi.TaskState) {
	t := r.t()
	switch {
	case state == workerapi.TaskUnknown:
		c.lost(now, w, r)
		return
	case state == workerapi.TaskNeverSeen && t.state == taskUnsure:
		t.barred = append(t.barred, w.name)
		c.note(decision.PartPlace, "bar", "never-seen", r.job.key, []string{t.spec.Name, w.name},
			"the worker never saw the task and will refuse it; it was not started")
		c.putBack(r)
	case state == workerapi.TaskStopped:
		t.started = true
		c.release(r)
		t.state = taskEnded
		if r.job.ending == nil {
			c.fail(now, r.job, errkind.New(errkind.TaskUnknown, "task %s was stopped on %s after the reply to its start was lost", t.spec.Name, w.name))
		}
	case state == workerapi.TaskDone || state == workerapi.TaskFailed:
		// The result follows, or has been read.
		w.run(r)
		if r.job.closed {
			c.release(r)
			t.state = taskEnded
		}
		return
	}
	c.finishEnding(now, r.job)
}

// StopFailed is told when a worker did not confirm stops.
func (c *Core) TaskStopFailed(now time.Time, name string, call workerapi.StopCall) {
	w, ok := c.workers[name]
	if !ok || call.Instance != w.instance {
		return
	}
	w.retryAt = now.Add(c.cfg.RetryInterval)
	w.stops = append(w.stops, call.Tasks...)
}

// Ended takes a page of ended tasks. The lease was not renewed.
func (c *Core) TasksEnded(now time.Time, name string, page workerapi.Results) {
	w, ok := c.workers[name]
	if !ok {
		return
	}
	if !c.seeInstance(now, w, page.Instance) {
		return
	}
	for _, res := range page.Results {
		if r, ok := c.find(w, res.Submission, res.Task); ok && r.t().atWorker() {
			c.ended(now, w, r, res)
		}
	}
	c.report(now, w, page.Used)
}

func (c *Core) ended(now time.Time, w *worker, r ref, res workerapi.Result) {
	j, t := r.job, r.t()
	c.release(r)
	t.state, t.started = taskEnded, true
	switch res.State {
	case workerapi.TaskDone:
		peak := placement.Size{Cores: res.Peak.Cores, MemoryMB: res.Peak.MemoryMB, Accelerators: res.Peak.Accelerators}
		t.stats.Observe(peak, time.Duration(res.RunMs)*time.Millisecond)
		c.fleet.RecordSuccess(w.name, t.stats)
		if !j.closed {
			c.complete(now, j, r.task, w.name, res.Output)
		}
	case workerapi.TaskFailed:
		c.taskFailed(now, w, t)
		if j.ending == nil {
			c.fail(now, j, errkind.New(errkind.TaskFailed, "task %s failed on %s: %s", t.spec.Name, w.name, res.Error))
		}
	default:
		if j.ending == nil {
			c.fail(now, j, errkind.New(errkind.TaskFailed, "task %s was stopped on %s: %s", t.spec.Name, w.name, res.Error))
		}
	}
	c.finishEnding(now, j)
}

func (c *Core) taskFailed(now time.Time, w *worker, t *task) {
	if length, out := c.fleet.RecordFailure(now, w.name, t.stats); out {
		c.note(decision.PartWorker, "quarantine", "fails-everything", Key{}, []string{w.name},
			"the worker failed tasks in a row that succeed elsewhere; no new task for %v", length)
	}
}
