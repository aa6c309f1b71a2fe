package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// handoverRecordTime is the part of the time for a handover that is reserved for
	// appending its entries and reading them back.
	handoverRecordTime = 250 * time.Millisecond
	// maxHandedTasks bounds the tasks and jobs of one HandedOver entry. With some 170 bytes a
	// run, its record stays below the 256 KB that the store accepts.
	maxHandedTasks = 1000
)

// HandedOver records that the driver of a shard has stopped driving it, and which runs go
// on. A handover of many tasks has several entries.
type HandedOver struct {
	Shard int
	// Takeovers is the number of the driver's takeover of the shard.
	Takeovers int
	// Host and Nonce identify the driver and its process.
	Host  string
	Nonce int64
	// Part numbers the entries of a handover from zero; Parts is their count.
	Part, Parts int
	// Running are the runs that go on, or may.
	Running []HandedRun
	// Unsettled are the tasks that may start after this entry, since the driver does not
	// know whether the host to which it had offered them has started them.
	Unsettled []fleet.TaskName
	// Driven are the driver's jobs of which no task is listed. Runs of them may have ended.
	Driven []string `json:",omitempty"`
	// ListsDriven is unset in an entry of an older version, which has no Driven.
	ListsDriven bool `json:",omitempty"`
	// RemainingWait is zero in the entry of a driver. A host that gives up the shard before
	// it has driven it states how long it would still have waited for the runs of an
	// earlier driver.
	RemainingWait time.Duration
	// Generation is that of the takeover; zero in an entry of an older version.
	Generation int64 `json:",omitempty"`
}

func (HandedOver) entry() {}

// HandedRun is a run that its driver leaves to the next one.
type HandedRun struct {
	fleet.RunID
	// Owner is the host that owns the worker, or empty if the run's owner has lost
	// contact with it.
	Owner  string
	Worker string
	// Fence is the one under which the owner owns the worker.
	Fence int64
	// Exclusive is set if no other run may start on the worker beside it.
	Exclusive bool
}

// HandoverAdopted removes the record of a handover from the log: the next driver has it.
type HandoverAdopted struct {
	Shard int
	Host  string
	Parts int
}

func (HandoverAdopted) entry() {}

// Pause asks the host to offer no further tasks of jobs that it is to hand over, and to
// take back those that have not started.
type Pause struct{ Jobs []string }

// HandoverListed asks the host to claim no more runs of jobs, because the list of their
// runs is being recorded.
type HandoverListed struct{ Jobs []string }

// LetGo asks the host to forget jobs that are handed over, without stopping their runs.
type LetGo struct{ Jobs []string }

// RunsHandedOver reports that a host does not wait for the given runs any more and that
// the next driver will claim them.
type RunsHandedOver struct {
	Host string
	Runs []fleet.RunID
	// Shard, Takeovers and RemainingWait are those of the HandedOver entries.
	Shard, Takeovers int
	RemainingWait    time.Duration
}

func (Pause) action()          {}
func (HandoverListed) action() {}
func (LetGo) action()          {}
func (RunsHandedOver) action() {}

// outgoing is the state of a handover by this host.
type outgoing struct {
	// settleBy is when the handover is recorded even if some tasks are unsettled. At
	// endBy another host may take over the shard, so that the runs are stopped.
	settleBy, endBy time.Time
	recorded        bool
}

// handover is what has been read of the last handover of a process.
type handover struct {
	takeovers  int
	generation int64
	parts      map[int]HandedOver
	complete   bool
	// readAt is when the last part was read, and wait is HandedOver.RemainingWait.
	readAt time.Time
	wait   time.Duration
}

// Leave begins the handover of all shards of this host, for a planned stop.
func (l *Ledger) Leave(now time.Time) { l.LeaveBy(now, now.Add(l.cfg.MemberTTL)) }

// LeaveBy is Leave for a host that ends soon: the handovers are recorded by the given time
// even if some tasks are unsettled.
func (l *Ledger) LeaveBy(now, settleBy time.Time) {
	for n, s := range l.shards {
		if s.assigned {
			l.leaveShard(now, n, l.confirmed, "planned stop")
		}
		if s.outgoing != nil && settleBy.Before(s.outgoing.settleBy) {
			s.outgoing.settleBy = settleBy
		}
	}
}

// HandsOver reports whether the handover of a shard is not in the log yet.
func (l *Ledger) HandsOver() bool {
	return slices.ContainsFunc(l.shards, func(s *shard) bool { return s.outgoing != nil || !s.passOnBy.IsZero() })
}

// leaveShard ends this host's assignment to a shard. If it drives the shard, it hands
// the shard over; confirmed is when the assignment was confirmed last.
func (l *Ledger) leaveShard(now time.Time, n int, confirmed time.Time, why string) {
	s := l.shards[n]
	endBy := confirmed.Add(l.cfg.MemberTTL)
	s.assigned = false
	switch {
	case s.outgoing != nil:
		return
	case !s.driving && l.mayPassOn(now, s) && now.Before(endBy):
		s.passOnBy = endBy
		return
	case !s.driving:
		l.leaveUndriven(now, n)
		l.releaseShard(now, n, why)
		return
	case len(l.jobs) == 0 || !now.Before(endBy):
		l.releaseShard(now, n, why)
		return
	}
	s.outgoing = &outgoing{settleBy: endBy.Add(-handoverRecordTime), endBy: endBy}
	l.emit(LogEvent{Message: "shard handover begins", Shard: n, Why: why})
	l.emit(Pause{Jobs: l.drivenJobs(n)})
}

// mayPassOn reports whether a shard that this host has taken over a moment ago, but does not
// drive, is being handed over to it: a driver that leaves in order hands over within the
// time to live of its membership.
func (l *Ledger) mayPassOn(now time.Time, s *shard) bool {
	return s.ownTakeover > 0 && len(l.jobs) > 0 && now.Sub(s.assignedAt) < l.cfg.MemberTTL
}

// passHandoversOn records the handovers of the shards that this host has given up before it
// has driven them, as its own, once it is certain that they were handed over to it. The next
// driver would otherwise wait for the one before.
func (l *Ledger) passHandoversOn() {
	for n, s := range l.shards {
		if s.passOnBy.IsZero() {
			continue
		}
		h := l.precedingHandover(s)
		if h == nil || h.wait > 0 {
			continue
		}
		parts, why := h.parts, "handed over by "+h.parts[0].Host
		if s.hasDrivenSince(h) {
			parts, why = map[int]HandedOver{0: {Shard: n, Parts: 1}}, "the previous driver has ended"
		}
		var entries []Entry
		for _, i := range slices.Sorted(maps.Keys(parts)) {
			part := parts[i]
			part.Takeovers, part.Generation, part.Host, part.Nonce = s.ownTakeover, s.generation, l.cfg.Host, l.cfg.Nonce
			entries = append(entries, part)
		}
		l.appendParts(entries)
		l.emit(LogEvent{Message: "shard passed on", Shard: n, Why: why})
		s.reset()
	}
}

// expirePassingOn gives up the shards that cannot be passed on.
func (l *Ledger) expirePassingOn(now time.Time) {
	for n, s := range l.shards {
		if s.passOnBy.IsZero() {
			continue
		}
		h := l.precedingHandover(s)
		if h != nil && h.wait > 0 || !now.Before(s.passOnBy) {
			l.leaveUndriven(now, n)
			l.releaseShard(now, n, "not handed over in time")
		}
	}
}

// leaveUndriven tells the next driver of a shard that this host has taken it over but
// has not driven it, so that the wait for an earlier driver does not begin anew.
func (l *Ledger) leaveUndriven(now time.Time, n int) {
	s := l.shards[n]
	if s.ownTakeover == 0 || len(l.jobs) == 0 {
		return
	}
	l.emit(AppendEntries{[]Entry{HandedOver{
		Shard: n, Takeovers: s.ownTakeover, Generation: s.generation, Host: l.cfg.Host, Nonce: l.cfg.Nonce, Parts: 1,
		RemainingWait: max(0, l.waitUntil(s).Sub(now)),
	}}})
}

// drivenJobs returns the jobs of a shard that this host drives, in the order of their
// acceptance.
func (l *Ledger) drivenJobs(shard int) []string {
	var ids []string
	for _, j := range l.openJobs(shard) {
		if j.driven {
			ids = append(ids, j.spec.ID)
		}
	}
	return ids
}

// Handovers calls list for each shard whose handover is not recorded yet, with the jobs
// that this host drives there, and records what it returns: the runs that go on and the
// unsettled tasks. Until settleBy it does not record unsettled tasks, nor runs whose
// owner is unknown.
func (l *Ledger) Handovers(now time.Time, list func(jobs []string) (running []HandedRun, unsettled []fleet.TaskName)) {
	for n, s := range l.shards {
		if s.outgoing == nil || s.outgoing.recorded {
			continue
		}
		jobs := l.drivenJobs(n)
		running, unsettled := list(jobs)
		ownerUnknown := slices.ContainsFunc(running, func(r HandedRun) bool { return r.Owner == "" })
		if (len(unsettled) > 0 || ownerUnknown) && now.Before(s.outgoing.settleBy) {
			continue
		}
		s.outgoing.recorded = true
		l.emit(HandoverListed{Jobs: jobs})
		l.appendParts(l.handoverEntries(n, running, unsettled, withoutTasks(jobs, running, unsettled)))
	}
}

// withoutTasks returns the jobs of which no task is among the listed ones.
func withoutTasks(jobs []string, running []HandedRun, unsettled []fleet.TaskName) []string {
	listed := map[string]bool{}
	for _, r := range running {
		listed[r.Task.Job] = true
	}
	for _, t := range unsettled {
		listed[t.Job] = true
	}
	return slices.DeleteFunc(slices.Clone(jobs), func(id string) bool { return listed[id] })
}

// appendParts asks for the entries of a handover to be appended, each by itself: those of many
// runs are larger together than one append may be. They count once all have been read.
func (l *Ledger) appendParts(entries []Entry) {
	for _, e := range entries {
		l.emit(AppendEntries{[]Entry{e}})
	}
}

func (l *Ledger) handoverEntries(n int, running []HandedRun, unsettled []fleet.TaskName, driven []string) []Entry {
	s := l.shards[n]
	var parts []HandedOver
	for len(parts) == 0 || len(running)+len(unsettled)+len(driven) > 0 {
		part := HandedOver{
			Shard: n, Takeovers: s.driverTakeover, Generation: s.driverGeneration, Host: l.cfg.Host, Nonce: l.cfg.Nonce, Part: len(parts),
			ListsDriven: true,
		}
		part.Running, running = cut(running, maxHandedTasks)
		part.Unsettled, unsettled = cut(unsettled, maxHandedTasks-len(part.Running))
		part.Driven, driven = cut(driven, maxHandedTasks-len(part.Running)-len(part.Unsettled))
		parts = append(parts, part)
	}
	entries := make([]Entry, 0, len(parts))
	for _, part := range parts {
		part.Parts = len(parts)
		entries = append(entries, part)
	}
	return entries
}

// cut splits a list after at most n elements.
func cut[T any](list []T, n int) (first, rest []T) {
	n = min(n, len(list))
	return list[:n:n], list[n:]
}

// handedOver applies one entry of a handover. It acts once, when all parts have been
// read.
func (l *Ledger) handedOver(now time.Time, e HandedOver) {
	n := e.Shard % len(l.shards)
	s := l.shards[n]
	t := s.taker(e.Nonce, e.Host)
	if e.Takeovers <= t.handover.takeovers || e.Takeovers < t.incoming.takeovers {
		return
	}
	h := &t.incoming
	if e.Takeovers > h.takeovers || h.parts == nil {
		*h = handover{takeovers: e.Takeovers, generation: e.Generation, parts: map[int]HandedOver{}}
	}
	h.parts[e.Part] = e
	if len(h.parts) < e.Parts {
		return
	}
	h.complete, h.readAt, h.wait = true, now, e.RemainingWait
	t.handover, t.incoming = *h, handover{}
	s.dropCovered(&t.handover, l.cfg.Nonce)
	if s.outgoing != nil && s.outgoing.recorded && e.Nonce == l.cfg.Nonce && e.Takeovers == s.driverTakeover {
		l.finishHandover(n)
	}
	runs := RunsHandedOver{Host: e.Host, Shard: n, Takeovers: e.Takeovers, RemainingWait: e.RemainingWait}
	for _, part := range t.handover.parts {
		for _, r := range part.Running {
			runs.Runs = append(runs.Runs, r.RunID)
		}
	}
	slices.SortFunc(runs.Runs, fleet.RunID.Compare)
	l.emit(runs)
}

// finishHandover ends the driving of a shard whose handover is in the log.
func (l *Ledger) finishHandover(n int) {
	jobs := l.drivenJobs(n)
	for _, id := range jobs {
		l.jobs[id].driven = false
	}
	l.emit(LetGo{Jobs: jobs})
	l.emit(LogEvent{Message: "shard handed over", Shard: n})
	l.shards[n].reset()
}

// expireHandovers stops the runs of the shards that could not be handed over in time.
func (l *Ledger) expireHandovers(now time.Time) {
	for n, s := range l.shards {
		if s.outgoing != nil && !now.Before(s.outgoing.endBy) {
			l.releaseShard(now, n, "handover not recorded in time")
		}
	}
}

// AwaitsLog reports whether the next reads of the log advance a takeover: it has not been
// requested or not been read yet, or the previous driver has handed over.
func (l *Ledger) AwaitsLog() bool {
	for _, s := range l.shards {
		if !s.assigned || s.driving || l.isSuperseded(s) {
			continue
		}
		if s.ownTakeover == 0 || !l.isRead(s) {
			return true
		}
		if h := s.lastHandover(); h != nil && h.wait == 0 && l.isPreceded(s, h) {
			return true
		}
	}
	return false
}

// waitUntil returns when this host, which has taken over a shard, may drive it.
func (l *Ledger) waitUntil(s *shard) time.Time {
	until := s.assignedAt.Add(l.cfg.TakeoverDelay)
	if h := l.precedingHandover(s); h != nil && !l.isSuperseded(s) && h.readAt.Add(h.wait).Before(until) {
		return h.readAt.Add(h.wait)
	}
	return until
}

// HasHandedOver reports whether a host is known to have handed over the shard of a job
// under the takeover with a number. If that is zero, it reports whether the host has handed the
// shard over and is not known to have taken it over since.
func (l *Ledger) HasHandedOver(host, job string, takeover int) bool {
	var last *taker
	for _, t := range l.shards[l.Shard(job)].takers {
		if t.host != host {
			continue
		}
		if takeover > 0 && t.handover.complete && t.handover.takeovers >= takeover {
			return true
		}
		if last == nil || t.takeovers > last.takeovers {
			last = t
		}
	}
	return takeover == 0 && last != nil && last.hasLeft()
}

// listsDriven reports whether a job that a handover does not name has never had a driver.
func (h *handover) listsDriven() bool {
	for _, part := range h.parts {
		if !part.ListsDriven {
			return false
		}
	}
	return true
}

// handedWork is what a handover says of one job that its driver drove.
type handedWork struct {
	running   []HandedRun
	unsettled []fleet.TaskName
}

// byJob returns what a handover says of each job.
func (h *handover) byJob() map[string]*handedWork {
	work := map[string]*handedWork{}
	get := func(job string) *handedWork {
		if work[job] == nil {
			work[job] = &handedWork{}
		}
		return work[job]
	}
	for _, n := range slices.Sorted(maps.Keys(h.parts)) {
		for _, r := range h.parts[n].Running {
			w := get(r.Task.Job)
			w.running = append(w.running, r)
		}
		for _, t := range h.parts[n].Unsettled {
			w := get(t.Job)
			w.unsettled = append(w.unsettled, t)
		}
		for _, id := range h.parts[n].Driven {
			get(id)
		}
	}
	return work
}
