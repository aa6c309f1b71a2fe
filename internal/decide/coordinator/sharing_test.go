package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// sharedRoute returns one of three routes, by default of different priorities.
func sharedRoute(i int) fleet.Route {
	r := testRoute
	r.Name, r.Priority = []string{"urgent", "middle", "long"}[i], i
	return r
}

// sharedJob returns a job of a route: 8 tasks of 60 ms, 2 of 200 ms or 4 of 900 ms.
func sharedJob(route, n int) fleet.Job {
	j := jobOf([]int{8, 2, 4}[route], time.Duration([]int{60, 200, 900}[route])*time.Millisecond)
	j.ID, j.Steps[0].Size.MilliCPU = fmt.Sprintf("%016x", n), 8000
	return j
}

// sharingCoordinator returns a coordinator connected to two hosts of 1,600 cores. Its
// routes usually have 14, 45 and 41% of the work.
func sharingCoordinator(sharing bool) *Coordinator {
	c := coordinatorWithHosts(0)
	c.cfg.Sharing = sharing
	for at := -20 * time.Second; at < 0; at += 10 * time.Millisecond {
		for i, percent := range []int64{14, 45, 41} {
			c.sharing.demand.Observe(epoch.Add(at), sharedRoute(i).Name, "s", i, percent*160_000)
		}
	}
	return c
}

// reportLoad makes both hosts report waiting work, in milliseconds of their
// capacity, and running work, in percent of it, by route or only by priority.
func reportLoad(c *Coordinator, byRoute bool, waiting, running [3]int64) {
	for _, h := range []string{"h1", "h2"} {
		r := reportOf("w-"+h, 0)
		r.Capacity, r.FreeingRate, r.QueuedWork = 1_600_000, 4_800_000, map[int]int64{}
		for i := range waiting {
			r.QueuedWork[i] = waiting[i] * 1_600_000
			if byRoute {
				r.Routes = append(r.Routes, offer.RouteLoad{Route: sharedRoute(i).Name, WaitingWork: r.QueuedWork[i], RunningCPU: running[i] * 16_000})
			}
		}
		c.UpdateHost(epoch, h, "z", r)
	}
}

// reportBurst reports a burst of long tasks.
func reportBurst(c *Coordinator, byRoute bool) {
	reportLoad(c, byRoute, [3]int64{5, 20, 300}, [3]int64{10, 30, 60})
}

// Guards against urgent jobs that are refused or late in a burst of long tasks, and
// against jobs of the burst that are accepted to be late, also where hosts of the
// previous version report no routes.
func TestBurstOfLongTasksLeavesUrgentOnTime(t *testing.T) {
	for _, byRoute := range []bool{true, false} {
		c := sharingCoordinator(true)
		reportBurst(c, byRoute)
		for n := range 30 {
			c.Submit(epoch, sharedJob(n%3, n), sharedRoute(n%3), 3*time.Second)
		}
		answers, delays := actionsOf[Answer](c.PopActions()), map[time.Duration]bool{}
		for _, a := range answers {
			assert.Equal(t, Refusal("share_used"), a.Summary.Refusal)
			assert.Regexp(t, "route long.* share .* expected wait", a.Summary.Why)
			delays[a.RetryAfter] = true
		}
		assert.Len(t, answers, 10, "by route: %v", byRoute)
		assert.Greater(t, len(delays), 1, "callers don't return together")
	}
}

// Guards against the refusal, at arrival or at the second check, of a job of a route
// within its share because of a burst of a more urgent route.
func TestRouteWithinShareIsNotRefused(t *testing.T) { assertServedInBurstOfUrgent(t, 4) }

// Guards against wide jobs that are refused or split where narrow ones are accepted.
func TestWideJobsAreNotStarved(t *testing.T) { assertServedInBurstOfUrgent(t, 16) }

func assertServedInBurstOfUrgent(t *testing.T, width int) {
	c, offered := sharingCoordinator(true), 0
	reportLoad(c, true, [3]int64{1000, 200, 50}, [3]int64{50, 30, 20})
	job := sharedJob(2, 1)
	job.Steps[0].Count = width
	c.Submit(epoch, job, sharedRoute(2), 3*time.Second)
	for _, o := range actionsOf[Offer](c.PopActions()) {
		offered += len(o.Tasks)
	}
	assert.Equal(t, width, offered)
	c.Tick(epoch.Add(400 * time.Millisecond))
	assert.Empty(t, c.PopActions())
}

// Guards against free capacity that nobody has confirmed, and against the loss of that
// of a host whose report does not change.
func TestFreeCapacityOfAnOutdatedReportDoesNotCount(t *testing.T) {
	for _, heard := range []bool{true, false} {
		c := sharingCoordinator(true)
		reportBurst(c, true)
		c.hosts["h1"].report.Workers[0].Free = fleet.Size{MilliCPU: 32000, MemoryMB: 1000}
		now := epoch.Add(1100 * time.Millisecond)
		if heard {
			c.HostHeard(now, "h1")
		}
		c.Submit(now, sharedJob(2, 1), sharedRoute(2), 3*time.Second)
		assert.Equal(t, !heard, len(actionsOf[Answer](c.PopActions())) == 1)
	}
}

// Guards against a late job whose tasks go from owner to owner, each of which returns
// them because tasks that can be on time wait there.
func TestLateReturnedJobIsRefused(t *testing.T) {
	c := sharingCoordinator(true)
	reportBurst(c, true)
	c.Submit(epoch, sharedJob(1, 1), sharedRoute(1), 3*time.Second)
	for _, o := range actionsOf[Offer](c.PopActions()) {
		for _, task := range o.Tasks {
			c.HandleOutcome(epoch.Add(250*time.Millisecond), o.Host, offer.Outcome{Task: task.Name, Result: offer.Returned})
		}
	}
	actions := c.PopActions()
	assert.Empty(t, actionsOf[Offer](actions))
	answers := actionsOf[Answer](actions)
	require.Len(t, answers, 1)
	assert.Equal(t, Refusal("too_late"), answers[0].Summary.Refusal)
}

// Guards against changes of the previous decision while no work waits, or where the
// routes have one priority.
func TestCalmDayIsUnchanged(t *testing.T) {
	for _, ranked := range []bool{true, false} {
		var results [2][]Action
		for i, sharing := range []bool{false, true} {
			c, waiting := sharingCoordinator(sharing), [3]int64{}
			if !ranked {
				c.sharing, waiting = sharingState{}, [3]int64{5, 300, 100}
			}
			for n := range 40 {
				reportLoad(c, true, waiting, [3]int64{50, 30, 20})
				c.Tick(epoch.Add(100 * time.Millisecond))
				route := sharedRoute(n % 3)
				if !ranked {
					route.Priority = 0
				}
				c.Submit(epoch, sharedJob(n%3, n), route, 2*time.Second)
				results[i] = append(results[i], c.PopActions()...)
			}
		}
		assert.NotEmpty(t, results[0])
		assert.Equal(t, results[0], results[1])
	}
}
