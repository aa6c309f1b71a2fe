package jobs

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Config holds the core's identity and times.
type Config struct {
	Self ids.Incarnation
	// Address is where peers reach this host.
	Address string
	Policy  placement.Policy
	// Horizon is how long after its last record a submission is surely
	// recognized when it is sent again.
	Horizon time.Duration
	// ClaimWait bounds the wait for a claim to appear in the log.
	ClaimTimeout time.Duration
	// CloseMargin is the time after a job's deadline in which only the owner
	// may still close it.
	CloseMargin time.Duration
	// AnswerWait bounds the wait for the log to take a close before the answer
	// is given.
	CloseAppendTimeout time.Duration
	// LeaseTTL is how long a worker's lease holds.
	LeaseTTL time.Duration
	// LeaseMargin is kept clear before a lease's end; nothing is sent in it.
	LeaseMargin time.Duration
	// StopWait bounds the wait for workers to confirm stops.
	StopTimeout time.Duration
	// ReserveAfter is how long a task finds no room before a worker is kept
	// for it.
	ReserveAfter time.Duration
	// RetryInterval is the time between tries of calls that failed.
	RetryInterval time.Duration
	// ResultBytes bounds the results held of closed jobs, in bytes.
	MaxResultBytes int
}

// WithDefaults returns a copy of c with its unset times filled in.
func (c Config) WithDefaults() Config {
	c.Policy = cmp.Or(c.Policy, placement.PolicyHome)
	c.Horizon = cmp.Or(c.Horizon, 2*time.Minute)
	c.ClaimTimeout = cmp.Or(c.ClaimTimeout, 5*time.Second)
	c.CloseMargin = cmp.Or(c.CloseMargin, 5*time.Second)
	c.CloseAppendTimeout = cmp.Or(c.CloseAppendTimeout, 250*time.Millisecond)
	c.LeaseTTL = cmp.Or(c.LeaseTTL, 4*time.Second)
	c.LeaseMargin = cmp.Or(c.LeaseMargin, time.Second)
	c.StopTimeout = cmp.Or(c.StopTimeout, 2*time.Second)
	c.ReserveAfter = cmp.Or(c.ReserveAfter, 300*time.Millisecond)
	c.RetryInterval = cmp.Or(c.RetryInterval, time.Second)
	c.MaxResultBytes = cmp.Or(c.MaxResultBytes, 64<<20)
	return c
}

// pending is a submission whose claim has not been seen in the log.
type pending struct {
	job    callerapi.Job
	digest string
	minted bool
	// asked is when the claim was handed over for appending, or before.
	asked     time.Time
	cancelled *errkind.Error
}

// Core takes the decisions about jobs of one entry host. Events are methods;
// Take returns the actions they led to. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	born    time.Time
	table   *Table
	fleet   *placement.Fleet
	learner *placement.Learner

	pending map[Key]*pending
	owned   map[Key]*job
	byText  map[string]*job
	// queue are the jobs with tasks to place, the oldest first.
	queue []*job
	// closed are the closed jobs in order of their closing.
	closed      []*job
	resultBytes int

	// open are the jobs that are not yet settled, the oldest first.
	open []*job
	// claims are the claims on their way, the oldest first.
	claims    []claimed
	abandoned []*abandoned

	workers map[string]*worker
	// list holds the workers in the order they were first listed.
	list     []*worker
	starts   map[int64]*start
	startSeq int64
	quotas   map[team]int
	holding  map[team]int
	reserved int
	// placed counts the tasks placed by their cores.
	placed [sizeClasses]int64
	jobSeq int64
	// dirty are the workers with something to send.
	dirty []*worker

	stopping   bool
	lastRecord time.Time
	actions    []Action
}

// claimed is one claim that was handed over for appending.
type claimed struct {
	key Key
	p   *pending
}

// sizeClasses is how many sizes in cores are counted apart.
const sizeClasses = 65

// team names one team of one customer.
type team struct {
	customer string
	name     string
}

// NewCore returns a core that owns nothing.
func NewCore(now time.Time, cfg Config, rng *rand.Rand) *Core {
	cfg = cfg.WithDefaults()
	c := &Core{
		cfg: cfg, rng: rng, born: now, lastRecord: now,
		// A claim is appended at most ClaimWait after the submission arrived.
		table:   NewTable(cfg.Horizon, cfg.Horizon+cfg.ClaimTimeout),
		fleet:   placement.NewFleet(cfg.Policy, rng),
		learner: placement.NewLearner(),
		pending: map[Key]*pending{},
		owned:   map[Key]*job{},
		byText:  map[string]*job{},
		workers: map[string]*worker{},
		starts:  map[int64]*start{},
		quotas:  map[team]int{},
		holding: map[team]int{},
	}
	// A stream that holds a record is read without a wait.
	c.append(now, Record{Kind: KindHeartbeat})
	return c
}

// Take places what can be placed and returns the actions since the last call.
func (c *Core) PopActions(now time.Time) []Action {
	c.schedule(now)
	c.flush(now)
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) append(now time.Time, r Record) {
	r.Owner = c.cfg.Self
	r.WriterAgeMs = now.Sub(c.born).Milliseconds()
	c.lastRecord = now
	c.emit(Append{Record: r})
}

func (c *Core) note(part decision.Part, action, rule string, k Key, subjects []string, why string, args ...any) {
	if k.Submission != "" {
		subjects = append([]string{k.Submission}, subjects...)
	}
	c.emit(LogEvent{Record: decision.Record{
		Part: part, Action: action, Rule: rule, Why: fmt.Sprintf(why, args...),
		Subjects: subjects, Customer: k.Customer,
	}})
}

// Status says who can answer for a submission.
type Status int

// The statuses.
const (
	// StatusUnknown means that this host knows of no such submission.
	StatusUnknown Status = iota
	// StatusHere means that an Answer, Settled or Refused will follow.
	StatusLocal
	// StatusClosed means that the log or this host has the answer.
	StatusClosed
	// StatusElsewhere means that the owner has to be asked.
	StatusRemote
)

// View is what this host knows of a submission.
type View struct {
	Status Status
	// Answer is set with StatusClosed, and holds the running state with
	// StatusHere.
	Answer callerapi.JobAnswer
	// Err is set with StatusClosed in place of an answer that is gone.
	Err *errkind.Error
	// Owner and Address are set with StatusElsewhere.
	Owner   ids.Incarnation
	Address string
}

// Lookup returns what is known of a submission.
func (c *Core) Lookup(now time.Time, k Key) View {
	if j, ok := c.owned[k]; ok {
		if j.answered && (j.recorded || now.Before(j.leaseEnd)) {
			return View{Status: StatusClosed, Answer: j.document(), Err: j.trimmed}
		}
		running := callerapi.JobAnswer{
			Submission: k.Submission, Customer: k.Customer, State: callerapi.JobRunning, Owner: c.cfg.Self.Host(),
		}
		return View{Status: StatusLocal, Answer: running}
	}
	if _, ok := c.pending[k]; ok {
		return View{Status: StatusLocal, Answer: callerapi.JobAnswer{
			Submission: k.Submission, Customer: k.Customer, State: callerapi.JobRunning,
		}}
	}
	e, ok := c.table.Lookup(k)
	switch {
	case ok && e.Close != nil && (e.Close.State == callerapi.JobFailed || e.Owner == c.cfg.Self):
		return View{Status: StatusClosed, Answer: e.Close.answer()}
	case ok && e.Owner != c.cfg.Self:
		return View{Status: StatusRemote, Owner: e.Owner, Address: e.Address}
	case ok && !e.Uncertain:
		return View{Status: StatusLocal}
	}
	if minter, minted := ids.Minter(k.Submission); minted && minter != c.cfg.Self {
		return View{Status: StatusRemote, Owner: minter}
	}
	return View{Status: StatusUnknown}
}

// Repeat gives a submission's answer again if it was given before.
func (c *Core) ResendAnswer(now time.Time, k Key) {
	if j, ok := c.owned[k]; ok {
		c.give(now, j)
		return
	}
	if e, ok := c.table.Lookup(k); ok {
		c.tell(k, e)
	}
}

// OwnerSilent decides what is answered when a job's owner could not be
// reached. Gone is set with proof that the owner's process has ended. A nil
// error means that the log will settle the answer.
func (c *Core) OwnerUnreachable(now time.Time, k Key, owner ids.Incarnation, gone bool) *errkind.Error {
	e, ok := c.table.Lookup(k)
	switch {
	case !ok && gone:
		return errkind.New(errkind.OwnerLost, "entry host %s held the job and is gone", owner.Host())
	case !ok:
		return errkind.New(errkind.OwnerUnreachable, "entry host %s owns the job and could not be reached", owner.Host())
	case e.Close != nil && e.Close.State == callerapi.JobComplete:
		kind := errkind.OwnerUnreachable
		if gone {
			kind = errkind.OwnerLost
		}
		return errkind.New(kind, "the job completed; its results are with entry host %s, which did not give them",
			owner.Host()).WithRun(errkind.Ran)
	case e.Close != nil:
		c.emit(Answer{Key: k, Answer: e.Close.answer()})
		return nil
	case e.Uncertain || e.HasGap:
		return errkind.New(errkind.OwnerUnreachable, "entry host %s owns the job and could not be reached; this host has not read all of the job stream",
			owner.Host())
	case gone || now.After(e.LeaseEnd):
		c.closeLost(now, k, e, gone)
		return nil
	}
	return errkind.New(errkind.OwnerUnreachable, "entry host %s owns the job, could not be reached, and may still run it for %v",
		owner.Host(), e.LeaseEnd.Sub(now).Round(time.Millisecond))
}

// closeLost writes that a job's owner is lost.
func (c *Core) closeLost(now time.Time, k Key, e Entry, gone bool) {
	reason := "the lease of entry host " + e.Owner.Host() + " ended without an answer"
	if gone {
		reason = "the process of entry host " + e.Owner.Host() + " that ran the job is gone"
	}
	c.note(decision.PartJob, "close", "owner-lost", k, []string{e.Owner.Host()}, "%s", reason)
	c.append(now, Record{
		Kind: KindClose, Key: k, ClaimOwner: e.Owner, State: callerapi.JobFailed,
		ErrorKind: string(errkind.OwnerLost), Run: string(errkind.Unknown), Reason: reason,
	})
}

// Stop takes no new job from now on.
func (c *Core) StopAccepting() { c.stopping = true }

// Idle reports whether no owned job is open, no claim is on its way, no close
// waits for the log, and no task is held at a worker.
func (c *Core) Idle() bool {
	for _, w := range c.list {
		if len(w.tasks) > 0 {
			return false
		}
	}
	return len(c.pending) == 0 && len(c.abandoned) == 0 && !slices.ContainsFunc(c.open, func(j *job) bool { return !j.settled() })
}
