package workerpool

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// RunsLost reports, for the process log, the runs that were lost together with
// their worker.
type RunsLost struct {
	Worker fleet.Worker
	// Why is how the loss was found.
	Why string
	// LastFailure is how the last unanswered poll of the worker ended.
	LastFailure fleet.CallFailure
	// SilentFor is the time since the worker's last answer.
	SilentFor time.Duration
	Runs      []LostRun
}

// LostRun is a run that was lost with its worker.
type LostRun struct {
	fleet.RunID
	// Age is the time from the order of the run to the worker's last answer.
	Age time.Duration
}

func (RunsLost) action() {}

func anyRun(*run) bool { return true }

// loseRuns removes the matching runs of a worker that can no longer report their
// ends, and returns their tasks.
func (p *Pool) loseRuns(now time.Time, w *worker, why string, match func(*run) bool) {
	lost := RunsLost{Worker: w.info, Why: why, LastFailure: w.lastFailure, SilentFor: now.Sub(w.lastContact)}
	for _, r := range w.sortedRuns() {
		if match(r) {
			lost.Runs = append(lost.Runs, LostRun{RunID: r.id, Age: w.lastContact.Sub(r.orderedAt)})
			p.endWithoutResult(w, r, why)
		}
	}
	if len(lost.Runs) > 0 {
		p.emit(lost)
	}
}
