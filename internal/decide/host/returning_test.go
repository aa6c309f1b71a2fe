package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// returningFleet is a fleet in which the caller of a best-effort job loses its host and
// sends the job again.
type returningFleet struct {
	*world
	// entry is a host without workers. It reaches owner, which has one worker, and not
	// other, which has another one.
	entry, owner, other *simHost
	worker              *simWorker
}

func newReturningFleet(seed uint64) *returningFleet {
	w := newWorld(seed, 2, 1, 1)
	w.addEntryZone(1)
	f := &returningFleet{world: w, entry: w.hosts[2], owner: w.hosts[0], other: w.hosts[1], worker: w.workers[0]}
	for _, h := range []*simHost{f.entry, f.owner} {
		w.partition(h, f.other, time.Hour)
	}
	w.run(3 * time.Second)
	return f
}

// submitLong submits a job of one task, which outlives its callers, to the entry host and
// requires that it runs on the worker of the owner. The caller returns to the other host.
func (f *returningFleet) submitLong(t *testing.T, estimate time.Duration) *simJob {
	t.Helper()
	j := f.newLongJob(10 * time.Second)
	j.spec.Steps[0].Estimate, j.next = estimate, f.other
	f.submit(j, f.entry)
	f.run(100 * time.Millisecond)
	require.Len(t, f.worker.runs, 1)
	return j
}

// requireOneRun runs the fleet for a time, in which a job starts on the other host's
// worker, and requires that it did not run twice at once.
func (f *returningFleet) requireOneRun(t *testing.T, d time.Duration) {
	t.Helper()
	f.run(d)
	f.requireNoProblems(t)
	require.NotEmpty(t, f.workers[1].runs, "the task has started again")
}

// Guards against a lease that outlives the host of the job: the owner renewed it until it
// found that host silent, and then could not stop the run.
func TestLeaseEndsWithTheHostOfTheJob(t *testing.T) {
	const left = peerTimeout - 50*time.Millisecond
	tests := map[string]func(f *returningFleet){
		"owner stands still":  func(f *returningFleet) { f.freeze(f.owner, 2*time.Second) },
		"worker out of reach": func(f *returningFleet) { f.isolateWorker(f.owner, f.worker, 2*time.Second) },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			f := newReturningFleet(1)
			f.callerTimeout = callerTimeout
			f.submitLong(t, 900*time.Millisecond)
			f.run(1300 * time.Millisecond)
			f.freeze(f.entry, 4*time.Second)
			f.after(left, func() { disturb(f) })
			f.requireOneRun(t, 1600*time.Millisecond)
		})
	}
}
