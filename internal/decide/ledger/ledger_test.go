package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	memberTTL     = time.Second
	takeoverDelay = 3 * time.Second
	retention     = time.Minute
	testJob       = "00000000000000a1"
)

var (
	testEpoch = time.Unix(1000, 0)
	testRoute = fleet.Route{Name: "r", Service: "s", MaxAttempts: 2}
)

func acceptedTwoSteps(job string) Accepted {
	return Accepted{Route: testRoute, Job: fleet.Job{ID: job, Steps: []fleet.Step{{Count: 1}, {Count: 1, After: []int{0}}}}}
}

func runEnded(step, run int, reason fleet.EndReason) RunEnded {
	return RunEnded{RunID: fleet.RunID{Task: fleet.TaskName{Job: testJob, Step: step}, Run: run}, Reason: reason}
}

// actionsOf returns the actions of type T.
func actionsOf[T Action](actions []Action) []T {
	var found []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

// newDriver returns a ledger that has taken over its only shard, which had no
// driver before.
func newDriver(t *testing.T, now time.Time) *Ledger {
	t.Helper()
	l := newHandoverLedger("a", 1)
	l.Assigned(now, now, 1, []int{0})
	require.Empty(t, actionsOf[AppendEntries](l.PopActions()), "the log has not been read since the assignment")
	l.LogRead(now.Add(time.Millisecond))
	writes := actionsOf[AppendEntries](l.PopActions())
	require.Equal(t, []AppendEntries{{[]Entry{TakenOver{Shard: 0, Takeovers: 1, Generation: 1, Host: "a", Nonce: 1}}}}, writes)
	l.Apply(now, writes[0].Entries)
	l.LogRead(now.Add(2 * time.Millisecond))
	return l
}

func TestJobIsDrivenToItsEnd(t *testing.T) {
	l := newDriver(t, testEpoch)
	l.Apply(testEpoch, []Entry{acceptedTwoSteps(testJob)})
	drives := actionsOf[Drive](l.PopActions())
	require.Len(t, drives, 1)
	assert.Equal(t, 1, drives[0].FirstRun)
	state, _ := l.State(testEpoch, testJob)
	assert.Equal(t, Pending, state)
	assert.Equal(t, 1, l.Waiting("r"))

	l.Apply(testEpoch, []Entry{runEnded(0, 1, fleet.EndedFailed), runEnded(0, 2, fleet.EndedDone), runEnded(0, 2, fleet.EndedDone)})
	state, _ = l.State(testEpoch, testJob)
	assert.Equal(t, Running, state)
	assert.Zero(t, l.Waiting("r"))
	assert.Len(t, actionsOf[TaskDone](l.PopActions()), 1, "an entry that is read twice has no effect")

	l.Apply(testEpoch, []Entry{runEnded(1, 1, fleet.EndedDone)})
	state, _ = l.State(testEpoch, testJob)
	assert.Equal(t, Completed, state)
	l.Tick(testEpoch)
	writes := actionsOf[AppendEntries](l.PopActions())
	require.Len(t, writes, 1)
	closed, ok := writes[0].Entries[0].(Closed)
	require.True(t, ok)
	assert.Len(t, closed.Runs, 3, "closing the job drops the records of all its runs")

	l.Apply(testEpoch, writes[0].Entries)
	l.Apply(testEpoch, []Entry{acceptedTwoSteps(testJob)})
	assert.Empty(t, actionsOf[Drive](l.PopActions()), "a repeated submission does not start the job again")

	later := testEpoch.Add(retention + time.Second)
	l.Assigned(later, later, 1, []int{0})
	l.Tick(later)
	assert.Equal(t, []AppendEntries{{[]Entry{Forgotten{Job: testJob}}}}, actionsOf[AppendEntries](l.PopActions()))
	state, known := l.State(later, testJob)
	assert.Empty(t, state)
	assert.False(t, known, "the last log read is too old to conclude that there is no such job")
	l.LogRead(later)
	_, known = l.State(later, testJob)
	assert.True(t, known)
}

// The previous driver and its runs may continue until TakeoverDelay has passed.
// A new driver that started earlier would run tasks twice at once, or again
// after their end: it waits for a log read that was sent after the delay.
func TestTakeoverWaitsForThePreviousDriver(t *testing.T) {
	l := newHandoverLedger("a", 1)
	l.Apply(testEpoch, []Entry{acceptedTwoSteps(testJob), runEnded(0, 1, fleet.EndedDone), TakenOver{Shard: 0, Takeovers: 4}})
	l.Assigned(testEpoch, testEpoch, 1, []int{0})
	l.LogRead(testEpoch.Add(time.Millisecond))
	writes := actionsOf[AppendEntries](l.PopActions())
	require.Equal(t, []AppendEntries{{[]Entry{TakenOver{Shard: 0, Takeovers: 5, Generation: 1, Host: "a", Nonce: 1}}}}, writes)
	l.Apply(testEpoch, writes[0].Entries)
	l.LogRead(testEpoch.Add(takeoverDelay))
	assert.Empty(t, actionsOf[Drive](l.PopActions()))
	l.LogRead(testEpoch.Add(takeoverDelay + time.Millisecond))
	drives := actionsOf[Drive](l.PopActions())
	require.Len(t, drives, 1)
	assert.Equal(t, []fleet.TaskName{{Job: testJob}}, drives[0].Done)
	assert.Greater(t, drives[0].FirstRun, 3*runsPerTakeover, "above the number of every run of previous drivers")
}

func TestShardIsGivenUpWithoutAConfirmedMembership(t *testing.T) {
	l := newDriver(t, testEpoch)
	l.Apply(testEpoch, []Entry{acceptedTwoSteps(testJob)})
	l.PopActions()
	l.Expire(testEpoch.Add(memberTTL))
	assert.Empty(t, actionsOf[Release](l.PopActions()))
	l.Expire(testEpoch.Add(memberTTL + time.Millisecond))
	assert.Len(t, actionsOf[Release](l.PopActions()), 1)
	l.Apply(testEpoch, []Entry{acceptedTwoSteps("00000000000000a2")})
	assert.Empty(t, actionsOf[Drive](l.PopActions()))
}

// A driver may crash after the last attempt's failure is recorded and before it
// closes the job. The next driver closes the job and starts no run.
func TestJobWithoutAttemptsLeftIsClosedByTheNextDriver(t *testing.T) {
	l := newDriver(t, testEpoch)
	l.MembershipEnded(testEpoch, "planned stop")
	l.Apply(testEpoch, []Entry{acceptedTwoSteps(testJob), runEnded(0, 1, fleet.EndedFailed), runEnded(0, 2, fleet.EndedFailed)})
	later := testEpoch.Add(time.Minute)
	l.Assigned(later, later, 2, []int{0})
	l.LogRead(later.Add(time.Millisecond))
	for _, w := range actionsOf[AppendEntries](l.PopActions()) {
		l.Apply(later, w.Entries)
	}
	l.LogRead(later.Add(2 * takeoverDelay))
	actions := l.PopActions()
	assert.Empty(t, actionsOf[Drive](actions))
	require.Len(t, actionsOf[AppendEntries](actions), 1)
	l.Apply(later, actionsOf[AppendEntries](actions)[0].Entries)
	state, _ := l.State(later, testJob)
	assert.Equal(t, Failed, state)
}

func TestCancelBeforeAndAfterAcceptance(t *testing.T) {
	l := newDriver(t, testEpoch)
	l.Apply(testEpoch, []Entry{Cancelled{Job: testJob}, acceptedTwoSteps(testJob)})
	assert.Empty(t, actionsOf[Drive](l.PopActions()), "the cancellation was read before the acceptance")
	state, _ := l.State(testEpoch, testJob)
	assert.Equal(t, StateCancelled, state)

	const other = "00000000000000a2"
	l.Apply(testEpoch, []Entry{acceptedTwoSteps(other)})
	require.Len(t, actionsOf[Drive](l.PopActions()), 1)
	l.Apply(testEpoch, []Entry{Cancelled{Job: other}})
	actions := l.PopActions()
	assert.Len(t, actionsOf[Release](actions), 1)
	assert.Equal(t, []JobEnded{{Job: other, Queue: "r", State: StateCancelled, Driven: true}}, actionsOf[JobEnded](actions))
}

// A run that was lost with its worker is handed to the next driver, and is
// dropped from the log with the job.
func TestLossesSurviveTheDriver(t *testing.T) {
	crash := quarantine.Loss{Run: 1, Worker: "w", Address: "x", StartTime: 5, Fate: quarantine.Crashed}
	unknown := crash
	unknown.Fate = quarantine.Unknown
	task := fleet.TaskName{Job: testJob}
	l := newHandoverLedger("a", 1)
	l.Apply(testEpoch, []Entry{
		acceptedTwoSteps(testJob),
		RunLost{Task: task, Loss: unknown},
		RunLost{Task: task, Loss: crash},
		RunLost{Task: fleet.TaskName{Job: "unknown"}, Loss: crash},
	})
	l.Assigned(testEpoch, testEpoch, 1, []int{0})
	l.LogRead(testEpoch.Add(time.Millisecond))
	l.Apply(testEpoch, actionsOf[AppendEntries](l.PopActions())[0].Entries)
	l.LogRead(testEpoch.Add(2 * time.Millisecond))
	drives := actionsOf[Drive](l.PopActions())
	require.Len(t, drives, 1)
	assert.Equal(t, map[fleet.TaskName][]quarantine.Loss{task: {crash}}, drives[0].Lost, "the later entry of a run counts")

	l.Fail(testJob)
	writes := actionsOf[AppendEntries](l.PopActions())
	require.Len(t, writes, 1)
	assert.Equal(t, []fleet.RunID{{Task: task, Run: 1}}, writes[0].Entries[0].(Closed).LostRuns)
}

// The cancellation of a best-effort job stays in the log and in memory no longer than a
// job would.
func TestCancellationOfAnUnknownJobIsReportedAndForgotten(t *testing.T) {
	l := newDriver(t, testEpoch)
	for range 2 {
		l.Apply(testEpoch, []Entry{Cancelled{Job: testJob}})
	}
	assert.Equal(t, []UnknownCancelled{{Job: testJob}}, actionsOf[UnknownCancelled](l.PopActions()))
	assert.True(t, l.IsCancelled(testJob))
	later := testEpoch.Add(retention)
	l.Assigned(later, later, 1, []int{0})
	l.Tick(later)
	require.Empty(t, actionsOf[AppendEntries](l.PopActions()))
	l.Tick(later.Add(time.Millisecond))
	assert.Equal(t, []AppendEntries{{[]Entry{Forgotten{Job: testJob}}}}, actionsOf[AppendEntries](l.PopActions()))
	assert.False(t, l.IsCancelled(testJob))
}

// A driver took the run of a stored job to be over while a next owner of its worker held it.
// The hold is known to the driver and to the next one, and is dropped from the log with the job.
func TestHoldsOfRunsAreReported(t *testing.T) {
	task := fleet.TaskName{Job: testJob}
	run := fleet.RunID{Task: task, Run: 1}
	first, second := RunHeld{RunID: run, Fence: 5}, RunHeld{RunID: run, Fence: 6}
	at := func(ms int) time.Time { return testEpoch.Add(time.Duration(ms) * time.Millisecond) }
	l := newHandoverLedger("a", 1)
	l.Apply(at(0), []Entry{acceptedTwoSteps(testJob), first})
	l.Assigned(at(0), at(0), 1, []int{0})
	l.LogRead(at(1))
	l.Apply(at(2), actionsOf[AppendEntries](l.PopActions())[0].Entries)
	l.LogRead(at(3))
	drives := actionsOf[Drive](l.PopActions())
	require.Len(t, drives, 1)
	assert.Equal(t, map[fleet.TaskName]time.Time{task: at(0)}, drives[0].HeldAt)

	l.Apply(at(4), []Entry{first, second, second, RunHeld{RunID: fleet.RunID{Task: fleet.TaskName{Job: "unknown"}}, Fence: 7}})
	assert.Equal(t, []HoldRead{{second}}, actionsOf[HoldRead](l.PopActions()), "an entry that is read again has no effect")
	l.Fail(testJob)
	writes := actionsOf[AppendEntries](l.PopActions())
	require.Len(t, writes, 1)
	assert.Equal(t, []fleet.RunID{run}, writes[0].Entries[0].(Closed).HeldRuns)
}
