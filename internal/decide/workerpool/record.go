package workerpool

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// RecordEnd asks the caller to record the end of a stored job's run. The
// confirmation comes back by Pool.EndRecorded; until then the end is not
// acknowledged, so that the worker keeps listing it.
type RecordEnd struct {
	Worker string
	// StartTime identifies the incarnation of the worker that numbered the end.
	StartTime int64
	End       fleet.RunEnd
	// Task is nil if no host waits for the run. Fence is the one under which the
	// end was read.
	Task  *offer.Task
	Fence int64
}

func (RecordEnd) action() {}

// recordTimeout is how long an end may wait to be recorded while the worker's
// lease is renewed. The host of its job may have abandoned the run meanwhile and
// may start the task again after the lease and the time of a takeover, 2.6 s;
// acknowledging the end under its lease would then confirm two runs of the task.
// A later end is acknowledged only after the worker's lease has expired, when an
// acknowledgement confirms nothing.
const recordTimeout = time.Second

// unrecordedEnd is the end of a stored job's run that is not in the log of
// stored jobs yet.
type unrecordedEnd struct {
	end fleet.RunEnd
	// task is nil if no host waits for the run.
	task *offer.Task
	// listedAt is when this host read the end.
	listedAt time.Time
	// confirmed is set if the run is the task's current one: its owner has had the
	// run since before its end, or the host of the job has claimed the end. Another
	// end was listed to a former owner for an unknown time, and the task may have
	// started again; the host of the job has until confirmBy to claim it.
	confirmed bool
	confirmBy time.Time
	// recorded is set once the log has confirmed the end, leaseExpired once the
	// worker's lease has expired since the end was listed.
	recorded, leaseExpired bool
}

// recordEnd asks the caller to record the end of a run of this owner. The run's
// capacity must have been freed already.
func (p *Pool) recordEnd(now time.Time, w *worker, e fleet.RunEnd, task *offer.Task) {
	p.addUnrecorded(w, &unrecordedEnd{end: e, task: task, listedAt: now, confirmed: true})
}

// recordFoundEnd asks the caller to record an end that was listed when the worker
// was taken over. Only a done run must not be acknowledged beside a later one.
func (p *Pool) recordFoundEnd(w *worker, found foundEnd) {
	p.addUnrecorded(w, &unrecordedEnd{
		end: found.end, listedAt: found.listedAt, confirmed: found.end.Reason != fleet.EndedDone,
		confirmBy: found.listedAt.Add(p.cfg.ClaimTimeout), leaseExpired: found.lapsed,
	})
}

// classifyFoundEnds asks for the ends that were found on the worker to be recorded
// if their jobs turn out to be stored ones, and lets the others be acknowledged.
// An end that was found a while ago counts as listed then.
func (p *Pool) classifyFoundEnds(w *worker) {
	if len(w.unclassified) == 0 {
		return
	}
	for _, seq := range slices.Sorted(maps.Keys(w.unclassified)) {
		found := w.unclassified[seq]
		if !p.isClassified(found) {
			continue
		}
		delete(w.unclassified, seq)
		if p.mustRecord(found.end, false) {
			p.recordFoundEnd(w, found)
		}
	}
	w.advanceAcknowledged()
}

// holdFoundEnds keeps ends from being acknowledged until it is known whether their jobs are
// stored ones, and asks for those that are to be recorded.
func (p *Pool) holdFoundEnds(now time.Time, w *worker, ends []fleet.RunEnd) {
	for _, e := range ends {
		w.holdFoundEnd(now, e)
	}
	p.classifyFoundEnds(w)
	w.advanceAcknowledged()
}

// holdFoundEnd keeps an end from being acknowledged until it is known whether its
// job is a stored one.
func (w *worker) holdFoundEnd(now time.Time, e fleet.RunEnd) {
	if w.unclassified == nil {
		w.unclassified = map[int64]foundEnd{}
	}
	w.unclassified[e.Seq] = foundEnd{end: e, listedAt: now, lapsed: w.lapsed}
}

// foundEnd is the end of a run that another owner had started, listed by the
// worker at listedAt.
type foundEnd struct {
	end      fleet.RunEnd
	listedAt time.Time
	// lapsed is set if the worker's lease has expired since the end.
	lapsed bool
}

func (p *Pool) isClassified(f foundEnd) bool {
	return !isResult(f.end.Reason) || p.cfg.IsClassified == nil || p.cfg.IsClassified(f.end.Task.Job, f.listedAt)
}

// isResult reports whether a run ended by itself, so that its end counts for its
// task.
func isResult(reason fleet.EndReason) bool {
	return reason == fleet.EndedDone || reason == fleet.EndedFailed
}

func (p *Pool) addUnrecorded(w *worker, u *unrecordedEnd) {
	w.unrecorded[u.end.Seq] = u
	p.emit(RecordEnd{Worker: w.info.ID, StartTime: w.startTime, End: u.end, Task: u.task, Fence: w.fence})
}

// confirmEnd handles a host's claim of a run that had ended when the worker was
// taken over, or has since. It reports whether the end is still to be recorded, so that
// it will be reported.
func (p *Pool) confirmEnd(now time.Time, w *worker, id fleet.RunID, task offer.Task) bool {
	for seq, found := range w.unclassified {
		if found.end.RunID == id && task.Stored {
			delete(w.unclassified, seq)
			p.recordFoundEnd(w, found)
		}
	}
	for _, u := range w.unrecorded {
		if u.end.RunID != id {
			continue
		}
		if u.task == nil || u.task.Host != task.Host {
			u.confirmed, u.task = true, &task
			p.acknowledgeIfSafe(now, w, u)
		}
		return true
	}
	return false
}

// mustRecord reports whether an end must be in the log before it is
// acknowledged. Other ends, such as those of a stop, leave the task to be run
// again.
func (p *Pool) mustRecord(e fleet.RunEnd, stored bool) bool {
	if !isResult(e.Reason) {
		return false
	}
	return stored || p.cfg.IsStored != nil && p.cfg.IsStored(e.Task.Job)
}

// EndRecorded handles the log's confirmation of an end: the end is acknowledged
// to the worker and reported to the task's host, unless the worker's lease has
// to expire first. An end of a worker that this host does not own any more, or of
// its former incarnation, is only reported.
func (p *Pool) EndRecorded(now time.Time, r RecordEnd) {
	w, ok := p.workers[r.Worker]
	if !ok || w.startTime != r.StartTime {
		p.reportEnd(r.Worker, r.Fence, r.Task, r.End)
		return
	}
	u, ok := w.unrecorded[r.End.Seq]
	if !ok {
		return
	}
	u.recorded = true
	p.acknowledgeIfSafe(now, w, u)
}

// acknowledgeIfSafe acknowledges a recorded end of a task's current run, unless
// the worker's lease has to expire first.
func (p *Pool) acknowledgeIfSafe(now time.Time, w *worker, u *unrecordedEnd) {
	if u.recorded && (u.confirmed || u.leaseExpired) && !w.awaitsLeaseExpiry(now) {
		p.acknowledgeEnd(w, u)
	}
}

// acknowledgeEnd acknowledges a recorded end and reports it to the task's host.
func (p *Pool) acknowledgeEnd(w *worker, u *unrecordedEnd) {
	delete(w.unrecorded, u.end.Seq)
	w.advanceAcknowledged()
	p.reportEnd(w.info.ID, w.fence, u.task, u.end)
}

// awaitsLeaseExpiry reports whether the worker's lease must expire before its
// ends are acknowledged, because one of them exceeded recordTimeout or was not
// claimed in time.
func (w *worker) awaitsLeaseExpiry(now time.Time) bool {
	for _, u := range w.unrecorded {
		if !u.leaseExpired && (now.Sub(u.listedAt) > recordTimeout || !u.confirmed && now.After(u.confirmBy)) {
			return true
		}
	}
	return false
}

// expireLease acknowledges the late ends once the worker's lease has expired.
func (p *Pool) expireLease(now time.Time, w *worker) {
	if !w.awaitsLeaseExpiry(now) || now.Before(w.leaseExpiry()) {
		return
	}
	for _, seq := range slices.Sorted(maps.Keys(w.unrecorded)) {
		u := w.unrecorded[seq]
		u.leaseExpired = true
		if u.recorded {
			p.acknowledgeEnd(w, u)
		}
	}
	p.emit(LogEvent{Message: "lease let go", Worker: w.info.ID, Why: "an end was not recorded or claimed in time"})
}

// advanceAcknowledged acknowledges the ends before the first one that is not
// recorded or not classified.
func (w *worker) advanceAcknowledged() {
	w.acknowledgedSeq = w.seenSeq
	for seq := range w.unrecorded {
		w.acknowledgedSeq = min(w.acknowledgedSeq, seq-1)
	}
	for seq := range w.unclassified {
		w.acknowledgedSeq = min(w.acknowledgedSeq, seq-1)
	}
}
