package workerpool

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/sharing"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// sharedOrderPause is how long no task of a service must have waited before the
	// order by shares is reported as ended, and the interval of reports meanwhile.
	// Waits of a few milliseconds alternate with free capacity near full use.
	sharedOrderPause = time.Second
	// holdAfterShare is the inverse of the part of a task's slack after which a worker
	// is held for it. Afterwards two thirds of the slack are left for the worker's
	// capacity to become free.
	holdAfterShare = 3
	// underestimate is the factor by which a task may exceed its declared run time:
	// declared times are off by up to 40%.
	underestimate = 1.4
	// returnedLateReason is the reason that the job's host receives.
	returnedLateReason = "late, and others can be on time"
)

// SharedOrder reports, for the process log and the metrics, that the tasks of a
// service are ordered by the shares of their routes. It is reported at the beginning and
// the end, and every sharedOrderPause between.
type SharedOrder struct {
	Service string
	Active  bool
	// Changed is set if the order has started or stopped being used, For ago.
	Changed bool
	For     time.Duration
	// Waiting is the number of waiting tasks, Late the number of late ones among them
	// and HeldWorker the worker that is held for a large task, or empty.
	Waiting, Late int
	HeldWorker    string
	Routes        sharing.Standings
	// ReturnedLate is the number of tasks, by route, that were returned as late since
	// the last report.
	ReturnedLate map[string]int
}

func (SharedOrder) action() {}

// sharingState is what the pool knows about the sharing of scarce capacity.
type sharingState struct {
	queue    sharing.Queue
	services map[string]*serviceOrder
	// held is the worker that starts no tasks which would delay heldFor, and heldIn
	// the time until heldFor is expected to fit there. It is nil if none is held.
	held    *worker
	heldFor *queuedTask
	heldIn  time.Duration
}

// serviceOrder is the state of the order of one service.
type serviceOrder struct {
	// waits is set while tasks wait for capacity, and inTime if one of them can be on
	// time. Both are computed by each call of orderQueue, as are the standings.
	waits, inTime bool
	standings     sharing.Standings
	// since is when the order was last reported to begin, or zero. waitedAt is when a
	// task last waited, and reportedAt when a report was last made.
	since, waitedAt, reportedAt time.Time
	returnedLate                map[string]int
}

// observeArrival counts the arriving work of a task. Tasks that were returned
// elsewhere as late, or that have run, have been counted before.
func (p *Pool) observeArrival(now time.Time, t *offer.Task) {
	if !p.cfg.Sharing || t.NextRun > 1 || now.After(t.StartBy) {
		return
	}
	p.sharing.queue.Arrived(now, routeOf(t), t.Service, t.Priority, work(t.Size, t.Estimate))
}

func routeOf(t *offer.Task) string { return sharing.RouteKey(t.Route, t.Priority) }

// orderQueue sorts the queue. While tasks of a service wait whose routes have
// different priorities, the tasks of the service are ordered by the shares of their
// routes, and those that became late here are returned.
func (p *Pool) orderQueue(now time.Time) {
	if !p.cfg.Sharing || !p.refreshServiceOrders(now) {
		slices.SortStableFunc(p.queue, func(a, b *queuedTask) int { return compareQueued(now, a, b) })
		p.sharing.held = nil
		return
	}
	for _, q := range p.queue {
		s := p.sharing.services[q.Service]
		if q.shared = s.waits; !q.shared {
			continue
		}
		q.place = s.standings.Place(now, routeOf(&q.Task), q.Priority, q.JobStarted, q.StartBy)
		s.inTime = s.inTime || q.waited && q.place.Group < sharing.Late
	}
	p.queue = slices.DeleteFunc(p.queue, p.returnLate)
	// Services do not compete for workers, so that their tasks need no common order.
	slices.SortStableFunc(p.queue, func(a, b *queuedTask) int {
		switch {
		case a.shared != b.shared:
			return trueFirst(b.shared, a.shared)
		case a.shared:
			return a.place.Compare(b.place)
		}
		return compareQueued(now, a, b)
	})
	p.holdWorker(now)
}

// refreshServiceOrders computes for which services tasks wait that are ordered by
// shares, and the standings of their routes. It reports whether there is any.
func (p *Pool) refreshServiceOrders(now time.Time) bool {
	for _, s := range p.sharing.services {
		s.waits, s.inTime = false, false
	}
	active := false
	for _, q := range p.queue {
		s := p.sharing.services[q.Service]
		if s == nil {
			if p.sharing.services == nil {
				p.sharing.services = map[string]*serviceOrder{}
			}
			s = &serviceOrder{}
			p.sharing.services[q.Service] = s
		}
		if !q.waited || s.waits || !p.sharing.queue.Ranked(q.Service) {
			continue
		}
		s.waits, s.waitedAt, active = true, now, true
		s.standings = p.sharing.queue.Standings(now, q.Service)
	}
	return active
}

// returnLate returns a task that became late here and whose job has not started,
// while others wait that can be on time. A task that was late when it was offered
// stays: its host has decided that it is worth waiting, and returning it again
// would send it from owner to owner.
func (p *Pool) returnLate(q *queuedTask) bool {
	s := p.sharing.services[q.Service]
	if !q.shared || q.place.Group != sharing.Late || !s.inTime || q.JobStarted || q.Exclusive || q.Stored || q.offeredAt.After(q.StartBy) {
		return false
	}
	if s.returnedLate == nil {
		s.returnedLate = map[string]int{}
	}
	s.returnedLate[routeOf(&q.Task)]++
	p.returnTask(q.Task, "", q.NextRun-1, returnedLateReason)
	return true
}

// holdWorker holds a worker for the first waiting task that smaller ones could
// overtake, once a part of its slack has passed: the one that is expected to have
// capacity for it first.
func (p *Pool) holdWorker(now time.Time) {
	s := &p.sharing
	if s.held != nil && (!s.heldFor.shared || s.heldFor.place.Group == sharing.Late ||
		!p.mayHold(now, s.held, s.heldFor) || !slices.Contains(p.queue, s.heldFor)) {
		s.held = nil
	}
	if s.held == nil {
		s.heldFor = p.overtakenTask(now)
		if s.heldFor == nil {
			return
		}
		for _, w := range p.order {
			if !p.mayHold(now, w, s.heldFor) {
				continue
			}
			if in := p.freeIn(now, w, s.heldFor.Size); s.held == nil || in < s.heldIn {
				s.held, s.heldIn = w, in
			}
		}
		return
	}
	s.heldIn = p.freeIn(now, s.held, s.heldFor.Size)
}

// mayHold reports whether a worker may be held for a task.
func (p *Pool) mayHold(now time.Time, w *worker, q *queuedTask) bool {
	return w != p.reserved && !w.health.trial && !w.hasExclusiveRun() && w.mayHost(now, q) && w.info.ID != q.Avoid &&
		(q.MaxPerWorker <= 0 || w.countTasks(q.Name) < q.MaxPerWorker)
}

// overtakenTask returns the first task in the queue that has waited for a part of
// its slack, can be on time and is larger than another that waits, or nil.
func (p *Pool) overtakenTask(now time.Time) *queuedTask {
	for i, q := range p.queue {
		if !q.shared || !q.waited || q.Exclusive || q.waitsForFast || q.place.Group == sharing.Late ||
			now.Before(q.offeredAt.Add(q.StartBy.Sub(q.offeredAt)/holdAfterShare)) {
			continue
		}
		for _, o := range p.queue[i+1:] {
			if o.Service == q.Service && !q.Size.Fits(o.Size) {
				return q
			}
		}
	}
	return nil
}

// isHeldFromTask reports whether a worker is held for another task, which this one
// would delay.
func (p *Pool) isHeldFromTask(w *worker, q *queuedTask) bool {
	s := &p.sharing
	return w == s.held && q != s.heldFor && time.Duration(underestimate*float64(q.Estimate)) > s.heldIn
}

// taskStartedHere counts the work of a task that starts, and releases the worker
// that is held for it.
func (p *Pool) taskStartedHere(now time.Time, q *queuedTask) {
	if !p.cfg.Sharing {
		return
	}
	p.sharing.queue.Started(now, routeOf(&q.Task), work(q.Size, q.Estimate))
	if q == p.sharing.heldFor {
		p.sharing.held, p.sharing.heldFor = nil, nil
	}
}

// reportedFree returns the free capacity that is reported for a worker. A held
// worker has none for tasks of other hosts.
func (p *Pool) reportedFree(w *worker) fleet.Size {
	if w == p.sharing.held {
		return fleet.Size{}
	}
	return w.free()
}

// tickSharing reports the order of each service.
func (p *Pool) tickSharing(now time.Time) {
	names := make([]string, 0, len(p.sharing.services))
	for name := range p.sharing.services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := p.sharing.services[name]
		waited := !s.waitedAt.IsZero() && now.Sub(s.waitedAt) < sharedOrderPause
		switch {
		case waited && s.since.IsZero():
			s.since = now
			p.reportOrder(now, name, s, true, true)
		case waited && now.Sub(s.reportedAt) >= sharedOrderPause:
			p.reportOrder(now, name, s, true, false)
		case !waited && !s.since.IsZero():
			p.reportOrder(now, name, s, false, true)
			s.since = time.Time{}
		}
	}
}

func (p *Pool) reportOrder(now time.Time, name string, s *serviceOrder, active, changed bool) {
	a := SharedOrder{
		Service: name, Active: active, Changed: changed, For: now.Sub(s.since),
		Routes: p.sharing.queue.Standings(now, name), ReturnedLate: s.returnedLate,
	}
	for _, q := range p.queue {
		if q.Service == name {
			a.Waiting++
			if now.After(q.StartBy) {
				a.Late++
			}
		}
	}
	if w := p.sharing.held; w != nil && w.info.Service == name {
		a.HeldWorker = w.info.ID
	}
	s.reportedAt, s.returnedLate = now, nil
	p.emit(a)
}

// routeLoads returns the work of each route of the services whose routes have
// different priorities, by name.
func (p *Pool) routeLoads() []offer.RouteLoad {
	if !p.cfg.Sharing {
		return nil
	}
	ranked := map[string]bool{}
	loads := map[string]*offer.RouteLoad{}
	load := func(t *offer.Task) *offer.RouteLoad {
		shares, ok := ranked[t.Service]
		if !ok {
			shares = p.sharing.queue.Ranked(t.Service)
			ranked[t.Service] = shares
		}
		if !shares {
			return nil
		}
		route := routeOf(t)
		if loads[route] == nil {
			loads[route] = &offer.RouteLoad{Route: route}
		}
		return loads[route]
	}
	for _, w := range p.order {
		for _, r := range w.runs {
			if r.task == nil {
				continue
			}
			if l := load(r.task); l != nil {
				l.RunningCPU += int64(r.size.MilliCPU)
			}
		}
	}
	for _, q := range p.queue {
		if l := load(&q.Task); l != nil {
			l.WaitingWork += work(q.Size, q.Estimate)
			l.WaitingTasks++
		}
	}
	var list []offer.RouteLoad
	for _, l := range loads {
		list = append(list, *l)
	}
	slices.SortFunc(list, func(a, b offer.RouteLoad) int { return cmp.Compare(a.Route, b.Route) })
	return list
}

// mostFreeCPU returns the largest free capacity of a worker that may start tasks, in
// thousandths of a core. Tasks that need more are not compared with each worker.
func (p *Pool) mostFreeCPU(now time.Time) int {
	most := 0
	for _, w := range p.order {
		if free := w.free().MilliCPU; free > most && w.usable(now) {
			most = free
		}
	}
	return most
}
