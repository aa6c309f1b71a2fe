package workerpool

import (
	"maps"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// announceInterval is how often the runs of stored jobs are announced until their
	// drivers claim them. A driver may have missed an announcement because the stream
	// to it was replaced.
	announceInterval = 200 * time.Millisecond
	// announceStopped is how long announcements go on after a run was stopped unclaimed.
	// Its driver may not have a stream to this host again yet.
	announceStopped = 2 * time.Second
	// maxEndedUnclaimed bounds the number of remembered runs that ended unclaimed, and
	// endedUnclaimedMemory how long they are remembered. A later claim is answered as one
	// of an unknown run.
	maxEndedUnclaimed    = 1024
	endedUnclaimedMemory = 10 * time.Second
)

// Claimed records a host's claim of a run found on a worker, in progress or ended.
// The host waits for the run's end, so that a claim of a run that is not known any more
// is answered.
func (p *Pool) Claimed(now time.Time, c offer.Claim) {
	id := c.Run()
	w, ok := p.workers[c.Worker]
	if !ok {
		// The run may go on under its lease, and the worker's next owner finds it.
		p.returnClaim(c.Task, id.Run, "worker released before the claim", p.cfg.MaxLease)
		return
	}
	r, running := w.runs[id]
	switch {
	case w.adopting:
		// The runs on the worker are not known yet. Once they are, they are announced.
		p.returnClaim(c.Task, id.Run, "worker taken over again before the claim", p.cfg.MaxLease)
	case w.unclaimed[id]:
		w.removeRun(r)
		task := c.Task
		r.task, r.size, r.claimed, r.exclusive, r.stored = &task, task.Size, true, task.Exclusive, task.Stored
		r.host, r.submission = task.Host, task.Submission
		r.claimBy, r.foundAt = time.Time{}, time.Time{}
		w.addRun(r)
	case running:
		p.claimAgain(r, c.Task)
	case p.confirmEnd(now, w, id, c.Task):
	case w.moreEnds:
		p.returnClaim(c.Task, id.Run, "the worker's ends are not all read yet", p.cfg.MaxLease)
	case !p.endedUnclaimed[id].IsZero():
		delete(p.endedUnclaimed, id)
		p.sendOutcome(c.Task, w, id.Run, offer.Returned, "run was stopped before the claim")
	default:
		p.returnClaim(c.Task, id.Run, "run ended before the claim", 0)
	}
}

// claimAgain makes the host that claims a run the one that waits for it. The host that
// waited for it before is told that it need not.
func (p *Pool) claimAgain(r *run, task offer.Task) {
	if r.task != nil && r.task.Host != task.Host {
		p.returnClaim(*r.task, r.id.Run, "claimed by "+task.Host, p.cfg.MaxLease)
	}
	r.task, r.host, r.submission, r.claimBy = &task, task.Host, task.Submission, time.Time{}
}

// LateClaim answers a claim that its host made before it handed the shard of the job over. If
// the host drives the job all the same, it waits for the answer.
func (p *Pool) LateClaim(c offer.Claim) {
	p.returnClaim(c.Task, c.Run().Run, "claimed before the shard was handed over", p.cfg.MaxLease)
}

// HandedOver records that a host has handed runs over under a takeover: it does not wait for
// them any more, and another host will claim them. The host itself may have claimed some
// again, under a later takeover, before this was read.
func (p *Pool) HandedOver(now time.Time, host string, takeover int, runs []fleet.RunID) {
	for _, w := range p.order {
		for _, id := range runs {
			if r := w.runs[id]; r != nil && r.task != nil && r.task.Host == host && r.task.Takeover <= takeover {
				// The handover may have been read late, after a standstill.
				r.claimBy = earlier(now, p.lastHeard(now, host)).Add(p.cfg.HandoverHold)
			}
		}
	}
}

// announceAgain announces the runs of a worker again while runs of stored jobs wait there
// to be claimed, and after such runs were stopped, so that their drivers learn it.
func (p *Pool) announceAgain(now time.Time, w *worker) {
	if now.Before(w.nextAnnouncement) || !w.moreEnds && !w.awaitsDriver(now) && !now.Before(w.announceUntil) {
		return
	}
	w.nextAnnouncement = now.Add(announceInterval)
	p.emit(AnnounceInventory{Inventory: w.inventory()})
}

// inventory lists the runs on the worker and the ends that are not acknowledged.
func (w *worker) inventory() offer.Inventory {
	inventory := offer.Inventory{Worker: w.info.ID, Fence: w.fence, Ended: w.heldEnds(), MoreEnds: w.moreEnds}
	for _, r := range w.sortedRuns() {
		inventory.Running = append(inventory.Running, r.id)
	}
	return inventory
}

// HostReached announces the runs that wait to be claimed to a host that can be reached
// from now on: it has not received the announcements before.
func (p *Pool) HostReached(host string) {
	for _, w := range p.order {
		if len(w.unclaimed) > 0 || w.moreEnds {
			p.emit(AnnounceInventory{Inventory: w.inventory(), Host: host})
		}
	}
}

// endedWithoutClaim remembers that a run ended without a result while no host waited
// for it.
func (p *Pool) endedWithoutClaim(now time.Time, w *worker, r *run) {
	if r.stored && w.unclaimed[r.id] {
		w.nextAnnouncement, w.announceUntil = now, now.Add(announceStopped)
	}
	if len(p.endedUnclaimed) >= maxEndedUnclaimed {
		maps.DeleteFunc(p.endedUnclaimed, func(_ fleet.RunID, at time.Time) bool { return now.Sub(at) > endedUnclaimedMemory })
	}
	if len(p.endedUnclaimed) < maxEndedUnclaimed {
		p.endedUnclaimed[r.id] = now
	}
}

// returnClaim tells the host of a task that a run that it claimed is over, or goes on
// without an owner for a time. The host of a stored job looks for the run's end in the
// log before it starts the task again.
func (p *Pool) returnClaim(t offer.Task, run int, why string, remaining time.Duration) {
	p.emit(SendOutcome{offer.Outcome{
		Host: t.Host, Task: t.Name, Submission: t.Submission, Run: run, FailedRuns: t.FailedRuns, Result: offer.Orphaned, MayHaveRun: true,
		Why: why, MaxRemaining: remaining,
	}})
}
