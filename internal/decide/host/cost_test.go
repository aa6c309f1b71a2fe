package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/workerpool"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	costZones      = 3
	costOwnWorkers = 12
	// settleTime is longer than an adopted worker waits for stops of a former owner.
	settleTime = 60 * time.Millisecond
)

// costHost returns one host of a fleet: it owns costOwnWorkers workers, and knows the
// workers of all hosts and the reports of those to which it keeps a stream. It also
// returns the pending polls of its workers.
func costHost(b testing.TB, hosts int) (*Core, time.Time, []workerpool.Poll) {
	b.Helper()
	now := time.Unix(1000, 0)
	adopted := now.Add(-settleTime)
	c := New(Config{Name: "host-0", Zone: "zone-0", MaxLease: time.Second, Partitions: 4, Nonce: 1})
	size := fleet.Size{MilliCPU: 16000, MemoryMB: 1 << 16}
	peers := min(hosts, hosts/costZones+2*costZones)
	for h := range hosts {
		zone := fmt.Sprintf("zone-%d", h%costZones)
		var report offer.CapacityReport
		for i := range costOwnWorkers {
			w := fleet.Worker{ID: fmt.Sprintf("worker-%d-%d", h, i), Address: fmt.Sprintf("worker-%d-%d:1", h, i), Zone: zone, Service: "s", StartTime: 1, Capacity: size}
			c.UpdateWorker(now, w)
			report.Workers = append(report.Workers, offer.WorkerCapacity{ID: w.ID, Service: "s", Free: size})
			report.Capacity += size.MilliCPU
			if h == 0 {
				c.Pool.Adopt(adopted, w, 7)
			}
		}
		if h > 0 && h < peers {
			c.UpdateHost(now, fmt.Sprintf("host-%d", h), zone, report)
		}
	}
	for _, a := range c.Reconcile(adopted) {
		if poll, ok := a.(workerpool.Poll); ok {
			c.Pool.PollAnswered(adopted, poll.Worker.ID, poll.Number, fleet.PollResponse{Clock: time.Minute, StartTime: 1})
		}
	}
	c.Tick(now)
	var polls []workerpool.Poll
	for _, a := range c.Reconcile(now) {
		if poll, ok := a.(workerpool.Poll); ok {
			polls = append(polls, poll)
		}
	}
	return c, now, polls
}

// fleetSizes are the numbers of hosts that a host is designed for.
var fleetSizes = []int{29, 150, 300}

func costJob(id int) fleet.Job {
	return fleet.Job{ID: fmt.Sprintf("%016x", id), BestEffort: true, Steps: []fleet.Step{{
		Count: 4, Size: fleet.Size{MilliCPU: 400, MemoryMB: 64}, Estimate: 100 * time.Millisecond,
	}}}
}

var costRoute = fleet.Route{Name: "r", Service: "s", Stretch: 1.6, LatencySlack: 60 * time.Millisecond, MaxAttempts: 3}

// Each task was compared with all workers of all known hosts, also while the own
// workers were free: the processor time of a job grew with the fleet.
func TestOfferDoesNotSearchTheFleetWhileOwnWorkersAreFree(t *testing.T) {
	for _, hosts := range fleetSizes {
		c, now, _ := costHost(t, hosts)
		before := c.Coordinator.Considered()
		job := costJob(1)
		c.Coordinator.Submit(now, job, costRoute, 2*time.Second)
		assert.LessOrEqual(t, c.Coordinator.Considered()-before, job.Steps[0].Count*costOwnWorkers, "workers considered for a job in a fleet of %d hosts", hosts)
	}
}

// benchmarkFleets runs a benchmark at the sizes that the host is designed for.
func benchmarkFleets(b *testing.B, run func(b *testing.B, c *Core, now time.Time, polls []workerpool.Poll)) {
	for _, hosts := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			c, now, polls := costHost(b, hosts)
			b.ReportAllocs()
			run(b, c, now, polls)
		})
	}
}

// BenchmarkIdleRound measures one round of the event loop in which nothing happens.
func BenchmarkIdleRound(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, c *Core, now time.Time, _ []workerpool.Poll) {
		for i := 0; b.Loop(); i++ {
			c.Reconcile(now.Add(time.Duration(i) * time.Microsecond))
		}
	})
}

// BenchmarkIdleTick measures one tick, of which a host has 50 a second.
func BenchmarkIdleTick(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, c *Core, now time.Time, _ []workerpool.Poll) {
		for i := 0; b.Loop(); i++ {
			at := now.Add(time.Duration(i) * 20 * time.Millisecond)
			c.Tick(at)
			c.Reconcile(at)
		}
	})
}

// BenchmarkReport measures the computation of this host's capacity report, and
// BenchmarkReportReceived the handling of another host's.
func BenchmarkReport(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, c *Core, now time.Time, _ []workerpool.Poll) {
		for b.Loop() {
			c.Report(now)
		}
	})
}

func BenchmarkReportReceived(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, c *Core, now time.Time, _ []workerpool.Poll) {
		report := c.Report(now)
		for b.Loop() {
			c.UpdateHost(now, "host-1", "zone-1", report)
			c.Reconcile(now)
		}
	})
}

// BenchmarkJob measures a job of four tasks from its arrival to its answer, with all
// runs on own workers.
func BenchmarkJob(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, c *Core, now time.Time, polls []workerpool.Poll) {
		seq := int64(0)
		pending, ended := map[string]workerpool.Poll{}, map[string][]fleet.RunEnd{}
		starts := func(at time.Time) (started []workerpool.Start) {
			for _, a := range c.Reconcile(at) {
				switch a := a.(type) {
				case workerpool.Poll:
					pending[a.Worker.ID] = a
				case workerpool.Start:
					started = append(started, a)
				}
			}
			return started
		}
		for _, poll := range polls {
			pending[poll.Worker.ID] = poll
		}
		for i := 0; b.Loop(); i++ {
			at := now.Add(time.Duration(i) * time.Millisecond)
			clock := time.Minute + time.Duration(i)*time.Millisecond
			c.Coordinator.Submit(at, costJob(i+1), costRoute, 2*time.Second)
			for _, s := range starts(at) {
				c.Pool.StartAnswered(at, s.Worker.ID, s.Run, s.Fence, fleet.StartAccepted, clock)
				seq++
				ended[s.Worker.ID] = append(ended[s.Worker.ID], fleet.RunEnd{RunID: s.Run, Seq: seq, Reason: fleet.EndedDone})
			}
			if i%20 == 0 {
				c.Tick(at)
				starts(at)
			}
			for id, ends := range ended {
				if poll, ok := pending[id]; ok {
					c.Pool.PollAnswered(at, id, poll.Number, fleet.PollResponse{Clock: clock, StartTime: 1, Ended: ends})
					delete(pending, id)
					delete(ended, id)
				}
			}
			starts(at)
		}
		if n := c.Coordinator.Len(); n > 20 {
			b.Fatalf("%d jobs were not answered", n)
		}
	})
}
