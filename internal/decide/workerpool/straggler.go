package workerpool

import (
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// longestTaskFactor is how many times longer than expected a task may be
	// without its worker being the cause: seven times its step's time, on an
	// estimate that is 40% too low, on a worker that is slower than the mean.
	longestTaskFactor = 16
	// stalledPercents is the progress, in percent of a run's work, that has to be
	// missing before the run counts as standing still. One percent may be missing
	// by rounding.
	stalledPercents = 2
	// normalSignShare is the first share of a slow run's life that says nothing
	// about its present: the worker may have become slow since.
	normalSignShare = 1.0 / 3
	// longTaskWeight is the weight of one run in the share of long tasks, and
	// minLongTaskRuns is how many runs the share must cover to show that long tasks
	// are rare. Over that many runs, a share of 3% stays above rareLongTasks by
	// two standard deviations.
	longTaskWeight  = 1.0 / 400
	minLongTaskRuns = 400
	rareLongTasks   = 0.01
	// minLongTasks is how many long tasks must have been seen before they count as
	// frequent.
	minLongTasks = 2
)

// SlowRunDecision tells what was decided about a run that is far slower than
// expected.
type SlowRunDecision string

// The decisions.
const (
	// StoppedStandingStill means that the run was stopped because it made no
	// progress.
	StoppedStandingStill SlowRunDecision = "stopped_standing_still"
	// StoppedSlowWorker means that the run was stopped because its worker is slow
	// for other runs too, or because long tasks are rare.
	StoppedSlowWorker SlowRunDecision = "stopped_slow_worker"
	// KeptLongTask means that the run goes on because its task is long.
	KeptLongTask SlowRunDecision = "kept_long_task"
	// KeptNoEvidence means that the run goes on because nothing shows whether the
	// task or the worker is the cause.
	KeptNoEvidence SlowRunDecision = "kept_no_evidence"
)

// Stopped reports whether the run was stopped.
func (d SlowRunDecision) Stopped() bool { return d == StoppedStandingStill || d == StoppedSlowWorker }

// SlowRun reports, for the process log and the metrics, a decision about a run
// that is far slower than expected. It is reported once for each run and decision.
type SlowRun struct {
	Worker   string
	Run      fleet.RunID
	Decision SlowRunDecision
	// Percent is the run's progress Took after its start was ordered, and Normal
	// the time that it was expected to take on a worker of mean speed.
	Percent      int
	Took, Normal time.Duration
	// Pace is the worker's mean run time divided by the estimate, and MeanPace
	// that of all workers.
	Pace, MeanPace float64
	// StalledFor is the time since the run's last known progress.
	StalledFor time.Duration
	// OtherSlowRuns is the number of other runs that were slow on the worker since
	// the last normal one, and NeededSlowRuns how many show that the worker is the
	// cause.
	OtherSlowRuns, NeededSlowRuns int
}

func (SlowRun) action() {}

// longTasks is the share of runs that were slow because of their task.
type longTasks struct {
	share float64
	runs  int
	seen  int
}

func (l *longTasks) observe(long bool) {
	value := 0.0
	if long {
		value = 1
		l.seen++
	}
	l.share = movingMean(l.share, value, l.runs, longTaskWeight)
	l.runs++
}

// neededSlowRuns returns how many other slow runs show that a worker is the cause
// of a slow run. Where long tasks are rare, a slow run needs no other. Where they
// are frequent, one is not enough: a long task occupies its worker seven times as
// long as others, so that a long task often has another one beside it.
func (l *longTasks) neededSlowRuns() int {
	switch {
	case l.share >= rareLongTasks && l.seen >= minLongTasks:
		return 2
	case l.runs < minLongTaskRuns:
		return 1
	}
	return 0
}

// observeProgress records the progress of a run as a poll lists it.
func (r *run) observeProgress(now time.Time, percent int) {
	if r.progressAt.IsZero() && percent == 0 {
		r.progressAt = r.acceptedAt
	}
	if r.progressAt.IsZero() || percent > r.percent {
		r.percent, r.progressAt = percent, now
	}
}

// standsStill reports whether a run has made no progress for so long that even
// a long task would have made some. Normal is the time that the run was expected
// to take.
func (r *run) standsStill(now time.Time, normal time.Duration) bool {
	perPercent := longestTaskFactor * normal / 100
	if r.percent > 0 {
		perPercent = r.progressAt.Sub(r.orderedAt) / time.Duration(r.percent)
	}
	return now.Sub(r.progressAt) >= max(minJudgedTime, stalledPercents*perPercent)
}

// projectedTime returns how long a run takes in all if it goes on as so far.
func (r *run) projectedTime(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(r.orderedAt)) * 100 / float64(max(r.percent, 1)))
}

// slowTime returns the run time from which a run with the estimate counts as slow
// on the worker.
func (p *Pool) slowTime(w *worker, estimate time.Duration) time.Duration {
	pace := p.paces.pace
	if w.health.usualRuns >= minPaceRuns {
		pace = max(pace, w.health.usualPace)
	}
	return time.Duration(slowFactor * pace * float64(estimate))
}

// slowWorker reports whether the worker's finished runs show that it is slow.
func (p *Pool) slowWorker(w *worker) bool {
	return w.health.runs >= minPaceRuns && w.health.pace > slowFactor*p.paces.pace
}

// judgedSlow and judgedNormal report whether a running run has shown that it is
// slow, or that it is not.
func (p *Pool) judgedSlow(now time.Time, w *worker, r *run) bool {
	return p.judged(now, r) && r.projectedTime(now) >= p.slowTime(w, r.task.Estimate)
}

func (p *Pool) judgedNormal(now time.Time, w *worker, r *run) bool {
	return p.judged(now, r) && r.percent > 0 && r.projectedTime(now) < p.slowTime(w, r.task.Estimate)
}

func (p *Pool) judged(now time.Time, r *run) bool {
	return r.task != nil && r.state == runRunning && !r.claimed && !r.progressAt.IsZero() && now.Sub(r.orderedAt) >= minJudgedTime
}

// evidence is what the other runs say about a slow run.
type evidence struct {
	// longTask is set if the task is the likely cause.
	longTask bool
	// otherSlowRuns counts the other runs that were slow on the worker since the
	// last normal one.
	otherSlowRuns int
}

// judge collects the evidence about a slow run, which may have ended just now.
func (p *Pool) judge(now time.Time, w *worker, r *run) evidence {
	e := evidence{otherSlowRuns: w.health.slowRuns}
	took := now.Sub(r.orderedAt)
	if normalAt := r.orderedAt.Add(time.Duration(normalSignShare * float64(took))); !w.health.normalAt.Before(normalAt) {
		e.longTask = true
	}
	for _, o := range w.runs {
		switch {
		case o == r:
		case p.judgedSlow(now, w, o):
			e.otherSlowRuns++
		case !o.orderedAt.Before(r.orderedAt) && p.judgedNormal(now, w, o):
			e.longTask = true
		}
	}
	return e
}

// mayHaveBeenStopped reports whether an earlier run of the task may have been
// stopped for slowness: one that has neither failed nor been done.
func (r *run) mayHaveBeenStopped() bool { return r.id.Run-1 > len(r.task.FailedRuns) }

// stopStraggler stops a run that is so slow that its task is expected to
// complete earlier elsewhere, if the worker is the likely cause. A task is
// stopped at most once for slowness, and again only if it stands still.
func (p *Pool) stopStraggler(now time.Time, w *worker, r *run) {
	if r == nil || r.task == nil || r.state != runRunning || r.claimed || p.paces.runs < minPaceRuns {
		return
	}
	normal := time.Duration(float64(r.task.Estimate) * p.paces.pace)
	took, total := now.Sub(r.orderedAt), r.projectedTime(now)
	still := r.standsStill(now, normal)
	worthStopping := max(2*normal, minStragglerRemaining)
	slow := total >= time.Duration(slowFactor*float64(normal)) && total-took >= worthStopping
	if took < minJudgedTime || !slow && (!still || now.Sub(r.progressAt) < worthStopping) {
		return
	}
	e := p.judge(now, w, r)
	decision := KeptNoEvidence
	switch {
	case still:
		decision = StoppedStandingStill
	case r.mayHaveBeenStopped():
		decision = KeptLongTask
	case p.slowWorker(w):
		decision = StoppedSlowWorker
	case total < p.slowTime(w, r.task.Estimate):
		// The run is as slow as others on this worker usually are.
		return
	case e.longTask:
		decision = KeptLongTask
	case e.otherSlowRuns >= p.longTasks.neededSlowRuns():
		decision = StoppedSlowWorker
	}
	if decision != r.slowDecision {
		r.slowDecision = decision
		p.emit(SlowRun{
			Worker: w.info.ID, Run: r.id, Decision: decision, Percent: r.percent, Took: took, Normal: normal,
			Pace: w.health.pace, MeanPace: p.paces.pace, StalledFor: now.Sub(r.progressAt),
			OtherSlowRuns: e.otherSlowRuns, NeededSlowRuns: p.longTasks.neededSlowRuns(),
		})
	}
	if !decision.Stopped() {
		return
	}
	p.recordSlowRun(now, w, total, r.task.Estimate, fmt.Sprintf("run at %d%% after %v", r.percent, took))
	p.stop(now, w, r, StopStraggler)
}

// recordSlowRun counts a slow run against its worker, together with the slow run
// before it, whose cause was not known then.
func (p *Pool) recordSlowRun(now time.Time, w *worker, took, estimate time.Duration, why string) {
	if w.health.pendingRatio > 0 {
		p.paces.recordRatio(&w.health, w.health.pendingRatio)
		w.health.pendingRatio = 0
	}
	w.health.slowRuns++
	if p.paces.record(&w.health, took, estimate) && w.health.runFailed(now) {
		p.emit(LogEvent{Message: "probation", Worker: w.info.ID, Why: why})
	}
}

// recordRunTime records the time of a completed run. A run that is slow because
// its task is long counts neither against the worker's health nor its speed.
func (p *Pool) recordRunTime(now time.Time, w *worker, r *run) {
	took, estimate := now.Sub(r.orderedAt), r.task.Estimate
	why := fmt.Sprintf("run took %v, estimate %v, pace %.1f, mean of all workers %.1f", took, estimate, w.health.pace, p.paces.pace)
	if p.paces.runs < minPaceRuns || took < p.slowTime(w, estimate) {
		w.health.normalAt = r.orderedAt.Add(took / 2)
		w.health.slowRuns, w.health.pendingRatio = 0, 0
		if estimate > 0 {
			w.health.usualPace = movingMean(w.health.usualPace, float64(took)/float64(estimate), w.health.usualRuns, paceWeight)
			w.health.usualRuns++
		}
		p.cfg.Speeds.Observe(now, w.info.ID, took, estimate)
		p.longTasks.observe(false)
		if p.paces.record(&w.health, took, estimate) && w.health.runFailed(now) {
			p.emit(LogEvent{Message: "probation", Worker: w.info.ID, Why: why})
		}
		return
	}
	e := p.judge(now, w, r)
	switch {
	case r.mayHaveBeenStopped() && r.task.Avoid != w.info.ID || e.longTask:
		p.longTasks.observe(true)
	case p.slowWorker(w) || e.otherSlowRuns >= p.longTasks.neededSlowRuns():
		p.recordSlowRun(now, w, took, estimate, why)
	default:
		p.longTasks.observe(true)
		w.health.slowRuns++
		if estimate > 0 {
			w.health.pendingRatio = float64(took) / float64(estimate)
		}
	}
}
