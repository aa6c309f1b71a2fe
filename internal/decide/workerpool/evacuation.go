package workerpool

import (
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// setInfo replaces a worker's registration.
func (p *Pool) setInfo(w *worker, info fleet.Worker) {
	w.info, w.evacuated = info, p.cfg.Evacuations.Active(info.Zone)
}

// EvacuationsChanged applies a change of Config.Evacuations. Workers of evacuated
// zones start no tasks from now on; their runs continue. Waiting tasks that only
// such workers could start are returned. It returns the number of those tasks.
func (p *Pool) EvacuationsChanged(now time.Time) int {
	for _, w := range p.order {
		p.setInfo(w, w.info)
	}
	waiting := len(p.queue)
	p.returnUnstartable(now)
	return waiting - len(p.queue)
}

// CountZone returns the number of owned workers of a zone and of the runs on them.
func (p *Pool) CountZone(zone string) (workers, runs int) {
	for _, w := range p.order {
		if w.info.Zone == zone {
			workers++
			runs += len(w.runs)
		}
	}
	return workers, runs
}

// whyUnstartable returns why no worker of this host can start a task.
func (p *Pool) whyUnstartable(t *offer.Task) string {
	for _, w := range p.order {
		if w.evacuated && w.info.Service == t.Service && t.Size.Fits(w.info.Capacity) && w.info.HasLabel(t.RequiredLabel) {
			return fmt.Sprintf("zone %q is evacuated", w.info.Zone)
		}
	}
	return "no worker of this host can start it"
}

// prefers reports whether worker a is preferred to b for a task that both can
// start. Cold workers of a zone that was readmitted come after all others, except
// the one that the task avoids.
func (p *Pool) prefers(now time.Time, q *queuedTask, a, b *worker) bool {
	if a.info.ID != q.Avoid && b.info.ID != q.Avoid {
		if cold := p.isCold(now, a); cold != p.isCold(now, b) {
			return !cold
		}
	}
	return p.isBetter(q, a, b)
}

// isCold reports whether the worker is cold after an evacuation of its zone.
func (p *Pool) isCold(now time.Time, w *worker) bool {
	return w.info.Cold(now) && p.cfg.Evacuations.Readmitted(w.info.Zone)
}
