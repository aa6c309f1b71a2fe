package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// loadWide submits stored jobs of many small tasks that end together, until a time.
func (w *world) loadWide(every time.Duration, until time.Time) {
	const width, length = 40, 300 * time.Millisecond
	w.submitStored(w.hosts[w.rng.IntN(len(w.hosts))], func(j *simJob) {
		j.spec.Steps = []fleet.Step{{Count: width, Size: fleet.Size{MilliCPU: 500, MemoryMB: 64}, Estimate: length}}
		j.workTimes = nil
		for range width {
			j.workTimes = append(j.workTimes, length)
		}
	})
	if w.now.Before(until) {
		w.after(every, func() { w.loadWide(every, until) })
	}
}

// Guards against tasks that run twice because the next owner of a worker takes the first
// part of a long list of ends for the whole.
func TestStoredHistoriesWithTruncatedLists(t *testing.T) {
	for seed := range uint64(*histories) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 2, 2, 2)
			w.endsPerPoll = 10
			w.run(2 * time.Second)
			w.lossRate, w.lateRate = 0.02, 0.02
			w.loadWide(300*time.Millisecond, w.now.Add(8*time.Second))
			for i := range 8 {
				h := w.hosts[i%len(w.hosts)]
				w.after(time.Duration(i)*time.Second, func() { w.plannedStop(h) })
			}
			w.scheduleFault(time.Duration(w.rng.Int64N(int64(8 * time.Second))))
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
