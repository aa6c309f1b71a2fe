package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/nearwait"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// newRackPool returns a pool with worker n of rack r, which runs one task that was
// started at epoch, and an idle worker x of another rack.
func newRackPool(t *testing.T, slowdown float64) *Pool {
	t.Helper()
	cfg := DefaultConfig(testLease)
	cfg.RemoteSlowdown = slowdown
	p := NewPool(cfg)
	for id, rack := range map[string]string{"n": "r", "x": "other"} {
		w := testWorker(id, 16)
		w.Labels = []string{rack}
		p.Adopt(epoch, w, 7)
	}
	for _, poll := range actionsOf[Poll](p.PopActions(epoch)) {
		p.PollAnswered(epoch, poll.Worker.ID, poll.Number, idleResponse())
	}
	settle(p)
	p.Offer(epoch, rackTask(1, epoch, "r"))
	starts := actionsOf[Start](p.PopActions(epoch))
	require.Len(t, starts, 1)
	require.Equal(t, "n", starts[0].Worker.ID)
	p.StartAnswered(epoch, "n", starts[0].Run, 7, fleet.StartAccepted, time.Minute)
	return p
}

// rackTask returns a task of 100 ms that fills a worker and may start 600 ms late.
func rackTask(job int, now time.Time, rack string) offer.Task {
	task := testTask(job, 0, 16, now)
	task.Affinity, task.StartBy = rack, now.Add(600*time.Millisecond)
	return task
}

func startedOn(actions []Action) []string {
	var ids []string
	for _, s := range actionsOf[Start](actions) {
		ids = append(ids, s.Worker.ID)
	}
	return ids
}

// Guards against a slow run elsewhere although the rack is free in 20 ms, against a
// hand-over during the wait, and against a wait that outlasts its end.
func TestShortWaitAtTheOwner(t *testing.T) {
	p := newRackPool(t, 2)
	now := epoch.Add(80 * time.Millisecond)
	p.Offer(now, rackTask(2, now, "r"))
	actions := p.PopActions(now)
	assert.Empty(t, startedOn(actions))
	decisions := actionsOf[NearDecision](actions)
	require.Len(t, decisions, 1)
	assert.Equal(t, nearwait.Decision{Action: nearwait.WaitNear, Reason: nearwait.NearEndsEarlier, Until: now.Add(28 * time.Millisecond)}, decisions[0].Decision)
	now = now.Add(15 * time.Millisecond)
	p.HandOff(now, []offer.WorkerCapacity{{ID: "far", Service: "s", Free: fleet.Size{MilliCPU: 16000, MemoryMB: 64}}})
	assert.Equal(t, 1, p.QueueLength())
	assert.Empty(t, p.PopActions(now), "a wait in force causes no action")

	free := *p.workers["n"]
	for _, r := range free.sortedRuns() {
		p.workers["n"].removeRun(r)
	}
	assert.Equal(t, []string{"n"}, startedOn(p.PopActions(now)))
}

// Guards against a task that waits here while another owner has a free worker of
// its rack.
func TestWaitEndsWhenAnotherOwnersNearPlaceIsFree(t *testing.T) {
	p := newRackPool(t, 2)
	p.cfg.HasLabel = func(worker, rack string) bool { return worker == "far-near" && rack == "r" }
	now := epoch.Add(80 * time.Millisecond)
	p.Offer(now, rackTask(2, now, "r"))
	assert.Empty(t, startedOn(p.PopActions(now)))
	now = now.Add(10 * time.Millisecond)
	p.HandOff(now, []offer.WorkerCapacity{{ID: "far-near", Service: "s", Free: fleet.Size{MilliCPU: 16000, MemoryMB: 64}}})
	assert.Zero(t, p.QueueLength())
}

// Guards against a task that waits on although the rack stays busy.
func TestWaitEndsElsewhere(t *testing.T) {
	p := newRackPool(t, 2)
	now := epoch.Add(80 * time.Millisecond)
	p.Offer(now, rackTask(2, now, "r"))
	assert.Empty(t, startedOn(p.PopActions(now)))
	for range 100 {
		now = now.Add(5 * time.Millisecond)
		if ids := startedOn(p.PopActions(now)); len(ids) > 0 {
			assert.Equal(t, []string{"x"}, ids)
			assert.LessOrEqual(t, now.Sub(epoch), 180*time.Millisecond, "the wait is at most what the slower run costs")
			return
		}
	}
	t.Fatal("the task never started")
}

// Guards against waits of tasks that need none: without a rack, for an unknown
// rack, for a rack that is away, where the policy is off, and behind a long queue.
func TestTasksThatDoNotWaitAtTheOwner(t *testing.T) {
	for name, c := range map[string]struct {
		slowdown float64
		rack     string
		change   func(*Pool)
	}{
		"no rack":         {2, "", nil},
		"an unknown rack": {2, "r9", nil},
		"the policy is off or no slowdown is stated": {0, "r", nil},
		"the rack is away":                           {2, "r", func(p *Pool) { p.workers["n"].info.Draining = true }},
	} {
		t.Run(name, func(t *testing.T) {
			p := newRackPool(t, c.slowdown)
			if c.change != nil {
				c.change(p)
			}
			now := epoch.Add(80 * time.Millisecond)
			p.Offer(now, rackTask(2, now, c.rack))
			assert.Equal(t, []string{"x"}, startedOn(p.PopActions(now)))
		})
	}
}

// Guards against larger reports at deployments without racks, and against a report
// without the ends at one with them.
func TestReportCarriesEndsOfNamedRacksOnly(t *testing.T) {
	p := newRackPool(t, 2)
	now := epoch.Add(30 * time.Millisecond)
	for _, w := range p.Report(now).Workers {
		want := map[string][]offer.ExpectedEnd{"n": {{In: 70 * time.Millisecond, MilliCPU: 16000}}}[w.ID]
		assert.Equal(t, want, w.Ends)
	}
	for _, w := range p.Report(epoch.Add(rackReportTime + time.Second)).Workers {
		assert.Empty(t, w.Ends)
	}
	for _, w := range newRackPool(t, 0).Report(now).Workers {
		assert.Empty(t, w.Ends)
	}
}
