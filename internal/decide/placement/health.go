package placement

import "time"

const (
	// quarantineFailures is the number of consecutive failures after which a worker
	// is quarantined.
	quarantineFailures = 3
	// quarantineBase is the length of the first quarantine. The length doubles with
	// each further one until a task succeeds.
	quarantineBase = 5 * time.Second
	// quarantineMax bounds the length of a quarantine.
	quarantineMax = 2 * time.Minute
	// maxQuarantinedShare is the largest share of the workers in quarantine at the
	// same time; one worker may always be.
	maxQuarantinedShare = 0.3
	// minClassSuccessRate is the success rate of a class of tasks above which a
	// failure counts against the worker. Below it the tasks themselves are presumed
	// faulty.
	minClassSuccessRate = 0.5
	// averageWeight is the weight of the newest value in the moving averages of
	// success rates and run times.
	averageWeight = 0.2
)

// health tracks a worker's consecutive failures and its quarantine.
type health struct {
	failuresInRow    int
	quarantined      bool
	probation        bool
	quarantinedUntil time.Time
	quarantineLength time.Duration
}

// acceptsTask reports whether the worker may get a task. On probation it gets one
// task at a time.
func (h *health) acceptsTask(used Size) bool {
	return !h.quarantined && (!h.probation || used == (Size{}))
}

// endQuarantine puts the worker on probation if its quarantine has expired, and
// reports whether it has.
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

// recordFailure counts a failure and reports whether the worker should be
// quarantined.
func (h *health) recordFailure() bool {
	h.failuresInRow++
	return !h.quarantined && (h.probation || h.failuresInRow >= quarantineFailures)
}

func (h *health) quarantine(now time.Time) {
	h.quarantineLength = min(max(2*h.quarantineLength, quarantineBase), quarantineMax)
	h.quarantined, h.probation = true, false
	h.quarantinedUntil = now.Add(h.quarantineLength)
}

// RecordSuccess counts a success of the class on the worker. It resets the worker's
// failures and ends its quarantine or probation.
func (f *Fleet) RecordSuccess(name string, c *ClassStats) {
	c.successRate += averageWeight * (1 - c.successRate)
	n, ok := f.nodes[name]
	if !ok {
		return
	}
	n.health.recordSuccess()
	f.reindex(n)
}

// RecordFailure counts a failure of the class on the worker. It reports whether it
// quarantined the worker, and for how long. A failure of a class that fails on all
// workers does not count against the worker.
func (f *Fleet) RecordFailure(now time.Time, name string, c *ClassStats) (time.Duration, bool) {
	classHealthy := c.successRate > minClassSuccessRate
	c.successRate -= averageWeight * c.successRate
	n, ok := f.nodes[name]
	if !ok || !classHealthy || !n.health.recordFailure() || !f.mayQuarantine() {
		return 0, false
	}
	n.health.quarantine(now)
	f.reindex(n)
	return n.health.quarantineLength, true
}

func (f *Fleet) mayQuarantine() bool {
	quarantined := 0
	for _, n := range f.list {
		if n.health.quarantined {
			quarantined++
		}
	}
	return float64(quarantined+1) <= max(1, maxQuarantinedShare*float64(len(f.nodes)))
}
