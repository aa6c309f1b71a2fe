package workerpool

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// lostCallsMemory is how long calls to workers count as unreliable after one of
	// them was lost. At a loss of a few percent, a host with a dozen workers loses
	// one several times in that time.
	lostCallsMemory = 3 * time.Second
	// hedgedPollWait is how long a poll waits for an end while a second one waits
	// too. It bounds the connections that lost polls occupy.
	hedgedPollWait = 500 * time.Millisecond
)

// longPoll is a pending poll that waits for an end. The zero value is none.
type longPoll struct {
	number int64
	sentAt time.Time
	// missedEndAt is when another poll listed an end that this one should have
	// reported, or zero. Its answer may still be on its way.
	missedEndAt time.Time
}

// PollLost reports, for the process log and the metrics, that a poll that waited
// for the end of a run was not answered when one ended.
type PollLost struct {
	Worker string
	Number int64
	// Age is the time since the poll was sent.
	Age time.Duration
}

func (PollLost) action() {}

// poll sends a poll that the worker answers at once.
func (p *Pool) poll(now time.Time, w *worker) {
	w.shortPoll = p.sendPoll(now, w, 0, p.shortPollTimeout())
	w.shortPollAt = now
}

// pollForEnd sends a poll that waits for an end, in the place of l.
func (p *Pool) pollForEnd(now time.Time, w *worker, l *longPoll) {
	wait := p.cfg.LongPollWait
	if p.callsUnreliable(now) {
		wait = min(wait, hedgedPollWait)
	}
	*l = longPoll{number: p.sendPoll(now, w, wait, p.longPollTimeout()), sentAt: now}
}

// sendPoll sends a poll and returns its number.
func (p *Pool) sendPoll(now time.Time, w *worker, wait, timeout time.Duration) int64 {
	p.lastPoll++
	l := Poll{Worker: w.info, Number: p.lastPoll, Fence: w.fence, StartTime: w.startTime, Wait: wait, Timeout: timeout}
	if !w.interrupted {
		l.Acknowledged = w.acknowledgedSeq
	}
	if length := p.leaseLength(now, w); length > 0 && w.renewsLeases(now) {
		l.LeaseUntil = w.grantLease(now, length)
	}
	p.emit(l)
	return l.Number
}

// noPoll is passed as the poll number for orders that are not polls.
const noPoll = 0

// finishPoll reports whether a poll is pending, and marks it as finished. A poll
// that was given up counts as finished already.
func (w *worker) finishPoll(number int64) bool {
	if number == noPoll {
		return false
	}
	delete(w.lostPolls, number)
	delete(w.staleAckPolls, number)
	switch number {
	case w.longPoll.number:
		w.longPoll = longPoll{}
	case w.hedgePoll.number:
		w.hedgePoll = longPoll{}
	case w.shortPoll:
		w.shortPoll = 0
	default:
		return false
	}
	return true
}

// pollSentAt returns when a pending poll was sent.
func (w *worker) pollSentAt(number int64) time.Time {
	switch number {
	case w.longPoll.number:
		return w.longPoll.sentAt
	case w.hedgePoll.number:
		return w.hedgePoll.sentAt
	}
	return w.shortPollAt
}

// noteMissedEnds records that the answer to another poll listed ends that the
// pending long polls should have reported.
func (w *worker) noteMissedEnds(now time.Time, ended []fleet.RunEnd) {
	if len(ended) == 0 || ended[len(ended)-1].Seq <= w.seenSeq {
		return
	}
	for _, l := range []*longPoll{&w.longPoll, &w.hedgePoll} {
		if l.number != 0 && l.missedEndAt.IsZero() {
			l.missedEndAt = now
		}
	}
}

// giveUpLostPoll gives up a long poll that should have reported an end and has not
// been answered since: waiting for its timeout, the worker's ends would be noticed
// only when they are overdue.
func (p *Pool) giveUpLostPoll(now time.Time, w *worker, l *longPoll) {
	if l.missedEndAt.IsZero() || now.Sub(l.missedEndAt) < p.timeouts.Timeout() {
		return
	}
	if w.lostPolls == nil {
		w.lostPolls = map[int64]bool{}
	}
	w.lostPolls[l.number] = true
	p.emit(PollLost{Worker: w.info.ID, Number: l.number, Age: now.Sub(l.sentAt)})
	*l = longPoll{}
	p.callLost(now)
}

// callLost records that a worker that answers other calls did not answer one.
func (p *Pool) callLost(now time.Time) { p.callsLostAt = now }

// callsUnreliable reports whether a call to a worker was lost lately. During
// saturation calls are late rather than lost, and more of them would add to it.
func (p *Pool) callsUnreliable(now time.Time) bool {
	return !p.callsLostAt.IsZero() && now.Sub(p.callsLostAt) < lostCallsMemory && !p.cfg.Flow.Saturated()
}

// tickPolls keeps a long poll pending at the worker, two while calls are
// unreliable, and renews leases.
func (p *Pool) tickPolls(now time.Time, w *worker) {
	if w.missedPolls > 0 || w.adopting {
		if w.shortPoll == 0 && !now.Before(w.nextPoll) {
			p.poll(now, w)
		}
		return
	}
	if w.shortPoll == 0 && p.leaseDue(now, w) {
		p.poll(now, w)
	}
	if w.shortPoll == 0 && p.hasOverdueRun(now, w) {
		p.poll(now, w)
	}
	p.giveUpLostPoll(now, w, &w.longPoll)
	p.giveUpLostPoll(now, w, &w.hedgePoll)
	if w.longPoll.number == 0 {
		p.pollForEnd(now, w, &w.longPoll)
	} else if w.hedgePoll.number == 0 && len(w.runs) > 0 && p.callsUnreliable(now) {
		p.pollForEnd(now, w, &w.hedgePoll)
	}
}

// hasOverdueRun reports whether a run should have ended and no list arrived
// since: the answer to the long poll may be lost.
func (p *Pool) hasOverdueRun(now time.Time, w *worker) bool {
	for _, r := range w.runs {
		due := r.orderedAt.Add(overdueAfter)
		if r.task != nil {
			due = due.Add(p.paces.expectedRunTime(w, r.task.Estimate))
		}
		if r.state == runRunning && now.After(due) && now.Sub(w.pollAnsweredAt) > overdueAfter {
			return true
		}
	}
	return false
}
