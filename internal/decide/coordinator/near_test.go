package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/nearwait"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Guards against offers that ignore the rack, that queue at a busy rack, and that
// wait for a rack which nobody serves. Host h1 owns the rack's worker, h2 another
// worker that is free.
func TestHostIsChosenByTheRack(t *testing.T) {
	busyFor := func(d time.Duration) func(*offer.CapacityReport) {
		return func(r *offer.CapacityReport) {
			r.Workers[0].Free.MilliCPU = 0
			r.Workers[0].Ends = []offer.ExpectedEnd{{In: d, MilliCPU: 14000}}
		}
	}
	for name, c := range map[string]struct {
		slowdown float64
		rack     string
		near     func(*offer.CapacityReport)
		host     string
		reason   nearwait.Reason
	}{
		"free near":               {2, "r", func(*offer.CapacityReport) {}, "h1", nearwait.NearFree},
		"free near soon":          {2, "r", busyFor(40 * time.Millisecond), "h1", nearwait.NearEndsEarlier},
		"a long wait spills":      {2, "r", busyFor(150 * time.Millisecond), "h2", nearwait.NearEndsLater},
		"ends that are not known": {2, "r", func(r *offer.CapacityReport) { r.Workers[0].Free.MilliCPU = 0 }, "h2", nearwait.NearEndsLater},
		"a queue ahead spills": {2, "r", func(r *offer.CapacityReport) {
			busyFor(40 * time.Millisecond)(r)
			r.QueuedWork = map[int]int64{0: 14000 * 100}
		}, "h2", nearwait.NearEndsLater},
		"an unknown rack": {2, "r9", busyFor(0), "h2", nearwait.NoNearWorker},
		"no slowdown":     {0, "r", busyFor(0), "h2", ""},
	} {
		t.Run(name, func(t *testing.T) {
			k := New(Config{Self: "self", Zone: "z", MaxLease: time.Second, RemoteSlowdown: c.slowdown})
			k.UpdateWorker(epoch, fleet.Worker{ID: "w-h1", Service: "s", Zone: "z", Labels: []string{"r"}})
			k.UpdateWorker(epoch, fleet.Worker{ID: "w-h2", Service: "s", Zone: "z"})
			report := reportOf("w-h1", 32)
			c.near(&report)
			k.UpdateHost(epoch, "h1", "z", report)
			k.UpdateHost(epoch, "h2", "z", reportOf("w-h2", 64))
			job := jobOf(1, 100*time.Millisecond)
			job.Steps[0].Affinity = c.rack
			route := testRoute
			route.LatencySlack = 400 * time.Millisecond
			k.Submit(epoch, job, route, 0)
			actions := k.PopActions()
			offers := actionsOf[Offer](actions)
			require.Len(t, offers, 1)
			assert.Equal(t, c.host, offers[0].Host)
			if decisions := actionsOf[NearDecision](actions); c.reason == "" {
				assert.Empty(t, decisions)
			} else {
				require.Len(t, decisions, 1)
				assert.Equal(t, c.reason, decisions[0].Decision.Reason)
			}
		})
	}
}

// Guards against a later step of a job whose objective counts as lost because the
// first steps took their time.
func TestLatestStartOfALaterStep(t *testing.T) {
	k := New(Config{Self: "self", RemoteSlowdown: 2})
	job := jobOf(1, 100*time.Millisecond)
	job.Steps = append(job.Steps, fleet.Step{Count: 1, Estimate: 50 * time.Millisecond, After: []int{0}, Affinity: "r"})
	j := newJob(epoch, 1, job, testRoute, epoch.Add(time.Second))
	assert.Equal(t, epoch.Add(j.objective-150*time.Millisecond), k.startBy(j, 0))
	assert.Equal(t, epoch.Add(j.objective-50*time.Millisecond), k.startBy(j, 1))
}
