package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// If a held job's times counted from its submission, its owner would start others
// first, and the job would go on after its caller has gone.
func TestHeldJobKeepsTimesOfItsArrival(t *testing.T) {
	const timeout, heldFor = 400 * time.Millisecond, 40 * time.Millisecond
	spec := jobOf(1, 60*time.Millisecond)
	direct, held := coordinatorWithHosts(32), coordinatorWithHosts(32)
	direct.Submit(epoch, spec, testRoute, timeout)
	held.SubmitHeld(epoch.Add(heldFor), heldFor, spec, testRoute, timeout)
	want, got := actionsOf[Offer](direct.PopActions()), actionsOf[Offer](held.PopActions())
	require.Len(t, want, 1)
	require.Len(t, got, 1)
	assert.Equal(t, want[0].Tasks[0].StartBy, got[0].Tasks[0].StartBy)
	assert.Equal(t, want[0].Tasks[0].Deadline, got[0].Tasks[0].Deadline)
	held.Tick(epoch.Add(timeout - replyTime - time.Millisecond))
	assert.Empty(t, actionsOf[Answer](held.PopActions()))
	held.Tick(epoch.Add(timeout - replyTime + time.Millisecond))
	require.Len(t, actionsOf[Answer](held.PopActions()), 1)
}

// A job whose timeout passed while it was held must not run without a limit: a timeout
// of zero means that the caller named none.
func TestHeldJobPastItsTimeoutIsNotRun(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.SubmitHeld(epoch.Add(time.Second), time.Second, jobOf(1, 60*time.Millisecond), testRoute, time.Second)
	actions := c.PopActions()
	assert.Empty(t, actionsOf[Offer](actions))
	answers := actionsOf[Answer](actions)
	require.Len(t, answers, 1)
	assert.Equal(t, errkind.NotRun, answers[0].Err.Run)
}

func TestJobBoundsAreThoseOfSubmit(t *testing.T) {
	route := testRoute
	spec := jobOf(2, 100*time.Millisecond)
	for _, c := range []struct{ route, caller, want time.Duration }{
		{0, 0, defaultTimeout},
		{2 * time.Second, 0, 2 * time.Second},
		{2 * time.Second, 3 * time.Second, 3 * time.Second},
	} {
		route.Timeout = c.route
		bounds := JobBounds(spec, route, c.caller)
		assert.Equal(t, Bounds{Objective: 220 * time.Millisecond, CriticalPath: 100 * time.Millisecond, Timeout: c.want}, bounds)
		submitted := coordinatorWithHosts(32)
		submitted.Submit(epoch, spec, route, c.caller)
		j := submitted.jobs[testJob]
		require.NotNil(t, j)
		assert.Equal(t, bounds, Bounds{j.objective, j.criticalPath, j.deadline.Sub(j.arrived)})
	}
}
