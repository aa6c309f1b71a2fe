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

func storedJob(tasks int) fleet.Job {
	job := jobOf(tasks, 60*time.Millisecond)
	job.BestEffort = false
	return job
}

// A driver that hands a job over must neither start a task after it has listed the runs,
// nor stop the runs that it has listed.
func TestDriverListsRunsAndLetsThemGoOn(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.SubmitStored(epoch, ledger.Drive{Job: storedJob(4), Route: testRoute, FirstRun: 1})
	hosts := map[int]string{}
	for _, o := range actionsOf[Offer](c.PopActions()) {
		for _, task := range o.Tasks {
			hosts[task.Name.Index] = o.Host
		}
	}
	require.Len(t, hosts, 4)
	report := func(index int, result offer.Result) {
		c.HandleOutcome(epoch, hosts[index], outcome(index, result, "w-"+hosts[index], 5))
	}
	report(0, offer.Started)
	ids := []string{testJob}
	c.PauseStored(ids)
	assert.NotEmpty(t, actionsOf[Recall](c.PopActions()))
	report(1, offer.Started)
	back := outcome(2, offer.Returned, "", 0)
	back.Run, back.MayHaveRun = 0, false
	c.HandleOutcome(epoch, hosts[2], back)
	c.Tick(epoch.Add(time.Second))
	assert.Empty(t, actionsOf[Offer](c.PopActions()))
	running, unsettled := c.StoredRuns(ids)
	name := func(index int) fleet.TaskName { return fleet.TaskName{Job: testJob, Index: index} }
	assert.Equal(t, []ledger.HandedRun{
		{RunID: fleet.RunID{Task: name(0), Run: 1}, Owner: hosts[0], Worker: "w-" + hosts[0], Fence: 5},
		{RunID: fleet.RunID{Task: name(1), Run: 1}, Owner: hosts[1], Worker: "w-" + hosts[1], Fence: 5},
	}, running)
	assert.Equal(t, []fleet.TaskName{name(3)}, unsettled)

	c.HandoverListed(ids)
	c.HandleInventory(epoch, "h3", offer.Inventory{Worker: "w-" + hosts[0], Fence: 6, Running: []fleet.RunID{{Task: name(0), Run: 1}}})
	assert.Empty(t, actionsOf[Claim](c.PopActions()), "the next driver claims the run")
	c.LetGoStored(epoch, ids)
	actions := c.PopActions()
	assert.Empty(t, actionsOf[Withdraw](actions))
	assert.Equal(t, []WithdrawTask{{Host: hosts[3], Task: name(3)}}, actionsOf[WithdrawTask](actions))
	assert.Zero(t, c.Len())
}

// The next driver must wait for the end of a run that it was handed, whoever tells it.
func TestNextDriverClaimsHandedOverRuns(t *testing.T) {
	name := func(index int) fleet.TaskName { return fleet.TaskName{Job: testJob, Index: index} }
	run := func(index int, owner string) ledger.HandedRun {
		return ledger.HandedRun{RunID: fleet.RunID{Task: name(index), Run: 3}, Owner: owner, Worker: "w-h1", Fence: 5}
	}
	c := coordinatorWithHosts(32)
	c.HostLost(epoch, "h2")
	c.SubmitStored(epoch, ledger.Drive{
		Job: storedJob(5), Route: testRoute, FirstRun: 101, Done: []fleet.TaskName{name(4)},
		Running:   []ledger.HandedRun{run(0, "h1"), run(1, "h2"), run(2, ""), run(4, "h1")},
		Unsettled: []fleet.TaskName{name(3)},
	})
	actions := c.PopActions()
	assert.Empty(t, actionsOf[Offer](actions))
	claims := actionsOf[Claim](actions)
	require.Len(t, claims, 1, "the others' owners have no contact with the run or with this host")
	assert.Equal(t, "h1", claims[0].Host)
	assert.Equal(t, name(0), claims[0].Claim.Task.Name)
	assert.Equal(t, 4, claims[0].Claim.Task.NextRun)

	c.HandleInventory(epoch, "h1", offer.Inventory{Worker: "w-h1", Fence: 6, Running: []fleet.RunID{run(2, "").RunID}})
	actions = c.PopActions()
	require.Len(t, actionsOf[Claim](actions), 1)
	assert.Equal(t, name(2), actionsOf[Claim](actions)[0].Claim.Task.Name)

	late := epoch.Add(c.orphanTimeout() + takeoverTime)
	c.SetLogReadTime(late.Add(time.Millisecond))
	c.Tick(late.Add(time.Millisecond))
	offered := map[int]int{}
	for _, o := range actionsOf[Offer](c.PopActions()) {
		for _, task := range o.Tasks {
			offered[task.Name.Index] = task.NextRun
		}
	}
	assert.Equal(t, 102, offered[3], "above any run of the former driver")
	assert.Equal(t, 5, offered[1])
	assert.NotContains(t, offered, 2)
}

// The log may tell of the end of a failed run before its worker's owner answers the claim.
func TestRecordedFailureEndsTheWaitForARun(t *testing.T) {
	c := coordinatorWithHosts(32)
	run := ledger.HandedRun{RunID: fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: 3}, Owner: "h1", Worker: "w-h1", Fence: 5}
	for _, recordedFirst := range []bool{true, false} {
		c.ReleaseStored(epoch, testJob, "")
		c.SubmitStored(epoch, ledger.Drive{Job: storedJob(1), Route: testRoute, FirstRun: 101, Running: []ledger.HandedRun{run}})
		c.PopActions()
		orphaned := outcome(0, offer.Orphaned, "", 0)
		orphaned.Run = 3
		if recordedFirst {
			c.FailureRecorded(epoch, run.RunID)
			c.HandleOutcome(epoch, "h1", orphaned)
		} else {
			c.HandleOutcome(epoch, "h1", orphaned)
			c.FailureRecorded(epoch, run.RunID)
		}
		assert.Len(t, actionsOf[Offer](c.PopActions()), 1, "recorded first: %v", recordedFirst)
	}
}

// Guards against a task that starts twice: an offer that a host had returned when this host drove
// the job before was taken for the present one, which that host still had.
func TestReturnOfAFormerOfferIsIgnored(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.SubmitStored(epoch, ledger.Drive{Job: storedJob(1), Route: testRoute, FirstRun: 1, Takeover: 1})
	former := actionsOf[Offer](c.PopActions())
	require.Len(t, former, 1)
	c.ReleaseStored(epoch, testJob, "membership not confirmed")
	c.UpdateHost(epoch, "h1", "z", reportOf("w-h1", 32))
	c.PopActions()
	c.SubmitStored(epoch, ledger.Drive{Job: storedJob(1), Route: testRoute, FirstRun: 101, Takeover: 2})
	present := actionsOf[Offer](c.PopActions())
	require.Len(t, present, 1)
	require.Equal(t, former[0].Host, present[0].Host)

	returned := func(o Offer) offer.Outcome {
		task := o.Tasks[0]
		return offer.Outcome{Host: task.Host, Task: task.Name, Submission: task.Submission, Run: task.NextRun - 1, Result: offer.Returned}
	}
	c.HandleOutcome(epoch, present[0].Host, returned(former[0]))
	assert.Empty(t, actionsOf[Offer](c.PopActions()))
	c.HandleOutcome(epoch, present[0].Host, returned(present[0]))
	assert.Len(t, actionsOf[Offer](c.PopActions()), 1)
}
