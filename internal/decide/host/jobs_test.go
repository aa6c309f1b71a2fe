package host

import (
	"cmp"
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/coordinator"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// simJob is a job and the state of the caller that waits for it.
type simJob struct {
	id        string
	spec      fleet.Job
	workTimes []time.Duration
	host      *simHost
	// next is where the caller sends the job again; nil means any host.
	next *simHost
	// leave breaks off the present submission.
	leave    func()
	arrived  time.Time
	attempts int
	outcome  string
	took     time.Duration
	done     map[fleet.TaskName]bool
	// acknowledged are the tasks whose end was acknowledged to a worker, which
	// then drops it from its list.
	acknowledged map[fleet.TaskName]bool
	// lastStarts are the times of the last start of each task.
	lastStarts map[fleet.TaskName]time.Time
	started    time.Time
	// deadly is set if the first task crashes each worker that starts it.
	deadly bool
	// crashes counts the workers that crashed under a task, and startsAfterLimit
	// its starts after crashLimit of them; failures counts its ends as failed.
	crashes, startsAfterLimit, failures map[fleet.TaskName]int
	// idleSince holds when the last run of a task was stopped or lapsed, until the task
	// starts again.
	idleSince map[fleet.TaskName]time.Time
}

// submit submits a job to a host.
func (w *world) submit(j *simJob, h *simHost) {
	if !h.up {
		w.resubmit(j)
		return
	}
	j.host, j.arrived = h, w.now
	j.attempts++
	attempt, source := j.attempts, fmt.Sprint("caller ", j.id, j.attempts)
	w.note(j.id, "submission %d to %s", attempt, h.name)
	w.onFrom(h, source, func() {
		_, waiting := h.callers[j.id]
		h.callers[j.id] = attempt
		// A host that still has the job, or its answer, answers the newer caller.
		if !waiting {
			h.core.Coordinator.Submit(w.now, j.spec, w.route, w.callerLimit())
		}
	})()
	cancel := w.onFrom(h, source, func() {
		if h.callers[j.id] == attempt {
			w.note(j.id, "%s sees that caller %d has left", h.name, attempt)
			h.core.Coordinator.Cancel(w.now, j.id, "the caller disconnected")
		}
	})
	j.leave = func() {
		if j.outcome == "" && j.host == h && j.attempts == attempt {
			w.note(j.id, "caller %d leaves %s", attempt, h.name)
			w.resubmit(j)
			cancel()
		}
	}
	if w.callerTimeout > 0 {
		w.after(w.callerTimeout, j.leave)
	}
}

// callerLimit returns how long a caller says that it waits.
func (w *world) callerLimit() time.Duration { return cmp.Or(w.callerTimeout, 2*time.Second) }

// resubmit submits an unanswered job again to a random host.
func (w *world) resubmit(j *simJob) {
	j.host = nil
	w.note(j.id, "submission %d is over", j.attempts)
	if j.attempts >= 3 {
		j.outcome = "lost"
		return
	}
	w.after(resubmitDelay, func() {
		if j.next != nil {
			w.submit(j, j.next)
			return
		}
		w.submit(j, w.hosts[w.rng.IntN(len(w.hosts))])
	})
}

func (w *world) answer(h *simHost, a coordinator.Answer) {
	j, attempt := w.jobs[a.Job], h.callers[a.Job]
	delete(h.callers, a.Job)
	if j.host != h || j.attempts != attempt {
		return
	}
	j.took = w.now.Sub(j.arrived)
	switch {
	case a.Err == nil:
		j.outcome = "completed"
		if len(j.done) != j.spec.Steps[0].Count {
			w.fail("job %s is answered as completed with %d of %d tasks done", j.id, len(j.done), j.spec.Steps[0].Count)
		}
	case a.Err.Run == errkind.NotRun:
		j.outcome = "not run"
		if j.started.After(j.arrived) {
			w.suspect(j)
			w.fail("job %s is answered as not run, but a task started %v after its submission", j.id, j.started.Sub(j.arrived))
		}
	case a.Failed:
		j.outcome = "failed"
	default:
		w.resubmit(j)
	}
}

// started checks that a start does not exceed the worker's capacity, run a task
// twice at once, or break the rules of stored jobs. It then adds the run.
func (w *world) started(sw *simWorker, id fleet.RunID) {
	j := w.jobs[id.Task.Job]
	step := j.spec.Steps[id.Task.Step]
	if used := sw.used().Add(step.Size); !used.Fits(sw.bindingCapacity()) {
		w.fail("worker %s is overloaded: %d of %d thousandths of a core in use after the start of %v", sw.info.ID, used.MilliCPU, sw.info.Capacity.MilliCPU, id)
	}
	for _, o := range w.workers {
		for other := range o.runs {
			if other.Task == id.Task && !o.down {
				w.suspect(j)
				w.fail("task %s is running on %s (run %d) and also starts on %s (run %d)", id.Task, o.info.ID, other.Run, sw.info.ID, id.Run)
			}
		}
	}
	w.note(j.id, "%v starts on %s", id, sw.info.ID)
	j.started, j.lastStarts[id.Task] = w.now, w.now
	if !j.spec.BestEffort {
		if since, ok := j.idleSince[id.Task]; ok {
			w.longestIdle = max(w.longestIdle, w.now.Sub(since))
			delete(j.idleSince, id.Task)
		}
		w.checkStored(j, id)
		w.checkCrashes(j, id)
	}
	length := time.Duration(float64(j.workTimes[id.Task.Index]) * sw.slowdown)
	length = w.awayTime(sw, step, length)
	reason := fleet.EndedDone
	switch {
	case sw.hanging:
		length = time.Hour
	case sw.failing || w.rng.Float64() < w.failRate:
		reason = fleet.EndedFailed
		length /= 2
	}
	sw.runs[id] = &simRun{size: step.Size, started: w.now, endsAt: w.now.Add(length), endReason: reason}
	if j.deadly && id.Task.Step == 0 && id.Task.Index == 0 {
		w.killWorker(sw, id)
	}
}

func (w *world) ended(sw *simWorker, id fleet.RunID, reason fleet.EndReason) {
	w.note(id.Task.Job, "%v ends on %s: %v", id, sw.info.ID, reason)
	switch reason {
	case fleet.EndedDone:
		w.jobs[id.Task.Job].done[id.Task] = true
	case fleet.EndedFailed:
		w.jobs[id.Task.Job].failures[id.Task]++
	default:
		if j := w.jobs[id.Task.Job]; !j.spec.BestEffort && !j.done[id.Task] {
			w.stoppedRuns++
			j.idleSince[id.Task] = w.now
		}
	}
}

// load submits jobs as a Poisson process for a duration, evenly over the hosts.
func (w *world) load(perSecond float64, d time.Duration) {
	w.scheduleArrivals(perSecond, w.now.Add(d))
}

func (w *world) scheduleArrivals(perSecond float64, until time.Time) {
	gap := time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
	w.after(gap, func() {
		if w.now.After(until) {
			return
		}
		w.submit(w.newJob(), w.hosts[w.rng.IntN(len(w.hosts))])
		w.scheduleArrivals(perSecond, until)
	})
}

// newJob returns a random job. Some are wide with short tasks, some narrow with
// long tasks.
func (w *world) newJob() *simJob {
	width, estimate := 1+w.rng.IntN(3), 200*time.Millisecond
	switch n := w.rng.IntN(10); {
	case n < 3:
		width, estimate = 4+w.rng.IntN(8), 60*time.Millisecond
	case n == 9:
		width, estimate = 2+w.rng.IntN(4), 900*time.Millisecond
	}
	j := &simJob{
		id: fmt.Sprintf("%016x", w.rng.Uint64()), done: map[fleet.TaskName]bool{}, acknowledged: map[fleet.TaskName]bool{}, lastStarts: map[fleet.TaskName]time.Time{},
		crashes: map[fleet.TaskName]int{}, startsAfterLimit: map[fleet.TaskName]int{}, failures: map[fleet.TaskName]int{},
		idleSince: map[fleet.TaskName]time.Time{},
	}
	j.spec = fleet.Job{ID: j.id, BestEffort: true, Steps: []fleet.Step{{
		Count: width, Size: fleet.Size{MilliCPU: 11000 + w.rng.IntN(5000), MemoryMB: 64}, Estimate: estimate,
	}}}
	w.nameRack(&j.spec.Steps[0])
	for range width {
		j.workTimes = append(j.workTimes, time.Duration((0.7+0.6*w.rng.Float64())*float64(estimate)))
	}
	w.jobs[j.id] = j
	return j
}

// outcomes returns the number of jobs by outcome.
func (w *world) outcomes() map[string]int {
	counts := map[string]int{}
	for _, j := range w.jobs {
		counts[cmp.Or(j.outcome, "open")]++
	}
	return counts
}
