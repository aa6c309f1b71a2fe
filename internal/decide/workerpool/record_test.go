package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Guards against an accepted job that is never finished: a run of it had failed,
// and its worker crashed under another task before the end was recorded, so that
// the job's host was never told.
func TestRecordedEndIsReportedAfterItsWorkerIsGone(t *testing.T) {
	for name, lose := range map[string]func(p *Pool, pending []Poll){
		"replaced": func(p *Pool, _ []Poll) { p.WorkerReplaced(epoch, "w") },
		"released": func(p *Pool, _ []Poll) { p.Release(epoch, "w", "assigned to another host") },
		"restarted": func(p *Pool, pending []Poll) {
			p.PollAnswered(epoch, "w", pending[0].Number, fleet.PollResponse{StartTime: 2})
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newAdoptedPool(t, 32, idleResponse())
			task := testTask(1, 0, 14, epoch)
			task.Stored = true
			p.Offer(epoch, task)
			startAll(p, epoch)
			p.Tick(epoch)
			for _, poll := range actionsOf[Poll](p.PopActions(epoch)) {
				p.PollAnswered(epoch, "w", poll.Number, fleet.PollResponse{
					Clock: idleResponse().Clock, StartTime: 1, Ended: []fleet.RunEnd{{Seq: 1, RunID: runID(1, 0, 1), Reason: fleet.EndedFailed}},
				})
			}
			p.Tick(epoch)
			actions := p.PopActions(epoch)
			records := actionsOf[RecordEnd](actions)
			require.Len(t, records, 1)
			lose(p, actionsOf[Poll](actions))
			p.PopActions(epoch)

			p.EndRecorded(epoch, records[0])
			outcomes := actionsOf[SendOutcome](p.PopActions(epoch))
			require.Len(t, outcomes, 1)
			assert.Equal(t, offer.Returned, outcomes[0].Outcome.Result)
			assert.Equal(t, offer.RunSet{1}, outcomes[0].Outcome.FailedRuns)
			assert.Equal(t, "w", outcomes[0].Outcome.Worker)
		})
	}
}

// Guards against a task that runs again after its end was acknowledged: the host
// of its job was lost just before the end, and this host had not read yet that the
// job is a stored one.
func TestEndOfWithdrawnRunIsRecorded(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	task := testTask(1, 0, 14, epoch)
	task.Stored = true
	p.Offer(epoch, task)
	startAll(p, epoch)
	p.Tick(epoch)
	polls := actionsOf[Poll](p.PopActions(epoch))
	require.Len(t, polls, 1)
	p.HostLost(epoch, "front")
	p.PollAnswered(epoch, "w", polls[0].Number, fleet.PollResponse{
		Clock: idleResponse().Clock, StartTime: 1, Ended: []fleet.RunEnd{{Seq: 1, RunID: runID(1, 0, 1), Reason: fleet.EndedDone}},
	})
	p.Tick(epoch)
	actions := p.PopActions(epoch)
	assert.Len(t, actionsOf[RecordEnd](actions), 1)
	for _, poll := range actionsOf[Poll](actions) {
		assert.Zero(t, poll.Acknowledged)
	}
}

// Guards against a task that runs again after its end was acknowledged: its worker
// had restarted, and the poll that followed the broken one acknowledged, by the
// numbers of the former incarnation, an end of the new one that nobody had read.
func TestPollAfterAFailureAcknowledgesNothing(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	started := startAll(p, epoch)
	endRuns(p, epoch, started)
	p.Tick(epoch)
	polls := actionsOf[Poll](p.PopActions(epoch))
	require.Len(t, polls, 1)
	require.Equal(t, int64(1), polls[0].Acknowledged)

	p.PollFailed(epoch, "w", polls[0].Number, fleet.CallClosed)
	checks := actionsOf[Poll](p.PopActions(epoch))
	require.Len(t, checks, 1)
	assert.Zero(t, checks[0].Acknowledged)

	p.PollAnswered(epoch, "w", checks[0].Number, fleet.PollResponse{Clock: idleResponse().Clock, StartTime: 1})
	p.Tick(epoch)
	polls = actionsOf[Poll](p.PopActions(epoch))
	require.Len(t, polls, 1)
	assert.Equal(t, int64(1), polls[0].Acknowledged, "the worker is the same")
}

// Guards against a task that runs again after its end was acknowledged: the store
// had been out of this host's reach, so that it had not read of the job when it
// took the worker over, and it had no stream to the job's host.
func TestEndOfAnUnknownJobIsHeldUntilTheLogIsRead(t *testing.T) {
	for name, stored := range map[string]bool{"stored job": true, "best-effort job": false} {
		t.Run(name, func(t *testing.T) {
			cfg := DefaultConfig(time.Second)
			logRead := false
			cfg.IsStored = func(string) bool { return stored && logRead }
			cfg.IsClassified = func(string, time.Time) bool { return logRead }
			p := NewPool(cfg)
			p.Adopt(epoch, testWorker("w", 32), 1)
			found := idleResponse()
			found.Ended = []fleet.RunEnd{{Seq: 1, RunID: runID(1, 0, 1), Reason: fleet.EndedDone}}
			p.PollAnswered(epoch, "w", actionsOf[Poll](p.PopActions(epoch))[0].Number, found)
			p.Tick(epoch)
			actions := p.PopActions(epoch)
			assert.Empty(t, actionsOf[RecordEnd](actions))
			polls := actionsOf[Poll](actions)
			require.Len(t, polls, 1)
			assert.Zero(t, polls[0].Acknowledged)

			logRead = true
			p.Tick(epoch.Add(100 * time.Millisecond))
			records := actionsOf[RecordEnd](p.PopActions(epoch.Add(100 * time.Millisecond)))
			w := p.workers["w"]
			if !stored {
				assert.Empty(t, records)
				assert.Equal(t, int64(1), w.acknowledgedSeq)
				return
			}
			require.Len(t, records, 1)
			assert.Zero(t, w.acknowledgedSeq, "not recorded yet")
			p.EndRecorded(epoch.Add(110*time.Millisecond), records[0])
			assert.Zero(t, w.acknowledgedSeq, "the job's host has not claimed it")
			p.Tick(w.leaseExpiry().Add(time.Millisecond))
			assert.Equal(t, int64(1), w.acknowledgedSeq, "an acknowledgement confirms nothing any more")
		})
	}
}

// Guards against a job that is shown as failed with attempts left: its next driver, which has
// read the failed end in the log, claims the run before the owner's record is confirmed.
func TestFailedEndThatTheClaimKnowsCountsOnce(t *testing.T) {
	id, claim := claimOf(true)
	claim.Task.MaxAttempts = 2
	cfg := DefaultConfig(testLease)
	cfg.IsStored = func(string) bool { return true }
	p := NewPool(cfg)
	p.Adopt(epoch, testWorker("w", 32), 7)
	p.PollAnswered(epoch, "w", actionsOf[Poll](p.PopActions(epoch))[0].Number, fleet.PollResponse{
		Clock: time.Minute, StartTime: 1, Ended: []fleet.RunEnd{{Seq: 1, RunID: id, Reason: fleet.EndedFailed}},
	})
	records := actionsOf[RecordEnd](p.PopActions(epoch))
	require.Len(t, records, 1)
	claim.Task.FailedRuns = offer.RunSet{id.Run}
	p.Claimed(epoch, claim)
	p.EndRecorded(epoch, records[0])
	sent := outcomes(p, epoch)
	require.Len(t, sent, 1)
	assert.Equal(t, offer.Returned, sent[0].Result)
	assert.Equal(t, offer.RunSet{id.Run}, sent[0].FailedRuns)
}
