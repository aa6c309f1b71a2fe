package coordinator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// sharedRoute returns one of three routes of different priorities.
func sharedRoute(priority int) fleet.Route {
	r := testRoute
	r.Name, r.Priority = []string{"urgent", "middle", "long"}[priority], priority
	return r
}

// sharedJob returns a job of a route: 8 tasks of 60 ms, 2 of 200 ms or 4 of 900 ms.
func sharedJob(priority, n int) fleet.Job {
	j := jobOf([]int{8, 2, 4}[priority], time.Duration([]int{60, 200, 900}[priority])*time.Millisecond)
	j.ID, j.Steps[0].Size.MilliCPU = fmt.Sprintf("%016x", n), 8000
	return j
}

// sharingCoordinator returns a coordinator connected to two hosts of 1,600 cores. A
// usual day has passed: the routes need 14, 45 and 41% of the work.
func sharingCoordinator(sharing bool) *Coordinator {
	c := coordinatorWithHosts(0)
	c.cfg.Sharing = sharing
	for at := -20 * time.Second; at < 0; at += 10 * time.Millisecond {
		for i, share := range []int64{14, 45, 41} {
			c.sharing.demand.Observe(epoch.Add(at), sharedRoute(i).Name, "s", i, share*1_600_000/10)
		}
	}
	return c
}

// reportBurst makes both hosts report waiting work, in milliseconds of their
// capacity, and running work, in percent of it, by route or only by priority.
func reportBurst(c *Coordinator, now time.Time, byRoute bool, waiting, running [3]int64) {
	for _, h := range []string{"h1", "h2"} {
		r := reportOf("w-"+h, 0)
		r.Capacity, r.FreeingRate, r.QueuedWork = 1_600_000, 4_800_000, map[int]int64{}
		for i := range waiting {
			r.QueuedWork[i] = waiting[i] * 1_600_000
			if byRoute {
				r.Routes = append(r.Routes, offer.RouteLoad{Route: sharedRoute(i).Name, WaitingWork: r.QueuedWork[i], RunningCPU: running[i] * 16_000})
			}
		}
		c.UpdateHost(now, h, "z", r)
	}
}

// Guards against urgent jobs that are refused or late in a burst of long tasks, and
// against jobs of the burst that are accepted to be late, also where hosts of the
// previous version report no routes.
func TestBurstOfLongTasksLeavesUrgentOnTime(t *testing.T) {
	for _, byRoute := range []bool{true, false} {
		c := sharingCoordinator(true)
		reportBurst(c, epoch, byRoute, [3]int64{5, 20, 800}, [3]int64{10, 30, 60})
		for n := range 30 {
			c.Submit(epoch, sharedJob(n%3, n), sharedRoute(n%3), 3*time.Second)
		}
		refused, delays := 0, map[time.Duration]bool{}
		for _, a := range actionsOf[Answer](c.PopActions()) {
			require.Equal(t, "long", a.Summary.Route, a.Summary.Why)
			assert.Equal(t, Refusal("share_used"), a.Summary.Refusal)
			assert.True(t, strings.Contains(a.Summary.Why, "route long") && strings.Contains(a.Summary.Why, "expected wait"), a.Summary.Why)
			refused++
			delays[a.RetryAfter] = true
		}
		assert.Equal(t, 10, refused, "by route: %v", byRoute)
		assert.Greater(t, len(delays), 1, "callers don't return together")
	}
}

// Guards against the refusal, at arrival or at the second check, of jobs of a route
// within its share because of a burst of a more urgent route, and against wide jobs
// that are refused or split where narrow ones are accepted.
func TestRouteWithinShareIsNotRefused(t *testing.T) {
	for _, width := range []int{4, 16} {
		c := sharingCoordinator(true)
		reportBurst(c, epoch, true, [3]int64{1000, 200, 50}, [3]int64{50, 30, 20})
		job := sharedJob(2, 1)
		job.Steps[0].Count = width
		c.Submit(epoch, job, sharedRoute(2), 3*time.Second)
		offered := 0
		for _, o := range actionsOf[Offer](c.PopActions()) {
			offered += len(o.Tasks)
		}
		assert.Equal(t, width, offered, "all tasks are offered")
		c.Tick(epoch.Add(400 * time.Millisecond))
		assert.Empty(t, c.PopActions())
	}
}

// Guards against free capacity that nobody has confirmed, and against the loss of that
// of a host whose report does not change.
func TestFreeCapacityOfAnOutdatedReportDoesNotCount(t *testing.T) {
	for _, heard := range []bool{true, false} {
		c := sharingCoordinator(true)
		reportBurst(c, epoch, true, [3]int64{5, 20, 800}, [3]int64{10, 30, 60})
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
	reportBurst(c, epoch, true, [3]int64{5, 20, 800}, [3]int64{10, 30, 60})
	job := sharedJob(1, 1)
	c.Submit(epoch, job, sharedRoute(1), 3*time.Second)
	offers := actionsOf[Offer](c.PopActions())
	require.NotEmpty(t, offers)
	now := epoch.Add(250 * time.Millisecond)
	for _, o := range offers {
		for _, task := range o.Tasks {
			c.HandleOutcome(now, o.Host, offer.Outcome{Task: task.Name, Result: offer.Returned})
		}
	}
	actions := c.PopActions()
	assert.Empty(t, actionsOf[Offer](actions))
	answers := actionsOf[Answer](actions)
	require.Len(t, answers, 1)
	assert.Equal(t, Refusal("too_late"), answers[0].Summary.Refusal)
}

// Guards against changes of the previous decision where the part is not active: no
// work waits, the routes have one priority, or the policy is off.
func TestCalmDayIsUnchanged(t *testing.T) {
	for name, d := range map[string]struct {
		waiting  [3]int64
		priority int
	}{"nothing waits": {priority: 1}, "one priority": {waiting: [3]int64{5, 300, 100}, priority: 0}} {
		var results [2][]Action
		for i, sharing := range []bool{false, true} {
			c := sharingCoordinator(sharing)
			if d.priority == 0 {
				c.sharing.demand = New(Config{}).sharing.demand
			}
			reportBurst(c, epoch, true, d.waiting, [3]int64{50, 30, 20})
			for n := range 40 {
				route := sharedRoute(n % 3)
				route.Priority *= d.priority
				c.Submit(epoch, sharedJob(n%3, n), route, 2*time.Second)
				// A new report each time: no offered work waits.
				results[i] = append(results[i], c.PopActions()...)
				reportBurst(c, epoch, true, d.waiting, [3]int64{50, 30, 20})
			}
			c.Tick(epoch.Add(100 * time.Millisecond))
			results[i] = append(results[i], c.PopActions()...)
		}
		assert.NotEmpty(t, results[0])
		assert.Equal(t, results[0], results[1], name)
	}
}
