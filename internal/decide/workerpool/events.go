package workerpool

import (
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// poll sends a look; wait zero asks for an answer at once.
func (p *Pool) poll(now time.Time, w *worker, wait time.Duration) {
	p.lastPoll++
	l := Poll{Worker: w.info, Number: p.lastPoll, Fence: w.fence, Acknowledged: w.acknowledgedSeq, Wait: wait, Timeout: longPollMargin}
	if wait == 0 {
		l.Timeout = 2 * p.timeouts.Timeout()
	}
	if w.renewsLeases(now) {
		l.LeaseUntil = w.grantLease(now, p.cfg.MaxLease)
	}
	if wait > 0 {
		w.longPoll, w.longPollAt = l.Number, now
	} else {
		w.shortPoll, w.shortPollAt = l.Number, now
	}
	p.emit(l)
}

// PollAnswered takes the answer to a look.
func (p *Pool) PollAnswered(now time.Time, id string, number int64, l fleet.PollResponse) {
	w, ok := p.workers[id]
	if !ok || !w.finishPoll(number) {
		return
	}
	w.missedCalls = 0
	if w.startTime != 0 && l.StartTime != w.startTime {
		p.handleRestart(w, l)
	}
	w.startTime = l.StartTime
	w.syncClock(now, l.Clock)
	w.listedAt = now
	if w.adopting {
		p.takeInventory(now, w, l)
		return
	}
	for _, e := range l.Ended {
		if e.Seq > w.seenSeq {
			w.seenSeq = e.Seq
			p.handleEnd(now, w, e)
		}
	}
	w.advanceAcknowledged()
	p.reconcileRuns(now, w, number, l.Running)
}

// noPoll stands for an order that is no look.
const noPoll = 0

// finishPoll reports whether a look is one that is awaited, and ends its wait.
func (w *worker) finishPoll(number int64) bool {
	switch number {
	case noPoll:
		return false
	case w.longPoll:
		w.longPoll, w.staleAckPoll = 0, 0
	case w.shortPoll:
		w.shortPoll = 0
	default:
		return false
	}
	return true
}

// handleRestart forgets what a former lifetime of the worker ran: not what is listed,
// and not what may have been started in the new one.
func (p *Pool) handleRestart(w *worker, l fleet.PollResponse) {
	present := map[fleet.RunID]bool{}
	for _, r := range l.Running {
		present[r.RunID] = true
	}
	for _, e := range l.Ended {
		present[e.RunID] = true
	}
	for _, r := range w.sortedRuns() {
		if !present[r.id] && r.state != runStarting {
			p.endWithoutResult(w, r, "worker restarted")
		}
	}
	w.resetEndNumbers(0)
	p.emit(LogEvent{Message: "worker-restarted", Worker: w.info.ID, Why: "born differs"})
}

// takeInventory takes the first listing of a worker: what runs there belongs to jobs
// whose hosts are asked for it.
func (p *Pool) takeInventory(now time.Time, w *worker, l fleet.PollResponse) {
	w.adopting = false
	w.latestLeaseEnd = l.Clock + p.cfg.MaxLease
	for _, e := range l.Ended {
		w.seenSeq = max(w.seenSeq, e.Seq)
		if p.mustRecord(e, nil) {
			p.recordEnd(now, w, e, nil)
		}
	}
	w.advanceAcknowledged()
	if len(l.Running) == 0 && len(l.Ended) == 0 {
		return
	}
	sighting := offer.Inventory{Worker: w.info.ID, Fence: w.fence, Ended: l.Ended}
	for _, r := range l.Running {
		p.addFoundRun(now, w, r.RunID)
		sighting.Running = append(sighting.Running, r.RunID)
	}
	w.claimDeadline = now.Add(p.cfg.ClaimTimeout)
	p.emit(AnnounceInventory{sighting})
}

// addFoundRun counts a run in that this host did not start.
func (p *Pool) addFoundRun(now time.Time, w *worker, id fleet.RunID) *run {
	r := &run{id: id, state: runRunning, orderedAt: now, answeredAtPoll: p.lastPoll}
	w.unclaimed[id] = true
	w.addRun(r)
	return r
}

// Claimed takes a host's claim of a run found on a worker.
func (p *Pool) Claimed(_ time.Time, c offer.Claim) {
	id := fleet.RunID{Task: c.Task.Name, Run: c.Task.NextRun - 1}
	w, ok := p.workers[c.Worker]
	if !ok || !w.unclaimed[id] {
		return
	}
	r := w.runs[id]
	w.removeRun(r)
	task := c.Task
	r.task, r.size, r.claimed = &task, task.Size, true
	w.addRun(r)
}

// handleEnd takes one end that the worker lists.
func (p *Pool) handleEnd(now time.Time, w *worker, e fleet.RunEnd) {
	r, ok := w.runs[e.RunID]
	if !ok {
		return
	}
	if e.Reason != fleet.EndedDone && e.Reason != fleet.EndedFailed {
		p.endWithoutResult(w, r, e.Reason.String())
		return
	}
	w.removeRun(r)
	p.updateHealth(now, w, r, e.Reason)
	if p.mustRecord(e, r.task) {
		p.recordEnd(now, w, e, r.task)
	} else {
		p.reportEnd(w, r.task, e)
	}
}

// updateHealth judges the worker by a run that it has brought to its end.
func (p *Pool) updateHealth(now time.Time, w *worker, r *run, how fleet.EndReason) {
	switch how {
	case fleet.EndedDone:
		w.health.runCompleted()
		if r.task != nil && !r.claimed && p.paces.record(&w.health, now.Sub(r.orderedAt), r.task.Estimate) && w.health.runFailed(now) {
			p.emit(LogEvent{Message: "probation", Worker: w.info.ID, Why: fmt.Sprintf("pace %.1f against %.1f", w.health.pace, p.paces.pace)})
		}
	case fleet.EndedFailed:
		if w.health.runFailed(now) {
			p.emit(LogEvent{Message: "probation", Worker: w.info.ID, Why: fmt.Sprintf("%d runs failed in a row", w.health.failures)})
		}
	}
}

// reportEnd tells the task's host, if one waits, that a run is done or has failed.
func (p *Pool) reportEnd(w *worker, task *offer.Task, e fleet.RunEnd) {
	switch {
	case task == nil:
	case e.Reason == fleet.EndedDone:
		p.sendOutcome(*task, w, e.Run, offer.Done, "")
	default:
		p.reportFailed(w, task, e.Run)
	}
}

// reportFailed counts a failed run. The host of the job decides whether the task
// is offered again: a former owner may have seen the same end.
func (p *Pool) reportFailed(w *worker, task *offer.Task, run int) {
	task.FailedRuns++
	result, why := offer.Returned, "run failed"
	if task.FailedRuns >= task.MaxAttempts {
		result, why = offer.Failed, "failed as often as the queue allows"
	}
	p.sendOutcome(*task, w, run, result, why)
}

// endWithoutResult ends a run that has ended without a result; nothing of it is left.
func (p *Pool) endWithoutResult(w *worker, r *run, why string) {
	w.removeRun(r)
	if r.task != nil {
		p.sendOutcome(*r.task, w, r.id.Run, offer.Returned, why)
	}
}

// reconcileRuns looks for runs that the worker should list and does not. Only a
// look sent after the last order on a run was answered speaks about it.
func (p *Pool) reconcileRuns(now time.Time, w *worker, number int64, running []fleet.RunProgress) {
	listed := make(map[fleet.RunID]bool, len(running))
	for _, r := range running {
		listed[r.RunID] = true
	}
	for _, r := range w.sortedRuns() {
		id := r.id
		settled := r.state == runRunning || r.stopAnswered
		if listed[id] || !settled || number <= r.answeredAtPoll {
			continue
		}
		p.endWithoutResult(w, r, "not listed")
	}
	for _, progress := range running {
		id := progress.RunID
		if known := w.runs[id]; known != nil {
			p.stopStraggler(now, w, known, progress.Percent)
			continue
		}
		// An order of a former owner was carried out late.
		p.stop(now, w, p.addFoundRun(now, w, id))
	}
}

// stopStraggler stops a run that is so slow that the task is done earlier elsewhere.
func (p *Pool) stopStraggler(now time.Time, w *worker, r *run, percent int) {
	if r.task == nil || r.state != runRunning || r.claimed || p.paces.runs < minPaceRuns {
		return
	}
	normal := time.Duration(float64(r.task.Estimate) * p.paces.pace)
	took := now.Sub(r.orderedAt)
	total := time.Duration(float64(took) * 100 / float64(max(percent, 1)))
	if took < minJudgedTime || total < time.Duration(slowFactor*float64(normal)) || total-took < max(2*normal, minStragglerRemaining) {
		return
	}
	if p.paces.record(&w.health, total, r.task.Estimate) && w.health.runFailed(now) {
		p.emit(LogEvent{Message: "probation", Worker: w.info.ID, Why: fmt.Sprintf("run at %d%% after %v", percent, took)})
	}
	p.emit(LogEvent{Message: "straggler stopped", Worker: w.info.ID, Why: fmt.Sprintf("%s at %d%% after %v", r.id.Task, percent, took)})
	p.stop(now, w, r)
}

// PollFailed takes a look without an answer.
func (p *Pool) PollFailed(now time.Time, id string, number int64) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	sent := w.shortPollAt
	if number == w.longPoll {
		sent = w.longPollAt
	}
	if !w.finishPoll(number) || w.lastContact.After(sent) {
		// The worker has answered other calls meanwhile.
		return
	}
	p.countMissedCall(now, w)
}

// countMissedCall counts a call without an answer.
func (p *Pool) countMissedCall(now time.Time, w *worker) {
	w.missedCalls++
	w.nextPoll = now.Add(p.cfg.PollRetryDelay * time.Duration(min(w.missedCalls, 8)))
	if w.missedCalls == 1 {
		p.emit(LogEvent{Message: "worker-unreachable", Worker: w.info.ID, Why: "no answer"})
	}
}

// Fenced takes a worker's word that a higher fence than that of an order rules
// there. An order that was sent before this host took the worker anew says
// nothing. Number is that of a look, or zero.
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

// WorkerReplaced takes the answer of another worker at the address: what this one ran
// is over.
func (p *Pool) WorkerReplaced(_ time.Time, id string) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	for _, r := range w.sortedRuns() {
		p.endWithoutResult(w, r, "worker gone")
	}
	p.removeWorker(w, "another worker answers at its address")
}

// StartAnswered takes the verdict on a start. The clock is zero if unknown.
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
		}
	}
	if !ok || r.state != runStarting {
		// Its end was listed first, or it is being stopped.
		if ok && verdict == fleet.StartFenced {
			p.Fenced(now, id, noPoll, fence)
		}
		return
	}
	r.answeredAtPoll = p.lastPoll
	switch verdict {
	case fleet.StartAccepted:
		r.state = runRunning
		w.missedCalls = 0
		if r.task != nil {
			p.sendOutcome(*r.task, w, runID.Run, offer.Started, "")
		}
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
	case fleet.StartUnknown:
		p.timeouts.TimedOut()
		p.stop(now, w, r)
	}
}

// startRejected counts a run out that the worker did not start.
func (p *Pool) startRejected(w *worker, r *run, verdict fleet.StartVerdict) {
	w.removeRun(r)
	if r.task != nil {
		p.returnTask(*r.task, w.info.ID, r.id.Run, "start rejected: "+verdict.String())
	}
}

// stop orders the end of a run.
func (p *Pool) stop(now time.Time, w *worker, r *run) {
	r.state = runStopping
	if r.stopInFlight || r.stopAnswered {
		return
	}
	r.stopInFlight = true
	r.nextStop = now.Add(p.cfg.StopRetryDelay)
	p.emit(Stop{Worker: w.info, Run: r.id, Fence: w.fence, Timeout: p.timeouts.Timeout()})
}

// StopAnswered takes the answer to a stop; ok means that the worker ended or
// barred the run.
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
		return
	}
	r.stopAnswered = true
	r.answeredAtPoll = p.lastPoll
	w.missedCalls = 0
	if w.shortPoll == 0 {
		p.poll(now, w, 0)
	}
}

// Tick does what is due: looks, renewals, stops, expired claims and leases.
func (p *Pool) Tick(now time.Time) {
	for _, w := range p.order {
		p.tickWorker(now, w)
	}
	p.returnUnstartable(now)
}

func (p *Pool) tickWorker(now time.Time, w *worker) {
	if now.After(w.claimDeadline) {
		for _, r := range w.sortedRuns() {
			if w.unclaimed[r.id] && r.state == runRunning {
				p.stop(now, w, r)
			}
		}
	}
	if w.missedCalls > 0 && len(w.runs) > 0 && now.After(w.leaseExpiry()) {
		for _, r := range w.sortedRuns() {
			p.endWithoutResult(w, r, "lease expired")
		}
	}
	for _, r := range w.sortedRuns() {
		if r.state == runStopping && !r.stopInFlight && !r.stopAnswered && now.After(r.nextStop) {
			p.stop(now, w, r)
		}
	}
	p.expireLease(now, w)
	p.tickPolls(now, w)
}

// tickPolls keeps one waiting look at the worker, and renews leases.
func (p *Pool) tickPolls(now time.Time, w *worker) {
	if w.missedCalls > 0 || w.adopting {
		if w.shortPoll == 0 && !now.Before(w.nextPoll) {
			p.poll(now, w, 0)
		}
		return
	}
	if w.renewsLeases(now) && w.shortPoll == 0 && w.latestLeaseEnd-w.clockNow(now) < p.cfg.RenewBefore {
		p.poll(now, w, 0)
	}
	if w.shortPoll == 0 && p.hasOverdueRun(now, w) {
		p.poll(now, w, 0)
	}
	if w.longPoll == 0 {
		p.poll(now, w, p.cfg.LongPollWait)
	}
}

// hasOverdueRun reports whether a run should have ended and no list came since: the
// answer to the waiting look may be lost.
func (p *Pool) hasOverdueRun(now time.Time, w *worker) bool {
	for _, r := range w.runs {
		due := r.orderedAt.Add(overdueAfter)
		if r.task != nil {
			due = due.Add(p.paces.expectedRunTime(w, r.task.Estimate))
		}
		if r.state == runRunning && now.After(due) && now.Sub(w.listedAt) > overdueAfter {
			return true
		}
	}
	return false
}
