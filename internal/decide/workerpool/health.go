package workerpool

import "time"

const (
	// probationFailures is the number of consecutive failed runs that put a worker
	// on probation. Tasks themselves cause about one failure in some hundred runs,
	// so that two in a row indicate a faulty worker.
	probationFailures = 2
	// probationDuration is how long a worker on probation starts no tasks.
	probationDuration = 2 * time.Second
	// slowFactor is how many times slower than the mean of all workers a worker or
	// a run may be. Healthy workers differ by a factor of up to 1.6.
	slowFactor = 3.0
	// minJudgedTime is how long a run must take before its progress is meaningful.
	minJudgedTime = 100 * time.Millisecond
	// minStragglerRemaining is the least remaining time of a run that is worth
	// stopping: offers, a start and the discarded work cost as much.
	minStragglerRemaining = 300 * time.Millisecond
	// paceWeight is the weight of one run in a worker's mean pace.
	paceWeight = 0.25
	// minPaceRuns is how many runs a mean pace must cover before it is used.
	minPaceRuns = 3
)

// health rates a worker by the results of its runs and by its pace, relative to
// that of all workers.
type health struct {
	failures       int
	probationUntil time.Time
	// trial is set from the start of a probation until a run completes; after the
	// probation, the worker gets one run at a time.
	trial bool
	// pace is the moving mean of run time divided by estimate, over runs runs.
	pace float64
	runs int
	// usualPace is pace without the slow runs, over usualRuns runs.
	usualPace float64
	usualRuns int
	// normalAt is the middle of the last run that was not slow.
	normalAt time.Time
	// slowRuns counts the slow runs since then that the worker may have caused.
	slowRuns int
	// pendingRatio is the run time divided by the estimate of a slow run whose cause
	// is not known, or zero. It is counted if the next run is slow too.
	pendingRatio float64
}

func (h *health) onProbation(now time.Time) bool { return now.Before(h.probationUntil) }

// runCompleted records a completed run, which ends the trial.
func (h *health) runCompleted() {
	h.failures = 0
	h.trial = false
}

// runFailed records a run that failed, was far too slow or was not started. It
// reports whether the worker goes on probation now.
func (h *health) runFailed(now time.Time) bool {
	h.failures++
	if h.failures < probationFailures && !h.trial {
		return false
	}
	h.probationUntil = now.Add(probationDuration)
	h.trial = true
	return true
}

// fleetPace is the moving mean pace of all workers.
type fleetPace struct {
	pace float64
	runs int
}

// record adds the time of a run to the pace of its worker and of all workers. It
// reports whether the worker is slower than the others by more than slowFactor.
func (f *fleetPace) record(h *health, took, estimate time.Duration) bool {
	if estimate <= 0 {
		return false
	}
	return f.recordRatio(h, float64(took)/float64(estimate))
}

// recordRatio is record for a run time divided by the estimate.
func (f *fleetPace) recordRatio(h *health, ratio float64) bool {
	f.pace = movingMean(f.pace, ratio, f.runs, paceWeight/10)
	f.runs++
	h.pace = movingMean(h.pace, ratio, h.runs, paceWeight)
	h.runs++
	return h.runs >= minPaceRuns && h.pace > slowFactor*f.pace
}

// movingMean returns the mean updated with one more value, after count values.
func movingMean(mean, value float64, count int, weight float64) float64 {
	if count == 0 {
		return value
	}
	return mean + max(weight, 1/float64(count+1))*(value-mean)
}

// expectedRunTime returns the time that a run with the estimate is expected to
// take on the worker.
func (f *fleetPace) expectedRunTime(w *worker, estimate time.Duration) time.Duration {
	pace := w.health.pace
	if w.health.runs < minPaceRuns {
		pace = f.pace
	}
	if pace == 0 {
		return estimate
	}
	return time.Duration(float64(estimate) * pace)
}
