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

// Config holds the host's identity and the limits and timeouts of Core.
type Config struct {
	Self ids.Incarnation
	// Address is this host's address for peers.
	Address string
	Policy  placement.Policy
	// Horizon is how long after its last record a submission is guaranteed to
	// be recognized when it is sent again.
	Horizon time.Duration
	// ClaimTimeout bounds the wait for a claim to appear in the log.
	ClaimTimeout time.Duration
	// CloseMargin is the time after a job's deadline during which only the
	// owner may still close it.
	CloseMargin time.Duration
	// CloseAppendTimeout bounds the wait for the log to accept a close before
	// the answer is given without it.
	CloseAppendTimeout time.Duration
	// LeaseTTL is the duration of a worker's lease.
	LeaseTTL time.Duration
	// LeaseMargin is the time before a lease ends during which nothing is sent
	// under it.
	LeaseMargin time.Duration
	// StopTimeout bounds the wait for workers to confirm stops.
	StopTimeout time.Duration
	// ReserveAfter is how long a task waits for capacity before a worker is
	// reserved for it.
	ReserveAfter time.Duration
	// RetryInterval is the time between attempts of a failed call.
	RetryInterval time.Duration
	// MaxResultBytes bounds the results held for closed jobs, in bytes.
	MaxResultBytes int
}

// WithDefaults returns a copy of c with defaults for unset fields.
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

// pendingClaim is a submission whose claim has not been seen in the log.
type pendingClaim struct {
	job    callerapi.Job
	digest string
	minted bool
	// requestedAt is no later than when the claim was handed over for
	// appending.
	requestedAt time.Time
	cancelErr   *errkind.Error
}

// Core makes the decisions about the jobs of one entry host. Its methods report
// events; PopActions returns the actions that result. It is not safe for
// concurrent use.
type Core struct {
	cfg       Config
	rng       *rand.Rand
	startTime time.Time
	table     *Table
	fleet     *placement.Fleet
	learner   *placement.Learner

	pending   map[Key]*pendingClaim
	owned     map[Key]*job
	byKeyText map[string]*job
	// placementQueue holds the jobs with tasks to place, oldest first.
	placementQueue []*job
	// closed holds the closed jobs in the order they were closed.
	closed      []*job
	resultBytes int

	// unresolved holds the jobs that are not yet resolved, oldest first.
	unresolved []*job
	// claimQueue holds the claims not yet known to be in the log, oldest first.
	claimQueue []queuedClaim
	abandoned  []*abandonedClaim

	workers map[string]*worker
	// workerList holds the workers in the order they were first listed.
	workerList   []*worker
	starts       map[int64]*start
	startSeq     int64
	quotas       map[team]int
	coresInUse   map[team]int
	reservations int
	// placedByCores counts the tasks placed, indexed by their cores.
	placedByCores [coreSizeClasses]int64
	jobSeq        int64
	// dirtyWorkers are the workers with something to send.
	dirtyWorkers []*worker

	rejectNew bool
	// evacuatedZones holds the zones of all live workers if all are evacuated.
	evacuatedZones []string
	lastRecordAt   time.Time
	actions        []Action
}

// queuedClaim is a claim that was handed over for appending.
type queuedClaim struct {
	key   Key
	claim *pendingClaim
}

// coreSizeClasses is the number of task sizes, in cores, that are counted
// separately. Larger tasks count in the last class.
const coreSizeClasses = 65

// team identifies one team of one customer.
type team struct {
	customer string
	name     string
}

// NewCore returns a Core that owns no jobs.
func NewCore(now time.Time, cfg Config, rng *rand.Rand) *Core {
	cfg = cfg.WithDefaults()
	c := &Core{
		cfg: cfg, rng: rng, startTime: now, lastRecordAt: now,
		// A claim is appended at most ClaimTimeout after the submission
		// arrived, so submissions are retained that much longer.
		table:      NewTable(cfg.Horizon, cfg.Horizon+cfg.ClaimTimeout),
		fleet:      placement.NewFleet(cfg.Policy, rng),
		learner:    placement.NewLearner(),
		pending:    map[Key]*pendingClaim{},
		owned:      map[Key]*job{},
		byKeyText:  map[string]*job{},
		workers:    map[string]*worker{},
		starts:     map[int64]*start{},
		quotas:     map[team]int{},
		coresInUse: map[team]int{},
	}
	// Reading an empty stream waits for a record, so one is written at once.
	c.append(now, Record{Kind: KindHeartbeat})
	return c
}

// PopActions places the tasks that fit, and returns and clears the actions
// emitted since the last call.
func (c *Core) PopActions(now time.Time) []Action {
	c.schedule(now)
	c.sendQueued(now)
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) append(now time.Time, r Record) {
	r.Owner = c.cfg.Self
	r.WriterAgeMs = now.Sub(c.startTime).Milliseconds()
	c.lastRecordAt = now
	c.emit(Append{Record: r})
}

func (c *Core) logDecision(part decision.Part, action, rule string, k Key, subjects []string, why string, args ...any) {
	if k.Submission != "" {
		subjects = append([]string{k.Submission}, subjects...)
	}
	c.emit(LogEvent{Record: decision.Record{
		Part: part, Action: action, Rule: rule, Why: fmt.Sprintf(why, args...),
		Subjects: subjects, Customer: k.Customer,
	}})
}

// Status indicates which host can answer queries about a submission.
type Status int

// The statuses of a submission.
const (
	// StatusUnknown means that this host does not know the submission.
	StatusUnknown Status = iota
	// StatusLocal means that an Answer, OwnedElsewhere or Refused will follow
	// on this host.
	StatusLocal
	// StatusClosed means that this host has the answer, of its own or from the
	// log.
	StatusClosed
	// StatusRemote means that the owner has to be asked.
	StatusRemote
)

// View is what this host knows about a submission.
type View struct {
	Status Status
	// Answer is set with StatusClosed. With StatusLocal it holds the running
	// state.
	Answer callerapi.JobAnswer
	// Err is set with StatusClosed if the answer's results were discarded.
	Err *errkind.Error
	// Owner is set with StatusRemote, and Address too if a claim in the log
	// contains it.
	Owner   ids.Incarnation
	Address string
}

// Lookup returns what this host knows about a submission.
func (c *Core) Lookup(now time.Time, k Key) View {
	if j, ok := c.owned[k]; ok {
		if j.answered && (j.closeLogged || now.Before(j.leaseEnd)) {
			return View{Status: StatusClosed, Answer: j.currentAnswer(), Err: j.resultsDropped}
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

// ResendAnswer emits again what is known about a submission, if anything: its
// answer or its owner.
func (c *Core) ResendAnswer(now time.Time, k Key) {
	if j, ok := c.owned[k]; ok {
		c.sendAnswer(now, j)
		return
	}
	if e, ok := c.table.Lookup(k); ok {
		c.sendLogged(k, e)
	}
}

// OwnerUnreachable decides the reply when a job's owner could not be reached.
// ownerEnded is set only with proof that the owner's process has ended. A nil
// error means that an Answer follows: at once if the log has one, otherwise when
// a close is in the log.
func (c *Core) OwnerUnreachable(now time.Time, k Key, owner ids.Incarnation, ownerEnded bool) *errkind.Error {
	e, ok := c.table.Lookup(k)
	switch {
	case !ok && ownerEnded:
		return errkind.New(errkind.OwnerLost, "entry host %s owned the job, and its process has ended", owner.Host())
	case !ok:
		return errkind.New(errkind.OwnerUnreachable, "entry host %s owns the job and could not be reached", owner.Host())
	case e.Close != nil && e.Close.State == callerapi.JobComplete:
		kind := errkind.OwnerUnreachable
		if ownerEnded {
			kind = errkind.OwnerLost
		}
		return errkind.New(kind, "the job completed; its results are with entry host %s, which did not return them",
			owner.Host()).WithRun(errkind.Ran)
	case e.Close != nil:
		c.emit(Answer{Key: k, Answer: e.Close.answer()})
		return nil
	case e.Uncertain || e.HasGap:
		return errkind.New(errkind.OwnerUnreachable, "entry host %s owns the job and could not be reached; this host has not read all of the job stream",
			owner.Host())
	case ownerEnded || now.After(e.LeaseEnd):
		c.closeOwnerLost(now, k, e, ownerEnded)
		return nil
	}
	return errkind.New(errkind.OwnerUnreachable, "entry host %s owns the job, could not be reached, and may still run it for %v",
		owner.Host(), e.LeaseEnd.Sub(now).Round(time.Millisecond))
}

// closeOwnerLost appends a failed close for a job whose owner is lost.
func (c *Core) closeOwnerLost(now time.Time, k Key, e Entry, ownerEnded bool) {
	reason := "the lease of entry host " + e.Owner.Host() + " ended without an answer"
	if ownerEnded {
		reason = "the process of entry host " + e.Owner.Host() + " that ran the job has ended"
	}
	c.logDecision(decision.PartJob, "close", "owner-lost", k, []string{e.Owner.Host()}, "%s", reason)
	c.append(now, Record{
		Kind: KindClose, Key: k, ClaimOwner: e.Owner, State: callerapi.JobFailed,
		ErrorKind: string(errkind.OwnerLost), Run: string(errkind.Unknown), Reason: reason,
	})
}

// StopAccepting makes Submit refuse new jobs from now on.
func (c *Core) StopAccepting() { c.rejectNew = true }

// Idle reports whether all owned jobs are resolved, no claim is pending, no
// abandoned claim waits for its close, and no worker holds a task.
func (c *Core) Idle() bool {
	for _, w := range c.workerList {
		if len(w.tasks) > 0 {
			return false
		}
	}
	return len(c.pending) == 0 && len(c.abandoned) == 0 && !slices.ContainsFunc(c.unresolved, func(j *job) bool { return !j.resolved() })
}
