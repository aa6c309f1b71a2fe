package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/ownership"
	"github.com/parsleyhill/parsleyhill/internal/decide/workerpool"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// shrinkNotice is how long after a worker's capacity has shrunk a start may still
// go by the former one: the platform's window and one heartbeat.
const shrinkNotice = 3*time.Second + heartbeatInterval

// bindingCapacity returns the capacity that starts must not exceed now.
func (w *simWorker) bindingCapacity() fleet.Size {
	if w.world.now.Sub(w.changedAt) < shrinkNotice && w.info.Capacity.Fits(w.former) {
		return w.former
	}
	return w.info.Capacity
}

// changeCapacities makes the capacity of random workers shrink and grow again
// under their runs, until a time.
func (w *world) changeCapacities(until time.Time) {
	w.after(300*time.Millisecond, func() {
		if w.now.After(until) {
			return
		}
		sw := w.workers[w.rng.IntN(len(w.workers))]
		if w.now.Sub(sw.changedAt) > shrinkNotice {
			sw.former, sw.changedAt = sw.info.Capacity, w.now
			sw.info.Capacity.MilliCPU = []int{16000, 24000, 32000}[w.rng.IntN(3)]
		}
		w.changeCapacities(until)
	})
}

// Guards against a former entry of a worker, returned by a read that is behind,
// which brings back a capacity that has shrunk since.
func TestOutdatedEntryHasNoEffect(t *testing.T) {
	entry := func(startTime, heartbeat int64, cores int) fleet.Worker {
		return fleet.Worker{
			ID: "w", Address: "a", Zone: "z0", Service: "s", StartTime: startTime, Heartbeat: heartbeat,
			Capacity: fleet.Size{MilliCPU: cores * 1000, MemoryMB: 1000},
		}
	}
	for name, c := range map[string]struct {
		later fleet.Worker
		want  int
	}{
		"a newer heartbeat":      {entry(5, 8, 48), 48},
		"the same heartbeat":     {entry(5, 7, 16), 16},
		"a former heartbeat":     {entry(5, 6, 48), 16},
		"a new incarnation":      {entry(6, 1, 48), 48},
		"a former incarnation":   {entry(4, 90, 48), 16},
		"an entry without times": {entry(0, 90, 48), 16},
	} {
		t.Run(name, func(t *testing.T) {
			c0 := New(Config{Name: "h", Zone: "z0", MaxLease: testLease, Partitions: 1, Ledger: testLedger()})
			c0.Ownership.Joined(ownership.Seat{Zone: "z0"}, 1, []int{0})
			c0.UpdateWorker(testEpoch, entry(5, 7, 16))
			c0.UpdateWorker(testEpoch, c.later)
			for range 2 {
				for _, a := range c0.Reconcile(testEpoch) {
					answerPoll(c0, a)
				}
			}
			report := c0.Report(testEpoch.Add(settleTime))
			require.Len(t, report.Workers, 1)
			assert.Equal(t, c.want*1000, report.Workers[0].Free.MilliCPU)
		})
	}
}

// answerPoll answers an action that is a poll, as an idle worker does.
func answerPoll(c *Core, a Action) {
	if poll, ok := a.(workerpool.Poll); ok {
		c.Pool.PollAnswered(testEpoch, poll.Worker.ID, poll.Number, fleet.PollResponse{StartTime: poll.Worker.StartTime})
	}
}
