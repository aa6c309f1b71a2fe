package jobs

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/place"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// replacedKept is how many replaced processes of a worker are remembered.
const maxReplacedInstances = 8

// WorkerInfo is one worker as the host list gives it.
type WorkerInfo struct {
	Name     string
	Address  string
	Rack     string
	Capacity place.Size
	// Live is false while the worker is leaving or drained.
	Live bool
}

// worker is one worker as this host deals with it.
type worker struct {
	name       string
	address    string
	live       bool
	inHostList bool

	instance string
	// replaced are the instances before this one, whose late replies do not
	// count.
	replaced       []string
	epoch          int64
	leaseEnd       time.Time
	leaseRequested bool
	// downUntil keeps tasks away after a failed call.
	avoidUntil time.Time
	watched    bool
	retryAt    time.Time

	// tasks are what is placed here, with the room it takes.
	tasks map[taskRef]place.Size
	// running is the room of the tasks that the worker has said it runs.
	running place.Size
	// queue are the tasks placed here that were not sent.
	startQueue []taskRef
	// doubts are the tasks to ask about, stops the tasks to stop again, when
	// the worker answers.
	unconfirmed []taskRef
	stopRetries []workerapi.TaskRef
	// stopNow are the tasks to stop with the next flush.
	stopNow []workerapi.TaskRef
	// reserve is room kept here for a large task.
	reserve workerapi.Usage
	// dirty is set while the worker has something to send.
	dirty bool
}

func (w *worker) usable(now time.Time) bool {
	return w.inHostList && w.live && !now.Before(w.avoidUntil)
}

// Workers takes a reading of the host list: the workers and the names of the
// entry hosts that share them.
func (c *Core) UpdateWorkers(now time.Time, infos []WorkerInfo, entries []string) {
	if len(infos) == 0 {
		return
	}
	for _, w := range c.workerList {
		w.inHostList = false
	}
	for _, info := range infos {
		w, ok := c.workers[info.Name]
		if !ok {
			w = &worker{name: info.Name, tasks: map[taskRef]place.Size{}}
			c.workers[info.Name] = w
			c.workerList = append(c.workerList, w)
		}
		w.address, w.live, w.inHostList = info.Address, info.Live, true
		c.fleet.Put(place.Worker{
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

// isHome reports whether this entry host ranks first for the worker by
// rendezvous hashing.
func (c *Core) isHome(worker string, entries []string) bool {
	self := c.cfg.Self.Host()
	own := rendezvousRank(worker, self)
	for _, e := range entries {
		if e != self && rendezvousRank(worker, e) > own {
			return false
		}
	}
	return true
}

func rendezvousRank(worker, entry string) uint64 {
	h := fnv.New64a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(worker + "|" + entry))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// LeaseGranted takes a lease that was asked for at the time asked.
func (c *Core) LeaseGranted(now, asked time.Time, name string, l workerapi.Lease) {
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
	w.leaseEnd = asked.Add(time.Duration(l.TTLMs) * time.Millisecond)
	c.reportUsage(now, w, l.Used)
	c.requeueExcess(w)
}

// shed takes back tasks that were not sent, while the worker's own report says
// that they find no room.
func (c *Core) requeueExcess(w *worker) {
	for len(w.startQueue) > 0 && c.fleet.Over(w.name) {
		last := w.startQueue[len(w.startQueue)-1]
		w.startQueue = w.startQueue[:len(w.startQueue)-1]
		if last.get().state == taskPlaced && last.get().worker == w.name {
			c.requeueTask(last)
		}
	}
}

// LeaseFailed is told when a worker gave no lease.
func (c *Core) LeaseFailed(now time.Time, name string) {
	w, ok := c.workers[name]
	if !ok {
		return
	}
	w.leaseRequested = false
	c.avoidWorker(now, w, "lease-failed", "the worker gave no lease")
}

// setDown keeps tasks away from a worker for a while, and takes back what was
// not sent to it.
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

// seeInstance takes the name of a worker's process. If it is another than
// before, what the old one held is lost. It returns false for the late word of
// a process that was replaced.
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

func sortedRefs(tasks map[taskRef]place.Size) []taskRef {
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
	c.fleet.Report(now, w.name, place.Size{Cores: u.Cores, MemoryMB: u.MemoryMB, Accelerators: u.Accelerators}, w.running)
}

// run takes that the worker runs, or ran, a task.
func (w *worker) markRunning(r taskRef) {
	t := r.get()
	if t.state != taskRunning {
		t.state, t.started = taskRunning, true
		w.running = w.running.Plus(t.size)
	}
}

// hold counts a task in at a worker.
func (c *Core) reserveCapacity(r taskRef, w *worker, size place.Size) {
	t := r.get()
	t.worker, t.size = w.name, size
	w.tasks[r] = size
	c.fleet.Take(w.name, size)
	c.coresInUse[team{r.job.key.Customer, r.job.spec.Team}] += size.Cores
	r.job.racks[c.fleet.Rack(w.name)]++
}

// release counts a task out once.
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
	c.fleet.Give(w.name, size)
	k := team{r.job.key.Customer, r.job.spec.Team}
	c.coresInUse[k] -= size.Cores
	if c.coresInUse[k] == 0 {
		delete(c.coresInUse, k)
	}
	r.job.racks[c.fleet.Rack(w.name)]--
}

// putBack returns a task that was not started to the waiting ones, or drops it
// with its job.
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
