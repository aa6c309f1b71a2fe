package sharing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// feed lets jobs arrive on a route at a constant rate for a time.
func feed(d *Demand, start time.Time, length time.Duration, route string, priority int, interval time.Duration, work int64) time.Time {
	for at := time.Duration(0); at < length; at += interval {
		d.Observe(start.Add(at), route, "svc", priority, work)
	}
	return start.Add(length)
}

// Guards against shares that follow a burst of a few seconds, which would grant the
// bursting route the capacity of the others.
func TestShortBurstHardlyMovesShares(t *testing.T) {
	var d Demand
	start := time.Unix(1000, 0)
	for _, route := range []string{"a", "b"} {
		feed(&d, start, 30*time.Second, route, 0, 10*time.Millisecond, 80)
	}
	calm := start.Add(30 * time.Second)
	assert.InDelta(t, 0.5, d.Share(calm, "a"), 0.02)

	burst := feed(&d, calm, 2*time.Second, "a", 0, 5*time.Millisecond, 80)
	feed(&d, calm, 2*time.Second, "b", 0, 10*time.Millisecond, 80)
	assert.Less(t, d.Share(burst, "a"), 0.58, "twice the rate for a quarter of the time constant")
}

// Guards against wrong shares in the first seconds of a process.
func TestRatesOfAYoungProcessAreThoseObserved(t *testing.T) {
	var d Demand
	start := time.Unix(1000, 0)
	end := feed(&d, start, time.Second, "a", 0, 10*time.Millisecond, 80)
	rates := d.Rates(end, "svc")
	assert.Len(t, rates, 1)
	assert.InDelta(t, 8, rates[0].MilliCPU, 0.5, "80 milli-CPU ms each 10 ms")
}

// Guards against results that depend on the order of map iteration, and against
// activity for services whose routes have one priority.
func TestRatesAreSortedAndRanked(t *testing.T) {
	var d Demand
	now := time.Unix(1000, 0)
	d.Observe(now, "z", "svc", 0, 10)
	assert.False(t, d.Ranked("svc"))
	d.Observe(now, "b", "svc", 1, 10)
	d.Observe(now, "a", "svc", 1, 10)
	assert.True(t, d.Ranked("svc"))
	var names []string
	for _, r := range d.Rates(now, "svc") {
		names = append(names, r.Route)
	}
	assert.Equal(t, []string{"z", "a", "b"}, names)
	assert.Empty(t, d.Rates(now, "other"))
	assert.Zero(t, d.Share(now, "other"))
}
