package coordinator

import (
	"cmp"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/speed"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// fastPlace is a worker of a host on which a task could start, after a wait if
// Wait exceeds the time to reach the host.
type fastPlace struct {
	speed.Place
	host   *host
	worker *offer.WorkerCapacity
	cold   bool
}

// chooseHostBySpeed returns the host on whose workers a task is expected to end in
// time, or as early as possible. It returns nil if speeds do not decide, or if no
// worker has capacity or is expected to have it in time.
func (c *Coordinator) chooseHostBySpeed(now time.Time, j *job, t *task) *host {
	step := &j.spec.Steps[t.name.Step]
	service := c.cfg.Speeds.Active(j.route.Service)
	if service == nil || step.Affinity != "" {
		return nil
	}
	// The owner judges by the same time, see workerpool.Pool.needOf.
	due := j.arrived.Add(j.objective - j.criticalPath + step.Estimate)
	if j.expectedEnd.After(due) {
		// An earlier end of this task would not make the job end earlier.
		due = j.expectedEnd
	}
	need := speed.Need{Estimate: step.Estimate, Left: due.Sub(now), Middle: service.Middle, FastFree: c.fastFree(now, service)}
	best, later := c.bestPlaces(now, j, t, step, need)
	switch {
	case later.host != nil && (best.host == nil && need.Meets(later.Place) || best.host != nil && need.Waits(best.Place, later.Place)):
		later.worker.Ends = takeEnds(later.worker.Ends, step.Size.MilliCPU-max(0, later.worker.Free.MilliCPU))
		c.chargeRoute(later.host, j.route.Name, cpuWork(step.Size, step.Estimate), 0)
		best = later
	case best.host == nil:
		return nil
	default:
		best.worker.Free = best.worker.Free.Sub(step.Size)
		c.chargeRoute(best.host, j.route.Name, 0, int64(step.Size.MilliCPU))
	}
	if end := now.Add(need.Finish(best.Place)); end.After(j.expectedEnd) {
		j.expectedEnd = end
	}
	return best.host
}

// fastFree returns the free share of the capacity of a service's fast workers, by the
// last reports. It is computed once for the tasks that are offered together.
func (c *Coordinator) fastFree(now time.Time, service *speed.Service) float64 {
	if f := &c.fastShare; f.at.Equal(now) && f.service == service.Name {
		return f.share
	}
	var share speed.FreeShare
	for _, h := range c.sortedHosts {
		if !h.connected || h.report.Leaving {
			continue
		}
		for i := range h.report.Workers {
			w := &h.report.Workers[i]
			if w.Service == service.Name && c.relativeTime(w) < service.Middle && !c.isEvacuated(w.ID) {
				share.Add(w.Free.MilliCPU, c.workers.get(w.ID).Capacity.MilliCPU)
			}
		}
	}
	c.fastShare = fastShare{at: now, service: service.Name, share: share.Share()}
	return c.fastShare.share
}

// fastShare is the free share of the capacity of a service's fast workers at a time.
type fastShare struct {
	at      time.Time
	service string
	share   float64
}

// relativeTime returns a worker's reported relative run time, or the known one.
func (c *Coordinator) relativeTime(w *offer.WorkerCapacity) float64 {
	if w.RelativeTime > 0 {
		return w.RelativeTime
	}
	return c.cfg.Speeds.Relative(w.ID)
}

// bestPlaces returns the best place with free capacity for a task of a step, and
// the fast worker that is expected to end it first once its capacity is free.
func (c *Coordinator) bestPlaces(now time.Time, j *job, t *task, step *fleet.Step, need speed.Need) (best, later fastPlace) {
	for _, h := range c.sortedHosts {
		if !h.connected || h.report.Leaving || now.Before(t.skipUntil[h.name]) {
			continue
		}
		reach := c.reachTime(h)
		c.considered += len(h.report.Workers)
		for i := range h.report.Workers {
			w := &h.report.Workers[i]
			if w.Service != j.route.Service || !c.workers.hasLabel(w.ID, step.RequiredLabel) || c.isEvacuated(w.ID) {
				continue
			}
			p := fastPlace{Place: speed.Place{Relative: c.relativeTime(w), Wait: reach}, host: h, worker: w}
			if step.Size.Fits(w.Free) {
				p.cold = c.isCold(now, w.ID)
				if best.host == nil || c.comparePlaces(need, p, best) < 0 {
					best = p
				}
				continue
			}
			if p.Relative >= need.Middle || len(w.Ends) == 0 {
				continue
			}
			in, ok := freeIn(w, step.Size.MilliCPU)
			p.Wait += max(0, in-now.Sub(h.reportedAt))
			if ok && (later.host == nil || need.Finish(p.Place) < need.Finish(later.Place)) {
				later = p
			}
		}
	}
	return best, later
}

// comparePlaces compares two places with free capacity: cold workers come last, then
// the expected ends decide, then the time to reach the host, then the tighter fit.
func (c *Coordinator) comparePlaces(need speed.Need, a, b fastPlace) int {
	switch {
	case a.cold != b.cold && a.cold:
		return 1
	case a.cold != b.cold:
		return -1
	}
	if order := need.Compare(a.Place, b.Place); order != 0 {
		return order
	}
	return cmp.Or(
		cmp.Compare(c.reachTime(a.host), c.reachTime(b.host)),
		cmp.Compare(a.worker.Free.MilliCPU, b.worker.Free.MilliCPU),
		cmp.Compare(b.host.freeCPU(), a.host.freeCPU()),
	)
}

// freeIn returns the time, since the report, after which ends of runs free an
// amount of capacity on a worker, in thousandths of a core.
func freeIn(w *offer.WorkerCapacity, milliCPU int) (time.Duration, bool) {
	free := w.Free.MilliCPU
	for _, e := range w.Ends {
		if free += e.MilliCPU; free >= milliCPU {
			return e.In, true
		}
	}
	return 0, false
}

// takeEnds returns the expected ends without the first capacity, which a task that
// was offered will use.
func takeEnds(ends []offer.ExpectedEnd, milliCPU int) []offer.ExpectedEnd {
	for len(ends) > 0 && milliCPU > 0 {
		milliCPU -= ends[0].MilliCPU
		ends = ends[1:]
	}
	return ends
}
