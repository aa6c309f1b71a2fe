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
// stopped before the claim came: the job was never run again. The owner has read that the
// run was stopped, so that the host need not wait for the end of a lease either.
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
	assert.Equal(t, offer.Returned, sent[0].Result)
	assert.Equal(t, id.Run, sent[0].Run)
	assert.True(t, sent[0].MayHaveRun)
	p.Claimed(now, claim)
	sent = outcomes(p, now)
	require.Len(t, sent, 1)
	assert.Equal(t, offer.Orphaned, sent[0].Result, "of a run that is not known the end may be in the log")
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
	assert.Equal(t, offer.RunSet{1}, sent[0].FailedRuns)
}

// A second claim of a run that goes on must not end the wait for it.
func TestRepeatedClaimOfARunIsIgnored(t *testing.T) {
	id, claim := claimOf(false)
	p := newAdoptedPool(t, 16, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: runningList(id)})
	p.Claimed(epoch, claim)
	p.Claimed(epoch, claim)
	assert.Empty(t, outcomes(p, epoch))
}

// startedRun returns a pool with a run of a task that a host has offered.
func startedRun(t *testing.T, host string, stored bool) (*Pool, fleet.RunID) {
	t.Helper()
	p := newAdoptedPool(t, 16, idleResponse())
	task := testTask(1, 0, 8, epoch)
	task.Host, task.Stored = host, stored
	p.Offer(epoch, task)
	starts := actionsOf[Start](p.PopActions(epoch))
	require.Len(t, starts, 1)
	p.StartAnswered(epoch, "w", starts[0].Run, 7, fleet.StartAccepted, time.Minute)
	outcomes(p, epoch)
	return p, starts[0].Run
}

// foundRun returns a pool that has taken over a worker with a run of a stored job.
func foundRun(id fleet.RunID) *Pool {
	p := NewPool(DefaultConfig(testLease))
	p.cfg.IsStored = func(string) bool { return true }
	p.Adopt(epoch, testWorker("w", 16), 7)
	poll := actionsOf[Poll](p.PopActions(epoch))[0]
	p.PollAnswered(epoch, "w", poll.Number, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: runningList(id)})
	return p
}

// stopsAt returns the stops that the pool orders at a time.
func stopsAt(p *Pool, now time.Time) []Stop {
	p.Tick(now)
	return actionsOf[Stop](p.PopActions(now))
}

// While the driver of a stored job stood still for less than half a second, the next owner
// of the worker stopped its run after 150 ms.
func TestFoundRunOfAStoredJobWaitsForItsDriver(t *testing.T) {
	id, claim := claimOf(true)
	p := foundRun(id)
	deadline := epoch.Add(p.cfg.FoundRunHold)
	announced := 0
	for now := epoch; now.Before(deadline); now = now.Add(20 * time.Millisecond) {
		p.Tick(now)
		actions := p.PopActions(now)
		require.Empty(t, actionsOf[Stop](actions))
		for _, a := range actionsOf[AnnounceInventory](actions) {
			assert.Equal(t, []fleet.RunID{id}, a.Inventory.Running)
			announced++
		}
		for _, poll := range actionsOf[Poll](actions) {
			// A run that is not claimed must end although its stop is lost.
			assert.LessOrEqual(t, poll.LeaseUntil, time.Minute+deadline.Sub(epoch)+p.cfg.RenewBefore)
			if poll.Wait == 0 {
				p.PollAnswered(now, "w", poll.Number, fleet.PollResponse{Clock: time.Minute + now.Sub(epoch), StartTime: 1, Running: runningList(id)})
			}
		}
	}
	assert.Equal(t, int(p.cfg.FoundRunHold/announceInterval), announced, "the driver may miss an announcement")
	p.Claimed(deadline, claim)
	assert.Empty(t, stopsAt(p, deadline.Add(time.Second)))
}

func TestFoundRunThatNoDriverClaimsIsStopped(t *testing.T) {
	id, _ := claimOf(true)
	p := foundRun(id)
	p.Tick(epoch.Add(p.cfg.FoundRunHold))
	actions := p.PopActions(epoch)
	assert.Empty(t, actionsOf[Stop](actions))
	polls := actionsOf[Poll](actions)
	require.NotEmpty(t, polls)
	now := epoch.Add(p.cfg.FoundRunHold + time.Millisecond)
	require.Len(t, stopsAt(p, now), 1)
	p.StopAnswered(now, "w", id, true)
	p.PollAnswered(now, "w", polls[0].Number, fleet.PollResponse{
		Clock: 2 * time.Minute, StartTime: 1, Ended: []fleet.RunEnd{{RunID: id, Seq: 1, Reason: fleet.EndedStopped}},
	})
	// A driver that comes back later learns that the run is over.
	p.Tick(now)
	announced := actionsOf[AnnounceInventory](p.PopActions(now))
	require.Len(t, announced, 1)
	assert.Empty(t, announced[0].Inventory.Running)
}

// The runs of a host that is stopped as planned were stopped when its process ended.
func TestHandedOverRunWaitsForTheNextDriver(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		p, id := startedRun(t, "former", true)
		p.HandedOver(epoch, "other", 1, []fleet.RunID{id})
		p.HandedOver(epoch, "former", 1, []fleet.RunID{id})
		p.HostLost(epoch, "former")
		end := epoch.Add(p.cfg.HandoverHold)
		require.Empty(t, stopsAt(p, end))
		if !claimed {
			assert.Len(t, stopsAt(p, end.Add(time.Millisecond)), 1)
			continue
		}
		task := testTask(1, 0, 8, epoch)
		task.Host, task.Stored, task.NextRun = "next", true, id.Run+1
		p.Claimed(end, offer.Claim{Worker: "w", Task: task})
		sent := outcomes(p, end)
		require.Len(t, sent, 1)
		assert.Equal(t, "former", sent[0].Host, "a host that still waits must not do so for good")
		assert.Equal(t, offer.Orphaned, sent[0].Result)
		p.HostLost(end, "former")
		assert.Empty(t, stopsAt(p, end.Add(time.Millisecond)))
	}
}

// A driver that stood still for half a second came back and found all its runs stopped.
func TestRunOfASilentDriverGoesOnForAWhile(t *testing.T) {
	p, id := startedRun(t, "driver", true)
	p.HostLost(epoch, "driver")
	require.Empty(t, stopsAt(p, epoch.Add(p.cfg.SilentHostHold)))
	task := testTask(1, 0, 8, epoch)
	task.Host, task.Stored, task.NextRun = "driver", true, id.Run+1
	p.Claimed(epoch, offer.Claim{Worker: "w", Task: task})
	assert.Empty(t, stopsAt(p, epoch.Add(time.Minute)))

	p, _ = startedRun(t, "driver", true)
	p.HostLost(epoch, "driver")
	assert.Len(t, stopsAt(p, epoch.Add(p.cfg.SilentHostHold+time.Millisecond)), 1)

	p, _ = startedRun(t, "driver", false)
	p.HostLost(epoch, "driver")
	assert.Len(t, actionsOf[Stop](p.PopActions(epoch)), 1, "its caller submits the job elsewhere")
}

// A host that started under a planned stop of others adopted workers before it had streams
// to all hosts. Those that it reached a moment later did not learn of the runs that it had
// found, which it stopped as unclaimed.
func TestHostThatIsReachedLaterLearnsOfFoundRuns(t *testing.T) {
	id, claim := claimOf(false)
	p := foundRun(id)
	require.Len(t, actionsOf[AnnounceInventory](p.PopActions(epoch)), 1)
	now := epoch.Add(p.cfg.ClaimTimeout / 2)
	p.HostReached("late")
	announced := actionsOf[AnnounceInventory](p.PopActions(now))
	require.Len(t, announced, 1)
	assert.Equal(t, "late", announced[0].Host)
	assert.Equal(t, []fleet.RunID{id}, announced[0].Inventory.Running)
	p.Claimed(now, claim)
	assert.Empty(t, stopsAt(p, epoch.Add(p.cfg.ClaimTimeout+time.Millisecond)))
	p.HostReached("later")
	assert.Empty(t, actionsOf[AnnounceInventory](p.PopActions(now)), "nothing waits to be claimed")
}

// Guards against a stored job that waits for good: its driver had handed a run over, had driven
// the job again and had claimed the run, before the run's owner read the handover and stopped it.
func TestHandoverReadLateDoesNotEndALaterClaim(t *testing.T) {
	id, claim := claimOf(true)
	p := newAdoptedPool(t, 16, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: runningList(id)})
	claim.Task.Host, claim.Task.Takeover = "driver", 3
	p.Claimed(epoch, claim)
	for takeover, stopped := range map[int]bool{2: false, 3: true} {
		p.HandedOver(epoch, "driver", takeover, []fleet.RunID{id})
		assert.Equal(t, stopped, !p.workers["w"].runs[id].claimBy.IsZero(), "handed over under %d", takeover)
		p.Claimed(epoch, claim)
	}
}
