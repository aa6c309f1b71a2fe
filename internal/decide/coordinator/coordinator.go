// Package coordinator decides, for the jobs that this host answers, to which
// hosts their tasks are offered and when a job is abandoned. It performs no I/O:
// events and the time go in, actions come out.
package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/evacuation"
	"github.com/parsleyhill/parsleyhill/internal/decide/flow"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/decide/sharing"
	"github.com/parsleyhill/parsleyhill/internal/decide/speed"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Config identifies this host and bounds the leases of runs.
type Config struct {
	Self string
	Zone string
	// MaxLease bounds how long a run continues that nobody renews.
	MaxLease time.Duration
	// StopTime bounds how long a run continues after its stop was answered.
	StopTime time.Duration
	// Evacuations holds the evacuated zones; nil means that none ever is. After a
	// change, Coordinator.EvacuationsChanged must be called.
	Evacuations *evacuation.Set
	// Speeds is the model of the workers' speeds; nil means that speeds do not
	// count.
	Speeds *speed.Model
	// Flow tells whether this host is saturated; nil means that it never is.
	Flow *flow.Limiter
	// RemoteSlowdown is the factor on the run time of a task away from the rack that
	// it names, unitless. Racks count in the choice of a host only if it is above 1.
	RemoteSlowdown float64
	// Sharing lets routes of different priorities share scarce capacity by usual
	// rate and priority.
	Sharing bool
}

const (
	// crossZoneDelay is the expected time from an offer to the start plus the time
	// from the end of the run to the answer, between zones.
	crossZoneDelay = 5 * time.Millisecond
	// recallObjectiveShare is the share of its objective after which a job that
	// has not started and is expected to be late is recalled, to be refused. Until
	// then the caller has lost little time.
	recallObjectiveShare = 0.25
	// recallTimeoutShare is the share of the caller's timeout after which a job
	// that has not started is recalled, to be refused, so that the caller still has
	// time to try another host.
	recallTimeoutShare = 0.45
	// recallInterval is the time between two recalls of a job: a round trip
	// between zones, and a start.
	recallInterval = 30 * time.Millisecond
	// admitObjectiveFactor is the multiple of its objective that a job may be
	// expected to take and still be accepted, and recallObjectiveFactor the multiple
	// above which it is recalled at the second check. A late answer is worth more to
	// the caller than none, as long as it delays no other job.
	admitObjectiveFactor  = 1.5
	recallObjectiveFactor = 1.0
	// orphanMargin is added to a lease for the difference between the clocks of
	// host and worker.
	orphanMargin = 60 * time.Millisecond
	// defaultTimeout bounds a job whose caller and queue name no limit.
	defaultTimeout = 30 * time.Second
)

// Action is something for the caller of PopActions to execute.
type Action interface{ action() }

// Offer asks a host to run tasks of one step.
type Offer struct {
	Host  string
	Tasks []offer.Task
}

// Withdraw notifies a host that a job's tasks are no longer needed.
type Withdraw struct {
	Host string
	Job  string
}

// WithdrawTask notifies a host that one task is no longer needed, while others of
// its job may be.
type WithdrawTask struct {
	Host string
	Task fleet.TaskName
}

// Recall asks a host to return the tasks of a job that wait there.
type Recall struct {
	Host string
	Job  string
}

// JobStarted notifies a host that a task of a job has started on another host.
type JobStarted struct {
	Host string
	Job  string
}

// Claim notifies a worker's new owner that a run found there is still needed.
type Claim struct {
	Host  string
	Claim offer.Claim
	// Before is what this host knew of the task before the claim, for logs.
	Before ClaimedTask
}

// ClaimedTask is the state of a task that is claimed, before the claim.
type ClaimedTask struct {
	State string
	// Host is the host that had the task, or empty.
	Host string
	// Worker is the worker that its run was known to be on, or empty.
	Worker string
}

// RecordLoss asks for the loss of a stored job's run to be recorded, so that the
// job's next driver knows of it.
type RecordLoss struct {
	Task fleet.TaskName
	Loss quarantine.Loss
}

// RecordEnd asks for the end of a stored job's run to be recorded. The worker's
// owner may record it too.
type RecordEnd struct {
	fleet.RunID
	Reason fleet.EndReason
}

// ShareLoss tells the other hosts that a worker crashed under a run of a
// best-effort job, which its caller may submit again to any of them.
type ShareLoss struct {
	Task fleet.TaskName
	Loss quarantine.Loss
}

// TaskJudged reports, for the process log, that a task may be the cause of the
// loss of workers, and what happens to it.
type TaskJudged struct {
	Task    fleet.TaskName
	Verdict quarantine.Verdict
	// Crashes is the number of workers known to have crashed under the task.
	Crashes int
}

// Answer reports the end of a job.
type Answer struct {
	Job string
	// Stored is set if no caller waits for the answer.
	Stored bool
	// Err is nil if all tasks are done.
	Err *errkind.Error
	// Failed is set if a task of the job failed as often as its queue allows.
	Failed bool
	// RetryAfter is the delay after which the caller may retry; zero if none is
	// suggested.
	RetryAfter time.Duration
	Summary    Summary
}

// Summary describes an answered job, for the log.
type Summary struct {
	Route        string
	Tasks        int
	Runs         int
	Elapsed      time.Duration
	Objective    time.Duration
	ExpectedWait time.Duration
	Why          string
	// Refusal is the reason for which the job was refused, or empty.
	Refusal Refusal
	// Sharing is the last decision by the shares of routes, or the zero value.
	Sharing sharing.Decision
}

// Refusal is the reason for which a job was refused as not run. While routes share
// scarce capacity it is a sharing.Reason.
type Refusal string

// The other reasons.
const (
	// NoCapacity means that the job would wait too long.
	NoCapacity Refusal = "no_capacity"
	// Evacuated means that the job has nowhere to run because of evacuated zones.
	Evacuated Refusal = "evacuated"
	// Stopping means that the job cannot end before the callers' port of this host does.
	Stopping Refusal = "stopping"
	// Saturated means that this host cannot send the job's tasks in time.
	Saturated Refusal = "saturated"
)

func (Offer) action()        {}
func (Withdraw) action()     {}
func (Recall) action()       {}
func (WithdrawTask) action() {}
func (JobStarted) action()   {}
func (Claim) action()        {}
func (RecordLoss) action()   {}
func (RecordEnd) action()    {}
func (ShareLoss) action()    {}
func (TaskJudged) action()   {}
func (Answer) action()       {}

// host is the last known state of an owner of workers.
type host struct {
	name       string
	zone       string
	report     offer.CapacityReport
	reportedAt time.Time
	// confirmedAt is when the host last sent a report, or a frame without one: its
	// report has not changed much.
	confirmedAt time.Time
	connected   bool
	// offeredWork is the work charged to the host's queue since its last report, by
	// priority, in thousandths of a core times milliseconds.
	offeredWork map[int]int64
	// offeredRoutes is the work offered to the host since its last report, by route.
	// It is empty unless capacity is shared.
	offeredRoutes []offer.RouteLoad
	// offeredExclusive is the number of exclusive tasks offered to the host since
	// its last report.
	offeredExclusive int
}

// Coordinator holds the jobs that this host answers. It is not safe for
// concurrent use.
type Coordinator struct {
	cfg         Config
	hosts       map[string]*host
	sortedHosts []*host
	// nearestHosts are the hosts by the time to reach them, then by name.
	nearestHosts []*host
	jobs         map[string]*job
	workers      registry
	actions      []Action
	// pendingOffers holds the tasks of offers that are not emitted yet, by host.
	pendingOffers map[string][]offer.Task
	// hasUnplaced is set while no host could be chosen for some idle task.
	hasUnplaced bool
	seq         int64
	// suspects are the tasks that lost workers whose fate is unknown.
	suspects map[*task]*job
	// former holds the crashes under tasks of best-effort jobs.
	former formerLosses
	// logReadAt is when the last read of the log was requested.
	logReadAt time.Time
	// evacuating is set while any zone is evacuated.
	evacuating bool
	sharing    sharingState
	fastShare  fastShare
	// resumedAt is when this host went on after it had stood still.
	resumedAt time.Time
	// answerBy is the time by which the jobs are answered during a planned stop, or zero.
	answerBy time.Time
	// considered counts the workers of all hosts that were considered for tasks.
	considered int
}

// New returns a coordinator without jobs.
func New(cfg Config) *Coordinator {
	if cfg.Evacuations == nil {
		cfg.Evacuations = &evacuation.Set{}
	}
	return &Coordinator{
		cfg: cfg, hosts: map[string]*host{}, jobs: map[string]*job{},
		workers: newRegistry(), pendingOffers: map[string][]offer.Task{}, suspects: map[*task]*job{}, former: formerLosses{},
	}
}

// PopActions returns and clears the actions since the last call.
func (c *Coordinator) PopActions() []Action {
	if len(c.pendingOffers) > 0 {
		for _, h := range c.sortedHosts {
			c.flushOffers(h.name)
		}
	}
	actions := c.actions
	c.actions = nil
	return actions
}

// flushOffers emits the pending offers to a host.
func (c *Coordinator) flushOffers(host string) {
	if tasks := c.pendingOffers[host]; len(tasks) > 0 {
		c.emit(Offer{Host: host, Tasks: tasks})
		delete(c.pendingOffers, host)
	}
}

func (c *Coordinator) emit(a Action) { c.actions = append(c.actions, a) }

// Considered returns the number of workers, counted again for each task, that were
// considered for offers.
func (c *Coordinator) Considered() int { return c.considered }

// Len returns the number of unanswered jobs.
func (c *Coordinator) Len() int { return len(c.jobs) }

// UpdateWorker adds or replaces the registration of a worker.
func (c *Coordinator) UpdateWorker(now time.Time, w fleet.Worker) { c.workers.update(now, w) }

// RemoveWorker removes the registration of a worker.
func (c *Coordinator) RemoveWorker(id string) { c.workers.remove(id) }

// UpdateHost stores a host's report of its capacity and offers tasks that had no
// host so far.
func (c *Coordinator) UpdateHost(now time.Time, name, zone string, r offer.CapacityReport) {
	h, ok := c.hosts[name]
	if !ok {
		h = &host{name: name, zone: zone}
		c.hosts[name] = h
		c.sortedHosts = append(c.sortedHosts, h)
		slices.SortFunc(c.sortedHosts, func(a, b *host) int { return cmp.Compare(a.name, b.name) })
		c.nearestHosts = slices.Clone(c.sortedHosts)
		slices.SortStableFunc(c.nearestHosts, func(a, b *host) int { return cmp.Compare(c.reachTime(a), c.reachTime(b)) })
	}
	h.report, h.reportedAt, h.confirmedAt, h.connected = r, now, now, true
	h.offeredWork = nil
	h.offeredRoutes = h.offeredRoutes[:0]
	h.offeredExclusive = 0
	if c.hasUnplaced {
		c.offerIdleTasks(now)
	}
}

// HostLost records that contact with a host was lost. The tasks offered to it
// are orphaned: their runs may continue until their leases expire.
func (c *Coordinator) HostLost(now time.Time, name string) {
	if h, ok := c.hosts[name]; ok {
		h.connected = false
	}
	c.dropMessages(name)
	endsAt := now.Add(c.orphanTimeout())
	for _, j := range c.jobsByArrival() {
		for _, t := range j.tasks {
			if t.host == name && (t.state == taskOffered || t.state == taskStarted) {
				c.interrupted(now, j, t, OwnerLost)
				t.state, t.orphanEndsAt, t.host = taskOrphaned, endsAt, ""
			}
		}
		c.review(now, j)
	}
}

// message is an action that is sent to a host.
type message interface{ to() string }

func (a Offer) to() string        { return a.Host }
func (a Withdraw) to() string     { return a.Host }
func (a Recall) to() string       { return a.Host }
func (a WithdrawTask) to() string { return a.Host }
func (a JobStarted) to() string   { return a.Host }
func (a Claim) to() string        { return a.Host }

// dropMessages drops the messages to a host that have not been sent and cancels the offers
// among them. They would otherwise be sent on a newer stream, and tasks that count as lost
// would still run.
func (c *Coordinator) dropMessages(name string) {
	c.flushOffers(name)
	c.actions = slices.DeleteFunc(c.actions, func(a Action) bool {
		m, ok := a.(message)
		if !ok || m.to() != name {
			return false
		}
		if o, ok := a.(Offer); ok {
			c.cancelOffer(o)
		}
		return true
	})
}

// cancelOffer makes the tasks of an offer that was not sent idle again.
func (c *Coordinator) cancelOffer(o Offer) {
	for _, offered := range o.Tasks {
		if _, t := c.find(offered.Name); t != nil && t.state == taskOffered && t.host == o.Host {
			t.state, t.host = taskIdle, ""
			c.hasUnplaced = true
		}
	}
}

// stopTime returns the longest time for which a run that is being stopped goes on.
func (c *Coordinator) stopTime() time.Duration { return fleet.WithMaxClockDrift(c.cfg.StopTime) }

// orphanTimeout returns how long a run may continue after contact with its owner
// was lost.
func (c *Coordinator) orphanTimeout() time.Duration {
	return fleet.WithMaxClockDrift(c.cfg.MaxLease) + orphanMargin
}

// jobsByArrival returns the jobs sorted by arrival, so that decisions are
// deterministic.
func (c *Coordinator) jobsByArrival() []*job {
	list := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// SettleTime is how long after a standstill a host takes for what was sent to it
// meanwhile, such as the end of a caller's connection, to have been read.
const SettleTime = 100 * time.Millisecond

// StoodStill records that this host stood still until now. Callers may have left
// meanwhile, and may have sent their jobs to other hosts.
func (c *Coordinator) StoodStill(now time.Time) { c.resumedAt = now }

// callerMayHaveLeft reports whether the caller of a job may have left during a standstill
// without this host having noticed it yet.
func (c *Coordinator) callerMayHaveLeft(now time.Time, j *job) bool {
	return !j.stored && j.arrived.Before(c.resumedAt) && now.Sub(c.resumedAt) < SettleTime
}

// HasCapacity reports whether some connected host has workers.
func (c *Coordinator) HasCapacity() bool {
	for _, h := range c.sortedHosts {
		if h.connected && c.capacityOf(h) > 0 {
			return true
		}
	}
	return false
}

// WaitingJobs returns the number of jobs of a route none of whose tasks has
// started.
func (c *Coordinator) WaitingJobs(route string) int {
	n := 0
	for _, j := range c.jobs {
		if j.route.Name == route && !j.started {
			n++
		}
	}
	return n
}
