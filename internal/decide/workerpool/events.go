package workerpool

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// PollAnswered handles a worker's answer to a poll. Answers to polls that are not
// pending are ignored.
func (p *Pool) PollAnswered(now time.Time, id string, number int64, l fleet.PollResponse) {
	w, ok := p.workers[id]
	short := ok && number == w.shortPoll
	var sent time.Time
	if ok {
		sent = w.pollSentAt(number)
	}
	if !ok || !w.finishPoll(number) {
		return
	}
	if sent.After(w.ownedAt) {
		w.ownedAt = sent
	}
	if short {
		p.cfg.Flow.Answered(now, now.Sub(w.shortPollAt))
	}
	w.missedPolls, w.lostExclusive, w.interrupted, w.lostYoungest = 0, false, false, time.Time{}
	if w.startTime != 0 && l.StartTime != w.startTime {
		p.handleRestart(now, w, number, l)
	}
	// Answers on different connections may overtake each other.
	outdated := l.StartTime == w.startTime && l.Clock < w.polledClock && l.Clock > w.polledClock-maxClockRegression
	if !outdated {
		w.polledClock = l.Clock
	}
	w.startTime = l.StartTime
	w.syncClock(now, l.Clock)
	w.pollAnsweredAt = now
	w.noteMissedEnds(now, l.Ended)
	if w.adopting {
		p.handleFirstPoll(now, w, l)
		return
	}
	var found []fleet.RunEnd
	for _, e := range l.Ended {
		if e.Seq <= w.seenSeq {
			continue
		}
		w.seenSeq = e.Seq
		if w.runs[e.RunID] == nil {
			found = append(found, e)
		} else {
			p.handleEnd(now, w, e)
		}
	}
	p.endsFound(now, w, found, l.Truncated)
	w.advanceAcknowledged()
	if !outdated {
		p.reconcileRuns(now, w, listing{PollResponse: l, poll: number, sentAt: sent, waited: !short})
	}
}

// handleRestart returns the tasks of runs of a former incarnation. It keeps runs
// that the new incarnation lists, and those that may have started in the new one since the
// list was made. Of a truncated list, nothing is concluded from what is missing.
func (p *Pool) handleRestart(now time.Time, w *worker, number int64, l fleet.PollResponse) {
	present := map[fleet.RunID]bool{}
	for _, r := range l.Running {
		present[r.RunID] = true
	}
	for _, e := range l.Ended {
		present[e.RunID] = true
	}
	p.loseRuns(now, w, "worker restarted", quarantine.Crashed, func(r *run) bool {
		return !present[r.id] && r.state != runStarting && !l.Truncated && r.precedes(number, l.Clock)
	})
	w.resetEndNumbers(0)
	p.emit(LogEvent{Message: "worker-restarted", Worker: w.info.ID, Why: "start time changed"})
}

// handleFirstPoll handles the first answer of an adopted worker: it asks for the
// ends of stored jobs' runs to be recorded and announces all runs found, so that
// the hosts of their jobs can claim them.
func (p *Pool) handleFirstPoll(now time.Time, w *worker, l fleet.PollResponse) {
	w.adopting, w.settledAt = false, now.Add(fleet.WithMaxClockDrift(p.cfg.StopTime))
	w.latestLeaseEnd, w.leaseUnknown = l.Clock+p.cfg.MaxLease, true
	for _, e := range l.Ended {
		w.seenSeq = max(w.seenSeq, e.Seq)
	}
	for _, r := range l.Running {
		p.addFoundRun(now, w, r.RunID)
	}
	w.moreEnds = l.Truncated
	if l.Truncated {
		p.emit(LogEvent{Message: "more ends to read", Worker: w.info.ID, Why: fmt.Sprintf("%d ends listed", len(l.Ended))})
	}
	p.holdFoundEnds(now, w, l.Ended)
	if len(l.Running) > 0 || len(l.Ended) > 0 {
		p.announce(now, w, l.Ended)
	}
}

// endsFound handles the ends in a later answer of runs that this host does not know: those of
// former owners' runs, until a complete list was read, and those of runs that were lost with
// their leases. The jobs' hosts learn of them as if the first answer had listed them.
func (p *Pool) endsFound(now time.Time, w *worker, ends []fleet.RunEnd, truncated bool) {
	p.holdFoundEnds(now, w, ends)
	complete := w.moreEnds && !truncated
	if !truncated {
		w.moreEnds, w.lapsed = false, false
	}
	if complete {
		p.emit(LogEvent{Message: "all ends read", Worker: w.info.ID, Why: fmt.Sprintf("up to number %d", w.seenSeq)})
	}
	if complete || len(ends) > 0 {
		p.announce(now, w, ends)
	}
}

// announce announces the runs on a worker, and ends that were found there.
func (p *Pool) announce(now time.Time, w *worker, found []fleet.RunEnd) {
	w.nextAnnouncement = now.Add(announceInterval)
	inventory := w.inventory()
	for _, e := range found {
		if !slices.ContainsFunc(inventory.Ended, func(o fleet.RunEnd) bool { return o.Seq == e.Seq }) {
			inventory.Ended = append(inventory.Ended, e)
		}
	}
	p.emit(AnnounceInventory{Inventory: inventory})
}

// addFoundRun adds a run that this host did not start.
func (p *Pool) addFoundRun(now time.Time, w *worker, id fleet.RunID) *run {
	r := &run{id: id, state: runRunning, confirmed: true, orderedAt: now, answeredAtPoll: p.lastPoll, acceptedClock: w.clock}
	r.claimBy, r.foundAt = now.Add(p.cfg.ClaimTimeout), now
	if p.cfg.IsStored != nil && p.cfg.IsStored(id.Task.Job) {
		r.stored, r.claimBy = true, now.Add(p.cfg.FoundRunHold)
	}
	w.unclaimed[id] = true
	w.addRun(r)
	return r
}

// handleEnd handles the end of a run that this host knows.
func (p *Pool) handleEnd(now time.Time, w *worker, e fleet.RunEnd) {
	r := w.runs[e.RunID]
	if e.Reason != fleet.EndedDone && e.Reason != fleet.EndedFailed {
		if r.task == nil {
			p.endedWithoutClaim(now, w, r)
		}
		p.endWithoutResult(w, r, e.Reason.String())
		return
	}
	unclaimed := w.unclaimed[e.RunID]
	w.removeRun(r)
	p.updateHealth(now, w, r, e.Reason)
	switch {
	case p.mustRecord(e, r.stored):
		p.recordEnd(now, w, e, r.task)
	case unclaimed:
		w.holdFoundEnd(now, e)
		p.classifyFoundEnds(w)
	default:
		p.reportEnd(w.info.ID, w.fence, r.task, e)
	}
}

// updateHealth updates the worker's health with a run that ended there.
func (p *Pool) updateHealth(now time.Time, w *worker, r *run, reason fleet.EndReason) {
	switch reason {
	case fleet.EndedDone:
		w.health.runCompleted()
		if r.task != nil && !r.claimed {
			p.recordRunTime(now, w, r)
		}
	case fleet.EndedFailed:
		if w.health.runFailed(now) {
			p.emit(LogEvent{Message: "probation", Worker: w.info.ID, Why: fmt.Sprintf("%d runs failed in a row", w.health.failures)})
		}
	}
}

// reportEnd reports a completed or failed run to the task's host, if a host waits
// for it.
func (p *Pool) reportEnd(worker string, fence int64, task *offer.Task, e fleet.RunEnd) {
	switch {
	case task == nil:
	case e.Reason == fleet.EndedDone:
		p.emit(SendOutcome{outcomeOf(*task, worker, fence, e.Run, offer.Done, "")})
	default:
		p.reportFailed(worker, fence, task, e.Run)
	}
}

// reportFailed counts and reports a failed run, of which the host of the job may know
// already: a former owner may have reported the same end, or the log may have it. That host
// decides whether the task is offered again.
func (p *Pool) reportFailed(worker string, fence int64, task *offer.Task, run int) {
	task.FailedRuns = task.FailedRuns.With(run)
	result, why := offer.Returned, "run failed"
	if len(task.FailedRuns) >= task.MaxAttempts {
		result, why = offer.Failed, "maximum number of attempts reached"
	}
	p.emit(SendOutcome{outcomeOf(*task, worker, fence, run, result, why)})
}

// endWithoutResult removes a run that ended without a result and returns its
// task.
func (p *Pool) endWithoutResult(w *worker, r *run, why string) {
	w.removeRun(r)
	if r.task != nil {
		p.sendOutcome(*r.task, w, r.id.Run, offer.Returned, why)
	}
}

// listing is the answer to a poll.
type listing struct {
	fleet.PollResponse
	poll   int64
	sentAt time.Time
	// waited is set if the poll waited for an end. Another owner may have taken the worker
	// over meanwhile and may be stopping runs, which are then not listed.
	waited bool
}

// reconcileRuns compares the worker's list of active runs with the expected
// ones. A run's absence counts only in answers to polls sent after the last order
// on it was answered, after a stop has had its time, and only if the list of ended
// runs is complete. If the poll waited, the worker is asked again, which it refuses if it
// has another owner.
func (p *Pool) reconcileRuns(now time.Time, w *worker, l listing) {
	running := l.Running
	listed := make(map[fleet.RunID]bool, len(running))
	for _, r := range running {
		listed[r.RunID] = true
	}
	askAgain := false
	for _, r := range w.sortedRuns() {
		id := r.id
		settled := r.state == runRunning || r.stopAnswered && !l.sentAt.Before(r.stoppedBy)
		if listed[id] || !settled || l.Truncated || l.poll <= r.answeredAtPoll {
			continue
		}
		if l.waited && !r.stopAnswered {
			askAgain = true
			continue
		}
		p.endWithoutResult(w, r, "not listed")
	}
	if askAgain && w.shortPoll == 0 {
		p.poll(now, w)
	}
	for _, progress := range running {
		id := progress.RunID
		if known := w.runs[id]; known != nil {
			known.confirmed = true
			p.confirmLateStart(now, w, known)
			known.observeProgress(now, progress.Percent)
			continue
		}
		// The worker received an order of a former owner late.
		p.stop(now, w, p.addFoundRun(now, w, id), StopFormerOrder)
	}
	for _, progress := range running {
		p.stopStraggler(now, w, w.runs[progress.RunID])
	}
}

// PollFailed handles a poll without an answer.
func (p *Pool) PollFailed(now time.Time, id string, number int64, failure fleet.CallFailure) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	w.lastFailure, w.interrupted = failure, true
	sent := w.pollSentAt(number)
	if !w.finishPoll(number) {
		return
	}
	switch {
	case failure == fleet.CallProcessEnded:
		p.processEnded(now, w)
	case failure == fleet.CallClosed && w.shortPoll == 0:
		p.poll(now, w)
	}
	if w.lastContact.After(sent) {
		// The worker has answered other calls since this poll was sent.
		if failure == fleet.CallTimedOut {
			p.callLost(now)
		}
		return
	}
	p.countMissedPoll(now, w)
}

// countMissedPoll counts a poll without an answer and delays the next poll.
func (p *Pool) countMissedPoll(now time.Time, w *worker) {
	w.missedPolls++
	w.nextPoll = now.Add(p.cfg.PollRetryDelay * time.Duration(min(w.missedPolls, 8)))
	if w.missedPolls == 1 {
		p.emit(LogEvent{Message: "worker-unreachable", Worker: w.info.ID, Why: w.lastFailure.String()})
	}
}

// Fenced handles a worker's refusal of an order with the given fence, because the
// worker has seen a higher one. The worker is released unless this host has
// adopted it under a newer fence since the order was sent. Number is that of the
// refused poll, or zero for other orders.
func (p *Pool) Fenced(now time.Time, id string, number, fence int64) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	w.finishPoll(number)
	if fence >= w.fence {
		p.release(now, w, "fenced")
	}
}

// WorkerReplaced handles an answer of another worker at the worker's address:
// all its runs have ended, and it is removed.
func (p *Pool) WorkerReplaced(now time.Time, id string) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	p.loseRuns(now, w, "worker replaced", quarantine.Crashed, anyRun)
	p.emit(Replaced{Worker: id})
	p.removeWorker(w, "another worker answers at its address")
}

// StartAnswered handles the verdict on a start, which was sent with the given
// fence. The clock is the worker's, or zero if unknown.
func (p *Pool) StartAnswered(now time.Time, id string, runID fleet.RunID, fence int64, verdict fleet.StartVerdict, clock time.Duration) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	r, ok := w.runs[runID]
	if clock > 0 {
		if clock < w.clock-maxClockRegression {
			w.resetEndNumbers(clock + p.cfg.MaxLease)
		}
		w.syncClock(now, clock)
		if ok {
			p.timeouts.Observe(now.Sub(r.orderedAt))
			p.cfg.Flow.Answered(now, now.Sub(r.orderedAt))
		}
	}
	if !ok || r.state != runStarting {
		// The end of the run was listed first, or it is being stopped.
		if ok && verdict == fleet.StartFenced {
			p.Fenced(now, id, noPoll, fence)
		}
		return
	}
	r.answeredAtPoll, r.acceptedClock = p.lastPoll, clock
	switch verdict {
	case fleet.StartAccepted:
		w.missedPolls = 0
		p.startAccepted(now, w, r)
	case fleet.StartFenced:
		p.startRejected(w, r, verdict)
		p.Fenced(now, id, noPoll, fence)
	case fleet.StartWrongWorker:
		p.startRejected(w, r, verdict)
		p.WorkerReplaced(now, id)
	case fleet.StartSuperseded, fleet.StartLeaseExpired:
		p.startRejected(w, r, verdict)
	case fleet.StartNoCapacity, fleet.StartUnhealthy, fleet.StartInvalid:
		if w.health.runFailed(now) {
			p.emit(LogEvent{Message: "probation", Worker: id, Why: "start rejected: " + verdict.String()})
		}
		p.startRejected(w, r, verdict)
	case fleet.StartNotSent:
		p.startRejected(w, r, verdict)
		p.countMissedPoll(now, w)
	case fleet.StartUnknown:
		p.noAnswerInTime(now, w, r)
		p.stop(now, w, r, StopNoAnswer)
	}
}

// startAccepted records that a run is at the worker.
func (p *Pool) startAccepted(now time.Time, w *worker, r *run) {
	r.state, r.confirmed, r.acceptedAt = runRunning, true, now
	if r.task != nil {
		p.sendOutcome(*r.task, w, r.id.Run, offer.Started, "")
	}
}

// startRejected removes a run that the worker did not start and returns its task.
func (p *Pool) startRejected(w *worker, r *run, verdict fleet.StartVerdict) {
	w.removeRun(r)
	if r.task != nil {
		p.returnTask(*r.task, w.info.ID, r.id.Run, "start rejected: "+verdict.String())
	}
}

// stop orders the end of a run, unless a stop is pending or confirmed.
func (p *Pool) stop(now time.Time, w *worker, r *run, why StopReason) {
	r.state = runStopping
	r.stopReason = cmp.Or(r.stopReason, why)
	if r.stopInFlight || r.stopAnswered {
		return
	}
	r.stopInFlight = true
	r.nextStop = now.Add(p.cfg.StopRetryDelay)
	p.emit(Stop{
		Worker: w.info, Run: r.id, Fence: w.fence, Timeout: p.stopTimeout(),
		Host: r.host, Submission: r.submission, Why: r.stopReason, LeaseLeft: w.leaseExpiry().Sub(now),
	})
}

// StopAnswered handles the answer to a stop; ok means that the worker has ended
// or blocked the run.
func (p *Pool) StopAnswered(now time.Time, id string, runID fleet.RunID, ok bool) {
	w, found := p.workers[id]
	if !found {
		return
	}
	r, found := w.runs[runID]
	if !found {
		return
	}
	r.stopInFlight = false
	if !ok {
		p.delayStop(now, r)
		return
	}
	r.stopAnswered, r.stoppedBy = true, now.Add(fleet.WithMaxClockDrift(p.cfg.StopTime))
	r.answeredAtPoll = p.lastPoll
	w.missedPolls = 0
	if w.shortPoll == 0 {
		p.poll(now, w)
	}
}

// Tick performs the actions that are due: polls, lease renewals, stops, and the
// expiry of claims and leases. It also returns tasks that cannot start.
func (p *Pool) Tick(now time.Time) {
	p.refreshSpeeds(now)
	for _, w := range p.order {
		p.tickWorker(now, w)
	}
	p.tickFlow(now)
	p.tickSharing(now)
	p.returnUnstartable(now)
}

func (p *Pool) tickWorker(now time.Time, w *worker) {
	if w.missedPolls > 0 && len(w.runs) > 0 && now.After(w.leaseExpiry()) {
		p.leasesExpired(now, w)
	}
	for _, r := range w.sortedRuns() {
		switch {
		case r.state == runRunning && !r.claimBy.IsZero() && now.After(r.claimBy):
			r.task = nil
			p.stop(now, w, r, StopUnclaimed)
		case w.holdsLeaseOfOthers(now, r):
			p.stop(now, w, r, StopUnclaimed)
		case r.state == runStopping && !r.stopInFlight && !r.stopAnswered && now.After(r.nextStop):
			p.stop(now, w, r, r.stopReason)
		case r.stopAnswered && !now.Before(r.stoppedBy) && w.shortPoll == 0 && w.shortPollAt.Before(r.stoppedBy):
			// The worker may never have had the run, which no poll for an end would show.
			p.poll(now, w)
		}
	}
	p.announceAgain(now, w)
	p.recordHolds(now, w)
	p.classifyFoundEnds(w)
	p.expireLease(now, w)
	p.tickPolls(now, w)
}
