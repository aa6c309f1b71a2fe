package workerpool

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/nearwait"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
)

const (
	// rackReportTime is how long after the last task that names a rack the reports
	// carry the ends of the runs on its workers. It spans the gaps between the jobs
	// of a caller that sends one every few seconds.
	rackReportTime = 10 * time.Second
	// overdueShare is the share of its age that a run is expected to take longer if
	// it should have ended already.
	overdueShare = 0.2
)

// NearDecision reports, for the process log and the metrics, what was decided about
// a waiting task that names a rack.
type NearDecision struct{ nearwait.Report }

func (NearDecision) action() {}

// nearState is what the pool knows about tasks that name racks.
type nearState struct {
	// namedAt is when a task last named each rack; nil until the first.
	namedAt map[string]time.Time
}

// observeRack records that a task names a rack.
func (p *Pool) observeRack(now time.Time, rack string) {
	if rack == "" || p.cfg.RemoteSlowdown <= 1 {
		return
	}
	s := &p.near
	if s.namedAt == nil {
		s.namedAt = map[string]time.Time{}
	}
	for other, at := range s.namedAt {
		if now.Sub(at) > rackReportTime {
			delete(s.namedAt, other)
		}
	}
	s.namedAt[rack] = now
}

// scaleAway makes the estimate of a task that starts away from its rack that of the
// slower run, so that neither the run nor its worker counts as slow.
func (p *Pool) scaleAway(w *worker, t *offer.Task) {
	if t.Affinity != "" && p.cfg.RemoteSlowdown > 1 && !w.info.HasLabel(t.Affinity) {
		t.Estimate = time.Duration(min(float64(t.Estimate)*p.cfg.RemoteSlowdown, float64(nearwait.MaxRunTime)))
	}
}

// waitsNear reports whether a task that could start on worker w waits for a worker
// of its rack instead. Rest holds the waiting tasks before it.
func (p *Pool) waitsNear(now time.Time, q *queuedTask, w *worker, rest []*queuedTask) bool {
	if q.Affinity == "" || p.cfg.RemoteSlowdown <= 1 || q.Exclusive {
		return false
	}
	elsewhere := nearwait.Place{Known: true, Free: true, At: now}
	return p.decideNear(now, q, w, elsewhere, rest).Action == nearwait.WaitNear
}

// keepsNear reports whether a waiting task stays for a worker of its rack although
// other hosts have free capacity. It does not if that is on a worker of the rack.
func (p *Pool) keepsNear(now time.Time, q *queuedTask, others []offer.WorkerCapacity) bool {
	if q.Affinity == "" || p.cfg.RemoteSlowdown <= 1 {
		return false
	}
	for i := range others {
		o := &others[i]
		if p.cfg.HasLabel != nil && o.Service == q.Service && q.Size.Fits(o.Free) && p.cfg.HasLabel(o.ID, q.Affinity) {
			return false
		}
	}
	ahead := p.queue
	for i, o := range p.queue {
		if o == q {
			ahead = p.queue[:i]
			break
		}
	}
	elsewhere := nearwait.Place{Known: true, Free: true, At: now.Add(handOffAfter)}
	return p.decideNear(now, q, nil, elsewhere, ahead).Action == nearwait.WaitNear
}

// decideNear decides about a task, for which worker w, if not nil, is free now. A
// wait that was decided on stands until it ends or the rack has no worker left.
func (p *Pool) decideNear(now time.Time, q *queuedTask, w *worker, elsewhere nearwait.Place, before []*queuedTask) nearwait.Decision {
	in := nearwait.Inputs{
		Now: now, RunTime: q.Estimate, Slowdown: p.cfg.RemoteSlowdown, Elsewhere: elsewhere,
		StartBy: q.StartBy, Deadline: q.Deadline, Since: q.offeredAt,
	}
	near := w != nil && w.info.HasLabel(q.Affinity)
	var workers []*worker
	if near {
		in.Near = nearwait.Place{Known: true, Free: true, At: now}
	} else {
		workers = p.rackWorkers(now, &q.Task)
		if len(workers) > 0 && now.Before(q.nearUntil) {
			return nearwait.Decision{Action: nearwait.WaitNear, Until: q.nearUntil}
		}
	}
	ahead := 0
	if len(workers) > 0 {
		ahead = p.expectNear(now, q, workers, before, &in)
	}
	d := nearwait.Decide(in)
	q.nearUntil = d.Until
	report := nearwait.Report{Task: q.Name, Rack: q.Affinity, Decision: d, Inputs: in, Ahead: ahead}
	if w != nil && d.Action != nearwait.WaitNear {
		report.Worker = w.info.ID
	}
	p.emit(NearDecision{report})
	return d
}

// rackWorkers returns the workers of a task's rack that could run it.
func (p *Pool) rackWorkers(now time.Time, t *offer.Task) []*worker {
	var workers []*worker
	for _, w := range p.order {
		if w.info.HasLabel(t.Affinity) && w.info.Service == t.Service && w.soonUsable(now) && !w.health.trial && w != p.reserved &&
			!w.hasExclusiveRun() && t.Size.Fits(w.info.Capacity) && w.info.HasLabel(t.RequiredLabel) {
			workers = append(workers, w)
		}
	}
	return workers
}

// expectNear sets what is expected of the rack's workers. It returns the number of
// tasks that wait for the rack before the task.
func (p *Pool) expectNear(now time.Time, q *queuedTask, workers []*worker, before []*queuedTask, in *nearwait.Inputs) int {
	var runTimes time.Duration
	runs := 0
	places := make([]nearwait.Worker, len(workers))
	for i, w := range workers {
		places[i].Free = w.free()
		for _, r := range w.runs {
			end := p.expectedEnd(now, w, r)
			places[i].Releases = append(places[i].Releases, nearwait.Release{At: end, Size: r.size})
			if r.task != nil {
				runTimes += end.Sub(r.orderedAt)
				runs++
			}
		}
	}
	if runs > 0 {
		in.OthersRunTime = runTimes / time.Duration(runs)
	}
	var ahead []nearwait.Demand
	for _, o := range before {
		if o.Affinity == q.Affinity && o.Service == q.Service {
			ahead = append(ahead, nearwait.Demand{Size: o.Size, RunTime: o.Estimate})
		}
	}
	at, ok := nearwait.ExpectedStart(now, places, ahead, q.Size)
	in.Near = nearwait.Place{Known: ok, At: at}
	return len(ahead)
}

// expectedEnd returns when a run is expected to end. A run of which nothing is
// known ends with its lease at the latest.
func (p *Pool) expectedEnd(now time.Time, w *worker, r *run) time.Time {
	if r.task == nil {
		return w.leaseExpiry()
	}
	end := r.orderedAt.Add(p.paces.expectedRunTime(w, r.task.Estimate))
	if !end.After(now) {
		end = now.Add(max(minRunTime, time.Duration(overdueShare*float64(now.Sub(r.orderedAt)))))
	}
	return end
}

// nearEnds returns when the runs on a worker are expected to end, if a task named
// one of its racks recently.
func (p *Pool) nearEnds(now time.Time, w *worker) []offer.ExpectedEnd {
	if !p.wasNamed(now, w) {
		return nil
	}
	var ends []offer.ExpectedEnd
	for _, r := range w.sortedRuns() {
		ends = offer.InsertEnd(ends, offer.ExpectedEnd{In: p.expectedEnd(now, w, r).Sub(now), MilliCPU: r.size.MilliCPU}, len(w.runs))
	}
	return ends
}

func (p *Pool) wasNamed(now time.Time, w *worker) bool {
	for rack, at := range p.near.namedAt {
		if now.Sub(at) <= rackReportTime && w.info.HasLabel(rack) {
			return true
		}
	}
	return false
}
