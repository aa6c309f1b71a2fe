package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// submitSteady submits best-effort jobs of one task to a host, one each 50 ms for a time.
func (w *world) submitSteady(h *simHost, length, d time.Duration) []*simJob {
	var jobs []*simJob
	for at := time.Duration(0); at < d; at += 50 * time.Millisecond {
		j := w.newLongJob(length)
		jobs = append(jobs, j)
		w.after(at, func() { w.submit(j, h) })
	}
	return jobs
}

// requireServed checks that jobs were completed at their first submission.
func requireServed(t *testing.T, w *world, jobs []*simJob) {
	t.Helper()
	require.Empty(t, w.problems)
	for _, j := range jobs {
		assert.Equal(t, "completed", j.outcome, "%s", j.id)
		assert.Equal(t, 1, j.attempts, "%s", j.id)
	}
}

// Guards against hosts that give up their workers for a planned stop although no host is
// left to take them over: requests in work got neither an answer nor a refusal.
func TestStoppingHostsServeUntilOthersTakeOver(t *testing.T) {
	for seed := range uint64(10) {
		for _, hosts := range []int{1, 2, 4} {
			t.Run(fmt.Sprintf("hosts=%d/seed=%d", hosts, seed), func(t *testing.T) {
				t.Parallel()
				w := newWorld(seed, 1, hosts, 8)
				w.run(4 * time.Second)
				last := w.hosts[hosts-1]
				jobs := w.submitSteady(last, 600*time.Millisecond, 1500*time.Millisecond)
				for i, h := range w.hosts {
					w.after(100*time.Millisecond*time.Duration(1+i), func() { w.plannedStop(h) })
				}
				w.run(6 * time.Second)
				requireServed(t, w, jobs)
			})
		}
	}
}

// Guards against the workers of a fleet that stops bit by bit at its last few hosts, which
// cannot serve with all of them.
func TestWorkersStaySpreadWhileAFleetStops(t *testing.T) {
	const hosts, workers = 6, 18
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 1, hosts, workers)
			w.run(4 * time.Second)
			for i, h := range w.hosts {
				w.after(300*time.Millisecond*time.Duration(i), func() { w.plannedStop(h) })
			}
			w.run(2100 * time.Millisecond)
			owned := 0
			for _, h := range w.hosts {
				n := len(h.core.Report(w.now).Workers)
				assert.LessOrEqual(t, n, workers/2, "workers of %s", h.name)
				owned += n
			}
			assert.Equal(t, workers, owned)
		})
	}
}

// Guards against a planned stop that keeps its workers to its end in a fleet of which most
// hosts own none.
func TestHostsWithoutWorkersCountAsSuccessors(t *testing.T) {
	const hosts, workers = 3 * zonePartitions, 6
	w := newWorld(1, 1, hosts, workers)
	w.run(6 * time.Second)
	owner := w.hosts[0]
	for _, h := range w.hosts {
		if len(h.core.Report(w.now).Workers) > 0 {
			owner = h
		}
	}
	require.NotEmpty(t, owner.core.Report(w.now).Workers)
	w.plannedStop(owner)
	w.run(time.Second)
	require.Empty(t, owner.core.Report(w.now).Workers)
	owned := 0
	for _, h := range w.hosts {
		owned += len(h.core.Report(w.now).Workers)
	}
	require.Equal(t, workers, owned)
}
