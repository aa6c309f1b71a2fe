package workerpool

import "time"

const (
	// failuresOut is how many failed runs in a row put a worker on probation.
	// A run fails by its own fault once in some hundred times, so that two in a
	// row speak against the worker.
	failuresOut = 2
	// probationTime is how long a failing worker gets nothing.
	probationTime = 2 * time.Second
	// slowFactor is how many times slower than the fleet's mean a worker may be
	// before it is put on probation. Sound workers differ by up to 1.6.
	slowFactor = 3.0
	// judgeAfter is how long a run goes on before its progress says something.
	judgeAfter = 100 * time.Millisecond
	// stragglerRest is the least that a run must have before it for its task to
	// go elsewhere: offers, a start and the work thrown away cost as much.
	stragglerRest = 300 * time.Millisecond
	// paceWeight is the weight of one run in a worker's mean pace.
	paceWeight = 0.25
	// paceRuns is how many runs a pace needs before it counts.
	paceRuns = 3
)

// health judges a worker by the outcomes of its runs against the fleet's.
type health struct {
	failures int
	outUntil time.Time
	// trial is set while the worker has to prove itself with one run at a time.
	trial bool
	// pace is the mean of run time over estimate.
	pace float64
	runs int
}

func (h *health) out(now time.Time) bool { return now.Before(h.outUntil) }

// done takes a completed run.
func (h *health) done() {
	h.failures = 0
	h.trial = false
}

// failed takes a run that failed or never ended; it reports whether the worker
// goes on probation now.
func (h *health) failed(now time.Time) bool {
	h.failures++
	if h.failures < failuresOut && !h.trial {
		return false
	}
	h.outUntil = now.Add(probationTime)
	h.trial = true
	return true
}

// paceBook keeps the mean pace of all workers.
type paceBook struct {
	pace float64
	runs int
}

// record takes the time of a completed run; it reports whether the worker is
// far slower than the others.
func (b *paceBook) record(h *health, took, estimate time.Duration) bool {
	if estimate <= 0 {
		return false
	}
	ratio := float64(took) / float64(estimate)
	b.pace = blend(b.pace, ratio, b.runs, paceWeight/10)
	b.runs++
	h.pace = blend(h.pace, ratio, h.runs, paceWeight)
	h.runs++
	return h.runs >= paceRuns && h.pace > slowFactor*b.pace
}

// blend returns the moving mean with one more value.
func blend(mean, value float64, count int, weight float64) float64 {
	if count == 0 {
		return value
	}
	return mean + max(weight, 1/float64(count+1))*(value-mean)
}

// expect returns how long a run of the estimate takes on the worker.
func (b *paceBook) expect(w *worker, estimate time.Duration) time.Duration {
	pace := w.health.pace
	if w.health.runs < paceRuns {
		pace = b.pace
	}
	if pace == 0 {
		return estimate
	}
	return time.Duration(float64(estimate) * pace)
}
