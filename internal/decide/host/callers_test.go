package host

import (
	"cmp"
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/coordinator"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// simJob is a job with the caller that waits for it.
type simJob struct {
	id       string
	spec     fleet.Job
	works    []time.Duration
	host     *simHost
	arrived  time.Time
	attempts int
	outcome  string
	took     time.Duration
	done     map[fleet.TaskName]bool
	// noted are the tasks whose end a worker was told to forget.
	noted   map[fleet.TaskName]bool
	started time.Time
}

// submit hands a job in at a host.
func (w *world) submit(j *simJob, h *simHost) {
	if !h.up {
		w.resend(j)
		return
	}
	j.host, j.arrived = h, w.now
	j.attempts++
	w.on(h, func() { h.core.Coordinator.Submit(w.now, j.spec, testRoute, 2*time.Second) })()
}

// resend has a caller without an answer send its job again elsewhere.
func (w *world) resend(j *simJob) {
	j.host = nil
	if j.attempts >= 3 {
		j.outcome = "lost"
		return
	}
	w.after(resendDelay, func() { w.submit(j, w.hosts[w.rng.IntN(len(w.hosts))]) })
}

func (w *world) answer(h *simHost, a coordinator.Answer) {
	j := w.jobs[a.Job]
	if j.host != h {
		return
	}
	j.took = w.now.Sub(j.arrived)
	switch {
	case a.Err == nil:
		j.outcome = "completed"
		if len(j.done) != j.spec.Steps[0].Count {
			w.fail("job %s is said to be complete with %d of %d tasks done", j.id, len(j.done), j.spec.Steps[0].Count)
		}
	case a.Err.Run == errkind.NotRun:
		j.outcome = "not run"
		if j.started.After(j.arrived) {
			w.fail("job %s is said not to have run, and a task started %v after it came", j.id, j.started.Sub(j.arrived))
		}
	case a.Failed:
		j.outcome = "failed"
	default:
		w.resend(j)
	}
}

// started checks a start against the rules.
func (w *world) started(sw *simWorker, id fleet.RunID) {
	j := w.jobs[id.Task.Job]
	step := j.spec.Steps[id.Task.Step]
	if used := sw.used().Add(step.Size); !used.Fits(sw.info.Capacity) {
		w.fail("worker %s is given %d of %d thousandths of a core by %v", sw.info.ID, used.MilliCPU, sw.info.Capacity.MilliCPU, id)
	}
	for _, o := range w.workers {
		for other := range o.runs {
			if other.Task == id.Task && !o.down {
				w.fail("task %s runs on %s (run %d) and starts on %s (run %d)", id.Task, o.info.ID, other.Run, sw.info.ID, id.Run)
			}
		}
	}
	j.started = w.now
	if !j.spec.BestEffort {
		w.checkStored(j, id)
	}
	length := time.Duration(float64(j.works[id.Task.Index]) * sw.slowness)
	fate := fleet.EndedDone
	switch {
	case sw.hanging:
		length = time.Hour
	case sw.failing || w.rng.Float64() < 0.005:
		fate = fleet.EndedFailed
		length /= 2
	}
	sw.runs[id] = &simRun{size: step.Size, began: w.now, ends: w.now.Add(length), fate: fate}
}

func (w *world) ended(_ *simWorker, id fleet.RunID, how fleet.EndReason) {
	if how == fleet.EndedDone {
		w.jobs[id.Task.Job].done[id.Task] = true
	}
}

// load has jobs come at a rate for a time, evenly over the hosts.
func (w *world) load(perSecond float64, d time.Duration) {
	w.arrive(perSecond, w.now.Add(d))
}

func (w *world) arrive(perSecond float64, until time.Time) {
	gap := time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
	w.after(gap, func() {
		if w.now.After(until) {
			return
		}
		w.submit(w.newJob(), w.hosts[w.rng.IntN(len(w.hosts))])
		w.arrive(perSecond, until)
	})
}

// newJob draws a job: most are short and wide, some long and narrow.
func (w *world) newJob() *simJob {
	width, estimate := 1+w.rng.IntN(3), 200*time.Millisecond
	switch n := w.rng.IntN(10); {
	case n < 3:
		width, estimate = 4+w.rng.IntN(8), 60*time.Millisecond
	case n == 9:
		width, estimate = 2+w.rng.IntN(4), 900*time.Millisecond
	}
	j := &simJob{id: fmt.Sprintf("%016x", w.rng.Uint64()), done: map[fleet.TaskName]bool{}, noted: map[fleet.TaskName]bool{}}
	j.spec = fleet.Job{ID: j.id, BestEffort: true, Steps: []fleet.Step{{
		Count: width, Size: fleet.Size{MilliCPU: 11000 + w.rng.IntN(5000), MemoryMB: 64}, Estimate: estimate,
	}}}
	for range width {
		j.works = append(j.works, time.Duration((0.7+0.6*w.rng.Float64())*float64(estimate)))
	}
	w.jobs[j.id] = j
	return j
}

// outcomes counts the jobs by their outcome.
func (w *world) outcomes() map[string]int {
	counts := map[string]int{}
	for _, j := range w.jobs {
		counts[cmp.Or(j.outcome, "open")]++
	}
	return counts
}
