package host

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var histories = flag.Int("histories", 40, "number of seeds to simulate")

// Under overlapping faults of every kind, no worker is assigned more than its
// capacity, no task runs twice at once, and each answer to a caller is correct.
func TestHistories(t *testing.T) {
	for seed := range uint64(*histories) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 2, 2, 8)
			w.run(2 * time.Second)
			w.lossRate, w.lateRate = 0.02, 0.02
			w.load(40, 10*time.Second)
			for range 8 {
				w.scheduleFault(time.Duration(w.rng.Int64N(int64(9 * time.Second))))
			}
			w.run(10 * time.Second)
			w.lossRate, w.lateRate = 0, 0
			w.run(10 * time.Second)
			require.Empty(t, w.problems)
			assert.Zero(t, w.outcomes()["open"], "every job is answered")

			// Once the faults are over, all jobs are served again.
			before := w.outcomes()
			w.load(6, 4*time.Second)
			w.run(8 * time.Second)
			require.Empty(t, w.problems)
			after := w.outcomes()
			assert.Equal(t, before["not run"]+before["lost"]+before["open"], after["not run"]+after["lost"]+after["open"],
				"before %v, after %v", before, after)
		})
	}
}

// scheduleFault schedules one random fault.
func (w *world) scheduleFault(in time.Duration) {
	length := 300*time.Millisecond + time.Duration(w.rng.Int64N(int64(3*time.Second)))
	kind := w.rng.IntN(10)
	host, other := w.hosts[w.rng.IntN(len(w.hosts))], w.hosts[w.rng.IntN(len(w.hosts))]
	worker := w.workers[w.rng.IntN(len(w.workers))]
	w.after(in, func() {
		switch kind {
		case 0:
			w.kill(host, length)
		case 1:
			if host != other {
				w.partition(host, other, length)
			}
		case 2:
			host.storeUnreachable = true
			w.after(length, func() { host.storeUnreachable = false })
		case 3:
			w.crash(worker, length, true)
		case 4:
			w.isolateWorker(host, worker, length)
		case 5:
			w.groups[host.zone].reassign(w.rng.IntN(zonePartitions))
		case 6:
			worker.failing = true
			w.after(length, func() { worker.failing = false })
		case 7:
			worker.slowdown = 5
			w.after(length, func() { worker.slowdown = 1 })
		case 8:
			for _, h := range w.hosts {
				w.kill(h, length)
			}
		case 9:
			w.isolateHost(host, 2*length)
		}
	})
}

func TestFaultFreeFleetMeetsObjectives(t *testing.T) {
	w := newWorld(1, 2, 2, 8)
	w.run(2 * time.Second)
	w.load(15, 10*time.Second)
	w.run(14 * time.Second)
	require.Empty(t, w.problems)
	late := 0
	for _, j := range w.jobs {
		require.Contains(t, []string{"completed", "failed"}, j.outcome)
		objective := time.Duration(1.6*float64(j.spec.Steps[0].Estimate)) + testRoute.LatencySlack
		if j.took > objective {
			late++
		}
	}
	assert.LessOrEqual(t, late, len(w.jobs)/50, "%d of %d late", late, len(w.jobs))
}
