package workerpool

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// rescheduleInterval is the longest time after which the queue is looked through
// although nothing can start.
const rescheduleInterval = 20 * time.Millisecond

// schedule starts the waiting tasks that fit into free capacity.
func (p *Pool) schedule(now time.Time) {
	if len(p.queue) == 0 {
		p.reserved, p.sharing.held = nil, nil
		return
	}
	unanswered := p.unansweredStarts()
	mostFree := p.mostFreeCPU(now)
	if p.isBlocked(now, unanswered, mostFree) {
		return
	}
	p.scheduledAt = now
	for _, q := range p.queue {
		q.speedsDecide = p.speedsDecideFor(&q.Task)
	}
	p.orderQueue(now)
	p.reserveWorker(now)
	for _, w := range p.order {
		w.awaited = false
	}
	rest := make([]*queuedTask, 0, len(p.queue))
	limited := false
	for _, q := range p.queue {
		if limited {
			rest = append(rest, q)
			continue
		}
		var w *worker
		if q.Size.MilliCPU <= mostFree || q.Exclusive {
			w = p.pickWorker(now, q)
		}
		limited = w != nil && !p.cfg.Flow.MayStart(unanswered)
		if w != nil && !limited && !p.waitsNear(now, q, w, rest) {
			p.startRun(now, w, q)
			unanswered++
			mostFree = p.mostFreeCPU(now)
			p.TaskStarted(q.Host, q.Name.Job)
		} else {
			q.waited = q.waited || w == nil && !q.waitsForFast
			rest = append(rest, q)
		}
	}
	p.queue = rest
}

// isBlocked reports whether no waiting task can start now: the limit on unanswered
// starts is reached, or no worker has capacity for the smallest of them. The queue
// of a host that is short of processor time may hold hundreds of tasks, and each
// answer would otherwise be followed by a look through all of them.
func (p *Pool) isBlocked(now time.Time, unanswered, mostFree int) bool {
	if p.cfg.Sharing || now.Sub(p.scheduledAt) >= rescheduleInterval {
		return false
	}
	if limit := p.cfg.Flow.Limit(); limit > 0 && unanswered >= limit {
		return true
	}
	for _, q := range p.queue {
		if q.Size.MilliCPU <= mostFree || q.Exclusive {
			return false
		}
	}
	return true
}

const (
	// priorityPenalty is how much later, per priority level, a task counts as
	// urgent: about the length of the shortest tasks.
	priorityPenalty = 40 * time.Millisecond
	// startedJobBonus is how much earlier a task counts as urgent if its job has
	// started, since the work done for the job is lost if the task is late.
	startedJobBonus = 60 * time.Millisecond
)

// compareQueued orders the queue. Late tasks come last, and more urgent tasks first
// within each group.
func compareQueued(now time.Time, a, b *queuedTask) int {
	if c := trueFirst(!a.isLate(now), !b.isLate(now)); c != 0 {
		return c
	}
	return a.urgency().Compare(b.urgency())
}

// isLate reports whether a task yields to those that can still be in time. Tasks of
// a started job do so only where speeds decide: there, jobs with a task on a slow
// worker are late more often, and under overload the rest of such jobs would take
// the capacity that others need to be in time.
func (q *queuedTask) isLate(now time.Time) bool {
	return now.After(q.StartBy) && (!q.JobStarted || q.speedsDecide && !q.isStarving(now))
}

// isStarving reports whether half of the time is over in which a late answer still
// reaches the caller. Without it, under long overload the rest of a started job waits
// until its caller leaves, and what has run of the job is lost. Tasks of stored jobs
// always count as starving: their deadline is an hour away, and nobody submits them
// again.
func (q *queuedTask) isStarving(now time.Time) bool {
	lastUseful := q.Deadline.Add(-q.Estimate)
	return q.Stored || now.After(q.StartBy.Add(lastUseful.Sub(q.StartBy)/2))
}

// urgency returns the time by which the task should start, adjusted by its
// priority and by whether its job has started.
func (q *queuedTask) urgency() time.Time {
	at := q.StartBy.Add(time.Duration(q.Priority) * priorityPenalty)
	if q.JobStarted {
		at = at.Add(-startedJobBonus)
	}
	return at
}

// trueFirst compares booleans so that true sorts first.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// pickWorker returns the worker for a task, or nil. It prefers the tightest fit,
// which leaves capacity for large tasks, and the fastest worker among equals.
func (p *Pool) pickWorker(now time.Time, q *queuedTask) *worker {
	var best *worker
	q.need, q.speedsDecide = p.needOf(now, &q.Task)
	p.considered += len(p.order)
	for _, w := range p.order {
		if !w.canStart(now, &q.Task) || !p.mayLease(now, w, &q.Task) || q.Exclusive != (w == p.reserved) || p.isHeldFromTask(w, q) {
			continue
		}
		if best == nil || p.prefers(now, q, w, best) {
			best = w
		}
	}
	if p.waitsForFast(now, q, best) {
		return nil
	}
	return best
}

// canStart reports whether a task may start on the worker now.
func (w *worker) canStart(now time.Time, t *offer.Task) bool {
	switch {
	case w.info.Service != t.Service || !t.Size.Fits(w.free()) || !w.usable(now):
		return false
	case (w.health.trial || t.Exclusive) && len(w.runs) > 0 || w.hasExclusiveRun():
		return false
	case !w.info.HasLabel(t.RequiredLabel):
		return false
	case w.runs[fleet.RunID{Task: t.Name, Run: t.NextRun}] != nil:
		// A run of a former submission of the job is still there.
		return false
	case t.MaxPerWorker > 0 && w.countTasks(t.Name) >= t.MaxPerWorker:
		return false
	}
	return true
}

func (p *Pool) isBetter(q *queuedTask, a, b *worker) bool {
	if a.info.ID == q.Avoid || b.info.ID == q.Avoid {
		return b.info.ID == q.Avoid
	}
	if q.Affinity != "" {
		near, other := slices.Contains(a.info.Labels, q.Affinity), slices.Contains(b.info.Labels, q.Affinity)
		if near != other {
			return near
		}
	}
	if a.health.trial != b.health.trial {
		return b.health.trial
	}
	if c := p.compareSpeeds(q, a, b); c != 0 {
		return c < 0
	}
	left, right := a.free().Sub(q.Size).MilliCPU, b.free().Sub(q.Size).MilliCPU
	if left != right {
		return left < right
	}
	return a.health.pace < b.health.pace
}

// startRun orders a run of a task on the worker.
func (p *Pool) startRun(now time.Time, w *worker, q *queuedTask) {
	task := q.Task
	p.scaleAway(w, &task)
	r := &run{
		id: fleet.RunID{Task: task.Name, Run: task.NextRun}, size: task.Size, state: runStarting,
		task: &task, host: task.Host, submission: task.Submission, orderedAt: now, answeredAtPoll: p.lastPoll,
	}
	task.NextRun++
	r.exclusive, r.stored = task.Exclusive, task.Stored
	if w == p.reserved {
		p.reserved = nil
	}
	lease := p.startLeaseLength(now, w, r)
	w.addRun(r)
	p.taskStartedHere(now, q)
	p.emit(Start{
		Worker: w.info, Run: r.id, Spec: task.Spec, Fence: w.fence, LeaseUntil: w.grantLease(now, lease),
		Timeout: p.startTimeout(), GiveUp: p.giveUpAfter(), Placement: p.placementOf(q, w), Host: task.Host, Submission: task.Submission,
	})
}

// returnUnstartable returns the tasks whose deadline has passed, and those that
// no worker of this host could start even when idle.
func (p *Pool) returnUnstartable(now time.Time) {
	p.queue = slices.DeleteFunc(p.queue, func(q *queuedTask) bool {
		switch {
		case !now.Before(q.Deadline):
			p.returnTask(q.Task, "", q.NextRun-1, "deadline passed")
			return true
		case !p.couldStartSoon(now, &q.Task):
			p.returnTask(q.Task, "", q.NextRun-1, p.whyUnstartable(&q.Task))
			return true
		}
		return false
	})
}

// couldStartSoon reports whether a worker could soon start the task if it were
// idle.
func (p *Pool) couldStartSoon(now time.Time, t *offer.Task) bool {
	for _, w := range p.order {
		if w.info.Service == t.Service && w.soonUsable(now) && t.Size.Fits(w.info.Capacity) && w.info.HasLabel(t.RequiredLabel) {
			return true
		}
	}
	return false
}
