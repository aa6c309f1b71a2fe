package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// EvacuationsChanged applies a change of Config.Evacuations: idle tasks are offered
// to hosts that can start them now, and jobs that have nowhere left to run and have
// not started are refused.
func (c *Coordinator) EvacuationsChanged(now time.Time) {
	c.evacuating = c.cfg.Evacuations.Any()
	for _, j := range c.jobsByArrival() {
		c.review(now, j)
	}
}

// isEvacuated reports whether a worker is in an evacuated zone. Its owner may not
// know that yet.
func (c *Coordinator) isEvacuated(worker string) bool {
	return c.evacuating && c.cfg.Evacuations.Active(c.workers.get(worker).Zone)
}

// capacityOf returns the reported capacity of a host without that of workers in
// evacuated zones, in thousandths of a core.
func (c *Coordinator) capacityOf(h *host) int {
	capacity := h.report.Capacity
	if !c.evacuating {
		return capacity
	}
	for _, w := range h.report.Workers {
		if c.isEvacuated(w.ID) {
			capacity -= c.workers.get(w.ID).Capacity.MilliCPU
		}
	}
	return max(0, capacity)
}

// coldPenalty is added to the expected wait at a host whose only free worker for a
// task is cold. It exceeds every reach time, so that warm workers with free
// capacity come first, also in other zones.
const coldPenalty = time.Second

// isCold reports whether a worker is cold after an evacuation of its zone.
func (c *Coordinator) isCold(now time.Time, worker string) bool {
	w, ok := c.workers.byID[worker]
	return ok && w.Cold(now) && c.cfg.Evacuations.Readmitted(w.Zone)
}

// AllEvacuated reports whether workers are known and all that are not leaving are
// in evacuated zones.
func (c *Coordinator) AllEvacuated() bool {
	found := false
	for _, w := range c.workers.byID {
		if w.Draining {
			continue
		}
		if !c.cfg.Evacuations.Active(w.Zone) {
			return false
		}
		found = true
	}
	return found
}

// evacuationNote is appended to the reason of a refusal while zones are evacuated.
func (c *Coordinator) evacuationNote() string {
	if !c.evacuating {
		return ""
	}
	return "; evacuated zones: " + strings.Join(c.cfg.Evacuations.Zones(), ", ")
}

// evacuatedPlaces returns the reason why a job has nowhere to run: every worker
// that could run the tasks of one of its steps is in an evacuated zone. It returns
// an empty string if no step is concerned.
func (c *Coordinator) evacuatedPlaces(j *job) string {
	if !c.evacuating {
		return ""
	}
	for i, step := range j.spec.Steps {
		if j.remaining[i] == 0 {
			continue
		}
		zones := map[string]bool{}
		for _, w := range c.workers.byID {
			if couldRun(w.Worker, j.route.Service, step) {
				zones[w.Zone] = true
			}
		}
		names := slices.Sorted(maps.Keys(zones))
		if len(names) > 0 && !slices.ContainsFunc(names, func(zone string) bool { return !c.cfg.Evacuations.Active(zone) }) {
			return fmt.Sprintf("all workers of service %q that can run step %d are in evacuated zones: %s", j.route.Service, i, strings.Join(names, ", "))
		}
	}
	return ""
}

// couldRun reports whether a worker that is idle could run a task of a step.
func couldRun(w fleet.Worker, service string, step fleet.Step) bool {
	return !w.Draining && w.Service == service && step.Size.Fits(w.Capacity) && w.HasLabel(step.RequiredLabel)
}

// refuseEvacuated refuses a job that has nowhere to run because of evacuations, has
// not started, and of which no host has a task. It reports whether it did.
func (c *Coordinator) refuseEvacuated(now time.Time, j *job) bool {
	if !c.evacuating || j.stored || j.started || !j.noneAtHosts() || !j.notRun() {
		return false
	}
	why := c.evacuatedPlaces(j)
	if why == "" {
		return false
	}
	j.expectedWait = noCapacityWait
	c.refuse(now, j, Evacuated, why)
	return true
}

// servedWorkers returns the workers of a report that are not in evacuated zones.
func (c *Coordinator) servedWorkers(workers []offer.WorkerCapacity) []offer.WorkerCapacity {
	if !c.evacuating {
		return workers
	}
	return slices.DeleteFunc(slices.Clone(workers), func(w offer.WorkerCapacity) bool { return c.isEvacuated(w.ID) })
}
