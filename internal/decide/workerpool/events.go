package workerpool

import (
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// look sends a look; wait zero asks for an answer at once.
func (p *Pool) look(now time.Time, w *worker, wait time.Duration) {
	p.looks++
	l := Poll{Worker: w.info, Number: p.looks, Fence: w.fence, Acknowledged: w.noted, Wait: wait, Timeout: waitingPatience}
	if wait == 0 {
		l.Timeout = 2 * p.patience.Timeout()
	}
	if w.renews(now) {
		l.LeaseUntil = w.lease(now, p.cfg.MaxLease)
	}
	if wait > 0 {
		w.looking, w.lookedAt = l.Number, now
	} else {
		w.renewing, w.renewedAt = l.Number, now
	}
	p.emit(l)
}

// Listed takes the answer to a look.
func (p *Pool) PollAnswered(now time.Time, id string, number int64, l fleet.PollResponse) {
	w, ok := p.workers[id]
	if !ok || !w.answered(number) {
		return
	}
	w.unreachable = 0
	if w.born != 0 && l.StartTime != w.born {
		p.reborn(w, l)
	}
	w.born = l.StartTime
	w.sync(now, l.Clock)
	w.listedAt = now
	if w.adopting {
		p.inherit(now, w, l)
		return
	}
	for _, e := range l.Ended {
		if e.Seq > w.seen {
			w.seen = e.Seq
			p.ended(now, w, e)
		}
	}
	w.note()
	p.compare(now, w, number, l.Running)
}

// noLook stands for an order that is no look.
const noLook = 0

// answered reports whether a look is one that is awaited, and ends its wait.
func (w *worker) answered(number int64) bool {
	switch number {
	case noLook:
		return false
	case w.looking:
		w.looking, w.misnumbered = 0, 0
	case w.renewing:
		w.renewing = 0
	default:
		return false
	}
	return true
}

// reborn forgets what a former lifetime of the worker ran: not what is listed,
// and not what may have been started in the new one.
func (p *Pool) reborn(w *worker, l fleet.PollResponse) {
	present := map[fleet.RunID]bool{}
	for _, r := range l.Running {
		present[r.RunID] = true
	}
	for _, e := range l.Ended {
		present[e.RunID] = true
	}
	for _, r := range w.listed() {
		if !present[r.id] && r.state != runStarting {
			p.over(w, r, "worker restarted")
		}
	}
	w.renumber(0)
	p.emit(LogEvent{Message: "worker-restarted", Worker: w.info.ID, Why: "born differs"})
}

// inherit takes the first listing of a worker: what runs there belongs to jobs
// whose hosts are asked for it.
func (p *Pool) inherit(now time.Time, w *worker, l fleet.PollResponse) {
	w.adopting = false
	w.granted = l.Clock + p.cfg.MaxLease
	for _, e := range l.Ended {
		w.seen = max(w.seen, e.Seq)
		if p.recordable(e, nil) {
			p.record(now, w, e, nil)
		}
	}
	w.note()
	if len(l.Running) == 0 && len(l.Ended) == 0 {
		return
	}
	sighting := offer.Inventory{Worker: w.info.ID, Fence: w.fence, Ended: l.Ended}
	for _, r := range l.Running {
		p.addUnknown(now, w, r.RunID)
		sighting.Running = append(sighting.Running, r.RunID)
	}
	w.claimUntil = now.Add(p.cfg.ClaimTimeout)
	p.emit(AnnounceInventory{sighting})
}

// addUnknown counts a run in that this host did not start.
func (p *Pool) addUnknown(now time.Time, w *worker, id fleet.RunID) *run {
	r := &run{id: id, state: runRunning, began: now, settledAt: p.looks}
	w.unclaimed[id] = true
	w.add(r)
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
	w.remove(r)
	task := c.Task
	r.task, r.size, r.claimed = &task, task.Size, true
	w.add(r)
}

// ended takes one end that the worker lists.
func (p *Pool) ended(now time.Time, w *worker, e fleet.RunEnd) {
	r, ok := w.runs[e.RunID]
	if !ok {
		return
	}
	if e.Reason != fleet.EndedDone && e.Reason != fleet.EndedFailed {
		p.over(w, r, e.Reason.String())
		return
	}
	w.remove(r)
	p.learn(now, w, r, e.Reason)
	if p.recordable(e, r.task) {
		p.record(now, w, e, r.task)
	} else {
		p.tellEnd(w, r.task, e)
	}
}

// learn judges the worker by a run that it has brought to its end.
func (p *Pool) learn(now time.Time, w *worker, r *run, how fleet.EndReason) {
	switch how {
	case fleet.EndedDone:
		w.health.done()
		if r.task != nil && !r.claimed && p.paces.record(&w.health, now.Sub(r.began), r.task.Estimate) && w.health.failed(now) {
			p.emit(LogEvent{Message: "probation", Worker: w.info.ID, Why: fmt.Sprintf("pace %.1f against %.1f", w.health.pace, p.paces.pace)})
		}
	case fleet.EndedFailed:
		if w.health.failed(now) {
			p.emit(LogEvent{Message: "probation", Worker: w.info.ID, Why: fmt.Sprintf("%d runs failed in a row", w.health.failures)})
		}
	}
}

// tellEnd tells the task's host, if one waits, that a run is done or has failed.
func (p *Pool) tellEnd(w *worker, task *offer.Task, e fleet.RunEnd) {
	switch {
	case task == nil:
	case e.Reason == fleet.EndedDone:
		p.tell(*task, w, e.Run, offer.Done, "")
	default:
		p.retryFailed(w, task, e.Run)
	}
}

// retryFailed counts a failed run. The host of the job decides whether the task
// is offered again: a former owner may have seen the same end.
func (p *Pool) retryFailed(w *worker, task *offer.Task, run int) {
	task.FailedRuns++
	result, why := offer.Returned, "run failed"
	if task.FailedRuns >= task.MaxAttempts {
		result, why = offer.Failed, "failed as often as the queue allows"
	}
	p.tell(*task, w, run, result, why)
}

// over ends a run that has ended without a result; nothing of it is left.
func (p *Pool) over(w *worker, r *run, why string) {
	w.remove(r)
	if r.task != nil {
		p.tell(*r.task, w, r.id.Run, offer.Returned, why)
	}
}

// compare looks for runs that the worker should list and does not. Only a
// look sent after the last order on a run was answered speaks about it.
func (p *Pool) compare(now time.Time, w *worker, number int64, running []fleet.RunProgress) {
	listed := make(map[fleet.RunID]bool, len(running))
	for _, r := range running {
		listed[r.RunID] = true
	}
	for _, r := range w.listed() {
		id := r.id
		settled := r.state == runRunning || r.stopAnswered
		if listed[id] || !settled || number <= r.settledAt {
			continue
		}
		p.over(w, r, "not listed")
	}
	for _, progress := range running {
		id := progress.RunID
		if known := w.runs[id]; known != nil {
			p.judge(now, w, known, progress.Percent)
			continue
		}
		// An order of a former owner was carried out late.
		p.stop(now, w, p.addUnknown(now, w, id))
	}
}

// judge stops a run that is so slow that the task is done earlier elsewhere.
func (p *Pool) judge(now time.Time, w *worker, r *run, percent int) {
	if r.task == nil || r.state != runRunning || r.claimed || p.paces.runs < paceRuns {
		return
	}
	normal := time.Duration(float64(r.task.Estimate) * p.paces.pace)
	took := now.Sub(r.began)
	total := time.Duration(float64(took) * 100 / float64(max(percent, 1)))
	if took < judgeAfter || total < time.Duration(slowFactor*float64(normal)) || total-took < max(2*normal, stragglerRest) {
		return
	}
	if p.paces.record(&w.health, total, r.task.Estimate) && w.health.failed(now) {
		p.emit(LogEvent{Message: "probation", Worker: w.info.ID, Why: fmt.Sprintf("run at %d%% after %v", percent, took)})
	}
	p.emit(LogEvent{Message: "straggler stopped", Worker: w.info.ID, Why: fmt.Sprintf("%s at %d%% after %v", r.id.Task, percent, took)})
	p.stop(now, w, r)
}

// LookFailed takes a look without an answer.
func (p *Pool) PollFailed(now time.Time, id string, number int64) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	sent := w.renewedAt
	if number == w.looking {
		sent = w.lookedAt
	}
	if !w.answered(number) || w.heard.After(sent) {
		// The worker has answered other calls meanwhile.
		return
	}
	p.missed(now, w)
}

// missed counts a call without an answer.
func (p *Pool) missed(now time.Time, w *worker) {
	w.unreachable++
	w.nextLook = now.Add(p.cfg.PollRetryDelay * time.Duration(min(w.unreachable, 8)))
	if w.unreachable == 1 {
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
	w.answered(number)
	if fence >= w.fence {
		p.drop(now, w, "fenced")
	}
}

// Gone takes the answer of another worker at the address: what this one ran
// is over.
func (p *Pool) WorkerReplaced(_ time.Time, id string) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	for _, r := range w.listed() {
		p.over(w, r, "worker gone")
	}
	p.forget(w, "another worker answers at its address")
}

// StartAnswered takes the verdict on a start. The clock is zero if unknown.
func (p *Pool) StartAnswered(now time.Time, id string, runID fleet.RunID, fence int64, verdict fleet.StartVerdict, clock time.Duration) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	r, ok := w.runs[runID]
	if clock > 0 {
		if clock < w.clock-clockStep {
			w.renumber(clock + p.cfg.MaxLease)
		}
		w.sync(now, clock)
		if ok {
			p.patience.Observe(now.Sub(r.began))
		}
	}
	if !ok || r.state != runStarting {
		// Its end was listed first, or it is being stopped.
		if ok && verdict == fleet.StartFenced {
			p.Fenced(now, id, noLook, fence)
		}
		return
	}
	r.settledAt = p.looks
	switch verdict {
	case fleet.StartAccepted:
		r.state = runRunning
		w.unreachable = 0
		if r.task != nil {
			p.tell(*r.task, w, runID.Run, offer.Started, "")
		}
	case fleet.StartFenced:
		p.rejected(w, r, verdict)
		p.Fenced(now, id, noLook, fence)
	case fleet.StartWrongWorker:
		p.rejected(w, r, verdict)
		p.WorkerReplaced(now, id)
	case fleet.StartSuperseded, fleet.StartLeaseExpired:
		p.rejected(w, r, verdict)
	case fleet.StartNoCapacity, fleet.StartUnhealthy, fleet.StartInvalid:
		if w.health.failed(now) {
			p.emit(LogEvent{Message: "probation", Worker: id, Why: "start rejected: " + verdict.String()})
		}
		p.rejected(w, r, verdict)
	case fleet.StartUnknown:
		p.patience.TimedOut()
		p.stop(now, w, r)
	}
}

// rejected counts a run out that the worker did not start.
func (p *Pool) rejected(w *worker, r *run, verdict fleet.StartVerdict) {
	w.remove(r)
	if r.task != nil {
		p.giveBack(*r.task, w.info.ID, r.id.Run, "start rejected: "+verdict.String())
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
	p.emit(Stop{Worker: w.info, Run: r.id, Fence: w.fence, Timeout: p.patience.Timeout()})
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
	r.settledAt = p.looks
	w.unreachable = 0
	if w.renewing == 0 {
		p.look(now, w, 0)
	}
}

// Tick does what is due: looks, renewals, stops, expired claims and leases.
func (p *Pool) Tick(now time.Time) {
	for _, w := range p.order {
		p.tickWorker(now, w)
	}
	p.returnUseless(now)
}

func (p *Pool) tickWorker(now time.Time, w *worker) {
	if now.After(w.claimUntil) {
		for _, r := range w.listed() {
			if w.unclaimed[r.id] && r.state == runRunning {
				p.stop(now, w, r)
			}
		}
	}
	if w.unreachable > 0 && len(w.runs) > 0 && now.After(w.leasesOver()) {
		for _, r := range w.listed() {
			p.over(w, r, "lease expired")
		}
	}
	for _, r := range w.listed() {
		if r.state == runStopping && !r.stopInFlight && !r.stopAnswered && now.After(r.nextStop) {
			p.stop(now, w, r)
		}
	}
	p.expire(now, w)
	p.tickLooks(now, w)
}

// tickLooks keeps one waiting look at the worker, and renews leases.
func (p *Pool) tickLooks(now time.Time, w *worker) {
	if w.unreachable > 0 || w.adopting {
		if w.renewing == 0 && !now.Before(w.nextLook) {
			p.look(now, w, 0)
		}
		return
	}
	if w.renews(now) && w.renewing == 0 && w.granted-w.now(now) < p.cfg.RenewBefore {
		p.look(now, w, 0)
	}
	if w.renewing == 0 && p.overdue(now, w) {
		p.look(now, w, 0)
	}
	if w.looking == 0 {
		p.look(now, w, p.cfg.LongPollWait)
	}
}

// overdue reports whether a run should have ended and no list came since: the
// answer to the waiting look may be lost.
func (p *Pool) overdue(now time.Time, w *worker) bool {
	for _, r := range w.runs {
		due := r.began.Add(overdueAfter)
		if r.task != nil {
			due = due.Add(p.paces.expect(w, r.task.Estimate))
		}
		if r.state == runRunning && now.After(due) && now.Sub(w.listedAt) > overdueAfter {
			return true
		}
	}
	return false
}
