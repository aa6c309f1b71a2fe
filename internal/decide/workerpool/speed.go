package workerpool

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/speed"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// maxReportedEnds bounds the expected ends of runs that are reported for a worker:
// about two tasks fill one.
const maxReportedEnds = 3

// endStep is the granularity of reported ends: a fraction of the shortest tasks.
const endStep = 25 * time.Millisecond

// SpeedSpread reports, for the metrics, how much the workers of a service differ.
type SpeedSpread struct {
	Service string
	Spread  float64
	Active  bool
	Known   int
	// Changed is set if the policy has started or ceased to act.
	Changed bool
	Stretch float64
}

func (SpeedSpread) action() {}

// WaitForFast reports, for the process log and the metrics, that a task waits for a
// fast worker although another could start it. It is reported once for each task.
type WaitForFast struct {
	Task fleet.TaskName
	// Worker is the fast worker, expected to be free after Wait, and Other the one
	// that could start the task now.
	Worker, Other string
	Wait          time.Duration
	Estimate      time.Duration
	// Finish and OtherFinish are the times until the task is expected to end on
	// either, and Left the time until it must have ended.
	Finish, OtherFinish, Left time.Duration
}

func (WaitForFast) action() {}

// refreshSpeeds derives the speeds of workers and reports their spread.
func (p *Pool) refreshSpeeds(now time.Time) {
	for _, s := range p.cfg.Speeds.Refresh(now) {
		changed := s.Active != p.speedsActive[s.Name]
		if changed {
			if p.speedsActive == nil {
				p.speedsActive = map[string]bool{}
			}
			p.speedsActive[s.Name] = s.Active
		}
		p.emit(SpeedSpread{Service: s.Name, Spread: s.Spread, Active: s.Active, Known: s.Known, Changed: changed, Stretch: s.Stretch})
	}
}

// needOf returns what a task needs to be on time. It returns false if the speeds of
// the service's workers do not decide that.
func (p *Pool) needOf(now time.Time, t *offer.Task) (speed.Need, bool) {
	if !p.speedsDecideFor(t) {
		return speed.Need{}, false
	}
	s := p.cfg.Speeds.Active(t.Service)
	return speed.Need{
		Estimate: t.Estimate, Left: t.StartBy.Add(t.Estimate).Sub(now), Middle: s.Middle, FastFree: p.fastFree(now, s),
	}, true
}

// speedsDecideFor reports whether the speeds of workers decide about a task.
func (p *Pool) speedsDecideFor(t *offer.Task) bool {
	return !t.Exclusive && p.cfg.Speeds.Active(t.Service) != nil
}

// fastFree returns the free share of the capacity of a service's fast workers.
func (p *Pool) fastFree(now time.Time, s *speed.Service) float64 {
	var share speed.FreeShare
	for _, w := range p.order {
		if w.info.Service == s.Name && w.usable(now) && p.cfg.Speeds.Relative(w.info.ID) < s.Middle {
			share.Add(w.free().MilliCPU, w.info.Capacity.MilliCPU)
		}
	}
	return share.Share()
}

// compareSpeeds compares two workers that can both start a task, by its need.
func (p *Pool) compareSpeeds(q *queuedTask, a, b *worker) int {
	if !q.speedsDecide {
		return 0
	}
	return q.need.Compare(p.placeAt(a), p.placeAt(b))
}

func (p *Pool) placeAt(w *worker) speed.Place {
	return speed.Place{Relative: p.cfg.Speeds.Relative(w.info.ID)}
}

// waitsForFast reports whether a task should wait for a fast worker that is
// expected to be free soon instead of starting on the given one. Each worker is
// awaited by one task at a time.
func (p *Pool) waitsForFast(now time.Time, q *queuedTask, best *worker) bool {
	if best == nil || !q.speedsDecide || q.need.Meets(p.placeAt(best)) {
		return false
	}
	var awaited *worker
	var at speed.Place
	for _, w := range p.order {
		relative := p.cfg.Speeds.Relative(w.info.ID)
		if w == best || w == p.reserved || w.awaited || relative >= q.need.Middle || w.health.trial || w.hasExclusiveRun() || !w.mayHost(now, q) {
			continue
		}
		place := speed.Place{Relative: relative, Wait: p.freeIn(now, w, q.Size)}
		if awaited == nil || q.need.Finish(place) < q.need.Finish(at) {
			awaited, at = w, place
		}
	}
	if awaited == nil || !q.need.Waits(p.placeAt(best), at) {
		return false
	}
	awaited.awaited = true
	if !q.waitsForFast {
		q.waitsForFast = true
		p.emit(WaitForFast{
			Task: q.Name, Worker: awaited.info.ID, Other: best.info.ID, Wait: at.Wait, Estimate: q.Estimate,
			Finish: q.need.Finish(at), OtherFinish: q.need.Finish(p.placeAt(best)), Left: q.need.Left,
		})
	}
	return true
}

// freeIn returns the time until a size is expected to be free on a worker.
func (p *Pool) freeIn(now time.Time, w *worker, size fleet.Size) time.Duration {
	if size.Fits(w.free()) {
		return 0
	}
	best := p.cfg.MaxLease
	for _, last := range w.runs {
		in := p.endsIn(now, w, last)
		if in >= best {
			continue
		}
		free := w.free()
		for _, r := range w.runs {
			if p.endsIn(now, w, r) <= in {
				free = free.Add(r.size)
			}
		}
		if size.Fits(free) {
			best = in
		}
	}
	return best
}

// endsIn returns the time until a run is expected to end. A run that has exceeded
// its expected time is expected to take as long again: few tasks are long, but
// those are several times as long.
func (p *Pool) endsIn(now time.Time, w *worker, r *run) time.Duration {
	if r.task == nil || r.claimed {
		return p.cfg.MaxLease
	}
	elapsed := now.Sub(r.orderedAt)
	left := time.Duration(p.cfg.Speeds.Relative(w.info.ID)*float64(r.task.Estimate)) - elapsed
	if left < 0 {
		return elapsed
	}
	return left
}

// reportSpeed adds the speed of a worker to its reported capacity, and the expected
// ends of its runs if it is fast.
func (p *Pool) reportSpeed(now time.Time, w *worker, c *offer.WorkerCapacity) {
	s := p.cfg.Speeds.Active(w.info.Service)
	if s == nil {
		return
	}
	c.RelativeTime, c.RelativeTimeRuns = p.cfg.Speeds.Reported(w.info.ID)
	if p.cfg.Speeds.Relative(w.info.ID) >= s.Middle {
		return
	}
	if len(c.Ends) > 0 {
		return
	}
	for _, r := range w.runs {
		end := offer.ExpectedEnd{In: (p.endsIn(now, w, r) + endStep - 1).Truncate(endStep), MilliCPU: r.size.MilliCPU}
		c.Ends = offer.InsertEnd(c.Ends, end, maxReportedEnds)
	}
}

// staysForSpeed reports whether a waiting task must not be handed to another host's
// worker, because it would be late there and not here.
func (q *queuedTask) staysForSpeed(c offer.WorkerCapacity) bool {
	return q.waitsForFast && c.RelativeTime > 0 && !q.need.Meets(speed.Place{Relative: c.RelativeTime})
}

// placementOf returns the part that speeds have in starting a task on a worker.
func (p *Pool) placementOf(q *queuedTask, w *worker) speed.Reason {
	if !q.speedsDecide {
		return speed.Former
	}
	return q.need.Reason(p.placeAt(w))
}
