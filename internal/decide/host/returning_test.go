package host

import (
	"fmt"
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
		"stops are lost":      func(f *returningFleet) { f.stopsLost = true },
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

// runUntilRenewed runs the fleet until the lease of the worker has just been renewed and
// the owner knows it.
func (f *returningFleet) runUntilRenewed(t *testing.T) {
	t.Helper()
	former := f.worker.lease
	for range 1000 {
		f.run(time.Millisecond)
		if f.worker.lease > former {
			f.run(3 * time.Millisecond)
			return
		}
	}
	require.Fail(t, "the lease is not renewed")
}

// thawOrders is the number of seeds with which what waits during a standstill is handled
// in another order.
const thawOrders = 10

func forThawOrders(t *testing.T, do func(t *testing.T, f *returningFleet)) {
	t.Helper()
	for seed := range uint64(thawOrders) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			do(t, newReturningFleet(seed))
		})
	}
}

// queueBehindRun makes the owner's worker full for a second, and submits a job, which then
// waits in the owner's queue, to a host.
func (f *returningFleet) queueBehindRun(h *simHost) *simJob {
	blocker := f.newLongJob(time.Second)
	blocker.spec.Steps[0].Size.MilliCPU = 32000
	f.submit(blocker, f.owner)
	f.run(50 * time.Millisecond)
	j := f.newLongJob(10 * time.Second)
	j.next = f.other
	f.submit(j, h)
	f.run(50 * time.Millisecond)
	return j
}

// Guards against the start of a queued task right after a standstill of the worker's
// owner, which has not read yet that the host of the job has died.
func TestOwnerStartsNoTaskOfADeadHostAfterAStandstill(t *testing.T) {
	forThawOrders(t, func(t *testing.T, f *returningFleet) {
		f.queueBehindRun(f.entry)
		f.freeze(f.owner, 1450*time.Millisecond)
		f.run(50 * time.Millisecond)
		f.kill(f.entry, time.Hour)
		f.requireOneRun(t, 2*time.Second)
	})
}

// Guards against the start of a host's own queued task right after its standstill, when it
// has not read yet that the caller has left.
func TestHostStartsNoTaskOfAFormerCallerAfterAStandstill(t *testing.T) {
	forThawOrders(t, func(t *testing.T, f *returningFleet) {
		j := f.queueBehindRun(f.owner)
		f.freeze(f.owner, 1450*time.Millisecond)
		f.run(50 * time.Millisecond)
		j.leave()
		f.requireOneRun(t, 2*time.Second)
	})
}

// Guards against the renewal of a lease right after a standstill of the worker's owner,
// which has not read yet that the host of the job has died; then its stop is lost.
func TestOwnerRenewsNoLeaseForADeadHostAfterAStandstill(t *testing.T) {
	const standstill = 950 * time.Millisecond
	forThawOrders(t, func(t *testing.T, f *returningFleet) {
		f.submitLong(t, 900*time.Millisecond)
		f.run(time.Second)
		f.runUntilRenewed(t)
		f.freeze(f.owner, standstill)
		f.stopsLost = true
		f.after(standstill+thawTime, func() { f.isolateWorker(f.owner, f.worker, 2*time.Second) })
		f.run(50 * time.Millisecond)
		f.kill(f.entry, time.Hour)
		f.requireOneRun(t, 1500*time.Millisecond)
	})
}

// Guards against frames that waited during a standstill of the worker's owner and that
// count as heard when they are read: the host of the job, which lost power meanwhile, was
// found silent a second time too late.
func TestFramesReadLateDoNotKeepARunAlive(t *testing.T) {
	const standstill = 950 * time.Millisecond
	forThawOrders(t, func(t *testing.T, f *returningFleet) {
		j := f.submitLong(t, 900*time.Millisecond)
		f.run(time.Second)
		f.runUntilRenewed(t)
		f.freeze(f.owner, standstill)
		f.run(50 * time.Millisecond)
		f.losePower(f.entry, time.Hour)
		f.run(200 * time.Millisecond)
		j.leave()
		f.requireOneRun(t, 1600*time.Millisecond)
	})
}

// Guards against a host of a job that starts a task again while its first run goes on:
// the host counted the rest of the run's lease from the end of the stream that it saw
// itself, while the worker's owner saw none and went on renewing the lease; then the
// owner's stop was lost.
func TestTaskStartsAgainOnlyAfterTheLeaseThatTheOwnerRenewedLast(t *testing.T) {
	f := newReturningFleet(1)
	f.submitLong(t, 200*time.Millisecond)
	f.run(100 * time.Millisecond)
	f.partition(f.entry, f.owner, time.Hour)
	f.cuts[pair(f.entry.name, f.other.name)]--
	f.on(f.entry, func() { f.closed(f.entry, f.owner, f.entry.links[f.owner.name].stream, "stream ended") })()
	f.after(peerTimeout-10*time.Millisecond, func() { f.isolateWorker(f.owner, f.worker, 2*time.Second) })
	f.requireOneRun(t, 1300*time.Millisecond)
}
