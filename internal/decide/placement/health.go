package placement

import "time"

const (
	// failStreak is how many failures in a row take a worker out of service.
	quarantineFailures = 3
	// quarantineBase is the length of the first quarantine; it doubles.
	quarantineBase = 5 * time.Second
	// quarantineMax bounds the length of a quarantine.
	quarantineMax = 2 * time.Minute
	// maxOutShare is the largest share of workers in quarantine at once.
	maxQuarantinedShare = 0.3
	// healthyRate is the success rate above which a class of tasks is thought
	// sound, so that a failure counts against the worker.
	minClassSuccessRate = 0.5
	// rateGain weighs the newest outcome in a success rate.
	averageWeight = 0.2
)

// health is what a worker's outcomes say about it.
type health struct {
	failuresInRow    int
	quarantined      bool
	probation        bool
	quarantinedUntil time.Time
	quarantineLength time.Duration
}

// open reports whether the worker may get a task. On probation it gets one at
// a time.
func (h *health) acceptsTask(used Size) bool {
	return !h.quarantined && (!h.probation || used == (Size{}))
}

// release ends a quarantine that has run out; the worker is on probation then.
func (h *health) endQuarantine(now time.Time) bool {
	if !h.quarantined || now.Before(h.quarantinedUntil) {
		return false
	}
	h.quarantined, h.probation = false, true
	return true
}

func (h *health) recordSuccess() {
	*h = health{}
}

// fail counts a failure and reports whether the worker should be taken out.
func (h *health) recordFailure() bool {
	h.failuresInRow++
	return !h.quarantined && (h.probation || h.failuresInRow >= quarantineFailures)
}

func (h *health) quarantine(now time.Time) {
	h.quarantineLength = min(max(2*h.quarantineLength, quarantineBase), quarantineMax)
	h.quarantined, h.probation = true, false
	h.quarantinedUntil = now.Add(h.quarantineLength)
}

// Succeeded counts a success of the class on the worker.
func (f *Fleet) RecordSuccess(name string, c *ClassStats) {
	c.successRate += averageWeight * (1 - c.successRate)
	n, ok := f.nodes[name]
	if !ok {
		return
	}
	n.health.recordSuccess()
	f.reindex(n)
}

// Failed counts a failure of the class on the worker, and reports whether the
// worker was put in quarantine and for how long. A failure of a class that
// fails everywhere does not count against the worker.
func (f *Fleet) RecordFailure(now time.Time, name string, c *ClassStats) (time.Duration, bool) {
	sound := c.successRate > minClassSuccessRate
	c.successRate -= averageWeight * c.successRate
	n, ok := f.nodes[name]
	if !ok || !sound || !n.health.recordFailure() || !f.mayQuarantine() {
		return 0, false
	}
	n.health.quarantine(now)
	f.reindex(n)
	return n.health.quarantineLength, true
}

func (f *Fleet) mayQuarantine() bool {
	out := 0
	for _, n := range f.list {
		if n.health.quarantined {
			out++
		}
	}
	return float64(out+1) <= max(1, maxQuarantinedShare*float64(len(f.nodes)))
}
