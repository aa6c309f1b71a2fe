package workerpool

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Record asks for the end of a stored job's run to be recorded. The answer
// comes back by Recorded; until then the worker goes on listing the end.
type RecordEnd struct {
	Worker string
	// Born is the start of the worker's lifetime that numbers the end.
	StartTime int64
	End       fleet.RunEnd
}

func (RecordEnd) action() {}

// staleAfter is how long an end may wait to be recorded. The host of its job may
// have given the run up meanwhile, and run the task again after its lease and
// the time of a takeover, 2.6 s: the end must then not be taken note of. It is
// not if the worker's lease has expired since.
const staleAfter = time.Second

// unrecorded is the end of a stored job's run that is not in the log yet.
type unrecorded struct {
	end fleet.RunEnd
	// task is nil if no host waits for the run.
	task *offer.Task
	// listed is when this host read the end.
	listed time.Time
	// recorded is set once the log has confirmed it, and expired once the
	// worker's lease has expired since it was listed.
	recorded, expired bool
}

// record has an end recorded. Its room is free already.
func (p *Pool) record(now time.Time, w *worker, e fleet.RunEnd, task *offer.Task) {
	w.unrecorded[e.Seq] = &unrecorded{end: e, task: task, listed: now}
	p.emit(RecordEnd{Worker: w.info.ID, StartTime: w.born, End: e})
}

// recordable reports whether an end has to be in the log before it is taken
// note of. Other ends, such as those of a stop, leave the task to be run again.
func (p *Pool) recordable(e fleet.RunEnd, task *offer.Task) bool {
	if e.Reason != fleet.EndedDone && e.Reason != fleet.EndedFailed {
		return false
	}
	return task != nil && task.Stored || p.cfg.IsStored != nil && p.cfg.IsStored(e.Task.Job)
}

// Recorded takes the log's confirmation of an end: it is taken note of, and
// the task's host hears of it.
func (p *Pool) EndRecorded(now time.Time, r RecordEnd) {
	w, ok := p.workers[r.Worker]
	if !ok || w.born != r.StartTime {
		return
	}
	u, ok := w.unrecorded[r.End.Seq]
	if !ok {
		return
	}
	u.recorded = true
	if !w.stale(now) {
		p.takeNote(w, u)
	}
}

// takeNote takes note of a recorded end.
func (p *Pool) takeNote(w *worker, u *unrecorded) {
	delete(w.unrecorded, u.end.Seq)
	w.note()
	p.tellEnd(w, u.task, u.end)
}

// stale reports whether the worker's lease has to expire before its ends are
// taken note of: one of them has waited too long to be recorded.
func (w *worker) stale(now time.Time) bool {
	for _, u := range w.unrecorded {
		if !u.expired && now.Sub(u.listed) > staleAfter {
			return true
		}
	}
	return false
}

// expire notes that the worker's lease has expired.
func (p *Pool) expire(now time.Time, w *worker) {
	if !w.stale(now) || now.Before(w.leasesOver()) {
		return
	}
	for _, seq := range slices.Sorted(maps.Keys(w.unrecorded)) {
		u := w.unrecorded[seq]
		u.expired = true
		if u.recorded {
			p.takeNote(w, u)
		}
	}
	p.emit(LogEvent{Message: "lease let go", Worker: w.info.ID, Why: "an end was not recorded in time"})
}

// note advances what is taken note of, up to the first end that is not
// recorded.
func (w *worker) note() {
	w.noted = w.seen
	for seq := range w.unrecorded {
		w.noted = min(w.noted, seq-1)
	}
}
