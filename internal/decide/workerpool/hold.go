package workerpool

import (
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// A run of a stored job that is found on a worker goes on for Config.FoundRunHold until its
// driver claims it. The driver may have no stream to this host and does not know how many
// owners the worker has had since. An owner therefore extends the lease of such a run only
// once the log holds a record of it: the driver reads the log before it starts the task again.

const (
	// holdRecordDelay is how long drivers have to claim a run before its hold is recorded.
	// Those that have a stream to this host need a few milliseconds.
	holdRecordDelay = 50 * time.Millisecond
	// holdRecordTimeout is how long the other runs on a worker wait for the record, without
	// which their leases are not renewed either.
	holdRecordTimeout = 300 * time.Millisecond
)

// RecordHold asks the caller to record that this host holds a run for its driver. The
// confirmation comes back by Pool.HoldRecorded.
type RecordHold struct {
	Worker string
	Run    fleet.RunID
	// Fence is the one under which the run was found.
	Fence int64
}

func (RecordHold) action() {}

// recordHolds asks for the holds of the runs found on a worker to be recorded.
func (p *Pool) recordHolds(now time.Time, w *worker) {
	if len(w.unclaimed) == 0 {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.stored && r.state == runRunning && !r.holdOrdered && !r.foundAt.IsZero() && now.Sub(r.foundAt) >= holdRecordDelay {
			r.holdOrdered, r.foundUnder = true, w.fence
			p.emit(RecordHold{Worker: w.info.ID, Run: r.id, Fence: w.fence})
			p.emit(LogEvent{Message: "run held for its driver", Worker: w.info.ID, Why: fmt.Sprintf("%s run %d", r.id.Task, r.id.Run)})
		}
	}
}

// HoldRecorded handles the log's confirmation that a run is held.
func (p *Pool) HoldRecorded(h RecordHold) {
	if w, ok := p.workers[h.Worker]; ok {
		if r := w.runs[h.Run]; r != nil && r.holdOrdered && r.foundUnder == h.Fence {
			r.holdRecorded = true
		}
	}
}

// awaitsRecord reports whether a run was found and is neither claimed nor held.
func (r *run) awaitsRecord() bool { return !r.foundAt.IsZero() && !r.holdRecorded }

// holdsLeaseOfOthers reports whether a run keeps the leases of the other runs on its worker
// from being renewed, because its hold was not recorded in time.
func (w *worker) holdsLeaseOfOthers(now time.Time, r *run) bool {
	return r.stored && r.state == runRunning && r.awaitsRecord() && len(w.runs) > 1 && now.Sub(r.foundAt) >= holdRecordTimeout
}
