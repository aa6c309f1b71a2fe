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
