package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// A run of a former submission of a best-effort job, listed late, was claimed for the
// present one, while the owner that had been offered the task ran it too.
func TestRunOfAFormerSubmissionIsNotClaimed(t *testing.T) {
	former := fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: 1}
	for _, started := range []bool{false, true} {
		c := coordinatorWithHosts(32)
		c.Submit(epoch, jobOf(1, 2*time.Second), testRoute, 0)
		offers := actionsOf[Offer](c.PopActions())
		require.Len(t, offers, 1)
		if started {
			c.HandleOutcome(epoch, offers[0].Host, outcome(0, offer.Started, "w-"+offers[0].Host, 1))
		}
		c.HandleInventory(epoch, "other", offer.Inventory{Worker: "w9", Fence: 8, Running: []fleet.RunID{former}})
		assert.Empty(t, actionsOf[Claim](c.PopActions()), "started: %v", started)

		// The owner that has the task still reports it.
		c.HandleOutcome(epoch, offers[0].Host, outcome(0, offer.Done, "w-"+offers[0].Host, 1))
		answers := actionsOf[Answer](c.PopActions())
		require.Len(t, answers, 1)
		assert.Nil(t, answers[0].Err)
	}
}

// A run that is known to be on a worker is claimed at the worker's next owner.
func TestRunOfThisSubmissionIsClaimed(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.Submit(epoch, jobOf(1, 2*time.Second), testRoute, 0)
	owner := actionsOf[Offer](c.PopActions())[0].Host
	c.HandleOutcome(epoch, owner, outcome(0, offer.Started, "w-"+owner, 1))
	c.HostLost(epoch, owner)
	c.HandleInventory(epoch, "other", offer.Inventory{
		Worker: "w-" + owner, Fence: 8, Running: []fleet.RunID{{Task: fleet.TaskName{Job: testJob}, Run: 1}},
	})
	assert.Len(t, actionsOf[Claim](c.PopActions()), 1)
}

// A report about a run of a former submission, which the owner made while the host of the
// job stood still, returned the task of the present one, which ran at the same owner.
func TestReportAboutAFormerSubmissionIsIgnored(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.HostLost(epoch, "h2")
	c.Submit(epoch, jobOf(1, 2*time.Second), testRoute, 0)
	former := actionsOf[Offer](c.PopActions())[0]
	c.Cancel(epoch, testJob, "the caller disconnected")
	c.PopActions()
	c.Submit(epoch, jobOf(1, 2*time.Second), testRoute, 0)
	present := actionsOf[Offer](c.PopActions())[0]
	require.Equal(t, former.Host, present.Host)

	report := outcome(0, offer.Returned, "w-"+former.Host, 1)
	report.Submission = former.Tasks[0].Submission
	c.HandleOutcome(epoch, former.Host, report)
	assert.Empty(t, actionsOf[Offer](c.PopActions()))

	report.Submission = present.Tasks[0].Submission
	c.HandleOutcome(epoch, present.Host, report)
	c.Tick(epoch.Add(time.Second))
	assert.Len(t, actionsOf[Offer](c.PopActions()), 1)
}

// The end of a run of a former submission completed the task, and the host that had been
// offered the task for the present one was not told: it ran the task for nobody.
func TestDoneOfAFormerSubmissionWithdrawsThePresentRun(t *testing.T) {
	for _, started := range []bool{false, true} {
		c := coordinatorWithHosts(32)
		c.Submit(epoch, jobOf(1, 2*time.Second), testRoute, 0)
		former := actionsOf[Offer](c.PopActions())[0]
		c.Cancel(epoch, testJob, "the caller disconnected")
		c.PopActions()
		c.HostLost(epoch, former.Host)
		c.Submit(epoch, jobOf(1, 2*time.Second), testRoute, 0)
		present := actionsOf[Offer](c.PopActions())[0]
		require.NotEqual(t, former.Host, present.Host)
		if started {
			c.HandleOutcome(epoch, present.Host, outcome(0, offer.Started, "w-"+present.Host, 1))
			c.PopActions()
		}

		done := outcome(0, offer.Done, "w-"+former.Host, 1)
		done.Submission = former.Tasks[0].Submission
		c.HandleOutcome(epoch, former.Host, done)
		actions := c.PopActions()
		require.Len(t, actionsOf[Answer](actions), 1)
		withdrawn := len(actionsOf[Withdraw](actions)) + len(actionsOf[WithdrawTask](actions))
		assert.Positive(t, withdrawn, "started: %v", started)
	}
}

// A host that had stood still offered tasks of callers that had left meanwhile.
func TestTasksAreOfferedOnceTheEndsOfCallersHaveBeenRead(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.Submit(epoch, jobOf(1, 2*time.Second), testRoute, 0)
	owner := actionsOf[Offer](c.PopActions())[0].Host
	thaw := epoch.Add(600 * time.Millisecond)
	c.StoodStill(thaw)
	report := outcome(0, offer.Returned, "w-"+owner, 1)
	c.HandleOutcome(thaw, owner, report)
	c.Tick(thaw.Add(SettleTime - time.Millisecond))
	assert.Empty(t, actionsOf[Offer](c.PopActions()), "the caller may have left")
	c.Tick(thaw.Add(SettleTime))
	assert.Len(t, actionsOf[Offer](c.PopActions()), 1)
}
