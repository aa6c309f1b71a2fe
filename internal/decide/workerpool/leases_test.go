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
	p.HandedOver(now, "driver", 1, []fleet.RunID{id})
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

// A task of a host that had not been heard for a while started with a full lease, which
// outlived the return of its caller.
func TestStartIsLeasedFromTheLastSignOfItsHost(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.HostHeard(jobHost, epoch)
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	now := epoch.Add(p.MaxHostSilence() - 10*time.Millisecond)
	starts := actionsOf[Start](p.PopActions(now))
	require.Len(t, starts, 1)
	assert.LessOrEqual(t, starts[0].LeaseUntil-time.Minute, testLease)
}

// The lease of a healthy run must not have a gap while its host sends a frame now and then.
func TestLeaseHasNoGapWhileTheHostIsHeard(t *testing.T) {
	for _, interval := range []time.Duration{260, 400, 500, 700} {
		interval *= time.Millisecond
		p, run := poolWithRun(t, false)
		lease, gaps := testLease, 0
		for at := time.Duration(0); at <= 6*time.Second; at += 20 * time.Millisecond {
			if at%interval == 0 {
				p.HostHeard(jobHost, epoch.Add(at))
			}
			lease = max(lease, leasesGranted(p, run, at, at, nil))
			if lease <= at {
				gaps++
			}
		}
		assert.Zero(t, gaps, "a frame each %v", interval)
	}
}

// An owner that noticed the silence of a driver late, after a standstill, held its runs
// from then on.
func TestHoldForASilentDriverCountsFromItsLastSign(t *testing.T) {
	p, run := poolWithRun(t, true)
	hold := p.cfg.HostTimeout + p.cfg.SilentHostHold
	lost := hold - 60*time.Millisecond
	leasesGranted(p, run, 0, lost-20*time.Millisecond, nil)
	p.HostLost(epoch.Add(lost), jobHost)
	assert.LessOrEqual(t, leasesGranted(p, run, lost, 3*time.Second, nil), hold+p.cfg.RenewBefore)
}
