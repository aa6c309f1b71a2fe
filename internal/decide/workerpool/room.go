// Package room decides what runs on the workers that this host owns. It is
// pure: events and the time go in, actions come out.
//
// A worker has one owner at a time, and the worker is the arbiter: it refuses
// orders with a lower fence than it has seen. The owner counts exactly what
// occupies a worker: a start without an answer occupies room until it is barred
// there or its lease has expired on the worker's clock.
package workerpool

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Config holds the times of the pool.
type Config struct {
	// MaxLease is the longest lease that a worker grants; the platform sets it.
	MaxLease time.Duration
	// ClaimWait is how long jobs' hosts have to claim runs found on a worker
	// that was taken over: two round trips between zones and a freeze of a
	// scheduler, well below MaxLease, so that claimed runs are renewed in time.
	ClaimTimeout time.Duration
	// Renew is the rest of a lease at which it is renewed.
	RenewBefore time.Duration
	// IdleWait is the longest wait of a look at an idle worker; the workers'
	// interface bounds it.
	LongPollWait time.Duration
	// RetryLook is the pause after a look that failed.
	PollRetryDelay time.Duration
	// RetryStop is the pause after a stop that failed.
	StopRetryDelay time.Duration
	// Stored reports whether a job is a stored one, as far as this host knows.
	IsStored func(job string) bool
}

// DefaultConfig returns the times for a lease of maxLease.
func DefaultConfig(maxLease time.Duration) Config {
	return Config{
		MaxLease:       maxLease,
		ClaimTimeout:   150 * time.Millisecond,
		RenewBefore:    maxLease * 55 / 100,
		LongPollWait:   2 * time.Second,
		PollRetryDelay: 50 * time.Millisecond,
		StopRetryDelay: 50 * time.Millisecond,
	}
}

const (
	// shedAfter is how long a task waits here before it may go to a host that
	// has room: the time of a hop there and back, which it would cost.
	shedAfter = 8 * time.Millisecond
	// overdueAfter is how long after its expected end a run is looked at, and
	// how far such looks are apart at the least: ends come one by one through
	// the waiting look, whose answer may be lost.
	overdueAfter = 50 * time.Millisecond
	// shortestRun bounds the rate at which one run is expected to free its room.
	shortestRun = 10 * time.Millisecond
	// leaseMargin covers the granularity of clocks around a lease's end.
	leaseMargin = 30 * time.Millisecond
)

// Action is something for the shell to do.
type Action interface{ action() }

// Start orders a run at a worker. Its verdict comes back by StartAnswered.
type Start struct {
	Worker     fleet.Worker
	Run        fleet.RunID
	Spec       string
	Fence      int64
	LeaseUntil time.Duration
	// Patience is how long to wait for the answer.
	Timeout time.Duration
}

// Stop orders the end of a run. The answer comes back by StopAnswered.
type Stop struct {
	Worker fleet.Worker
	Run    fleet.RunID
	Fence  int64
	// Patience is how long to wait for the answer.
	Timeout time.Duration
}

// Look asks for a worker's lists. The answer comes back by Listed or
// LookFailed with the same number.
type Poll struct {
	Worker       fleet.Worker
	Number       int64
	Fence        int64
	Acknowledged int64
	LeaseUntil   time.Duration
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
	// Patience is how long to wait for the answer beyond that.
	Timeout time.Duration
}

// Tell sends an outcome to the host of the task's job.
type SendOutcome struct{ Outcome offer.Outcome }

// Sight sends a sighting to all hosts.
type AnnounceInventory struct{ Inventory offer.Inventory }

// Dropped says that this host has let go of a worker.
type Released struct {
	Worker string
	Why    string
}

// Note is a decision for the log.
type LogEvent struct {
	Message string
	Worker  string
	Why     string
}

func (Start) action()             {}
func (Stop) action()              {}
func (Poll) action()              {}
func (SendOutcome) action()       {}
func (AnnounceInventory) action() {}
func (Released) action()          {}
func (LogEvent) action()          {}

// waiting is an offered task that waits for room.
type waiting struct {
	offer.Task
	offered time.Time
}

// Pool is the set of workers that this host owns. It is not safe for
// concurrent use.
type Pool struct {
	cfg     Config
	workers map[string]*worker
	// order lists the workers by id, for repeatable decisions.
	order   []*worker
	queue   []*waiting
	actions []Action
	looks   int64
	paces   paceBook
	// patience is how long orders may go without an answer.
	patience TimeoutEstimator
}

// NewPool returns a pool without workers.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, workers: map[string]*worker{}}
}

// Take returns the actions since the last call.
func (p *Pool) PopActions(now time.Time) []Action {
	p.schedule(now)
	actions := p.actions
	p.actions = nil
	return actions
}

func (p *Pool) emit(a Action) { p.actions = append(p.actions, a) }

// tell reports a task that has, or may have, run.
func (p *Pool) tell(t offer.Task, w *worker, run int, result offer.Result, why string) {
	p.emit(SendOutcome{offer.Outcome{
		Host: t.Host, Task: t.Name, Run: run, FailedRuns: t.FailedRuns, Result: result, MayHaveRun: true,
		Worker: w.info.ID, Fence: w.fence, Why: why,
	}})
}

// giveBack returns a task of which no run has begun here.
func (p *Pool) giveBack(t offer.Task, w string, run int, why string) {
	p.emit(SendOutcome{offer.Outcome{
		Host: t.Host, Task: t.Name, Run: run, FailedRuns: t.FailedRuns, Result: offer.Returned, Worker: w, Why: why,
	}})
}

// Adopt takes a worker over with a fence. What it runs is found out first.
func (p *Pool) Adopt(now time.Time, info fleet.Worker, fence int64) {
	if w, ok := p.workers[info.ID]; ok {
		// The same worker under a newer fence: later orders carry it.
		w.fence = max(w.fence, fence)
		w.info = info
		return
	}
	w := &worker{
		info: info, fence: fence, runs: map[fleet.RunID]*run{}, unrecorded: map[int64]*unrecorded{},
		unclaimed: map[fleet.RunID]bool{}, adopting: true,
	}
	p.workers[info.ID] = w
	p.order = append(p.order, w)
	slices.SortFunc(p.order, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	p.look(now, w, 0)
}

// Update takes a worker's newer entry.
func (p *Pool) Update(info fleet.Worker) {
	w, ok := p.workers[info.ID]
	if !ok {
		return
	}
	if w.born != 0 && info.StartTime > w.born {
		w.renumber(w.granted)
	}
	w.info = info
}

// Drop lets go of a worker at once. What it runs goes on under its lease, so
// that the next owner finds it and the jobs' hosts claim it there.
func (p *Pool) Release(now time.Time, id, why string) {
	if w, ok := p.workers[id]; ok {
		p.drop(now, w, why)
	}
}

// drop forgets a worker. Its runs are orphaned: another owner may find them.
func (p *Pool) drop(now time.Time, w *worker, why string) {
	for _, r := range w.listed() {
		if r.task == nil {
			continue
		}
		p.emit(SendOutcome{offer.Outcome{
			Host: r.task.Host, Task: r.id.Task, Run: r.id.Run, FailedRuns: r.task.FailedRuns, Result: offer.Orphaned, MayHaveRun: true,
			Worker: w.info.ID, Fence: w.fence, Why: why, MaxRemaining: max(0, w.leasesOver().Sub(now)),
		}})
	}
	p.forget(w, why)
}

func (p *Pool) forget(w *worker, why string) {
	delete(p.workers, w.info.ID)
	p.order = slices.DeleteFunc(p.order, func(o *worker) bool { return o == w })
	p.emit(Released{Worker: w.info.ID, Why: why})
}

// Offer queues a task.
func (p *Pool) Offer(now time.Time, t offer.Task) {
	t.NextRun = max(1, t.NextRun)
	p.queue = append(p.queue, &waiting{Task: t, offered: now})
}

// Withdraw drops a job's waiting tasks and stops its runs. Nothing is told.
func (p *Pool) Withdraw(now time.Time, host, job string) {
	p.withdraw(now, func(t *offer.Task) bool { return t.Host == host && t.Name.Job == job })
}

// Recall gives back the tasks of a job that wait here.
func (p *Pool) Recall(host, job string) {
	p.queue = slices.DeleteFunc(p.queue, func(q *waiting) bool {
		if q.Host != host || q.Name.Job != job {
			return false
		}
		p.giveBack(q.Task, "", q.NextRun-1, "recalled")
		return true
	})
}

// Begun notes that a task of a job has started, here or elsewhere: the others
// are worth more now.
func (p *Pool) TaskStarted(host, job string) {
	for _, q := range p.queue {
		if q.Host == host && q.Name.Job == job {
			q.JobStarted = true
		}
	}
}

// HostLost withdraws everything that a host asked for: its callers will send
// their jobs again elsewhere, and nothing of them may then still run.
func (p *Pool) HostLost(now time.Time, host string) {
	p.withdraw(now, func(t *offer.Task) bool { return t.Host == host })
}

func (p *Pool) withdraw(now time.Time, match func(*offer.Task) bool) {
	p.queue = slices.DeleteFunc(p.queue, func(q *waiting) bool { return match(&q.Task) })
	for _, w := range p.order {
		for _, r := range w.listed() {
			if r.task != nil && match(r.task) {
				r.task = nil
				p.stop(now, w, r)
			}
		}
	}
}

// ReturnQueue gives every waiting task back, for a planned stop.
func (p *Pool) ReturnQueue(why string) {
	for _, q := range p.queue {
		p.giveBack(q.Task, "", q.NextRun-1, why)
	}
	p.queue = nil
}

// Shed gives tasks back that wait although others have room for them.
func (p *Pool) HandOff(now time.Time, rooms []offer.WorkerCapacity) {
	p.queue = slices.DeleteFunc(p.queue, func(q *waiting) bool {
		if now.Sub(q.offered) < shedAfter {
			return false
		}
		for i := range rooms {
			if rooms[i].Service == q.Service && q.Size.Fits(rooms[i].Free) {
				rooms[i].Free = rooms[i].Free.Sub(q.Size)
				p.giveBack(q.Task, "", q.NextRun-1, "another host has room")
				return true
			}
		}
		return false
	})
}

// Waiting returns how many tasks wait.
func (p *Pool) QueueLength() int { return len(p.queue) }

// Idle reports whether nothing waits or runs.
func (p *Pool) Idle() bool {
	for _, w := range p.order {
		if len(w.runs) > 0 {
			return false
		}
	}
	return len(p.queue) == 0
}

// Owned returns the ids of the workers, in order.
func (p *Pool) WorkerIDs() []string {
	ids := make([]string, len(p.order))
	for i, w := range p.order {
		ids[i] = w.info.ID
	}
	return ids
}

// Report says what room there is.
func (p *Pool) Report(now time.Time) offer.CapacityReport {
	r := offer.CapacityReport{QueuedWork: map[int]int64{}}
	for _, w := range p.order {
		if !w.usable(now) {
			continue
		}
		r.Capacity += w.info.Capacity.MilliCPU
		r.Workers = append(r.Workers, offer.WorkerCapacity{ID: w.info.ID, Service: w.info.Service, Free: w.free()})
		for _, run := range w.listed() {
			if run.task != nil {
				length := max(shortestRun, p.paces.expect(w, run.task.Estimate))
				r.FreeingRate += int64(run.size.MilliCPU) * int64(time.Second) / int64(length)
			}
		}
	}
	for _, q := range p.queue {
		r.QueuedWork[q.Priority] += work(q.Size, q.Estimate)
	}
	return r
}

func work(s fleet.Size, d time.Duration) int64 { return int64(s.MilliCPU) * d.Milliseconds() }
