package workerpool

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// bystanderMargin is how much longer than the youngest run on its worker a run
// must have been there to count as a bystander of the worker's crash. Runs that
// start together may each be the cause.
const bystanderMargin = 50 * time.Millisecond

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

// processEnded handles the end of a worker's process: the runs are over, without
// waiting for their leases, except those whose start has not been answered. They
// may have reached the worker's next incarnation.
func (p *Pool) processEnded(now time.Time, w *worker) {
	p.loseRuns(now, w, "process ended", quarantine.Crashed, func(r *run) bool { return r.state != runStarting })
}

// loseRuns removes the matching runs of a worker that can no longer report their
// ends, and returns their tasks together with what is known of the loss.
func (p *Pool) loseRuns(now time.Time, w *worker, why string, fate quarantine.Fate, match func(*run) bool) {
	if w.info.Draining {
		// The worker had announced that its runs would end.
		fate = quarantine.Survived
	}
	for _, r := range p.removeLost(now, w, why, match) {
		if r.task == nil {
			continue
		}
		o := w.outcome(*r.task, r.id.Run, offer.Returned, why)
		o.Loss = &quarantine.Loss{
			Run: r.id.Run, Worker: w.info.ID, Address: w.info.Address, StartTime: w.startTime, Fate: fate,
			Alone: !r.shared, Unconfirmed: !r.confirmed, Bystander: !r.claimed && w.lostYoungest.Sub(r.orderedAt) >= bystanderMargin,
		}
		p.emit(SendOutcome{o})
	}
}

// removeLost removes and returns the matching runs of a worker, which are lost with it or
// go on elsewhere.
func (p *Pool) removeLost(now time.Time, w *worker, why string, match func(*run) bool) []*run {
	lost := RunsLost{Worker: w.info, Why: why, LastFailure: w.lastFailure, SilentFor: now.Sub(w.lastContact)}
	var removed []*run
	for _, r := range w.sortedRuns() {
		if r.orderedAt.After(w.lostYoungest) {
			w.lostYoungest = r.orderedAt
		}
		if !match(r) {
			continue
		}
		removed = append(removed, r)
		lost.Runs = append(lost.Runs, LostRun{RunID: r.id, Age: w.lastContact.Sub(r.orderedAt)})
		w.lostExclusive = w.lostExclusive || r.exclusive
		w.removeRun(r)
	}
	if len(removed) > 0 {
		p.emit(lost)
	}
	return removed
}

// ownershipTimeout is how long after the end of the leases on a worker that does not answer
// a join may take to confirm that the worker had no other owner: one interval and the call.
const ownershipTimeout = 400 * time.Millisecond

// leasesExpired handles the end of all leases on a worker that does not answer. Its next
// owner, if there is one, may have found the runs of stored jobs before and may have renewed
// their leases for their drivers; it renews no lease of another run that is not claimed.
func (p *Pool) leasesExpired(now time.Time, w *worker) {
	const why = "lease expired"
	w.lapsed = true
	if p.cfg.Held == nil {
		p.loseRuns(now, w, why, quarantine.Unknown, anyRun)
		return
	}
	p.loseRuns(now, w, why, quarantine.Unknown, func(r *run) bool { return !r.stored })
	if len(w.runs) == 0 {
		return
	}
	expiry := w.leaseExpiry()
	from, to := p.cfg.Held(w.info.ID)
	switch sole := !from.IsZero() && !from.After(w.ownedAt); {
	case sole && !to.Before(expiry):
		p.loseRuns(now, w, why, quarantine.Unknown, anyRun)
	case !sole || now.Sub(expiry) >= ownershipTimeout:
		const why = "lease expired, another owner may have renewed it"
		for _, r := range p.removeLost(now, w, why, anyRun) {
			p.reportOrphaned(now, w, r, why)
		}
	}
}
