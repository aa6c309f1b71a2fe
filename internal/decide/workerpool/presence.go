package workerpool

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
)

// A run must be over before its task is started again by someone who cannot ask this
// owner. Its lease therefore has an end that counts from the last moment at which the host
// of its job was known to be there and to need it, however often the owner polls.
//
// The caller of a best-effort job that loses its entry host, or breaks off, sends the job
// again a while later to any host: such runs are leased for Config.MaxLease from then. The
// shard of a stored job gets another driver: its runs are leased for the hold that applies
// and Config.RenewBefore.

const (
	// minStartLeaseShare is the shortest lease with which a task starts, as a share of
	// Config.MaxLease. Most tasks would outlast a shorter one.
	minStartLeaseShare = 0.4
	// minLeaseExtension is the shortest time by which a poll that is sent only for that
	// purpose renews a lease.
	minLeaseExtension = 100 * time.Millisecond
)

// MaxHostSilence returns how old the last sign of a host may be for its best-effort tasks
// to start.
func (p *Pool) MaxHostSilence() time.Duration { return share(p.cfg.MaxLease, 1-minStartLeaseShare) }

// HostHeard records that a host was there at the given time, which is the time at which
// what it sent was sent and not when it was read. A host that was never heard counts as
// there: nothing runs or waits here for a host whose stream has ended.
func (p *Pool) HostHeard(host string, at time.Time) {
	if at.After(p.heard[host]) {
		p.heard[host] = at
	}
}

// lastHeard returns when a host was last known to be there.
func (p *Pool) lastHeard(now time.Time, host string) time.Time {
	if at, ok := p.heard[host]; ok {
		return at
	}
	return now
}

// HostPresent records the time up to which a host knows which of its callers have left. It
// may be earlier than the last sign of the host, after a standstill.
func (p *Pool) HostPresent(host string, at time.Time) {
	if at.After(p.present[host]) {
		p.present[host] = at
	}
}

// lastPresent returns up to when a host is known to need the runs of its best-effort jobs.
func (p *Pool) lastPresent(now time.Time, host string) time.Time {
	if at, ok := p.present[host]; ok {
		return at
	}
	return p.lastHeard(now, host)
}

// neededUntil returns the time up to which a run may be leased.
func (p *Pool) neededUntil(now time.Time, r *run) time.Time {
	switch {
	case r.stopAnswered:
		// The stop ends the run, whatever its lease.
		return now.Add(p.cfg.MaxLease)
	case r.awaitsRecord():
		return now
	case r.stored && !r.claimBy.IsZero():
		// If it is not claimed in time, the run must end even if its stop is lost: its driver
		// may start the task again.
		return r.claimBy.Add(p.cfg.RenewBefore)
	case r.stored && r.task != nil:
		return p.heldUntil(now, r.task.Host).Add(p.cfg.RenewBefore)
	case r.task != nil:
		return p.lastPresent(now, r.task.Host).Add(p.cfg.MaxLease)
	case r.neededAt.IsZero():
		// The run was found, and no host is known to need it.
		return now
	}
	return r.neededAt.Add(p.cfg.MaxLease)
}

// heldUntil returns until when the runs of a driver's stored jobs are held if it is not
// heard any more.
func (p *Pool) heldUntil(now time.Time, driver string) time.Time {
	return p.lastHeard(now, driver).Add(p.cfg.HostTimeout + p.cfg.SilentHostHold)
}

// leaseLength returns the length of a lease granted now, which covers all runs on the
// worker; zero or less if none may be granted.
func (p *Pool) leaseLength(now time.Time, w *worker) time.Duration {
	length := p.cfg.MaxLease
	for _, r := range w.runs {
		length = min(length, p.neededUntil(now, r).Sub(now))
	}
	return length
}

// mayLease reports whether a task that starts on the worker now gets a lease that is
// long enough. The lease of a start holds for all runs on its worker.
func (p *Pool) mayLease(now time.Time, w *worker, t *offer.Task) bool {
	lease := p.startLeaseLength(now, w, &run{task: t, stored: t.Stored})
	return lease >= share(p.cfg.MaxLease, minStartLeaseShare)
}

// startLeaseLength returns the length of the lease with which a task starts on a worker.
func (p *Pool) startLeaseLength(now time.Time, w *worker, r *run) time.Duration {
	return min(p.leaseLength(now, w), p.neededUntil(now, r).Sub(now))
}

// leaseDue reports whether the lease must be renewed by a poll of its own.
func (p *Pool) leaseDue(now time.Time, w *worker) bool {
	if !w.renewsLeases(now) {
		return false
	}
	if w.leaseUnknown && w.longPoll.number != 0 {
		return p.leaseLength(now, w) >= minLeaseExtension
	}
	left := w.latestLeaseEnd - w.clockNow(now)
	return left < p.cfg.RenewBefore && p.leaseLength(now, w) >= left+minLeaseExtension
}

func share(d time.Duration, of float64) time.Duration { return time.Duration(of * float64(d)) }
