package room

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Record asks for the end of a stored job's run to be recorded. The answer
// comes back by Recorded; until then the worker goes on listing the end.
type Record struct {
	Worker string
	// Born is the start of the worker's lifetime that numbers the end.
	Born int64
	End  fleet.RunEnd
}

func (Record) action() {}

// unrecorded is the end of a stored job's run that is not in the log yet.
type unrecorded struct {
	end fleet.RunEnd
	// task is nil if no host waits for the run.
	task *offer.Task
}

// record has an end recorded. Its room is free already.
func (p *Pool) record(w *worker, e fleet.RunEnd, task *offer.Task) {
	w.unrecorded[e.Seq] = unrecorded{e, task}
	p.emit(Record{Worker: w.info.ID, Born: w.born, End: e})
}

// recordable reports whether an end has to be in the log before it is taken
// note of. Other ends, such as those of a stop, leave the task to be run again.
func (p *Pool) recordable(e fleet.RunEnd, task *offer.Task) bool {
	if e.How != fleet.EndedDone && e.How != fleet.EndedFailed {
		return false
	}
	return task != nil && task.Stored || p.cfg.Stored != nil && p.cfg.Stored(e.Task.Job)
}

// Recorded takes the log's confirmation of an end: it is taken note of, and
// the task's host hears of it.
func (p *Pool) Recorded(now time.Time, r Record) {
	w, ok := p.workers[r.Worker]
	if !ok || w.born != r.Born {
		return
	}
	u, ok := w.unrecorded[r.End.Seq]
	if !ok {
		return
	}
	delete(w.unrecorded, r.End.Seq)
	w.note()
	if u.task == nil {
		return
	}
	if u.end.How == fleet.EndedDone {
		p.tell(*u.task, w, u.end.Run, offer.Done, "")
		return
	}
	p.retryFailed(w, u.task, u.end.Run)
}

// note advances what is taken note of, up to the first end that is not
// recorded.
func (w *worker) note() {
	w.noted = w.seen
	for seq := range w.unrecorded {
		w.noted = min(w.noted, seq-1)
	}
}
