package jobs

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// histories is the number of seeded histories that one test run tries.
var histories = flag.Int("histories", 120, "seeded histories to try")

// trouble brings about random faults until troubleEnd.
func (w *world) trouble() {
	if w.at > troubleEnd {
		return
	}
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	m := w.workers[w.rng.IntN(len(w.workers))]
	length := w.between(50*time.Millisecond, 25*time.Second)
	switch w.rng.IntN(10) {
	case 0:
		h.alive = false
		w.after(w.between(time.Second, 8*time.Second), func() {
			if !h.alive {
				h.start()
			}
		})
	case 1:
		h.frozen = w.at + length
	case 2:
		h.cut = true
		w.after(length, func() { h.cut = false })
	case 3:
		w.logDown = true
		w.after(length/3, func() { w.logDown = false })
	case 4:
		m.down = true
		w.after(length/4, m.restart)
	case 5:
		w.loss = w.between(0, 300).Seconds() * 1e9 / 1000
		w.after(length, func() { w.loss = 0 })
	case 6:
		m.failing = !m.failing
	case 7, 8:
		w.trim()
	case 9:
		h.alone = true
		w.after(length, func() { h.alone = false })
	}
	w.after(w.between(100*time.Millisecond, 6*time.Second), w.trouble)
}

// trim drops the older half of the log.
func (w *world) trim() {
	half := len(w.log) / 2
	w.log = w.log[half:]
	w.first += int64(half)
}

func (w *world) heal() {
	w.logDown, w.loss = false, 0
	for _, h := range w.hosts {
		h.cut, h.alone = false, false
		h.frozen = min(h.frozen, w.at)
		if !h.alive {
			h.start()
		}
	}
	for _, m := range w.workers {
		if m.down {
			m.restart()
		}
		m.failing = false
	}
}

func (w *world) spec(name string) callerapi.Job {
	spec := callerapi.Job{Submission: name, Customer: "tamarind", DeadlineMs: w.between(1000, 9000).Nanoseconds()}
	for i := range 1 + w.rng.IntN(6) {
		spec.Tasks = append(spec.Tasks, callerapi.Task{Name: fmt.Sprintf("task-%d", i), Cores: 1 + w.rng.IntN(4), MemoryMB: 1})
	}
	return spec
}

// traffic has callers send jobs, send them again elsewhere, cancel and ask.
func (w *world) traffic(jobs int) {
	anyHost := func() *host { return w.hosts[w.rng.IntN(len(w.hosts))] }
	for i := range jobs {
		spec := w.spec(fmt.Sprintf("job-%d", i))
		k := Key{Customer: spec.Customer, Submission: spec.Submission}
		at := w.between(0, troubleEnd)
		first := spec
		first.Attempt = 1
		w.after(at, func() { anyHost().submit(first) })
		if w.chance(0.3) {
			w.after(at+w.between(0, 10*time.Millisecond), func() { anyHost().submit(spec) })
		}
		for range w.rng.IntN(3) {
			w.after(at+w.between(0, 30*time.Second), func() { anyHost().submit(spec) })
		}
		if w.chance(0.2) {
			w.after(at+w.between(0, 3*time.Second), func() {
				h := anyHost()
				h.do(func(now time.Time) { _ = h.core.Cancel(now, k) })
			})
		}
		for range 8 {
			w.after(at+w.between(0, 3*time.Second), func() { anyHost().ask(k) })
			w.after(at+w.between(0, 30*time.Second), func() { anyHost().ask(k) })
		}
		for _, h := range w.hosts {
			w.after(worldEnd-20*time.Second, func() { h.ask(k) })
			w.after(worldEnd-5*time.Second, func() { h.ask(k) })
		}
	}
}

func (w *world) startsOf(k Key) int {
	n := 0
	for i := range w.sizes[k] {
		n += w.starts[fmt.Sprintf("%s/task-%d", k, i)]
	}
	return n
}

// TestHistories drives three entry hosts' cores through random histories of
// death, freeze, cuts, lost and late messages, log outages, trimmed streams,
// lapsed leases, duplicate submissions and cancels.
func TestHistories(t *testing.T) {
	complete := 0
	for seed := range uint64(*histories) {
		w := newWorld(seed, 3, 3)
		w.traffic(12)
		w.after(w.between(0, 3*time.Second), w.trouble)
		w.after(troubleEnd+30*time.Second, w.heal)
		w.run(worldEnd)
		name := fmt.Sprintf("seed %d", seed)
		w.checkStarts(t, name)
		complete += w.checkAnswers(t, name, w.firstCloses())
		w.checkClaimsClosed(t, name)
		w.checkNothingLeft(t, name)
	}
	require.Greater(t, complete, *histories, "too few jobs completed for the histories to say much")
}

// firstCloses returns the first close of each first claim, from all records
// that the log ever held.
func (w *world) firstCloses() map[Key]Record {
	table := NewTable(worldEnd, worldEnd)
	table.Open(w.epoch, 1, 0)
	firsts := map[Key]Record{}
	for i, r := range w.all {
		if table.Apply(w.epoch, int64(i+1), r) && r.Kind == KindClose {
			firsts[r.Key] = r
		}
	}
	return firsts
}

// firstOwners returns the owner of each submission by the first claim.
func (w *world) firstOwners() map[Key]ids.Incarnation {
	owners := map[Key]ids.Incarnation{}
	for _, r := range w.all {
		if _, ok := owners[r.Key]; !ok && r.Kind == KindClaim {
			owners[r.Key] = r.Owner
		}
	}
	return owners
}

func (w *world) checkStarts(t *testing.T, name string) {
	for task, n := range w.starts {
		require.LessOrEqual(t, n, 1, "%s: starts of %s", name, task)
	}
}

// checkAnswers checks every answer that was given, and returns how many were
// complete.
func (w *world) checkAnswers(t *testing.T, name string, closes map[Key]Record) int {
	complete := 0
	for _, g := range w.given {
		at := fmt.Sprintf("%s: %s at %v", name, g.key, g.at)
		if g.refused != nil {
			if g.refused.Run == errkind.NotRun && w.arrived[g.key] == 1 {
				require.Zero(t, w.startsOf(g.key), "%s: refused as not run: %v", at, g.refused)
			}
			continue
		}
		if g.answer.Run == string(errkind.NotRun) {
			require.Zero(t, w.startsOf(g.key), "%s: failed as not run: %+v", at, g.answer)
		}
		if g.answer.State == callerapi.JobComplete {
			complete++
			require.Len(t, g.answer.Results, w.sizes[g.key], at)
			for _, r := range g.answer.Results {
				require.Equal(t, g.key.String()+"/"+r.Name, string(r.Output), at)
			}
		} else {
			require.Equal(t, callerapi.JobFailed, g.answer.State, at)
			require.Empty(t, g.answer.Results, at)
		}
		first, closed := closes[g.key]
		if g.answer.Unrecorded && (!closed || first.ErrorKind == string(errkind.OwnerLost)) {
			require.True(t, !closed || g.at < w.closedAt[g.key], "%s: unrecorded after the close at %v", at, w.closedAt[g.key])
			continue
		}
		require.True(t, closed, "%s: answered %+v, but the log has no close", at, g.answer)
		require.Equal(t, first.State, g.answer.State, "%s: %+v", at, first)
		require.Equal(t, first.Reason, g.answer.Reason, "%s: %+v", at, first)
	}
	return complete
}

// checkClaimsClosed checks that processes that are alive at the end have
// closed every job that they own, in a log that was never trimmed.
func (w *world) checkClaimsClosed(t *testing.T, name string) {
	if w.first > 1 {
		return
	}
	alive := map[ids.Incarnation]bool{}
	for _, h := range w.hosts {
		alive[h.inc] = true
	}
	closes := w.firstCloses()
	for k, owner := range w.firstOwners() {
		_, closed := closes[k]
		require.True(t, closed || !alive[owner], "%s: %s left %s open", name, owner, k)
	}
}

// checkNothingLeft checks that healed hosts hold nothing of ended jobs.
func (w *world) checkNothingLeft(t *testing.T, name string) {
	for _, h := range w.hosts {
		require.True(t, h.core.Idle(), "%s: %s is not idle", name, h.name)
		require.Empty(t, h.core.holding, "%s: %s holds cores", name, h.name)
	}
	for _, m := range w.workers {
		for _, h := range w.hosts {
			require.Zero(t, m.running(string(h.inc)), "%s: %s runs tasks of %s", name, m.name, h.inc)
		}
	}
}

func TestHistoryIsRepeatable(t *testing.T) {
	run := func() *world {
		w := newWorld(3, 3, 3)
		w.traffic(12)
		w.after(time.Second, w.trouble)
		w.run(worldEnd)
		return w
	}
	a, b := run(), run()
	require.Equal(t, a.all, b.all)
	require.Equal(t, a.starts, b.starts)
}
