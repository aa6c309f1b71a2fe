package coordinator

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/sharing"
)

const (
	// ratesInterval is how long the usual rates of routes are used before they are
	// computed again: they change over seconds, and jobs arrive every millisecond.
	ratesInterval = 100 * time.Millisecond
	// maxReportAge is the age of a host's report, or of the last frame that confirmed
	// it, from which the free capacity in it no longer counts.
	maxReportAge = time.Second
)

// sharingState holds what is known about the routes of each service.
type sharingState struct {
	demand sharing.Demand
	// usual holds the usual rates at this host by service.
	usual map[string]*usualRates
	// routes is reused by each admission.
	routes []sharing.RouteState
}

// usualRates are the usual rates of a service's routes at this host.
type usualRates struct {
	routes     []sharing.RouteState
	computedAt time.Time
}

// observeArrival counts the work of an arriving job, whether it is accepted or not.
func (c *Coordinator) observeArrival(now time.Time, j *job) {
	if !c.cfg.Sharing {
		return
	}
	var work int64
	for _, step := range j.spec.Steps {
		work += int64(step.Count) * cpuWork(step.Size, step.Estimate)
	}
	c.sharing.demand.Observe(now, j.route.Name, j.route.Service, j.route.Priority, work)
}

// routesOf returns the routes of a job's service with their usual rates, without
// work, and the index of the job's route. It returns nil unless capacity is shared
// and the routes differ in priority. The result is valid until the next call.
func (c *Coordinator) routesOf(now time.Time, j *job) ([]sharing.RouteState, int) {
	if !c.cfg.Sharing {
		return nil, 0
	}
	s := &c.sharing
	u := s.usual[j.route.Service]
	if u == nil {
		u = &usualRates{}
		if s.usual == nil {
			s.usual = map[string]*usualRates{}
		}
		s.usual[j.route.Service] = u
	}
	own := routeIndex(u.routes, j.route.Name)
	if own < 0 || now.Sub(u.computedAt) >= ratesInterval {
		u.compute(now, s.demand.Rates(now, j.route.Service))
		own = routeIndex(u.routes, j.route.Name)
	}
	// The rates are sorted by priority.
	if n := len(u.routes); own < 0 || u.routes[0].Priority == u.routes[n-1].Priority {
		return nil, 0
	}
	s.routes = append(s.routes[:0], u.routes...)
	return s.routes, own
}

func (u *usualRates) compute(now time.Time, rates []sharing.Rate) {
	total := 0.0
	for _, r := range rates {
		total += r.MilliCPU
	}
	u.routes, u.computedAt = u.routes[:0], now
	for _, r := range rates {
		share := 0.0
		if total > 0 {
			share = r.MilliCPU / total
		}
		u.routes = append(u.routes, sharing.RouteState{Rate: r, Share: share})
	}
}

func routeIndex(routes []sharing.RouteState, name string) int {
	for i := range routes {
		if routes[i].Route == name {
			return i
		}
	}
	return -1
}

// estimate sets a job's expected wait. It also decides by the shares of routes, and
// returns true, if routes of different priorities share scarce capacity.
func (c *Coordinator) estimate(now time.Time, j *job) bool {
	routes, own := c.routesOf(now, j)
	load := c.loadFor(now, j, routes)
	j.expectedWait, j.sharing = load.expectedWait(j), sharing.Decision{}
	if routes == nil {
		return false
	}
	first := j.spec.Steps[0]
	in := sharing.Job{
		Startable: load.startable - load.staleStartable, TaskCPU: int64(first.Size.MilliCPU), TaskTime: first.Estimate, Waited: now.Sub(j.arrived),
		Chain: j.criticalPath + crossZoneDelay, Objective: j.objective, Timeout: j.callerDeadline.Sub(j.arrived),
	}
	in.Tasks = j.steps[0].fresh
	for _, t := range j.tasks {
		if t.name.Step > 0 {
			break
		}
		switch t.state {
		case taskOffered:
			// The job is not ahead of itself.
			routes[own].WaitingWork = max(0, routes[own].WaitingWork-cpuWork(first.Size, first.Estimate))
			in.Tasks++
		case taskIdle:
			in.Tasks++
		}
	}
	fleet := sharing.Fleet{Capacity: load.capacity, FreeingRate: load.rate, Routes: routes, Own: own}
	if !fleet.Waits() {
		return false
	}
	for i := range routes {
		// Callers are spread over the hosts.
		routes[i].MilliCPU *= float64(load.hosts)
	}
	j.sharing = sharing.Decide(in, fleet)
	j.expectedWait = j.sharing.Wait
	return true
}

// admit reports whether an arriving job is accepted.
func (c *Coordinator) admit(now time.Time, j *job, limit time.Duration) bool {
	if c.estimate(now, j) {
		return j.sharing.Accept
	}
	return j.expectedWait <= c.maxExpectedWait(j, limit)
}

// willBeLate reports whether a job that waits should be recalled, to be refused.
func (c *Coordinator) willBeLate(now time.Time, j *job) bool {
	if c.estimate(now, j) {
		return !j.sharing.Accept
	}
	return now.Sub(j.arrived)+j.expectedWait+j.criticalPath > time.Duration(recallObjectiveFactor*float64(j.objective))
}

// recallLate recalls a job that has not started and can no longer be on time, while
// other work waits. It is called when a host has returned a task of the job: another
// offer would only be returned again.
func (c *Coordinator) recallLate(now time.Time, j *job) {
	if !c.cfg.Sharing || j.stored || j.started || !j.recalledAt.IsZero() ||
		now.Sub(j.arrived)+j.criticalPath+crossZoneDelay <= j.objective {
		return
	}
	if slices.ContainsFunc(j.tasks, func(t *task) bool { return t.mayHaveRun || t.state == taskOrphaned }) {
		// The answer could not say that the job has not run.
		return
	}
	if c.estimate(now, j) && !j.sharing.Accept {
		c.emitRecalls(now, j)
	}
}

// addSharedLoad adds the work of a host's queue and runs to that of the routes,
// with the work offered since its report. Waiting work that the host doesn't report by
// route counts for the first route of its priority.
func (h *host) addSharedLoad(routes []sharing.RouteState) {
	if len(routes) == 0 {
		return
	}
	if len(h.report.Routes) == 0 {
		for priority, work := range h.report.QueuedWork {
			for i := range routes {
				if routes[i].Priority == priority {
					routes[i].WaitingWork += work
					break
				}
			}
		}
	}
	for _, loads := range [...][]offer.RouteLoad{h.report.Routes, h.offeredRoutes} {
		for _, l := range loads {
			if i := routeIndex(routes, l.Route); i >= 0 {
				routes[i].WaitingWork += l.WaitingWork
				routes[i].RunningCPU += l.RunningCPU
			}
		}
	}
}

// chargeRoute counts work offered to a host since its last report: waiting work in
// thousandths of a core times milliseconds, or capacity in thousandths of a core.
func (c *Coordinator) chargeRoute(h *host, route string, waiting, running int64) {
	if !c.cfg.Sharing {
		return
	}
	for i := range h.offeredRoutes {
		if l := &h.offeredRoutes[i]; l.Route == route {
			l.WaitingWork += waiting
			l.RunningCPU += running
			return
		}
	}
	h.offeredRoutes = append(h.offeredRoutes, offer.RouteLoad{Route: route, WaitingWork: waiting, RunningCPU: running})
}

// HostHeard records a frame from a host without a report: its last one still holds.
func (c *Coordinator) HostHeard(now time.Time, name string) {
	if h, ok := c.hosts[name]; ok {
		h.confirmedAt = now
	}
}

// overloadedWhy returns the reason and the details with which a job is refused for
// want of capacity.
func (j *job) overloadedWhy() (Refusal, string) {
	if !j.sharing.Decided() || j.sharing.Accept {
		return NoCapacity, noCapacity
	}
	return Refusal(j.sharing.Reason), noCapacity + ": " + j.sharing.String()
}
