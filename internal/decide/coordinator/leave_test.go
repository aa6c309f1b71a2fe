package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// portTime is how long after the begin of a planned stop the callers' port ends.
const portTime = 5500 * time.Millisecond

// callerWaits is how long the callers of these tests wait.
const callerWaits = 20 * time.Second

// startedJob returns a coordinator with a job of one task that has started.
func startedJob(t *testing.T, estimate time.Duration) *Coordinator {
	c := coordinatorWithHosts(32)
	c.Submit(epoch, jobOf(1, estimate), testRoute, callerWaits)
	offers := actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	c.HandleOutcome(epoch, offers[0].Host, outcome(0, offer.Started, "w-h1", 1))
	return c
}

// Guards against jobs that are cut off without an answer when the callers' port of a
// stopping host ends.
func TestStartedJobIsAnsweredBeforeThePortEnds(t *testing.T) {
	c := startedJob(t, 10*time.Second)
	stop := epoch.Add(time.Second)
	c.Leave(stop, stop.Add(portTime))
	answerBy := stop.Add(portTime - answerTime)
	c.Tick(answerBy)
	require.Empty(t, actionsOf[Answer](c.PopActions()), "it may still end in time")
	c.Tick(answerBy.Add(time.Nanosecond))
	actions := c.PopActions()
	answers := actionsOf[Answer](actions)
	require.Len(t, answers, 1)
	assert.Equal(t, errkind.Timeout, answers[0].Err.Kind)
	assert.Equal(t, errkind.Unknown, answers[0].Err.Run)
	assert.Contains(t, answers[0].Summary.Why, "the host is stopping")
	assert.NotEmpty(t, actionsOf[Withdraw](actions))
}

// Guards against a stop that extends the time of a caller, or that recalls jobs earlier
// than their callers' time asks for.
func TestPlannedStopKeepsOtherTimes(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.Submit(epoch, jobOf(1, time.Second), testRoute, 2*time.Second)
	c.Leave(epoch, epoch.Add(portTime))
	c.Tick(epoch.Add(2*time.Second + time.Millisecond))
	assert.Len(t, actionsOf[Answer](c.PopActions()), 1)
	c = coordinatorWithHosts(0)
	route := testRoute
	route.Stretch = 2
	c.Submit(epoch, jobOf(1, 2*time.Second), route, callerWaits)
	c.Leave(epoch, epoch.Add(portTime))
	for _, at := range []time.Duration{1020 * time.Millisecond, 2400 * time.Millisecond} {
		c.Tick(epoch.Add(at))
	}
	assert.Empty(t, actionsOf[Recall](c.PopActions()))
}

// Guards against a stop that gives up a job whose run another owner still has: the
// claim arrives once the owner has listed its workers.
func TestOrphanedRunIsClaimedDuringAPlannedStop(t *testing.T) {
	c := startedJob(t, 10*time.Second)
	stop := epoch.Add(8 * time.Second)
	c.Leave(stop, stop.Add(portTime))
	c.HostLost(stop, "h1")
	c.Tick(stop.Add(50 * time.Millisecond))
	assert.Empty(t, actionsOf[Answer](c.PopActions()))
}

// refusalOf returns the one answer among actions, which must be a refusal because of a
// planned stop.
func refusalOf(t *testing.T, actions []Action) Answer {
	t.Helper()
	answers := actionsOf[Answer](actions)
	require.Len(t, answers, 1)
	a := answers[0]
	require.Equal(t, errkind.Stopping, a.Err.Kind)
	require.Equal(t, errkind.NotRun, a.Err.Run)
	require.Equal(t, Stopping, a.Summary.Refusal)
	require.GreaterOrEqual(t, a.RetryAfter, time.Second)
	return a
}

// Guards against jobs that a stopping host takes and holds until its port ends.
func TestStoppingHostRefusesJobsThatCannotEnd(t *testing.T) {
	left := portTime - answerTime
	for name, c := range map[string]struct {
		cores    int
		estimate time.Duration
		waits    time.Duration
		refused  bool
	}{
		"ends in time":                 {32, left - 2*crossZoneDelay, callerWaits, false},
		"ends too late":                {32, left, callerWaits, true},
		"ends too late after its wait": {0, left - 2*crossZoneDelay, callerWaits, true},
	} {
		co := coordinatorWithHosts(c.cores)
		co.Leave(epoch, epoch.Add(portTime))
		co.Submit(epoch, jobOf(1, c.estimate), testRoute, c.waits)
		actions := co.PopActions()
		if !c.refused {
			assert.Empty(t, actionsOf[Answer](actions), name)
			continue
		}
		refusalOf(t, actions)
		assert.Empty(t, actionsOf[Offer](actions), name)
	}
}

// Guards against jobs that wait for their start at a stopping host although they cannot
// end any more, and against refusing them before every owner has given back their tasks.
func TestWaitingJobIsRefusedOnceItCannotEndBeforeThePortEnds(t *testing.T) {
	for name, after := range map[string]time.Duration{"at the begin of the stop": 0, "later": 1100 * time.Millisecond} {
		c := coordinatorWithHosts(0)
		estimate := portTime - answerTime - after
		c.Submit(epoch, jobOf(2, estimate), testRoute, callerWaits)
		offers := actionsOf[Offer](c.PopActions())
		require.Len(t, offers, 2)
		c.Leave(epoch, epoch.Add(portTime))
		if after > 0 {
			c.Tick(epoch.Add(after - 2*crossZoneDelay))
			require.Empty(t, c.PopActions(), name)
			c.Tick(epoch.Add(after))
		}
		actions := c.PopActions()
		require.Len(t, actionsOf[Recall](actions), 2, name)
		require.Empty(t, actionsOf[Answer](actions), name)
		for _, o := range offers {
			assert.Empty(t, actionsOf[Answer](c.PopActions()), "an owner still has a task")
			returned := outcome(o.Tasks[0].Name.Index, offer.Returned, "", 0)
			returned.Run, returned.MayHaveRun = 0, false
			c.HandleOutcome(epoch.Add(after), o.Host, returned)
		}
		refusalOf(t, c.PopActions())
	}
}

// Guards against giving up a job that has started: run times are only estimated.
func TestStartedJobIsNotGivenUpEarlyInAPlannedStop(t *testing.T) {
	c := startedJob(t, 15*time.Second)
	c.Leave(epoch, epoch.Add(portTime))
	c.Tick(epoch.Add(portTime / 2))
	actions := c.PopActions()
	assert.Empty(t, actionsOf[Recall](actions))
	assert.Empty(t, actionsOf[Answer](actions))
}
