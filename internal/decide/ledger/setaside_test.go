package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

func acceptedCounts(job string, counts ...int) Accepted {
	a := Accepted{Route: testRoute, Job: fleet.Job{ID: job}}
	for _, n := range counts {
		a.Job.Steps = append(a.Job.Steps, fleet.Step{Count: n})
	}
	return a
}

// newLimitedDriver returns a driver of jobs of up to 3 steps and 10 tasks.
func newLimitedDriver(t *testing.T) *Ledger {
	l := newDriver(t, testEpoch)
	l.cfg.MaxSteps, l.cfg.MaxTasks = 3, 10
	l.LogRead(testEpoch.Add(time.Second))
	l.PopActions()
	return l
}

// Guards against a job with more tasks than a host's memory holds, or with more than
// can be counted, that is driven because it is in the log.
func TestTooLargeJobIsClosedAndNotDriven(t *testing.T) {
	for name, c := range map[string]struct {
		counts []int
		why    string
	}{
		"tasks":           {[]int{11}, "job has more than 10 tasks"},
		"tasks of steps":  {[]int{5, 6}, "job has more than 10 tasks"},
		"huge count":      {[]int{2_000_000_000}, "job has more than 10 tasks"},
		"overflowing sum": {[]int{1, 1<<63 - 1, 1<<63 - 1}, "job has more than 10 tasks"},
		"steps":           {[]int{1, 1, 1, 1}, "job has more than 3 steps"},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimitedDriver(t)
			l.Apply(testEpoch, []Entry{acceptedCounts(testJob, c.counts...), acceptedCounts("other", 10)})
			actions := l.PopActions()
			drives := actionsOf[Drive](actions)
			require.Len(t, drives, 1)
			assert.Equal(t, "other", drives[0].Job.ID)
			assert.Equal(t, []JobSetAside{{Job: testJob, Queue: "r", Cause: TooLarge, Why: c.why}}, actionsOf[JobSetAside](actions))
			appends := actionsOf[AppendEntries](actions)
			require.Equal(t, []AppendEntries{{[]Entry{Closed{Job: testJob, Queue: "r", State: Failed, Reason: c.why}}}}, appends)
			l.Apply(testEpoch, appends[0].Entries)
			state, known := l.State(testEpoch.Add(time.Second), testJob)
			assert.True(t, known)
			assert.Equal(t, Failed, state)
			assert.Equal(t, c.why, l.Reason(testJob))
			l.Tick(testEpoch.Add(retention + time.Millisecond))
			assert.False(t, l.Contains(testJob), "dropped after its retention")
		})
	}
}

// A host with a lower limit that only reads the log, here one that drives no shard,
// shows a job as the driver's entries say.
func TestReaderDoesNotSetJobsAside(t *testing.T) {
	l := New(Config{Shards: 1, MemberTTL: memberTTL, TakeoverDelay: takeoverDelay, Retention: retention, MaxTasks: 1})
	l.Apply(testEpoch, []Entry{acceptedTwoSteps(testJob), runEnded(0, 1, fleet.EndedDone)})
	l.LogRead(testEpoch)
	state, _ := l.State(testEpoch, testJob)
	assert.Equal(t, Running, state)
	l.Apply(testEpoch, []Entry{runEnded(1, 1, fleet.EndedDone)})
	state, _ = l.State(testEpoch, testJob)
	assert.Equal(t, Completed, state)
	assert.Empty(t, actionsOf[JobSetAside](l.PopActions()))
}

// A caller's cancellation of a job that cannot run has its usual effect.
func TestTooLargeJobIsCancelled(t *testing.T) {
	l := newLimitedDriver(t)
	l.Apply(testEpoch, []Entry{Cancelled{Job: testJob}, acceptedCounts(testJob, 11)})
	assert.Empty(t, actionsOf[JobSetAside](l.PopActions()))
	state, _ := l.State(testEpoch, testJob)
	assert.Equal(t, StateCancelled, state)
	assert.Empty(t, l.Reason(testJob))
}

// Guards against the record of a run of a task that its job does not have: it counted as
// the end of another task, so that the job was completed before all its tasks were done.
func TestEndOfATaskThatTheJobDoesNotHaveIsIgnored(t *testing.T) {
	for _, task := range []fleet.TaskName{
		{Job: testJob, Step: 0, Index: 1},
		{Job: testJob, Step: 0, Index: -1},
		{Job: testJob, Step: -1},
		{Job: testJob, Step: 2},
	} {
		l := newDriver(t, testEpoch)
		l.Apply(testEpoch, []Entry{
			acceptedTwoSteps(testJob), runEnded(0, 1, fleet.EndedDone),
			RunEnded{RunID: fleet.RunID{Task: task, Run: 1}, Reason: fleet.EndedDone},
		})
		state, _ := l.State(testEpoch, testJob)
		assert.Equal(t, Running, state, "%v", task)
		l.Apply(testEpoch, []Entry{runEnded(1, 1, fleet.EndedDone)})
		state, _ = l.State(testEpoch, testJob)
		assert.Equal(t, Completed, state, "%v", task)
	}
}

// Guards against the closing of a job with more recorded runs than the store takes in one
// append: a failed append is tried again before all others of the host.
func TestClosingOfManyRunsHasSeveralAppends(t *testing.T) {
	const runs = 2*maxClosedRuns + 1
	l := newLimitedDriver(t)
	l.cfg.MaxTasks = 0
	l.Apply(testEpoch, []Entry{acceptedCounts(testJob, runs+1)})
	l.PopActions()
	for i := range runs {
		end := RunEnded{RunID: fleet.RunID{Task: fleet.TaskName{Job: testJob, Index: i}, Run: 1}, Reason: fleet.EndedDone}
		l.Apply(testEpoch, []Entry{end})
	}
	l.PopActions()
	l.Fail(testJob)
	appends := actionsOf[AppendEntries](l.PopActions())
	require.Len(t, appends, 3)
	closed := 0
	for _, a := range appends {
		require.Len(t, a.Entries, 1)
		e := a.Entries[0].(Closed)
		assert.LessOrEqual(t, len(e.Runs)+len(e.LostRuns)+len(e.HeldRuns), maxClosedRuns)
		assert.Equal(t, Failed, e.State)
		closed += len(e.Runs)
		l.Apply(testEpoch, a.Entries)
	}
	assert.Equal(t, runs, closed)
	assert.Len(t, actionsOf[JobEnded](l.PopActions()), 1)
}

// Guards against a time to read the ends of a large job's runs that grows with the square
// of their number: the host answers nobody meanwhile.
func TestEndsOfManyTasksAreReadQuickly(t *testing.T) {
	const tasks, maxTime = 100_000, 3 * time.Second
	l := newLimitedDriver(t)
	ends := []Entry{acceptedCounts(testJob, tasks+1)}
	for i := range tasks {
		ends = append(ends, RunEnded{RunID: fleet.RunID{Task: fleet.TaskName{Job: testJob, Index: i}, Run: 1}, Reason: fleet.EndedDone})
	}
	started := time.Now()
	l.Apply(testEpoch, ends)
	took := time.Since(started)
	t.Log("read in", took)
	assert.Less(t, took, maxTime)
}
