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

// histories is the number of seeds that one run of TestHistories tries.
var histories = flag.Int("histories", 120, "seeded histories to try")

// injectFaults causes random faults until injectionEnd.
func (s *simulation) injectFaults() {
	if s.elapsed > injectionEnd {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	w := s.workers[s.rng.IntN(len(s.workers))]
	duration := s.randomDuration(50*time.Millisecond, 25*time.Second)
	switch s.rng.IntN(10) {
	case 0:
		h.alive = false
		s.after(s.randomDuration(time.Second, 8*time.Second), func() {
			if !h.alive {
				h.start()
			}
		})
	case 1:
		h.frozenUntil = s.elapsed + duration
	case 2:
		h.disconnected = true
		s.after(duration, func() { h.disconnected = false })
	case 3:
		s.logDown = true
		s.after(duration/3, func() { s.logDown = false })
	case 4:
		w.down = true
		s.after(duration/4, w.restart)
	case 5:
		s.loss = s.randomDuration(0, 300).Seconds() * 1e9 / 1000
		s.after(duration, func() { s.loss = 0 })
	case 6:
		w.failing = !w.failing
	case 7, 8:
		s.trim()
	case 9:
		h.peersDisconnected = true
		s.after(duration, func() { h.peersDisconnected = false })
	}
	s.after(s.randomDuration(100*time.Millisecond, 6*time.Second), s.injectFaults)
}

// trim removes the older half of the log.
func (s *simulation) trim() {
	half := len(s.log) / 2
	s.log = s.log[half:]
	s.first += int64(half)
}

func (s *simulation) endFaults() {
	s.logDown, s.loss = false, 0
	for _, h := range s.hosts {
		h.disconnected, h.peersDisconnected = false, false
		h.frozenUntil = min(h.frozenUntil, s.elapsed)
		if !h.alive {
			h.start()
		}
	}
	for _, w := range s.workers {
		if w.down {
			w.restart()
		}
		w.failing = false
	}
}

func (s *simulation) randomJob(name string) callerapi.Job {
	spec := callerapi.Job{Submission: name, Customer: "tamarind", DeadlineMs: s.randomDuration(1000, 9000).Nanoseconds()}
	for i := range 1 + s.rng.IntN(6) {
		spec.Tasks = append(spec.Tasks, callerapi.Task{Name: fmt.Sprintf("task-%d", i), Cores: 1 + s.rng.IntN(4), MemoryMB: 1})
	}
	return spec
}

// generateTraffic schedules callers that send jobs, send them again to other
// hosts, cancel them and ask for them.
func (s *simulation) generateTraffic(jobs int) {
	anyHost := func() *simHost { return s.hosts[s.rng.IntN(len(s.hosts))] }
	for i := range jobs {
		spec := s.randomJob(fmt.Sprintf("job-%d", i))
		k := Key{Customer: spec.Customer, Submission: spec.Submission}
		at := s.randomDuration(0, injectionEnd)
		first := spec
		first.Attempt = 1
		s.after(at, func() { anyHost().submit(first) })
		if s.chance(0.3) {
			s.after(at+s.randomDuration(0, 10*time.Millisecond), func() { anyHost().submit(spec) })
		}
		for range s.rng.IntN(3) {
			s.after(at+s.randomDuration(0, 30*time.Second), func() { anyHost().submit(spec) })
		}
		if s.chance(0.2) {
			s.after(at+s.randomDuration(0, 3*time.Second), func() {
				h := anyHost()
				h.do(func(now time.Time) { _ = h.core.Cancel(now, k) })
			})
		}
		for range 8 {
			s.after(at+s.randomDuration(0, 3*time.Second), func() { anyHost().lookup(k) })
			s.after(at+s.randomDuration(0, 30*time.Second), func() { anyHost().lookup(k) })
		}
		for _, h := range s.hosts {
			s.after(simulationEnd-20*time.Second, func() { h.lookup(k) })
			s.after(simulationEnd-5*time.Second, func() { h.lookup(k) })
		}
	}
}

func (s *simulation) startsOf(k Key) int {
	n := 0
	for i := range s.taskCounts[k] {
		n += s.starts[fmt.Sprintf("%s/task-%d", k, i)]
	}
	return n
}

// TestHistories runs the cores of three entry hosts through random histories of
// crashed and frozen processes, network partitions, lost and late messages, log
// outages, trimmed streams, expired leases, duplicate submissions and cancels.
// It guards against tasks that start twice, answers that contradict the log,
// and jobs or tasks that are never ended.
func TestHistories(t *testing.T) {
	complete := 0
	for seed := range uint64(*histories) {
		s := newSimulation(seed, 3, 3)
		s.generateTraffic(12)
		s.after(s.randomDuration(0, 3*time.Second), s.injectFaults)
		s.after(injectionEnd+30*time.Second, s.endFaults)
		s.run(simulationEnd)
		name := fmt.Sprintf("seed %d", seed)
		s.checkStarts(t, name)
		complete += s.checkAnswers(t, name, s.firstCloses())
		s.checkClaimsClosed(t, name)
		s.checkNothingLeft(t, name)
	}
	require.Greater(t, complete, *histories, "too few jobs completed for the histories to be meaningful")
}

// firstCloses returns the first close of each first claim, from all records
// that the log ever held.
func (s *simulation) firstCloses() map[Key]Record {
	table := NewTable(simulationEnd, simulationEnd)
	table.Open(s.epoch, 1, 0)
	firsts := map[Key]Record{}
	for i, r := range s.allRecords {
		if table.Apply(s.epoch, int64(i+1), r) && r.Kind == KindClose {
			firsts[r.Key] = r
		}
	}
	return firsts
}

// firstClaimOwners returns the owner of each submission's first claim.
func (s *simulation) firstClaimOwners() map[Key]ids.Incarnation {
	owners := map[Key]ids.Incarnation{}
	for _, r := range s.allRecords {
		if _, ok := owners[r.Key]; !ok && r.Kind == KindClaim {
			owners[r.Key] = r.Owner
		}
	}
	return owners
}

func (s *simulation) checkStarts(t *testing.T, name string) {
	for task, n := range s.starts {
		require.LessOrEqual(t, n, 1, "%s: starts of %s", name, task)
	}
}

// checkAnswers checks every reply to a caller, and returns how many answers
// were complete.
func (s *simulation) checkAnswers(t *testing.T, name string, closes map[Key]Record) int {
	complete := 0
	for _, reply := range s.replies {
		at := fmt.Sprintf("%s: %s at %v", name, reply.key, reply.at)
		if reply.refused != nil {
			if reply.refused.Run == errkind.NotRun && s.submissions[reply.key] == 1 {
				require.Zero(t, s.startsOf(reply.key), "%s: refused as not run: %v", at, reply.refused)
			}
			continue
		}
		if reply.answer.Run == string(errkind.NotRun) {
			require.Zero(t, s.startsOf(reply.key), "%s: failed as not run: %+v", at, reply.answer)
		}
		if reply.answer.State == callerapi.JobComplete {
			complete++
			require.Len(t, reply.answer.Results, s.taskCounts[reply.key], at)
			for _, r := range reply.answer.Results {
				require.Equal(t, reply.key.String()+"/"+r.Name, string(r.Output), at)
			}
		} else {
			require.Equal(t, callerapi.JobFailed, reply.answer.State, at)
			require.Empty(t, reply.answer.Results, at)
		}
		first, closed := closes[reply.key]
		if reply.answer.Unrecorded && (!closed || first.ErrorKind == string(errkind.OwnerLost)) {
			require.True(t, !closed || reply.at < s.closedAt[reply.key], "%s: unrecorded after the close at %v", at, s.closedAt[reply.key])
			continue
		}
		require.True(t, closed, "%s: answered %+v, but the log has no close", at, reply.answer)
		require.Equal(t, first.State, reply.answer.State, "%s: %+v", at, first)
		require.Equal(t, first.Reason, reply.answer.Reason, "%s: %+v", at, first)
	}
	return complete
}

// checkClaimsClosed checks that, if the log was never trimmed, processes that
// are alive at the end have closed every job that they own.
func (s *simulation) checkClaimsClosed(t *testing.T, name string) {
	if s.first > 1 {
		return
	}
	alive := map[ids.Incarnation]bool{}
	for _, h := range s.hosts {
		alive[h.incarnation] = true
	}
	closes := s.firstCloses()
	for k, owner := range s.firstClaimOwners() {
		_, closed := closes[k]
		require.True(t, closed || !alive[owner], "%s: %s left %s open", name, owner, k)
	}
}

// checkNothingLeft checks that, after all faults, hosts and workers have no
// state of ended jobs left.
func (s *simulation) checkNothingLeft(t *testing.T, name string) {
	for _, h := range s.hosts {
		require.True(t, h.core.Idle(), "%s: %s is not idle", name, h.name)
		require.Empty(t, h.core.coresInUse, "%s: %s holds cores", name, h.name)
	}
	for _, w := range s.workers {
		for _, h := range s.hosts {
			require.Zero(t, w.running(string(h.incarnation)), "%s: %s runs tasks of %s", name, w.name, h.incarnation)
		}
	}
}

func TestHistoryIsRepeatable(t *testing.T) {
	run := func() *simulation {
		s := newSimulation(3, 3, 3)
		s.generateTraffic(12)
		s.after(time.Second, s.injectFaults)
		s.run(simulationEnd)
		return s
	}
	a, b := run(), run()
	require.Equal(t, a.allRecords, b.allRecords)
	require.Equal(t, a.starts, b.starts)
}
