package dispatch

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/coordinator"
	"github.com/parsleyhill/parsleyhill/internal/decide/recovery"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/platform"
)

// startupReadEnded wakes the memberships once the job log and the evacuated zones
// have been read, so that the first join need not wait for joinInterval.
func (d *Dispatcher) startupReadEnded() {
	if d.policies.FastRecovery.Enabled() && d.logRead.Load() && d.evacuationsListed.Load() {
		d.wakeMemberships()
	}
}

// heldRetryAfter is the delay after which the caller of a refused held job may retry.
// It is the shortest that the Retry-After header can express.
const heldRetryAfter = time.Second

// The events of held jobs in the metric parsleyhill_held_jobs_total.
const (
	eventHeld      = "held"
	eventSubmitted = "submitted"
	eventRefused   = "refused"
	eventCancelled = "cancelled"
	eventNotHeld   = "not_held"
)

// start is the state of a host that is starting. Its methods and those of the
// Dispatcher in this file that use it run in the loop.
type start struct {
	holder *recovery.Holder
	// jobs are the held jobs by ID. The coordinator does not know them, so none of
	// their tasks has been offered.
	jobs map[string]heldJob
	// events counts the events of held jobs, for the log.
	events map[string]int
	// logged is set once the steps have been logged.
	logged bool
}

// heldJob is a best-effort job that is held, with the request that waits for it.
type heldJob struct {
	spec    fleet.Job
	route   fleet.Route
	timeout time.Duration
	arrived time.Time
	result  chan platform.Result
}

func newStart(now time.Time) *start {
	return &start{holder: recovery.NewHolder(now), jobs: map[string]heldJob{}, events: map[string]int{}}
}

func (d *Dispatcher) countHeld(event string) {
	d.start.events[event]++
	d.metrics.heldJobs.WithLabelValues(event).Inc()
}

// hold holds a job if this host is not ready, or if jobs that arrived earlier are still
// held. It reports whether it did so.
func (d *Dispatcher) hold(now time.Time, j heldJob) bool {
	ready := d.ready.Load() == nil
	if d.start == nil || ready && len(d.start.jobs) == 0 {
		return false
	}
	bounds := coordinator.JobBounds(j.spec, j.route, j.timeout)
	expected := d.start.holder.Expected(now)
	reason := d.start.holder.Add(now, recovery.Job{
		ID: j.spec.ID, Arrived: now, Objective: bounds.Objective, CriticalPath: bounds.CriticalPath, Deadline: now.Add(bounds.Timeout),
	})
	message, event := "job held", eventHeld
	switch {
	case reason == recovery.Held:
		d.start.jobs[j.spec.ID] = j
	case ready || reason == recovery.PeriodOver:
		return false
	default:
		message, event = "job not held", eventNotHeld
	}
	d.countHeld(event)
	d.logger.Info(message, "job", j.spec.ID, "route", j.route.Name, "why", reason, "capacity_expected_in", expected,
		"objective", bounds.Objective, "critical_path", bounds.CriticalPath, "timeout", bounds.Timeout)
	return reason == recovery.Held
}

// isHeld reports whether a job is held.
func (d *Dispatcher) isHeld(job string) bool {
	if d.start == nil {
		return false
	}
	_, ok := d.start.jobs[job]
	return ok
}

// heldJobs returns the number of held jobs of a route.
func (d *Dispatcher) heldJobs(route string) int {
	if d.start == nil {
		return 0
	}
	n := 0
	for _, j := range d.start.jobs {
		if j.route.Name == route {
			n++
		}
	}
	return n
}

// cancelHeld removes a held job for which the given request waits, or any request if
// result is nil. It reports whether there was such a job.
func (d *Dispatcher) cancelHeld(now time.Time, job, why string, result chan platform.Result) bool {
	if !d.isHeld(job) || result != nil && d.start.jobs[job].result != result {
		return false
	}
	d.endHeld(now, job, eventCancelled, errkind.New(errkind.Cancelled, "%s", why))
	return true
}

// replaceHeld removes a held job that its caller submits again.
func (d *Dispatcher) replaceHeld(now time.Time, job string) {
	if d.isHeld(job) {
		d.endHeld(now, job, eventCancelled, errkind.New(errkind.Cancelled, "the job was submitted again"))
	}
}

// refuseHeldForStop refuses all held jobs because a planned stop begins.
func (d *Dispatcher) refuseHeldForStop(now time.Time) {
	if d.start == nil {
		return
	}
	for _, j := range d.start.holder.Stop() {
		d.endHeld(now, j.ID, eventRefused, errkind.New(errkind.Stopping, "the host is stopping"))
	}
}

// endHeld answers a held job that is not submitted.
func (d *Dispatcher) endHeld(now time.Time, job, event string, err *errkind.Error) {
	j := d.start.jobs[job]
	d.start.holder.Remove(job)
	delete(d.start.jobs, job)
	d.countHeld(event)
	if event == eventCancelled {
		d.logger.Info("held job cancelled", "job", job, "route", j.route.Name, "why", err.Detail, "held_for", now.Sub(j.arrived))
		j.result <- platform.Result{Err: err}
		return
	}
	d.logger.Warn("job refused", "job", job, "route", j.route.Name, "why", err.Detail, "held_for", now.Sub(j.arrived))
	j.result <- platform.Result{Err: err, RetryAfter: heldRetryAfter}
}

// advanceStart records the steps of the start that have ended, submits the held jobs
// for which there is room if this host is ready, and refuses those that cannot be
// held longer. It reports whether it submitted any.
func (d *Dispatcher) advanceStart(now time.Time) bool {
	if d.start == nil {
		return false
	}
	d.recordSteps(now)
	why := d.ready.Load()
	submitted := 0
	var refuse []recovery.Job
	if why == nil {
		refuse = d.start.holder.CapacityKnown(now, func(j recovery.Job) bool { return d.wouldAccept(now, j.ID) }, func(j recovery.Job) {
			d.submitHeld(now, j.ID)
			submitted++
		})
	} else {
		refuse = d.start.holder.Due(now)
	}
	for _, j := range refuse {
		err := why
		if err == nil {
			err = errkind.New(errkind.NotReady, "held until its deadline could not be met")
		}
		d.endHeld(now, j.ID, eventRefused, err)
	}
	d.logSteps(now, why == nil)
	return submitted > 0
}

// wouldAccept reports whether the coordinator would accept a held job.
func (d *Dispatcher) wouldAccept(now time.Time, job string) bool {
	j := d.start.jobs[job]
	return d.core.Coordinator.WouldAccept(now.Sub(j.arrived), j.spec, j.route, j.timeout)
}

func (d *Dispatcher) submitHeld(now time.Time, job string) {
	j := d.start.jobs[job]
	delete(d.start.jobs, job)
	d.countHeld(eventSubmitted)
	heldFor := now.Sub(j.arrived)
	d.logger.Info("held job submitted", "job", job, "route", j.route.Name, "held_for", heldFor)
	d.waiters[job] = waiter{result: j.result, heldFor: heldFor}
	d.metrics.jobs.WithLabelValues(j.route.Name).Inc()
	d.core.Coordinator.SubmitHeld(now, heldFor, j.spec, j.route, j.timeout)
}

// recordSteps records the steps of the start that have ended. The first run is
// recorded when its worker accepts it.
func (d *Dispatcher) recordSteps(now time.Time) {
	for step, ended := range map[recovery.Step]bool{
		recovery.Configuration:  d.config.Load() != nil,
		recovery.JobLog:         d.logRead.Load(),
		recovery.EvacuatedZones: d.core.Evacuations.Listed(),
		recovery.WorkerList:     d.workersListed,
		recovery.PeerReached:    len(d.peers.links) > 0,
		recovery.Worker:         len(d.core.Pool.WorkerIDs()) > 0,
		recovery.Capacity:       d.core.Coordinator.HasCapacity(),
		recovery.Ready:          d.ready.Load() == nil,
	} {
		if ended {
			d.stepEnded(now, step)
		}
	}
}

func (d *Dispatcher) stepEnded(now time.Time, step recovery.Step) {
	if d.start == nil {
		return
	}
	if _, ok := d.start.holder.EndOf(step); ok {
		return
	}
	d.start.holder.StepEnded(now, step)
	age, _ := d.start.holder.EndOf(step)
	d.metrics.startSteps.WithLabelValues(step.String()).Set(age.Seconds())
}

// logSteps logs the steps of the start once the hold period is over, and again when
// the host is ready if it was not ready by then. Then the start is over.
func (d *Dispatcher) logSteps(now time.Time, ready bool) {
	if !d.start.holder.HoldPeriodOver(now) || d.start.logged && !ready {
		return
	}
	d.start.logged = true
	var fields []any
	for _, step := range recovery.Steps() {
		var value any = "missing"
		if age, ok := d.start.holder.EndOf(step); ok {
			value = age
		}
		fields = append(fields, step.String(), value)
	}
	for _, event := range []string{eventHeld, eventSubmitted, eventRefused, eventCancelled, eventNotHeld} {
		fields = append(fields, event, d.start.events[event])
	}
	d.logger.Info("steps of the start", fields...)
	if ready {
		d.start = nil
	}
}
