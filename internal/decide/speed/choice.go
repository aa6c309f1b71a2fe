package speed

import "time"

// runTimeMargin is the factor on expected run times that a task must have time for
// to count as on time: the tasks of a job differ by 15%, and a learned speed is off
// by up to a tenth.
const runTimeMargin = 1.25

const (
	// idleMargin replaces runTimeMargin on slow workers while fast ones are plentiful.
	// Of many slow workers with inexact values, those on which a long task just seems
	// to be in time are mostly underestimated.
	idleMargin = 1.4
	// plentifulFreeShare is the free share of the fast workers' capacity above which they do
	// not need to be kept free for other tasks.
	plentifulFreeShare = 0.4
)

// sameFinish is the share of the estimate by which two expected ends may differ and
// still count as equal, since learned speeds are not more exact.
const sameFinish = 0.1

// Need is what a task needs to be on time.
type Need struct {
	// Estimate is the declared run time.
	Estimate time.Duration
	// Left is the time until the task must end for its job to be on time, or until
	// another task of the job is expected to end, if that is later.
	Left time.Duration
	// Middle separates the fast workers of the service from the slow ones.
	Middle float64
	// FastFree is the free share of the fast workers' capacity.
	FastFree float64
}

// FreeShare sums up the capacity of the fast workers of a service, in thousandths
// of a core.
type FreeShare struct{ free, capacity int }

// Add adds a worker.
func (s *FreeShare) Add(free, capacity int) {
	s.free, s.capacity = s.free+free, s.capacity+capacity
}

// Share returns the free share of the capacity, zero without any.
func (s *FreeShare) Share() float64 { return float64(s.free) / float64(max(s.capacity, 1)) }

// Place is a worker on which a task could start after Wait.
type Place struct {
	// Relative is the expected run time divided by the estimate.
	Relative float64
	Wait     time.Duration
}

// RunTime returns the expected run time at a place.
func (n Need) RunTime(relative float64) time.Duration {
	return time.Duration(relative * float64(n.Estimate))
}

// Finish returns the time until the task is expected to end at a place.
func (n Need) Finish(p Place) time.Duration { return p.Wait + n.RunTime(p.Relative) }

// Meets reports whether the task is expected to end in time, with a margin.
func (n Need) Meets(p Place) bool {
	margin := runTimeMargin
	if p.Relative >= n.Middle && n.FastFree > plentifulFreeShare {
		margin = idleMargin
	}
	return p.Wait+time.Duration(margin*float64(n.RunTime(p.Relative))) <= n.Left
}

// Compare returns a negative number if place a is preferred to b, and zero if the
// other criteria decide. Places where the task ends in time come first, and slow
// workers first among these, so that fast ones stay free for tasks that need them.
// Where it would be late, it ends as early as possible.
func (n Need) Compare(a, b Place) int {
	onTime := n.Meets(a)
	switch {
	case onTime != n.Meets(b):
		return preferIf(onTime)
	case onTime:
		if slow := a.Relative >= n.Middle; slow != (b.Relative >= n.Middle) {
			return preferIf(slow)
		}
		return 0
	}
	difference := n.Finish(a) - n.Finish(b)
	if difference.Abs() <= n.RunTime(sameFinish) {
		return 0
	}
	return preferIf(difference < 0)
}

func preferIf(a bool) int {
	if a {
		return -1
	}
	return 1
}

// Waits reports whether a task should wait for a place that becomes free, rather
// than start at once at another: only if it is late there, and ends in time and
// earlier after the wait.
func (n Need) Waits(atOnce, later Place) bool {
	return !n.Meets(atOnce) && n.Meets(later) && n.Finish(later) < n.Finish(atOnce)
}

// Reason tells how a start was placed.
type Reason string

// The reasons.
const (
	// Former means that speeds did not count.
	Former Reason = "speeds_do_not_decide"
	// SlowInTime and FastInTime mean that the task is expected to be on time on a
	// slow, or only on a fast worker.
	SlowInTime Reason = "slow_in_time"
	FastInTime Reason = "fast_in_time"
	// Earliest means that the task is expected to be late everywhere.
	Earliest Reason = "earliest_end"
)

// Reason returns the reason for starting at a place.
func (n Need) Reason(p Place) Reason {
	switch {
	case !n.Meets(p):
		return Earliest
	case p.Relative >= n.Middle:
		return SlowInTime
	}
	return FastInTime
}
