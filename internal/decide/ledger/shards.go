package ledger

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Assigned applies the store's answer to a join request that was sent at the
// given time: the generation of the group and the shards that this host is to drive. It
// releases the others. In a generation in between, of which this host has no answer, its
// shards may have been another host's.
func (l *Ledger) Assigned(now, sent time.Time, generation int64, shards []int) {
	confirmed := l.confirmed
	missed := l.generation != 0 && generation != l.generation && generation != l.generation+1
	l.generation = generation
	if sent.After(l.confirmed) {
		l.confirmed = sent
	}
	assigned := make([]bool, len(l.shards))
	for _, n := range shards {
		if n < len(assigned) {
			assigned[n] = true
		}
	}
	for n, s := range l.shards {
		switch {
		case assigned[n] && !s.assigned:
			// A shard that is being handed over is taken over like any other afterwards.
			s.assigned, s.assignedAt, s.generation = true, now, generation
			if s.outgoing == nil {
				s.reset()
			}
		case !assigned[n] && s.assigned:
			l.leaveShard(now, n, confirmed, "assigned to another host")
		case assigned[n] && missed:
			s.generation = generation
			if !s.driving {
				s.assignedAt = now
				s.reset()
			} else if s.outgoing == nil {
				l.renew(n, confirmed.Add(l.cfg.MemberTTL))
			}
		}
	}
	l.takeOverShards()
}

// expireRenewals hands the shards over whose takeover could not be renewed in time.
func (l *Ledger) expireRenewals(now time.Time) {
	for n, s := range l.shards {
		if s.renewBy.IsZero() || s.outgoing != nil || now.Before(s.renewBy.Add(-renewMargin)) {
			continue
		}
		l.leaveShard(now, n, s.renewBy.Add(-l.cfg.MemberTTL), "takeover not renewed")
		s.assigned, s.assignedAt = true, now
	}
}

// renewMargin is how long before the end of the time for a renewal the shard is handed over.
const renewMargin = 2 * handoverRecordTime

// renew requests another takeover of a shard that this host goes on driving. If by is not
// zero, it stops driving unless the takeover has been read by then.
func (l *Ledger) renew(n int, by time.Time) {
	s := l.shards[n]
	if s.renewBy.IsZero() || !by.IsZero() && by.Before(s.renewBy) {
		s.renewBy = by
	}
	l.emit(LogEvent{Message: "shard takeover renewed", Shard: n, Why: "another host may have taken it over"})
	l.requestTakeover(n)
}

// requestTakeover asks for a takeover of an assigned shard to be recorded.
func (l *Ledger) requestTakeover(n int) {
	s := l.shards[n]
	s.unknownTaker = s.unknownTaker || s.takeovers > max(s.lastNumber, s.knownTakeovers())
	s.lastNumber = max(s.takeovers, s.lastNumber) + 1
	s.ownTakeover, s.takenAt = s.lastNumber, time.Time{}
	l.emit(LogEvent{Message: "shard takeover requested", Shard: n, Why: fmt.Sprintf("number %d, generation %d", s.ownTakeover, s.generation)})
	l.emit(AppendEntries{[]Entry{TakenOver{
		Shard: n, Takeovers: s.ownTakeover, Generation: s.generation, Host: l.cfg.Host, Nonce: l.cfg.Nonce,
		FormerTakeovers: s.driven.number, FormerGeneration: s.driven.generation,
	}}})
}

// isOutdated reports whether a process that had the shard before this host has requested a
// takeover with the same number or a higher one.
func (l *Ledger) isOutdated(s *shard, number int) bool {
	for _, t := range s.takers {
		if t.nonce != l.cfg.Nonce && t.generation < s.generation && t.takeovers >= number {
			return true
		}
	}
	return false
}

// MembershipEnded releases all shards of this host and stops its runs there: another
// host may drive the shards.
func (l *Ledger) MembershipEnded(now time.Time, why string) {
	for n, s := range l.shards {
		if s.assigned || s.outgoing != nil {
			s.assigned = false
			l.releaseShard(now, n, why)
		}
	}
}

// Expire releases all shards once the membership has not been confirmed for
// Config.MemberTTL: they may be assigned to another host.
func (l *Ledger) Expire(now time.Time) {
	if now.Sub(l.confirmed) > l.cfg.MemberTTL {
		l.MembershipEnded(now, "membership not confirmed")
	}
}

// Tick expires an unconfirmed membership, closes the ended jobs of this host's
// shards, and drops the jobs whose retention is over.
func (l *Ledger) Tick(now time.Time) {
	l.Expire(now)
	l.expireHandovers(now)
	l.expirePassingOn(now)
	l.expireRenewals(now)
	l.closeEnded()
	l.pruneRetained(now)
}

// releaseShard ends this host's responsibility for a shard and stops driving the
// shard's jobs.
func (l *Ledger) releaseShard(now time.Time, n int, why string) {
	s := l.shards[n]
	if s.driving {
		s.abandoned = takeover{s.driverTakeover, s.driverGeneration}
		s.abandonedUntil = now.Add(l.cfg.TakeoverDelay)
		for _, j := range l.openJobs(n) {
			l.stopDriving(j, why)
		}
	}
	l.emit(LogEvent{Message: "shard given up", Shard: n, Why: why})
	s.reset()
}

// stopDriving ends this host's driving of a job, if it drives it, and makes the
// host stop the job's runs. It does not change the state of the job: one that is
// still open is continued by the shard's next driver.
func (l *Ledger) stopDriving(j *job, why string) {
	if j.driven {
		j.driven, j.started = false, false
		l.emit(Release{Job: j.spec.ID, Why: why})
	}
}

// takeOverShards starts driving the assigned shards for which that is safe: the
// takeover is in the log, with a number that no earlier process has, no process has the shard
// in a later generation, and either the previous driver has handed the shard over, or its runs
// are over and their ends have been read.
func (l *Ledger) takeOverShards() {
	l.passHandoversOn()
	for n, s := range l.shards {
		switch {
		case !s.assigned || !l.asOf.After(s.assignedAt):
		case s.driving && s.outgoing == nil && s.ownTakeover == s.driverTakeover && l.isOutdated(s, s.driverTakeover+1):
			// The next driver would take the late record for that of a later driver.
			l.renew(n, time.Time{})
		case s.driving:
		case s.ownTakeover == 0 || !s.takenAt.IsZero() && l.isOutdated(s, s.ownTakeover):
			l.requestTakeover(n)
		case l.isRead(s) && !l.isSuperseded(s):
			l.beginDriving(n)
		}
	}
}

// driveUnderOwnTakeover makes this host drive under the takeover that it has requested last.
func (s *shard) driveUnderOwnTakeover() {
	s.driving, s.renewBy = true, time.Time{}
	s.driverTakeover, s.driverGeneration = s.ownTakeover, s.generation
	s.driven = takeover{s.driverTakeover, s.driverGeneration}
}

// driverEndMargin covers the difference between the clocks of two hosts.
const driverEndMargin = 100 * time.Millisecond

// beginDriving starts driving a shard whose takeover has been read, unless it has to wait for
// the previous driver.
func (l *Ledger) beginDriving(n int) {
	s := l.shards[n]
	var handed map[string]*handedWork
	why := "the previous driver has ended"
	// The previous driver's membership ends at most MemberTTL after this host's assignment.
	driverless := s.assignedAt.Add(l.cfg.MemberTTL + driverEndMargin)
	mayHaveRun := func(job string) bool { return !l.jobs[job].absentAt.After(driverless) }
	switch h := l.precedingHandover(s); {
	case s.ownTakeover == 1 && len(s.takers) == 1:
		why = "first driver"
		mayHaveRun = func(string) bool { return false }
	case !l.asOf.After(l.waitUntil(s)):
		return
	case h != nil && h.wait == 0 && !s.hasDrivenSince(h):
		handed, why = h.byJob(), "handed over by "+h.parts[0].Host
		if h.listsDriven() {
			mayHaveRun = func(job string) bool { return handed[job] != nil }
		}
	}
	s.abandonedUntil = time.Time{}
	s.driveUnderOwnTakeover()
	l.emit(LogEvent{Message: "shard taken over", Shard: n, Why: fmt.Sprintf("%s; number %d, generation %d", why, s.driverTakeover, s.driverGeneration)})
	if h := s.lastHandover(); h != nil && len(h.parts) > 0 {
		l.emit(AppendEntries{[]Entry{HandoverAdopted{Shard: n, Host: h.parts[0].Host, Parts: len(h.parts)}}})
	}
	for _, j := range l.openJobs(n) {
		l.drive(j, handed[j.spec.ID], mayHaveRun(j.spec.ID))
	}
}

// drive asks the host to drive a job. Handed is what the previous driver has handed
// over of it, or nil. If a previous driver may have started runs of the job, those of this
// host are numbered in a range of its own, and otherwise from one.
func (l *Ledger) drive(j *job, handed *handedWork, mayHaveRun bool) {
	if j.state.Ended() || j.closing || j.driven {
		return
	}
	if l.setAside(j) {
		return
	}
	for _, runs := range j.failedRuns {
		if len(runs) >= j.route.MaxAttempts {
			// A previous driver crashed before it closed the job.
			l.closeFailed(j)
			return
		}
	}
	j.driven = true
	s := l.shards[l.Shard(j.spec.ID)]
	d := Drive{
		Job: j.spec, Route: j.route, Takeover: s.driverTakeover, FirstRun: 1,
	}
	if mayHaveRun {
		d.FirstRun += runsPerTakeover * max(1, s.driverTakeover-1)
	}
	for task := range j.doneTasks {
		d.Done = append(d.Done, task)
	}
	if len(j.failedRuns) > 0 {
		d.FailedRuns = maps.Clone(j.failedRuns)
	}
	if handed != nil {
		d.Running, d.Unsettled = handed.running, handed.unsettled
	}
	for _, run := range j.lostRuns() {
		if d.Lost == nil {
			d.Lost = map[fleet.TaskName][]quarantine.Loss{}
		}
		d.Lost[run.Task] = append(d.Lost[run.Task], j.losses[run])
	}
	for run, h := range j.holds {
		if d.HeldAt == nil {
			d.HeldAt = map[fleet.TaskName]time.Time{}
		}
		if h.readAt.After(d.HeldAt[run.Task]) {
			d.HeldAt[run.Task] = h.readAt
		}
	}
	l.emit(d)
}

// closeEnded requests that the ended jobs of this host's shards be closed.
func (l *Ledger) closeEnded() {
	var entries []Entry
	for _, id := range slices.Sorted(maps.Keys(l.unclosed)) {
		j := l.unclosed[id]
		if !j.closing && l.shards[l.Shard(id)].driving {
			j.closing = true
			closed := j.closedEntries(j.state)
			entries = append(entries, closed[0])
			for _, e := range closed[1:] {
				l.emit(AppendEntries{[]Entry{e}})
			}
		}
	}
	if len(entries) > 0 {
		l.emit(AppendEntries{entries})
	}
}

// pruneRetained drops the jobs, and the cancellations of unknown ones, whose retention is
// over. Those of this host's shards are removed from the log too.
func (l *Ledger) pruneRetained(now time.Time) {
	var entries []Entry
	for len(l.retained) > 0 && now.Sub(l.retained[0].closedAt) > l.cfg.Retention {
		id := l.retained[0].spec.ID
		l.retained = l.retained[1:]
		if l.jobs[id] == nil {
			continue
		}
		if l.shards[l.Shard(id)].driving {
			entries = append(entries, Forgotten{Job: id})
		}
		delete(l.jobs, id)
		delete(l.unclosed, id)
	}
	for len(l.cancelledOrder) > 0 && now.Sub(l.cancelledUnknown[l.cancelledOrder[0]]) > l.cfg.Retention {
		id := l.cancelledOrder[0]
		l.cancelledOrder = l.cancelledOrder[1:]
		if l.IsCancelled(id) && l.shards[l.Shard(id)].driving {
			entries = append(entries, Forgotten{Job: id})
		}
		delete(l.cancelledUnknown, id)
	}
	if len(entries) > 0 {
		l.emit(AppendEntries{entries})
	}
}
