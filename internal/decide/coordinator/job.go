package coordinator

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/decide/sharing"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// taskState is the state of a task of a pending job.
type taskState int

const (
	// taskIdle means that no host has the task. It may be offered once its step
	// is ready.
	taskIdle taskState = iota
	// taskOffered means that the task was offered to a host.
	taskOffered
	// taskStarted means that the task runs on one of a host's workers.
	taskStarted
	// taskOrphaned means that the task may still run on a worker whose owner
	// has lost contact with it.
	taskOrphaned
	// taskDone means that the task has completed.
	taskDone
)

// String returns the state as it appears in logs.
func (s taskState) String() string {
	return [...]string{"idle", "offered", "started", "orphaned", "done"}[s]
}

type task struct {
	name  fleet.TaskName
	state taskState
	host  string
	// worker is the worker known to have the current run, or empty.
	worker string
	// avoidWorker is the worker of the previous run, or empty.
	avoidWorker string
	// fence is the fence under which the owner owns that worker.
	fence int64
	// lastRun is the number of the last known run.
	lastRun int
	// failedRuns are the runs that failed. Ends come from owners, from inventories and from
	// the log, the same one perhaps from all.
	failedRuns offer.RunSet
	// mayHaveRun is set once a run has, or may have, started.
	mayHaveRun bool
	// lastEndedRun is the number of the last run known to have ended.
	lastEndedRun int
	// orphanEndsAt is the time by which an orphaned run has certainly ended.
	orphanEndsAt time.Time
	// incarnation is the registration, when the current run started, of its worker.
	incarnation fleet.Worker
	// losses are the runs that were lost with their workers, verdict what follows
	// from them, and exclusive whether the current offer asks for a worker without
	// other runs.
	losses    quarantine.History
	verdict   quarantine.Verdict
	exclusive bool
	// skipUntil holds, for each host that returned the task, the time until which
	// the task is not offered to it again.
	skipUntil map[string]time.Time
	// interruptedAt is when the run of a stored job's task ended without being done, as
	// far as is known, until the task starts again; interruption tells how.
	interruptedAt time.Time
	interruption  Interruption
	// nearSince is when the task was first offered to wait for its rack, or zero.
	nearSince time.Time
}

type job struct {
	seq   int64
	spec  fleet.Job
	route fleet.Route
	// stored is set for a job that survives the loss of this host, because the
	// ends of its tasks are recorded in the log.
	stored bool
	// takeover is the number of the takeover under which this host drives a stored job.
	takeover int
	// remaining is the number of each step's unfinished tasks.
	remaining []int
	taskSet
	// startsToOffer is the number of starts after which more tasks are offered, or zero
	// if none waits for that.
	startsToOffer int
	arrived       time.Time
	// deadline is the time by which the job is answered: callerDeadline, until which the
	// caller waits, or earlier during a planned stop of this host.
	deadline, callerDeadline time.Time
	// replyTime is how long before callerDeadline the job is answered at the latest; zero if
	// the caller named no limit.
	replyTime time.Duration
	// objective is how long the job may take from its arrival to be on time.
	objective time.Duration
	// criticalPath is the estimated duration of the longest chain of steps.
	criticalPath time.Duration
	started      bool
	// offeredHosts are all hosts that were ever offered tasks of the job.
	offeredHosts []string
	// waitRechecked is set once the expected wait was estimated a second time.
	waitRechecked bool
	// recalledAt is when the waiting tasks were last recalled; zero if no recall
	// is in progress.
	recalledAt time.Time
	// expectedWait is the last estimate of how long the job waits to start.
	expectedWait time.Duration
	// expectedEnd is when the last task placed by speed is expected to end.
	expectedEnd time.Time
	// sharing is the last decision by the shares of routes, or the zero value.
	sharing sharing.Decision
	// refusal is the reason for which the job is refused, or empty.
	refusal Refusal
	// handover is how far the handover of a stored job to its next driver is.
	handover handoverStage
}

// currentRun returns the number of the run that a host has, or will start, of the
// task; zero if no host has the task.
func (t *task) currentRun() int {
	switch t.state {
	case taskOffered:
		return t.lastRun + 1
	case taskStarted:
		return t.lastRun
	}
	return 0
}

// claimedTask returns the state of the task for the log of a claim.
func (t *task) claimedTask() ClaimedTask {
	return ClaimedTask{State: t.state.String(), Host: t.host, Worker: t.worker}
}

// atWorker reports whether a run of the task is, or may be, on a worker.
func (t *task) atWorker() bool { return t.state == taskStarted || t.state == taskOrphaned }

// atOtherWorker reports whether the current run of the task is known to be on
// another worker. A run found on this worker then belongs to an earlier
// submission.
func (t *task) atOtherWorker(worker string) bool {
	return t.atWorker() && t.worker != "" && t.worker != worker
}

// markOffered records that the task was offered to a host. The worker of its
// next run is unknown until the start is reported.
func (t *task) markOffered(host string) {
	t.state, t.host = taskOffered, host
	if t.worker != "" {
		t.avoidWorker = t.worker
	}
	t.worker, t.fence, t.incarnation = "", 0, fleet.Worker{}
}

// isFormer reports whether a report is about a former submission of the job, or about an offer
// or a claim that this host made when it drove a stored job before. The runs of a stored job are
// told apart by their numbers.
func (j *job) isFormer(o offer.Outcome) bool {
	return o.Submission != 0 && o.Submission != j.seq && (!j.stored || o.Result == offer.Orphaned || !o.MayHaveRun)
}

// addOfferedHost records that a host has, or had, tasks of the job.
func (j *job) addOfferedHost(host string) {
	if !slices.Contains(j.offeredHosts, host) {
		j.offeredHosts = append(j.offeredHosts, host)
	}
}

// answerDeadline returns the time after which the job is answered as not done.
func (j *job) answerDeadline() time.Time {
	if last := j.callerDeadline.Add(-j.replyTime); last.Before(j.deadline) {
		return last
	}
	return j.deadline
}

func newJob(now time.Time, seq int64, spec fleet.Job, route fleet.Route, deadline time.Time) *job {
	j := &job{
		seq: seq, spec: spec, route: route, arrived: now, deadline: deadline, callerDeadline: deadline, taskSet: newTaskSet(spec),
	}
	for _, step := range spec.Steps {
		j.remaining = append(j.remaining, step.Count)
	}
	j.criticalPath = j.longestPath()
	j.objective = route.Objective(j.criticalPath)
	return j
}

// longestPath returns the estimated duration of the longest chain of steps.
func (j *job) longestPath() time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	var longest time.Duration
	for i, step := range j.spec.Steps {
		var start time.Duration
		for _, a := range step.After {
			start = max(start, ends[a])
		}
		ends[i] = start + step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// stepReady reports whether all steps that a step depends on are done.
func (j *job) stepReady(step int) bool {
	for _, a := range j.spec.Steps[step].After {
		if j.remaining[a] > 0 {
			return false
		}
	}
	return true
}

func (j *job) allDone() bool {
	for _, left := range j.remaining {
		if left > 0 {
			return false
		}
	}
	return true
}

// notRun reports whether it is certain that no task has run.
func (j *job) notRun() bool {
	for step, left := range j.remaining {
		if left < j.spec.Steps[step].Count {
			return false
		}
	}
	for _, t := range j.tasks {
		if t.mayHaveRun || t.state == taskOffered || t.state == taskOrphaned {
			return false
		}
	}
	return true
}

// noneAtHosts reports whether no host has a task of the job.
func (j *job) noneAtHosts() bool {
	for _, t := range j.tasks {
		if t.state != taskIdle && t.state != taskDone {
			return false
		}
	}
	return true
}

// currentHosts returns the hosts that have tasks of the job, without
// duplicates.
func (j *job) currentHosts() []string {
	var hosts []string
	for _, t := range j.tasks {
		if (t.state == taskOffered || t.state == taskStarted) && !slices.Contains(hosts, t.host) {
			hosts = append(hosts, t.host)
		}
	}
	return hosts
}
