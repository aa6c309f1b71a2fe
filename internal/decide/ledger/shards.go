package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Dealt takes the store's answer to a join that was sent at a time: the shards
// that this host is to drive.
func (l *Ledger) Assigned(now, sent time.Time, shards []int) {
	if sent.After(l.confirmed) {
		l.confirmed = sent
	}
	held := make([]bool, len(l.shards))
	for _, n := range shards {
		if n < len(held) {
			held[n] = true
		}
	}
	for n, s := range l.shards {
		switch {
		case held[n] && !s.held:
			*s = shard{takeovers: s.takeovers, held: true, dealtAt: now}
		case !held[n] && s.held:
			l.lose(n, "dealt to another host")
		}
	}
	l.settle()
}

// Left takes the end of this host's membership.
func (l *Ledger) MembershipEnded(why string) {
	for n, s := range l.shards {
		if s.held {
			l.lose(n, why)
		}
	}
}

// Expire lets go of the shards in time if the membership is not confirmed:
// another host may have been dealt them.
func (l *Ledger) Expire(now time.Time) {
	if now.Sub(l.confirmed) > l.cfg.MemberTTL {
		l.MembershipEnded("membership not confirmed")
	}
}

// Tick does what is due.
func (l *Ledger) Tick(now time.Time) {
	l.Expire(now)
	l.closeEnded()
	l.forget(now)
}

// lose gives a shard up: its jobs are released.
func (l *Ledger) lose(n int, why string) {
	s := l.shards[n]
	if s.driving {
		for _, j := range l.open(n) {
			l.release(j, why)
		}
	}
	l.emit(LogEvent{Message: "shard given up", Shard: n, Why: why})
	*s = shard{takeovers: s.takeovers}
}

func (l *Ledger) release(j *job, why string) {
	if j.driven {
		j.driven, j.begun = false, false
		l.emit(Release{Job: j.spec.ID, Why: why})
	}
}

// settle takes over what this host was dealt, once that is safe: the takeover
// is in the log, the former driver's runs are over, and their ends have been
// read.
func (l *Ledger) settle() {
	for n, s := range l.shards {
		if !s.held || s.driving || !l.asOf.After(s.dealtAt) {
			continue
		}
		if s.mine == 0 {
			s.first = s.takeovers == 0
			s.mine = s.takeovers + 1
			l.emit(AppendEntries{[]Entry{TakenOver{Shard: n, Takeovers: s.mine}}})
			continue
		}
		if s.takeovers < s.mine || !s.first && !l.asOf.After(s.dealtAt.Add(l.cfg.TakeoverDelay)) {
			continue
		}
		s.driving = true
		l.emit(LogEvent{Message: "shard taken over", Shard: n})
		for _, j := range l.open(n) {
			l.drive(j)
		}
	}
}

func (l *Ledger) drive(j *job) {
	if j.state.Ended() || j.closing || j.driven {
		return
	}
	for _, runs := range j.failed {
		if len(runs) >= j.route.MaxAttempts {
			// A former driver did not live to close it.
			l.fail(j)
			return
		}
	}
	j.driven = true
	s := l.shards[l.Shard(j.spec.ID)]
	d := Drive{
		Job: j.spec, Route: j.route,
		// The first driver since the job's acceptance counts from one.
		FirstRun: 1 + runsPerTakeover*max(0, s.takeovers-max(1, j.takeovers)),
	}
	for task := range j.done {
		d.Done = append(d.Done, task)
	}
	if len(j.failed) > 0 {
		d.FailedRuns = map[fleet.TaskName]int{}
		for task, runs := range j.failed {
			d.FailedRuns[task] = len(runs)
		}
	}
	l.emit(d)
}

// closeEnded closes the jobs of this host's shards that have ended.
func (l *Ledger) closeEnded() {
	var entries []Entry
	for _, id := range slices.Sorted(maps.Keys(l.unclosed)) {
		j := l.unclosed[id]
		if !j.closing && l.shards[l.Shard(id)].driving {
			j.closing = true
			entries = append(entries, j.close(j.state))
		}
	}
	if len(entries) > 0 {
		l.emit(AppendEntries{entries})
	}
}

// forget drops the jobs whose state nobody may ask for any more, those of this
// host's shards from the log too.
func (l *Ledger) forget(now time.Time) {
	var entries []Entry
	for len(l.kept) > 0 && now.Sub(l.kept[0].closedAt) > l.cfg.Retention {
		id := l.kept[0].spec.ID
		l.kept = l.kept[1:]
		if l.jobs[id] == nil {
			continue
		}
		if l.shards[l.Shard(id)].driving {
			entries = append(entries, Forgotten{Job: id})
		}
		delete(l.jobs, id)
		delete(l.unclosed, id)
	}
	if len(entries) > 0 {
		l.emit(AppendEntries{entries})
	}
}
