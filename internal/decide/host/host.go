// Package host joins the decisions of one entry host: which workers it owns
// (tenure), what runs on them (room), and where the tasks of its callers' jobs
// are offered (spread). It is pure; what stays inside the host never leaves it.
package host

import (
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/room"
	"github.com/parsleyhill/parsleyhill/internal/decide/spread"
	"github.com/parsleyhill/parsleyhill/internal/decide/tenure"
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
	Ends []room.Record
}

// Core holds the decisions of one host. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	Pool        *room.Pool
	Coordinator *spread.Spread
	Ownership   *tenure.Tenure
	Ledger      *ledger.Ledger
	leaving     bool
	actions     []Action
	// judged is when the pool's report was last taken in.
	reportedAt time.Time
}

// New returns a host that owns nothing.
func New(cfg Config) *Core {
	jobs := ledger.New(cfg.Ledger)
	pool := room.DefaultConfig(cfg.MaxLease)
	pool.Stored = jobs.Contains
	return &Core{
		cfg:         cfg,
		Ledger:      jobs,
		Pool:        room.NewPool(pool),
		Coordinator: spread.New(spread.Config{Self: cfg.Name, Zone: cfg.Zone, MaxLease: cfg.MaxLease}),
		Ownership:   tenure.New(cfg.Partitions, cfg.Nonce),
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
	c.Coordinator.LogRead(c.Ledger.AsOf())
}

// Appended takes the confirmation that records are in the log.
func (c *Core) Appended(now time.Time, a Append) {
	c.Ledger.Apply(now, a.Entries)
	c.emit(Broadcast{Message: LogAppended{Entries: a.Entries}})
	for _, end := range a.Ends {
		c.Pool.Recorded(now, end)
	}
}

// Tick does what is due.
func (c *Core) Tick(now time.Time) {
	c.Ledger.Tick(now)
	c.applyLedger(now)
	c.Pool.Tick(now)
	c.Coordinator.Tick(now)
	if c.Pool.Waiting() > 0 {
		c.Pool.Shed(now, c.Coordinator.RoomElsewhere())
	}
}

// reportAge bounds the age of what the jobs know of the host's own workers
// when nothing happens there.
const maxReportAge = 20 * time.Millisecond

// WorkerChanged takes a worker's entry.
func (c *Core) UpdateWorker(w fleet.Worker) {
	c.Ownership.Worker(w)
	c.Coordinator.Worker(w)
}

// WorkerGone takes the removal of a worker's entry.
func (c *Core) RemoveWorker(id string) {
	c.Ownership.WorkerGone(id)
	c.Coordinator.WorkerGone(id)
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
func (c *Core) UpdateHost(now time.Time, name, zone string, r offer.Report) {
	c.Coordinator.Reported(now, name, zone, r)
}

// Report returns what this host says of its workers.
func (c *Core) Report(now time.Time) offer.Report {
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
		c.reportedAt = time.Time{}
	case Withdrawal:
		c.Pool.Withdraw(now, from, m.Job)
	case Recall:
		c.Pool.Recall(from, m.Job)
	case JobStarted:
		c.Pool.Begun(from, m.Job)
	case LogAppended:
		c.Ledger.Apply(now, m.Entries)
	case offer.Claim:
		m.Task.Host = from
		c.Pool.Claimed(now, m)
	case offer.Outcome:
		c.outcome(now, from, m)
	case offer.Sighting:
		c.Coordinator.Sighted(now, from, m)
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
	c.Coordinator.Outcome(now, from, o)
}

// Settle decides until nothing is left to decide, and returns what leaves the
// host.
func (c *Core) Reconcile(now time.Time) []Action {
	c.Ledger.Expire(now)
	for {
		c.applyLedger(now)
		ownership, orders := c.Ownership.Take(), c.Pool.Take(now)
		if len(orders) > 0 || now.Sub(c.reportedAt) >= maxReportAge {
			c.reportedAt = now
			c.Coordinator.Reported(now, c.cfg.Name, c.cfg.Zone, c.Report(now))
		}
		offers := c.Coordinator.Take()
		if len(ownership)+len(orders)+len(offers) == 0 {
			break
		}
		for _, a := range ownership {
			c.applyOwnership(now, a)
		}
		for _, a := range orders {
			c.applyPool(now, a)
		}
		for _, a := range offers {
			c.applyCoordination(now, a)
		}
	}
	actions := c.actions
	c.actions = nil
	return actions
}

// settleLedger carries out which stored jobs this host drives.
func (c *Core) applyLedger(now time.Time) {
	for _, a := range c.Ledger.PopActions() {
		switch a := a.(type) {
		case ledger.Drive:
			c.Coordinator.Drive(now, a)
		case ledger.Release:
			c.Coordinator.Release(now, a.Job, a.Why)
		case ledger.TaskDone:
			c.Coordinator.Recorded(now, a.Task)
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

func (c *Core) applyOwnership(now time.Time, a tenure.Action) {
	switch a := a.(type) {
	case tenure.Adopt:
		c.emit(LogEvent{Message: "worker adopted", Worker: a.Worker.ID, Why: "zone " + a.Worker.Zone, Fence: a.Fence})
		c.Pool.Adopt(now, a.Worker, a.Fence)
	case tenure.Drop:
		c.Pool.Drop(now, a.Worker, a.Why)
	case tenure.Update:
		c.Pool.Update(a.Worker)
	}
}

func (c *Core) applyPool(now time.Time, a room.Action) {
	switch a := a.(type) {
	case room.Tell:
		if a.Outcome.Host == c.cfg.Name {
			c.outcome(now, c.cfg.Name, a.Outcome)
		} else {
			c.emit(Send{Host: a.Outcome.Host, Message: a.Outcome})
		}
	case room.Sight:
		c.Coordinator.Sighted(now, c.cfg.Name, a.Sighting)
		c.emit(Broadcast{Message: a.Sighting})
	case room.Dropped:
		c.Ownership.Dropped(a.Worker)
		c.emit(LogEvent{Message: "worker dropped", Worker: a.Worker, Why: a.Why})
	case room.Record:
		c.emit(Append{Entries: []ledger.Entry{ledger.RunEnded{RunID: a.End.RunID, How: a.End.How}}, Ends: []room.Record{a}})
	case room.Note:
		c.emit(LogEvent{Message: a.What, Worker: a.Worker, Why: a.Why})
	default:
		c.emit(a)
	}
}

func (c *Core) applyCoordination(now time.Time, a spread.Action) {
	switch a := a.(type) {
	case spread.Offer:
		c.send(now, a.Host, Offers{Tasks: a.Tasks})
	case spread.Withdraw:
		c.send(now, a.Host, Withdrawal{Job: a.Job})
	case spread.Recall:
		c.send(now, a.Host, Recall{Job: a.Job})
	case spread.Begun:
		c.send(now, a.Host, JobStarted{Job: a.Job})
	case spread.Claim:
		c.send(now, a.Host, a.Claim)
	case spread.Answer:
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
