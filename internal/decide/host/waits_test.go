package host

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
)

// separate ends the stream between two hosts for good. Most hosts of two large zones have
// none.
func (w *world) separate(a, b *simHost) {
	w.cuts[pair(a.name, b.name)]++
	w.on(a, func() { a.core.HostLost(w.now, b.name) })()
	w.on(b, func() { b.core.HostLost(w.now, a.name) })()
}

// separatedRun submits long stored jobs and finds a run whose driver is in another zone
// than its worker. It returns the driver, the owner and the worker. Of the hosts of the worker's
// zone, the driver has a stream to the owner only. The first zone has workers again 4.6 s
// after the start of the fleet, so that all runs are in the others.
func (w *world) separatedRun(t *testing.T) (driver, owner *simHost, worker *simWorker) {
	t.Helper()
	for _, sw := range w.workers {
		if sw.info.Zone == w.hosts[0].zone {
			w.crash(sw, 4600*time.Millisecond, false)
		}
	}
	w.run(4 * time.Second)
	w.submitLong(12, 6*time.Second)
	w.run(500 * time.Millisecond)
	var jobs []string
	for _, j := range w.sortedJobs() {
		jobs = append(jobs, j.id)
	}
	var r ledger.HandedRun
	for _, h := range w.hosts {
		running, _ := h.core.Coordinator.StoredRuns(jobs)
		if len(running) > 0 && h.zone == w.hosts[0].zone {
			driver, r = h, running[0]
			break
		}
	}
	require.NotNil(t, driver, "no host of the first zone drives a job")
	owner = w.hosts[slices.IndexFunc(w.hosts, func(h *simHost) bool { return h.name == r.Owner })]
	for _, h := range w.hosts {
		if h.zone == owner.zone && h != owner {
			w.separate(driver, h)
		}
	}
	worker = w.workers[slices.IndexFunc(w.workers, func(sw *simWorker) bool { return sw.info.ID == r.Worker })]
	return driver, owner, worker
}

// An owner without a connection to the store and to a worker reported the runs there as
// ended with their lease. The worker's next owner, to which the driver had no stream, had
// found them and renewed their lease, and the driver started the tasks again.
func TestLeaseMayHaveBeenRenewedByTheNextOwner(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 2, 3, 3)
			_, owner, worker := w.separatedRun(t)
			owner.storeUnreachable = true
			w.run(400 * time.Millisecond)
			w.isolateWorker(owner, worker, 3*time.Second)
			w.run(3 * time.Second)
			require.Empty(t, w.problems)
		})
	}
}

// A worker was assigned to one host after the other. Each held the runs that it found for
// their driver anew, while the driver waited as if there were one next owner.
func TestRunIsNotHeldByOneOwnerAfterTheOther(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 2, 4, 3)
			driver, owner, _ := w.separatedRun(t)
			for i := range 5 {
				w.groups[owner.zone].reassign(i + 1)
				w.run(600 * time.Millisecond)
				if i == 0 {
					w.separate(driver, owner)
				}
			}
			require.Empty(t, w.problems)
		})
	}
}

// The last owner that heard the driver, which learned late that their stream had ended, and
// the worker's next owner held a run one after the other, and its stops were lost. The driver
// waited from its own end of the stream as if only one of them held it.
func TestRunOfASilentDriverIsNotHeldAgainUnknownToIt(t *testing.T) {
	for seed := range uint64(3) {
		for _, reassigned := range []time.Duration{1200, 1300, 1400, 1500} {
			t.Run(fmt.Sprintf("seed=%d/%d", seed, reassigned), func(t *testing.T) {
				t.Parallel()
				w := newWorld(seed, 2, 3, 3)
				driver, owner, _ := w.separatedRun(t)
				w.stopsLost = true
				w.endStream(driver, owner, true)
				w.cuts[pair(driver.name, owner.name)]++
				w.run(reassigned * time.Millisecond)
				w.groups[owner.zone].reassign(1)
				w.run(3 * time.Second)
				require.Empty(t, w.problems)
			})
		}
	}
}

// A driver without streams to the other hosts of a worker's zone started tasks of stored jobs
// beside runs that these held, under changes of owners, standstills, and lost connections to
// the store, to workers and to the owner.
func TestStoredHistoriesWithUnreachableOwners(t *testing.T) {
	for seed := range uint64(*histories) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 2, 4, 3)
			driver, owner, worker := w.separatedRun(t)
			anyHost := func() *simHost { return w.hosts[w.rng.IntN(len(w.hosts))] }
			upTo := func(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }
			w.stopsLost = w.rng.IntN(2) == 0
			if w.rng.IntN(2) == 0 {
				w.endStream(driver, owner, w.rng.IntN(2) == 0)
				w.cuts[pair(driver.name, owner.name)]++
			}
			for range 5 {
				at, h := upTo(4*time.Second), anyHost()
				switch w.rng.IntN(6) {
				case 0, 1, 2:
					offset := 1 + w.rng.IntN(3)
					w.after(at, func() { w.groups[owner.zone].reassign(offset) })
				case 3:
					w.after(at, func() { w.freeze(h, upTo(1500*time.Millisecond)) })
				case 4:
					w.after(at, func() { w.isolateWorker(h, worker, upTo(3*time.Second)) })
				case 5:
					w.after(at, func() {
						h.storeUnreachable = true
						w.after(upTo(3*time.Second), func() { h.storeUnreachable = false })
					})
				}
			}
			w.run(10 * time.Second)
			require.Empty(t, w.problems)
		})
	}
}
