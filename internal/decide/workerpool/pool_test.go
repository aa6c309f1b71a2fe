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

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) []T {
	var found []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

// newAdoptedPool returns a pool that owns one worker, whose first poll has been
// answered with l.
func newAdoptedPool(t *testing.T, cores int, l fleet.PollResponse) *Pool {
	t.Helper()
	p := NewPool(DefaultConfig(testLease))
	p.Adopt(epoch, testWorker("w", cores), 7)
	polls := actionsOf[Poll](p.PopActions(epoch))
	require.Len(t, polls, 1)
	require.Zero(t, polls[0].LeaseUntil, "the first poll renews no lease")
	p.PollAnswered(epoch, "w", polls[0].Number, l)
	settle(p)
	return p
}

// settle ends the time in which runs may go on that former owners have ordered to stop.
func settle(p *Pool) {
	for _, w := range p.workers {
		w.settledAt = time.Time{}
	}
}

func idleResponse() fleet.PollResponse { return fleet.PollResponse{Clock: time.Minute, StartTime: 1} }

func runningList(ids ...fleet.RunID) []fleet.RunProgress {
	var list []fleet.RunProgress
	for _, id := range ids {
		list = append(list, fleet.RunProgress{RunID: id, Percent: 50})
	}
	return list
}

func runID(job, index, number int) fleet.RunID {
	return fleet.RunID{Task: fleet.TaskName{Job: fmt.Sprintf("%016x", job), Index: index}, Run: number}
}

func TestTasksStartOnlyWhereTheyFit(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	for i := range 3 {
		p.Offer(epoch, testTask(1, i, 14, epoch))
	}
	starts := actionsOf[Start](p.PopActions(epoch))
	require.Len(t, starts, 2)
	assert.Equal(t, time.Minute+testLease, starts[0].LeaseUntil)

	// The end of one run frees capacity for the third.
	p.StartAnswered(epoch, "w", starts[0].Run, 7, fleet.StartAccepted, time.Minute)
	p.Tick(epoch)
	polls := actionsOf[Poll](p.PopActions(epoch))
	require.Len(t, polls, 1)
	p.PollAnswered(epoch, "w", polls[0].Number, fleet.PollResponse{
		Clock: time.Minute, StartTime: 1, Running: runningList(starts[1].Run),
		Ended: []fleet.RunEnd{{Seq: 1, RunID: starts[0].Run, Reason: fleet.EndedDone}},
	})
	actions := p.PopActions(epoch)
	assert.Len(t, actionsOf[Start](actions), 1)
	outcomes := actionsOf[SendOutcome](actions)
	require.NotEmpty(t, outcomes)
	assert.Equal(t, offer.Done, outcomes[len(outcomes)-1].Outcome.Result)
}

// An unclaimed run on an adopted worker has an unknown size. Guards against
// starting a task there before the run's end is listed, also while it is being
// stopped.
func TestUnclaimedRunBlocksTheWorkerUntilItsEnd(t *testing.T) {
	found := runID(9, 0, 1)
	p := newAdoptedPool(t, 32, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: runningList(found)})
	require.Len(t, actionsOf[AnnounceInventory](p.PopActions(epoch)), 1)

	p.Offer(epoch, testTask(1, 0, 14, epoch))
	now := epoch.Add(p.cfg.ClaimTimeout + time.Millisecond)
	p.Tick(now)
	actions := p.PopActions(now)
	assert.Empty(t, actionsOf[Start](actions))
	stops := actionsOf[Stop](actions)
	require.Len(t, stops, 1)
	assert.Equal(t, found, stops[0].Run)

	p.StopAnswered(now, "w", found, true)
	actions = p.PopActions(now)
	assert.Empty(t, actionsOf[Start](actions), "a stopped run occupies capacity until it is no longer listed")
	polls := actionsOf[Poll](actions)
	require.NotEmpty(t, polls)
	p.PollAnswered(now, "w", polls[len(polls)-1].Number, fleet.PollResponse{
		Clock: time.Minute, StartTime: 1, Ended: []fleet.RunEnd{{Seq: 1, RunID: found, Reason: fleet.EndedStopped}},
	})
	assert.Len(t, actionsOf[Start](p.PopActions(now)), 1)
}

func TestClaimedRunGoesOnAndIsReported(t *testing.T) {
	found := runID(9, 0, 1)
	p := newAdoptedPool(t, 32, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: runningList(found)})
	p.PopActions(epoch)
	task := testTask(9, 0, 14, epoch)
	task.NextRun = 2
	p.Claimed(epoch, offer.Claim{Worker: "w", Task: task})
	now := epoch.Add(p.cfg.RenewBefore)
	p.Tick(now)
	actions := p.PopActions(now)
	assert.Empty(t, actionsOf[Stop](actions))
	polls := actionsOf[Poll](actions)
	require.NotEmpty(t, polls)
	assert.NotZero(t, polls[0].LeaseUntil, "the lease of a claimed run is renewed")
	p.PollAnswered(now, "w", polls[0].Number, fleet.PollResponse{
		Clock: time.Minute, StartTime: 1, Ended: []fleet.RunEnd{{Seq: 1, RunID: found, Reason: fleet.EndedDone}},
	})
	outcomes := actionsOf[SendOutcome](p.PopActions(now))
	require.Len(t, outcomes, 1)
	assert.Equal(t, offer.Done, outcomes[0].Outcome.Result)
}

// The timeout of orders follows the times of earlier answers. With a fixed long
// timeout, a short task whose start is unanswered would be late elsewhere.
func TestTimeoutFollowsAnswerTimes(t *testing.T) {
	var p TimeoutEstimator
	assert.Equal(t, maxTimeout, p.Timeout())
	for range 50 {
		p.Observe(3 * time.Millisecond)
	}
	assert.Equal(t, minTimeout, p.Timeout())
	for range 50 {
		p.Observe(60 * time.Millisecond)
		p.Observe(20 * time.Millisecond)
	}
	assert.Greater(t, p.Timeout(), 60*time.Millisecond, "the timeout covers the spread of the answers")
	assert.LessOrEqual(t, p.Timeout(), maxTimeout)
}

func TestUnansweredStartIsBlockedAndWorkerStaysUsable(t *testing.T) {
	p := newAdoptedPool(t, 48, idleResponse())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := actionsOf[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, 7, fleet.StartUnknown, 0)
	actions := p.PopActions(epoch)
	require.Len(t, actionsOf[Stop](actions), 1)
	assert.Empty(t, actionsOf[SendOutcome](actions), "the run may have started")

	p.Offer(epoch, testTask(2, 0, 14, epoch))
	assert.Len(t, actionsOf[Start](p.PopActions(epoch)), 1)

	p.StopAnswered(epoch, "w", start.Run, true)
	poll := actionsOf[Poll](p.PopActions(epoch))[0]
	p.PollAnswered(epoch, "w", poll.Number, idleResponse())
	assert.Empty(t, actionsOf[SendOutcome](p.PopActions(epoch)), "the run may still be stopping")

	stopped := epoch.Add(fleet.WithMaxClockDrift(defaultStopTime))
	p.Tick(stopped)
	poll = actionsOf[Poll](p.PopActions(stopped))[0]
	p.PollAnswered(stopped, "w", poll.Number, idleResponse())
	outcomes := actionsOf[SendOutcome](p.PopActions(stopped))
	require.Len(t, outcomes, 1)
	assert.Equal(t, offer.Returned, outcomes[0].Outcome.Result)
	assert.True(t, outcomes[0].Outcome.MayHaveRun)
}

// Guards against too much on a worker that has changed its owner: what the former owner has
// ordered to stop may go on, although the worker no longer lists it.
func TestAdoptedWorkerStartsNothingWhileStopsOfItsFormerOwnerEnd(t *testing.T) {
	p := NewPool(DefaultConfig(testLease))
	p.Adopt(epoch, testWorker("w", 32), 7)
	p.PollAnswered(epoch, "w", actionsOf[Poll](p.PopActions(epoch))[0].Number, idleResponse())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	for _, at := range []time.Duration{0, defaultStopTime} {
		p.Tick(epoch.Add(at))
		require.Empty(t, actionsOf[Start](p.PopActions(epoch.Add(at))))
	}
	settled := epoch.Add(fleet.WithMaxClockDrift(defaultStopTime))
	p.Tick(settled)
	require.Len(t, actionsOf[Start](p.PopActions(settled)), 1)
}

// Guards against two runs of one task at once: a run that is being stopped, and that its
// worker lists neither as running nor as ended, was taken for ended.
func TestRunThatIsBeingStoppedGoesOnUntilItsEndIsListed(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := actionsOf[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, 7, fleet.StartUnknown, 0)
	p.PopActions(epoch)
	p.StopAnswered(epoch, "w", start.Run, true)
	now := epoch.Add(20 * time.Millisecond)
	p.PollAnswered(now, "w", actionsOf[Poll](p.PopActions(epoch))[0].Number, idleResponse())
	p.Offer(now, testTask(2, 0, 20, epoch))
	actions := p.PopActions(now)
	assert.Empty(t, actionsOf[SendOutcome](actions))
	assert.Empty(t, actionsOf[Start](actions), "its capacity is in use")

	// The end is listed a moment later.
	p.Tick(now.Add(40 * time.Millisecond))
	now = now.Add(45 * time.Millisecond)
	response := idleResponse()
	response.Ended = []fleet.RunEnd{{Seq: 1, RunID: start.Run, Reason: fleet.EndedStopped}}
	p.PollAnswered(now, "w", actionsOf[Poll](p.PopActions(now))[0].Number, response)
	outcomes := actionsOf[SendOutcome](p.PopActions(now))
	require.Len(t, outcomes, 1)
	assert.Equal(t, offer.Returned, outcomes[0].Outcome.Result)
}

// The run on a worker that no longer answers polls may go on until its lease has
// expired on the slowest clock; its task must not be returned before.
func TestRunsOfLostWorkerEndWithTheLease(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := actionsOf[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, 7, fleet.StartAccepted, time.Minute)
	p.PopActions(epoch)
	p.Tick(epoch)
	for _, l := range actionsOf[Poll](p.PopActions(epoch)) {
		p.PollFailed(epoch.Add(400*time.Millisecond), "w", l.Number, fleet.CallTimedOut)
	}
	p.Tick(epoch.Add(testLease))
	assert.Empty(t, actionsOf[SendOutcome](p.PopActions(epoch.Add(testLease))))
	later := epoch.Add(2 * testLease)
	p.Tick(later)
	outcomes := actionsOf[SendOutcome](p.PopActions(later))
	require.Len(t, outcomes, 1)
	assert.Equal(t, offer.Returned, outcomes[0].Outcome.Result)
}

// The answer to the long poll is lost. A short poll must find the end of the run
// soon after it was due, and the later failure of the long poll must not make the
// worker count as unreachable.
func TestOverdueRunIsPolled(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := actionsOf[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch.Add(3*time.Millisecond), "w", start.Run, 7, fleet.StartAccepted, time.Minute)
	p.Tick(epoch.Add(5 * time.Millisecond))
	polls := actionsOf[Poll](p.PopActions(epoch))
	require.Len(t, polls, 1)
	require.NotZero(t, polls[0].Wait)

	now := epoch.Add(160 * time.Millisecond)
	p.Tick(now)
	again := actionsOf[Poll](p.PopActions(now))
	require.Len(t, again, 1)
	assert.Zero(t, again[0].Wait)
	p.PollAnswered(now, "w", again[0].Number, fleet.PollResponse{
		Clock: time.Minute + 160*time.Millisecond, StartTime: 1,
		Ended: []fleet.RunEnd{{Seq: 1, RunID: start.Run, Reason: fleet.EndedDone}},
	})
	assert.Equal(t, offer.Done, actionsOf[SendOutcome](p.PopActions(now))[0].Outcome.Result)

	p.PollFailed(now.Add(time.Second), "w", polls[0].Number, fleet.CallTimedOut)
	p.Offer(now, testTask(2, 0, 14, now))
	assert.Len(t, actionsOf[Start](p.PopActions(now.Add(time.Second))), 1, "the worker has answered after the failed poll was sent")
}

// A worker executes two orders of a former owner late. The sizes of the runs are
// unknown, so that the end of one must not make the worker usable while the other
// goes on.
func TestRunsOfUnknownSizeBlockTheWorker(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.Tick(epoch)
	poll := actionsOf[Poll](p.PopActions(epoch))[0]
	first, second := runID(9, 0, 1), runID(9, 1, 1)
	l := idleResponse()
	l.Running = runningList(first, second)
	p.PollAnswered(epoch, "w", poll.Number, l)
	require.Len(t, actionsOf[Stop](p.PopActions(epoch)), 2)
	p.StopAnswered(epoch, "w", first, true)
	poll = actionsOf[Poll](p.PopActions(epoch))[0]
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	l.Running, l.Ended = runningList(second), []fleet.RunEnd{{Seq: 1, RunID: first, Reason: fleet.EndedStopped}}
	p.PollAnswered(epoch, "w", poll.Number, l)
	assert.Empty(t, actionsOf[Start](p.PopActions(epoch)), "the second run, of unknown size, may fill the worker")

	p.StopAnswered(epoch, "w", second, true)
	poll = actionsOf[Poll](p.PopActions(epoch))[0]
	l.Running, l.Ended = nil, append(l.Ended, fleet.RunEnd{Seq: 2, RunID: second, Reason: fleet.EndedStopped})
	p.PollAnswered(epoch, "w", poll.Number, l)
	assert.Len(t, actionsOf[Start](p.PopActions(epoch)), 1)
}

// A worker restarts and accepts a run before an answered poll shows the new
// incarnation. The run belongs to the new incarnation and must be kept.
func TestRunStartedInANewIncarnationIsKept(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := actionsOf[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, start.Fence, fleet.StartAccepted, time.Minute)
	p.Tick(epoch)
	poll := actionsOf[Poll](p.PopActions(epoch))[0]
	l := idleResponse()
	l.StartTime, l.Ended = 2, []fleet.RunEnd{{Seq: 1, RunID: start.Run, Reason: fleet.EndedDone}}
	p.PollAnswered(epoch, "w", poll.Number, l)
	outcomes := actionsOf[SendOutcome](p.PopActions(epoch))
	require.Len(t, outcomes, 1)
	assert.Equal(t, offer.Done, outcomes[0].Outcome.Result, "%s", outcomes[0].Outcome.Why)
}

// The answer to a start shows a clock that has restarted. The next poll must not
// acknowledge ends of the new incarnation under the end numbers of the former one.
func TestEndNumbersOfAFormerIncarnationAreForgotten(t *testing.T) {
	l := idleResponse()
	l.Ended = []fleet.RunEnd{{Seq: 9, RunID: runID(8, 0, 1), Reason: fleet.EndedStopped}}
	p := newAdoptedPool(t, 32, l)
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := actionsOf[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, start.Fence, fleet.StartAccepted, time.Second)
	p.Tick(epoch)
	poll := actionsOf[Poll](p.PopActions(epoch))[0]
	assert.Zero(t, poll.Acknowledged)
}

// An end that was not recorded in time must be acknowledged only after the
// worker's lease has expired, since the task may be running again by then.
func TestEndThatIsRecordedLateWaitsForTheLease(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	task := testTask(1, 0, 14, epoch)
	task.Stored = true
	p.Offer(epoch, task)
	start := actionsOf[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, start.Fence, fleet.StartAccepted, time.Minute)
	p.Tick(epoch)
	poll := actionsOf[Poll](p.PopActions(epoch))[0]
	l := idleResponse()
	l.Ended = []fleet.RunEnd{{Seq: 1, RunID: start.Run, Reason: fleet.EndedDone}}
	p.PollAnswered(epoch, "w", poll.Number, l)
	actions := p.PopActions(epoch)
	require.Empty(t, actionsOf[SendOutcome](actions), "the end is not in the log yet")
	record := actionsOf[RecordEnd](actions)[0]

	late := epoch.Add(recordTimeout + 10*time.Millisecond)
	p.Tick(late)
	p.EndRecorded(late, record)
	p.Offer(late, testTask(2, 0, 14, late))
	actions = p.PopActions(late)
	assert.Empty(t, actionsOf[SendOutcome](actions))
	assert.Empty(t, actionsOf[Start](actions), "a start would extend the lease")
	for _, poll := range actionsOf[Poll](actions) {
		assert.Zero(t, poll.Acknowledged)
		assert.Zero(t, poll.LeaseUntil)
	}

	expired := late.Add(testLease + 100*time.Millisecond)
	p.Tick(expired)
	actions = p.PopActions(expired)
	require.Len(t, actionsOf[SendOutcome](actions), 1)
	assert.Equal(t, offer.Done, actionsOf[SendOutcome](actions)[0].Outcome.Result)
	assert.Len(t, actionsOf[Start](actions), 1)
}

// A long poll that is pending at a restarted worker still acknowledges the end
// numbers of the former incarnation, and so the first ends of the new one. No run
// may start before that poll is answered.
func TestNothingStartsDuringAPollWithStaleAcknowledgement(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.Tick(epoch)
	longPoll := actionsOf[Poll](p.PopActions(epoch))[0]
	restarted := testWorker("w", 32)
	restarted.StartTime = 2
	p.Update(restarted)
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	assert.Empty(t, actionsOf[Start](p.PopActions(epoch)))
	l := idleResponse()
	l.StartTime = 2
	p.PollAnswered(epoch, "w", longPoll.Number, l)
	assert.Len(t, actionsOf[Start](p.PopActions(epoch)), 1)
}

// Guards against a worker whose ends are noticed late for as long as a lost long
// poll may take: the poll has to be given up once another poll lists an end that it
// should have reported, and a second one kept beside the next.
func TestLostLongPollIsReplacedAndHedged(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	p.Offer(epoch, testTask(1, 1, 14, epoch))
	for _, start := range actionsOf[Start](p.PopActions(epoch)) {
		p.StartAnswered(epoch, "w", start.Run, 7, fleet.StartAccepted, time.Minute)
	}
	p.Tick(epoch)
	lost := actionsOf[Poll](p.PopActions(epoch))
	require.Len(t, lost, 1)

	due := epoch.Add(160 * time.Millisecond)
	p.Tick(due)
	short := actionsOf[Poll](p.PopActions(due))
	require.Len(t, short, 1)
	answer := fleet.PollResponse{
		Clock: time.Minute + 160*time.Millisecond, StartTime: 1, Running: runningList(runID(1, 1, 1)),
		Ended: []fleet.RunEnd{{Seq: 1, RunID: runID(1, 0, 1), Reason: fleet.EndedDone}},
	}
	p.PollAnswered(due, "w", short[0].Number, answer)
	p.Tick(due.Add(20 * time.Millisecond))
	assert.Empty(t, actionsOf[Poll](p.PopActions(due.Add(20*time.Millisecond))), "the answer may still be on its way")

	now := due.Add(maxTimeout)
	for range 3 {
		p.Tick(now)
	}
	var waiting []Poll
	for _, poll := range actionsOf[Poll](p.PopActions(now)) {
		if poll.Wait > 0 {
			waiting = append(waiting, poll)
		}
	}
	require.Len(t, waiting, 2)
	assert.Equal(t, hedgedPollWait, waiting[0].Wait)

	answer.Clock, answer.Running = time.Minute+900*time.Millisecond, nil
	answer.Ended = append(answer.Ended, fleet.RunEnd{Seq: 2, RunID: runID(1, 1, 1), Reason: fleet.EndedDone})
	p.PollAnswered(now, "w", waiting[1].Number, answer)
	outcomes := actionsOf[SendOutcome](p.PopActions(now))
	require.NotEmpty(t, outcomes)
	assert.Equal(t, offer.Done, outcomes[len(outcomes)-1].Outcome.Result)
}

// A worker starts again while a long poll that was given up may still reach it. The
// poll acknowledges ends of the former incarnation, so that nothing may start before
// it has failed.
func TestNothingStartsWhileAGivenUpPollMayAcknowledge(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	w := p.workers["w"]
	w.lostPolls = map[int64]bool{99: true}
	w.resetEndNumbers(0)
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	assert.Empty(t, actionsOf[Start](p.PopActions(epoch)))
	p.PollFailed(epoch, "w", 99, fleet.CallTimedOut)
	assert.Len(t, actionsOf[Start](p.PopActions(epoch)), 1)
}
