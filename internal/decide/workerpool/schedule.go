package workerpool

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// schedule starts waiting tasks where there is room.
func (p *Pool) schedule(now time.Time) {
	if len(p.queue) == 0 {
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *waiting) int { return compareWaiting(now, a, b) })
	rest := make([]*waiting, 0, len(p.queue))
	for _, q := range p.queue {
		if w := p.pick(now, q); w != nil {
			p.start(now, w, q)
			p.TaskStarted(q.Host, q.Name.Job)
		} else {
			rest = append(rest, q)
		}
	}
	p.queue = rest
}

const (
	// priorityLead is how much later a task of the next lower priority counts
	// as urgent: about the length of the shortest tasks.
	priorityLead = 40 * time.Millisecond
	// begunLead is how much earlier a task counts as urgent whose job has
	// begun: work done for it is lost if it comes too late.
	begunLead = 60 * time.Millisecond
)

// compareWaiting orders the queue: what can still be in time or belongs to a
// job that has begun before what is late, the most urgent first in each.
func compareWaiting(now time.Time, a, b *waiting) int {
	if c := compareBool(a.JobStarted || !now.After(a.StartBy), b.JobStarted || !now.After(b.StartBy)); c != 0 {
		return c
	}
	return a.urgency().Compare(b.urgency())
}

// urgency is the time by which the task should start.
func (q *waiting) urgency() time.Time {
	at := q.StartBy.Add(time.Duration(q.Priority) * priorityLead)
	if q.JobStarted {
		at = at.Add(-begunLead)
	}
	return at
}

// compareBool orders true first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// pick returns the worker for a task, or nil. It takes the tightest fit, so
// that large tasks find room, and among equals the fastest.
func (p *Pool) pick(now time.Time, q *waiting) *worker {
	var best *worker
	for _, w := range p.order {
		if !w.takes(now, &q.Task) {
			continue
		}
		if best == nil || p.better(q, w, best) {
			best = w
		}
	}
	return best
}

// takes reports whether a task may start on the worker now.
func (w *worker) takes(now time.Time, t *offer.Task) bool {
	switch {
	case w.info.Service != t.Service || !w.usable(now) || !t.Size.Fits(w.free()):
		return false
	case w.health.trial && len(w.runs) > 0:
		return false
	case !w.info.HasLabel(t.RequiredLabel):
		return false
	case t.MaxPerWorker > 0 && w.tasksOf(t.Name) >= t.MaxPerWorker:
		return false
	}
	return true
}

func (p *Pool) better(q *waiting, a, b *worker) bool {
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
	left, right := a.free().Sub(q.Size).MilliCPU, b.free().Sub(q.Size).MilliCPU
	if left != right {
		return left < right
	}
	return a.health.pace < b.health.pace
}

// start orders a run.
func (p *Pool) start(now time.Time, w *worker, q *waiting) {
	task := q.Task
	r := &run{
		id: fleet.RunID{Task: task.Name, Run: task.NextRun}, size: task.Size, state: runStarting,
		task: &task, began: now, settledAt: p.looks,
	}
	task.NextRun++
	w.add(r)
	p.emit(Start{
		Worker: w.info, Run: r.id, Spec: task.Spec, Fence: w.fence, LeaseUntil: w.lease(now, p.cfg.MaxLease),
		Timeout: p.patience.Timeout(),
	})
}

// returnUseless returns tasks that nobody waits for any more, and those that no
// worker here could take even when idle.
func (p *Pool) returnUseless(now time.Time) {
	p.queue = slices.DeleteFunc(p.queue, func(q *waiting) bool {
		switch {
		case !now.Before(q.Deadline):
			p.giveBack(q.Task, "", q.NextRun-1, "nobody waits any more")
			return true
		case !p.couldTake(now, &q.Task):
			p.giveBack(q.Task, "", q.NextRun-1, "no worker here could take it")
			return true
		}
		return false
	})
}

// couldTake reports whether some worker could soon take the task when idle.
func (p *Pool) couldTake(now time.Time, t *offer.Task) bool {
	for _, w := range p.order {
		if w.info.Service == t.Service && w.soonUsable(now) && t.Size.Fits(w.info.Capacity) && w.info.HasLabel(t.RequiredLabel) {
			return true
		}
	}
	return false
}
