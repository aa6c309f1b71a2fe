// Package host joins the decisions of one entry host: which workers it owns
// (tenure), what runs on them (room), and where the tasks of its callers' jobs
// are offered (spread). It is pure; what stays inside the host never leaves it.
package host

import (
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/coordinator"
	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/ownership"
	"github.com/parsleyhill/parsleyhill/internal/decide/workerpool"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Config says who the host is.
type Config struct {
	Name string
	Zone string
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Partitions is how many partitions a zone's group deals.
	Partitions int
	// Nonce makes the host's fences differ from those of others.
	Nonce int64
	// Ledger holds the times of the stored jobs.
	Ledger ledger.Config
}

// Action is something for the shell to do: an order to a worker (room.Start,
// room.Stop, room.Look), a message to other hosts (Send, Broadcast), an answer
// to a caller (spread.Answer), a record of stored jobs (Append), the end of one
// (ledger.Over), or a decision for the log (Note).
type Action any

// Message is what one host says to another: Offers, Withdrawal, Recall, Begun,
// Logged, offer.Claim, offer.Outcome or offer.Sighting.
type Message any

// Offers asks for runs of tasks.
type Offers struct{ Tasks []offer.Task }

// Withdrawal says that a job's tasks are not wanted any more.
type Withdrawal struct{ Job string }

// Recall asks for the tasks of a job that wait.
type Recall struct{ Job string }

// Begun says that a task of a job has started.
type JobStarted struct{ Job string }

// Logged says what has been appended to the log of stored jobs, so that others
// need not wait for their next reading.
type LogAppended struct{ Entries []ledger.Entry }

// Send sends a message to one host.
type Send struct {
	Host    string
	Message Message
}

// Broadcast sends a message to every other host.
type Broadcast struct{ Message Message }

// Note is a decision for the log.
type LogEvent struct {
	Message string
	Worker  string
	Why     string
	Fence   int64
}

// Append asks for records of stored jobs to be appended to their log. Appended
// takes the confirmation.
type Append struct {
	Entries []ledger.Entry
	// Ends are the ends among the entries.
	Ends []workerpool.RecordEnd
}

// Core holds the decisions of one host. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	Pool        *workerpool.Pool
	Coordinator *coordinator.Coordinator
	Ownership   *ownership.Tracker
	Ledger      *ledger.Ledger
	leaving     bool
	actions     []Action
	// judged is when the pool's report was last taken in.
	judged time.Time
}

// New returns a host that owns nothing.
func New(cfg Config) *Core {
	jobs := ledger.New(cfg.Ledger)
	pool := workerpool.DefaultConfig(cfg.MaxLease)
	pool.IsStored = jobs.Contains
	return &Core{
		cfg:         cfg,
		Ledger:      jobs,
		Pool:        workerpool.NewPool(pool),
		Coordinator: coordinator.New(coordinator.Config{Self: cfg.Name, Zone: cfg.Zone, MaxLease: cfg.MaxLease}),
		Ownership:   ownership.New(cfg.Partitions, cfg.Nonce),
	}
}

// Leave gives the queue back; the workers go with the memberships.
func (c *Core) Leave() {
	c.leaving = true
	c.Pool.ReturnQueue("planned stop")
}

// LogRead takes the time at which a reading of the stored jobs' log was sent
// that has been applied to its end.
func (c *Core) LogRead(sent time.Time) {
	c.Ledger.LogRead(sent)
	c.Coordinator.SetLogReadTime(c.Ledger.AsOf())
}

// Appended takes the confirmation that records are in the log.
func (c *Core) Appended(now time.Time, a Append) {
	c.Ledger.Apply(now, a.Entries)
	c.emit(Broadcast{Message: LogAppended{Entries: a.Entries}})
	for _, end := range a.Ends {
		c.Pool.EndRecorded(now, end)
	}
}

// Tick does what is due.
func (c *Core) Tick(now time.Time) {
	c.Ledger.Tick(now)
	c.settleLedger(now)
	c.Pool.Tick(now)
	c.Coordinator.Tick(now)
	if c.Pool.QueueLength() > 0 {
		c.Pool.HandOff(now, c.Coordinator.RemoteFreeCapacity())
	}
}

// reportAge bounds the age of what the jobs know of the host's own workers
// when nothing happens there.
const reportAge = 20 * time.Millisecond

// WorkerChanged takes a worker's entry.
func (c *Core) UpdateWorker(w fleet.Worker) {
	c.Ownership.UpdateWorker(w)
	c.Coordinator.UpdateWorker(w)
}

// WorkerGone takes the removal of a worker's entry.
func (c *Core) RemoveWorker(id string) {
	c.Ownership.RemoveWorker(id)
	c.Coordinator.RemoveWorker(id)
}

// WorkersListed takes a full reading: workers not in it are gone.
func (c *Core) WorkersListed(present map[string]bool) {
	for _, id := range c.Ownership.Missing(present) {
		c.RemoveWorker(id)
	}
}

// HostLost takes the loss of contact with another host.
func (c *Core) HostLost(now time.Time, name string) {
	c.Pool.HostLost(now, name)
	c.Coordinator.HostLost(now, name)
}

// Reported takes another host's report.
func (c *Core) UpdateHost(now time.Time, name, zone string, r offer.CapacityReport) {
	c.Coordinator.UpdateHost(now, name, zone, r)
}

// Report returns what this host says of its workers.
func (c *Core) Report(now time.Time) offer.CapacityReport {
	r := c.Pool.Report(now)
	r.Leaving = c.leaving
	return r
}

// Receive takes a message from another host.
func (c *Core) Receive(now time.Time, from string, m Message) {
	switch m := m.(type) {
	case Offers:
		for _, t := range m.Tasks {
			t.Host = from
			c.Pool.Offer(now, t)
		}
		c.judged = time.Time{}
	case Withdrawal:
		c.Pool.Withdraw(now, from, m.Job)
	case Recall:
		c.Pool.Recall(from, m.Job)
	case JobStarted:
		c.Pool.TaskStarted(from, m.Job)
	case LogAppended:
		c.Ledger.Apply(now, m.Entries)
	case offer.Claim:
		m.Task.Host = from
		c.Pool.Claimed(now, m)
	case offer.Outcome:
		c.outcome(now, from, m)
	case offer.Inventory:
		c.Coordinator.HandleInventory(now, from, m)
	}
}

// TaskNotDone is an outcome that ended nothing, for the log.
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

// Settle decides until nothing is left to decide, and returns what leaves the
// host.
func (c *Core) Reconcile(now time.Time) []Action {
	c.Ledger.Expire(now)
	for {
		c.settleLedger(now)
		ownership, orders := c.Ownership.PopActions(), c.Pool.PopActions(now)
		if len(orders) > 0 || now.Sub(c.judged) >= reportAge {
			c.judged = now
			c.Coordinator.UpdateHost(now, c.cfg.Name, c.cfg.Zone, c.Report(now))
		}
		offers := c.Coordinator.PopActions()
		if len(ownership)+len(orders)+len(offers) == 0 {
			break
		}
		for _, a := range ownership {
			c.carryOwnership(now, a)
		}
		for _, a := range orders {
			c.carryOrder(now, a)
		}
		for _, a := range offers {
			c.carryOffer(now, a)
		}
	}
	actions := c.actions
	c.actions = nil
	return actions
}

// settleLedger carries out which stored jobs this host drives.
func (c *Core) settleLedger(now time.Time) {
	for _, a := range c.Ledger.PopActions() {
		switch a := a.(type) {
		case ledger.Drive:
			c.Coordinator.SubmitStored(now, a)
		case ledger.Release:
			c.Coordinator.ReleaseStored(now, a.Job, a.Why)
		case ledger.TaskDone:
			c.Coordinator.TaskRecorded(now, a.Task)
		case ledger.JobEnded:
			c.emit(a)
		case ledger.AppendEntries:
			c.emit(Append{Entries: a.Entries})
		case ledger.LogEvent:
			c.emit(LogEvent{Message: a.Message, Worker: "", Why: fmt.Sprintf("shard %d: %s", a.Shard, a.Why)})
		}
	}
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) carryOwnership(now time.Time, a ownership.Action) {
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

func (c *Core) carryOrder(now time.Time, a workerpool.Action) {
	switch a := a.(type) {
	case workerpool.SendOutcome:
		if a.Outcome.Host == c.cfg.Name {
			c.outcome(now, c.cfg.Name, a.Outcome)
		} else {
			c.emit(Send{Host: a.Outcome.Host, Message: a.Outcome})
		}
	case workerpool.AnnounceInventory:
		c.Coordinator.HandleInventory(now, c.cfg.Name, a.Inventory)
		c.emit(Broadcast{Message: a.Inventory})
	case workerpool.Released:
		c.Ownership.Released(a.Worker)
		c.emit(LogEvent{Message: "worker dropped", Worker: a.Worker, Why: a.Why})
	case workerpool.RecordEnd:
		c.emit(Append{Entries: []ledger.Entry{ledger.RunEnded{RunID: a.End.RunID, Reason: a.End.Reason}}, Ends: []workerpool.RecordEnd{a}})
	case workerpool.LogEvent:
		c.emit(LogEvent{Message: a.Message, Worker: a.Worker, Why: a.Why})
	default:
		c.emit(a)
	}
}

func (c *Core) carryOffer(now time.Time, a coordinator.Action) {
	switch a := a.(type) {
	case coordinator.Offer:
		c.send(now, a.Host, Offers{Tasks: a.Tasks})
	case coordinator.Withdraw:
		c.send(now, a.Host, Withdrawal{Job: a.Job})
	case coordinator.Recall:
		c.send(now, a.Host, Recall{Job: a.Job})
	case coordinator.JobStarted:
		c.send(now, a.Host, JobStarted{Job: a.Job})
	case coordinator.Claim:
		c.send(now, a.Host, a.Claim)
	case coordinator.Answer:
		if a.Stored && a.Failed {
			c.Ledger.Fail(a.Job)
		}
		c.emit(a)
	default:
		c.emit(a)
	}
}

// send gives a message to a host; this one takes its own at once.
func (c *Core) send(now time.Time, host string, m Message) {
	if host == c.cfg.Name {
		c.Receive(now, host, m)
		return
	}
	c.emit(Send{Host: host, Message: m})
}
