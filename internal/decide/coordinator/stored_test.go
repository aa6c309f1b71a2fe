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

// A driver started the task of a stored job again although a next owner of the worker, of
// which it heard nothing, held the run.
func TestOrphanedRunIsNotOverWhileItIsHeld(t *testing.T) {
	held := ledger.RunHeld{RunID: fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: 1}, Fence: 3}
	read := epoch.Add(time.Second)
	for name, c := range map[string]struct {
		holds  []ledger.RunHeld
		overAt time.Time
	}{
		"not held":               {nil, epoch.Add(orphanMargin + takeoverTime)},
		"held":                   {[]ledger.RunHeld{held}, read.Add(takeoverTime)},
		"held by a former owner": {[]ledger.RunHeld{{RunID: held.RunID, Fence: 1}}, epoch.Add(orphanMargin + takeoverTime)},
	} {
		t.Run(name, func(t *testing.T) {
			co := storedCoordinator(t)
			offered := actionsOf[Offer](co.PopActions())
			co.HandleOutcome(epoch, offered[0].Host, outcome(0, offer.Started, "w-h1", 2))
			co.HandleOutcome(epoch, offered[0].Host, outcome(0, offer.Orphaned, "w-h1", 2))
			for _, h := range c.holds {
				co.RunHeld(read, h)
			}
			offersAt := func(at time.Time) int {
				co.SetLogReadTime(at.Add(time.Millisecond))
				co.Tick(at)
				return len(actionsOf[Offer](co.PopActions()))
			}
			require.Zero(t, offersAt(c.overAt.Add(-time.Millisecond)))
			assert.Equal(t, 1, offersAt(c.overAt))
		})
	}
}

// The next driver of a shard started a task again that an owner held for the former driver.
func TestNextDriverWaitsForHeldRuns(t *testing.T) {
	c := coordinatorWithHosts(32)
	job := jobOf(1, 60*time.Millisecond)
	job.BestEffort = false
	c.SubmitStored(epoch.Add(time.Second), ledger.Drive{
		Job: job, Route: testRoute, FirstRun: 101, HeldAt: map[fleet.TaskName]time.Time{{Job: testJob}: epoch},
	})
	require.Empty(t, actionsOf[Offer](c.PopActions()))
	over := epoch.Add(takeoverTime)
	c.SetLogReadTime(over.Add(time.Millisecond))
	c.Tick(over)
	assert.Len(t, actionsOf[Offer](c.PopActions()), 1)
}
