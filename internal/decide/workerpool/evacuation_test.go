package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/evacuation"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// newZonePool returns a pool that owns the workers, all of which have answered.
func newZonePool(zones *evacuation.Set, workers ...fleet.Worker) *Pool {
	cfg := DefaultConfig(testLease)
	cfg.Evacuations = zones
	p := NewPool(cfg)
	for _, w := range workers {
		p.Adopt(epoch, w, 7)
	}
	for _, poll := range actionsOf[Poll](p.PopActions(epoch)) {
		p.PollAnswered(epoch, poll.Worker.ID, poll.Number, idleResponse())
	}
	settle(p)
	return p
}

func inZone(w fleet.Worker, zone string) fleet.Worker {
	w.Zone = zone
	return w
}

// Guards against starts in an evacuated zone, against stopping the runs there, and
// against queued tasks that wait for workers which no longer start any.
func TestEvacuatedZoneStartsNothingAndItsRunsContinue(t *testing.T) {
	zones := &evacuation.Set{}
	p := newZonePool(zones, inZone(testWorker("w", 32), "a"))
	for i := range 3 {
		p.Offer(epoch, testTask(1, i, 14, epoch))
	}
	starts := actionsOf[Start](p.PopActions(epoch))
	require.Len(t, starts, 2)
	for _, s := range starts {
		p.StartAnswered(epoch, "w", s.Run, 7, fleet.StartAccepted, time.Minute)
	}
	zones.Apply(evacuation.Change{Zone: "a", Offset: 1, Active: true})
	assert.Equal(t, 1, p.EvacuationsChanged(epoch))
	returned := actionsOf[SendOutcome](p.PopActions(epoch))
	for _, a := range returned {
		if a.Outcome.Result == offer.Returned {
			assert.Equal(t, `zone "a" is evacuated`, a.Outcome.Why)
			assert.False(t, a.Outcome.MayHaveRun)
		}
	}
	assert.Zero(t, p.QueueLength())
	report := p.Report(epoch)
	assert.Zero(t, report.Capacity)
	assert.Empty(t, report.Workers)
	workers, runs := p.CountZone("a")
	assert.Equal(t, []int{1, 2}, []int{workers, runs})

	later := epoch.Add(testLease / 2)
	p.Offer(later, testTask(2, 0, 1, later))
	p.Tick(later)
	actions := p.PopActions(later)
	assert.Empty(t, actionsOf[Start](actions))
	assert.Empty(t, actionsOf[Stop](actions))
	renewed := false
	for _, poll := range actionsOf[Poll](actions) {
		renewed = renewed || poll.LeaseUntil > 0
	}
	assert.True(t, renewed, "the leases of the runs are renewed")

	zones.Apply(evacuation.Change{Zone: "a", Offset: 2})
	p.EvacuationsChanged(later)
	p.Offer(later, testTask(3, 0, 1, later))
	assert.Len(t, actionsOf[Start](p.PopActions(later)), 1, "the readmitted zone starts tasks at once")
}

// Guards against a worker that is adopted, or moves, into an evacuated zone.
func TestWorkerThatArrivesInAnEvacuatedZoneStartsNothing(t *testing.T) {
	zones := &evacuation.Set{}
	zones.Apply(evacuation.Change{Zone: "a", Offset: 1, Active: true})
	p := newZonePool(zones, inZone(testWorker("w", 32), "a"), inZone(testWorker("x", 32), "b"))
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	starts := actionsOf[Start](p.PopActions(epoch))
	require.Len(t, starts, 1)
	assert.Equal(t, "x", starts[0].Worker.ID)
	p.Update(inZone(testWorker("x", 32), "a"))
	p.Offer(epoch, testTask(2, 0, 1, epoch))
	assert.Empty(t, actionsOf[Start](p.PopActions(epoch)))
}

// Guards against tasks on cold workers of a readmitted zone while warm ones have
// capacity, and against any effect of cold workers without an evacuation.
func TestColdWorkersOfAReadmittedZoneComeAfterWarmOnes(t *testing.T) {
	cold := inZone(testWorker("cold", 20), "a")
	cold.ColdUntil = epoch.Add(time.Second)
	first := func(zones *evacuation.Set, now time.Time) string {
		p := newZonePool(zones, cold, inZone(testWorker("warm", 32), "b"))
		p.Offer(now, testTask(1, 0, 14, now))
		return actionsOf[Start](p.PopActions(now))[0].Worker.ID
	}
	assert.Equal(t, "cold", first(&evacuation.Set{}, epoch), "the tighter fit, as before")
	readmitted := &evacuation.Set{}
	readmitted.Apply(evacuation.Change{Zone: "a", Offset: 1, Active: true})
	readmitted.Apply(evacuation.Change{Zone: "a", Offset: 2})
	assert.Equal(t, "warm", first(readmitted, epoch))
	assert.Equal(t, "cold", first(readmitted, epoch.Add(time.Second)), "warm by now")
}
