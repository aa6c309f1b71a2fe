package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// rackLoad lets the tasks of a world name racks. Its zero value lets none.
type rackLoad struct {
	// slowdown is the factor on run times away from the rack.
	slowdown float64
	// hot is the share of jobs that name the first rack.
	hot        float64
	near, away int
}

const testRacks = 4

// newRackWorld returns a world of four racks of workers, of which a share of the
// jobs names the first and the others any.
func newRackWorld(seed uint64, workersPerZone int, hot float64) *world {
	return newWorldWithRacks(seed, 2, 2, workersPerZone, rackLoad{slowdown: 2, hot: hot})
}

// labels returns the labels of the worker with an index.
func (r rackLoad) labels(index, workers int) []string {
	if r.slowdown == 0 {
		return nil
	}
	return []string{fmt.Sprintf("rack-%d", index*testRacks/workers)}
}

func (w *world) nameRack(s *fleet.Step) {
	if w.racks.slowdown == 0 {
		return
	}
	rack := 0
	if w.rng.Float64() >= w.racks.hot {
		rack = w.rng.IntN(testRacks)
	}
	s.Affinity = fmt.Sprintf("rack-%d", rack)
}

// awayTime returns the length of a run that takes a time near its data, and counts
// the run.
func (w *world) awayTime(sw *simWorker, s fleet.Step, length time.Duration) time.Duration {
	switch {
	case w.racks.slowdown == 0:
	case sw.info.HasLabel(s.Affinity):
		w.racks.near++
	default:
		w.racks.away++
		return time.Duration(float64(length) * w.racks.slowdown)
	}
	return length
}

// Guards against broken rules of safety, and jobs that are never answered, while
// tasks wait for a hot rack under overlapping faults.
func TestHistoriesWithAHotRack(t *testing.T) {
	for seed := range uint64(*histories) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newRackWorld(seed, 8, 0.6)
			w.run(2 * time.Second)
			w.lossRate, w.lateRate = 0.02, 0.02
			w.load(20, 10*time.Second)
			for range 8 {
				w.scheduleFault(time.Duration(w.rng.Int64N(int64(9 * time.Second))))
			}
			w.run(10 * time.Second)
			w.lossRate, w.lateRate = 0, 0
			// Twice the time of TestHistories, because runs take up to twice as long.
			w.run(20 * time.Second)
			require.Empty(t, w.problems)
			assert.Zero(t, w.outcomes()["open"], "every job is answered")
		})
	}
}

// Guards against slow runs away from their racks on a calm day: callers need 95% of
// the tasks near their data.
func TestCalmDayRunsNear(t *testing.T) {
	for _, workersPerZone := range []int{16, 40} {
		// Racks of 8 and 20 workers.
		w := newRackWorld(1, workersPerZone, 0)
		w.run(2 * time.Second)
		w.load(6*float64(workersPerZone)/8, 20*time.Second)
		w.run(24 * time.Second)
		require.Empty(t, w.problems)
		t.Logf("%d workers per rack: %d near, %d away", workersPerZone/2, w.racks.near, w.racks.away)
		assert.GreaterOrEqual(t, w.racks.near*100, (w.racks.near+w.racks.away)*95)
	}
}
