package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// runsOf starts two stored tasks on the worker of a pool and returns their runs.
func runsOf(t *testing.T, p *Pool) []fleet.RunID {
	t.Helper()
	p.cfg.IsStored = func(string) bool { return true }
	for i := range 2 {
		task := testTask(1, i, 8, epoch)
		task.Stored = true
		p.Offer(epoch, task)
	}
	var runs []fleet.RunID
	for _, s := range actionsOf[Start](p.PopActions(epoch)) {
		p.StartAnswered(epoch, "w", s.Run, 7, fleet.StartAccepted, time.Minute)
		runs = append(runs, s.Run)
	}
	require.Len(t, runs, 2)
	p.PopActions(epoch)
	return runs
}

// answerPoll answers the next poll of the pool's worker.
func answerPoll(t *testing.T, p *Pool, now time.Time, l fleet.PollResponse) {
	t.Helper()
	p.Tick(now)
	polls := actionsOf[Poll](p.PopActions(now))
	require.NotEmpty(t, polls)
	l.Clock, l.StartTime = time.Minute+now.Sub(epoch), 1
	p.PollAnswered(now, "w", polls[0].Number, l)
}

// While the store was slow, over 500 ends waited on one worker, which lists 500 at a
// time. The runs beyond were taken as gone, and their tasks ran twice.
func TestRunMissingFromATruncatedListIsNotGone(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	runs := runsOf(t, p)
	now := epoch.Add(10 * time.Millisecond)
	answerPoll(t, p, now, fleet.PollResponse{Truncated: true, Ended: []fleet.RunEnd{{RunID: runs[0], Seq: 1, Reason: fleet.EndedDone}}})
	actions := p.PopActions(now)
	assert.Empty(t, actionsOf[SendOutcome](actions), "the second run may have ended")
	records := actionsOf[RecordEnd](actions)
	require.Len(t, records, 1)
	p.EndRecorded(now, records[0])
	now = now.Add(10 * time.Millisecond)
	answerPoll(t, p, now, fleet.PollResponse{Ended: []fleet.RunEnd{{RunID: runs[1], Seq: 2, Reason: fleet.EndedDone}}})
	records = actionsOf[RecordEnd](p.PopActions(now))
	require.Len(t, records, 1)
	assert.Equal(t, runs[1], records[0].End.RunID, "its end is recorded before it is acknowledged")
	p.EndRecorded(now, records[0])
	assert.Equal(t, []offer.Result{offer.Done}, resultsOf(p, now))
}

// A run that is missing from both lists of a complete answer is gone, if the poll did not wait:
// during a wait the next owner may have taken the worker over, and may be stopping the run.
// Guards against two runs of one task at once.
func TestRunMissingFromACompleteListIsReturned(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	runsOf(t, p)
	now := epoch.Add(10 * time.Millisecond)
	answerPoll(t, p, now, fleet.PollResponse{})
	actions := p.PopActions(now)
	assert.Empty(t, actionsOf[SendOutcome](actions))
	polls := actionsOf[Poll](actions)
	require.NotEmpty(t, polls)
	require.Zero(t, polls[0].Wait, "the worker is asked again")
	p.PollAnswered(now, "w", polls[0].Number, fleet.PollResponse{Clock: time.Minute + now.Sub(epoch), StartTime: 1})
	assert.Equal(t, []offer.Result{offer.Returned, offer.Returned}, resultsOf(p, now))
}

func resultsOf(p *Pool, now time.Time) (results []offer.Result) {
	for _, o := range outcomes(p, now) {
		results = append(results, o.Result)
	}
	return results
}

// Guards against tasks that run twice after their worker was taken over: it had more ends
// than one answer lists, and those beyond were taken as gone and acknowledged unrecorded.
func TestNextOwnerReadsAllEnds(t *testing.T) {
	cfg := DefaultConfig(testLease)
	cfg.IsStored = func(string) bool { return true }
	p := NewPool(cfg)
	p.Adopt(epoch, testWorker("w", 32), 7)
	first, second := runID(1, 0, 1), runID(1, 1, 1)
	now := epoch
	read := func(l fleet.PollResponse) []Action {
		now = now.Add(10 * time.Millisecond)
		answerPoll(t, p, now, l)
		return p.PopActions(now)
	}

	polls := actionsOf[Poll](p.PopActions(now))
	require.Len(t, polls, 1)
	p.PollAnswered(now, "w", polls[0].Number, fleet.PollResponse{
		Clock: time.Minute, StartTime: 1, Truncated: true, Ended: []fleet.RunEnd{{RunID: first, Seq: 1, Reason: fleet.EndedDone}},
	})
	actions := p.PopActions(now)
	announced := actionsOf[AnnounceInventory](actions)
	require.Len(t, announced, 1)
	assert.True(t, announced[0].Inventory.MoreEnds)
	records := actionsOf[RecordEnd](actions)
	require.Len(t, records, 1)

	_, claim := claimOf(true)
	claim.Task.Name = second.Task
	p.Claimed(now, claim)
	answers := outcomes(p, now)
	require.Len(t, answers, 1)
	assert.Equal(t, testLease, answers[0].MaxRemaining, "the run may be among the ends that are not listed")

	claim.Task.Name = first.Task
	p.Claimed(now, claim)
	p.EndRecorded(now, records[0])
	actions = read(fleet.PollResponse{Ended: []fleet.RunEnd{{RunID: second, Seq: 2, Reason: fleet.EndedDone}}})
	announced = actionsOf[AnnounceInventory](actions)
	require.Len(t, announced, 1)
	assert.False(t, announced[0].Inventory.MoreEnds)
	require.Len(t, announced[0].Inventory.Ended, 1)
	assert.Equal(t, second, announced[0].Inventory.Ended[0].RunID)
	records = actionsOf[RecordEnd](actions)
	require.Len(t, records, 1)
	assert.Equal(t, second, records[0].End.RunID)
	assert.Equal(t, int64(1), p.workers["w"].acknowledgedSeq, "the second end is not recorded yet")
}

// Guards against an end that is acknowledged unrecorded: the run had ended on a worker that
// did not answer for longer than its lease, and its owner had counted it as lost.
func TestEndOfALostRunIsRecorded(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	runs := runsOf(t, p)
	p.Tick(epoch)
	polls := actionsOf[Poll](p.PopActions(epoch))
	require.NotEmpty(t, polls)
	p.PollFailed(epoch, "w", polls[0].Number, fleet.CallTimedOut)
	lost := p.workers["w"].leaseExpiry().Add(time.Millisecond)
	p.Tick(lost)
	require.Empty(t, p.workers["w"].runs)
	p.PopActions(lost)
	now := lost.Add(time.Second)
	p.workers["w"].shortPoll = 0
	answerPoll(t, p, now, fleet.PollResponse{Ended: []fleet.RunEnd{{RunID: runs[0], Seq: 1, Reason: fleet.EndedDone}}})
	records := actionsOf[RecordEnd](p.PopActions(now))
	require.Len(t, records, 1)
	assert.Zero(t, p.workers["w"].acknowledgedSeq)
	p.EndRecorded(now, records[0])
	assert.Equal(t, int64(1), p.workers["w"].acknowledgedSeq, "an acknowledgement confirms nothing after the lease")
}
