package placement

import "time"

const (
	// failStreak is how many failures in a row take a worker out of service.
	failStreak = 3
	// quarantineBase is the length of the first quarantine; it doubles.
	quarantineBase = 5 * time.Second
	// quarantineMax bounds the length of a quarantine.
	quarantineMax = 2 * time.Minute
	// maxOutShare is the largest share of workers in quarantine at once.
	maxOutShare = 0.3
	// healthyRate is the success rate above which a class of tasks is thought
	// sound, so that a failure counts against the worker.
	healthyRate = 0.5
	// rateGain weighs the newest outcome in a success rate.
	rateGain = 0.2
)

// health is what a worker's outcomes say about it.
type health struct {
	streak    int
	out       bool
	probation bool
	until     time.Time
	length    time.Duration
}

// open reports whether the worker may get a task. On probation it gets one at
// a time.
func (h *health) open(used Size) bool {
	return !h.out && (!h.probation || used == (Size{}))
}

// release ends a quarantine that has run out; the worker is on probation then.
func (h *health) release(now time.Time) bool {
	if !h.out || now.Before(h.until) {
		return false
	}
	h.out, h.probation = false, true
	return true
}

func (h *health) succeed() {
	*h = health{}
}

// fail counts a failure and reports whether the worker should be taken out.
func (h *health) fail() bool {
	h.streak++
	return !h.out && (h.probation || h.streak >= failStreak)
}

func (h *health) quarantine(now time.Time) {
	h.length = min(max(2*h.length, quarantineBase), quarantineMax)
	h.out, h.probation = true, false
	h.until = now.Add(h.length)
}

// Succeeded counts a success of the class on the worker.
func (f *Fleet) RecordSuccess(name string, c *ClassStats) {
	c.rate += rateGain * (1 - c.rate)
	n, ok := f.nodes[name]
	if !ok {
		return
	}
	n.health.succeed()
	f.reindex(n)
}

// Failed counts a failure of the class on the worker, and reports whether the
// worker was put in quarantine and for how long. A failure of a class that
// fails everywhere does not count against the worker.
func (f *Fleet) RecordFailure(now time.Time, name string, c *ClassStats) (time.Duration, bool) {
	sound := c.rate > healthyRate
	c.rate -= rateGain * c.rate
	n, ok := f.nodes[name]
	if !ok || !sound || !n.health.fail() || !f.mayQuarantine() {
		return 0, false
	}
	n.health.quarantine(now)
	f.reindex(n)
	return n.health.length, true
}

func (f *Fleet) mayQuarantine() bool {
	out := 0
	for _, n := range f.list {
		if n.health.out {
			out++
		}
	}
	return float64(out+1) <= max(1, maxOutShare*float64(len(f.nodes)))
}
