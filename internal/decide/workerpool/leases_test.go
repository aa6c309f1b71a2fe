package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// A run that had been stopped, and whose end was not among the 500 ends that the worker
// lists at a time, kept the lease of all other runs on the worker from being renewed.
func TestStoppedRunBeyondATruncatedListDoesNotLapseOthers(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	for i := range 2 {
		task := testTask(i+1, 0, 8, epoch)
		task.Estimate = 5 * time.Second
		p.Offer(epoch, task)
	}
	starts := actionsOf[Start](p.PopActions(epoch))
	require.Len(t, starts, 2)
	for _, s := range starts {
		p.StartAnswered(epoch, "w", s.Run, 7, fleet.StartAccepted, time.Minute)
	}
	stopped, healthy := starts[0].Run, starts[1].Run
	p.Withdraw(epoch, jobHost, stopped.Task.Job)
	var lease time.Duration
	for at := time.Duration(0); at <= 3*time.Second; at += 20 * time.Millisecond {
		now := epoch.Add(at)
		p.HostHeard(jobHost, now)
		p.Tick(now)
		for _, a := range p.PopActions(now) {
			switch a := a.(type) {
			case Stop:
				p.StopAnswered(now, "w", a.Run, true)
			case Poll:
				lease = max(lease, a.LeaseUntil-time.Minute)
				if a.Wait == 0 {
					p.PollAnswered(now, "w", a.Number, fleet.PollResponse{
						Clock: time.Minute + at, StartTime: 1, Truncated: true, Running: runningList(healthy),
					})
				}
			}
		}
	}
	assert.Greater(t, lease, 3*time.Second, "the run of a job that is needed is leased on")
}

// A handover that an owner read late, after a standstill, held the handed-over runs from
// then on. The next driver waits for a time that counts from the handover.
func TestHandoverReadLateDoesNotProlongRuns(t *testing.T) {
	const late = 600 * time.Millisecond
	p, id := startedRun(t, "driver", true)
	p.HostHeard("driver", epoch)
	now := epoch.Add(late)
	p.HandedOver(now, "driver", []fleet.RunID{id})
	bound := p.cfg.HandoverHold + p.cfg.RenewBefore
	assert.LessOrEqual(t, latestLease(p, id, now, epoch.Add(3*time.Second)).Sub(epoch), bound)
}

// A task of a stored job whose driver had not been heard during a standstill of the owner
// was ordered with a lease that had ended or was about to, which the worker refuses.
func TestStoredTaskStartsOnlyWithALeaseThatIsLongEnough(t *testing.T) {
	for _, silent := range []time.Duration{1500 * time.Millisecond, 1700 * time.Millisecond, 2 * time.Second} {
		p := newAdoptedPool(t, 32, idleResponse())
		p.HostHeard(jobHost, epoch)
		task := testTask(1, 0, 14, epoch)
		task.Stored = true
		p.Offer(epoch, task)
		now := epoch.Add(silent)
		for _, start := range actionsOf[Start](p.PopActions(now)) {
			left := start.LeaseUntil - time.Minute - silent
			assert.GreaterOrEqual(t, left, share(testLease, minStartLeaseShare), "driver not heard for %v", silent)
		}
	}
}
