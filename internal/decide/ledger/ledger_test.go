package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	ttl    = time.Second
	settle = 3 * time.Second
	keep   = time.Minute
	id     = "00000000000000a1"
)

var (
	epoch = time.Unix(1000, 0)
	route = fleet.Route{Name: "r", Service: "s", MaxAttempts: 2}
)

func twoSteps(job string) Accepted {
	return Accepted{Route: route, Job: fleet.Job{ID: job, Steps: []fleet.Step{{Count: 1}, {Count: 1, After: []int{0}}}}}
}

func end(step, run int, how fleet.EndReason) RunEnded {
	return RunEnded{RunID: fleet.RunID{Task: fleet.TaskName{Job: id, Step: step}, Run: run}, Reason: how}
}

// of returns the actions of one type.
func of[T Action](actions []Action) []T {
	var found []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

// driving returns a ledger of one shard that nobody drove before.
func driving(t *testing.T, now time.Time) *Ledger {
	t.Helper()
	l := New(Config{Shards: 1, MemberTTL: ttl, TakeoverDelay: settle, Retention: keep})
	l.Assigned(now, now, []int{0})
	require.Empty(t, of[AppendEntries](l.PopActions()), "the log has not been read since")
	l.LogRead(now.Add(time.Millisecond))
	writes := of[AppendEntries](l.PopActions())
	require.Equal(t, []AppendEntries{{[]Entry{TakenOver{Shard: 0, Takeovers: 1}}}}, writes)
	l.Apply(now, writes[0].Entries)
	return l
}

func TestJobIsDrivenToItsEnd(t *testing.T) {
	l := driving(t, epoch)
	l.Apply(epoch, []Entry{twoSteps(id)})
	drives := of[Drive](l.PopActions())
	require.Len(t, drives, 1)
	assert.Equal(t, 1, drives[0].FirstRun)
	state, _ := l.State(epoch, id)
	assert.Equal(t, Pending, state)
	assert.Equal(t, 1, l.Waiting("r"))

	l.Apply(epoch, []Entry{end(0, 1, fleet.EndedFailed), end(0, 2, fleet.EndedDone), end(0, 2, fleet.EndedDone)})
	state, _ = l.State(epoch, id)
	assert.Equal(t, Running, state)
	assert.Zero(t, l.Waiting("r"))
	assert.Len(t, of[TaskDone](l.PopActions()), 1, "an entry that is read again changes nothing")

	l.Apply(epoch, []Entry{end(1, 1, fleet.EndedDone)})
	state, _ = l.State(epoch, id)
	assert.Equal(t, Completed, state)
	l.Tick(epoch)
	writes := of[AppendEntries](l.PopActions())
	require.Len(t, writes, 1)
	closed, ok := writes[0].Entries[0].(Closed)
	require.True(t, ok)
	assert.Len(t, closed.Runs, 3, "their records are dropped with the job's")

	l.Apply(epoch, writes[0].Entries)
	l.Apply(epoch, []Entry{twoSteps(id)})
	assert.Empty(t, of[Drive](l.PopActions()), "a submission that comes again remains one job")

	later := epoch.Add(keep + time.Second)
	l.Assigned(later, later, []int{0})
	l.Tick(later)
	assert.Equal(t, []AppendEntries{{[]Entry{Forgotten{Job: id}}}}, of[AppendEntries](l.PopActions()))
	state, known := l.State(later, id)
	assert.Empty(t, state)
	assert.False(t, known, "the last reading is too old to say that there is no such job")
	l.LogRead(later)
	_, known = l.State(later, id)
	assert.True(t, known)
}

// The former driver may go on for a while, and so may its runs: a shard is
// driven only once a reading that was sent after that has been applied.
func TestTakeoverWaitsForThePreviousDriver(t *testing.T) {
	l := New(Config{Shards: 1, MemberTTL: ttl, TakeoverDelay: settle, Retention: keep})
	l.Apply(epoch, []Entry{twoSteps(id), end(0, 1, fleet.EndedDone), TakenOver{Shard: 0, Takeovers: 4}})
	l.Assigned(epoch, epoch, []int{0})
	l.LogRead(epoch.Add(time.Millisecond))
	writes := of[AppendEntries](l.PopActions())
	require.Equal(t, []AppendEntries{{[]Entry{TakenOver{Shard: 0, Takeovers: 5}}}}, writes)
	l.Apply(epoch, writes[0].Entries)
	l.LogRead(epoch.Add(settle))
	assert.Empty(t, of[Drive](l.PopActions()))
	l.LogRead(epoch.Add(settle + time.Millisecond))
	drives := of[Drive](l.PopActions())
	require.Len(t, drives, 1)
	assert.Equal(t, []fleet.TaskName{{Job: id}}, drives[0].Done)
	assert.Greater(t, drives[0].FirstRun, 3*runsPerTakeover, "above every run of the former drivers")
}

func TestShardIsGivenUpWithoutAConfirmedMembership(t *testing.T) {
	l := driving(t, epoch)
	l.Apply(epoch, []Entry{twoSteps(id)})
	l.PopActions()
	l.Expire(epoch.Add(ttl))
	assert.Empty(t, of[Release](l.PopActions()))
	l.Expire(epoch.Add(ttl + time.Millisecond))
	assert.Len(t, of[Release](l.PopActions()), 1)
	l.Apply(epoch, []Entry{twoSteps("00000000000000a2")})
	assert.Empty(t, of[Drive](l.PopActions()))
}

// A driver that knows of the last attempt's failure may not live to close the
// job: the next one closes it and starts nothing.
func TestJobWithoutAttemptsLeftIsClosedByTheNextDriver(t *testing.T) {
	l := driving(t, epoch)
	l.MembershipEnded("planned stop")
	l.Apply(epoch, []Entry{twoSteps(id), end(0, 1, fleet.EndedFailed), end(0, 2, fleet.EndedFailed)})
	later := epoch.Add(time.Minute)
	l.Assigned(later, later, []int{0})
	l.LogRead(later.Add(time.Millisecond))
	for _, w := range of[AppendEntries](l.PopActions()) {
		l.Apply(later, w.Entries)
	}
	l.LogRead(later.Add(2 * settle))
	actions := l.PopActions()
	assert.Empty(t, of[Drive](actions))
	require.Len(t, of[AppendEntries](actions), 1)
	l.Apply(later, of[AppendEntries](actions)[0].Entries)
	state, _ := l.State(later, id)
	assert.Equal(t, Failed, state)
}

func TestCancelBeforeAndAfterAcceptance(t *testing.T) {
	l := driving(t, epoch)
	l.Apply(epoch, []Entry{Cancelled{Job: id}, twoSteps(id)})
	assert.Empty(t, of[Drive](l.PopActions()), "the cancel was read first")
	state, _ := l.State(epoch, id)
	assert.Equal(t, StateCancelled, state)

	const other = "00000000000000a2"
	l.Apply(epoch, []Entry{twoSteps(other)})
	require.Len(t, of[Drive](l.PopActions()), 1)
	l.Apply(epoch, []Entry{Cancelled{Job: other}})
	actions := l.PopActions()
	assert.Len(t, of[Release](actions), 1)
	assert.Equal(t, []JobEnded{{Job: other, Queue: "r", State: StateCancelled, Driven: true}}, of[JobEnded](actions))
}
