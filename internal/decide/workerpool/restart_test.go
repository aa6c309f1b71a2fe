package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// A run that a worker had accepted since it started again was taken for lost, because the
// list that showed the restart had been made before the run was there. It went on unseen
// beside the next run of its task, and its capacity was given away.
func TestRunAcceptedSinceTheRestartIsKept(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	former := actionsOf[Start](p.PopActions(epoch))[0]
	p.Tick(epoch)
	p.PopActions(epoch)
	p.StartAnswered(epoch.Add(time.Millisecond), "w", former.Run, 7, fleet.StartAccepted, time.Minute)

	// The worker starts again, which ends the long poll. The next one is answered at the
	// worker before the start, and read after the start's answer.
	now := epoch.Add(100 * time.Millisecond)
	p.PollFailed(now, "w", p.workers["w"].longPoll.number, fleet.CallClosed)
	polls := pendingPolls(p, now)
	require.NotEmpty(t, polls)
	p.Offer(now, testTask(2, 0, 14, now))
	start := actionsOf[Start](p.PopActions(now))[0]
	p.StartAnswered(now, "w", start.Run, 7, fleet.StartAccepted, 20*time.Millisecond)
	p.PollAnswered(now, "w", polls[len(polls)-1], fleet.PollResponse{Clock: 18 * time.Millisecond, StartTime: 2})

	var returned []fleet.TaskName
	for _, o := range actionsOf[SendOutcome](p.PopActions(now)) {
		if o.Outcome.Result == offer.Returned {
			returned = append(returned, o.Outcome.Task)
		}
	}
	assert.Equal(t, []fleet.TaskName{former.Run.Task}, returned, "only the run of the former incarnation is lost")
	assert.Contains(t, p.workers["w"].runs, start.Run)

	// A later list decides.
	later := now.Add(time.Second)
	p.Tick(later)
	polls = pendingPolls(p, later)
	require.NotEmpty(t, polls)
	for _, number := range append(polls, pendingPolls(p, later)...) {
		p.PollAnswered(later, "w", number, fleet.PollResponse{Clock: time.Second, StartTime: 2})
	}
	assert.NotContains(t, p.workers["w"].runs, start.Run)
}
