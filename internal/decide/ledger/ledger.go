package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleyhill/parsleyhill/internal/decide/jobcheck"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Config holds the number of shards and the durations of a ledger.
type Config struct {
	// Host is the name of this host. Nonce identifies its process.
	Host  string
	Nonce int64
	// Shards is the number of shards that the jobs are divided into.
	Shards int
	// MemberTTL is how long the store keeps a member that does not renew its
	// membership. A host drives no job for longer than this without a
	// confirmation, since its shards may then be assigned to another host.
	MemberTTL time.Duration
	// TakeoverDelay is how long after an assignment a run of the shard's previous
	// driver may still be in progress on a worker.
	TakeoverDelay time.Duration
	// Retention is how long the state of a job can be queried after its end.
	Retention time.Duration
	// MaxSteps and MaxTasks bound the jobs that a host drives; zero means no bound beside
	// those of jobcheck. An older version may have accepted larger ones.
	MaxSteps, MaxTasks int
}

// runsPerTakeover is the size of the range of run numbers that each driver of a
// shard has for a task. It exceeds the number of runs that a driver starts of
// one task while it has the shard. A driver that goes on with a run that was handed
// over stays in the former driver's range.
const runsPerTakeover = 100

// maxLogAge bounds the age of the last completed log read from which the ledger
// may conclude that a job does not exist.
const maxLogAge = 2500 * time.Millisecond

// Action is a request to the caller of the ledger.
type Action interface{ action() }

// Drive asks the host to run the tasks of a job.
type Drive struct {
	Job   fleet.Job
	Route fleet.Route
	// Done lists the tasks that are already done.
	Done []fleet.TaskName
	// FailedRuns are the failed runs by task.
	FailedRuns map[fleet.TaskName]offer.RunSet
	// Lost are the runs that were lost with their workers, by task.
	Lost map[fleet.TaskName][]quarantine.Loss
	// HeldAt is when the last hold of a run of each task was read.
	HeldAt map[fleet.TaskName]time.Time
	// FirstRun is higher than the number of any run of a previous driver.
	FirstRun int
	// Takeover is the number of the takeover under which this host drives the job.
	Takeover int
	// Running are the runs that the previous driver has handed over, and Unsettled the
	// tasks of which it did not know whether they run.
	Running   []HandedRun
	Unsettled []fleet.TaskName
}

// Release asks the host to stop driving a job and to stop its runs.
type Release struct {
	Job string
	Why string
}

// TaskDone reports that the log records a task as done by a run.
type TaskDone struct{ fleet.RunID }

// RunFailed reports that the log records a run of a driven job as failed.
type RunFailed struct{ fleet.RunID }

// HoldRead reports that the log records a run of a driven job as held for its driver.
type HoldRead struct{ RunHeld }

// JobRead reports that the acceptance of a job has been read.
type JobRead struct{ Job string }

// JobEnded reports that a job has ended. Driven is set if this host drove it.
type JobEnded struct {
	Job    string
	Queue  string
	State  State
	Runs   int
	Driven bool
}

// UnknownCancelled reports the cancellation of a job that the ledger does not hold. The
// host that answers the job's caller, if it is a best-effort one, stops it.
type UnknownCancelled struct{ Job string }

// AppendEntries asks for entries to be appended to the log.
type AppendEntries struct{ Entries []Entry }

// LogEvent is a decision to be written to the log of this process.
type LogEvent struct {
	Message string
	Shard   int
	Why     string
}

func (Drive) action()            {}
func (Release) action()          {}
func (TaskDone) action()         {}
func (RunFailed) action()        {}
func (HoldRead) action()         {}
func (JobRead) action()          {}
func (JobEnded) action()         {}
func (UnknownCancelled) action() {}
func (AppendEntries) action()    {}
func (LogEvent) action()         {}

type job struct {
	spec  fleet.Job
	route fleet.Route
	state State
	// doneTasks are the tasks that the log records as done; failedRuns are the
	// failed runs by task.
	doneTasks  map[fleet.TaskName]bool
	failedRuns map[fleet.TaskName]offer.RunSet
	endedRuns  []fleet.RunID
	// losses are the runs that were lost with their workers.
	losses map[fleet.RunID]quarantine.Loss
	// holds are the last holds of runs.
	holds     map[fleet.RunID]hold
	remaining int
	// absentAt is when the last log read was sent that did not have the job.
	absentAt time.Time
	driven   bool
	started  bool
	// closing is set once this host has asked for the job to be closed, or has
	// read that it was.
	closing bool
	// damage tells what is wrong with the job's record, and reason why the job was set
	// aside. Both are usually empty.
	damage, reason string
	closedAt       time.Time
	// acceptSeq orders the jobs by when their acceptance was first read.
	acceptSeq int64
}

// hold is what was read of the last hold of a run.
type hold struct {
	fence  int64
	readAt time.Time
}

// shard is a part of the jobs; the store's group assigns it to one host.
type shard struct {
	// takeovers is the highest number of a takeover that was read.
	takeovers  int
	assigned   bool
	assignedAt time.Time
	// generation is that of the group in which the present assignment was read.
	generation int64
	// lastNumber is the highest number of a takeover that this host has requested. The record of
	// its handover may be read before the takeover, so that no number is used again.
	lastNumber int
	// ownTakeover is the number of the takeover that this host has requested last under the
	// present assignment, or zero, and takenAt when it was read. unknownTaker is set if the one
	// before was that of a process that is not known.
	ownTakeover  int
	takenAt      time.Time
	unknownTaker bool
	driving      bool
	// driverTakeover and driverGeneration are the number and the generation of the takeover
	// under which this host drives. It renews them by a takeover that is read before renewBy,
	// if that is set, or stops driving: another host may have had the shard since.
	driverTakeover   int
	driverGeneration int64
	renewBy          time.Time
	// driven is the last takeover under which this host has driven the shard.
	driven takeover
	// recorded is the last takeover of this process that was read, and newestRecord the number
	// of the one that the log holds as its newest.
	recorded     TakenOver
	newestRecord int
	// abandoned is the takeover under which this host has stopped driving without a handover,
	// and abandonedUntil the time until which its runs may go on; zero if there is none.
	abandoned      takeover
	abandonedUntil time.Time
	// outgoing is set while this host hands the shard over. Meanwhile it goes on
	// driving the shard's jobs, without offering tasks.
	outgoing *outgoing
	// passOnBy is set while this host, which has given the shard up before it has driven it,
	// waits to pass the handover of the former driver on; it does not wait longer than that.
	passOnBy time.Time
	// takers holds the processes that have taken the shard over, by nonce.
	takers map[int64]*taker
}

// reset ends the present assignment, or the driving under a former one, but keeps what
// the log says.
func (s *shard) reset() {
	*s = shard{
		takeovers: s.takeovers, takers: s.takers, abandoned: s.abandoned, abandonedUntil: s.abandonedUntil, lastNumber: s.lastNumber, driven: s.driven,
		recorded: s.recorded, newestRecord: s.newestRecord,
		assigned: s.assigned, assignedAt: s.assignedAt, generation: s.generation,
	}
}

// Ledger is this host's replica of the log. It is not safe for concurrent use.
type Ledger struct {
	cfg    Config
	jobs   map[string]*job
	shards []*shard
	// cancelledUnknown holds the jobs whose cancellation was read and whose acceptance was
	// not, with the time of that reading. Such a job is a best-effort one, or its
	// acceptance is read later. cancelledOrder lists the jobs by that time.
	cancelledUnknown map[string]time.Time
	cancelledOrder   []string
	// unclosed are the ended jobs whose Closed entry has not been read.
	unclosed map[string]*job
	// retained are the ended jobs in the order of their ends.
	retained []*job
	seq      int64
	// asOf is when the latest completed log read was sent.
	asOf time.Time
	// confirmed is when the last join that the store answered was sent, and generation that of
	// the group in the answer.
	confirmed  time.Time
	generation int64
	actions    []Action
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, jobs: map[string]*job{}, cancelledUnknown: map[string]time.Time{}, unclosed: map[string]*job{}}
	for range cfg.Shards {
		l.shards = append(l.shards, &shard{takers: map[int64]*taker{}})
	}
	return l
}

// PopActions returns the pending actions and clears them.
func (l *Ledger) PopActions() []Action {
	actions := l.actions
	l.actions = nil
	return actions
}

func (l *Ledger) emit(a Action) { l.actions = append(l.actions, a) }

// Shard returns the index of a job's shard.
func (l *Ledger) Shard(job string) int {
	return int(xxhash.Sum64String(job) % uint64(len(l.shards)))
}

// Takeovers returns the number of takeovers of a job's shard.
func (l *Ledger) Takeovers(job string) int { return l.shards[l.Shard(job)].takeovers }

// Contains reports whether the ledger knows of a job, open or ended. A job is
// dropped after its retention.
func (l *Ledger) Contains(job string) bool { return l.jobs[job] != nil }

// Classified reports whether Contains tells if a job is a stored one, given that a
// run of the job had ended by the given time: its acceptance was in the log before
// the run started, and this host has read the log since. While no job is known, a
// recent read suffices: hosts read an idle log less often.
func (l *Ledger) Classified(id string, ended time.Time) bool {
	return l.Contains(id) || l.asOf.After(ended) || len(l.jobs) == 0 && ended.Sub(l.asOf) < maxLogAge
}

// Loaded reports whether the log has been read to its end at least once.
func (l *Ledger) Loaded() bool { return !l.asOf.IsZero() }

// AsOf returns when the latest completed log read was sent. The ledger holds
// everything that was in the log at that time.
func (l *Ledger) AsOf() time.Time { return l.asOf }

// State returns the state of a job. If the ledger does not hold the job, state
// is empty, and known reports whether the last log read is recent enough to
// conclude that there is no such job.
func (l *Ledger) State(now time.Time, id string) (state State, known bool) {
	if j := l.jobs[id]; j != nil {
		return j.currentState(), true
	}
	return "", l.Loaded() && now.Sub(l.asOf) < maxLogAge
}

func (j *job) currentState() State {
	if j.state == Pending && (j.started || len(j.endedRuns) > 0) {
		return Running
	}
	return j.state
}

// Waiting returns the number of open jobs of a queue of which no task is known
// to have started.
func (l *Ledger) Waiting(queue string) int {
	n := 0
	for _, j := range l.jobs {
		if j.route.Name == queue && j.currentState() == Pending {
			n++
		}
	}
	return n
}

// Apply applies entries in log order. It is idempotent: entries that were
// applied before have no effect.
func (l *Ledger) Apply(now time.Time, entries []Entry) {
	for _, e := range entries {
		switch e := e.(type) {
		case Accepted:
			l.accept(now, e)
		case RunEnded:
			l.runEnded(now, e)
		case RunLost:
			if j := l.jobs[e.Task.Job]; j != nil && !j.state.Ended() {
				j.losses[fleet.RunID{Task: e.Task, Run: e.Loss.Run}] = e.Loss
			}
		case RunHeld:
			l.runHeld(now, e)
		case Cancelled:
			l.cancel(now, e.Job)
		case Closed:
			l.jobClosed(now, e)
		case Forgotten:
			delete(l.jobs, e.Job)
			delete(l.unclosed, e.Job)
			delete(l.cancelledUnknown, e.Job)
		case TakenOver:
			l.takenOver(now, e)
		case HandedOver:
			l.handedOver(now, e)
		}
	}
	l.takeOverShards()
}

// LogRead records that the log has been read to its end by a request that was
// sent at the given time.
func (l *Ledger) LogRead(sent time.Time) {
	if sent.After(l.asOf) {
		l.asOf = sent
	}
	l.renewRecords()
	l.takeOverShards()
}

func (l *Ledger) accept(now time.Time, e Accepted) {
	if l.jobs[e.Job.ID] != nil {
		return
	}
	l.seq++
	j := &job{
		spec: e.Job, route: e.Route, state: Pending, absentAt: l.asOf, acceptSeq: l.seq,
		doneTasks: map[fleet.TaskName]bool{}, failedRuns: map[fleet.TaskName]offer.RunSet{},
		losses: map[fleet.RunID]quarantine.Loss{}, holds: map[fleet.RunID]hold{},
	}
	j.damage = e.Damage
	if fault := jobcheck.Malformed(e.Job); j.damage == "" && fault != nil {
		j.damage = fault.Error()
	}
	if j.damage != "" {
		j.spec = fleet.Job{ID: e.Job.ID}
	}
	for _, step := range j.spec.Steps {
		j.remaining += step.Count
	}
	l.jobs[e.Job.ID] = j
	l.emit(JobRead{e.Job.ID})
	if l.IsCancelled(e.Job.ID) {
		delete(l.cancelledUnknown, e.Job.ID)
		l.cancel(now, e.Job.ID)
		return
	}
	if s := l.shards[l.Shard(e.Job.ID)]; s.driving && s.outgoing == nil {
		l.drive(j, nil, false)
	}
}

func (l *Ledger) runEnded(now time.Time, e RunEnded) {
	j := l.jobs[e.Task.Job]
	if j == nil || j.state.Ended() || j.hasEnded(e.RunID) {
		return
	}
	j.endedRuns = append(j.endedRuns, e.RunID)
	if !j.hasTask(e.Task) {
		// The record has no effect, but it is dropped with the job's others.
		return
	}
	if e.Reason == fleet.EndedFailed {
		j.failedRuns[e.Task] = j.failedRuns[e.Task].With(e.Run)
		if j.driven {
			l.emit(RunFailed{e.RunID})
		}
		return
	}
	if j.doneTasks[e.Task] {
		return
	}
	j.doneTasks[e.Task] = true
	j.remaining--
	if j.driven {
		l.emit(TaskDone{e.RunID})
	}
	if j.remaining == 0 {
		l.endJob(now, j, Completed, j.driven)
	}
}

// hasEnded reports whether the end of a run was applied before. Most tasks have one
// run, for which no list is searched.
func (j *job) hasEnded(run fleet.RunID) bool {
	if !j.doneTasks[run.Task] && j.failedRuns[run.Task] == nil && j.hasTask(run.Task) {
		return false
	}
	return slices.Contains(j.endedRuns, run)
}

// hasTask reports whether the job has a task.
func (j *job) hasTask(t fleet.TaskName) bool {
	return t.Step >= 0 && t.Step < len(j.spec.Steps) && t.Index >= 0 && t.Index < j.spec.Steps[t.Step].Count
}

func (l *Ledger) runHeld(now time.Time, e RunHeld) {
	j := l.jobs[e.Task.Job]
	if j == nil || j.state.Ended() || e.Fence <= j.holds[e.RunID].fence {
		return
	}
	j.holds[e.RunID] = hold{fence: e.Fence, readAt: now}
	if j.driven {
		l.emit(HoldRead{e})
	}
}

func (l *Ledger) cancel(now time.Time, id string) {
	j := l.jobs[id]
	switch {
	case j == nil && !l.IsCancelled(id):
		l.cancelledUnknown[id] = now
		l.cancelledOrder = append(l.cancelledOrder, id)
		l.emit(UnknownCancelled{Job: id})
	case j == nil:
	case !j.state.Ended():
		driven := j.driven
		l.stopDriving(j, "cancelled")
		l.endJob(now, j, StateCancelled, driven)
	}
}

// IsCancelled reports whether the log holds the cancellation of a job that it does not
// hold otherwise.
func (l *Ledger) IsCancelled(id string) bool { return !l.cancelledUnknown[id].IsZero() }

// jobClosed applies a Closed entry of this or another host. Such an entry may
// name a job whose acceptance is not in the log any more.
func (l *Ledger) jobClosed(now time.Time, e Closed) {
	j := l.jobs[e.Job]
	if j == nil {
		j = &job{spec: fleet.Job{ID: e.Job}, route: fleet.Route{Name: e.Queue}}
		l.jobs[e.Job] = j
	}
	if !j.state.Ended() {
		driven := j.driven || j.closing
		l.stopDriving(j, "closed as "+string(e.State))
		j.reason = e.Reason
		if e.Damaged {
			l.emit(JobSetAside{Job: e.Job, Queue: j.route.Name, Cause: Damaged, Why: e.Reason})
		}
		l.endJob(now, j, e.State, driven)
	}
	j.closing, j.endedRuns, j.losses, j.holds = true, nil, nil, nil
	delete(l.unclosed, e.Job)
}

// endJob ends a job and drops everything but its state, queue and ended runs.
func (l *Ledger) endJob(now time.Time, j *job, state State, driven bool) {
	l.emit(JobEnded{Job: j.spec.ID, Queue: j.route.Name, State: state, Runs: len(j.endedRuns), Driven: driven})
	j.state, j.closedAt, j.driven = state, now, false
	j.spec, j.doneTasks, j.failedRuns = fleet.Job{ID: j.spec.ID}, nil, nil
	l.unclosed[j.spec.ID] = j
	l.retained = append(l.retained, j)
}

// JobStarted records that a task of a job that this host drives has started.
func (l *Ledger) JobStarted(id string) {
	if j := l.jobs[id]; j != nil {
		j.started = true
	}
}

// Fail requests that a job be closed as failed: one of its tasks has used all
// its attempts.
func (l *Ledger) Fail(id string) {
	if j := l.jobs[id]; j != nil && !j.state.Ended() && !j.closing {
		l.closeFailed(j)
	}
}

func (l *Ledger) closeFailed(j *job) {
	j.closing, j.driven = true, false
	for _, e := range j.closedEntries(Failed) {
		l.emit(AppendEntries{[]Entry{e}})
	}
}

// maxClosedRuns bounds the runs of one Closed entry. With some 70 bytes a record an
// entry stays below the size of an append.
const maxClosedRuns = 8192

// closedEntries returns the entries that close a job: one, unless it has many runs.
func (j *job) closedEntries(state State) []Closed {
	ended, lost, held := j.endedRuns, j.lostRuns(), slices.SortedFunc(maps.Keys(j.holds), fleet.RunID.Compare)
	var entries []Closed
	for len(entries) == 0 || len(ended)+len(lost)+len(held) > 0 {
		e := Closed{Job: j.spec.ID, Queue: j.route.Name, State: state, Reason: j.reason}
		e.Runs, ended = cut(ended, maxClosedRuns)
		e.LostRuns, lost = cut(lost, maxClosedRuns-len(e.Runs))
		e.HeldRuns, held = cut(held, maxClosedRuns-len(e.Runs)-len(e.LostRuns))
		entries = append(entries, e)
	}
	return entries
}

// lostRuns returns the runs that were lost with their workers, in order.
func (j *job) lostRuns() []fleet.RunID {
	return slices.SortedFunc(maps.Keys(j.losses), fleet.RunID.Compare)
}

// openJobs returns the jobs of a shard that have not ended, in the order of
// their acceptance.
func (l *Ledger) openJobs(shard int) []*job {
	var list []*job
	for _, j := range l.jobs {
		if !j.state.Ended() && l.Shard(j.spec.ID) == shard {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.acceptSeq, b.acceptSeq) })
	return list
}
