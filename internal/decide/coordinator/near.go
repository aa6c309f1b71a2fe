package coordinator

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/nearwait"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// NearDecision reports, for the process log and the metrics, to what kind of place
// a task that names a rack is offered.
type NearDecision struct{ nearwait.Report }

func (NearDecision) action() {}

// chooseNear returns the host to offer a task that names a rack to, with the worker
// that has free capacity or nil. Other, with its worker and wait, is the choice
// without regard to the rack; it may be nil.
func (c *Coordinator) chooseNear(now time.Time, j *job, t *task, other *host, otherWorker *offer.WorkerCapacity, otherWait time.Duration) (*host, *offer.WorkerCapacity) {
	step := j.spec.Steps[t.name.Step]
	in := nearwait.Inputs{
		Now: now, RunTime: step.Estimate, Slowdown: c.cfg.RemoteSlowdown, Since: now,
		StartBy: c.startBy(j, t.name.Step), Deadline: j.deadline,
	}
	if !t.nearSince.IsZero() {
		in.Since = t.nearSince
	}
	if other != nil {
		in.Elsewhere = nearwait.Place{Known: true, Free: otherWorker != nil, At: now.Add(otherWait)}
	}
	var best *host
	var bestWorker *offer.WorkerCapacity
	for _, h := range c.sortedHosts {
		if !h.connected || h.report.Leaving || now.Before(t.skipUntil[h.name]) {
			continue
		}
		place, worker, others := c.nearPlace(now, h, j.route, step)
		if !place.Known || best != nil && (bestWorker != nil && worker == nil || (bestWorker != nil) == (worker != nil) && !place.At.Before(in.Near.At)) {
			continue
		}
		best, bestWorker, in.Near, in.OthersRunTime = h, worker, place, others
	}
	d := nearwait.Decide(in)
	report := nearwait.Report{Task: t.name, Rack: step.Affinity, Decision: d, Inputs: in}
	switch d.Action {
	case nearwait.StartNear:
		report.Worker = bestWorker.ID
	case nearwait.WaitNear:
		if t.nearSince.IsZero() {
			t.nearSince = now
		}
	default:
		best, bestWorker = other, otherWorker
		if otherWorker != nil {
			report.Worker = otherWorker.ID
		}
	}
	if best != nil {
		c.emit(NearDecision{report})
	}
	return best, bestWorker
}

// HasLabel reports whether a known worker has a label.
func (c *Coordinator) HasLabel(worker, label string) bool {
	return c.workers.hasLabel(worker, label)
}

// startBy returns the latest start of a step's tasks that meets the objective. For
// steps whose tasks wait for a rack it counts from the step on; for others it is
// that of the job's first steps.
func (c *Coordinator) startBy(j *job, step int) time.Time {
	if j.spec.Steps[step].Affinity == "" || c.cfg.RemoteSlowdown <= 1 {
		return j.arrived.Add(j.objective - j.criticalPath)
	}
	rest := make([]time.Duration, len(j.spec.Steps))
	for i := len(rest) - 1; i >= step; i-- {
		rest[i] += j.spec.Steps[i].Estimate
		for _, a := range j.spec.Steps[i].After {
			rest[a] = max(rest[a], rest[i])
		}
	}
	return j.arrived.Add(j.objective - rest[step])
}

// nearPlace returns what is known about the workers of a step's rack at a host: a
// worker that is free for a task, or nil and the expected start there, and the mean
// run time of the runs there, or zero.
func (c *Coordinator) nearPlace(now time.Time, h *host, route fleet.Route, step fleet.Step) (nearwait.Place, *offer.WorkerCapacity, time.Duration) {
	reach := now.Add(c.reachTime(h))
	var best *offer.WorkerCapacity
	var workers []nearwait.Worker
	var remaining time.Duration
	runs := 0
	for i := range h.report.Workers {
		w := &h.report.Workers[i]
		if w.Service != route.Service || !c.workers.hasLabel(w.ID, step.Affinity) || !c.workers.hasLabel(w.ID, step.RequiredLabel) || c.isEvacuated(w.ID) {
			continue
		}
		if step.Size.Fits(w.Free) && !c.isCold(now, w.ID) && (best == nil || w.Free.MilliCPU < best.Free.MilliCPU) {
			best = w
		}
		place := nearwait.Worker{Free: fleet.Size{MilliCPU: w.Free.MilliCPU}}
		for _, r := range w.Ends {
			end := h.reportedAt.Add(r.In)
			place.Releases = append(place.Releases, nearwait.Release{At: end, Size: fleet.Size{MilliCPU: r.MilliCPU}})
			remaining += r.In
			runs++
		}
		workers = append(workers, place)
	}
	switch {
	case best != nil:
		return nearwait.Place{Known: true, Free: true, At: reach}, best, 0
	case len(workers) == 0:
		return nearwait.Place{}, nil, 0
	}
	at, ok := nearwait.ExpectedStart(now, workers, c.demandAhead(h, route, step), fleet.Size{MilliCPU: step.Size.MilliCPU})
	if !ok {
		// The ends of the runs are not reported yet. A run like this one may have
		// started just now.
		at = now.Add(step.Estimate)
	}
	if at.Before(reach) {
		at = reach
	}
	var others time.Duration
	if runs > 0 {
		// A run observed at any time has half of its time left on average.
		others = 2 * remaining / time.Duration(runs)
	}
	return nearwait.Place{Known: true, At: at}, nil, others
}

// demandAhead returns the work that waits at a host, as tasks of a step. At a host
// with free capacity, only tasks for the rack wait.
func (c *Coordinator) demandAhead(h *host, route fleet.Route, step fleet.Step) []nearwait.Demand {
	work := cpuWork(step.Size, step.Estimate)
	if work <= 0 {
		return nil
	}
	n := min((h.workAhead(route.Priority)+work-1)/work, nearwait.MaxAhead)
	ahead := make([]nearwait.Demand, n)
	for i := range ahead {
		ahead[i] = nearwait.Demand{Size: fleet.Size{MilliCPU: step.Size.MilliCPU}, RunTime: step.Estimate}
	}
	return ahead
}
