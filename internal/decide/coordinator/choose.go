package coordinator

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// offerIdle offers the tasks that no host has.
func (s *Coordinator) offerIdle(now time.Time) {
	s.stuck = false
	for _, j := range s.sorted() {
		s.offerJob(now, j)
	}
}

// offerJob offers each task of a job that is idle and whose turn has come.
func (s *Coordinator) offerJob(now time.Time, j *job) {
	if !j.recalled.IsZero() {
		return
	}
	for _, t := range j.tasks {
		if t.state != taskIdle || !j.ready(t.name.Step) {
			continue
		}
		h := s.choose(now, j, t)
		if h == nil {
			s.stuck = true
			continue
		}
		t.offered(h.name)
		j.offeredTo(h.name)
		s.batch[h.name] = append(s.batch[h.name], s.task(j, t))
	}
}

// task returns what an owner is told of a task.
func (s *Coordinator) task(j *job, t *task) offer.Task {
	step := j.spec.Steps[t.name.Step]
	return offer.Task{
		Host: s.cfg.Self, Name: t.name, Stored: j.stored, Spec: j.spec.Spec, Service: j.route.Service,
		Size: step.Size, Estimate: step.Estimate, RequiredLabel: step.RequiredLabel, Affinity: step.Affinity,
		MaxPerWorker: step.MaxPerWorker, Priority: j.route.Priority,
		StartBy: j.arrived.Add(j.objective - j.chain), Deadline: j.deadline,
		JobStarted: j.begun, Avoid: t.avoid, NextRun: t.runs + 1, FailedRuns: t.failed, MaxAttempts: j.route.MaxAttempts,
	}
}

// choose returns the host to offer a task to, or nil if none is known: one
// with room first, this host and its zone before others; without room the one
// with the shortest expected wait. It counts the task in.
func (s *Coordinator) choose(now time.Time, j *job, t *task) *host {
	step := j.spec.Steps[t.name.Step]
	var best *host
	var bestRoom *offer.WorkerCapacity
	var bestWait time.Duration
	for _, h := range s.order {
		if !h.known || h.report.Leaving || now.Before(t.refusedBy[h.name]) {
			continue
		}
		room := s.roomFor(h, j.route.Service, step)
		wait := s.distance(h)
		if room == nil {
			queued, ok := s.queueWait(h, j.route, step)
			if !ok {
				continue
			}
			wait += queued
		}
		if best == nil || s.nearer(room != nil, wait, h, bestRoom != nil, bestWait, best) {
			best, bestRoom, bestWait = h, room, wait
		}
	}
	if best == nil {
		return nil
	}
	if bestRoom != nil {
		bestRoom.Free = bestRoom.Free.Sub(step.Size)
	} else {
		best.count(j.route.Priority, work(step.Size, step.Estimate))
	}
	return best
}

func (s *Coordinator) nearer(room bool, wait time.Duration, h *host, bestRoom bool, bestWait time.Duration, best *host) bool {
	if room != bestRoom {
		return room
	}
	if wait != bestWait {
		return wait < bestWait
	}
	return h.freeCPU() > best.freeCPU()
}

// distance is the cost of reaching a host, as a wait: nothing here, little in
// the zone, and between zones the time of an offer, a start and an end.
func (s *Coordinator) distance(h *host) time.Duration {
	switch {
	case h.name == s.cfg.Self:
		return 0
	case h.zone == s.cfg.Zone:
		return time.Millisecond
	default:
		return hop
	}
}

// roomFor returns the worker with the tightest room for a step, or nil.
func (s *Coordinator) roomFor(h *host, service string, step fleet.Step) *offer.WorkerCapacity {
	var best *offer.WorkerCapacity
	for i := range h.report.Workers {
		w := &h.report.Workers[i]
		if w.Service != service || !step.Size.Fits(w.Free) || !s.workers[w.ID].HasLabel(step.RequiredLabel) {
			continue
		}
		if best == nil || w.Free.MilliCPU < best.Free.MilliCPU {
			best = w
		}
	}
	return best
}

// queueWait estimates how long a new task waits at a host without room. It
// reports false if the host has no capacity.
func (s *Coordinator) queueWait(h *host, route fleet.Route, step fleet.Step) (time.Duration, bool) {
	if h.report.Capacity == 0 {
		return 0, false
	}
	return waitFor(h.ahead(route.Priority), int64(h.report.Capacity), int64(step.Size.MilliCPU), h.report.FreeingRate), true
}

// ahead returns the work that waits at a host and goes first.
func (h *host) ahead(priority int) int64 {
	var ahead int64
	for p, work := range h.report.QueuedWork {
		if p <= priority {
			ahead += work
		}
	}
	for p, work := range h.queued {
		if p <= priority {
			ahead += work
		}
	}
	return ahead
}

// waitFor estimates the wait until the work ahead has been taken up and room
// of the missing size has become free.
func waitFor(ahead, capacity, missing, rate int64) time.Duration {
	wait := time.Duration(ahead) * time.Millisecond / time.Duration(capacity)
	if missing > 0 && rate > 0 {
		wait += time.Duration(missing) * time.Second / time.Duration(rate)
	}
	return wait
}

func (h *host) count(priority int, work int64) {
	if h.queued == nil {
		h.queued = map[int]int64{}
	}
	h.queued[priority] += work
}

func (h *host) freeCPU() int {
	total := 0
	for _, w := range h.report.Workers {
		total += w.Free.MilliCPU
	}
	return total
}

// expectedWait estimates how long a new job waits for its last task to start,
// with all hosts' queues as one.
func (s *Coordinator) expectedWait(j *job) time.Duration {
	var ahead, capacity, rate int64
	slots := 0
	first := j.spec.Steps[0]
	for _, h := range s.order {
		if !h.known || h.report.Leaving {
			continue
		}
		capacity += int64(h.report.Capacity)
		rate += h.report.FreeingRate
		ahead += h.ahead(j.route.Priority)
		slots += h.slots(j.route.Service, first.Size)
	}
	if slots >= first.Count {
		return 0
	}
	if capacity == 0 {
		return noCapacityWait
	}
	return waitFor(ahead, capacity, int64((first.Count-slots)*first.Size.MilliCPU), rate)
}

// noCapacityWait stands for a wait without end.
const noCapacityWait = time.Hour

// slots counts the tasks of a size that a host's workers could start now.
func (h *host) slots(service string, size fleet.Size) int {
	n := 0
	for _, w := range h.report.Workers {
		if w.Service == service && size.MilliCPU > 0 {
			n += max(0, w.Free.MilliCPU) / size.MilliCPU
		}
	}
	return n
}

func work(size fleet.Size, d time.Duration) int64 { return int64(size.MilliCPU) * d.Milliseconds() }

// RoomElsewhere returns the free room of the other hosts.
func (s *Coordinator) RemoteFreeCapacity() []offer.WorkerCapacity {
	var rooms []offer.WorkerCapacity
	for _, h := range s.order {
		if h.known && !h.report.Leaving && h.name != s.cfg.Self {
			rooms = append(rooms, h.report.Workers...)
		}
	}
	return rooms
}

// ZoneServed reports whether a host of the zone that is not leaving is known.
func (s *Coordinator) HasHostInZone(zone string) bool {
	for _, h := range s.order {
		if h.known && !h.report.Leaving && h.zone == zone {
			return true
		}
	}
	return false
}
