// Package host combines the decisions of one entry host: which workers it owns,
// what runs on them, where the tasks of its callers' jobs are offered, and which
// stored jobs it drives. It does no I/O: events and the time are its input,
// actions its output. Messages of the host to itself are handled internally.
package host

import (
	"cmp"
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/coordinator"
	"github.com/parsleyhill/parsleyhill/internal/decide/evacuation"
	"github.com/parsleyhill/parsleyhill/internal/decide/flow"
	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/ownership"
	"github.com/parsleyhill/parsleyhill/internal/decide/policy"
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/decide/speed"
	"github.com/parsleyhill/parsleyhill/internal/decide/workerpool"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Config holds the identity of a host and the configuration of its parts.
type Config struct {
	Name string
	Zone string
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTime bounds the time that the stop of a run takes after its answer; zero for the
	// default.
	StopTime time.Duration
	// Partitions is the number of partitions that a zone's group assigns to its
	// members.
	Partitions int
	// Nonce makes the host's fences differ from those of other hosts.
	Nonce int64
	// Ledger configures the ledger of stored jobs.
	Ledger ledger.Config
	// Policy tells which scheduling policies may act.
	Policy policy.Settings
	// RemoteSlowdown is the factor on the run time of a task away from the rack that
	// it names, unitless; zero if the platform states none.
	RemoteSlowdown float64
}

// remoteSlowdown returns the factor by which the waits for racks are decided, or
// zero if tasks do not wait for their racks.
func (c *Config) remoteSlowdown() float64 {
	if !c.Policy.NearWait.Enabled() {
		return 0
	}
	return c.RemoteSlowdown
}

// Action is a request to the event loop: an order to a worker (workerpool.Start,
// workerpool.Stop, workerpool.Poll), a message to other hosts (Send, Broadcast),
// an answer to a caller (coordinator.Answer), an append to the log of stored
// jobs (Append), or a report of a stored job that was read (ledger.JobRead) or has ended (ledger.JobEnded), of one that
// cannot run (ledger.JobSetAside), of the
// cancellation of another job (ledger.UnknownCancelled), of a shard that
// was handed over (ledger.RunsHandedOver), of a task that was not done (TaskNotDone), of a claimed run (RunClaimed),
// of a decision (LogEvent),
// or of an evacuated or readmitted zone (ZoneChanged).
type Action any

// Message is a message from one host to another: Offers, Withdrawal,
// TaskWithdrawal, TaskLoss, Recall, JobStarted, LogAppended, offer.Claim,
// offer.Outcome, offer.Inventory or Evacuations.
type Message any

// Offers asks the receiver to run tasks on its workers.
type Offers struct{ Tasks []offer.Task }

// Withdrawal cancels the tasks of a job: those in the queue are dropped and runs
// are stopped.
type Withdrawal struct{ Job string }

// TaskWithdrawal cancels one task of a job, like Withdrawal.
type TaskWithdrawal struct{ Task fleet.TaskName }

// TaskLoss reports a crash under a run of a best-effort job, which its caller may
// submit again to the receiver.
type TaskLoss struct {
	Task fleet.TaskName
	Loss quarantine.Loss
}

// Recall asks the receiver to return the tasks of a job that are still in its
// queue, so that the coordinator can offer them elsewhere or refuse the job.
type Recall struct{ Job string }

// JobStarted reports that a task of a job has started, which makes the others
// more urgent.
type JobStarted struct{ Job string }

// LogAppended carries entries that were appended to the log of stored jobs, so
// that other hosts need not wait for their next log read.
type LogAppended struct{ Entries []ledger.Entry }

// Send sends a message to one host.
type Send struct {
	Host    string
	Message Message
}

// Broadcast sends a message to every other host.
type Broadcast struct{ Message Message }

// LogEvent is a decision to be written to the process log.
type LogEvent struct {
	Message string
	Worker  string
	Why     string
	Fence   int64
}

// Append asks for entries to be appended to the log of stored jobs. The caller
// confirms it with Core.Appended.
type Append struct {
	Entries []ledger.Entry
	// Ends are the run ends among the entries, with the workers that list them.
	Ends []workerpool.RecordEnd
	// Holds are the holds of runs among the entries.
	Holds []workerpool.RecordHold
}

// Core holds the decisions of one host. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	Pool        *workerpool.Pool
	Coordinator *coordinator.Coordinator
	Ownership   *ownership.Tracker
	Ledger      *ledger.Ledger
	// Evacuations holds the evacuated zones. It is changed by ChangeEvacuations and
	// ListEvacuations only.
	Evacuations *evacuation.Set
	// speeds is the model of the workers' speeds, or nil.
	speeds *speed.Model
	// Flow limits the work in flight while the host is saturated; nil if the policy
	// is off.
	Flow *flow.Limiter
	// stopping is set once a planned stop has begun, givesUpShards once this host hands
	// its shards over, and leaving once it hands its workers over.
	stopping, givesUpShards, leaving bool
	stopBegan                        time.Time
	actions                          []Action
	// reportedAt is when the coordinator last received the pool's report.
	reportedAt time.Time
	// unsettled is set from the end of a standstill, at resumedAt, until this host has read
	// what was sent to it meanwhile. Awake is how long the host has run since, without
	// further standstills, up to resumedAt. PresentAt is when the host was last settled.
	unsettled            bool
	awake                time.Duration
	resumedAt, presentAt time.Time
}

// New returns a host that owns no workers and drives no jobs.
func New(cfg Config) *Core {
	cfg.Ledger.Host, cfg.Ledger.Nonce = cfg.Name, cfg.Nonce
	jobLog := ledger.New(cfg.Ledger)
	poolConfig := workerpool.DefaultConfig(cfg.MaxLease)
	poolConfig.StopTime = cmp.Or(cfg.StopTime, poolConfig.StopTime)
	poolConfig.IsStored = jobLog.Contains
	poolConfig.IsClassified = jobLog.Classified
	evacuations := &evacuation.Set{}
	poolConfig.Evacuations = evacuations
	var speeds *speed.Model
	if cfg.Policy.UnequalWorkers.Enabled() {
		speeds = speed.New()
	}
	poolConfig.Speeds = speeds
	if cfg.Policy.Saturation.Enabled() {
		poolConfig.Flow = &flow.Limiter{}
	}
	poolConfig.RemoteSlowdown = cfg.remoteSlowdown()
	poolConfig.Sharing = cfg.Policy.SharedCapacity.Enabled()
	coordination := coordinator.New(coordinator.Config{
		Self: cfg.Name, Zone: cfg.Zone, MaxLease: cfg.MaxLease, StopTime: poolConfig.StopTime, Evacuations: evacuations, RemoteSlowdown: cfg.remoteSlowdown(),
		Sharing: cfg.Policy.SharedCapacity.Enabled(),
		Speeds:  speeds, Flow: poolConfig.Flow,
	})
	poolConfig.HasLabel = coordination.HasLabel
	owned := ownership.New(cfg.Partitions, cfg.Nonce)
	poolConfig.Held = owned.Held
	return &Core{
		cfg:         cfg,
		Ledger:      jobLog,
		Evacuations: evacuations,
		speeds:      speeds,
		Flow:        poolConfig.Flow,
		Pool:        workerpool.NewPool(poolConfig),
		Coordinator: coordination,
		Ownership:   owned,
	}
}

// LogRead records that the log of stored jobs has been read to its end by a
// request that was sent at the given time.
func (c *Core) LogRead(sent time.Time) {
	c.Ledger.LogRead(sent)
}

// Appended records that the entries of a are in the log. It sends them to the
// other hosts, and lets the pool acknowledge the run ends to their workers.
func (c *Core) Appended(now time.Time, a Append) {
	c.Ledger.Apply(now, a.Entries)
	c.emit(Broadcast{Message: LogAppended{Entries: a.Entries}})
	for _, end := range a.Ends {
		c.Pool.EndRecorded(now, end)
	}
	for _, hold := range a.Holds {
		c.Pool.HoldRecorded(hold)
	}
}

// Tick performs the actions that are due at the given time: renewals, retries
// and expirations. It also returns queued tasks for which other hosts have free
// capacity.
func (c *Core) Tick(now time.Time) {
	c.settle(now)
	c.handOverToSuccessors(now)
	c.Pool.HostHeard(c.cfg.Name, now)
	c.Pool.HostPresent(c.cfg.Name, c.PresentAt(now))
	c.Ledger.Tick(now)
	c.Ledger.Handovers(now, c.Coordinator.StoredRuns)
	c.applyLedger(now)
	c.Pool.Tick(now)
	c.Coordinator.Tick(now)
	// During saturation the pool returns only tasks that would be late here: each
	// task that is offered again is sent over the link again.
	if c.Pool.QueueLength() > 0 && !c.Flow.Saturated() {
		c.Pool.HandOff(now, c.Coordinator.RemoteFreeCapacity())
	}
}

// HostHeard records that another host was there at the given time, which is the time at
// which it sent what was received.
func (c *Core) HostHeard(host string, at time.Time) { c.Pool.HostHeard(host, at) }

// HostPresent records the time up to which another host knows which of its callers have
// left.
func (c *Core) HostPresent(host string, at time.Time) { c.Pool.HostPresent(host, at) }

// Joined records the answer to a join of a zone's group: the generation and the partitions
// that the store assigns to this host, and when the join was sent.
func (c *Core) Joined(now, sent time.Time, s ownership.Seat, generation int64, partitions []int) {
	c.Ownership.Joined(s, generation, partitions)
	c.Ownership.Confirmed(s, sent, now)
}

// maxReportAge bounds the age of the coordinator's view of the host's own workers
// while these produce no actions.
const maxReportAge = 20 * time.Millisecond

// UpdateWorker adds a worker or updates its entry. An entry that is older than
// the one in use has no effect: a read of the store may return former entries,
// with a larger capacity or without the announcement that the worker leaves.
func (c *Core) UpdateWorker(now time.Time, w fleet.Worker) {
	if c.Ownership.IsOutdated(w) {
		return
	}
	if w.ColdLeft > 0 {
		w.ColdUntil = now.Add(w.ColdLeft)
	}
	c.Ownership.UpdateWorker(w)
	c.Coordinator.UpdateWorker(now, w)
	c.speeds.Register(now, w)
}

// RemoveWorker removes a worker whose entry was deleted.
func (c *Core) RemoveWorker(id string) {
	c.Ownership.RemoveWorker(id)
	c.Coordinator.RemoveWorker(id)
	c.speeds.Remove(id)
}

// WorkersListed removes all workers that are missing from a complete list.
func (c *Core) WorkersListed(present map[string]bool) {
	for _, id := range c.Ownership.Missing(present) {
		c.RemoveWorker(id)
	}
}

// HostReached handles a new stream to another host.
func (c *Core) HostReached(name string) { c.Pool.HostReached(name) }

// HostLost handles the loss of contact with another host.
func (c *Core) HostLost(now time.Time, name string) {
	c.Pool.HostLost(now, name)
	c.Coordinator.HostLost(now, name)
}

// UpdateHost updates another host's report of its free capacity and queue.
func (c *Core) UpdateHost(now time.Time, name, zone string, r offer.CapacityReport) {
	c.Coordinator.UpdateHost(now, name, zone, r)
	for _, w := range r.Workers {
		if w.RelativeTimeRuns > 0 {
			c.speeds.Receive(now, w.ID, w.Service, w.RelativeTime, w.RelativeTimeRuns)
		}
	}
}

// Report returns this host's report of its free capacity and queue.
func (c *Core) Report(now time.Time) offer.CapacityReport {
	r := c.Pool.Report(now)
	r.Stopping, r.Leaving, r.Saturated = c.stopping, c.leaving, c.Flow.Saturated()
	return r
}

// Receive handles a message from another host.
func (c *Core) Receive(now time.Time, from string, m Message) {
	switch m := m.(type) {
	case Offers:
		for _, t := range m.Tasks {
			t.Host = from
			c.Pool.Offer(now, t)
		}
		c.reportedAt = time.Time{}
	case Withdrawal:
		c.Pool.Withdraw(now, from, m.Job)
	case TaskWithdrawal:
		c.Pool.WithdrawTask(now, from, m.Task)
	case TaskLoss:
		c.Coordinator.LossShared(now, m.Task, m.Loss)
	case Recall:
		c.Pool.Recall(from, m.Job)
	case JobStarted:
		c.Pool.TaskStarted(from, m.Job)
	case LogAppended:
		c.Ledger.Apply(now, m.Entries)
	case offer.Claim:
		m.Task.Host = from
		if m.Task.Stored && c.Ledger.HasHandedOver(from, m.Task.Name.Job, m.Task.Takeover) {
			// The next driver claims the run.
			c.emit(LogEvent{Message: "late claim returned", Worker: m.Worker, Why: "handed over by " + from})
			c.Pool.LateClaim(m)
			return
		}
		c.Pool.Claimed(now, m)
	case offer.Outcome:
		c.outcome(now, from, m)
	case offer.Inventory:
		c.Coordinator.HandleInventory(now, from, m)
	case Evacuations:
		c.ChangeEvacuations(now, from, m.Changes)
	}
}

// RunClaimed reports, for the process log, that this host claims a run that a worker's
// new owner has found.
type RunClaimed struct {
	Owner  string
	Worker string
	Run    fleet.RunID
	Before coordinator.ClaimedTask
}

// TaskNotDone reports, for the process log, an outcome other than that a task
// started or was done.
type TaskNotDone struct {
	Owner   string
	Outcome offer.Outcome
}

func (c *Core) outcome(now time.Time, from string, o offer.Outcome) {
	if o.Result == offer.Started {
		c.Ledger.JobStarted(o.Task.Job)
	}
	if o.Result != offer.Done && o.Result != offer.Started {
		c.actions = append(c.actions, TaskNotDone{Owner: from, Outcome: o})
	}
	c.Coordinator.HandleOutcome(now, from, o)
}

// Reconcile passes the actions of each part to the others until none is left,
// and returns those for the event loop.
func (c *Core) Reconcile(now time.Time) []Action {
	c.Ledger.Expire(now)
	for {
		c.applyLedger(now)
		ownershipActions, poolActions := c.Ownership.PopActions(), c.Pool.PopActions(now)
		if len(poolActions) > 0 || now.Sub(c.reportedAt) >= maxReportAge {
			c.reportedAt = now
			c.Coordinator.UpdateHost(now, c.cfg.Name, c.cfg.Zone, c.Report(now))
		}
		coordinatorActions := c.Coordinator.PopActions()
		if len(ownershipActions)+len(poolActions)+len(coordinatorActions) == 0 {
			break
		}
		for _, a := range ownershipActions {
			c.applyOwnership(now, a)
		}
		for _, a := range poolActions {
			c.applyPool(now, a)
		}
		for _, a := range coordinatorActions {
			c.applyCoordination(now, a)
		}
	}
	actions := c.actions
	c.actions = nil
	return actions
}

// applyLedger applies the ledger's actions: which stored jobs to drive or
// release, and what to append to their log.
func (c *Core) applyLedger(now time.Time) {
	for _, a := range c.Ledger.PopActions() {
		switch a := a.(type) {
		case ledger.Drive:
			c.Coordinator.SubmitStored(now, a)
		case ledger.Release:
			c.Coordinator.ReleaseStored(now, a.Job, a.Why)
		case ledger.Pause:
			c.Coordinator.PauseStored(a.Jobs)
		case ledger.HandoverListed:
			c.Coordinator.HandoverListed(a.Jobs)
		case ledger.LetGo:
			c.Coordinator.LetGoStored(now, a.Jobs)
		case ledger.RunsHandedOver:
			c.Pool.HandedOver(now, a.Host, a.Takeovers, a.Runs)
			c.emit(a)
		case ledger.TaskDone:
			c.Coordinator.TaskRecorded(now, a.RunID)
		case ledger.RunFailed:
			c.Coordinator.FailureRecorded(now, a.RunID)
		case ledger.HoldRead:
			c.Coordinator.RunHeld(now, a.RunHeld)
		case ledger.JobRead, ledger.JobEnded, ledger.JobSetAside, ledger.UnknownCancelled:
			c.emit(a)
		case ledger.AppendEntries:
			c.emit(Append{Entries: a.Entries})
		case ledger.LogEvent:
			c.emit(LogEvent{Message: a.Message, Worker: "", Why: fmt.Sprintf("shard %d: %s", a.Shard, a.Why)})
		}
	}
	// The coordinator counts a reading once it knows all that was read.
	c.Coordinator.SetLogReadTime(c.Ledger.AsOf())
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) applyOwnership(now time.Time, a ownership.Action) {
	switch a := a.(type) {
	case ownership.Adopt:
		c.emit(LogEvent{Message: "worker adopted", Worker: a.Worker.ID, Why: "zone " + a.Worker.Zone, Fence: a.Fence})
		c.Pool.Adopt(now, a.Worker, a.Fence)
	case ownership.Release:
		c.Pool.Release(now, a.Worker, a.Why)
	case ownership.Update:
		c.Pool.Update(a.Worker)
	}
}

func (c *Core) applyPool(now time.Time, a workerpool.Action) {
	switch a := a.(type) {
	case workerpool.SendOutcome:
		if a.Outcome.Host == c.cfg.Name {
			c.outcome(now, c.cfg.Name, a.Outcome)
		} else {
			c.emit(Send{Host: a.Outcome.Host, Message: a.Outcome})
		}
	case workerpool.AnnounceInventory:
		if a.Host != "" {
			c.emit(Send{Host: a.Host, Message: a.Inventory})
			return
		}
		c.Coordinator.HandleInventory(now, c.cfg.Name, a.Inventory)
		c.emit(Broadcast{Message: a.Inventory})
	case workerpool.Replaced:
		c.Ownership.Replaced(a.Worker)
	case workerpool.Released:
		c.Ownership.Released(a.Worker)
		c.emit(LogEvent{Message: "worker dropped", Worker: a.Worker, Why: a.Why})
	case workerpool.RecordEnd:
		c.emit(Append{Entries: []ledger.Entry{ledger.RunEnded{RunID: a.End.RunID, Reason: a.End.Reason}}, Ends: []workerpool.RecordEnd{a}})
	case workerpool.RecordHold:
		c.emit(Append{Entries: []ledger.Entry{ledger.RunHeld{RunID: a.Run, Fence: a.Fence}}, Holds: []workerpool.RecordHold{a}})
	case workerpool.LogEvent:
		c.emit(LogEvent{Message: a.Message, Worker: a.Worker, Why: a.Why})
	default:
		c.emit(a)
	}
}

func (c *Core) applyCoordination(now time.Time, a coordinator.Action) {
	switch a := a.(type) {
	case coordinator.Offer:
		c.send(now, a.Host, Offers{Tasks: a.Tasks})
	case coordinator.Withdraw:
		c.send(now, a.Host, Withdrawal{Job: a.Job})
	case coordinator.WithdrawTask:
		c.send(now, a.Host, TaskWithdrawal{Task: a.Task})
	case coordinator.Recall:
		c.send(now, a.Host, Recall{Job: a.Job})
	case coordinator.JobStarted:
		c.send(now, a.Host, JobStarted{Job: a.Job})
	case coordinator.Claim:
		c.emit(RunClaimed{Owner: a.Host, Worker: a.Claim.Worker, Run: a.Claim.Run(), Before: a.Before})
		c.send(now, a.Host, a.Claim)
	case coordinator.RecordEnd:
		c.emit(Append{Entries: []ledger.Entry{ledger.RunEnded(a)}})
	case coordinator.ShareLoss:
		c.emit(Broadcast{Message: TaskLoss(a)})
	case coordinator.RecordLoss:
		c.emit(Append{Entries: []ledger.Entry{ledger.RunLost(a)}})
	case coordinator.Answer:
		if a.Stored && a.Failed {
			c.Ledger.Fail(a.Job)
		}
		c.emit(a)
	default:
		c.emit(a)
	}
}

// send sends a message to a host. Messages to this host are handled at once.
func (c *Core) send(now time.Time, host string, m Message) {
	if host == c.cfg.Name {
		c.Receive(now, host, m)
		return
	}
	c.emit(Send{Host: host, Message: m})
}
