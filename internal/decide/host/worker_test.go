package host

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/workerpool"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// simRun is a run at a simulated worker.
type simRun struct {
	size  fleet.Size
	began time.Time
	ends  time.Time
	fate  fleet.EndReason
}

// simWorker keeps the workers' contract: it refuses lower fences, bars stopped
// runs, kills everything when its lease ends, and starts what it is told to.
type simWorker struct {
	world  *world
	info   fleet.Worker
	born   time.Time
	clock  time.Duration
	rate   float64
	fence  int64
	lease  time.Duration
	runs   map[fleet.RunID]*simRun
	barred map[fleet.TaskName]int
	ended  []fleet.RunEnd
	// endedAt is when each listed end came, and lapsed when the lease was last
	// found to have expired, on the worker's clock.
	endedAt  map[int64]time.Duration
	lapsed   time.Duration
	seq      int64
	down     bool
	failing  bool
	hanging  bool
	slowness float64
	// looks are the waiting looks; they are answered when a run ends.
	looks []func()
}

func (w *simWorker) boot(now time.Time) {
	w.clock = 0
	if w.born.IsZero() {
		w.clock = time.Duration(w.world.rng.Int64N(int64(time.Hour)))
	}
	w.born = now
	w.fence, w.lease, w.seq = 0, 0, 0
	w.endedAt, w.lapsed = map[int64]time.Duration{}, 0
	w.runs, w.barred, w.ended, w.looks = map[fleet.RunID]*simRun{}, map[fleet.TaskName]int{}, nil, nil
	w.down = false
	w.info.StartTime = now.UnixMilli()
}

func (w *simWorker) now() time.Duration {
	return w.clock + time.Duration(float64(w.world.now.Sub(w.born))*w.rate)
}

func (w *simWorker) used() fleet.Size {
	var sum fleet.Size
	for _, r := range w.runs {
		sum = sum.Add(r.size)
	}
	return sum
}

// advance ends what is due.
func (w *simWorker) advance() {
	ended := false
	for _, id := range w.sortedRuns() {
		r := w.runs[id]
		switch {
		case w.now() >= w.lease:
			w.end(id, fleet.EndedLeaseExpired)
		case !w.world.now.Before(r.ends):
			w.end(id, r.fate)
		default:
			continue
		}
		ended = true
	}
	if ended {
		looks := w.looks
		w.looks = nil
		for _, answer := range looks {
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

func (w *simWorker) end(id fleet.RunID, how fleet.EndReason) {
	delete(w.runs, id)
	w.seq++
	w.endedAt[w.seq] = w.now()
	w.ended = append(w.ended, fleet.RunEnd{Seq: w.seq, RunID: id, Reason: how})
	w.barred[id.Task] = max(w.barred[id.Task], id.Run)
	w.world.ended(w, id, how)
}

func (w *simWorker) grant(until time.Duration) {
	if w.now() >= w.lease {
		w.lapsed = w.now()
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
	case a.Run.Run <= w.barred[a.Run.Task]:
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
	if w.runs[a.Run] != nil {
		w.end(a.Run, fleet.EndedStopped)
	}
	w.barred[a.Run.Task] = max(w.barred[a.Run.Task], a.Run.Run)
	return true
}

// look reports false if another host owns the worker.
func (w *simWorker) look(a workerpool.Poll) bool {
	w.advance()
	if a.Fence < w.fence {
		return false
	}
	w.fence = a.Fence
	if a.LeaseUntil > 0 {
		w.grant(a.LeaseUntil)
	}
	w.note(a.Acknowledged)
	w.ended = slices.DeleteFunc(w.ended, func(e fleet.RunEnd) bool { return e.Seq <= a.Acknowledged })
	return true
}

// note takes note of the ends that came as done under the present lease.
func (w *simWorker) note(upTo int64) {
	for _, e := range w.ended {
		if e.Seq <= upTo && e.Reason == fleet.EndedDone && w.now() < w.lease && w.lapsed <= w.endedAt[e.Seq] {
			w.world.jobs[e.Task.Job].noted[e.Task] = true
		}
	}
}

func (w *simWorker) listing() fleet.PollResponse {
	w.advance()
	l := fleet.PollResponse{Clock: w.now(), StartTime: w.info.StartTime, Ended: slices.Clone(w.ended)}
	for _, id := range w.sortedRuns() {
		r := w.runs[id]
		percent := int(100 * w.world.now.Sub(r.began) / r.ends.Sub(r.began))
		l.Running = append(l.Running, fleet.RunProgress{RunID: id, Percent: percent})
	}
	return l
}
