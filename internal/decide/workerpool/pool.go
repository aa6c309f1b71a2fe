// Package workerpool decides what runs on the workers that this host owns. It
// does no I/O: it receives events and the time, and returns actions.
//
// A worker has one owner at a time, and the worker enforces it: it refuses
// orders with a lower fence than it has seen. The owner tracks exactly what
// occupies a worker: a start without an answer occupies capacity until the
// worker confirms that the run is blocked, or its lease has expired on the
// worker's clock.
package workerpool

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/evacuation"
	"github.com/parsleyhill/parsleyhill/internal/decide/flow"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/sharing"
	"github.com/parsleyhill/parsleyhill/internal/decide/speed"
	"github.com/parsleyhill/parsleyhill/internal/decide/topology"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Config holds the durations of the pool and its view of stored jobs.
type Config struct {
	// MaxLease is the longest lease that a worker grants; the platform sets it.
	MaxLease time.Duration
	// ClaimTimeout is how long the hosts of jobs have to claim the runs found on
	// a worker that was taken over. It covers two round trips between zones and a
	// scheduling pause, and is well below MaxLease, so that claimed runs are
	// renewed in time.
	ClaimTimeout time.Duration
	// RenewBefore is the remaining time of a lease at which it is renewed.
	RenewBefore time.Duration
	// LongPollWait is the longest time that a poll of an idle worker waits for an
	// end; the workers' interface bounds it.
	LongPollWait time.Duration
	// PollRetryDelay is the delay after a failed poll; it grows with consecutive
	// failures, up to eightfold.
	PollRetryDelay time.Duration
	// StopRetryDelay is the shortest time between two attempts of a stop.
	StopRetryDelay time.Duration
	// StopTime bounds the time for which a run goes on after its stop was answered. Until
	// then nothing follows from its absence in a list: a worker may list what is being
	// stopped neither as running nor as ended.
	StopTime time.Duration
	// IsStored reports whether this host knows the job as a stored one.
	IsStored func(job string) bool
	// IsClassified reports whether IsStored can tell what kind of job a run
	// belongs to that had ended by the given time: an unknown job may be a stored
	// one that this host has not read of yet. Nil means that it always can.
	IsClassified func(job string, ended time.Time) bool
	// Held returns times between which no other host was assigned a worker of this host;
	// zero times if none are known. Nil means that no other host ever is.
	Held func(worker string) (from, to time.Time)
	// Evacuations holds the evacuated zones; nil means that none ever is. After a
	// change, Pool.EvacuationsChanged must be called.
	Evacuations *evacuation.Set
	// Speeds is the model of the workers' speeds; nil means that speeds do not
	// count.
	Speeds *speed.Model
	// Flow limits the unanswered starts while the host is saturated; nil means
	// that nothing does.
	Flow *flow.Limiter
	// FoundRunHold is how long a run of a stored job that was found on a worker goes on
	// until its driver claims it. The hold is recorded in the log. A driver that has read of
	// it starts the task again no sooner than 1.5 s (coordinator.takeoverTime) later; the run
	// ends before that, also if its stop is lost: at most RenewBefore after the hold.
	FoundRunHold time.Duration
	// HandoverHold is the same for a run that its driver has handed over. A next driver
	// that cannot go on with a handover waits 2.6 s (ledger.Config.TakeoverDelay), of
	// which the former one uses up to 1 s for the handover.
	HandoverHold time.Duration
	// HostTimeout is how long a host may be silent before contact with it counts as lost.
	HostTimeout time.Duration
	// SilentHostHold is the same for a run whose driver contact was lost with. With
	// RenewBefore it is as long as a lease, which is what TakeoverDelay allows for.
	SilentHostHold time.Duration
	// RemoteSlowdown is the factor on the run time of a task away from the rack that
	// it names, unitless. Tasks wait for their racks only if it is above 1.
	RemoteSlowdown float64
	// Sharing lets routes of different priorities share scarce capacity by usual
	// rate and priority.
	Sharing bool
	// HasLabel reports whether a worker, also of another owner, has a label; nil
	// means that only the labels of this host's workers are known.
	HasLabel func(worker, label string) bool
}

// DefaultConfig returns the configuration for leases of maxLease.
func DefaultConfig(maxLease time.Duration) Config {
	return Config{
		MaxLease:       maxLease,
		ClaimTimeout:   150 * time.Millisecond,
		FoundRunHold:   800 * time.Millisecond,
		HandoverHold:   900 * time.Millisecond,
		SilentHostHold: 450 * time.Millisecond,
		HostTimeout:    topology.SilenceTimeout,
		RenewBefore:    maxLease * 55 / 100,
		LongPollWait:   2 * time.Second,
		PollRetryDelay: 50 * time.Millisecond,
		StopRetryDelay: 50 * time.Millisecond,
		StopTime:       defaultStopTime,
	}
}

const (
	// defaultStopTime is used where the platform names no limit.
	defaultStopTime = 50 * time.Millisecond
	// handOffAfter is how long a task waits before it may go to another host with
	// free capacity: the round trip to that host, which handing off costs.
	handOffAfter = 8 * time.Millisecond
	// overdueAfter is how long after a run's expected end its worker is polled,
	// and the minimum interval between such polls. Ends are normally reported
	// one by one by the long poll, whose answer may be lost.
	overdueAfter = 50 * time.Millisecond
	// minRunTime bounds the rate at which one run is expected to free its capacity.
	minRunTime = 10 * time.Millisecond
	// leaseMargin covers the granularity of the clocks at the end of a lease.
	leaseMargin = 30 * time.Millisecond
)

// Action is an effect for the caller to execute.
type Action interface{ action() }

// Start orders a run at a worker. Its verdict comes back by Pool.StartAnswered.
type Start struct {
	Worker fleet.Worker
	Run    fleet.RunID
	Spec   string
	Fence  int64
	// LeaseUntil is on the worker's clock.
	LeaseUntil time.Duration
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
	// Placement is the part that speeds had in the choice of the worker.
	Placement speed.Reason
	// GiveUp is how long the request may go on after all; if it is longer than
	// Timeout, Pool.StartLate is called meanwhile.
	GiveUp time.Duration
	// Host is the entry host that answers the job's caller, and Submission its number of the
	// job's submission.
	Host       string
	Submission int64
}

// Stop orders the end of a run. The answer comes back by Pool.StopAnswered.
type Stop struct {
	Worker fleet.Worker
	Run    fleet.RunID
	Fence  int64
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
	// Host is the entry host that answers, or answered, the job's caller; it is empty if
	// this host does not know it. Submission is its number of the job's submission.
	Host       string
	Submission int64
	// Why is the reason for the stop, for logs.
	Why StopReason
	// LeaseLeft is how long the run may still go on if the stop is lost.
	LeaseLeft time.Duration
}

// StopReason is the reason for which a run is stopped.
type StopReason string

// The reasons.
const (
	// StopWithdrawn means that the host of the job does not need the run any more.
	StopWithdrawn StopReason = "withdrawn"
	// StopHostLost means that contact with the host of the job was lost.
	StopHostLost StopReason = "host of the job lost"
	// StopUnclaimed means that no host claimed the run in time.
	StopUnclaimed StopReason = "unclaimed"
	// StopFormerOrder means that the worker received an order of a former owner late.
	StopFormerOrder StopReason = "order of a former owner"
	// StopNoAnswer means that the start was not answered.
	StopNoAnswer StopReason = "start not answered"
	// StopStraggler means that the run is far slower than expected.
	StopStraggler StopReason = "straggler"
)

// Poll requests a worker's lists of active and ended runs. The answer comes back
// by Pool.PollAnswered or Pool.PollFailed with the same number.
type Poll struct {
	Worker fleet.Worker
	Number int64
	Fence  int64
	// Acknowledged is the number up to which ends are acknowledged, and StartTime identifies
	// the incarnation of the worker that numbered them.
	Acknowledged, StartTime int64
	// LeaseUntil renews the leases of all runs, on the worker's clock; zero
	// renews nothing.
	LeaseUntil time.Duration
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
	// Timeout is how long to wait for the answer in addition to Wait.
	Timeout time.Duration
}

// SendOutcome sends an outcome to the host of the task's job.
type SendOutcome struct{ Outcome offer.Outcome }

// AnnounceInventory sends an inventory to all hosts, or to Host if it is set.
type AnnounceInventory struct {
	Inventory offer.Inventory
	Host      string
}

// Released reports that this host has released a worker.
type Released struct {
	Worker string
	Why    string
}

// Replaced reports that another worker answers at a worker's address.
type Replaced struct{ Worker string }

// LogEvent is a decision to be logged.
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
func (Replaced) action()          {}
func (LogEvent) action()          {}

// queuedTask is an offered task that waits for free capacity.
type queuedTask struct {
	offer.Task
	offeredAt time.Time
	// need is what the task needs to be on time; it counts if speedsDecide is set.
	need         speed.Need
	speedsDecide bool
	// waitsForFast is set once the task waits for a fast worker.
	waitsForFast bool
	// nearUntil is when a wait for a worker of the task's rack is reviewed, or zero.
	nearUntil time.Time
	// waited is set once the task could not start for lack of capacity.
	waited bool
	// place is the task's place in the order by shares; it counts if shared is set.
	place  sharing.Waiting
	shared bool
}

// Pool is the set of workers that this host owns. It is not safe for
// concurrent use.
type Pool struct {
	cfg     Config
	workers map[string]*worker
	// order lists the workers by ID, which makes decisions deterministic.
	order   []*worker
	queue   []*queuedTask
	actions []Action
	// lastPoll is the number of the last poll that was sent.
	lastPoll int64
	paces    fleetPace
	// longTasks is the share of tasks that take far longer than expected.
	longTasks longTasks
	// reserved is the worker that starts no other tasks until an exclusive task
	// can start on it, or nil.
	reserved *worker
	// speedsActive tells for which services speeds decide, as last reported.
	speedsActive map[string]bool
	// callsLostAt is when a worker that answers other calls last did not answer one.
	callsLostAt time.Time
	// timeouts estimates how long the answer to an order may take.
	timeouts TimeoutEstimator
	near     nearState
	sharing  sharingState
	// endedUnclaimed holds the runs that ended without a result while no host waited for
	// them, with the time at which their end was read.
	endedUnclaimed map[fleet.RunID]time.Time
	// heard holds when other hosts were last known to be there, and present up to when
	// they know which of their callers have left.
	heard, present map[string]time.Time
	// scheduledAt is when the queue was last looked through, and considered counts the
	// workers that were considered for waiting tasks.
	scheduledAt time.Time
	considered  int
}

// NewPool returns a pool without workers.
func NewPool(cfg Config) *Pool {
	if cfg.Evacuations == nil {
		cfg.Evacuations = &evacuation.Set{}
	}
	return &Pool{cfg: cfg, workers: map[string]*worker{}, endedUnclaimed: map[fleet.RunID]time.Time{}, heard: map[string]time.Time{}, present: map[string]time.Time{}}
}

// PopActions starts the tasks that fit, and returns and clears the pending
// actions.
func (p *Pool) PopActions(now time.Time) []Action {
	p.schedule(now)
	actions := p.actions
	p.actions = nil
	return actions
}

func (p *Pool) emit(a Action) { p.actions = append(p.actions, a) }

// sendOutcome reports the outcome of a task that has, or may have, run.
func (p *Pool) sendOutcome(t offer.Task, w *worker, run int, result offer.Result, why string) {
	p.emit(SendOutcome{w.outcome(t, run, result, why)})
}

func (w *worker) outcome(t offer.Task, run int, result offer.Result, why string) offer.Outcome {
	return outcomeOf(t, w.info.ID, w.fence, run, result, why)
}

// outcomeOf returns the outcome of a task that has, or may have, run on a worker
// that is, or was, owned under a fence.
func outcomeOf(t offer.Task, worker string, fence int64, run int, result offer.Result, why string) offer.Outcome {
	return offer.Outcome{
		Host: t.Host, Task: t.Name, Submission: t.Submission, Run: run, FailedRuns: t.FailedRuns, Result: result, MayHaveRun: true,
		Worker: worker, Fence: fence, Why: why,
	}
}

// returnTask returns a task of which no run has started here.
func (p *Pool) returnTask(t offer.Task, w string, run int, why string) {
	p.emit(SendOutcome{offer.Outcome{
		Host: t.Host, Task: t.Name, Submission: t.Submission, Run: run, FailedRuns: t.FailedRuns, Result: offer.Returned, Worker: w, Why: why,
	}})
}

// Adopt takes over a worker under a fence. The worker starts no tasks until a
// first poll has listed the runs on it.
func (p *Pool) Adopt(now time.Time, info fleet.Worker, fence int64) {
	if w, ok := p.workers[info.ID]; ok {
		// A newer fence for an owned worker applies to later orders.
		w.fence = max(w.fence, fence)
		p.setInfo(w, info)
		return
	}
	w := &worker{
		fence: fence, runs: map[fleet.RunID]*run{}, unrecorded: map[int64]*unrecordedEnd{},
		unclaimed: map[fleet.RunID]bool{}, adopting: true,
	}
	p.setInfo(w, info)
	p.workers[info.ID] = w
	p.order = append(p.order, w)
	slices.SortFunc(p.order, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	p.poll(now, w)
}

// Update records a worker's newer registration.
func (p *Pool) Update(info fleet.Worker) {
	w, ok := p.workers[info.ID]
	if !ok {
		return
	}
	if w.startTime != 0 && info.StartTime > w.startTime {
		w.resetEndNumbers(w.latestLeaseEnd)
	}
	p.setInfo(w, info)
}

// Release releases a worker at once. Its runs continue under their leases, so
// that the next owner finds them and the hosts of their jobs claim them there.
func (p *Pool) Release(now time.Time, id, why string) {
	if w, ok := p.workers[id]; ok {
		p.release(now, w, why)
	}
}

// release reports the worker's runs as orphaned and removes it: another owner
// may find them.
func (p *Pool) release(now time.Time, w *worker, why string) {
	for _, r := range w.sortedRuns() {
		p.reportOrphaned(now, w, r, why)
	}
	p.removeWorker(w, why)
}

// reportOrphaned reports that a run may go on under another owner.
func (p *Pool) reportOrphaned(now time.Time, w *worker, r *run, why string) {
	if r.task == nil {
		return
	}
	o := w.outcome(*r.task, r.id.Run, offer.Orphaned, why)
	o.MaxRemaining = max(0, w.leaseExpiry().Sub(now))
	p.emit(SendOutcome{o})
}

func (p *Pool) removeWorker(w *worker, why string) {
	delete(p.workers, w.info.ID)
	p.order = slices.DeleteFunc(p.order, func(o *worker) bool { return o == w })
	if p.reserved == w {
		p.reserved = nil
	}
	if p.sharing.held == w {
		p.sharing.held = nil
	}
	p.emit(Released{Worker: w.info.ID, Why: why})
}

// Offer queues a task that a host has offered.
func (p *Pool) Offer(now time.Time, t offer.Task) {
	t.NextRun = max(1, t.NextRun)
	p.observeRack(now, t.Affinity)
	p.observeArrival(now, &t)
	p.queue = append(p.queue, &queuedTask{Task: t, offeredAt: now})
}

// Recall returns the waiting tasks of a job.
func (p *Pool) Recall(host, job string) {
	p.queue = slices.DeleteFunc(p.queue, func(q *queuedTask) bool {
		if q.Host != host || q.Name.Job != job {
			return false
		}
		p.returnTask(q.Task, "", q.NextRun-1, "recalled")
		return true
	})
}

// TaskStarted records that a task of a job has started, here or at another
// owner, which raises the urgency of the job's waiting tasks.
func (p *Pool) TaskStarted(host, job string) {
	for _, q := range p.queue {
		if q.Host == host && q.Name.Job == job {
			q.JobStarted = true
		}
	}
}

// ReturnQueue returns all waiting tasks, for a planned stop.
func (p *Pool) ReturnQueue(why string) {
	for _, q := range p.queue {
		p.returnTask(q.Task, "", q.NextRun-1, why)
	}
	p.queue = nil
}

// HandOff returns waiting tasks that fit into the free capacity of other hosts'
// workers. It reduces the free capacities in others accordingly.
func (p *Pool) HandOff(now time.Time, others []offer.WorkerCapacity) {
	mostFree := map[string]int{}
	for _, o := range others {
		mostFree[o.Service] = max(mostFree[o.Service], o.Free.MilliCPU)
	}
	p.queue = slices.DeleteFunc(p.queue, func(q *queuedTask) bool {
		if now.Sub(q.offeredAt) < handOffAfter || q.Exclusive || q.Size.MilliCPU > mostFree[q.Service] {
			return false
		}
		p.considered += len(others)
		for i := range others {
			if others[i].Service == q.Service && q.Size.Fits(others[i].Free) && !q.staysForSpeed(others[i]) {
				if p.keepsNear(now, q, others) {
					return false
				}
				others[i].Free = others[i].Free.Sub(q.Size)
				p.returnTask(q.Task, "", q.NextRun-1, "another host has free capacity")
				return true
			}
		}
		return false
	})
}

// Considered returns the number of workers, counted again for each task and time,
// that were considered for waiting tasks.
func (p *Pool) Considered() int { return p.considered }

// QueueLength returns the number of waiting tasks.
func (p *Pool) QueueLength() int { return len(p.queue) }

// Idle reports whether no task waits and no run occupies a worker.
func (p *Pool) Idle() bool {
	for _, w := range p.order {
		if len(w.runs) > 0 {
			return false
		}
	}
	return len(p.queue) == 0
}

// WorkerIDs returns the IDs of the owned workers in ascending order.
func (p *Pool) WorkerIDs() []string {
	ids := make([]string, len(p.order))
	for i, w := range p.order {
		ids[i] = w.info.ID
	}
	return ids
}

// Report returns the free capacity and the queued work of this host.
func (p *Pool) Report(now time.Time) offer.CapacityReport {
	r := offer.CapacityReport{QueuedWork: map[int]int64{}, Workers: make([]offer.WorkerCapacity, 0, len(p.order))}
	r.Exclusive, r.Routes = p.exclusiveTasks(), p.routeLoads()
	for _, w := range p.order {
		if !w.usable(now) || w == p.reserved || w.hasExclusiveRun() {
			continue
		}
		r.Capacity += w.info.Capacity.MilliCPU
		capacity := offer.WorkerCapacity{ID: w.info.ID, Service: w.info.Service, Free: p.reportedFree(w), Ends: p.nearEnds(now, w)}
		p.reportSpeed(now, w, &capacity)
		r.Workers = append(r.Workers, capacity)
		for _, run := range w.runs {
			if run.task != nil {
				length := max(minRunTime, p.paces.expectedRunTime(w, run.task.Estimate))
				r.FreeingRate += int64(run.size.MilliCPU) * int64(time.Second) / int64(length)
			}
		}
	}
	for _, q := range p.queue {
		r.QueuedWork[q.Priority] += work(q.Size, q.Estimate)
	}
	return r
}

// work returns the work of a task in thousandths of a core times milliseconds.
func work(s fleet.Size, d time.Duration) int64 { return int64(s.MilliCPU) * d.Milliseconds() }
