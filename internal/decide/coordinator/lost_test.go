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

// Guards against two runs of one task at once: after a standstill one round of decisions made
// offers to a host, learned that the stream to it had ended, and sent them on the next stream.
// The task counted as lost and was offered again while it ran there.
func TestOffersThatWereNotSentDoNotOutliveTheStream(t *testing.T) {
	c := coordinatorWithHosts(32)
	first := jobOf(1, 60*time.Millisecond)
	require.True(t, c.Submit(epoch, first, testRoute, time.Second))
	offers := actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	lost := offers[0].Host

	second := jobOf(1, 60*time.Millisecond)
	second.ID = "00000000000000a2"
	require.True(t, c.Submit(epoch, second, testRoute, time.Second))
	c.Cancel(epoch, first.ID, "the caller disconnected")
	c.HostLost(epoch, lost)
	offered := 0
	for _, a := range c.PopActions() {
		if m, ok := a.(message); ok {
			assert.NotEqual(t, lost, m.to(), "%T", a)
		}
		if o, ok := a.(Offer); ok {
			offered += len(o.Tasks)
		}
	}
	assert.Equal(t, 1, offered, "the second job's task is offered elsewhere at once")
}

// Guards against two runs of one task at once: a claim that was sent on the next stream let the
// run go on while its driver counted it as lost.
func TestClaimThatWasNotSentDoesNotOutliveTheStream(t *testing.T) {
	c := coordinatorWithHosts(32)
	run := ledger.HandedRun{RunID: fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: 3}, Owner: "h1", Worker: "w-h1", Fence: 5}
	c.SubmitStored(epoch, ledger.Drive{Job: storedJob(1), Route: testRoute, FirstRun: 101, Running: []ledger.HandedRun{run}})
	c.HostLost(epoch, "h1")
	assert.Empty(t, actionsOf[Claim](c.PopActions()))
	c.HandleInventory(epoch, "h1", offer.Inventory{Worker: "w-h1", Fence: 6, Running: []fleet.RunID{run.RunID}})
	assert.Len(t, actionsOf[Claim](c.PopActions()), 1, "an owner that is reached again announces the run")
}
