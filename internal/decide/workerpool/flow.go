package workerpool

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/flow"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// SaturationChanged reports that saturation of this host began or ended.
type SaturationChanged struct{ flow.Change }

func (SaturationChanged) action() {}

// unansweredStarts returns the number of starts without an answer. Those to
// workers that don't answer at all are left out, since they are no measure of
// the host's own link.
func (p *Pool) unansweredStarts() int {
	n := 0
	for _, w := range p.order {
		if w.missedPolls > 0 {
			continue
		}
		for _, r := range w.runs {
			if r.state == runStarting {
				n++
			}
		}
	}
	return n
}

// tickFlow adjusts the limit. During saturation it returns the waiting tasks that
// would start too late here to the hosts of their jobs.
func (p *Pool) tickFlow(now time.Time) {
	if c := p.cfg.Flow.Tick(now, p.unansweredStarts()); c != nil {
		p.emit(SaturationChanged{*c})
	}
	if !p.cfg.Flow.Saturated() {
		return
	}
	p.queue = slices.DeleteFunc(p.queue, func(q *queuedTask) bool {
		late := !q.JobStarted && !q.Exclusive && q.offeredAt.Before(now) && now.Add(p.cfg.Flow.Delay()).After(q.StartBy)
		if late {
			p.returnTask(q.Task, "", q.NextRun-1, "host is saturated")
		}
		return late
	})
}

// startTimeout returns after what time a start counts as late. During saturation
// it follows the measured delay, as far as half a lease allows: later, a look at
// the worker would not leave time for a stop before the lease ends.
func (p *Pool) startTimeout() time.Duration {
	if p.cfg.Flow.Saturated() {
		return p.timeouts.timeoutWithin(max(maxTimeout, p.cfg.MaxLease/2))
	}
	return p.timeouts.Timeout()
}

// giveUpAfter returns how long a start may wait for its answer. During saturation
// that is the length of its lease, after which the worker refuses it.
func (p *Pool) giveUpAfter() time.Duration {
	if p.cfg.Flow.Saturated() {
		return max(p.startTimeout(), p.cfg.MaxLease)
	}
	return p.timeouts.Timeout()
}

// stopTimeout returns how long to wait for the answer to a stop.
func (p *Pool) stopTimeout() time.Duration { return p.giveUpAfter() }

// shortPollTimeout returns how long to wait for the answer to an immediate poll.
// During saturation it is at least the time before a lease's end at which the
// lease is renewed: an earlier repetition would queue behind the first request.
func (p *Pool) shortPollTimeout() time.Duration {
	if p.cfg.Flow.Saturated() {
		return max(2*p.timeouts.Timeout(), p.cfg.RenewBefore)
	}
	return 2 * p.timeouts.Timeout()
}

// longPollTimeout returns how long the answer to a long poll may take beyond its
// wait.
func (p *Pool) longPollTimeout() time.Duration { return longPollMargin + 2*p.cfg.Flow.Delay() }

// StartLate handles a start that has not been answered within its timeout, while
// the request goes on. The worker is polled: the answer lists the run if the
// worker has it.
func (p *Pool) StartLate(now time.Time, id string, runID fleet.RunID) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	r, ok := w.runs[runID]
	if !ok || r.state != runStarting || r.late {
		return
	}
	r.late = true
	p.noAnswerInTime(now, w, r)
	if w.shortPoll == 0 {
		p.poll(now, w)
	}
}

// noAnswerInTime records that a start was not answered in time. If the worker has
// answered other requests meanwhile, its answer is delayed and not lost.
func (p *Pool) noAnswerInTime(now time.Time, w *worker, r *run) {
	p.timeouts.TimedOut()
	if w.lastContact.After(r.orderedAt) {
		p.callLost(now)
		p.cfg.Flow.Late(now, now.Sub(r.orderedAt))
	}
}

// confirmLateStart records that a worker lists a run whose start was late.
func (p *Pool) confirmLateStart(now time.Time, w *worker, r *run) {
	if r.state == runStarting && r.late {
		r.answeredAtPoll = p.lastPoll
		p.startAccepted(now, w, r)
	}
}

// delayStop sets the time of the next attempt of a stop that was not answered.
func (p *Pool) delayStop(now time.Time, r *run) {
	r.failedStops++
	if p.cfg.Flow.Saturated() {
		r.nextStop = now.Add(flow.Backoff(r.failedStops))
	}
}
