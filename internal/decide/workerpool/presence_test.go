package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// jobHost answers the caller of testTask's jobs.
const jobHost = "front"

// poolWithRun returns a pool with a run of a task of jobHost, which was last heard at
// epoch, and the run.
func poolWithRun(t *testing.T, stored bool) (*Pool, fleet.RunID) {
	t.Helper()
	p := newAdoptedPool(t, 32, idleResponse())
	p.HostHeard(jobHost, epoch)
	task := testTask(1, 0, 14, epoch)
	task.Stored, task.Estimate = stored, 5*time.Second
	p.Offer(epoch, task)
	start := actionsOf[Start](p.PopActions(epoch))[0]
	p.StartAnswered(epoch, "w", start.Run, 7, fleet.StartAccepted, time.Minute)
	return p, start.Run
}

// leasesGranted ticks the pool until an end and answers its polls with the run. Calls each, if set,
// at each tick. It returns the latest lease that was granted, as the time since epoch.
func leasesGranted(p *Pool, run fleet.RunID, from, until time.Duration, each func(now time.Time)) time.Duration {
	latest := time.Duration(0)
	for at := from; at <= until; at += 20 * time.Millisecond {
		now := epoch.Add(at)
		if each != nil {
			each(now)
		}
		p.Tick(now)
		for _, a := range p.PopActions(now) {
			switch a := a.(type) {
			case Poll:
				latest = max(latest, a.LeaseUntil-time.Minute)
				if a.Wait == 0 {
					p.PollAnswered(now, "w", a.Number, fleet.PollResponse{Clock: time.Minute + at, StartTime: 1, Running: runningList(run)})
				}
			case Start:
				latest = max(latest, a.LeaseUntil-time.Minute)
			}
		}
	}
	return latest
}

// A run of a best-effort job was leased beyond the time at which the caller of its lost
// host sends the job again.
func TestLeaseEndsWithTheHostOfTheJob(t *testing.T) {
	p, run := poolWithRun(t, false)
	latest := leasesGranted(p, run, 0, time.Second, func(now time.Time) {
		if at := now.Sub(epoch); at <= 300*time.Millisecond {
			p.HostHeard(jobHost, now)
		}
	})
	assert.LessOrEqual(t, latest, 300*time.Millisecond+testLease)
	assert.Greater(t, latest, testLease, "the lease was renewed")
}

func TestLeaseGoesOnWhileTheHostOfTheJobIsHeard(t *testing.T) {
	p, run := poolWithRun(t, false)
	latest := leasesGranted(p, run, 0, 4*time.Second, func(now time.Time) {
		if now.Sub(epoch)%(260*time.Millisecond) == 0 {
			p.HostHeard(jobHost, now)
		}
	})
	assert.Greater(t, latest, 4*time.Second)
}

func TestLeaseOfAStoredJobIsHeldForItsDriver(t *testing.T) {
	p, run := poolWithRun(t, true)
	latest := leasesGranted(p, run, 0, 2*time.Second, nil)
	assert.Greater(t, latest, p.cfg.HostTimeout+p.cfg.SilentHostHold)
	assert.LessOrEqual(t, latest, p.cfg.HostTimeout+p.cfg.SilentHostHold+p.cfg.RenewBefore)
}

// A worker whose stop orders were lost was leased on, with the run that was to be stopped.
func TestRunIsNotLeasedOnWhileItIsStopped(t *testing.T) {
	p, run := poolWithRun(t, false)
	stopped := 400 * time.Millisecond
	latest := leasesGranted(p, run, 0, 3*time.Second, func(now time.Time) {
		p.HostHeard(jobHost, now)
		if now.Sub(epoch) == stopped {
			p.Withdraw(now, jobHost, run.Task.Job)
		}
	})
	assert.LessOrEqual(t, latest, stopped+testLease)

	p, run = poolWithRun(t, false)
	latest = leasesGranted(p, run, 0, 3*time.Second, func(now time.Time) {
		if now.Sub(epoch) == stopped {
			p.HostLost(now, jobHost)
			p.HostHeard(jobHost, now)
		}
	})
	assert.LessOrEqual(t, latest, testLease, "the host was last heard at the start")
}

// The order of another run renewed the lease of a run whose host was gone.
func TestStartRenewsNoLeaseOfALostHostsRun(t *testing.T) {
	p, run := poolWithRun(t, false)
	latest := leasesGranted(p, run, 0, 900*time.Millisecond, func(now time.Time) {
		p.HostHeard("other", now)
		if at := now.Sub(epoch); at == 300*time.Millisecond || at == 800*time.Millisecond {
			task := testTask(2, int(at.Milliseconds()), 4, now)
			task.Host = "other"
			p.Offer(now, task)
		}
	})
	assert.LessOrEqual(t, latest, testLease)
	require.Len(t, p.queue, 1, "the second task needs a longer lease than the worker can be given")
}

// An unclaimed run was leased on while its stop was lost.
func TestUnclaimedRunIsNotLeasedOn(t *testing.T) {
	found := runID(9, 0, 1)
	p := newAdoptedPool(t, 32, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: runningList(found)})
	assert.Zero(t, leasesGranted(p, found, 0, 2*time.Second, nil))
}

// A host that had stood still started tasks of hosts that had given them up meanwhile.
func TestTaskOfASilentHostDoesNotStart(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	p.HostHeard(jobHost, epoch)
	now := epoch.Add(p.MaxHostSilence() + time.Millisecond)
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	stored := testTask(2, 0, 14, epoch)
	stored.Stored = true
	p.Offer(epoch, stored)
	starts := actionsOf[Start](p.PopActions(now))
	require.Len(t, starts, 1)
	assert.Equal(t, stored.Name, starts[0].Run.Task)

	p.HostHeard(jobHost, now)
	later := now.Add(rescheduleInterval)
	assert.Len(t, actionsOf[Start](p.PopActions(later)), 1)
}
