package workerpool

import "time"

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
// risks one worker at a time on such tasks: it reserves none while one runs, or
// while the worker of the last one has not answered since it was lost.
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
	for _, w := range p.order {
		if w.lostExclusive || w.hasExclusiveRun() {
			return
		}
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
