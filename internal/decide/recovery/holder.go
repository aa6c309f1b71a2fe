package recovery

import (
	"slices"
	"time"
)

// Step is a step of a host's start.
type Step int

// The steps. Reads of the store come first; then the host joins its group, adopts
// workers, polls them, and reports their capacity.
const (
	Configuration Step = iota
	JobLog
	EvacuatedZones
	WorkerList
	// PeerReached is the first open stream to another host.
	PeerReached
	// Worker is the adoption of the first own worker.
	Worker
	// Capacity is the first report of usable workers, by this or another host.
	Capacity
	// Ready is the end of the start: the host accepts jobs.
	Ready
	// FirstRun is the first start of a task that an own worker accepted.
	FirstRun
	stepCount
)

// Steps lists all steps.
func Steps() []Step {
	steps := make([]Step, stepCount)
	for i := range steps {
		steps[i] = Step(i)
	}
	return steps
}

// String returns the name of the step in logs and metrics.
func (s Step) String() string {
	return [stepCount]string{
		"configuration", "job_log", "evacuated_zones", "worker_list", "peer_reached", "worker", "capacity", "ready", "first_run",
	}[s]
}

const (
	// HoldPeriod is the age of the process up to which jobs are held. A start that
	// takes longer is not a normal one, and its end cannot be estimated.
	HoldPeriod = time.Second
	// MaxHeld bounds the held jobs. 29 hosts that started together refused 540 jobs,
	// so a host holds about 20.
	MaxHeld = 256
	// slackDivisor is the part of a job's slack, as a divisor, for which it may be
	// held. The rest is a reserve for the queue that forms behind the first workers.
	slackDivisor = 2
	// maxUnacceptable bounds the jobs found without room in one round. A check reads
	// the reports of all hosts, and a round follows each event.
	maxUnacceptable = 16

	// readsBound, adoptBound and pollBound are the expected times of the reads of
	// the store, of a join with the rebalance that follows, and of the first poll.
	readsBound = 100 * time.Millisecond
	adoptBound = 150 * time.Millisecond
	pollBound  = 50 * time.Millisecond
)

// Job is a job that arrived before the host was ready.
type Job struct {
	ID      string
	Arrived time.Time
	// Objective is how long the job may take from its arrival to be on time, and
	// CriticalPath the estimated duration of its longest chain of steps.
	Objective    time.Duration
	CriticalPath time.Duration
	// Deadline is when its caller stops waiting.
	Deadline time.Time
}

// latestStart is when the job must start to meet its deadline.
func (j Job) latestStart() time.Time { return j.Deadline.Add(-j.CriticalPath) }

// Reason tells why a job is not held. It is empty for a held job.
type Reason string

// The reasons.
const (
	// Held is no reason: the job is held.
	Held Reason = ""
	// Stopping means that a planned stop has begun.
	Stopping Reason = "planned stop"
	// PeriodOver means that the process has run for HoldPeriod.
	PeriodOver Reason = "hold period is over"
	// TooMany means that MaxHeld jobs are held.
	TooMany Reason = "too many held jobs"
	// TooLate means that the start is expected to last longer than the job can be
	// held.
	TooLate Reason = "start ends too late"
)

// Holder holds the jobs that arrive during a start, until capacity is known or they
// cannot wait longer. It is not safe for concurrent use.
type Holder struct {
	started time.Time
	// ended holds the age of the process at the end of each step that has ended.
	ended map[Step]time.Duration
	// jobs are the held jobs in order of arrival.
	jobs     []Job
	stopping bool
}

// NewHolder returns a Holder for a process that started at the given time.
func NewHolder(started time.Time) *Holder {
	return &Holder{started: started, ended: map[Step]time.Duration{}}
}

// StepEnded records the end of a step. Only the first end of a step counts.
func (h *Holder) StepEnded(now time.Time, step Step) {
	if _, ok := h.ended[step]; !ok {
		h.ended[step] = now.Sub(h.started)
	}
}

// EndOf returns the age of the process at the end of a step, and whether the step
// has ended.
func (h *Holder) EndOf(step Step) (time.Duration, bool) {
	age, ok := h.ended[step]
	return age, ok
}

// HoldPeriodOver reports whether no further job can be held.
func (h *Holder) HoldPeriodOver(now time.Time) bool { return now.Sub(h.started) >= HoldPeriod }

// Expected returns the expected time until the missing steps have ended. A step that
// lasts longer than its bound is expected to end immediately.
func (h *Holder) Expected(now time.Time) time.Duration {
	age := now.Sub(h.started)
	end := h.readsEnd(age)
	if _, known := h.ended[Capacity]; !known {
		adopted, ok := h.ended[Worker]
		if !ok {
			adopted = max(age, end+adoptBound)
		}
		end = max(end, adopted+pollBound)
	}
	return max(age, end) - age
}

// readsEnd returns the age of the process at the end of the reads of the store, as
// measured, or as expected at the given age.
func (h *Holder) readsEnd(age time.Duration) time.Duration {
	var end time.Duration
	for step := Configuration; step <= WorkerList; step++ {
		ended, ok := h.ended[step]
		if !ok {
			return max(age, readsBound)
		}
		end = max(end, ended)
	}
	return end
}

// holdUntil returns the end of the time for which a job may be held.
func (h *Holder) holdUntil(j Job) time.Time {
	slack := min(j.Objective, j.Deadline.Sub(j.Arrived)) - j.CriticalPath
	until := j.Arrived.Add(slack / slackDivisor)
	if end := h.started.Add(HoldPeriod); end.Before(until) {
		return end
	}
	return until
}

// Add holds a job, or returns the reason why the job has to be refused immediately.
// Jobs must be added in order of arrival.
func (h *Holder) Add(now time.Time, j Job) Reason {
	switch {
	case h.stopping:
		return Stopping
	case h.HoldPeriodOver(now):
		return PeriodOver
	case len(h.jobs) >= MaxHeld:
		return TooMany
	case now.Add(h.Expected(now)).After(h.holdUntil(j)):
		return TooLate
	}
	h.jobs = append(h.jobs, j)
	return Held
}

// Due removes and returns the jobs to refuse, because they cannot be held longer.
func (h *Holder) Due(now time.Time) []Job {
	return h.take(func(j Job) bool { return !now.Before(h.holdUntil(j)) })
}

// CapacityKnown is called while capacity is known. In order of arrival it submits the
// jobs for which there is room, and removes them; the first workers of a start have
// room for few. It returns the jobs to refuse, whose deadline cannot be met any more. A
// job whose hold time has passed is submitted without room, because only the
// coordinator can tell whether it is still better served late than refused.
func (h *Holder) CapacityKnown(now time.Time, wouldAccept func(Job) bool, submit func(Job)) (refuse []Job) {
	withoutRoom := 0
	h.jobs = slices.DeleteFunc(h.jobs, func(j Job) bool {
		switch {
		case now.After(j.latestStart()):
			refuse = append(refuse, j)
			return true
		case !now.Before(h.holdUntil(j)):
		case withoutRoom >= maxUnacceptable:
			return false
		case !wouldAccept(j):
			withoutRoom++
			return false
		}
		submit(j)
		return true
	})
	return refuse
}

// Remove removes a job, for instance because its caller disconnected.
func (h *Holder) Remove(id string) {
	h.take(func(j Job) bool { return j.ID == id })
}

// Stop removes and returns all jobs, which have to be refused, because a planned stop
// begins. Further jobs are not held.
func (h *Holder) Stop() []Job {
	h.stopping = true
	return h.take(func(Job) bool { return true })
}

// Len returns the number of held jobs.
func (h *Holder) Len() int { return len(h.jobs) }

// take removes and returns the jobs for which the function returns true.
func (h *Holder) take(match func(Job) bool) []Job {
	var taken []Job
	h.jobs = slices.DeleteFunc(h.jobs, func(j Job) bool {
		if !match(j) {
			return false
		}
		taken = append(taken, j)
		return true
	})
	return taken
}
