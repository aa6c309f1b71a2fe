package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Each next owner of a worker renewed the lease of a run of a stored job, of which its driver
// did not know.
func TestFoundRunIsLeasedOnlyOnceItsHoldIsRecorded(t *testing.T) {
	id, claim := claimOf(true)
	for name, c := range map[string]struct {
		// confirm is called with the hold that is to be recorded, 100 ms after the run was found.
		confirm func(p *Pool, now time.Time, h RecordHold)
		renewed bool
	}{
		"not recorded": {func(*Pool, time.Time, RecordHold) {}, false},
		"recorded":     {func(p *Pool, _ time.Time, h RecordHold) { p.HoldRecorded(h) }, true},
		"recorded under a former fence": {func(p *Pool, _ time.Time, h RecordHold) {
			h.Fence--
			p.HoldRecorded(h)
		}, false},
		"claimed": {func(p *Pool, now time.Time, _ RecordHold) { p.Claimed(now, claim) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := foundRun(id)
			now := epoch.Add(holdRecordDelay - time.Millisecond)
			p.Tick(now)
			actions := p.PopActions(now)
			require.Empty(t, actionsOf[RecordHold](actions), "the driver may claim the run")
			for _, poll := range actionsOf[Poll](actions) {
				require.Zero(t, poll.LeaseUntil)
			}
			now = epoch.Add(100 * time.Millisecond)
			p.Tick(now)
			actions = p.PopActions(now)
			holds := actionsOf[RecordHold](actions)
			require.Equal(t, []RecordHold{{Worker: "w", Run: id, Fence: 7}}, holds)
			for _, poll := range actionsOf[Poll](actions) {
				p.PollAnswered(now, "w", poll.Number, fleet.PollResponse{
					Clock: time.Minute + 100*time.Millisecond, StartTime: 1, Running: runningList(id),
				})
			}
			c.confirm(p, now, holds[0])
			p.Tick(now)
			leases := 0
			for _, poll := range actionsOf[Poll](p.PopActions(now)) {
				if poll.LeaseUntil > 0 {
					leases++
				}
			}
			assert.Equal(t, c.renewed, leases > 0, "the former owner's lease may end at any time")
		})
	}
}

// A run whose hold was not recorded took the leases of the other runs on its worker with it.
func TestRunThatIsNotRecordedAsHeldIsStoppedBesideOthers(t *testing.T) {
	id, claim := claimOf(true)
	other := id
	other.Task.Index++
	for name, running := range map[string][]fleet.RunID{"alone": {id}, "beside another": {other, id}} {
		t.Run(name, func(t *testing.T) {
			p := NewPool(DefaultConfig(testLease))
			p.cfg.IsStored = func(string) bool { return true }
			p.Adopt(epoch, testWorker("w", 16), 7)
			poll := actionsOf[Poll](p.PopActions(epoch))[0]
			p.PollAnswered(epoch, "w", poll.Number, fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: runningList(running...)})
			c := claim
			c.Task.Name = other.Task
			p.Claimed(epoch, c)
			p.PopActions(epoch)
			assert.Empty(t, stopsAt(p, epoch.Add(holdRecordTimeout-time.Millisecond)))
			stops := stopsAt(p, epoch.Add(holdRecordTimeout))
			if len(running) == 1 {
				assert.Empty(t, stops)
				return
			}
			require.Len(t, stops, 1)
			assert.Equal(t, id, stops[0].Run)
		})
	}
}
