package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

func claimOf(stored bool) (fleet.RunID, offer.Claim) {
	task := testTask(1, 0, 8, epoch)
	task.Stored, task.NextRun = stored, 2
	return runID(1, 0, 1), offer.Claim{Worker: "w", Task: task}
}

func outcomes(p *Pool, now time.Time) (sent []offer.Outcome) {
	for _, a := range actionsOf[SendOutcome](p.PopActions(now)) {
		sent = append(sent, a.Outcome)
	}
	return sent
}

// The host of a stored job waited for good for a run that its worker's next owner had
// stopped before the claim came: the job was never run again.
func TestLateClaimOfAStoppedRunIsAnswered(t *testing.T) {
	id, claim := claimOf(true)
	p := newAdoptedPool(t, 16, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: runningList(id)})
	p.PopActions(epoch)
	now := epoch.Add(p.cfg.ClaimTimeout + time.Millisecond)
	p.Tick(now)
	stops := actionsOf[Stop](p.PopActions(now))
	require.Len(t, stops, 1)
	p.StopAnswered(now, "w", id, true)
	polls := actionsOf[Poll](p.PopActions(now))
	require.NotEmpty(t, polls)
	p.PollAnswered(now, "w", polls[0].Number, fleet.PollResponse{
		Clock: time.Minute + time.Second, StartTime: 1, Ended: []fleet.RunEnd{{RunID: id, Seq: 1, Reason: fleet.EndedStopped}},
	})
	require.Empty(t, outcomes(p, now))
	p.Claimed(now, claim)
	sent := outcomes(p, now)
	require.Len(t, sent, 1)
	assert.Equal(t, offer.Orphaned, sent[0].Result)
	assert.Equal(t, id.Run, sent[0].Run)
	assert.Zero(t, sent[0].MaxRemaining)
}

// A claim that comes after the worker has gone to yet another owner waits for what that
// one finds.
func TestClaimAtAFormerOwnerIsAnswered(t *testing.T) {
	id, claim := claimOf(true)
	p := newAdoptedPool(t, 16, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: runningList(id)})
	p.Release(epoch, "w", "assigned to another host")
	p.PopActions(epoch)
	p.Claimed(epoch, claim)
	sent := outcomes(p, epoch)
	require.Len(t, sent, 1)
	assert.Equal(t, offer.Orphaned, sent[0].Result)
	assert.Equal(t, p.cfg.MaxLease, sent[0].MaxRemaining)
}

// A run that fails between the first list of its worker's next owner and the claim was
// recorded without a report, so that the host of its job waited for good.
func TestFailedEndBeforeTheClaimIsReported(t *testing.T) {
	id, claim := claimOf(true)
	p := newAdoptedPool(t, 16, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: runningList(id)})
	p.cfg.IsStored = func(string) bool { return true }
	p.Tick(epoch)
	polls := actionsOf[Poll](p.PopActions(epoch))
	require.NotEmpty(t, polls)
	p.PollAnswered(epoch, "w", polls[0].Number, fleet.PollResponse{
		Clock: time.Minute, StartTime: 1, Ended: []fleet.RunEnd{{RunID: id, Seq: 1, Reason: fleet.EndedFailed}},
	})
	records := actionsOf[RecordEnd](p.PopActions(epoch))
	require.Len(t, records, 1)
	p.Claimed(epoch, claim)
	require.Empty(t, outcomes(p, epoch), "the end is not in the log yet")
	p.EndRecorded(epoch, records[0])
	sent := outcomes(p, epoch)
	require.Len(t, sent, 1)
	assert.Equal(t, offer.Returned, sent[0].Result)
	assert.Equal(t, 1, sent[0].FailedRuns)
}

// A second claim of a run that goes on must not end the wait for it.
func TestRepeatedClaimOfARunIsIgnored(t *testing.T) {
	id, claim := claimOf(false)
	p := newAdoptedPool(t, 16, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: runningList(id)})
	p.Claimed(epoch, claim)
	p.Claimed(epoch, claim)
	assert.Empty(t, outcomes(p, epoch))
}
