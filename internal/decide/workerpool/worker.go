package workerpool

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// lostAfterMissedCalls is how many calls in a row may go without an answer before a
// worker counts as lost.
const lostAfterMissedCalls = 2

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
	// orderedAt is when the start was ordered.
	orderedAt time.Time
	// answeredAtPoll is the number of the last look sent before the start or stop
	// was answered: a listing of a later look is sure to reflect it.
	answeredAtPoll int64
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
	// claimDeadline is when runs found there are stopped if nobody claims them.
	claimDeadline time.Time
	// unclaimed are the runs found there whose size is not known. They may fill
	// the worker, so that it takes no task until they have ended or are claimed.
	unclaimed map[fleet.RunID]bool

	// clock is the worker's clock at clockAt of ours.
	clock   time.Duration
	clockAt time.Time
	// latestLeaseEnd is the latest lease end that an order named, on its clock.
	latestLeaseEnd time.Duration
	startTime      int64
	// seenSeq is the highest end that was read, noted the highest that is taken
	// note of: the worker forgets it.
	seenSeq, acknowledgedSeq int64
	// unrecorded are the ends, by number, that the log does not hold yet.
	unrecorded map[int64]*unrecordedEnd

	// longPoll numbers the look that waits for an end; zero if there is none.
	longPoll int64
	// staleAckPoll is a waiting look that names ends of a former lifetime as noted:
	// nothing may end in the new one before it is answered or given up.
	staleAckPoll int64
	// shortPoll numbers the look that answers at once; zero if there is none.
	shortPoll int64
	// longPollAt and renewedAt are when these were sent, listedAt is when lists
	// last came and heard when anything did.
	longPollAt, shortPollAt, listedAt, lastContact time.Time
	// missedCalls counts looks and starts without an answer in a row.
	missedCalls int
	nextPoll    time.Time

	health health
}

// maxClockRegression is how far a worker's clock may seem to go back: answers overtake
// each other by less. Only another lifetime's clock goes back by more.
const maxClockRegression = time.Second

// resetEndNumbers forgets the numbers of a former lifetime's ends: to take note of them
// would be to take note of others in the new one.
func (w *worker) resetEndNumbers(granted time.Duration) {
	w.seenSeq, w.acknowledgedSeq, w.latestLeaseEnd = 0, 0, granted
	w.staleAckPoll = w.longPoll
	clear(w.unrecorded)
}

// syncClock takes a reading of the worker's clock.
func (w *worker) syncClock(now time.Time, clock time.Duration) {
	w.clock, w.clockAt, w.lastContact = clock, now, now
}

// clockNow estimates the worker's clock.
func (w *worker) clockNow(now time.Time) time.Duration { return w.clock + now.Sub(w.clockAt) }

// grantLease returns the end of a lease granted now, and remembers it.
func (w *worker) grantLease(now time.Time, length time.Duration) time.Duration {
	until := w.clockNow(now) + length
	w.latestLeaseEnd = max(w.latestLeaseEnd, until)
	return until
}

// leaseExpiry returns when every lease granted has surely expired.
func (w *worker) leaseExpiry() time.Time {
	return w.clockAt.Add(fleet.WithMaxClockDrift(w.latestLeaseEnd-w.clock) + leaseMargin)
}

// free returns the room that is left.
func (w *worker) free() fleet.Size { return w.info.Capacity.Sub(w.used) }

// usable reports whether the worker takes tasks at all.
func (w *worker) usable(now time.Time) bool {
	return !w.adopting && len(w.unclaimed) == 0 && !w.info.Draining &&
		w.missedCalls == 0 && w.staleAckPoll == 0 && !w.health.onProbation(now) && !w.awaitsLeaseExpiry(now)
}

// soonUsable reports whether the worker takes tasks now or is expected to
// within a few round trips.
func (w *worker) soonUsable(now time.Time) bool {
	return !w.info.Draining && w.missedCalls < lostAfterMissedCalls && !w.health.onProbation(now)
}

// renewsLeases reports whether looks renew the leases. Runs that nobody has claimed
// are not renewed before they are being stopped, and those on a worker that
// does not answer end with the lease that they have.
func (w *worker) renewsLeases(now time.Time) bool {
	return !w.adopting && w.missedCalls == 0 && !w.awaitsLeaseExpiry(now) && len(w.runs) > 0 && (len(w.unclaimed) == 0 || now.After(w.claimDeadline))
}

// addRun counts a run in.
func (w *worker) addRun(r *run) {
	w.runs[r.id] = r
	w.used = w.used.Add(r.size)
}

// removeRun counts a run out.
func (w *worker) removeRun(r *run) {
	delete(w.runs, r.id)
	delete(w.unclaimed, r.id)
	w.used = w.used.Sub(r.size)
}

// sortedRuns returns the runs in a fixed order, so that decisions repeat.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return a.id.Compare(b.id) })
	return runs
}

// countTasks counts the runs of a job's step.
func (w *worker) countTasks(name fleet.TaskName) int {
	n := 0
	for id := range w.runs {
		if id.Task.Job == name.Job && id.Task.Step == name.Step {
			n++
		}
	}
	return n
}
