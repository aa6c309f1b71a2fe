package workerpool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const testLease = time.Second

var epoch = time.Unix(1000, 0)

func testWorker(id string, cores int) fleet.Worker {
	return fleet.Worker{
		ID: id, Address: id, Zone: "z", Service: "s", StartTime: 1,
		Capacity: fleet.Size{MilliCPU: cores * 1000, MemoryMB: 1 << 17},
	}
}

func testTask(job, index, cores int, now time.Time) offer.Task {
	return offer.Task{
		Host: "front", Name: fleet.TaskName{Job: fmt.Sprintf("%016x", job), Index: index}, Service: "s",
		Size: fleet.Size{MilliCPU: cores * 1000, MemoryMB: 64}, Estimate: 100 * time.Millisecond,
		StartBy: now.Add(100 * time.Millisecond), Deadline: now.Add(2 * time.Second), MaxAttempts: 3,
	}
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

// adopted returns a pool that owns one worker, which listed what it runs.
func adopted(t *testing.T, cores int, l fleet.PollResponse) *Pool {
	t.Helper()
	p := NewPool(DefaultConfig(testLease))
	p.Adopt(epoch, testWorker("w", cores), 7)
	looks := of[Poll](p.PopActions(epoch))
	require.Len(t, looks, 1)
	require.Zero(t, looks[0].LeaseUntil, "the first look renews nothing")
	p.PollAnswered(epoch, "w", looks[0].Number, l)
	return p
}

func idle() fleet.PollResponse { return fleet.PollResponse{Clock: time.Minute, StartTime: 1} }

func running(ids ...fleet.RunID) []fleet.RunProgress {
	var list []fleet.RunProgress
	for _, id := range ids {
		list = append(list, fleet.RunProgress{RunID: id, Percent: 50})
	}
	return list
}

func runOf(job, index, number int) fleet.RunID {
	return fleet.RunID{Task: fleet.TaskName{Job: fmt.Sprintf("%016x", job), Index: index}, Run: number}
}

func TestTasksStartOnlyWhereTheyFit(t *testing.T) {
	p := adopted(t, 32, idle())
	for i := range 3 {
		p.Offer(epoch, testTask(1, i, 14, epoch))
	}
	starts := of[Start](p.PopActions(epoch))
	require.Len(t, starts, 2)
	assert.Equal(t, time.Minute+testLease, starts[0].LeaseUntil)

	// The end of one makes room for the third.
	p.StartAnswered(epoch, "w", starts[0].Run, 7, fleet.StartAccepted, time.Minute)
	p.Tick(epoch)
	looks := of[Poll](p.PopActions(epoch))
	require.Len(t, looks, 1)
	p.PollAnswered(epoch, "w", looks[0].Number, fleet.PollResponse{
		Clock: time.Minute, StartTime: 1, Running: running(starts[1].Run),
		Ended: []fleet.RunEnd{{Seq: 1, RunID: starts[0].Run, Reason: fleet.EndedDone}},
	})
	actions := p.PopActions(epoch)
	assert.Len(t, of[Start](actions), 1)
	tells := of[SendOutcome](actions)
	require.NotEmpty(t, tells)
	assert.Equal(t, offer.Done, tells[len(tells)-1].Outcome.Result)
}

// A run found on an adopted worker that nobody claims is of unknown size: the
// worker takes nothing before its end is listed, not even while it is stopped.
func TestUnclaimedRunBlocksTheWorkerUntilItsEnd(t *testing.T) {
	found := runOf(9, 0, 1)
	p := adopted(t, 32, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: running(found)})
	require.Len(t, of[AnnounceInventory](p.PopActions(epoch)), 1)

	p.Offer(epoch, testTask(1, 0, 14, epoch))
	now := epoch.Add(p.cfg.ClaimTimeout + time.Millisecond)
	p.Tick(now)
	actions := p.PopActions(now)
	assert.Empty(t, of[Start](actions))
	stops := of[Stop](actions)
	require.Len(t, stops, 1)
	assert.Equal(t, found, stops[0].Run)

	p.StopAnswered(now, "w", found, true)
	actions = p.PopActions(now)
	assert.Empty(t, of[Start](actions), "a stopped run occupies room until it is no longer listed")
	looks := of[Poll](actions)
	require.NotEmpty(t, looks)
	p.PollAnswered(now, "w", looks[len(looks)-1].Number, fleet.PollResponse{
		Clock: time.Minute, StartTime: 1, Ended: []fleet.RunEnd{{Seq: 1, RunID: found, Reason: fleet.EndedStopped}},
	})
	assert.Len(t, of[Start](p.PopActions(now)), 1)
}

func TestClaimedRunGoesOnAndIsReported(t *testing.T) {
	found := runOf(9, 0, 1)
	p := adopted(t, 32, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: running(found)})
	p.PopActions(epoch)
	task := testTask(9, 0, 14, epoch)
	task.NextRun = 2
	p.Claimed(epoch, offer.Claim{Worker: "w", Task: task})
	now := epoch.Add(p.cfg.RenewBefore)
	p.Tick(now)
	actions := p.PopActions(now)
	assert.Empty(t, of[Stop](actions))
	looks := of[Poll](actions)
	require.NotEmpty(t, looks)
	assert.NotZero(t, looks[0].LeaseUntil, "a claimed run is renewed")
	p.PollAnswered(now, "w", looks[0].Number, fleet.PollResponse{
		Clock: time.Minute, StartTime: 1, Ended: []fleet.RunEnd{{Seq: 1, RunID: found, Reason: fleet.EndedDone}},
	})
	tells := of[SendOutcome](p.PopActions(now))
	require.Len(t, tells, 1)
	assert.Equal(t, offer.Done, tells[0].Outcome.Result)
}

// Workers that leave orders unanswered: the wait follows what answers take, so
// that a short task is still done in time elsewhere.
func TestTimeoutFollowsAnswerTimes(t *testing.T) {
	var p TimeoutEstimator
	assert.Equal(t, maxPatience, p.Timeout())
	for range 50 {
		p.Observe(3 * time.Millisecond)
	}
	assert.Equal(t, minPatience, p.Timeout())
	for range 50 {
		p.Observe(60 * time.Millisecond)
		p.Observe(20 * time.Millisecond)
	}
	assert.Greater(t, p.Timeout(), 60*time.Millisecond, "a busy host waits longer")
	assert.LessOrEqual(t, p.Timeout(), maxPatience)
}

func TestUnansweredStartIsBlockedAndWorkerStaysUsable(t *testing.T) {
	p := adopted(t, 48, idle())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := of[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, 7, fleet.StartUnknown, 0)
	actions := p.PopActions(epoch)
	require.Len(t, of[Stop](actions), 1)
	assert.Empty(t, of[SendOutcome](actions), "the run may be there")

	p.Offer(epoch, testTask(2, 0, 14, epoch))
	assert.Len(t, of[Start](p.PopActions(epoch)), 1)

	p.StopAnswered(epoch, "w", start.Run, true)
	look := of[Poll](p.PopActions(epoch))[0]
	p.PollAnswered(epoch, "w", look.Number, idle())
	tells := of[SendOutcome](p.PopActions(epoch))
	require.Len(t, tells, 1)
	assert.Equal(t, offer.Returned, tells[0].Outcome.Result)
	assert.True(t, tells[0].Outcome.MayHaveRun)
}

// A start without an answer at a worker that does not answer any more is over
// once its lease has expired on the slowest clock.
func TestRunsOfLostWorkerEndWithTheLease(t *testing.T) {
	p := adopted(t, 32, idle())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := of[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, 7, fleet.StartAccepted, time.Minute)
	p.PopActions(epoch)
	p.Tick(epoch)
	for _, l := range of[Poll](p.PopActions(epoch)) {
		p.PollFailed(epoch.Add(400*time.Millisecond), "w", l.Number)
	}
	p.Tick(epoch.Add(testLease))
	assert.Empty(t, of[SendOutcome](p.PopActions(epoch.Add(testLease))))
	later := epoch.Add(2 * testLease)
	p.Tick(later)
	tells := of[SendOutcome](p.PopActions(later))
	require.Len(t, tells, 1)
	assert.Equal(t, offer.Returned, tells[0].Outcome.Result)
}

// Answers are lost: the end of a run is found soon after it was due, although
// the waiting look has not been answered, and the worker counts as reachable.
func TestOverdueRunIsPolled(t *testing.T) {
	p := adopted(t, 32, idle())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := of[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch.Add(3*time.Millisecond), "w", start.Run, 7, fleet.StartAccepted, time.Minute)
	p.Tick(epoch.Add(5 * time.Millisecond))
	looks := of[Poll](p.PopActions(epoch))
	require.Len(t, looks, 1)
	require.NotZero(t, looks[0].Wait)

	now := epoch.Add(160 * time.Millisecond)
	p.Tick(now)
	again := of[Poll](p.PopActions(now))
	require.Len(t, again, 1)
	assert.Zero(t, again[0].Wait)
	p.PollAnswered(now, "w", again[0].Number, fleet.PollResponse{
		Clock: time.Minute + 160*time.Millisecond, StartTime: 1,
		Ended: []fleet.RunEnd{{Seq: 1, RunID: start.Run, Reason: fleet.EndedDone}},
	})
	assert.Equal(t, offer.Done, of[SendOutcome](p.PopActions(now))[0].Outcome.Result)

	p.PollFailed(now.Add(time.Second), "w", looks[0].Number)
	p.Offer(now, testTask(2, 0, 14, now))
	assert.Len(t, of[Start](p.PopActions(now.Add(time.Second))), 1, "the worker has answered since")
}

// Two orders of a former owner are carried out late. Their sizes are not known:
// the end of one says nothing about the room that the other takes.
func TestRunsOfUnknownSizeBlockTheWorker(t *testing.T) {
	p := adopted(t, 32, idle())
	p.Tick(epoch)
	look := of[Poll](p.PopActions(epoch))[0]
	first, second := runOf(9, 0, 1), runOf(9, 1, 1)
	l := idle()
	l.Running = running(first, second)
	p.PollAnswered(epoch, "w", look.Number, l)
	require.Len(t, of[Stop](p.PopActions(epoch)), 2)
	p.StopAnswered(epoch, "w", first, true)
	look = of[Poll](p.PopActions(epoch))[0]
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	l.Running, l.Ended = running(second), []fleet.RunEnd{{Seq: 1, RunID: first, Reason: fleet.EndedStopped}}
	p.PollAnswered(epoch, "w", look.Number, l)
	assert.Empty(t, of[Start](p.PopActions(epoch)), "the second run may fill the worker")

	p.StopAnswered(epoch, "w", second, true)
	look = of[Poll](p.PopActions(epoch))[0]
	l.Running, l.Ended = nil, append(l.Ended, fleet.RunEnd{Seq: 2, RunID: second, Reason: fleet.EndedStopped})
	p.PollAnswered(epoch, "w", look.Number, l)
	assert.Len(t, of[Start](p.PopActions(epoch)), 1)
}

// A worker starts again, and is given a run before its lists show that it is
// another lifetime: the run is one of the new one.
func TestRunStartedInANewIncarnationIsKept(t *testing.T) {
	p := adopted(t, 32, idle())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := of[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, start.Fence, fleet.StartAccepted, time.Minute)
	p.Tick(epoch)
	look := of[Poll](p.PopActions(epoch))[0]
	l := idle()
	l.StartTime, l.Ended = 2, []fleet.RunEnd{{Seq: 1, RunID: start.Run, Reason: fleet.EndedDone}}
	p.PollAnswered(epoch, "w", look.Number, l)
	tells := of[SendOutcome](p.PopActions(epoch))
	require.Len(t, tells, 1)
	assert.Equal(t, offer.Done, tells[0].Outcome.Result, "%s", tells[0].Outcome.Why)
}

// A start is answered with a clock that has begun anew: the next look must not
// take note of the new lifetime's ends by the old one's numbers.
func TestEndNumbersOfAFormerIncarnationAreForgotten(t *testing.T) {
	l := idle()
	l.Ended = []fleet.RunEnd{{Seq: 9, RunID: runOf(8, 0, 1), Reason: fleet.EndedStopped}}
	p := adopted(t, 32, l)
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := of[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, start.Fence, fleet.StartAccepted, time.Second)
	p.Tick(epoch)
	look := of[Poll](p.PopActions(epoch))[0]
	assert.Zero(t, look.Acknowledged)
}

// An end that could not be recorded in time is taken note of only once the
// worker's lease has expired: the task may be running again by then.
func TestEndThatIsRecordedLateWaitsForTheLease(t *testing.T) {
	p := adopted(t, 32, idle())
	task := testTask(1, 0, 14, epoch)
	task.Stored = true
	p.Offer(epoch, task)
	start := of[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, start.Fence, fleet.StartAccepted, time.Minute)
	p.Tick(epoch)
	look := of[Poll](p.PopActions(epoch))[0]
	l := idle()
	l.Ended = []fleet.RunEnd{{Seq: 1, RunID: start.Run, Reason: fleet.EndedDone}}
	p.PollAnswered(epoch, "w", look.Number, l)
	actions := p.PopActions(epoch)
	require.Empty(t, of[SendOutcome](actions), "the end is not in the log")
	record := of[RecordEnd](actions)[0]

	late := epoch.Add(staleAfter + 10*time.Millisecond)
	p.Tick(late)
	p.EndRecorded(late, record)
	p.Offer(late, testTask(2, 0, 14, late))
	actions = p.PopActions(late)
	assert.Empty(t, of[SendOutcome](actions))
	assert.Empty(t, of[Start](actions), "a start would prolong the lease")
	for _, look := range of[Poll](actions) {
		assert.Zero(t, look.Acknowledged)
		assert.Zero(t, look.LeaseUntil)
	}

	expired := late.Add(testLease + 100*time.Millisecond)
	p.Tick(expired)
	actions = p.PopActions(expired)
	require.Len(t, of[SendOutcome](actions), 1)
	assert.Equal(t, offer.Done, of[SendOutcome](actions)[0].Outcome.Result)
	assert.Len(t, of[Start](actions), 1)
}

// A look that waits at the new lifetime of a worker with the old one's numbers
// would take note of the first ends there: nothing is started before it is over.
func TestNothingStartsDuringAPollWithStaleAcknowledgement(t *testing.T) {
	p := adopted(t, 32, idle())
	p.Tick(epoch)
	waiting := of[Poll](p.PopActions(epoch))[0]
	reborn := testWorker("w", 32)
	reborn.StartTime = 2
	p.Update(reborn)
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	assert.Empty(t, of[Start](p.PopActions(epoch)))
	l := idle()
	l.StartTime = 2
	p.PollAnswered(epoch, "w", waiting.Number, l)
	assert.Len(t, of[Start](p.PopActions(epoch)), 1)
}
