package workerpool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// lostAfterMissedPolls is the number of consecutive polls without an answer
// after which a worker counts as lost.
const lostAfterMissedPolls = 2

// runState is the state of a run as its owner knows it.
type runState int

const (
	// runStarting means that the start was ordered and the verdict is pending.
	runStarting runState = iota
	// runRunning means that the run is at the worker.
	runRunning
	// runStopping means that the run is being stopped or blocked.
	runStopping
)

// run is one run that occupies, or may occupy, capacity of a worker.
type run struct {
	id    fleet.RunID
	size  fleet.Size
	state runState
	// task is nil if no host waits for the run.
	task *offer.Task
	// orderedAt is when the start was ordered.
	orderedAt time.Time
	// acceptedAt is when the worker's acceptance of the start was read.
	acceptedAt time.Time
	// acceptedClock is the worker's clock when it accepted the run, or zero if unknown.
	acceptedClock time.Duration
	// percent is the progress that was listed last, and progressAt when it was first
	// listed; for a run without progress, when the run was accepted.
	percent    int
	progressAt time.Time
	// slowDecision is the last decision about the run as a slow one, or empty.
	slowDecision SlowRunDecision
	// answeredAtPoll is the number of the last poll sent before the start or stop
	// was answered. The answer to any later poll reflects that order.
	answeredAtPoll int64
	// stopAnswered is set once the worker has confirmed the stop, and stoppedBy is when
	// the run has ended then at the latest.
	stopAnswered bool
	stoppedBy    time.Time
	stopInFlight bool
	// neededAt is when the host of the run's job was last known to need it, if no host
	// does any more; zero if none is known to have needed it.
	neededAt time.Time
	// stopReason is the reason of the first stop, and host the entry host that the run
	// was for, if known, with its number of the submission. They outlive the task.
	stopReason StopReason
	host       string
	submission int64
	nextStop   time.Time
	// failedStops counts the stops without an answer.
	failedStops int
	// late is set once the start was not answered in time but may still be.
	late bool
	// claimed is set if a former owner started the run, so that its start time is
	// unknown.
	claimed bool
	// stored is set if the run is known to belong to a stored job. It outlives the
	// task.
	stored bool
	// confirmed is set once the worker has accepted or listed the run.
	confirmed bool
	// claimBy is when the run is stopped unless a host claims it, or zero if a host
	// waits for it. Hosts may claim the run until then because it was found on the
	// worker, because its driver handed it over, or because contact was lost with the
	// driver, which may come back.
	claimBy time.Time
	// foundAt is when the run was found on the worker, or zero once a host has claimed it.
	// Until its hold is recorded in the log its lease is not renewed.
	foundAt                   time.Time
	holdOrdered, holdRecorded bool
	// foundUnder is the fence under which the record of the hold was ordered.
	foundUnder int64
	// exclusive is set if no other run may start on the worker beside it, and
	// shared once another run has been on the worker with it.
	exclusive, shared bool
}

// precedes reports whether the answer to a poll, made when the worker's clock read clock,
// reflects the order of the run: the poll was sent after the order was answered, or the
// run was accepted by a former incarnation, whose clock was ahead.
func (r *run) precedes(poll int64, clock time.Duration) bool {
	return poll > r.answeredAtPoll || r.acceptedClock > clock+maxClockRegression
}

// worker is one worker that this host owns.
type worker struct {
	info fleet.Worker
	// evacuated is set while the worker's zone is evacuated.
	evacuated bool

	fence int64
	runs  map[fleet.RunID]*run
	used  fleet.Size
	// adopting is set until the first poll is answered, and moreEnds from then until a
	// complete list of ends was read: those of former owners' runs may still follow.
	adopting, moreEnds bool
	// lapsed is set from the end of the leases of lost runs until a complete list of ends
	// was read: some of those runs may have ended before.
	lapsed bool
	// settledAt is when what a former owner has ordered to stop has ended, at the latest.
	// Such a run may not be listed any more.
	settledAt time.Time
	// nextAnnouncement is when the runs are announced again, while some wait to be
	// claimed and until announceUntil.
	nextAnnouncement, announceUntil time.Time
	// unclaimed contains the runs found on the worker, whose size is unknown. They
	// may fill the worker, so that it starts no tasks until they have ended or
	// have been claimed.
	unclaimed map[fleet.RunID]bool

	// clock is the worker's clock at the local time clockAt.
	clock   time.Duration
	clockAt time.Time
	// latestLeaseEnd is the latest end, on the worker's clock, of a lease that
	// this host granted or a former owner may have granted.
	latestLeaseEnd time.Duration
	// leaseUnknown is set until this host grants a lease: the lease of the former owner may
	// end at any time.
	leaseUnknown bool
	startTime    int64
	// seenSeq is the highest end that was read, acknowledgedSeq the highest that
	// is acknowledged; the worker forgets the ends up to the latter.
	seenSeq, acknowledgedSeq int64
	// unrecorded contains the ends, by number, that are not in the log yet.
	unrecorded map[int64]*unrecordedEnd
	// unclassified contains the ends, by number, of runs of former owners whose
	// jobs this host cannot tell from stored ones yet.
	unclassified map[int64]foundEnd

	// longPoll is the pending poll that waits for an end, and hedgePoll a second one
	// while calls are unreliable.
	longPoll, hedgePoll longPoll
	// lostPolls are the numbers of long polls that were given up and have neither
	// been answered nor failed.
	lostPolls map[int64]bool
	// staleAckPolls are pending long polls that acknowledge ends of a former
	// incarnation. They could acknowledge ends of the new incarnation unread, so
	// that no run may end there before they have been answered or have failed.
	staleAckPolls map[int64]bool
	// shortPoll is the number of the pending poll that is answered at once, or
	// zero.
	shortPoll int64
	// shortPollAt is when the last poll of that kind was sent, pollAnsweredAt when a
	// poll was last answered, polledClock the worker's clock in that answer, and
	// lastContact when any call was answered.
	shortPollAt, pollAnsweredAt, lastContact time.Time
	polledClock                              time.Duration
	// ownedAt is when the last poll that was answered had been sent: no other owner had
	// polled the worker before.
	ownedAt time.Time
	// missedPolls counts the consecutive polls without an answer, and lastFailure
	// is how the last one ended.
	missedPolls int
	lastFailure fleet.CallFailure
	// interrupted is set from the failure of a poll until one is answered. The
	// worker may have started again meanwhile, so that an acknowledgement could
	// take away an unread end of its new incarnation.
	interrupted bool
	// lostExclusive is set from the loss of an exclusive run until the worker
	// answers again.
	lostExclusive bool
	// lostYoungest is when the youngest run was ordered of those that were lost since the
	// worker answered last.
	lostYoungest time.Time
	nextPoll     time.Time

	health health
	// awaited is set while a waiting task is to start here once its capacity is free.
	awaited bool
}

// maxClockRegression is how far a worker's clock may appear to go back, since
// answers can arrive out of order. A larger step back means a new incarnation.
const maxClockRegression = time.Second

// resetEndNumbers forgets the end numbers of a former incarnation, because
// acknowledging them would acknowledge other ends of the new one.
func (w *worker) resetEndNumbers(leaseEnd time.Duration) {
	w.seenSeq, w.acknowledgedSeq, w.latestLeaseEnd, w.moreEnds, w.lapsed = 0, 0, leaseEnd, false, false
	w.staleAckPolls = maps.Clone(w.lostPolls)
	for _, l := range []longPoll{w.longPoll, w.hedgePoll} {
		if l.number != 0 {
			if w.staleAckPolls == nil {
				w.staleAckPolls = map[int64]bool{}
			}
			w.staleAckPolls[l.number] = true
		}
	}
	clear(w.unrecorded)
	clear(w.unclassified)
}

// syncClock records a reading of the worker's clock.
func (w *worker) syncClock(now time.Time, clock time.Duration) {
	w.clock, w.clockAt, w.lastContact = clock, now, now
}

// clockNow estimates the current reading of the worker's clock.
func (w *worker) clockNow(now time.Time) time.Duration { return w.clock + now.Sub(w.clockAt) }

// grantLease returns the end of a lease granted now, on the worker's clock, and
// records it.
func (w *worker) grantLease(now time.Time, length time.Duration) time.Duration {
	until := w.clockNow(now) + length
	w.latestLeaseEnd, w.leaseUnknown = max(w.latestLeaseEnd, until), false
	return until
}

// leaseExpiry returns the local time at which all granted leases have certainly
// expired.
func (w *worker) leaseExpiry() time.Time {
	return w.clockAt.Add(fleet.WithMaxClockDrift(w.latestLeaseEnd-w.clock) + leaseMargin)
}

// free returns the free capacity.
func (w *worker) free() fleet.Size { return w.info.Capacity.Sub(w.used) }

// registered reports whether the registration is that of the incarnation that
// answers. A new incarnation may have another capacity.
func (w *worker) registered() bool {
	return w.startTime == 0 || w.info.StartTime == 0 || w.info.StartTime >= w.startTime
}

// usable reports whether the worker may start tasks now.
func (w *worker) usable(now time.Time) bool {
	return !w.evacuated && !w.adopting && !now.Before(w.settledAt) && len(w.unclaimed) == 0 && !w.info.Draining && w.registered() &&
		w.missedPolls == 0 && len(w.staleAckPolls) == 0 && !w.health.onProbation(now) && !w.awaitsLeaseExpiry(now)
}

// soonUsable reports whether the worker may start tasks now or is expected to
// within a few round trips.
func (w *worker) soonUsable(now time.Time) bool {
	return !w.evacuated && !w.info.Draining && w.missedPolls < lostAfterMissedPolls && !w.health.onProbation(now)
}

// renewsLeases reports whether polls renew the leases. Runs on a worker that does not
// answer end with their current lease.
func (w *worker) renewsLeases(now time.Time) bool {
	return !w.adopting && w.missedPolls == 0 && !w.awaitsLeaseExpiry(now) && len(w.runs) > 0
}

// addRun adds a run and the capacity that it occupies.
func (w *worker) addRun(r *run) {
	for _, other := range w.runs {
		other.shared, r.shared = true, true
	}
	w.runs[r.id] = r
	w.used = w.used.Add(r.size)
}

// removeRun removes a run and frees its capacity.
func (w *worker) removeRun(r *run) {
	delete(w.runs, r.id)
	delete(w.unclaimed, r.id)
	w.used = w.used.Sub(r.size)
}

// sortedRuns returns the runs in order, which makes decisions deterministic.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return a.id.Compare(b.id) })
	return runs
}

// countTasks returns the number of runs of the same step on the worker.
func (w *worker) countTasks(name fleet.TaskName) int {
	n := 0
	for id := range w.runs {
		if id.Task.Job == name.Job && id.Task.Step == name.Step {
			n++
		}
	}
	return n
}

// awaitsDriver reports whether a run of a stored job goes on until its driver claims it.
func (w *worker) awaitsDriver(now time.Time) bool {
	for _, r := range w.runs {
		if r.stored && r.state == runRunning && now.Before(r.claimBy) {
			return true
		}
	}
	return false
}

// heldEnds returns the ends that the worker lists and that are not acknowledged, in
// order.
func (w *worker) heldEnds() []fleet.RunEnd {
	var ends []fleet.RunEnd
	for _, found := range w.unclassified {
		ends = append(ends, found.end)
	}
	for _, u := range w.unrecorded {
		ends = append(ends, u.end)
	}
	slices.SortFunc(ends, func(a, b fleet.RunEnd) int { return cmp.Compare(a.Seq, b.Seq) })
	return ends
}
