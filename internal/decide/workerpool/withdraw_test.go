package workerpool

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Guards against two runs of one task at once: the return of a task that was sent on the next
// stream counted as that of a task that had been offered again. That a task is done counts
// whenever it is told.
func TestReportsThatWereNotSentDoNotOutliveTheStream(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	for i := range 3 {
		p.Offer(epoch, testTask(1, i, 14, epoch))
	}
	started := startAll(p, epoch)
	require.Len(t, started, 2)
	p.Tick(epoch)
	polls := actionsOf[Poll](p.PopActions(epoch))
	require.Len(t, polls, 1)
	p.PollAnswered(epoch, "w", polls[0].Number, fleet.PollResponse{
		Clock: idleResponse().Clock, StartTime: 1, Ended: []fleet.RunEnd{
			{Seq: 1, RunID: runID(1, 0, 1), Reason: fleet.EndedDone}, {Seq: 2, RunID: runID(1, 1, 1), Reason: fleet.EndedFailed},
		},
	})
	p.ReturnQueue("planned stop")
	p.HostLost(epoch, "front")
	sent := outcomes(p, epoch)
	require.Len(t, sent, 1)
	assert.Equal(t, offer.Done, sent[0].Result)
}
