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

// replacedKept is how many replaced processes of a worker are remembered.
const replacedKept = 8

// WorkerInfo is one worker as the host list gives it.
type WorkerInfo struct {
	Name     string
	Address  string
	Rack     string
	Capacity placement.Size
	// Live is false while the worker is leaving or drained.
	Live bool
}

// worker is one worker as this host deals with it.
type worker struct {
	name    string
	address string
	live    bool
	listed  bool

	instance string
	// replaced are the instances before this one, whose late replies do not
	// count.
	replaced []string
	epoch    int64
	expires  time.Time
	leasing  bool
	// downUntil keeps tasks away after a failed call.
	downUntil time.Time
	watched   bool
	retryAt   time.Time

	// tasks are what is placed here, with the room it takes.
	tasks map[ref]placement.Size
	// running is the room of the tasks that the worker has said it runs.
	running placement.Size
	// queue are the tasks placed here that were not sent.
	queue []ref
	// doubts are the tasks to ask about, stops the tasks to stop again, when
	// the worker answers.
	doubts []ref
	stops  []workerapi.TaskRef
	// stopNow are the tasks to stop with the next flush.
	stopNow []workerapi.TaskRef
	// reserve is room kept here for a large task.
	reserve workerapi.Usage
	// dirty is set while the worker has something to send.
	dirty bool
}

func (w *worker) usable(now time.Time) bool {
	return w.listed && w.live && !now.Before(w.downUntil)
}

// Workers takes a reading of the host list: the workers and the names of the
// entry hosts that share them.
func (c *Core) UpdateWorkers(now time.Time, infos []WorkerInfo, entries []string) {
	if len(infos) == 0 {
		return
	}
	for _, w := range c.list {
		w.listed = false
	}
	for _, info := range infos {
		w, ok := c.workers[info.Name]
		if !ok {
			w = &worker{name: info.Name, tasks: map[ref]placement.Size{}}
			c.workers[info.Name] = w
			c.list = append(c.list, w)
		}
		w.address, w.live, w.listed = info.Address, info.Live, true
		c.fleet.Put(placement.Worker{
			Name: info.Name, Rack: info.Rack, Capacity: info.Capacity, Home: c.isHome(info.Name, entries),
		}, w.usable(now))
	}
	c.list = slices.DeleteFunc(c.list, func(w *worker) bool {
		if w.listed {
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
	own := rank(worker, self)
	for _, e := range entries {
		if e != self && rank(worker, e) > own {
			return false
		}
	}
	return true
}

func rank(worker, entry string) uint64 {
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
	w.leasing = false
	c.touch(w)
	if !c.seeInstance(now, w, l.Instance) {
		return
	}
	w.epoch = l.Epoch
	w.expires = asked.Add(time.Duration(l.TTLMs) * time.Millisecond)
	c.report(now, w, l.Used)
	c.shed(w)
}

// shed takes back tasks that were not sent, while the worker's own report says
// that they find no room.
func (c *Core) shed(w *worker) {
	for len(w.queue) > 0 && c.fleet.Overcommitted(w.name) {
		last := w.queue[len(w.queue)-1]
		w.queue = w.queue[:len(w.queue)-1]
		if last.t().state == taskPlaced && last.t().worker == w.name {
			c.putBack(last)
		}
	}
}

// LeaseFailed is told when a worker gave no lease.
func (c *Core) LeaseFailed(now time.Time, name string) {
	w, ok := c.workers[name]
	if !ok {
		return
	}
	w.leasing = false
	c.setDown(now, w, "lease-failed", "the worker gave no lease")
}

// setDown keeps tasks away from a worker for a while, and takes back what was
// not sent to it.
func (c *Core) setDown(now time.Time, w *worker, rule, why string) {
	w.expires = time.Time{}
	if w.usable(now) {
		c.note(decision.PartWorker, "avoid", rule, Key{}, []string{w.name}, "%s; no new task for %v", why, c.cfg.RetryInterval)
	}
	w.downUntil = now.Add(c.cfg.RetryInterval)
	c.fleet.SetUsable(w.name, false)
	for _, r := range w.queue {
		if r.t().state == taskPlaced && r.t().worker == w.name {
			c.putBack(r)
		}
	}
	w.queue = nil
}

// seeInstance takes the name of a worker's process. If it is another than
// before, what the old one held is lost. It returns false for the late word of
// a process that was replaced.
func (c *Core) seeInstance(now time.Time, w *worker, instance string) bool {
	if slices.Contains(w.replaced, instance) {
		return false
	}
	if instance == w.instance {
		return true
	}
	old := w.instance
	w.instance = instance
	w.expires = time.Time{}
	w.doubts, w.stops, w.stopNow = nil, nil, nil
	if old == "" {
		return true
	}
	w.replaced = append(w.replaced, old)
	w.replaced = w.replaced[max(0, len(w.replaced)-replacedKept):]
	c.note(decision.PartWorker, "lost", "new-instance", Key{}, []string{w.name}, "the worker's process was replaced")
	for _, r := range sortedRefs(w.tasks) {
		t := r.t()
		if !t.atWorker() {
			continue
		}
		c.release(r)
		t.state, t.lost = taskEnded, true
		c.fail(now, r.job, errkind.New(errkind.TaskUnknown, "worker %s was replaced while it had task %s", w.name, t.spec.Name))
	}
	return true
}

func sortedRefs(tasks map[ref]placement.Size) []ref {
	refs := make([]ref, 0, len(tasks))
	for r := range tasks {
		refs = append(refs, r)
	}
	slices.SortFunc(refs, func(a, b ref) int {
		if a.job != b.job {
			return strings.Compare(a.job.text, b.job.text)
		}
		return a.task - b.task
	})
	return refs
}

func (c *Core) report(now time.Time, w *worker, u workerapi.Usage) {
	c.fleet.ReportUsage(now, w.name, placement.Size{Cores: u.Cores, MemoryMB: u.MemoryMB, Accelerators: u.Accelerators}, w.running)
}

// run takes that the worker runs, or ran, a task.
func (w *worker) run(r ref) {
	t := r.t()
	if t.state != taskRunning {
		t.state, t.started = taskRunning, true
		w.running = w.running.Plus(t.size)
	}
}

// hold counts a task in at a worker.
func (c *Core) hold(r ref, w *worker, size placement.Size) {
	t := r.t()
	t.worker, t.size = w.name, size
	w.tasks[r] = size
	c.fleet.Allocate(w.name, size)
	c.holding[team{r.job.key.Customer, r.job.spec.Team}] += size.Cores
	r.job.racks[c.fleet.Rack(w.name)]++
}

// release counts a task out once.
func (c *Core) release(r ref) {
	w, ok := c.workers[r.t().worker]
	if !ok {
		return
	}
	size, held := w.tasks[r]
	if !held {
		return
	}
	delete(w.tasks, r)
	if r.t().state == taskRunning {
		w.running = w.running.Minus(size)
	}
	c.fleet.Deallocate(w.name, size)
	k := team{r.job.key.Customer, r.job.spec.Team}
	c.holding[k] -= size.Cores
	if c.holding[k] == 0 {
		delete(c.holding, k)
	}
	r.job.racks[c.fleet.Rack(w.name)]--
}

// putBack returns a task that was not started to the waiting ones, or drops it
// with its job.
func (c *Core) putBack(r ref) {
	c.release(r)
	t := r.t()
	if r.job.closed || r.job.ending != nil {
		t.state = taskDropped
		return
	}
	t.state = taskWaiting
	if len(r.job.waiting) == 0 {
		c.requeue(r.job)
	}
	r.job.waiting = append(r.job.waiting, r.task)
}
