package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// lost returns the outcome of a run that was lost with worker w-h1.
func lost(run int, l quarantine.Loss) offer.Outcome {
	o := outcome(0, offer.Returned, "w-h1", 1)
	l.Run, l.Worker, l.Address, l.StartTime = run, "w-h1", "a1", 5
	o.Run, o.Loss = run, &l
	return o
}

// storedCoordinator returns a coordinator that drives a stored job of one task
// and has offered it.
func storedCoordinator(t *testing.T, losses ...quarantine.Loss) *Coordinator {
	t.Helper()
	c := coordinatorWithHosts(32)
	job := jobOf(1, 60*time.Millisecond)
	job.BestEffort = false
	c.SubmitStored(epoch, ledger.Drive{
		Job: job, Route: testRoute, FirstRun: 1,
		Lost: map[fleet.TaskName][]quarantine.Loss{{Job: testJob}: losses},
	})
	return c
}

// Guards against a best-effort job that takes one worker after the other away
// from all callers: its suspect was run again within its deadline.
func TestSuspectOfBestEffortJobIsNotRunAgain(t *testing.T) {
	for name, c := range map[string]struct {
		loss quarantine.Loss
		want bool
	}{
		"the run that started last": {quarantine.Loss{Fate: quarantine.Crashed}, true},
		"an older run":              {quarantine.Loss{Fate: quarantine.Crashed, Bystander: true}, false},
		"a worker that is silent":   {quarantine.Loss{}, false},
		"a worker that was leaving": {quarantine.Loss{Fate: quarantine.Survived}, false},
	} {
		t.Run(name, func(t *testing.T) {
			co := coordinatorWithHosts(32)
			co.Submit(epoch, jobOf(1, 60*time.Millisecond), testRoute, time.Second)
			first := actionsOf[Offer](co.PopActions())[0]
			co.HandleOutcome(epoch, first.Host, lost(1, c.loss))
			actions := co.PopActions()
			answers, offers := actionsOf[Answer](actions), actionsOf[Offer](actions)
			if !c.want {
				assert.Empty(t, answers)
				require.Len(t, offers, 1)
				assert.False(t, offers[0].Tasks[0].Exclusive)
				return
			}
			require.Len(t, answers, 1)
			assert.Equal(t, errkind.Timeout, answers[0].Err.Kind)
			assert.NotEqual(t, errkind.NotRun, answers[0].Err.Run, "a task has run")
			assert.Empty(t, offers)
		})
	}
}

func TestSuspectOfStoredJobRunsAlone(t *testing.T) {
	c := storedCoordinator(t)
	first := actionsOf[Offer](c.PopActions())[0]
	assert.False(t, first.Tasks[0].Exclusive)
	c.HandleOutcome(epoch, first.Host, lost(1, quarantine.Loss{Fate: quarantine.Crashed}))
	actions := c.PopActions()
	require.Len(t, actionsOf[RecordLoss](actions), 1, "the next driver must know of the loss")
	second := actionsOf[Offer](actions)
	require.Len(t, second, 1)
	assert.True(t, second[0].Tasks[0].Exclusive)

	c.HandleOutcome(epoch, second[0].Host, lost(2, quarantine.Loss{Fate: quarantine.Crashed, Alone: true}))
	actions = c.PopActions()
	assert.Empty(t, actionsOf[Offer](actions))
	answers := actionsOf[Answer](actions)
	require.Len(t, answers, 1)
	assert.True(t, answers[0].Failed)
}

// The fate of two silent workers must be known before a third one is risked.
func TestStoredTaskWaitsForTheFateOfLostWorkers(t *testing.T) {
	c := storedCoordinator(t)
	for run := range 2 {
		offers := actionsOf[Offer](c.PopActions())
		require.Len(t, offers, 1)
		c.HandleOutcome(epoch, offers[0].Host, lost(run+1, quarantine.Loss{}))
	}
	c.Tick(epoch.Add(time.Second))
	assert.Empty(t, actionsOf[Offer](c.PopActions()))

	// Both workers were only cut off.
	survivor := fleet.Worker{ID: "w-h1", Address: "a1", Service: "s", Zone: "z", StartTime: 5}
	for _, at := range []time.Duration{4 * time.Second, 6 * time.Second} {
		c.UpdateWorker(epoch.Add(at), survivor)
		c.Tick(epoch.Add(at))
	}
	offers := actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	assert.False(t, offers[0].Tasks[0].Exclusive)
}

// A new driver goes on with the losses that the former one recorded.
func TestNextDriverKnowsTheLosses(t *testing.T) {
	crash := quarantine.Loss{Run: 1, Worker: "w", Address: "a", StartTime: 5, Fate: quarantine.Crashed}
	c := storedCoordinator(t, crash)
	assert.True(t, actionsOf[Offer](c.PopActions())[0].Tasks[0].Exclusive)

	proof := crash
	proof.Run, proof.Alone = 2, true
	c = storedCoordinator(t, crash, proof)
	actions := c.PopActions()
	assert.Empty(t, actionsOf[Offer](actions))
	require.Len(t, actionsOf[Answer](actions), 1)
	assert.True(t, actionsOf[Answer](actions)[0].Failed)
}

// The suspects of one job run one after the other: all of them may crash workers.
func TestJobRisksOneWorkerAtATime(t *testing.T) {
	c := coordinatorWithHosts(32)
	job := jobOf(3, 60*time.Millisecond)
	job.BestEffort = false
	losses := map[fleet.TaskName][]quarantine.Loss{}
	for i := range 3 {
		losses[fleet.TaskName{Job: testJob, Index: i}] = []quarantine.Loss{{Run: 1, Fate: quarantine.Crashed}}
	}
	c.SubmitStored(epoch, ledger.Drive{Job: job, Route: testRoute, FirstRun: 2, Lost: losses})
	offers := actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	require.Len(t, offers[0].Tasks, 1)

	done := outcome(0, offer.Done, "w-h1", 1)
	done.Run = 2
	c.HandleOutcome(epoch, offers[0].Host, done)
	c.Tick(epoch)
	offers = actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	assert.Equal(t, 1, offers[0].Tasks[0].Name.Index)
}

func TestExclusiveTasksAreSpreadByCapacity(t *testing.T) {
	c := coordinatorWithHosts(32)
	large := reportOf("w-h2", 32)
	large.Capacity = 3 * large.Capacity
	c.UpdateHost(epoch, "h2", "z", large)
	hosts := map[string]int{}
	for range 4 {
		hosts[c.chooseExclusiveHost(epoch, &task{}).name]++
	}
	assert.Equal(t, map[string]int{"h1": 1, "h2": 3}, hosts)
}

// Guards against a best-effort job that crashes one more worker each time that
// its caller submits it again, to any host: its crashes were forgotten with it.
func TestResubmittedJobIsKnownToHaveCrashedWorkers(t *testing.T) {
	submit := func(c *Coordinator) []Action {
		c.Submit(epoch, jobOf(1, 60*time.Millisecond), testRoute, time.Second)
		return c.PopActions()
	}
	first := coordinatorWithHosts(32)
	offered := actionsOf[Offer](submit(first))[0]
	first.HandleOutcome(epoch, offered.Host, lost(1, quarantine.Loss{Fate: quarantine.Crashed}))
	shared := actionsOf[ShareLoss](first.PopActions())
	require.Len(t, shared, 1)

	second := coordinatorWithHosts(32)
	second.LossShared(epoch, shared[0].Task, shared[0].Loss)
	for name, c := range map[string]*Coordinator{"the same host": first, "another host": second} {
		t.Run(name, func(t *testing.T) {
			offers := actionsOf[Offer](submit(c))
			require.Len(t, offers, 1)
			assert.True(t, offers[0].Tasks[0].Exclusive)
			proof := lost(1, quarantine.Loss{Fate: quarantine.Crashed, Alone: true})
			proof.Loss.StartTime++
			c.HandleOutcome(epoch, offers[0].Host, proof)
			answers := actionsOf[Answer](c.PopActions())
			require.Len(t, answers, 1)
			assert.Equal(t, errkind.TaskFailed, answers[0].Err.Kind)

			actions := submit(c)
			assert.Empty(t, actionsOf[Offer](actions), "no further worker is risked")
			require.Len(t, actionsOf[Answer](actions), 1)
			assert.Equal(t, errkind.TaskFailed, actionsOf[Answer](actions)[0].Err.Kind)
		})
	}
}

func TestFormerLossesAreBounded(t *testing.T) {
	c := coordinatorWithHosts(32)
	for i := range maxFormerLosses + 1 {
		c.LossShared(epoch, fleet.TaskName{Job: fmt.Sprintf("%016x", i)}, quarantine.Loss{Fate: quarantine.Crashed})
	}
	assert.Equal(t, maxFormerLosses, len(c.former))
	c.LossShared(epoch.Add(formerLossTTL), fleet.TaskName{Job: "b000000000000000"}, quarantine.Loss{Fate: quarantine.Crashed})
	assert.Equal(t, 1, len(c.former), "expired entries make room")
}
