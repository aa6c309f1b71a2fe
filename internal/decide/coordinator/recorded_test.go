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

// Guards against a task that runs again after it was shown as done: a driver had
// offered it to a host, then read the end of an earlier run in the log, and left
// the offer there.
func TestOfferOfTaskThatIsDoneIsTakenBack(t *testing.T) {
	name := fleet.TaskName{Job: testJob}
	for title, c := range map[string]struct {
		started  bool
		recorded int
		want     bool
	}{
		"an earlier run, the next one offered":    {false, 100, true},
		"an earlier run, the next one started":    {true, 100, true},
		"the run offered, its start not reported": {false, 101, false},
		"the run that was started":                {true, 101, false},
	} {
		t.Run(title, func(t *testing.T) {
			co := coordinatorWithHosts(32)
			job := jobOf(1, 60*time.Millisecond)
			job.BestEffort = false
			co.SubmitStored(epoch, ledger.Drive{Job: job, Route: testRoute, FirstRun: 101})
			offered := actionsOf[Offer](co.PopActions())
			require.Len(t, offered, 1)
			if c.started {
				o := outcome(0, offer.Started, "w-h1", 1)
				o.Run = 101
				co.HandleOutcome(epoch, offered[0].Host, o)
			}
			co.TaskRecorded(epoch, fleet.RunID{Task: name, Run: c.recorded})
			withdrawn := actionsOf[WithdrawTask](co.PopActions())
			if c.want {
				assert.Equal(t, []WithdrawTask{{Host: offered[0].Host, Task: name}}, withdrawn)
			} else {
				assert.Empty(t, withdrawn)
			}
		})
	}
}

// Guards against an accepted job that is never finished: a new owner of its
// worker had not read yet that the job is a stored one, and acknowledged the end of
// its run without recording it.
func TestEndInAnInventoryIsRecordedByTheDriver(t *testing.T) {
	c := storedCoordinator(t)
	offered := actionsOf[Offer](c.PopActions())
	c.HandleOutcome(epoch, offered[0].Host, outcome(0, offer.Started, "w-h1", 1))
	run := fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: 1}
	c.HandleInventory(epoch, "h2", offer.Inventory{Worker: "w-h1", Fence: 2, Ended: []fleet.RunEnd{{Seq: 1, RunID: run, Reason: fleet.EndedDone}}})
	actions := c.PopActions()
	assert.Equal(t, []RecordEnd{{RunID: run, Reason: fleet.EndedDone}}, actionsOf[RecordEnd](actions))
	assert.Empty(t, actionsOf[Answer](actions), "the end is not in the log yet")
	c.TaskRecorded(epoch, run)
	assert.Len(t, actionsOf[Answer](c.PopActions()), 1)
}

// Guards against two runs of a task at the same time: the host that the task was offered
// to reported the end of an earlier run late, and the task was offered once more.
func TestLateReportOfAFormerRunEndsNoOffer(t *testing.T) {
	for _, result := range []offer.Result{offer.Returned, offer.Orphaned, offer.Failed} {
		t.Run(result.String(), func(t *testing.T) {
			c := storedCoordinator(t)
			offered := actionsOf[Offer](c.PopActions())
			require.Len(t, offered, 1)
			owner := offered[0].Host
			lost := outcome(0, offer.Returned, "w-"+owner, 1)
			c.HandleOutcome(epoch, owner, lost)
			again := actionsOf[Offer](c.PopActions())
			require.Len(t, again, 1)
			require.Equal(t, 2, again[0].Tasks[0].NextRun)
			late := outcome(0, result, "w-"+again[0].Host, 1)
			late.FailedRuns = offer.RunSet{1}
			c.HandleOutcome(epoch, again[0].Host, late)
			c.Tick(epoch.Add(time.Minute))
			assert.Empty(t, actionsOf[Offer](c.PopActions()))
			assert.Empty(t, actionsOf[Answer](c.PopActions()))
			_, task := c.find(late.Task)
			assert.Equal(t, offer.RunSet{1}, task.failedRuns, "the failure counts all the same")
		})
	}
}

// Guards against two runs of a task at the same time: a report that a run may go on, with more
// failed runs than the driver knows of, must not be taken for the end of that run.
func TestCountOfFailuresDoesNotEndAnOrphanedRun(t *testing.T) {
	c := storedCoordinator(t)
	offered := actionsOf[Offer](c.PopActions())
	require.Len(t, offered, 1)
	owner := offered[0].Host
	c.HandleOutcome(epoch, owner, outcome(0, offer.Started, "w-"+owner, 1))
	orphaned := outcome(0, offer.Orphaned, "w-"+owner, 1)
	orphaned.FailedRuns, orphaned.MaxRemaining = offer.RunSet{101}, time.Second
	c.HandleOutcome(epoch, owner, orphaned)
	c.Tick(epoch)
	assert.Empty(t, actionsOf[Offer](c.PopActions()))
}

// Guards against a task that waits for good: the worker of a claimed run was lost to its owner
// before the log confirmed the record of the failed end, so that the owner had nothing to report.
func TestRecordedFailureEndsTheWaitForAClaimedRun(t *testing.T) {
	c := storedCoordinator(t)
	owner := actionsOf[Offer](c.PopActions())[0].Host
	c.HandleOutcome(epoch, owner, outcome(0, offer.Started, "w-"+owner, 1))
	run := fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: 1}
	c.FailureRecorded(epoch, run)
	offers := actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	assert.Equal(t, 2, offers[0].Tasks[0].NextRun)
	again := outcome(0, offer.Returned, "w-"+owner, 1)
	again.FailedRuns = offer.RunSet{1}
	c.HandleOutcome(epoch, owner, again)
	c.Tick(epoch.Add(time.Second))
	assert.Empty(t, actionsOf[Offer](c.PopActions()), "the owner's report of that end is late")
}

// Guards against two runs of a task at once: the answer to a claim that a host made before it
// handed the job over must not end its wait for a run that it has claimed again since.
func TestAnswerToAFormerClaimDoesNotEndThePresentOne(t *testing.T) {
	c := coordinatorWithHosts(32)
	run := ledger.HandedRun{RunID: fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: 3}, Owner: "h1", Worker: "w-h1", Fence: 5}
	drive := ledger.Drive{Job: storedJob(1), Route: testRoute, FirstRun: 101, Takeover: 1, Running: []ledger.HandedRun{run}}
	c.SubmitStored(epoch, drive)
	former := actionsOf[Claim](c.PopActions())[0].Claim.Task
	c.LetGoStored(epoch, []string{testJob})
	drive.Takeover = 3
	c.SubmitStored(epoch, drive)
	present := actionsOf[Claim](c.PopActions())[0].Claim.Task
	assert.Equal(t, 3, present.Takeover)
	returned := offer.Outcome{Task: run.Task, Run: 3, Result: offer.Orphaned, MayHaveRun: true}
	for _, answered := range []offer.Task{former, present} {
		returned.Submission = answered.Submission
		c.HandleOutcome(epoch, "h1", returned)
		c.SetLogReadTime(epoch.Add(time.Minute))
		c.Tick(epoch.Add(30 * time.Second))
		assert.Equal(t, answered.Submission == present.Submission, len(actionsOf[Offer](c.PopActions())) == 1)
	}
}
