package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// crashLimit and startsBeyondLimit are the users' rule: after crashLimit
	// workers have crashed under a task, it is started fewer than
	// startsBeyondLimit times more.
	crashLimit        = 3
	startsBeyondLimit = 3
	// crashesToFail is the number of workers that must have crashed under a task
	// before its job may be shown as failed.
	crashesToFail = 2
	// deadlyDelay is the time from the start of a deadly task to the crash, and
	// crashDown how long the worker is down.
	deadlyDelay = 10 * time.Millisecond
	crashDown   = 3 * time.Second
)

// killWorker crashes a worker under a run that has just started. Every second
// worker returns under a new ID.
func (w *world) killWorker(sw *simWorker, id fleet.RunID) {
	startTime := sw.startTime
	w.after(deadlyDelay, func() {
		if sw.runs[id] == nil || !sw.startTime.Equal(startTime) {
			return
		}
		if w.rng.IntN(2) == 0 {
			w.crash(sw, crashDown, false)
		} else {
			w.crashForNewID(sw, crashDown)
		}
	})
}

// checkCrashes checks a start of a stored job's task against the rule on tasks
// that crash their workers.
func (w *world) checkCrashes(j *simJob, id fleet.RunID) {
	if j.crashes[id.Task] < crashLimit {
		return
	}
	j.startsAfterLimit[id.Task]++
	if j.startsAfterLimit[id.Task] == startsBeyondLimit {
		w.fail("task %s starts (run %d) for the third time after %d workers have crashed under it", id.Task, id.Run, crashLimit)
	}
}

// checkFailedJobs checks that each stored job that a host shows as failed has a
// task that failed too often or under which enough workers crashed.
func (w *world) checkFailedJobs(h *simHost) {
	for _, j := range w.sortedJobs() {
		if state, _ := h.core.Ledger.State(w.now, j.id); state != ledger.Failed {
			continue
		}
		cause := false
		for task, n := range j.failures {
			cause = cause || n >= w.route.MaxAttempts || j.crashes[task] >= crashesToFail
		}
		for _, n := range j.crashes {
			cause = cause || n >= crashesToFail
		}
		if !cause {
			w.fail("job %s is shown as failed; failures %v, crashes %v", j.id, j.failures, j.crashes)
		}
	}
}

// loadDeadly submits stored jobs whose first task crashes each worker that
// starts it, at an interval, beside the other load.
func (w *world) loadDeadly(interval time.Duration, until time.Time) {
	w.after(interval, func() {
		if w.now.After(until) {
			return
		}
		w.submitStored(w.hosts[w.rng.IntN(len(w.hosts))], func(j *simJob) { j.deadly = true })
		w.loadDeadly(interval, until)
	})
}

// Guards against a task that crashes worker after worker: nobody counted the
// workers that crashed under it, and it was started again without end.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	w := newWorld(1, 2, 2, 8)
	w.run(4 * time.Second)
	w.loadStored(6, w.now.Add(8*time.Second))
	w.loadDeadly(time.Second, w.now.Add(6*time.Second))
	w.run(30 * time.Second)
	require.Empty(t, w.problems)
	w.checkFailedJobs(w.hosts[0])
	require.Empty(t, w.problems)
	for _, h := range w.hosts {
		assert.Empty(t, w.openJobs(h), "%s", h.name)
	}
	for _, j := range w.sortedJobs() {
		state, _ := w.hosts[0].core.Ledger.State(w.now, j.id)
		if j.deadly {
			assert.Equal(t, ledger.Failed, state, "job %s", j.id)
		} else {
			assert.Equal(t, ledger.Completed, state, "job %s: crashes %v", j.id, j.crashes)
		}
	}
}

// Under overlapping faults of every kind beside tasks that crash their workers,
// and capacities that shrink and grow, no such task is started again and again, no
// other job is shown as failed, and no start exceeds a capacity.
func TestDeadlyHistories(t *testing.T) {
	for seed := range uint64(*histories) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 2, 2, 8)
			w.run(2 * time.Second)
			w.lossRate, w.lateRate = 0.02, 0.02
			w.loadStored(10, w.now.Add(10*time.Second))
			w.loadDeadly(700*time.Millisecond, w.now.Add(10*time.Second))
			w.load(10, 10*time.Second)
			w.changeCapacities(w.now.Add(10 * time.Second))
			for range 8 {
				w.scheduleFault(time.Duration(w.rng.Int64N(int64(9 * time.Second))))
			}
			w.run(10 * time.Second)
			w.lossRate, w.lateRate = 0, 0
			w.run(30 * time.Second)
			require.Empty(t, w.problems)
			require.NotEmpty(t, w.log.accepted)
			for _, h := range w.hosts {
				w.checkFailedJobs(h)
				assert.Empty(t, w.openJobs(h), "%s", h.name)
			}
			require.Empty(t, w.problems)
		})
	}
}
