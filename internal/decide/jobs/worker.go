package jobs

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// maxReplacedInstances bounds the replaced instances remembered for a worker.
const maxReplacedInstances = 8

// WorkerInfo is a worker as listed in the host list.
type WorkerInfo struct {
	Name     string
	Address  string
	Rack     string
	Capacity placement.Size
	// Live is false while the worker is leaving or drained.
	Live bool
	// EvacuatedZone is the worker's zone if it is evacuated, else empty. The worker
	// then gets no tasks; its tasks run to completion.
	EvacuatedZone string
}

// worker is this host's state for one worker.
type worker struct {
	name       string
	address    string
	live       bool
	inHostList bool

	instance string
	// replaced holds earlier instances, whose late replies are ignored.
	replaced       []string
	epoch          int64
	leaseEnd       time.Time
	leaseRequested bool
	// avoidUntil is when the worker may get tasks again after a failed call.
	avoidUntil time.Time
	watched    bool
	retryAt    time.Time

	// tasks maps the tasks placed on the worker to the capacity they hold.
	tasks map[taskRef]placement.Size
	// running is the total size of the tasks known to run.
	running placement.Size
	// startQueue holds the tasks placed on the worker that were not sent.
	startQueue []taskRef
	// unconfirmed holds the tasks to ask the worker about, and stopRetries the
	// tasks to stop again, at the next retry.
	unconfirmed []taskRef
	stopRetries []workerapi.TaskRef
	// stopNow holds the tasks to stop with the next sendQueued.
	stopNow []workerapi.TaskRef
	// reserve is the capacity reserved on the worker for a large task.
	reserve workerapi.Usage
	// dirty is set while the worker has something to send.
	dirty bool
}

func (w *worker) usable(now time.Time) bool {
	return w.inHostList && w.live && !now.Before(w.avoidUntil)
}

// UpdateWorkers applies the host list: the workers, and the names of the entry
// hosts that share them. An empty list of workers is ignored.
func (c *Core) UpdateWorkers(now time.Time, infos []WorkerInfo, entries []string) {
	if len(infos) == 0 {
		return
	}
	c.evacuatedZones = evacuatedZones(infos)
	for _, w := range c.workerList {
		w.inHostList = false
	}
	for _, info := range infos {
		w, ok := c.workers[info.Name]
		if !ok {
			w = &worker{name: info.Name, tasks: map[taskRef]placement.Size{}}
			c.workers[info.Name] = w
			c.workerList = append(c.workerList, w)
		}
		w.address, w.live, w.inHostList = info.Address, info.Live && info.EvacuatedZone == "", true
		c.fleet.Put(placement.Worker{
			Name: info.Name, Rack: info.Rack, Capacity: info.Capacity, Home: c.isHome(info.Name, entries),
		}, w.usable(now))
	}
	c.workerList = slices.DeleteFunc(c.workerList, func(w *worker) bool {
		if w.inHostList {
			return false
		}
		c.fleet.SetUsable(w.name, false)
		if len(w.tasks) > 0 {
			return false
		}
		c.fleet.Remove(w.name)
		delete(c.workers, w.name)
		return true
	})
}

// evacuatedZones returns the sorted names of the zones of all live workers if all
// these zones are evacuated, else nil.
func evacuatedZones(infos []WorkerInfo) []string {
	var zones []string
	for _, info := range infos {
		switch {
		case !info.Live:
		case info.EvacuatedZone == "":
			return nil
		case !slices.Contains(zones, info.EvacuatedZone):
			zones = append(zones, info.EvacuatedZone)
		}
	}
	slices.Sort(zones)
	return zones
}

// isHome reports whether this entry host ranks first for the worker by
// rendezvous hashing.
func (c *Core) isHome(worker string, entries []string) bool {
	self := c.cfg.Self.Host()
	ownRank := rendezvousRank(worker, self)
	for _, e := range entries {
		if e != self && rendezvousRank(worker, e) > ownRank {
			return false
		}
	}
	return true
}

func rendezvousRank(worker, entry string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(worker + "|" + entry))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// LeaseGranted applies a lease. Its duration counts from requestedAt, when it
// was requested.
func (c *Core) LeaseGranted(now, requestedAt time.Time, name string, l workerapi.Lease) {
	w, ok := c.workers[name]
	if !ok {
		return
	}
	w.leaseRequested = false
	c.markDirty(w)
	if !c.checkInstance(now, w, l.Instance) {
		return
	}
	w.epoch = l.Epoch
	w.leaseEnd = requestedAt.Add(time.Duration(l.TTLMs) * time.Millisecond)
	c.reportUsage(now, w, l.Used)
	c.requeueExcess(w)
}

// requeueExcess requeues tasks that were not sent, while the worker's own
// report says that they do not fit.
func (c *Core) requeueExcess(w *worker) {
	for len(w.startQueue) > 0 && c.fleet.Overcommitted(w.name) {
		last := w.startQueue[len(w.startQueue)-1]
		w.startQueue = w.startQueue[:len(w.startQueue)-1]
		if last.get().state == taskPlaced && last.get().worker == w.name {
			c.requeueTask(last)
		}
	}
}

// LeaseFailed handles a lease request that the worker did not grant.
func (c *Core) LeaseFailed(now time.Time, name string) {
	w, ok := c.workers[name]
	if !ok {
		return
	}
	w.leaseRequested = false
	c.avoidWorker(now, w, "lease-failed", "the worker granted no lease")
}

// avoidWorker places no tasks on a worker for RetryInterval, and requeues the
// tasks that were not sent to it.
func (c *Core) avoidWorker(now time.Time, w *worker, rule, why string) {
	w.leaseEnd = time.Time{}
	if w.usable(now) {
		c.logDecision(decision.PartWorker, "avoid", rule, Key{}, []string{w.name}, "%s; no new task for %v", why, c.cfg.RetryInterval)
	}
	w.avoidUntil = now.Add(c.cfg.RetryInterval)
	c.fleet.SetUsable(w.name, false)
	for _, r := range w.startQueue {
		if r.get().state == taskPlaced && r.get().worker == w.name {
			c.requeueTask(r)
		}
	}
	w.startQueue = nil
}

// checkInstance compares the instance that a worker reported with the known
// one. If the worker's process was replaced, the outcome of its tasks is
// unknown and their jobs fail. It returns false for a late reply of a replaced
// process.
func (c *Core) checkInstance(now time.Time, w *worker, instance string) bool {
	if slices.Contains(w.replaced, instance) {
		return false
	}
	if instance == w.instance {
		return true
	}
	old := w.instance
	w.instance = instance
	w.leaseEnd = time.Time{}
	w.unconfirmed, w.stopRetries, w.stopNow = nil, nil, nil
	if old == "" {
		return true
	}
	w.replaced = append(w.replaced, old)
	w.replaced = w.replaced[max(0, len(w.replaced)-maxReplacedInstances):]
	c.logDecision(decision.PartWorker, "lost", "new-instance", Key{}, []string{w.name}, "the worker's process was replaced")
	for _, r := range sortedRefs(w.tasks) {
		t := r.get()
		if !t.mayBeOnWorker() {
			continue
		}
		c.releaseCapacity(r)
		t.state, t.outcomeUnknown = taskEnded, true
		c.fail(now, r.job, errkind.New(errkind.TaskUnknown, "worker %s was replaced while it had task %s", w.name, t.spec.Name))
	}
	return true
}

func sortedRefs(tasks map[taskRef]placement.Size) []taskRef {
	refs := make([]taskRef, 0, len(tasks))
	for r := range tasks {
		refs = append(refs, r)
	}
	slices.SortFunc(refs, func(a, b taskRef) int {
		if a.job != b.job {
			return strings.Compare(a.job.keyText, b.job.keyText)
		}
		return a.task - b.task
	})
	return refs
}

func (c *Core) reportUsage(now time.Time, w *worker, u workerapi.Usage) {
	c.fleet.ReportUsage(now, w.name, placement.Size{Cores: u.Cores, MemoryMB: u.MemoryMB, Accelerators: u.Accelerators}, w.running)
}

// markRunning records that the worker runs, or ran, a task.
func (w *worker) markRunning(r taskRef) {
	t := r.get()
	if t.state != taskRunning {
		t.state, t.started = taskRunning, true
		w.running = w.running.Plus(t.size)
	}
}

// reserveCapacity assigns a task to a worker and counts its capacity.
func (c *Core) reserveCapacity(r taskRef, w *worker, size placement.Size) {
	t := r.get()
	t.worker, t.size = w.name, size
	w.tasks[r] = size
	c.fleet.Allocate(w.name, size)
	c.coresInUse[team{r.job.key.Customer, r.job.spec.Team}] += size.Cores
	r.job.racks[c.fleet.Rack(w.name)]++
}

// releaseCapacity frees the capacity of a task. Repeated calls have no effect.
func (c *Core) releaseCapacity(r taskRef) {
	w, ok := c.workers[r.get().worker]
	if !ok {
		return
	}
	size, held := w.tasks[r]
	if !held {
		return
	}
	delete(w.tasks, r)
	if r.get().state == taskRunning {
		w.running = w.running.Minus(size)
	}
	c.fleet.Deallocate(w.name, size)
	k := team{r.job.key.Customer, r.job.spec.Team}
	c.coresInUse[k] -= size.Cores
	if c.coresInUse[k] == 0 {
		delete(c.coresInUse, k)
	}
	r.job.racks[c.fleet.Rack(w.name)]--
}

// requeueTask returns a task that was not started to the placement queue, or
// discards it if its job is closed or stopping.
func (c *Core) requeueTask(r taskRef) {
	c.releaseCapacity(r)
	t := r.get()
	if r.job.closed || r.job.stopCause != nil {
		t.state = taskDiscarded
		return
	}
	t.state = taskWaiting
	if len(r.job.waiting) == 0 {
		c.enqueueJob(r.job)
	}
	r.job.waiting = append(r.job.waiting, r.task)
}
