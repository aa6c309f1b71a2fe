package workerpool

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Withdraw removes a job's waiting tasks and stops its runs, without reporting
// outcomes.
func (p *Pool) Withdraw(now time.Time, host, job string) {
	p.withdraw(now, func(t *offer.Task) bool { return t.Host == host && t.Name.Job == job })
}

// WithdrawTask is Withdraw for one task.
func (p *Pool) WithdrawTask(now time.Time, host string, name fleet.TaskName) {
	p.withdraw(now, func(t *offer.Task) bool { return t.Host == host && t.Name == name })
}

// HostLost withdraws the tasks that a host has offered. The callers of best-effort jobs
// resend them elsewhere, and the former runs must not continue beside the new ones. Runs
// of stored jobs go on for Config.SilentHostHold, because their driver may return.
func (p *Pool) HostLost(now time.Time, host string) {
	for _, w := range p.order {
		for _, r := range w.runs {
			if r.task != nil && r.task.Host == host && r.task.Stored && r.state == runRunning && r.claimBy.IsZero() {
				// A host that stood still itself notices the silence late.
				r.claimBy = earlier(now.Add(p.cfg.SilentHostHold), p.heldUntil(now, host))
			}
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(q *queuedTask) bool { return q.Host == host })
	p.dropReports(host)
	defer delete(p.heard, host)
	defer delete(p.present, host)
	p.stopRuns(now, StopHostLost, func(r *run) bool { return r.task.Host == host && r.claimBy.IsZero() })
}

// dropReports drops the reports to a host that have not been sent, but those of done tasks. On
// a newer stream they would be taken for reports about tasks that the host has offered since.
func (p *Pool) dropReports(host string) {
	p.actions = slices.DeleteFunc(p.actions, func(a Action) bool {
		switch a := a.(type) {
		case SendOutcome:
			return a.Outcome.Host == host && a.Outcome.Result != offer.Done
		case AnnounceInventory:
			return a.Host == host
		}
		return false
	})
}

func (p *Pool) withdraw(now time.Time, match func(*offer.Task) bool) {
	p.queue = slices.DeleteFunc(p.queue, func(q *queuedTask) bool { return match(&q.Task) })
	p.stopRuns(now, StopWithdrawn, func(r *run) bool { return match(r.task) })
}

// stopRuns stops the matching runs of those for which a host waits, without reporting
// outcomes.
func (p *Pool) stopRuns(now time.Time, why StopReason, match func(*run) bool) {
	for _, w := range p.order {
		for _, r := range w.sortedRuns() {
			if r.task != nil && match(r) {
				r.task, r.neededAt = nil, p.lastPresent(now, r.task.Host)
				p.stop(now, w, r, why)
			}
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
