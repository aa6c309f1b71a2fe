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
	testShards    = 6
	readInterval  = 100 * time.Millisecond
	retryInterval = 100 * time.Millisecond
)

// testLedger returns the ledger configuration of a host. As in production, the
// takeover delay covers a driver that is cut off for its time to live, an owner
// that notices this after the peer timeout, and a run until its lease ends on a
// slow clock.
func testLedger() ledger.Config {
	return ledger.Config{
		Shards: testShards, MemberTTL: memberTTL, Retention: time.Minute,
		TakeoverDelay: memberTTL + peerTimeout + testLease + testLease*3/100 + 100*time.Millisecond,
	}
}

// simLog is the log of stored jobs.
type simLog struct {
	entries []ledger.Entry
	group   *simGroup
	// accepted are the jobs whose acceptance was confirmed to the caller.
	accepted map[string]bool
}

// readLog makes a host read the log periodically.
func (w *world) readLog(h *simHost) {
	w.on(h, func() {
		if !h.storeUnreachable {
			sent := w.now
			w.after(w.delay(), w.on(h, func() {
				h.core.Ledger.Apply(w.now, w.log.entries[h.logPosition:])
				h.logPosition = len(w.log.entries)
				h.core.LogRead(sent)
			}))
		}
		w.after(readInterval, func() { w.readLog(h) })
	})()
}

// joinShardGroup makes a host join the group that assigns the shards,
// periodically.
func (w *world) joinShardGroup(h *simHost) {
	w.on(h, func() {
		if shards, _ := h.core.HandsOver(); !shards && !h.storeUnreachable {
			generation, parts := w.log.group.join(w.now, h.name, h.shardGeneration)
			h.shardGeneration = generation
			h.core.Ledger.Assigned(w.now, w.now, generation, parts)
		}
		w.after(joinInterval, func() { w.joinShardGroup(h) })
	})()
}

// appendToLog executes an append. The answer may be lost and the append may take
// effect late; the host retries until it gets an answer.
func (w *world) appendToLog(h *simHost, a Append, done func()) {
	retry := w.on(h, func() { w.appendToLog(h, a, done) })
	write := func() { w.log.entries = append(w.log.entries, a.Entries...) }
	switch {
	case h.storeUnreachable || h.appendsRejected:
		w.after(retryInterval, retry)
	case w.rng.Float64() < w.lateRate:
		w.after(time.Second+time.Duration(w.rng.Int64N(int64(3*time.Second))), write)
		w.after(retryInterval, retry)
	case w.rng.Float64() < w.lossRate:
		write()
		w.after(retryInterval, retry)
	default:
		write()
		w.after(w.delay(), w.on(h, func() {
			h.core.Appended(w.now, a)
			done()
		}))
	}
}

// submitStored submits a stored job of two steps.
func (w *world) submitStored(h *simHost, change func(*simJob)) {
	j := w.newJob()
	change(j)
	first := j.spec.Steps[0]
	second := first
	second.After = []int{0}
	j.spec.Steps, j.spec.BestEffort = []fleet.Step{first, second}, false
	if !h.up {
		return
	}
	accepted := ledger.Accepted{Job: j.spec, Route: w.route, Takeovers: h.core.Ledger.Takeovers(j.id)}
	w.appendToLog(h, Append{Entries: []ledger.Entry{accepted}}, func() { w.log.accepted[j.id] = true })
}

// loadStored submits stored jobs as a Poisson process until a time.
func (w *world) loadStored(perSecond float64, until time.Time) {
	gap := time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
	w.after(gap, func() {
		if w.now.Before(until) {
			w.submitStored(w.hosts[w.rng.IntN(len(w.hosts))], func(*simJob) {})
			w.loadStored(perSecond, until)
		}
	})
}

// checkStored checks that a task of a stored job starts neither after its end was
// acknowledged nor before the earlier step is done.
func (w *world) checkStored(j *simJob, id fleet.RunID) {
	if j.acknowledged[id.Task] {
		w.fail("task %s starts (run %d) after its end was acknowledged", id.Task, id.Run)
	}
	if id.Task.Step == 0 {
		return
	}
	for i := range j.spec.Steps[0].Count {
		if earlier := (fleet.TaskName{Job: j.id, Index: i}); !j.done[earlier] {
			w.fail("task %s starts before %s is done", id.Task, earlier)
		}
	}
}

// acknowledged records that the end of a done run was acknowledged. It checks that
// the task has not started again since the run ended.
func (w *world) acknowledged(e fleet.RunEnd, endedAt time.Time) {
	j := w.jobs[e.Task.Job]
	j.acknowledged[e.Task] = true
	if !j.spec.BestEffort && j.lastStarts[e.Task].After(endedAt) {
		w.fail("the end of task %s (run %d) is acknowledged %v after it, although the task started again after %v", e.Task, e.Run,
			w.now.Sub(endedAt), j.lastStarts[e.Task].Sub(endedAt))
	}
}

// openJobs returns the accepted jobs that have not ended according to a host.
func (w *world) openJobs(h *simHost) []string {
	var open []string
	for id := range w.log.accepted {
		state, known := h.core.Ledger.State(w.now, id)
		if !known || !state.Ended() {
			open = append(open, fmt.Sprintf("%s: %s", id, state))
		}
	}
	return open
}

// Under overlapping faults of every kind, no task of a stored job runs twice at
// once or after its end was acknowledged, steps keep their order, and every
// accepted job ends.
func TestStoredHistories(t *testing.T) {
	for seed := range uint64(*histories) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 2, 2, 8)
			w.run(2 * time.Second)
			w.lossRate, w.lateRate = 0.02, 0.02
			w.loadStored(15, w.now.Add(10*time.Second))
			w.load(10, 10*time.Second)
			for range 8 {
				w.scheduleFault(time.Duration(w.rng.Int64N(int64(9 * time.Second))))
			}
			w.run(10 * time.Second)
			w.lossRate, w.lateRate = 0, 0
			w.run(20 * time.Second)
			require.Empty(t, w.problems)
			require.NotEmpty(t, w.log.accepted)
			for _, h := range w.hosts {
				assert.Empty(t, w.openJobs(h), "%s", h.name)
			}
		})
	}
}

// Without faults, stored jobs end within two seconds of the last submission.
func TestFaultFreeFleetCompletesStoredJobs(t *testing.T) {
	w := newWorld(1, 2, 2, 8)
	w.run(4 * time.Second)
	w.loadStored(6, w.now.Add(10*time.Second))
	w.run(12 * time.Second)
	require.Empty(t, w.problems)
	assert.Greater(t, len(w.log.accepted), 40)
	for _, h := range w.hosts {
		assert.Empty(t, w.openJobs(h))
	}
}
