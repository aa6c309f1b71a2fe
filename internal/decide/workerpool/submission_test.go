package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// A run of a job's next submission replaced the one of the same number that was still
// being stopped on its worker, whose capacity was then never freed.
func TestRunDoesNotReplaceOneOfTheSameNumber(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := actionsOf[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, 7, fleet.StartAccepted, time.Minute)
	p.Withdraw(epoch, jobHost, start.Run.Task.Job)
	require.Len(t, actionsOf[Stop](p.PopActions(epoch)), 1)

	p.Offer(epoch, testTask(1, 0, 14, epoch))
	assert.Empty(t, actionsOf[Start](p.PopActions(epoch)))

	now := epoch.Add(20 * time.Millisecond)
	p.StopAnswered(now, "w", start.Run, true)
	polls := pendingPolls(p, now)
	require.NotEmpty(t, polls)
	p.PollAnswered(now, "w", polls[len(polls)-1], fleet.PollResponse{
		Clock: time.Minute + 20*time.Millisecond, StartTime: 1, Ended: []fleet.RunEnd{{Seq: 1, RunID: start.Run, Reason: fleet.EndedStopped}},
	})
	assert.Len(t, actionsOf[Start](p.PopActions(now)), 1)
	assert.Equal(t, 14000, p.workers["w"].used.MilliCPU)
}
