package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// The logs and metrics could not tell for how long a task of a stored job had nothing
// running, nor why.
func TestTimeWithoutARunIsReportedWithItsCause(t *testing.T) {
	run := fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: 1}
	for name, c := range map[string]struct {
		interrupt func(*Coordinator, string)
		want      Interruption
	}{
		"returned": {func(c *Coordinator, owner string) {
			c.HandleOutcome(epoch, owner, outcome(0, offer.Returned, "w-"+owner, 1))
		}, RunReturned},
		"orphaned": {func(c *Coordinator, owner string) {
			c.HandleOutcome(epoch, owner, outcome(0, offer.Orphaned, "w-"+owner, 1))
		}, RunOrphaned},
		"owner lost": {func(c *Coordinator, owner string) { c.HostLost(epoch, owner) }, OwnerLost},
		"not listed": {func(c *Coordinator, owner string) {
			c.HandleInventory(epoch, "h3", offer.Inventory{Worker: "w-" + owner, Fence: 2})
		}, RunNotListed},
		"claimed again": {func(c *Coordinator, owner string) {
			c.HandleOutcome(epoch, owner, outcome(0, offer.Orphaned, "w-"+owner, 1))
			c.HandleInventory(epoch, "h3", offer.Inventory{Worker: "w-" + owner, Fence: 2, Running: []fleet.RunID{run}})
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			co := storedCoordinator(t)
			offered := actionsOf[Offer](co.PopActions())
			require.Len(t, offered, 1)
			co.HandleOutcome(epoch, offered[0].Host, outcome(0, offer.Started, "w-"+offered[0].Host, 1))
			require.Empty(t, actionsOf[TaskResumed](co.PopActions()), "the first start")
			c.interrupt(co, offered[0].Host)
			later := epoch.Add(time.Minute)
			co.SetLogReadTime(later)
			co.Tick(later)
			started := outcome(0, offer.Started, "w", 3)
			_, task := co.find(run.Task)
			started.Run = task.currentRun()
			co.HandleOutcome(later, task.host, started)
			var want []TaskResumed
			if c.want != "" {
				want = []TaskResumed{{Task: run.Task, Idle: time.Minute, Interruption: c.want}}
			}
			assert.Equal(t, want, actionsOf[TaskResumed](co.PopActions()))
		})
	}
}
