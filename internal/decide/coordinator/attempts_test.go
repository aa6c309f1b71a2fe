package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// A last failed end that a worker's next owner found, or that another host recorded in
// the log, was not compared with the attempts that the queue allows: the task started
// once more.
func TestTaskWithoutAttemptsLeftIsNotOfferedAgain(t *testing.T) {
	name := fleet.TaskName{Job: testJob}
	run := func(n int) fleet.RunID { return fleet.RunID{Task: name, Run: n} }
	inventory := func(runs ...int) func(*Coordinator) {
		return func(c *Coordinator) {
			inv := offer.Inventory{Worker: "w-h1", Fence: 2}
			for _, n := range runs {
				inv.Ended = append(inv.Ended, fleet.RunEnd{Seq: int64(n), RunID: run(n), Reason: fleet.EndedFailed})
			}
			c.HandleInventory(epoch, "h2", inv)
		}
	}
	recorded := func(n int) func(*Coordinator) {
		return func(c *Coordinator) { c.FailureRecorded(epoch, run(n)) }
	}
	for title, c := range map[string]struct {
		ends []func(*Coordinator)
		want bool
	}{
		"found by the next owner":                       {[]func(*Coordinator){inventory(2)}, true},
		"recorded by another host":                      {[]func(*Coordinator){recorded(2)}, true},
		"found and recorded, only the first run":        {[]func(*Coordinator){inventory(1), recorded(1)}, false},
		"the first run found again":                     {[]func(*Coordinator){inventory(1), inventory(1)}, false},
		"the first run found, the second also recorded": {[]func(*Coordinator){inventory(1, 2), recorded(2)}, true},
	} {
		t.Run(title, func(t *testing.T) {
			co := coordinatorWithHosts(32)
			job := jobOf(1, 60*time.Millisecond)
			job.BestEffort = false
			route := testRoute
			route.MaxAttempts = 2
			co.SubmitStored(epoch, ledger.Drive{Job: job, Route: route, FirstRun: 1})
			offered := actionsOf[Offer](co.PopActions())
			require.Len(t, offered, 1)
			host := offered[0].Host
			failed := outcome(0, offer.Returned, "w-h1", 1)
			failed.Run, failed.FailedRuns = 1, offer.RunSet{1}
			co.HandleOutcome(epoch, host, failed)
			again := actionsOf[Offer](co.PopActions())
			require.Len(t, again, 1)
			started := outcome(0, offer.Started, "w-h1", 1)
			started.Run, started.FailedRuns = 2, offer.RunSet{1}
			co.HandleOutcome(epoch, again[0].Host, started)
			co.PopActions()
			for _, end := range c.ends {
				end(co)
			}
			co.HostLost(epoch, again[0].Host)
			co.SetLogReadTime(epoch.Add(time.Minute))
			co.Tick(epoch.Add(30 * time.Second))
			actions := co.PopActions()
			answers := actionsOf[Answer](actions)
			if !c.want {
				assert.Empty(t, answers)
				return
			}
			assert.Empty(t, actionsOf[Offer](actions))
			require.Len(t, answers, 1)
			assert.True(t, answers[0].Failed)
			assert.Equal(t, errkind.TaskFailed, answers[0].Err.Kind)
		})
	}
}

// Guards against a job that is shown as failed with attempts left: the handover of its former
// driver listed a run as going on that the log had as failed, and the next driver counted it again
// when it was found on its worker.
func TestFailedRunOfAFormerDriverCountsOnce(t *testing.T) {
	c := coordinatorWithHosts(32)
	route := testRoute
	route.MaxAttempts = 2
	run := fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: 1}
	c.SubmitStored(epoch, ledger.Drive{
		Job: storedJob(1), Route: route, FirstRun: 101, FailedRuns: map[fleet.TaskName]offer.RunSet{run.Task: {1}},
		Running: []ledger.HandedRun{{RunID: run, Owner: "h1", Worker: "w-h1", Fence: 5}},
	})
	claims := actionsOf[Claim](c.PopActions())
	require.Len(t, claims, 1)
	assert.Equal(t, offer.RunSet{1}, claims[0].Claim.Task.FailedRuns)
	c.HandleInventory(epoch, "h2", offer.Inventory{Worker: "w-h1", Fence: 6, Ended: []fleet.RunEnd{{Seq: 1, RunID: run, Reason: fleet.EndedFailed}}})
	c.SetLogReadTime(epoch.Add(time.Minute))
	c.Tick(epoch.Add(30 * time.Second))
	actions := c.PopActions()
	assert.Empty(t, actionsOf[Answer](actions))
	offers := actionsOf[Offer](actions)
	require.Len(t, offers, 1)
	assert.Equal(t, offer.RunSet{1}, offers[0].Tasks[0].FailedRuns)
}
