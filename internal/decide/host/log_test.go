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
	testShards = 6
	readEvery  = 100 * time.Millisecond
	retryEvery = 100 * time.Millisecond
)

// testLedger is the ledger of a host whose streams are silent for a time
// before they are given up.
func testLedger() ledger.Config {
	return ledger.Config{
		Shards: testShards, MemberTTL: memberTTL, Retention: time.Minute,
		TakeoverDelay: memberTTL + silence + testLease + testLease*3/100 + 100*time.Millisecond,
	}
}

// simLog is the log of stored jobs.
type simLog struct {
	entries []ledger.Entry
	group   *simGroup
	// accepted are the jobs that their callers were told of.
	accepted map[string]bool
}

// read has a host read the log, again and again.
func (w *world) read(h *simHost) {
	w.on(h, func() {
		if !h.storeless {
			sent := w.now
			w.after(w.delay(), w.on(h, func() {
				h.core.Ledger.Apply(w.now, w.log.entries[h.readTo:])
				h.readTo = len(w.log.entries)
				h.core.LogRead(sent)
			}))
		}
		w.after(readEvery, func() { w.read(h) })
	})()
}

// joinJobs has a host join the group that deals the shards, again and again.
func (w *world) joinJobs(h *simHost) {
	w.on(h, func() {
		if !h.storeless {
			generation, parts := w.log.group.join(w.now, h.name, h.jobsGeneration)
			h.jobsGeneration = generation
			h.core.Ledger.Assigned(w.now, w.now, parts)
		}
		w.after(joinEvery, func() { w.joinJobs(h) })
	})()
}

// append carries an append out. The answer may be lost, and the append may be
// carried out late: the host tries again until it is answered.
func (w *world) append(h *simHost, a Append, answered func()) {
	again := w.on(h, func() { w.append(h, a, answered) })
	land := func() { w.log.entries = append(w.log.entries, a.Entries...) }
	switch {
	case h.storeless:
		w.after(retryEvery, again)
	case w.rng.Float64() < w.late:
		w.after(time.Second+time.Duration(w.rng.Int64N(int64(3*time.Second))), land)
		w.after(retryEvery, again)
	case w.rng.Float64() < w.lost:
		land()
		w.after(retryEvery, again)
	default:
		land()
		w.after(w.delay(), w.on(h, func() {
			h.core.Appended(w.now, a)
			answered()
		}))
	}
}

// store hands a job of two steps in.
func (w *world) store(h *simHost) {
	j := w.newJob()
	first := j.spec.Steps[0]
	second := first
	second.After = []int{0}
	j.spec.Steps, j.spec.BestEffort = []fleet.Step{first, second}, false
	if !h.up {
		return
	}
	accepted := ledger.Accepted{Job: j.spec, Route: testRoute, Takeovers: h.core.Ledger.Takeovers(j.id)}
	w.append(h, Append{Entries: []ledger.Entry{accepted}}, func() { w.log.accepted[j.id] = true })
}

// storeLoad has stored jobs come at a rate for a time.
func (w *world) storeLoad(perSecond float64, until time.Time) {
	gap := time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
	w.after(gap, func() {
		if w.now.Before(until) {
			w.store(w.hosts[w.rng.IntN(len(w.hosts))])
			w.storeLoad(perSecond, until)
		}
	})
}

// checkStored checks a start of a stored job's task.
func (w *world) checkStored(j *simJob, id fleet.RunID) {
	if j.noted[id.Task] {
		w.fail("task %s starts (run %d) after its end was taken note of", id.Task, id.Run)
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

// openJobs lists the accepted jobs that have not ended, as a host sees it.
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

// Faults of every kind overlap; no task of a stored job runs twice at once or
// after its end was taken note of, steps keep their order, and what was
// accepted ends.
func TestStoredHistories(t *testing.T) {
	for seed := range uint64(*histories) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			w := newWorld(seed, 2, 2, 8)
			w.run(2 * time.Second)
			w.lost, w.late = 0.02, 0.02
			w.storeLoad(15, w.now.Add(10*time.Second))
			w.load(10, 10*time.Second)
			for range 8 {
				w.fault(time.Duration(w.rng.Int64N(int64(9 * time.Second))))
			}
			w.run(10 * time.Second)
			w.lost, w.late = 0, 0
			w.run(20 * time.Second)
			require.Empty(t, w.problems)
			require.NotEmpty(t, w.log.accepted)
			for _, h := range w.hosts {
				assert.Empty(t, w.openJobs(h), "%s", h.name)
			}
		})
	}
}

// A calm fleet drives stored jobs as fast as others.
func TestFaultFreeFleetCompletesStoredJobs(t *testing.T) {
	w := newWorld(1, 2, 2, 8)
	w.run(4 * time.Second)
	w.storeLoad(6, w.now.Add(10*time.Second))
	w.run(12 * time.Second)
	require.Empty(t, w.problems)
	assert.Greater(t, len(w.log.accepted), 40)
	for _, h := range w.hosts {
		assert.Empty(t, w.openJobs(h))
	}
}
