package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// The worker's next owner listed the end of a run before its former owner had reported the
// start. The report that the run was orphaned then counted as one about an earlier run, and
// the driver waited for the former owner for good.
func TestEndInAnInventoryDoesNotHideTheOwnersReport(t *testing.T) {
	c := coordinatorWithHosts(32)
	job := jobOf(1, 900*time.Millisecond)
	job.BestEffort = false
	c.SubmitStored(epoch, ledger.Drive{Job: job, Route: testRoute, FirstRun: 1})
	offers := actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	run := fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: 1}
	c.HandleInventory(epoch, "h3", offer.Inventory{
		Worker: "w", Fence: 5, Ended: []fleet.RunEnd{{RunID: run, Seq: 1, Reason: fleet.EndedLeaseExpired}},
	})
	c.HandleOutcome(epoch, offers[0].Host, outcome(0, offer.Orphaned, "w", 2))
	c.PopActions()
	later := epoch.Add(10 * time.Second)
	c.SetLogReadTime(later)
	c.Tick(later)
	assert.Len(t, actionsOf[Offer](c.PopActions()), 1, "nobody has the task")
}

// Guards against two runs of one task at once: the next owner of a worker does not see a run
// that the former one has ordered to stop and that has not ended yet.
func TestRunMissingFromAnInventoryMayBeStopping(t *testing.T) {
	const stopTime = 50 * time.Millisecond
	for _, bestEffort := range []bool{true, false} {
		c := coordinatorWithHosts(32)
		c.cfg.StopTime = stopTime
		job := jobOf(1, 60*time.Millisecond)
		job.BestEffort = bestEffort
		if bestEffort {
			c.Submit(epoch, job, testRoute, time.Second)
		} else {
			c.SubmitStored(epoch, ledger.Drive{Job: job, Route: testRoute, FirstRun: 1})
		}
		offers := actionsOf[Offer](c.PopActions())
		require.Len(t, offers, 1)
		c.HandleOutcome(epoch, offers[0].Host, outcome(0, offer.Started, "w", 1))
		c.HandleInventory(epoch, "h3", offer.Inventory{Worker: "w", Fence: 8})
		c.SetLogReadTime(epoch.Add(stopTime))
		c.Tick(epoch.Add(stopTime))
		require.Empty(t, actionsOf[Offer](c.PopActions()), "the run may still be stopping")
		later := epoch.Add(stopTime + 10*time.Millisecond)
		c.SetLogReadTime(later)
		c.Tick(later)
		require.Len(t, actionsOf[Offer](c.PopActions()), 1)
	}
}

// Guards against two runs of one task: the next owner of its worker had not read all ends
// yet, and the run was among those that were still to come.
func TestRunMissingFromAPartOfTheEndsIsAwaited(t *testing.T) {
	c := coordinatorWithHosts(32)
	job := jobOf(1, 60*time.Millisecond)
	job.BestEffort = false
	c.SubmitStored(epoch, ledger.Drive{Job: job, Route: testRoute, FirstRun: 1})
	owner := actionsOf[Offer](c.PopActions())[0].Host
	c.HandleOutcome(epoch, owner, outcome(0, offer.Started, "w", 1))
	c.HandleOutcome(epoch, owner, outcome(0, offer.Orphaned, "w", 1))
	partial := offer.Inventory{Worker: "w", Fence: 8, MoreEnds: true}
	now := epoch
	for range 5 {
		now = now.Add(time.Second)
		c.HandleInventory(now, "h3", partial)
		c.SetLogReadTime(now)
		c.Tick(now)
		require.Empty(t, actionsOf[Offer](c.PopActions()), "the run may have ended")
	}
	run := fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: 1}
	c.HandleInventory(now, "h3", offer.Inventory{Worker: "w", Fence: 8, Ended: []fleet.RunEnd{{RunID: run, Seq: 501, Reason: fleet.EndedDone}}})
	claims := actionsOf[Claim](c.PopActions())
	require.Len(t, claims, 1)
	require.Equal(t, run, claims[0].Claim.Run())
}
