package workerpool

import "time"

// idleShare is the inverse of the share of its workers that must be idle for a host
// to risk more than one of them on tasks that may crash them.
const idleShare = 3

// hasExclusiveRun reports whether a run on the worker must remain alone there.
func (w *worker) hasExclusiveRun() bool {
	for _, r := range w.runs {
		if r.exclusive {
			return true
		}
	}
	return false
}

// exclusiveTasks returns the number of exclusive tasks that wait or run here, or
// whose worker has not answered since it was lost.
func (p *Pool) exclusiveTasks() int {
	n := 0
	for _, q := range p.queue {
		if q.Exclusive {
			n++
		}
	}
	for _, w := range p.order {
		if w.lostExclusive || w.hasExclusiveRun() {
			n++
		}
	}
	return n
}

// reserveWorker reserves a worker for the first waiting exclusive task. A host
// risks one worker at a time on such tasks, and more only while over a third of its
// workers are idle: a worker that an exclusive task runs on, or that was lost under
// one and has not answered since, is at risk.
func (p *Pool) reserveWorker(now time.Time) {
	var next *queuedTask
	for _, q := range p.queue {
		if q.Exclusive {
			next = q
			break
		}
	}
	if next == nil {
		p.reserved = nil
		return
	}
	if p.reserved != nil && p.reserved.mayHost(now, next) {
		return
	}
	p.reserved = nil
	atRisk, idle := 0, 0
	for _, w := range p.order {
		switch {
		case w.lostExclusive || w.hasExclusiveRun():
			atRisk++
		case len(w.runs) == 0 && w.usable(now):
			idle++
		}
	}
	if atRisk > 0 && idle <= len(p.order)/idleShare {
		return
	}
	var bestIdleAt time.Time
	for _, w := range p.order {
		if !w.mayHost(now, next) {
			continue
		}
		idleAt := p.idleAt(now, w)
		switch {
		case p.reserved == nil || p.reserved.info.ID == next.Avoid:
		case w.info.ID == next.Avoid || !idleAt.Before(bestIdleAt):
			continue
		}
		p.reserved, bestIdleAt = w, idleAt
	}
}

// mayHost reports whether the worker could start an exclusive task now if it
// were idle.
func (w *worker) mayHost(now time.Time, q *queuedTask) bool {
	return w.info.Service == q.Service && w.usable(now) && q.Size.Fits(w.info.Capacity) && w.info.HasLabel(q.RequiredLabel)
}

// idleAt returns when the last run on the worker is expected to end.
func (p *Pool) idleAt(now time.Time, w *worker) time.Time {
	at := now
	for _, r := range w.runs {
		end := now.Add(p.cfg.MaxLease)
		if r.task != nil {
			end = r.orderedAt.Add(p.paces.expectedRunTime(w, r.task.Estimate))
		}
		if end.After(at) {
			at = end
		}
	}
	return at
}
