package coordinator

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Bounds are the times that a job may take, from its arrival.
type Bounds struct {
	Objective    time.Duration
	CriticalPath time.Duration
	// Timeout is how long its caller waits.
	Timeout time.Duration
}

// JobBounds returns the bounds with which Submit would take a job.
func JobBounds(spec fleet.Job, route fleet.Route, callerTimeout time.Duration) Bounds {
	j := &job{spec: spec}
	criticalPath := j.longestPath()
	return Bounds{
		Objective:    route.Objective(criticalPath),
		CriticalPath: criticalPath,
		Timeout:      timeLimit(route, callerTimeout),
	}
}

// WouldAccept reports whether SubmitHeld would accept a job by its expected wait. It
// returns true if waiting cannot help, because all workers are evacuated.
func (c *Coordinator) WouldAccept(heldFor time.Duration, spec fleet.Job, route fleet.Route, callerTimeout time.Duration) bool {
	if c.AllEvacuated() {
		return true
	}
	route.LatencySlack -= heldFor
	j := &job{spec: spec, route: route}
	j.criticalPath = j.longestPath()
	j.objective = route.Objective(j.criticalPath)
	return c.expectedWait(j) <= c.maxExpectedWait(j, timeLimit(route, callerTimeout)-heldFor)
}

// SubmitHeld is Submit for a job that was held since its arrival. Objective and
// deadline count from the arrival; the times in its answer count from now.
func (c *Coordinator) SubmitHeld(now time.Time, heldFor time.Duration, spec fleet.Job, route fleet.Route, callerTimeout time.Duration) bool {
	// A timeout of zero would mean that the caller named no limit.
	left := max(timeLimit(route, callerTimeout)-heldFor, time.Nanosecond)
	route.LatencySlack -= heldFor
	return c.Submit(now, spec, route, left)
}

// timeLimit returns how long a job may take. If callerTimeout is zero, the caller
// named no limit and the queue's timeout applies.
func timeLimit(route fleet.Route, callerTimeout time.Duration) time.Duration {
	switch {
	case callerTimeout > 0:
		return callerTimeout
	case route.Timeout > 0:
		return route.Timeout
	}
	return defaultTimeout
}
