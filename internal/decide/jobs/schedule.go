package jobs

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

const (
	// maxPickTries bounds the attempts to pick a worker that does not block the
	// task.
	maxPickTries = 3
	// workersPerReservation bounds the workers reserved for large tasks at
	// once: the limit is the fleet's number of workers divided by
	// workersPerReservation, plus one.
	workersPerReservation = 16
)

// placementRound is one round of placement. It remembers the sizes that did not
// fit, so that no task at least as large is tried again in the round.
type placementRound struct {
	unplaced []placement.Size
}

func (p *placementRound) cannotFit(s placement.Size) bool {
	for _, f := range p.unplaced {
		if f.Fits(s) {
			return true
		}
	}
	return false
}

// enqueueJob adds a job to the placement queue, in order of arrival.
func (c *Core) enqueueJob(j *job) {
	at, found := slices.BinarySearchFunc(c.placementQueue, j, func(a, b *job) int { return int(a.seq - b.seq) })
	if !found {
		c.placementQueue = slices.Insert(c.placementQueue, at, j)
	}
}

// schedule places the tasks that fit, oldest job first. A job whose next task
// does not fit does not block later jobs. If it is starved, a worker is
// reserved for it.
func (c *Core) schedule(now time.Time) {
	if len(c.placementQueue) == 0 {
		return
	}
	var p placementRound
	kept := c.placementQueue[:0]
	for _, j := range c.placementQueue {
		if !j.closed && j.stopCause == nil {
			c.placeJob(now, j, &p)
		}
		if len(j.waiting) > 0 {
			kept = append(kept, j)
		}
	}
	clear(c.placementQueue[len(kept):])
	c.placementQueue = kept
}

func (c *Core) placeJob(now time.Time, j *job, p *placementRound) {
	if j.reserved != "" {
		c.placeReserved(now, j)
	}
	for len(j.waiting) > 0 {
		i := j.waiting[len(j.waiting)-1]
		t := &j.tasks[i]
		size := c.sizeOf(t)
		if !c.withinQuota(j, size) {
			return
		}
		name, ok := "", false
		if !p.cannotFit(size) {
			name, ok = c.pick(t, size, j.racks)
		}
		if !ok {
			p.unplaced = append(p.unplaced, size)
			c.reserveIfStarved(now, j, size)
			return
		}
		j.waiting = j.waiting[:len(j.waiting)-1]
		j.blockedSince = time.Time{}
		c.placeTask(taskRef{j, i}, c.workers[name], size, "room", "most free capacity in its set, fewest tasks of the job in its rack")
	}
}

// sizeOf returns the learned size, or the declared one if no worker could hold
// the learned size.
func (c *Core) sizeOf(t *task) placement.Size {
	declared := t.declared()
	if learned := t.stats.Size(declared); c.fleet.FitsWhenIdle(learned) {
		return learned
	}
	return declared
}

func (c *Core) pick(t *task, size placement.Size, racks placement.TasksByRack) (string, bool) {
	for range maxPickTries {
		name, ok := c.fleet.Pick(size, racks)
		if !ok {
			return "", false
		}
		if !slices.Contains(t.blockedOn, name) {
			return name, true
		}
	}
	return "", false
}

func (c *Core) placeTask(r taskRef, w *worker, size placement.Size, rule, why string) {
	r.get().state = taskPlaced
	c.placedByCores[min(size.Cores, len(c.placedByCores)-1)]++
	c.reserveCapacity(r, w, size)
	w.startQueue = append(w.startQueue, r)
	c.markDirty(w)
	c.logDecision(decision.PartPlace, "start", rule, r.job.key, []string{r.get().spec.Name, w.name},
		"%s; %d cores, %d MB", why, size.Cores, size.MemoryMB)
}

// smallerPlaced returns the number of tasks placed so far that need fewer
// cores.
func (c *Core) smallerPlaced(size placement.Size) int64 {
	total := int64(0)
	for _, n := range c.placedByCores[:min(size.Cores, len(c.placedByCores))] {
		total += n
	}
	return total
}

// reserveIfStarved reserves a worker for a task that has found no capacity for
// ReserveAfter while smaller tasks were placed.
func (c *Core) reserveIfStarved(now time.Time, j *job, size placement.Size) {
	switch {
	case j.blockedSince.IsZero():
		j.blockedSince = now
		j.smallerAtBlock = c.smallerPlaced(size)
		return
	case j.reserved != "", now.Sub(j.blockedSince) < c.cfg.ReserveAfter, c.smallerPlaced(size) == j.smallerAtBlock:
		return
	case c.reservations > c.fleet.Len()/workersPerReservation:
		return
	}
	name, ok := c.fleet.Reserve(size)
	if !ok {
		return
	}
	j.reserved = name
	c.reservations++
	w := c.workers[name]
	w.reserve = workerapi.Usage{Cores: size.Cores, MemoryMB: size.MemoryMB, Accelerators: size.Accelerators}
	c.requestLease(w)
	c.logDecision(decision.PartPlace, "reserve", "no-room", j.key, []string{name},
		"a task of %d cores found no capacity for %v", size.Cores, now.Sub(j.blockedSince).Round(time.Millisecond))
}

func (c *Core) unreserve(j *job) {
	if j.reserved == "" {
		return
	}
	c.fleet.Release(j.reserved)
	if w, ok := c.workers[j.reserved]; ok {
		w.reserve = workerapi.Usage{}
	}
	j.reserved = ""
	c.reservations--
}

// placeReserved places the next task on the worker reserved for the job, once
// the task fits there.
func (c *Core) placeReserved(now time.Time, j *job) {
	name := j.reserved
	w, ok := c.workers[name]
	if !ok || !w.usable(now) || len(j.waiting) == 0 {
		c.unreserve(j)
		return
	}
	i := j.waiting[len(j.waiting)-1]
	t := &j.tasks[i]
	size := c.sizeOf(t)
	if slices.Contains(t.blockedOn, name) {
		c.unreserve(j)
		return
	}
	if !c.fleet.ReservedFits(name, size) || !c.withinQuota(j, size) {
		return
	}
	j.waiting = j.waiting[:len(j.waiting)-1]
	j.blockedSince = time.Time{}
	c.unreserve(j)
	c.placeTask(taskRef{j, i}, w, size, "reserved", "the worker reserved for it has capacity")
}

// start is one message of tasks that was handed over for sending.
type start struct {
	worker *worker
	refs   []taskRef
}

// markDirty adds the worker to those that the next sendQueued handles.
func (c *Core) markDirty(w *worker) {
	if !w.dirty {
		w.dirty = true
		c.dirtyWorkers = append(c.dirtyWorkers, w)
	}
}

// sendQueued emits stops and starts, one message of each for a worker, and
// requests the leases that are missing.
func (c *Core) sendQueued(now time.Time) {
	for _, w := range c.dirtyWorkers {
		w.dirty = false
		if len(w.stopNow) > 0 {
			c.emit(StopTasks{Worker: w.name, Address: w.address, Call: c.stopCall(w, w.stopNow)})
			w.stopNow = nil
		}
		if len(w.startQueue) == 0 || w.leaseRequested {
			continue
		}
		if !now.Before(w.leaseEnd.Add(-c.cfg.LeaseMargin)) {
			c.requestLease(w)
			continue
		}
		c.sendStarts(w)
	}
	c.dirtyWorkers = c.dirtyWorkers[:0]
}

func (c *Core) requestLease(w *worker) {
	if !w.leaseRequested {
		w.leaseRequested = true
		c.emit(RequestLease{Worker: w.name, Address: w.address, TTL: c.cfg.LeaseTTL, Reserve: w.reserve})
	}
}

func (c *Core) sendStarts(w *worker) {
	c.startSeq++
	s := &start{worker: w}
	call := workerapi.StartCall{
		Holder: string(c.cfg.Self), Instance: w.instance, Epoch: w.epoch, TTLMs: c.cfg.LeaseTTL.Milliseconds(),
	}
	for _, r := range w.startQueue {
		t := r.get()
		if t.state != taskPlaced || t.worker != w.name {
			continue
		}
		t.state = taskSent
		s.refs = append(s.refs, r)
		call.Tasks = append(call.Tasks, workerapi.Start{
			Submission: r.job.keyText, Task: t.spec.Name, Cores: t.size.Cores, MemoryMB: t.size.MemoryMB,
			Accelerators: t.size.Accelerators, Payload: t.spec.Payload,
		})
	}
	w.startQueue = w.startQueue[:0]
	if len(s.refs) == 0 {
		return
	}
	c.starts[c.startSeq] = s
	c.emit(Start{
		ID: c.startSeq, Worker: w.name, Address: w.address, Call: call, NotAfter: w.leaseEnd.Add(-c.cfg.LeaseMargin),
	})
	c.watchResults(w)
}

// watchResults emits a WatchResults unless the worker's results are already
// being read.
func (c *Core) watchResults(w *worker) {
	if !w.watched {
		w.watched = true
		c.emit(WatchResults{Worker: w.name, Address: w.address})
	}
}

// AwaitingResults reports whether results of the worker are still expected.
// After it returned false, the next start emits a new WatchResults.
func (c *Core) AwaitingResults(name string) bool {
	w, ok := c.workers[name]
	if !ok {
		return false
	}
	for r := range w.tasks {
		if r.get().mayBeOnWorker() {
			return true
		}
	}
	w.watched = false
	return false
}
