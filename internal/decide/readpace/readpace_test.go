package readpace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// rounds plays hosts that each have a backlog to read from a store with a shared
// bandwidth, and returns the rounds of one timeout until the last has caught up. All
// reads of a round share the bandwidth; those that do not fit into the timeout fail.
func rounds(hosts, backlogKB int, bandwidthKB float64, timeout time.Duration, size func(host int) int, ended func(host int, ok bool) time.Duration) int {
	left, pause := make([]int, hosts), make([]time.Duration, hosts)
	for i := range left {
		left[i] = backlogKB
	}
	const limit = 1000
	for round := 1; round <= limit; round++ {
		total, open := 0, 0
		for i := range left {
			pause[i] -= timeout
			if left[i] > 0 && pause[i] <= 0 {
				total += min(size(i), left[i])
			}
		}
		fits := float64(total) <= bandwidthKB*timeout.Seconds()
		for i := range left {
			if left[i] > 0 && pause[i] <= 0 {
				if fits {
					left[i] -= min(size(i), left[i])
				}
				pause[i] = ended(i, fits)
			}
			open += min(left[i], 1)
		}
		if open == 0 {
			return round
		}
	}
	return limit
}

// Guards against a fleet that never catches up after the store was away: 147 hosts
// read a backlog of 1 MB each, every read times out, and is repeated whole.
func TestFleetCatchesUpAfterAnOutage(t *testing.T) {
	const hosts, backlogKB, bandwidthKB, timeout = 147, 1024, 80_000, 500 * time.Millisecond
	former := rounds(hosts, backlogKB, bandwidthKB, timeout, func(int) int { return MaxKB }, func(int, bool) time.Duration { return 200 * time.Millisecond })
	assert.Equal(t, 1000, former, "reads of fixed size never end")

	random := rand.New(rand.NewPCG(1, 1))
	pacers := make([]Pacer, hosts)
	paced := rounds(hosts, backlogKB, bandwidthKB, timeout, func(i int) int { return pacers[i].KB() }, func(i int, ok bool) time.Duration {
		if ok {
			pacers[i].Succeeded()
			return 0
		}
		return pacers[i].Failed(random.Float64())
	})
	// The bound on a configuration, 3 s and 6 s more while the store is unstable,
	// has to cover the catching up.
	assert.LessOrEqual(t, time.Duration(paced)*timeout, 9*time.Second)
}

func TestPauseGrowsUpToItsBound(t *testing.T) {
	var p Pacer
	assert.Equal(t, MaxKB, p.KB())
	assert.Equal(t, minDelay, p.Failed(0))
	assert.Equal(t, 3*minDelay, p.Failed(0.5))
	for range 70 {
		assert.LessOrEqual(t, p.Failed(0.999), maxDelay)
	}
	assert.Equal(t, MinKB, p.KB())
	p.Succeeded()
	assert.Equal(t, 2*MinKB, p.KB())
	assert.Equal(t, minDelay, p.Failed(0))
}
