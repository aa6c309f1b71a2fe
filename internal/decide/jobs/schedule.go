package jobs

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

const (
	// pickTries bounds the picks for one task that some workers have barred.
	pickTries = 3
	// workersPerReservation bounds the workers kept for large tasks at once.
	workersPerReservation = 16
)

// pass is one round of placement. It remembers what found no room, so that
// nothing as large is tried again in the same round.
type pass struct {
	full []placement.Size
}

func (p *pass) hopeless(s placement.Size) bool {
	for _, f := range p.full {
		if f.Fits(s) {
			return true
		}
	}
	return false
}

// requeue puts a job among those with tasks to place, in order of arrival.
func (c *Core) requeue(j *job) {
	at, found := slices.BinarySearchFunc(c.queue, j, func(a, b *job) int { return int(a.seq - b.seq) })
	if !found {
		c.queue = slices.Insert(c.queue, at, j)
	}
}

// schedule places what fits, the oldest job first. A job whose next task finds
// no room lets the others pass, until a worker is kept for it.
func (c *Core) schedule(now time.Time) {
	if len(c.queue) == 0 {
		return
	}
	var p pass
	kept := c.queue[:0]
	for _, j := range c.queue {
		if !j.closed && j.ending == nil {
			c.placeJob(now, j, &p)
		}
		if len(j.waiting) > 0 {
			kept = append(kept, j)
		}
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}

func (c *Core) placeJob(now time.Time, j *job, p *pass) {
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
		if !p.hopeless(size) {
			name, ok = c.pick(t, size, j.racks)
		}
		if !ok {
			p.full = append(p.full, size)
			c.blocked(now, j, size)
			return
		}
		j.waiting = j.waiting[:len(j.waiting)-1]
		j.blockedSince = time.Time{}
		c.assign(ref{j, i}, c.workers[name], size, "room", "most free of its set, fewest tasks of the job in its rack")
	}
}

// sizeOf is the learned size, unless no worker could hold it.
func (c *Core) sizeOf(t *task) placement.Size {
	declared := t.declared()
	if learned := t.stats.Size(declared); c.fleet.FitsWhenIdle(learned) {
		return learned
	}
	return declared
}

func (c *Core) pick(t *task, size placement.Size, racks placement.TasksByRack) (string, bool) {
	for range pickTries {
		name, ok := c.fleet.Pick(size, racks)
		if !ok {
			return "", false
		}
		if !slices.Contains(t.barred, name) {
			return name, true
		}
	}
	return "", false
}

func (c *Core) assign(r ref, w *worker, size placement.Size, rule, why string) {
	r.t().state = taskPlaced
	c.placed[min(size.Cores, len(c.placed)-1)]++
	c.hold(r, w, size)
	w.queue = append(w.queue, r)
	c.touch(w)
	c.note(decision.PartPlace, "start", rule, r.job.key, []string{r.t().spec.Name, w.name},
		"%s; %d cores, %d MB", why, size.Cores, size.MemoryMB)
}

// smallerPlaced counts the tasks placed so far that need fewer cores.
func (c *Core) smallerPlaced(size placement.Size) int64 {
	total := int64(0)
	for _, n := range c.placed[:min(size.Cores, len(c.placed))] {
		total += n
	}
	return total
}

// blocked keeps a worker for a task that has found no room for long while smaller ones have.
func (c *Core) blocked(now time.Time, j *job, size placement.Size) {
	switch {
	case j.blockedSince.IsZero():
		j.blockedSince = now
		j.smaller = c.smallerPlaced(size)
		return
	case j.reserved != "", now.Sub(j.blockedSince) < c.cfg.ReserveAfter, c.smallerPlaced(size) == j.smaller:
		return
	case c.reserved > c.fleet.Len()/workersPerReservation:
		return
	}
	name, ok := c.fleet.Reserve(size)
	if !ok {
		return
	}
	j.reserved = name
	c.reserved++
	w := c.workers[name]
	w.reserve = workerapi.Usage{Cores: size.Cores, MemoryMB: size.MemoryMB, Accelerators: size.Accelerators}
	c.askLease(w)
	c.note(decision.PartPlace, "reserve", "no-room", j.key, []string{name},
		"a task of %d cores found no room for %v", size.Cores, now.Sub(j.blockedSince).Round(time.Millisecond))
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
	c.reserved--
}

// placeReserved places the next task on the worker kept for it, once there is
// room.
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
	if slices.Contains(t.barred, name) {
		c.unreserve(j)
		return
	}
	if !c.fleet.ReservedFits(name, size) || !c.withinQuota(j, size) {
		return
	}
	j.waiting = j.waiting[:len(j.waiting)-1]
	j.blockedSince = time.Time{}
	c.unreserve(j)
	c.assign(ref{j, i}, w, size, "reserved", "the worker kept for it has room")
}

// start is one message of tasks that was handed over for sending.
type start struct {
	worker *worker
	refs   []ref
}

// touch has the next flush look at the worker.
func (c *Core) touch(w *worker) {
	if !w.dirty {
		w.dirty = true
		c.dirty = append(c.dirty, w)
	}
}

// flush sends what was placed, one message a worker, or asks for the leases
// that are missing.
func (c *Core) flush(now time.Time) {
	for _, w := range c.dirty {
		w.dirty = false
		if len(w.stopNow) > 0 {
			c.emit(StopTasks{Worker: w.name, Address: w.address, Call: c.stopCall(w, w.stopNow)})
			w.stopNow = nil
		}
		if len(w.queue) == 0 || w.leasing {
			continue
		}
		if !now.Before(w.expires.Add(-c.cfg.LeaseMargin)) {
			c.askLease(w)
			continue
		}
		c.send(w)
	}
	c.dirty = c.dirty[:0]
}

func (c *Core) askLease(w *worker) {
	if !w.leasing {
		w.leasing = true
		c.emit(RequestLease{Worker: w.name, Address: w.address, TTL: c.cfg.LeaseTTL, Reserve: w.reserve})
	}
}

func (c *Core) send(w *worker) {
	c.startSeq++
	s := &start{worker: w}
	call := workerapi.StartCall{
		Holder: string(c.cfg.Self), Instance: w.instance, Epoch: w.epoch, TTLMs: c.cfg.LeaseTTL.Milliseconds(),
	}
	for _, r := range w.queue {
		t := r.t()
		if t.state != taskPlaced || t.worker != w.name {
			continue
		}
		t.state = taskSent
		s.refs = append(s.refs, r)
		call.Tasks = append(call.Tasks, workerapi.Start{
			Submission: r.job.text, Task: t.spec.Name, Cores: t.size.Cores, MemoryMB: t.size.MemoryMB,
			Accelerators: t.size.Accelerators, Payload: t.spec.Payload,
		})
	}
	w.queue = w.queue[:0]
	if len(s.refs) == 0 {
		return
	}
	c.starts[c.startSeq] = s
	c.emit(Start{
		ID: c.startSeq, Worker: w.name, Address: w.address, Call: call, NotAfter: w.expires.Add(-c.cfg.LeaseMargin),
	})
	c.watch(w)
}

// watch has the worker's results read while tasks are outstanding there.
func (c *Core) watch(w *worker) {
	if !w.watched {
		w.watched = true
		c.emit(WatchResults{Worker: w.name, Address: w.address})
	}
}

// Outstanding reports whether the worker's results are still awaited. After
// false, a Watch is emitted anew when tasks are sent.
func (c *Core) AwaitingResults(name string) bool {
	w, ok := c.workers[name]
	if !ok {
		return false
	}
	for r := range w.tasks {
		if r.t().atWorker() {
			return true
		}
	}
	w.watched = false
	return false
}
