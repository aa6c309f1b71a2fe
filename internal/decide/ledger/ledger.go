package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Config holds the times of a ledger.
type Config struct {
	// Shards is how many parts the jobs are dealt out in.
	Shards int
	// MemberTTL is how long the store keeps a silent member: without a
	// confirmed membership a host drives nothing for longer.
	MemberTTL time.Duration
	// Settle is how long after a takeover a run of the former driver may still
	// be at a worker.
	TakeoverDelay time.Duration
	// Keep is how long the state of a closed job can be read.
	Retention time.Duration
}

// runsPerTakeover separates the run numbers of a shard's drivers: more than a
// driver starts of one task while it has the shard.
const runsPerTakeover = 100

// freshTime is how old the last reading of the log may be for a job that it
// does not hold to be unknown.
const freshTime = 2500 * time.Millisecond

// Action is something for the host.
type Action interface{ action() }

// Drive asks for a job's tasks to be run.
type Drive struct {
	Job   fleet.Job
	Route fleet.Route
	// Done are the tasks that need no run.
	Done []fleet.TaskName
	// Failed counts the failed runs of a task.
	FailedRuns map[fleet.TaskName]int
	// FirstRun is higher than every run that a former driver started.
	FirstRun int
}

// Release asks for a job to be let go of, and for its runs to be stopped.
type Release struct {
	Job string
	Why string
}

// Done says that the log holds a task's end.
type TaskDone struct{ Task fleet.TaskName }

// Over says that a job has ended. Driven is set if this host drove it.
type JobEnded struct {
	Job    string
	Queue  string
	State  State
	Runs   int
	Driven bool
}

// Write asks for entries to be appended to the log.
type AppendEntries struct{ Entries []Entry }

// Note is a decision for the log of this process.
type LogEvent struct {
	Message string
	Shard   int
	Why     string
}

func (Drive) action()         {}
func (Release) action()       {}
func (TaskDone) action()      {}
func (JobEnded) action()      {}
func (AppendEntries) action() {}
func (LogEvent) action()      {}

type job struct {
	spec  fleet.Job
	route fleet.Route
	state State
	// done are the tasks that the log says are done, failed their failed runs.
	done   map[fleet.TaskName]bool
	failed map[fleet.TaskName]map[int]bool
	runs   []fleet.RunID
	left   int
	// takeovers is the shard's count when the job was accepted.
	takeovers int
	driven    bool
	begun     bool
	// closing is set once this host has asked for the job to be closed.
	closing  bool
	closedAt time.Time
	// accepted orders the jobs by when they were first read.
	accepted int64
}

// shard is a part of the jobs that the store's group deals to one host.
type shard struct {
	takeovers int
	held      bool
	dealtAt   time.Time
	// mine is the takeover that this host wrote; zero if it has not.
	mine int
	// first is set if nobody held the shard before.
	first   bool
	driving bool
}

// Ledger is this host's copy of the log. It is not safe for concurrent use.
type Ledger struct {
	cfg    Config
	jobs   map[string]*job
	shards []*shard
	// cancelled are jobs whose cancel was read before their acceptance.
	cancelled map[string]bool
	// unclosed are jobs that have ended and whose closing has not been read.
	unclosed map[string]*job
	// kept are the jobs that have ended, the oldest first.
	kept []*job
	seq  int64
	// asOf is when the last reading that has been applied was sent.
	asOf time.Time
	// confirmed is when the last join that the store answered was sent.
	confirmed time.Time
	actions   []Action
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, jobs: map[string]*job{}, cancelled: map[string]bool{}, unclosed: map[string]*job{}}
	for range cfg.Shards {
		l.shards = append(l.shards, &shard{})
	}
	return l
}

// Take returns the actions since the last call.
func (l *Ledger) PopActions() []Action {
	actions := l.actions
	l.actions = nil
	return actions
}

func (l *Ledger) emit(a Action) { l.actions = append(l.actions, a) }

// Shard returns the shard of a job.
func (l *Ledger) Shard(job string) int {
	return int(xxhash.Sum64String(job) % uint64(len(l.shards)))
}

// Takeovers returns how often a job's shard has changed hands.
func (l *Ledger) Takeovers(job string) int { return l.shards[l.Shard(job)].takeovers }

// Holds reports whether the log holds, or held, a job.
func (l *Ledger) Contains(job string) bool { return l.jobs[job] != nil }

// Loaded reports whether the log has been read to its end once.
func (l *Ledger) Loaded() bool { return !l.asOf.IsZero() }

// AsOf returns when the last reading that has been applied was sent: what was
// in the log then is known.
func (l *Ledger) AsOf() time.Time { return l.asOf }

// State returns a job's state. Without the job, known says whether that is
// because there is none.
func (l *Ledger) State(now time.Time, id string) (state State, known bool) {
	if j := l.jobs[id]; j != nil {
		return j.shown(), true
	}
	return "", l.Loaded() && now.Sub(l.asOf) < freshTime
}

func (j *job) shown() State {
	if j.state == Pending && (j.begun || len(j.runs) > 0) {
		return Running
	}
	return j.state
}

// Waiting counts the open jobs of a queue of which no task is known to have
// started.
func (l *Ledger) Waiting(queue string) int {
	n := 0
	for _, j := range l.jobs {
		if j.route.Name == queue && j.shown() == Pending {
			n++
		}
	}
	return n
}

// Apply takes entries of the log, in its order. Entries that were applied
// before change nothing.
func (l *Ledger) Apply(now time.Time, entries []Entry) {
	for _, e := range entries {
		switch e := e.(type) {
		case Accepted:
			l.accept(now, e)
		case RunEnded:
			l.ended(now, e)
		case Cancelled:
			l.cancel(now, e.Job)
		case Closed:
			l.closed(now, e)
		case Forgotten:
			delete(l.jobs, e.Job)
			delete(l.unclosed, e.Job)
			delete(l.cancelled, e.Job)
		case TakenOver:
			s := l.shards[e.Shard%len(l.shards)]
			s.takeovers = max(s.takeovers, e.Takeovers)
		}
	}
	l.settle()
}

// Read takes the end of a reading that was sent at a time.
func (l *Ledger) LogRead(sent time.Time) {
	if sent.After(l.asOf) {
		l.asOf = sent
	}
	l.settle()
}

func (l *Ledger) accept(now time.Time, e Accepted) {
	if l.jobs[e.Job.ID] != nil {
		return
	}
	l.seq++
	j := &job{
		spec: e.Job, route: e.Route, state: Pending, takeovers: e.Takeovers, accepted: l.seq,
		done: map[fleet.TaskName]bool{}, failed: map[fleet.TaskName]map[int]bool{},
	}
	for _, step := range e.Job.Steps {
		j.left += step.Count
	}
	l.jobs[e.Job.ID] = j
	if l.cancelled[e.Job.ID] {
		delete(l.cancelled, e.Job.ID)
		l.cancel(now, e.Job.ID)
		return
	}
	if l.shards[l.Shard(e.Job.ID)].driving {
		l.drive(j)
	}
}

func (l *Ledger) ended(now time.Time, e RunEnded) {
	j := l.jobs[e.Task.Job]
	if j == nil || j.state.Ended() || slices.Contains(j.runs, e.RunID) {
		return
	}
	if e.Task.Step < 0 || e.Task.Step >= len(j.spec.Steps) {
		return
	}
	j.runs = append(j.runs, e.RunID)
	if e.Reason == fleet.EndedFailed {
		if j.failed[e.Task] == nil {
			j.failed[e.Task] = map[int]bool{}
		}
		j.failed[e.Task][e.Run] = true
		return
	}
	if j.done[e.Task] {
		return
	}
	j.done[e.Task] = true
	j.left--
	if j.driven {
		l.emit(TaskDone{Task: e.Task})
	}
	if j.left == 0 {
		l.over(now, j, Completed, j.driven)
	}
}

func (l *Ledger) cancel(now time.Time, id string) {
	j := l.jobs[id]
	switch {
	case j == nil:
		l.cancelled[id] = true
	case !j.state.Ended():
		driven := j.driven
		l.release(j, "cancelled")
		l.over(now, j, StateCancelled, driven)
	}
}

// closed takes the end of a job that another host, or this one, has written.
func (l *Ledger) closed(now time.Time, e Closed) {
	j := l.jobs[e.Job]
	if j == nil {
		j = &job{spec: fleet.Job{ID: e.Job}, route: fleet.Route{Name: e.Queue}}
		l.jobs[e.Job] = j
	}
	if !j.state.Ended() {
		driven := j.driven || j.closing
		l.release(j, "closed as "+string(e.State))
		l.over(now, j, e.State, driven)
	}
	j.closing, j.runs = true, nil
	delete(l.unclosed, e.Job)
}

// over ends a job: its state is all that is kept of it.
func (l *Ledger) over(now time.Time, j *job, state State, driven bool) {
	l.emit(JobEnded{Job: j.spec.ID, Queue: j.route.Name, State: state, Runs: len(j.runs), Driven: driven})
	j.state, j.closedAt, j.driven = state, now, false
	j.spec, j.done, j.failed = fleet.Job{ID: j.spec.ID}, nil, nil
	l.unclosed[j.spec.ID] = j
	l.kept = append(l.kept, j)
}

// Begun notes that a task of a job that this host drives has started.
func (l *Ledger) JobStarted(id string) {
	if j := l.jobs[id]; j != nil {
		j.begun = true
	}
}

// Fail closes a job of which a task has failed as often as it may.
func (l *Ledger) Fail(id string) {
	if j := l.jobs[id]; j != nil && !j.state.Ended() && !j.closing {
		l.fail(j)
	}
}

func (l *Ledger) fail(j *job) {
	j.closing, j.driven = true, false
	l.emit(AppendEntries{[]Entry{j.close(Failed)}})
}

func (j *job) close(state State) Closed {
	return Closed{Job: j.spec.ID, Queue: j.route.Name, State: state, Runs: j.runs}
}

// open lists the jobs of a shard that have not ended, in their order.
func (l *Ledger) open(shard int) []*job {
	var list []*job
	for _, j := range l.jobs {
		if !j.state.Ended() && l.Shard(j.spec.ID) == shard {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.accepted, b.accepted) })
	return list
}
