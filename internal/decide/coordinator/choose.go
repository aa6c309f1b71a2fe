package coordinator

import (
	"cmp"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/flow"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/decide/sharing"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// offerIdleTasks offers the idle tasks of all jobs, in order of arrival.
func (c *Coordinator) offerIdleTasks(now time.Time) {
	c.hasUnplaced = false
	for _, j := range c.jobsByArrival() {
		c.offerJob(now, j)
	}
}

// offerJob offers the idle tasks of a job whose steps are ready, as long as few enough of
// its tasks wait at hosts, unless the job is being recalled or handed over.
func (c *Coordinator) offerJob(now time.Time, j *job) {
	if !j.recalledAt.IsZero() || j.handover != notHandedOver || c.callerMayHaveLeft(now, j) {
		return
	}
	room := maxWaitingOffers
	for _, t := range j.tasks {
		if t.state == taskOffered {
			room--
		}
	}
	j.startsToOffer = 0
	for step := range j.spec.Steps {
		if j.remaining[step] > 0 && j.stepReady(step) {
			j.idleTasks(step, func(t *task) bool {
				if room <= 0 {
					j.startsToOffer = maxWaitingOffers / 2
					return false
				}
				if c.offerIdleTask(now, j, t) {
					room--
				}
				return true
			})
		}
	}
}

// maxWaitingOffers bounds the tasks of a job that wait at hosts, and so the memory that
// it takes there. Hosts need to know of no more than can start soon. It is the smallest
// limit on the tasks of a job (hostlimits): smaller jobs are offered at once.
const maxWaitingOffers = 1024

// offerIdleTask offers an idle task to a host and reports whether it did.
func (c *Coordinator) offerIdleTask(now time.Time, j *job, t *task) bool {
	t.exclusive = t.verdict == quarantine.Isolate
	if t.verdict == quarantine.Hold || t.exclusive && j.hasExclusiveRun() {
		return false
	}
	h := c.chooseHost(now, j, t)
	if h == nil {
		c.hasUnplaced = true
		return false
	}
	t.markOffered(h.name)
	j.addOfferedHost(h.name)
	c.pendingOffers[h.name] = append(c.pendingOffers[h.name], c.offerTask(j, t))
	return true
}

// taskStarted counts the start of a task, after which more tasks may be offered.
func (c *Coordinator) taskStarted(now time.Time, j *job) {
	if j.startsToOffer == 0 {
		return
	}
	if j.startsToOffer--; j.startsToOffer == 0 {
		c.offerJob(now, j)
	}
}

// offerTask returns the task as it is offered to an owner.
func (c *Coordinator) offerTask(j *job, t *task) offer.Task {
	step := j.spec.Steps[t.name.Step]
	return offer.Task{
		Host: c.cfg.Self, Name: t.name, Submission: j.seq, Stored: j.stored, Takeover: j.takeover, Spec: j.spec.Spec, Service: j.route.Service,
		Route: j.route.Name, JobTasks: step.Count,
		Size: step.Size, Estimate: step.Estimate, RequiredLabel: step.RequiredLabel, Affinity: step.Affinity,
		MaxPerWorker: step.MaxPerWorker, Priority: j.route.Priority,
		StartBy: c.startBy(j, t.name.Step), Deadline: j.deadline,
		JobStarted: j.started, Avoid: t.avoidWorker, Exclusive: t.exclusive, NextRun: t.lastRun + 1, FailedRuns: t.failedRuns, MaxAttempts: j.route.MaxAttempts,
	}
}

// chooseHost returns the host to offer a task to, or nil if there is none. It
// prefers hosts with free capacity, then the shortest expected wait including the
// time to reach the host, so that this host and its zone come first. It charges
// the task to the chosen host's free capacity or queue.
func (c *Coordinator) chooseHost(now time.Time, j *job, t *task) *host {
	if t.exclusive {
		return c.chooseExclusiveHost(now, t)
	}
	if h := c.chooseHostBySpeed(now, j, t); h != nil {
		return h
	}
	step := j.spec.Steps[t.name.Step]
	var best *host
	var bestWorker *offer.WorkerCapacity
	var bestWait time.Duration
	bestFree := false
	for _, h := range c.nearestHosts {
		if bestFree && c.reachTime(h) > bestWait {
			// Neither this host nor one farther away can be reached as early.
			break
		}
		if !h.connected || h.report.Leaving || now.Before(t.skipUntil[h.name]) {
			continue
		}
		worker := c.workerWithCapacity(now, h, j.route.Service, step)
		wait := c.reachTime(h)
		if worker != nil && c.isCold(now, worker.ID) {
			wait += coldPenalty
		}
		if worker == nil {
			queued, ok := c.queueWait(h, j.route, step)
			if !ok {
				continue
			}
			wait += queued
		}
		free := worker != nil
		if c.avoidSaturated(h) {
			free = false
			wait += flow.DelayBound
		}
		if best == nil || c.better(free, wait, h, bestFree, bestWait, best) {
			best, bestWorker, bestWait, bestFree = h, worker, wait, free
		}
	}
	if step.Affinity != "" && c.cfg.RemoteSlowdown > 1 {
		best, bestWorker = c.chooseNear(now, j, t, best, bestWorker, bestWait)
	}
	if best == nil {
		return nil
	}
	if bestWorker != nil {
		bestWorker.Free = bestWorker.Free.Sub(step.Size)
		c.chargeRoute(best, j.route.Name, 0, int64(step.Size.MilliCPU))
	} else {
		best.addOfferedWork(j.route.Priority, cpuWork(step.Size, step.Estimate))
		c.chargeRoute(best, j.route.Name, cpuWork(step.Size, step.Estimate), 0)
	}
	return best
}

// chooseExclusiveHost returns the host to offer an exclusive task to, or nil if
// there is none: the one with the fewest such tasks for its capacity, then the
// nearest.
func (c *Coordinator) chooseExclusiveHost(now time.Time, t *task) *host {
	var best *host
	for _, h := range c.sortedHosts {
		if !h.connected || h.report.Leaving || c.capacityOf(h) == 0 || now.Before(t.skipUntil[h.name]) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(h.exclusiveLoad(best), best.exclusiveLoad(h)), cmp.Compare(c.reachTime(h), c.reachTime(best))) < 0 {
			best = h
		}
	}
	if best != nil {
		best.offeredExclusive++
	}
	return best
}

// exclusiveLoad returns the host's exclusive tasks, with one more, by its capacity,
// scaled for the comparison with another host.
func (h *host) exclusiveLoad(o *host) int64 {
	return int64(h.report.Exclusive+h.offeredExclusive+1) * int64(o.report.Capacity)
}

// better reports whether host h is preferred to best: by free capacity for the
// task, then by the shorter wait, then by the most free CPU.
func (c *Coordinator) better(hasCapacity bool, wait time.Duration, h *host, bestHasCapacity bool, bestWait time.Duration, best *host) bool {
	if hasCapacity != bestHasCapacity {
		return hasCapacity
	}
	if wait != bestWait {
		return wait < bestWait
	}
	return h.freeCPU() > best.freeCPU()
}

// reachTime returns the cost of reaching a host, as a wait: zero for this host,
// little within the zone, and between zones the time of an offer, a start and an
// end.
func (c *Coordinator) reachTime(h *host) time.Duration {
	switch {
	case h.name == c.cfg.Self:
		return 0
	case h.zone == c.cfg.Zone:
		return time.Millisecond
	default:
		return crossZoneDelay
	}
}

// workerWithCapacity returns the host's worker with the fewest free cores that
// fits a task of the step, or nil. Cold workers come last.
func (c *Coordinator) workerWithCapacity(now time.Time, h *host, service string, step fleet.Step) *offer.WorkerCapacity {
	var best *offer.WorkerCapacity
	c.considered += len(h.report.Workers)
	for i := range h.report.Workers {
		w := &h.report.Workers[i]
		if w.Service != service || !step.Size.Fits(w.Free) || !c.workers.hasLabel(w.ID, step.RequiredLabel) || c.isEvacuated(w.ID) {
			continue
		}
		if best != nil {
			if cold := c.isCold(now, w.ID); cold != c.isCold(now, best.ID) {
				if !cold {
					best = w
				}
				continue
			}
		}
		if best == nil || w.Free.MilliCPU < best.Free.MilliCPU {
			best = w
		}
	}
	return best
}

// queueWait estimates how long a new task waits at a host without free capacity.
// It returns false if the host has no capacity at all.
func (c *Coordinator) queueWait(h *host, route fleet.Route, step fleet.Step) (time.Duration, bool) {
	capacity := c.capacityOf(h)
	if capacity == 0 {
		return 0, false
	}
	return waitFor(h.workAhead(route.Priority), int64(capacity), int64(step.Size.MilliCPU), h.report.FreeingRate), true
}

// workAhead returns the work queued at a host with the same or a higher
// precedence, in thousandths of a core times milliseconds.
func (h *host) workAhead(priority int) int64 {
	var ahead int64
	for p, work := range h.report.QueuedWork {
		if p <= priority {
			ahead += work
		}
	}
	for p, work := range h.offeredWork {
		if p <= priority {
			ahead += work
		}
	}
	return ahead
}

// waitFor estimates the wait until the work ahead has been started and the
// missing capacity has become free. Work ahead is in thousandths of a core times
// milliseconds, capacity and missing are in thousandths of a core, and rate is in
// thousandths of a core freed per second.
func waitFor(ahead, capacity, missing, rate int64) time.Duration {
	wait := time.Duration(ahead) * time.Millisecond / time.Duration(capacity)
	if missing > 0 && rate > 0 {
		wait += time.Duration(missing) * time.Second / time.Duration(rate)
	}
	return wait
}

func (h *host) addOfferedWork(priority int, work int64) {
	if h.offeredWork == nil {
		h.offeredWork = map[int]int64{}
	}
	h.offeredWork[priority] += work
}

func (h *host) freeCPU() int {
	total := 0
	for _, w := range h.report.Workers {
		total += w.Free.MilliCPU
	}
	return total
}

// expectedWait estimates how long a new job waits until the last task of its
// first step starts, as if all hosts shared one queue.
func (c *Coordinator) expectedWait(j *job) time.Duration {
	return c.loadFor(j.arrived, j, nil).expectedWait(j)
}

// fleetLoad is the capacity and the load of all hosts, as seen by one job.
type fleetLoad struct {
	// ahead is in thousandths of a core times milliseconds, capacity in thousandths
	// of a core, and rate in thousandths of a core freed per second.
	ahead, capacity, rate int64
	// startable is the number of tasks of the job's first step that free workers can
	// start, and staleStartable how many of these follow from outdated reports.
	startable, staleStartable int
	hosts                     int
}

// loadFor returns the load of all hosts for a job, and adds that of each route to
// routes.
func (c *Coordinator) loadFor(now time.Time, j *job, routes []sharing.RouteState) fleetLoad {
	var l fleetLoad
	for _, h := range c.sortedHosts {
		if !h.connected || h.report.Leaving {
			continue
		}
		l.hosts++
		l.capacity += int64(c.capacityOf(h))
		l.rate += h.report.FreeingRate
		l.ahead += h.workAhead(j.route.Priority)
		startable := startableTasks(c.servedWorkers(h.report.Workers), j.route.Service, j.spec.Steps[0].Size)
		l.startable += startable
		if now.Sub(h.confirmedAt) > maxReportAge {
			l.staleStartable += startable
		}
		h.addSharedLoad(routes)
	}
	return l
}

// expectedWait returns the time until the last task of a job's first step starts.
func (l fleetLoad) expectedWait(j *job) time.Duration {
	first := j.spec.Steps[0]
	if l.startable >= first.Count {
		return 0
	}
	if l.capacity == 0 {
		return noCapacityWait
	}
	return waitFor(l.ahead, l.capacity, int64((first.Count-l.startable)*first.Size.MilliCPU), l.rate)
}

// noCapacityWait is returned as the expected wait if no host has capacity.
const noCapacityWait = sharing.NoCapacityWait

// startableTasks returns how many tasks of a size the workers have free cores for.
func startableTasks(workers []offer.WorkerCapacity, service string, size fleet.Size) int {
	n := 0
	for _, w := range workers {
		if w.Service == service && size.MilliCPU > 0 {
			n += max(0, w.Free.MilliCPU) / size.MilliCPU
		}
	}
	return n
}

// cpuWork returns the work of a task in thousandths of a core times milliseconds.
func cpuWork(size fleet.Size, d time.Duration) int64 { return int64(size.MilliCPU) * d.Milliseconds() }

// RemoteFreeCapacity returns the free capacity of the other hosts' workers.
func (c *Coordinator) RemoteFreeCapacity() []offer.WorkerCapacity {
	var workers []offer.WorkerCapacity
	for _, h := range c.sortedHosts {
		if h.connected && !h.report.Leaving && h.name != c.cfg.Self && !c.avoidSaturated(h) {
			workers = append(workers, c.servedWorkers(h.report.Workers)...)
		}
	}
	return workers
}

// HasSuccessors reports whether other hosts can take over what this one gives up because it
// stops: its shards, if any host stays, and its workers, if at least half of the connected
// hosts do, so that the workers of a fleet that stops bit by bit do not end up at its last
// few hosts.
func (c *Coordinator) HasSuccessors() (shards, workers bool) {
	connected, staying := 1, 0
	for _, h := range c.sortedHosts {
		if !h.connected || h.name == c.cfg.Self {
			continue
		}
		connected++
		if !h.report.Stopping && !h.report.Leaving {
			staying++
			workers = workers || h.report.Capacity > 0
		}
	}
	return staying > 0, workers && 2*staying >= connected
}

// HasHostInZone reports whether a connected host that is not leaving is in the
// zone.
func (c *Coordinator) HasHostInZone(zone string) bool {
	for _, h := range c.sortedHosts {
		if h.connected && !h.report.Leaving && h.zone == zone {
			return true
		}
	}
	return false
}
