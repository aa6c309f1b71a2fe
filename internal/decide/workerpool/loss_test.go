package workerpool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// crashTime is when the polls of the tests below begin to fail.
var crashTime = epoch.Add(100 * time.Millisecond)

// runningPool returns a pool whose worker runs two tasks, the second of them
// started later than the first.
func runningPool(t *testing.T, later time.Duration) *Pool {
	t.Helper()
	p := newAdoptedPool(t, 32, idleResponse())
	for i, at := range []time.Time{epoch, epoch.Add(later)} {
		p.Offer(at, testTask(i+1, 0, 14, at))
		start := actionsOf[Start](p.PopActions(at))[0]
		p.StartAnswered(at, "w", start.Run, 7, fleet.StartAccepted, time.Minute+at.Sub(epoch))
	}
	p.Tick(epoch.Add(later))
	return p
}

// testTick is longer than the pause after a failed poll.
const testTick = 60 * time.Millisecond

// lossesOf returns the losses that were reported since the last call.
func lossesOf(p *Pool, now time.Time) []quarantine.Loss {
	var losses []quarantine.Loss
	for _, o := range actionsOf[SendOutcome](p.PopActions(now)) {
		if o.Outcome.Loss != nil {
			losses = append(losses, *o.Outcome.Loss)
		}
	}
	return losses
}

// pendingPolls returns the numbers of the polls sent since the last call.
func pendingPolls(p *Pool, now time.Time) []int64 {
	var numbers []int64
	for _, poll := range actionsOf[Poll](p.PopActions(now)) {
		numbers = append(numbers, poll.Number)
	}
	return numbers
}

// Guards against sound tasks that wait for the end of a lease, 1.1 s, after their
// worker's process has visibly ended.
func TestRunsOfEndedProcessAreReturnedAtOnce(t *testing.T) {
	p := runningPool(t, 90*time.Millisecond)
	for _, number := range pendingPolls(p, crashTime) {
		p.PollFailed(crashTime, "w", number, fleet.CallClosed)
	}
	checks := pendingPolls(p, crashTime)
	require.Len(t, checks, 1, "a closed connection is followed by a poll at once")
	p.PollFailed(crashTime, "w", checks[0], fleet.CallProcessEnded)
	losses := lossesOf(p, crashTime)
	require.Len(t, losses, 2)
	for i, l := range losses {
		assert.Equal(t, quarantine.Crashed, l.Fate)
		assert.False(t, l.Alone)
		assert.Equal(t, i == 0, l.Bystander, "the run that started last is the suspect")
	}
	assert.True(t, p.Idle())
}

// A cut may refuse or reset connections too; the runs go on until their leases
// end.
func TestCutThatResetsIsNoCrash(t *testing.T) {
	for name, failures := range map[string][]fleet.CallFailure{
		"refused":              {fleet.CallRefused, fleet.CallRefused},
		"reset, then refused":  {fleet.CallReset, fleet.CallRefused},
		"closed, then silence": {fleet.CallClosed, fleet.CallTimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			p := runningPool(t, 0)
			now := crashTime
			for _, failure := range failures {
				for _, number := range pendingPolls(p, now) {
					p.PollFailed(now, "w", number, failure)
				}
				now = now.Add(testTick)
				p.Tick(now)
			}
			assert.Empty(t, lossesOf(p, now))
			now = epoch.Add(2 * testLease)
			p.Tick(now)
			losses := lossesOf(p, now)
			require.Len(t, losses, 2)
			assert.Equal(t, quarantine.Unknown, losses[0].Fate)
			assert.False(t, losses[0].Bystander)
		})
	}
}

// The end of a leaving worker's process is not a crash under its runs.
func TestEndOfDrainingWorkerIsNoCrash(t *testing.T) {
	p := runningPool(t, 0)
	draining := testWorker("w", 32)
	draining.Draining = true
	p.Update(draining)
	p.WorkerReplaced(crashTime, "w")
	losses := lossesOf(p, crashTime)
	require.Len(t, losses, 2)
	assert.Equal(t, quarantine.Survived, losses[0].Fate)
}

// Guards against a sound job that is shown as failed: its task had been offered to
// a worker that had just crashed, where it never ran.
func TestStartThatWasNotSentIsNoLoss(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := actionsOf[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, 7, fleet.StartNotSent, 0)
	outcomes := actionsOf[SendOutcome](p.PopActions(epoch))
	require.Len(t, outcomes, 1)
	assert.Nil(t, outcomes[0].Outcome.Loss)
	assert.False(t, outcomes[0].Outcome.MayHaveRun)
	p.Offer(epoch, testTask(2, 0, 14, epoch))
	assert.Empty(t, actionsOf[Start](p.PopActions(epoch)), "the worker must answer a poll first")
}

// A start without an answer may have crashed the worker, or not have reached it.
func TestStartWithoutAnswerIsAnUnconfirmedLoss(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.Tick(epoch)
	polls := pendingPolls(p, epoch)
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	start := actionsOf[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, 7, fleet.StartUnknown, 0)
	p.PollFailed(epoch, "w", polls[0], fleet.CallProcessEnded)
	losses := lossesOf(p, epoch)
	require.Len(t, losses, 1)
	assert.True(t, losses[0].Unconfirmed)
}

// An owner reported the run of a stored job as ended with the lease that it knew of, although
// another host may have owned the worker and renewed the lease.
func TestExpiredLeaseEndsAStoredRunOnlyWithoutAnotherOwner(t *testing.T) {
	expired := epoch.Add(1200 * time.Millisecond)
	for name, c := range map[string]struct {
		from, to time.Time
		want     []offer.Result
	}{
		"confirmed":           {epoch, expired, []offer.Result{offer.Returned}},
		"group has changed":   {epoch.Add(time.Millisecond), expired, []offer.Result{offer.Orphaned}},
		"never confirmed":     {time.Time{}, time.Time{}, []offer.Result{offer.Orphaned}},
		"not confirmed again": {epoch, epoch.Add(time.Second), nil},
	} {
		for _, stored := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stored=%t", name, stored), func(t *testing.T) {
				p, _ := startedRun(t, "driver", stored)
				p.cfg.Held = func(string) (from, to time.Time) { return c.from, c.to }
				p.Tick(epoch)
				for _, number := range pendingPolls(p, epoch) {
					p.PollFailed(epoch, "w", number, fleet.CallTimedOut)
				}
				results := func(now time.Time) []offer.Result {
					p.Tick(now)
					var list []offer.Result
					for _, o := range outcomes(p, now) {
						list = append(list, o.Result)
						assert.Zero(t, o.MaxRemaining)
					}
					return list
				}
				want := c.want
				if !stored {
					want = []offer.Result{offer.Returned}
				}
				assert.Equal(t, want, results(expired))
				if want == nil {
					assert.Equal(t, []offer.Result{offer.Orphaned}, results(expired.Add(ownershipTimeout)))
				}
				assert.True(t, p.Idle())
			})
		}
	}
}
