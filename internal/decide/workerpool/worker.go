package workerpool

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// lostLooks is how many calls in a row may go without an answer before a
// worker counts as lost.
const lostLooks = 2

// runState is where a run stands at its worker.
type runState int

const (
	// runStarting was ordered; the verdict is awaited.
	runStarting runState = iota
	// runRunning is at the worker.
	runRunning
	// runStopping is being stopped or barred.
	runStopping
)

// run is one run that occupies, or may occupy, room on a worker.
type run struct {
	id    fleet.RunID
	size  fleet.Size
	state runState
	// task is nil if no host waits for the run.
	task *offer.Task
	// began is when the start was ordered.
	began time.Time
	// settledAt is the number of the last look sent before the start or stop
	// was answered: a listing of a later look is sure to reflect it.
	settledAt int64
	// stopAnswered is set once the worker has confirmed the stop.
	stopAnswered bool
	stopInFlight bool
	nextStop     time.Time
	// claimed is set if a former owner started the run, at an unknown time.
	claimed bool
}

// worker is one worker that this host owns.
type worker struct {
	info  fleet.Worker
	fence int64
	runs  map[fleet.RunID]*run
	used  fleet.Size
	// adopting is set until the first listing.
	adopting bool
	// claimUntil is when runs found there are stopped if nobody claims them.
	claimUntil time.Time
	// unclaimed are the runs found there whose size is not known. They may fill
	// the worker, so that it takes no task until they have ended or are claimed.
	unclaimed map[fleet.RunID]bool

	// clock is the worker's clock at clockAt of ours.
	clock   time.Duration
	clockAt time.Time
	// granted is the latest lease end that an order named, on its clock.
	granted time.Duration
	born    int64
	// seen is the highest end that was read, noted the highest that is taken
	// note of: the worker forgets it.
	seen, noted int64
	// unrecorded are the ends, by number, that the log does not hold yet.
	unrecorded map[int64]*unrecorded

	// looking numbers the look that waits for an end; zero if there is none.
	looking int64
	// misnumbered is a waiting look that names ends of a former lifetime as noted:
	// nothing may end in the new one before it is answered or given up.
	misnumbered int64
	// renewing numbers the look that answers at once; zero if there is none.
	renewing int64
	// lookedAt and renewedAt are when these were sent, listedAt is when lists
	// last came and heard when anything did.
	lookedAt, renewedAt, listedAt, heard time.Time
	// unreachable counts looks and starts without an answer in a row.
	unreachable int
	nextLook    time.Time

	health health
}

// clockStep is how far a worker's clock may seem to go back: answers overtake
// each other by less. Only another lifetime's clock goes back by more.
const clockStep = time.Second

// renumber forgets the numbers of a former lifetime's ends: to take note of them
// would be to take note of others in the new one.
func (w *worker) renumber(granted time.Duration) {
	w.seen, w.noted, w.granted = 0, 0, granted
	w.misnumbered = w.looking
	clear(w.unrecorded)
}

// sync takes a reading of the worker's clock.
func (w *worker) sync(now time.Time, clock time.Duration) {
	w.clock, w.clockAt, w.heard = clock, now, now
}

// now estimates the worker's clock.
func (w *worker) now(now time.Time) time.Duration { return w.clock + now.Sub(w.clockAt) }

// lease returns the end of a lease granted now, and remembers it.
func (w *worker) lease(now time.Time, length time.Duration) time.Duration {
	until := w.now(now) + length
	w.granted = max(w.granted, until)
	return until
}

// leasesOver returns when every lease granted has surely expired.
func (w *worker) leasesOver() time.Time {
	return w.clockAt.Add(fleet.WithMaxClockDrift(w.granted-w.clock) + leaseMargin)
}

// free returns the room that is left.
func (w *worker) free() fleet.Size { return w.info.Capacity.Sub(w.used) }

// usable reports whether the worker takes tasks at all.
func (w *worker) usable(now time.Time) bool {
	return !w.adopting && len(w.unclaimed) == 0 && !w.info.Draining &&
		w.unreachable == 0 && w.misnumbered == 0 && !w.health.out(now) && !w.stale(now)
}

// soonUsable reports whether the worker takes tasks now or is expected to
// within a few round trips.
func (w *worker) soonUsable(now time.Time) bool {
	return !w.info.Draining && w.unreachable < lostLooks && !w.health.out(now)
}

// renews reports whether looks renew the leases. Runs that nobody has claimed
// are not renewed before they are being stopped, and those on a worker that
// does not answer end with the lease that they have.
func (w *worker) renews(now time.Time) bool {
	return !w.adopting && w.unreachable == 0 && !w.stale(now) && len(w.runs) > 0 && (len(w.unclaimed) == 0 || now.After(w.claimUntil))
}

// add counts a run in.
func (w *worker) add(r *run) {
	w.runs[r.id] = r
	w.used = w.used.Add(r.size)
}

// remove counts a run out.
func (w *worker) remove(r *run) {
	delete(w.runs, r.id)
	delete(w.unclaimed, r.id)
	w.used = w.used.Sub(r.size)
}

// listed returns the runs in a fixed order, so that decisions repeat.
func (w *worker) listed() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return a.id.Compare(b.id) })
	return runs
}

// tasksOf counts the runs of a job's step.
func (w *worker) tasksOf(name fleet.TaskName) int {
	n := 0
	for id := range w.runs {
		if id.Task.Job == name.Job && id.Task.Step == name.Step {
			n++
		}
	}
	return n
}
