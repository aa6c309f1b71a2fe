package host

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/workerpool"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// simRun is a run on a simulated worker.
type simRun struct {
	size      fleet.Size
	started   time.Time
	endsAt    time.Time
	endReason fleet.EndReason
	// stopping is set once a stop of the run was answered. It still works until endsAt.
	stopping bool
}

// maxStopTime is the longest time that the stop of a run takes after its answer.
const maxStopTime = 50 * time.Millisecond

// simWorker implements the contract of workers: it refuses orders with a lower
// fence and starts of stopped or ended runs, and kills all runs when its lease
// expires. It does not check its capacity.
type simWorker struct {
	world     *world
	info      fleet.Worker
	startTime time.Time
	clock     time.Duration
	rate      float64
	fence     int64
	lease     time.Duration
	runs      map[fleet.RunID]*simRun
	blocked   map[fleet.TaskName]int
	ended     []fleet.RunEnd
	// endedAt is the time of each listed end, and lapsedAt when the lease was last
	// found to have expired, both on the worker's clock.
	endedAt map[int64]time.Duration
	// endTimes are the times of the listed ends.
	endTimes map[int64]time.Time
	lapsedAt time.Duration
	seq      int64
	down     bool
	// former is the capacity before the worker's last change of it, at changedAt.
	former    fleet.Size
	changedAt time.Time
	// silent is set if the crash does not show on the worker's connections.
	silent bool
	// crashes counts the crashes after which the worker took a new ID.
	crashes int
	failing bool
	hanging bool
	// hidesStopping is set if the worker no longer lists a run as running once its stop was
	// answered. Its end is listed when it has ended.
	hidesStopping bool
	slowdown      float64
	// waitingPolls are the pending long polls; they are answered when a run ends.
	waitingPolls []func()
}

func (w *simWorker) boot(now time.Time) {
	w.clock = 0
	if w.startTime.IsZero() {
		w.clock = time.Duration(w.world.rng.Int64N(int64(time.Hour)))
	}
	w.startTime = now
	w.fence, w.lease, w.seq = 0, 0, 0
	w.endedAt, w.endTimes, w.lapsedAt = map[int64]time.Duration{}, map[int64]time.Time{}, 0
	w.runs, w.blocked, w.ended, w.waitingPolls = map[fleet.RunID]*simRun{}, map[fleet.TaskName]int{}, nil, nil
	w.down = false
	w.info.StartTime = now.UnixMilli()
}

func (w *simWorker) now() time.Duration {
	return w.clock + time.Duration(float64(w.world.now.Sub(w.startTime))*w.rate)
}

func (w *simWorker) used() fleet.Size {
	var sum fleet.Size
	for _, r := range w.runs {
		sum = sum.Add(r.size)
	}
	return sum
}

// advance ends the runs that are due, and all runs once the lease has expired.
func (w *simWorker) advance() {
	ended := false
	for _, id := range w.sortedRuns() {
		r := w.runs[id]
		switch {
		case w.now() >= w.lease:
			w.end(id, fleet.EndedLeaseExpired)
		case !w.world.now.Before(r.endsAt):
			w.end(id, r.endReason)
		default:
			continue
		}
		ended = true
	}
	if ended {
		polls := w.waitingPolls
		w.waitingPolls = nil
		for _, answer := range polls {
			answer()
		}
	}
}

func (w *simWorker) sortedRuns() []fleet.RunID {
	ids := make([]fleet.RunID, 0, len(w.runs))
	for id := range w.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, fleet.RunID.Compare)
	return ids
}

func (w *simWorker) end(id fleet.RunID, reason fleet.EndReason) {
	delete(w.runs, id)
	w.seq++
	w.endedAt[w.seq], w.endTimes[w.seq] = w.now(), w.world.now
	w.ended = append(w.ended, fleet.RunEnd{Seq: w.seq, RunID: id, Reason: reason})
	w.blocked[id.Task] = max(w.blocked[id.Task], id.Run)
	w.world.ended(w, id, reason)
}

func (w *simWorker) grant(until time.Duration) {
	if w.now() >= w.lease {
		w.lapsedAt = w.now()
	}
	w.lease = max(w.lease, min(until, w.now()+testLease))
}

func (w *simWorker) start(a workerpool.Start) fleet.StartVerdict {
	w.advance()
	switch {
	case a.Fence < w.fence:
		return fleet.StartFenced
	case w.runs[a.Run] != nil:
		return fleet.StartAccepted
	case a.Run.Run <= w.blocked[a.Run.Task]:
		return fleet.StartSuperseded
	case a.LeaseUntil <= w.now():
		return fleet.StartLeaseExpired
	}
	w.fence = a.Fence
	w.grant(a.LeaseUntil)
	w.world.started(w, a.Run)
	return fleet.StartAccepted
}

func (w *simWorker) stop(a workerpool.Stop) bool {
	w.advance()
	if a.Fence < w.fence {
		return false
	}
	w.fence = a.Fence
	if r := w.runs[a.Run]; r != nil && !r.stopping {
		left := time.Duration(w.world.rng.Int64N(int64(maxStopTime)))
		r.stopping, r.endsAt, r.endReason = true, w.world.now.Add(left), fleet.EndedStopped
		w.world.after(left, w.advance)
	}
	w.blocked[a.Run.Task] = max(w.blocked[a.Run.Task], a.Run.Run)
	return true
}

// poll reports false if another host owns the worker.
func (w *simWorker) poll(a workerpool.Poll) bool {
	w.advance()
	if a.Fence < w.fence {
		return false
	}
	w.fence = a.Fence
	if a.LeaseUntil > 0 {
		w.grant(a.LeaseUntil)
	}
	w.acknowledge(a.Acknowledged)
	w.ended = slices.DeleteFunc(w.ended, func(e fleet.RunEnd) bool { return e.Seq <= a.Acknowledged })
	return true
}

// acknowledge records the ends, up to a sequence number, of tasks that were done
// under the present lease.
func (w *simWorker) acknowledge(upTo int64) {
	for _, e := range w.ended {
		if e.Seq <= upTo && e.Reason == fleet.EndedDone && w.now() < w.lease && w.lapsedAt <= w.endedAt[e.Seq] {
			w.world.acknowledged(e, w.endTimes[e.Seq])
		}
	}
}

func (w *simWorker) listing() fleet.PollResponse {
	w.advance()
	l := fleet.PollResponse{Clock: w.now(), StartTime: w.info.StartTime, Ended: slices.Clone(w.ended)}
	if most := w.world.endsPerPoll; most > 0 && len(l.Ended) >= most {
		l.Ended, l.Truncated = l.Ended[:most], true
	}
	for _, id := range w.sortedRuns() {
		r := w.runs[id]
		if r.stopping && w.hidesStopping {
			continue
		}
		percent := int(100 * w.world.now.Sub(r.started) / r.endsAt.Sub(r.started))
		l.Running = append(l.Running, fleet.RunProgress{RunID: id, Percent: percent})
	}
	return l
}
