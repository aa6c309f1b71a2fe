package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/evacuation"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// coordinatorInZones returns a coordinator connected to the hosts h-a and h-b, each
// with one worker of its zone.
func coordinatorInZones(zones *evacuation.Set, coldUntil time.Time) *Coordinator {
	c := New(Config{Self: "self", Zone: "a", MaxLease: time.Second, Evacuations: zones})
	for _, zone := range []string{"a", "b"} {
		w := fleet.Worker{ID: "w-" + zone, Service: "s", Zone: zone, Capacity: fleet.Size{MilliCPU: 32000, MemoryMB: 1000}}
		if zone == "a" {
			w.ColdUntil = coldUntil
		}
		c.UpdateWorker(epoch, w)
		c.UpdateHost(epoch, "h-"+zone, zone, reportOf(w.ID, 32))
	}
	return c
}

// Guards against offers for workers of an evacuated zone whose owner still reports
// their capacity because it has not learned of the evacuation.
func TestReportedCapacityInAnEvacuatedZoneIsNotUsed(t *testing.T) {
	zones := &evacuation.Set{}
	c := coordinatorInZones(zones, time.Time{})
	zones.Apply(evacuation.Change{Zone: "a", Offset: 1, Active: true})
	c.EvacuationsChanged(epoch)
	c.Submit(epoch, jobOf(2, 60*time.Millisecond), testRoute, 0)
	offers := actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	assert.Equal(t, "h-b", offers[0].Host)
	assert.Equal(t, []offer.WorkerCapacity{c.hosts["h-b"].report.Workers[0]}, c.RemoteFreeCapacity())
	assert.False(t, c.AllEvacuated())
}

// Guards against jobs that wait for workers which may start nothing: with all zones
// evacuated, new jobs and jobs that have not started are refused as not run.
func TestAllZonesEvacuatedRefusesJobsWithRetryAfter(t *testing.T) {
	zones := &evacuation.Set{}
	c := coordinatorInZones(zones, time.Time{})
	c.Submit(epoch, jobOf(1, 60*time.Millisecond), testRoute, 0)
	offers := actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	zones.Apply(evacuation.Change{Zone: "a", Offset: 1, Active: true})
	zones.Apply(evacuation.Change{Zone: "b", Offset: 2, Active: true})
	c.EvacuationsChanged(epoch)
	assert.Empty(t, actionsOf[Answer](c.PopActions()), "the owner may have started the task")
	back := outcome(0, offer.Returned, "", 0)
	back.MayHaveRun, back.Run = false, 0
	c.HandleOutcome(epoch, offers[0].Host, back)
	job := jobOf(1, 60*time.Millisecond)
	job.ID = "00000000000000a2"
	c.Submit(epoch, job, testRoute, 0)
	answers := actionsOf[Answer](c.PopActions())
	require.Len(t, answers, 2)
	for _, a := range answers {
		assert.Equal(t, errkind.NotRun, a.Err.Run)
		assert.Contains(t, a.Err.Detail, "evacuated zones: a, b")
		assert.Positive(t, a.RetryAfter)
	}
	refusal, retryAfter := c.AdmitStored(epoch, job, testRoute)
	require.NotNil(t, refusal)
	assert.Equal(t, errkind.NotRun, refusal.Run)
	assert.Positive(t, retryAfter)
	assert.False(t, c.HasCapacity())
	assert.True(t, c.AllEvacuated())
}

// Guards against offers to cold workers of a readmitted zone while a warm worker of
// another zone has capacity.
func TestWarmWorkersOfOtherZonesComeBeforeColdOnes(t *testing.T) {
	zones := &evacuation.Set{}
	c := coordinatorInZones(zones, epoch.Add(time.Second))
	zones.Apply(evacuation.Change{Zone: "a", Offset: 1, Active: true})
	zones.Apply(evacuation.Change{Zone: "a", Offset: 2})
	c.EvacuationsChanged(epoch)
	c.Submit(epoch, jobOf(3, 60*time.Millisecond), testRoute, 0)
	tasks := map[string]int{}
	for _, o := range actionsOf[Offer](c.PopActions()) {
		tasks[o.Host] += len(o.Tasks)
	}
	assert.Equal(t, map[string]int{"h-b": 2, "h-a": 1}, tasks)
}
