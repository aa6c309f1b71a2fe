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

// of returns the actions of one type.
func of[T Action](actions []Action) []T {
	var found []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

// known returns a spread that knows two other hosts, each with one worker of
// so many free cores.
func known(cores int) *Coordinator {
	s := New(Config{Self: "self", Zone: "z", MaxLease: time.Second})
	for _, h := range []string{"h1", "h2"} {
		w := "w-" + h
		s.UpdateWorker(fleet.Worker{ID: w, Service: "s", Zone: "z"})
		s.UpdateHost(epoch, h, "z", reportOf(w, cores))
	}
	return s
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

func TestJobIsSpreadOverHostsWithRoom(t *testing.T) {
	s := known(32)
	s.Submit(epoch, jobOf(4, 60*time.Millisecond), testRoute, 0)
	offers := of[Offer](s.PopActions())
	require.Len(t, offers, 2)
	assert.Len(t, offers[0].Tasks, 2)
	assert.Len(t, offers[1].Tasks, 2)
}

func TestStepsRunInOrder(t *testing.T) {
	s := known(32)
	job := jobOf(1, 60*time.Millisecond)
	job.Steps = append(job.Steps, fleet.Step{Count: 1, Size: fleet.Size{MilliCPU: 1000}, Estimate: time.Millisecond, After: []int{0}})
	s.Submit(epoch, job, testRoute, 0)
	offers := of[Offer](s.PopActions())
	require.Len(t, offers, 1)
	assert.Zero(t, offers[0].Tasks[0].Name.Step)
	s.HandleOutcome(epoch, offers[0].Host, outcome(0, offer.Done, "w", 1))
	offers = of[Offer](s.PopActions())
	require.Len(t, offers, 1)
	assert.Equal(t, 1, offers[0].Tasks[0].Name.Step)
}

// A burst: what cannot be done in time is refused at once, as not run, with
// the time to come back.
func TestBurstIsRefusedAtOnce(t *testing.T) {
	s := known(0)
	for _, h := range s.order {
		h.report.QueuedWork = map[int]int64{0: 32000 * 1000}
	}
	s.Submit(epoch, jobOf(2, 60*time.Millisecond), testRoute, 2*time.Second)
	answers := of[Answer](s.PopActions())
	require.Len(t, answers, 1)
	assert.Equal(t, errkind.NotRun, answers[0].Err.Run)
	assert.GreaterOrEqual(t, answers[0].RetryAfter, time.Second)
}

// A queue that grows behind a job: after a quarter of its objective the job is
// recalled, and refused only once every owner has given its tasks back.
func TestRecalledJobIsRefusedOnlyWhenGivenBack(t *testing.T) {
	s := known(0)
	s.Submit(epoch, jobOf(2, 60*time.Millisecond), testRoute, 2*time.Second)
	offers := of[Offer](s.PopActions())
	require.NotEmpty(t, offers)
	for _, h := range s.order {
		h.report.QueuedWork = map[int]int64{0: 32000 * 1000}
	}
	now := epoch.Add(50 * time.Millisecond)
	s.Tick(now)
	actions := s.PopActions()
	require.Len(t, of[Recall](actions), len(offers))
	assert.Empty(t, of[Answer](actions))
	for _, o := range offers {
		for _, task := range o.Tasks {
			s.HandleOutcome(now, o.Host, offer.Outcome{Host: "self", Task: task.Name, Result: offer.Returned})
		}
	}
	answers := of[Answer](s.PopActions())
	require.Len(t, answers, 1)
	assert.Equal(t, errkind.NotRun, answers[0].Err.Run)
}

// A recall that comes too late: a task has started, and the job goes on.
func TestRecallOfABegunJobIsDropped(t *testing.T) {
	s := known(0)
	s.Submit(epoch, jobOf(1, 60*time.Millisecond), testRoute, 2*time.Second)
	host := of[Offer](s.PopActions())[0].Host
	for _, h := range s.order {
		h.report.QueuedWork = map[int]int64{0: 32000 * 1000}
	}
	now := epoch.Add(50 * time.Millisecond)
	s.Tick(now)
	require.NotEmpty(t, of[Recall](s.PopActions()))
	s.HandleOutcome(now, host, outcome(0, offer.Started, "w", 1))
	s.Tick(now.Add(50 * time.Millisecond))
	actions := s.PopActions()
	assert.Empty(t, of[Recall](actions))
	assert.Empty(t, of[Answer](actions))
}

func TestRetryGoesElsewhereAndCountsAttempts(t *testing.T) {
	s := known(32)
	s.Submit(epoch, jobOf(1, 60*time.Millisecond), testRoute, 0)
	host := of[Offer](s.PopActions())[0].Host
	failed := outcome(0, offer.Returned, "w1", 1)
	failed.FailedRuns = 1
	s.HandleOutcome(epoch, host, failed)
	again := of[Offer](s.PopActions())
	require.Len(t, again, 1)
	task := again[0].Tasks[0]
	assert.Equal(t, 2, task.NextRun)
	assert.Equal(t, 1, task.FailedRuns)
	assert.Equal(t, "w1", task.Avoid)
}

// An owner's loss orphans its runs: they are claimed where a new owner finds
// them, and run again only once their leases have surely expired.
func TestOrphanIsClaimedOrWaitedOut(t *testing.T) {
	s := known(32)
	s.Submit(epoch, jobOf(1, 900*time.Millisecond), testRoute, 5*time.Second)
	host := of[Offer](s.PopActions())[0].Host
	s.HandleOutcome(epoch, host, outcome(0, offer.Started, "w1", 7))
	s.HostLost(epoch, host)
	run := fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: 1}

	s.Tick(epoch.Add(900 * time.Millisecond))
	require.Empty(t, of[Offer](s.PopActions()), "the lease may still run")
	other := map[string]string{"h1": "h2", "h2": "h1"}[host]
	s.HandleInventory(epoch, other, offer.Inventory{Worker: "w1", Fence: 8, Running: []fleet.RunID{run}})
	claims := of[Claim](s.PopActions())
	require.Len(t, claims, 1)
	assert.Equal(t, other, claims[0].Host)

	s.HostLost(epoch, other)
	s.UpdateHost(epoch, host, "z", reportOf("w-"+host, 32))
	s.Tick(epoch.Add(1200 * time.Millisecond))
	offers := of[Offer](s.PopActions())
	require.Len(t, offers, 1)
	assert.Equal(t, 3, offers[0].Tasks[0].NextRun, "a start that was not heard of may have used run 2")
}

// Sightings of a former owner that arrive late say nothing about runs that a
// later owner has started, nor do they lose a run that they could not list.
func TestLateSightingOfAFormerOwnerIsIgnored(t *testing.T) {
	s := known(32)
	s.Submit(epoch, jobOf(1, 900*time.Millisecond), testRoute, 5*time.Second)
	host := of[Offer](s.PopActions())[0].Host
	s.HandleOutcome(epoch, host, outcome(0, offer.Started, "w1", 7))
	s.HandleInventory(epoch, "guest", offer.Inventory{Worker: "w1", Fence: 6})
	assert.Empty(t, s.PopActions())
	s.HandleInventory(epoch, "guest", offer.Inventory{Worker: "w1", Fence: 6, Running: []fleet.RunID{{Task: fleet.TaskName{Job: testJob}, Run: 1}}})
	assert.Empty(t, s.PopActions())
	s.HandleInventory(epoch, "guest", offer.Inventory{Worker: "w1", Fence: 8})
	assert.Len(t, of[Offer](s.PopActions()), 1, "a later owner that does not list the run proves that it is over")
}

// A retry whose start was not heard of may be at any worker: a listing of the
// worker of the first run does not prove it over.
func TestUnheardRetryIsNotOverByTheFirstWorkersListing(t *testing.T) {
	s := known(32)
	s.Submit(epoch, jobOf(1, 900*time.Millisecond), testRoute, 5*time.Second)
	host := of[Offer](s.PopActions())[0].Host
	s.HandleOutcome(epoch, host, outcome(0, offer.Returned, "w1", 7))
	require.Len(t, of[Offer](s.PopActions()), 1)
	s.HostLost(epoch, "h1")
	s.HostLost(epoch, "h2")
	s.UpdateHost(epoch, "h2", "z", reportOf("w-h2", 32))
	s.PopActions()
	s.HandleInventory(epoch, "h2", offer.Inventory{Worker: "w1", Fence: 8})
	assert.Empty(t, of[Offer](s.PopActions()))
}

// Without any room the caller is told to come back soon, not in an hour.
func TestRetryAfterStaysShortWithoutCapacity(t *testing.T) {
	s := New(Config{Self: "self", Zone: "z", MaxLease: time.Second})
	s.UpdateWorker(fleet.Worker{ID: "w", Service: "s"})
	s.Submit(epoch, jobOf(1, 60*time.Millisecond), testRoute, 0)
	answers := of[Answer](s.PopActions())
	require.Len(t, answers, 1)
	assert.Equal(t, maxRetryAfter, answers[0].RetryAfter)
}

// A stream is replaced while offers are being made: they are not sent over the
// new one behind the back of the tasks, which would run twice.
func TestOffersThatHaveNotLeftAreTakenBackWithTheirHost(t *testing.T) {
	s := known(32)
	s.HostLost(epoch, "h2")
	s.PopActions()
	s.Submit(epoch, jobOf(1, 60*time.Millisecond), testRoute, 0)
	s.HostLost(epoch, "h1")
	assert.Empty(t, of[Offer](s.PopActions()))
	s.UpdateHost(epoch, "h1", "z", reportOf("w-h1", 32))
	offers := of[Offer](s.PopActions())
	require.Len(t, offers, 1)
	assert.Equal(t, 1, offers[0].Tasks[0].NextRun, "nothing was lost")
}
