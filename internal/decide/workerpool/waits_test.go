package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// latestLease ticks a pool whose only worker runs the given run and answers polls, but no
// stop, and returns the end of the latest lease granted by then.
func latestLease(p *Pool, run fleet.RunID, from, to time.Time) time.Time {
	var latest time.Duration
	for now := from; now.Before(to); now = now.Add(20 * time.Millisecond) {
		p.Tick(now)
		for _, a := range p.PopActions(now) {
			switch a := a.(type) {
			case Stop:
				p.StopAnswered(now, "w", a.Run, false)
			case Start:
				latest = max(latest, a.LeaseUntil)
			case Poll:
				latest = max(latest, a.LeaseUntil)
				if a.Wait == 0 {
					p.PollAnswered(now, "w", a.Number, fleet.PollResponse{
						Clock: time.Minute + now.Sub(epoch), StartTime: 1, Running: runningList(run),
					})
				}
			}
		}
	}
	return epoch.Add(latest - time.Minute)
}

// A run of a stored job that its driver had not claimed in time was renewed for as long as
// its stop was lost, and the driver started the task again meanwhile.
func TestUnclaimedRunOfAStoredJobEndsThoughItsStopIsLost(t *testing.T) {
	found := runID(1, 0, 1)
	hold := DefaultConfig(testLease)
	for name, c := range map[string]struct {
		setUp func() (*Pool, fleet.RunID)
		hold  time.Duration
	}{
		"found": {func() (*Pool, fleet.RunID) { return foundRun(found), found }, hold.FoundRunHold},
		"handed over": {func() (*Pool, fleet.RunID) {
			p, id := startedRun(t, "driver", true)
			p.HandedOver(epoch, "driver", 1, []fleet.RunID{id})
			return p, id
		}, hold.HandoverHold},
		"driver silent": {func() (*Pool, fleet.RunID) {
			p, id := startedRun(t, "driver", true)
			p.HostLost(epoch, "driver")
			return p, id
		}, hold.SilentHostHold},
	} {
		t.Run(name, func(t *testing.T) {
			p, id := c.setUp()
			bound := epoch.Add(c.hold + p.cfg.RenewBefore)
			assert.LessOrEqual(t, latestLease(p, id, epoch, bound).Sub(epoch), bound.Sub(epoch))
		})
	}
}

// The start of another task on the worker gave a full lease to a run whose driver was
// silent or had handed it over, so that it outlived its hold by a lease if its stop was lost.
func TestStartDoesNotExtendARunThatAwaitsItsDriver(t *testing.T) {
	for name, lose := range map[string]func(*Pool, fleet.RunID) time.Duration{
		"handed over": func(p *Pool, id fleet.RunID) time.Duration {
			p.HandedOver(epoch, "driver", 1, []fleet.RunID{id})
			return p.cfg.HandoverHold
		},
		"driver silent": func(p *Pool, _ fleet.RunID) time.Duration {
			p.HostLost(epoch, "driver")
			return p.cfg.SilentHostHold
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, id := startedRun(t, "driver", true)
			hold := lose(p, id)
			now := epoch.Add(hold)
			latestLease(p, id, epoch, now)
			other := testTask(2, 0, 8, now)
			other.Host = "other"
			p.Offer(now, other)
			for _, start := range actionsOf[Start](p.PopActions(now)) {
				assert.LessOrEqual(t, start.LeaseUntil-time.Minute, hold+p.cfg.RenewBefore)
			}
		})
	}
}

// A host that had released a worker and taken it over again answered a claim, before its
// first poll was answered, that the run had ended. The run went on under its lease, and the
// host of its job started the task again 60 ms later.
func TestClaimBeforeTheFirstPollDoesNotEndARun(t *testing.T) {
	for _, stored := range []bool{false, true} {
		id, claim := claimOf(stored)
		p := newAdoptedPool(t, 16, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: runningList(id)})
		p.Release(epoch, "w", "assigned to another host")
		p.Adopt(epoch, testWorker("w", 16), 8)
		p.PopActions(epoch)
		p.Claimed(epoch, claim)
		for _, o := range outcomes(p, epoch) {
			require.Equal(t, offer.Orphaned, o.Result)
			assert.GreaterOrEqual(t, o.MaxRemaining, p.cfg.MaxLease, "stored %t: the run may go on for a lease", stored)
		}
	}
}
