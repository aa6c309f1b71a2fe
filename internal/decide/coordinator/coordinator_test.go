package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const testJob = "00000000000000a1"

var (
	epoch     = time.Unix(1000, 0)
	testRoute = fleet.Route{Name: "r", Service: "s", LatencySlack: 60 * time.Millisecond, Stretch: 1.6, MaxAttempts: 3}
)

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) []T {
	var found []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

// coordinatorWithHosts returns a coordinator connected to two other hosts, each
// with one worker that has the given number of free cores.
func coordinatorWithHosts(cores int) *Coordinator {
	c := New(Config{Self: "self", Zone: "z", MaxLease: time.Second})
	for _, h := range []string{"h1", "h2"} {
		w := "w-" + h
		c.UpdateWorker(epoch, fleet.Worker{ID: w, Service: "s", Zone: "z"})
		c.UpdateHost(epoch, h, "z", reportOf(w, cores))
	}
	return c
}

func reportOf(worker string, cores int) offer.CapacityReport {
	return offer.CapacityReport{
		Capacity: 32000, FreeingRate: 100_000,
		Workers: []offer.WorkerCapacity{{ID: worker, Service: "s", Free: fleet.Size{MilliCPU: cores * 1000, MemoryMB: 1000}}},
	}
}

func jobOf(tasks int, estimate time.Duration) fleet.Job {
	return fleet.Job{ID: testJob, BestEffort: true, Steps: []fleet.Step{
		{Count: tasks, Size: fleet.Size{MilliCPU: 14000}, Estimate: estimate},
	}}
}

func outcome(index int, result offer.Result, worker string, fence int64) offer.Outcome {
	return offer.Outcome{
		Host: "self", Task: fleet.TaskName{Job: testJob, Index: index}, Run: 1, Result: result, MayHaveRun: true, Worker: worker, Fence: fence,
	}
}

func TestJobIsSpreadOverHostsWithCapacity(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.Submit(epoch, jobOf(4, 60*time.Millisecond), testRoute, 0)
	offers := actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 2)
	assert.Len(t, offers[0].Tasks, 2)
	assert.Len(t, offers[1].Tasks, 2)
}

func TestStepsRunInOrder(t *testing.T) {
	c := coordinatorWithHosts(32)
	job := jobOf(1, 60*time.Millisecond)
	job.Steps = append(job.Steps, fleet.Step{Count: 1, Size: fleet.Size{MilliCPU: 1000}, Estimate: time.Millisecond, After: []int{0}})
	c.Submit(epoch, job, testRoute, 0)
	offers := actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	assert.Zero(t, offers[0].Tasks[0].Name.Step)
	c.HandleOutcome(epoch, offers[0].Host, outcome(0, offer.Done, "w", 1))
	offers = actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	assert.Equal(t, 1, offers[0].Tasks[0].Name.Step)
}

// A job that cannot be done in time, as in a burst, is refused immediately,
// reported as not run, with the delay before a retry.
func TestBurstIsRefusedAtOnce(t *testing.T) {
	c := coordinatorWithHosts(0)
	for _, h := range c.sortedHosts {
		h.report.QueuedWork = map[int]int64{0: 32000 * 1000}
	}
	c.Submit(epoch, jobOf(2, 60*time.Millisecond), testRoute, 2*time.Second)
	answers := actionsOf[Answer](c.PopActions())
	require.Len(t, answers, 1)
	assert.Equal(t, errkind.NotRun, answers[0].Err.Run)
	assert.GreaterOrEqual(t, answers[0].RetryAfter, time.Second)
}

// If the hosts' queues grow after a job was accepted, the job is recalled after a
// quarter of its objective, and refused only once every owner has returned its
// tasks.
func TestRecalledJobIsRefusedOnlyWhenAllTasksAreReturned(t *testing.T) {
	c := coordinatorWithHosts(0)
	c.Submit(epoch, jobOf(2, 60*time.Millisecond), testRoute, 2*time.Second)
	offers := actionsOf[Offer](c.PopActions())
	require.NotEmpty(t, offers)
	for _, h := range c.sortedHosts {
		h.report.QueuedWork = map[int]int64{0: 32000 * 1000}
	}
	now := epoch.Add(50 * time.Millisecond)
	c.Tick(now)
	actions := c.PopActions()
	require.Len(t, actionsOf[Recall](actions), len(offers))
	assert.Empty(t, actionsOf[Answer](actions))
	for _, o := range offers {
		for _, task := range o.Tasks {
			c.HandleOutcome(now, o.Host, offer.Outcome{Host: "self", Task: task.Name, Result: offer.Returned})
		}
	}
	answers := actionsOf[Answer](c.PopActions())
	require.Len(t, answers, 1)
	assert.Equal(t, errkind.NotRun, answers[0].Err.Run)
}

// If a task has started by the time a recall reaches its host, the job
// continues.
func TestRecallOfAStartedJobIsDropped(t *testing.T) {
	c := coordinatorWithHosts(0)
	c.Submit(epoch, jobOf(1, 60*time.Millisecond), testRoute, 2*time.Second)
	host := actionsOf[Offer](c.PopActions())[0].Host
	for _, h := range c.sortedHosts {
		h.report.QueuedWork = map[int]int64{0: 32000 * 1000}
	}
	now := epoch.Add(50 * time.Millisecond)
	c.Tick(now)
	require.NotEmpty(t, actionsOf[Recall](c.PopActions()))
	c.HandleOutcome(now, host, outcome(0, offer.Started, "w", 1))
	c.Tick(now.Add(50 * time.Millisecond))
	actions := c.PopActions()
	assert.Empty(t, actionsOf[Recall](actions))
	assert.Empty(t, actionsOf[Answer](actions))
}

func TestRetryAvoidsTheLastWorkerAndCountsAttempts(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.Submit(epoch, jobOf(1, 60*time.Millisecond), testRoute, 0)
	host := actionsOf[Offer](c.PopActions())[0].Host
	failed := outcome(0, offer.Returned, "w1", 1)
	failed.FailedRuns = offer.RunSet{failed.Run}
	c.HandleOutcome(epoch, host, failed)
	again := actionsOf[Offer](c.PopActions())
	require.Len(t, again, 1)
	task := again[0].Tasks[0]
	assert.Equal(t, 2, task.NextRun)
	assert.Equal(t, offer.RunSet{1}, task.FailedRuns)
	assert.Equal(t, "w1", task.Avoid)
}

// The loss of an owner orphans its runs. They are claimed when a new owner lists
// them, and started again only once their leases have certainly expired.
func TestOrphanedRunIsClaimedOrRetriedAfterItsLease(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.Submit(epoch, jobOf(1, 900*time.Millisecond), testRoute, 5*time.Second)
	host := actionsOf[Offer](c.PopActions())[0].Host
	c.HandleOutcome(epoch, host, outcome(0, offer.Started, "w1", 7))
	c.HostLost(epoch, host)
	run := fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: 1}

	c.Tick(epoch.Add(900 * time.Millisecond))
	require.Empty(t, actionsOf[Offer](c.PopActions()), "the lease may not have expired yet")
	other := map[string]string{"h1": "h2", "h2": "h1"}[host]
	c.HandleInventory(epoch, other, offer.Inventory{Worker: "w1", Fence: 8, Running: []fleet.RunID{run}})
	claims := actionsOf[Claim](c.PopActions())
	require.Len(t, claims, 1)
	assert.Equal(t, other, claims[0].Host)

	c.HostLost(epoch, other)
	c.UpdateHost(epoch, host, "z", reportOf("w-"+host, 32))
	c.Tick(epoch.Add(1200 * time.Millisecond))
	offers := actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	assert.Equal(t, 3, offers[0].Tasks[0].NextRun, "a start that was never reported may have used run 2")
}

// An inventory of a former owner that arrives late has no effect on runs that a
// later owner started: it neither claims them, nor are they lost because it does
// not list them.
func TestLateInventoryOfAFormerOwnerIsIgnored(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.Submit(epoch, jobOf(1, 900*time.Millisecond), testRoute, 5*time.Second)
	host := actionsOf[Offer](c.PopActions())[0].Host
	c.HandleOutcome(epoch, host, outcome(0, offer.Started, "w1", 7))
	c.HandleInventory(epoch, "other", offer.Inventory{Worker: "w1", Fence: 6})
	assert.Empty(t, c.PopActions())
	c.HandleInventory(epoch, "other", offer.Inventory{Worker: "w1", Fence: 6, Running: []fleet.RunID{{Task: fleet.TaskName{Job: testJob}, Run: 1}}})
	assert.Empty(t, c.PopActions())
	c.HandleInventory(epoch, "other", offer.Inventory{Worker: "w1", Fence: 8})
	assert.Len(t, actionsOf[Offer](c.PopActions()), 1, "an inventory of a later owner without the run proves that it is over")
}

// A retry whose start was never reported may be on any worker: an inventory of
// the first run's worker does not prove that the retry is over.
func TestInventoryOfTheFirstWorkerDoesNotEndAnUnreportedRetry(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.Submit(epoch, jobOf(1, 900*time.Millisecond), testRoute, 5*time.Second)
	host := actionsOf[Offer](c.PopActions())[0].Host
	c.HandleOutcome(epoch, host, outcome(0, offer.Returned, "w1", 7))
	require.Len(t, actionsOf[Offer](c.PopActions()), 1)
	c.HostLost(epoch, "h1")
	c.HostLost(epoch, "h2")
	c.UpdateHost(epoch, "h2", "z", reportOf("w-h2", 32))
	c.PopActions()
	c.HandleInventory(epoch, "h2", offer.Inventory{Worker: "w1", Fence: 8})
	assert.Empty(t, actionsOf[Offer](c.PopActions()))
}

// Without any capacity the caller is asked to retry within seconds, not after an
// hour.
func TestRetryAfterStaysShortWithoutCapacity(t *testing.T) {
	c := New(Config{Self: "self", Zone: "z", MaxLease: time.Second})
	c.UpdateWorker(epoch, fleet.Worker{ID: "w", Service: "s"})
	c.Submit(epoch, jobOf(1, 60*time.Millisecond), testRoute, 0)
	answers := actionsOf[Answer](c.PopActions())
	require.Len(t, answers, 1)
	assert.Equal(t, maxRetryAfter, answers[0].RetryAfter)
}

// If the stream to a host is replaced while offers to it are pending, the offers
// are cancelled. Sent over the new stream, they would run tasks a second time that
// the coordinator already counts as lost.
func TestUnsentOffersToALostHostAreCancelled(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.HostLost(epoch, "h2")
	c.PopActions()
	c.Submit(epoch, jobOf(1, 60*time.Millisecond), testRoute, 0)
	c.HostLost(epoch, "h1")
	assert.Empty(t, actionsOf[Offer](c.PopActions()))
	c.UpdateHost(epoch, "h1", "z", reportOf("w-h1", 32))
	offers := actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	assert.Equal(t, 1, offers[0].Tasks[0].NextRun, "no run was lost")
}

// Guards against a second run beside the one that an owner has started: the job was sent
// again, an owner listed a run of the first submission late, and the coordinator claimed
// it for the task that it had offered to another owner. The run that this owner started
// was then unknown, and the task was offered again when the claimed run was over.
func TestRunOfAnEarlierSubmissionDoesNotReplaceAnOffer(t *testing.T) {
	for _, listedAgain := range []bool{false, true} {
		c := coordinatorWithHosts(32)
		c.Submit(epoch, jobOf(1, 900*time.Millisecond), testRoute, 5*time.Second)
		host := actionsOf[Offer](c.PopActions())[0].Host
		other := map[string]string{"h1": "h2", "h2": "h1"}[host]
		found := offer.Inventory{Worker: "w-" + other, Fence: 8, Running: []fleet.RunID{{Task: fleet.TaskName{Job: testJob}, Run: 1}}}

		c.HandleInventory(epoch, other, found)
		c.HandleOutcome(epoch, host, outcome(0, offer.Started, "w-"+host, 7))
		if listedAgain {
			c.HandleInventory(epoch, other, found)
		}
		over := outcome(0, offer.Orphaned, "", 0)
		over.Why = "run ended before the claim"
		c.HandleOutcome(epoch, other, over)
		c.Tick(epoch.Add(200 * time.Millisecond))
		assert.Empty(t, actionsOf[Offer](c.PopActions()), "the run on %s goes on", host)

		c.HandleOutcome(epoch.Add(time.Second), host, outcome(0, offer.Done, "w-"+host, 7))
		answers := actionsOf[Answer](c.PopActions())
		require.Len(t, answers, 1)
		assert.Nil(t, answers[0].Err)
	}
}
