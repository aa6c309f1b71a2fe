package workerpool

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// The bounds are those of docs/design/remaining-parts.md, stated before the first
// measured run. The capacity is the work that the pool has done: tasks of about half
// a worker never fill all workers.
const (
	// minUrgentOnTime is the share of jobs of priority 0 that are on time in a burst.
	minUrgentOnTime = 0.9
	// minOfShare is the part of its usual share of the capacity that each class keeps,
	// and the part of its share of the class that each quantile of job widths keeps.
	minOfShare = 0.9

	burstFactor = 2.1
	burstTime   = 6700 * time.Millisecond
)

// The classes of gnsf-ne-grown: jobs per second, mean and largest width, run time.
var burstClasses = []struct {
	rate        float64
	width, most int
	base        time.Duration
}{{206, 8, 32, 60 * time.Millisecond}, {600, 2, 8, 200 * time.Millisecond}, {37.5, 4, 16, 900 * time.Millisecond}}

func usualWork(class int) float64 {
	c := burstClasses[class]
	return c.rate * float64(c.width) * c.base.Seconds() * 8
}

// burstJobs returns jobs of which the longest class comes at burstFactor times its
// rate from warmUp on; use is the use of the workers' capacity in the burst.
func burstJobs(use float64, workers int, seed uint64) []loadJob {
	rng := rand.New(rand.NewPCG(seed, seed+1))
	scale := use * float64(workers) * 16 / (usualWork(0) + usualWork(1) + burstFactor*usualWork(2))
	var jobs []loadJob
	for class, c := range burstClasses {
		for at := 0.0; ; {
			rate := c.rate * scale
			if class == 2 && at >= warmUp.Seconds() {
				rate *= burstFactor
			}
			if at += rng.ExpFloat64() / rate; at >= (warmUp + burstTime).Seconds() {
				break
			}
			j := loadJob{at: time.Duration(at * float64(time.Second)), base: c.base, priority: class}
			j.estimate = time.Duration((0.6 + 0.8*rng.Float64()) * float64(c.base))
			decay := 1 / math.Log(float64(c.width)/float64(c.width-1))
			for range min(c.most, 1+int(rng.ExpFloat64()*decay)) {
				j.sizes = append(j.sizes, 6400+rng.IntN(3201))
				j.times = append(j.times, time.Duration((0.85+0.3*rng.Float64())*float64(c.base)))
			}
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b loadJob) int { return cmp.Compare(a.at, b.at) })
	return jobs
}

// burst is the result of a burst: the jobs on time by class, and the work done and
// due in it by class and by quantile of width (the rest, the fifth below the largest
// tenth, the largest tenth).
type burst struct {
	onTime
	done, due [3][3]float64
	sim       *poolSim
}

func (b *burst) class(work [3][3]float64, class int) float64 {
	return work[class][0] + work[class][1] + work[class][2]
}

// playBurst runs the jobs on a pool of equal workers, of which some are lost one
// second after the begin of the burst.
func playBurst(t *testing.T, jobs []loadJob, workers, lost int, shares bool) burst {
	t.Helper()
	cfg := DefaultConfig(3 * time.Second)
	cfg.Sharing = shares
	b := burst{sim: newPoolSim(NewPool(cfg), 16, slices.Repeat([]float64{1}, workers)...)}
	s := b.sim
	ends, left := make([]time.Duration, len(jobs)), make([]int, len(jobs))
	var widths [3][]int
	for i := range jobs {
		widths[jobs[i].priority] = append(widths[jobs[i].priority], len(jobs[i].times))
	}
	for _, w := range widths {
		slices.Sort(w)
	}
	add := func(work *[3][3]float64, j *loadJob, k int) {
		w := widths[j.priority]
		quantile := 0
		for _, bound := range []int{len(w) * 7 / 10, len(w) * 9 / 10} {
			if len(j.times) > w[bound] {
				quantile++
			}
		}
		work[j.priority][quantile] += float64(j.sizes[k]) * j.times[k].Seconds()
	}
	s.keep = func(t offer.Task) bool { return s.now.Before(t.Deadline) }
	s.onDone = func(n fleet.TaskName) {
		var i int
		_, err := fmt.Sscanf(n.Job, "%d", &i)
		require.NoError(t, err)
		at := s.now.Sub(epoch)
		if left[i]--; left[i] == 0 {
			ends[i] = at
		}
		if at >= warmUp && at < warmUp+burstTime {
			add(&b.done, &jobs[i], n.Index)
		}
	}
	for i := range jobs {
		j := &jobs[i]
		left[i] = len(j.times)
		s.after(j.at, func() {
			for k := range j.times {
				if j.at >= warmUp {
					add(&b.due, j, k)
				}
				s.offer(offer.Task{
					Host: "front", Name: fleet.TaskName{Job: fmt.Sprintf("%06d", i), Index: k}, Service: "s",
					Priority: j.priority, Route: fmt.Sprintf("class-%d", j.priority), JobTasks: len(j.times),
					Size: fleet.Size{MilliCPU: j.sizes[k]}, Estimate: j.estimate, MaxAttempts: 3,
					StartBy:  s.now.Add(time.Duration((loadStretch-1)*float64(j.estimate)) + loadSlack),
					Deadline: s.now.Add(j.due() - j.at + 1500*time.Millisecond),
				}, j.times[k])
			}
		})
	}
	for i := range lost {
		s.after(warmUp+time.Second, func() { s.pool.WorkerReplaced(s.now, fmt.Sprintf("w%03d", i*2)) })
	}
	s.run(warmUp + burstTime + 12*time.Second)
	b.onTime = rate(jobs, ends)
	return b
}

// checkBurst checks the bounds of a burst.
func checkBurst(t *testing.T, b burst) {
	t.Helper()
	assert.GreaterOrEqual(t, b.share[0], minUrgentOnTime, "priority 0 on time")
	var all, usual float64
	for class := range burstClasses {
		all += b.class(b.done, class)
		usual += usualWork(class)
	}
	for class := range burstClasses {
		done, due := b.class(b.done, class), b.class(b.due, class)
		assert.GreaterOrEqual(t, done, minOfShare*min(due, all*usualWork(class)/usual), "work of class %d", class)
		for quantile, due := range b.due[class] {
			assert.GreaterOrEqual(t, b.done[class][quantile]/done, minOfShare*due/b.class(b.due, class), "work of class %d, widths %d", class, quantile)
		}
	}
	assert.True(t, b.sim.pool.Idle(), "no task is left behind")
}

func logBurst(t *testing.T, name string, r onTime) {
	t.Helper()
	t.Logf("%-10s on time by class %.3f, jobs %d", name, r.share, r.count)
}

const burstWorkers = 120

// Guards against a burst of one class that makes all classes late, and against classes
// or wide jobs that get less than their share.
func TestBurstOfLongTasksLeavesUrgentOnTime(t *testing.T) {
	for _, use := range []float64{0.95, 1.1, 1.3} {
		t.Run(fmt.Sprint(use), func(t *testing.T) {
			jobs := burstJobs(use, burstWorkers, 3)
			result := playBurst(t, jobs, burstWorkers, 0, true)
			logBurst(t, "shares", result.onTime)
			t.Logf("work done %.0f of %.0f", result.done, result.due)
			checkBurst(t, result)
			if use == 0.95 {
				former := playBurst(t, jobs, burstWorkers, 0, false)
				logBurst(t, "former", former.onTime)
				logBurst(t, "reference", playReference(jobs, slices.Repeat([]float64{1}, burstWorkers)))
				assert.Greater(t, result.share[0], former.share[0])
			}
		})
	}
}

// Guards against constants that fit only the jobs that they were chosen with.
func TestBurstOfOtherJobsKeepsBounds(t *testing.T) {
	result := playBurst(t, burstJobs(1.1, burstWorkers, 5), burstWorkers, 0, true)
	logBurst(t, "shares", result.onTime)
	checkBurst(t, result)
}

// Guards against tasks that are lost with their worker, or left behind, in a burst.
func TestLostWorkersDuringABurst(t *testing.T) {
	const lost = burstWorkers * 28 / 350
	result := playBurst(t, burstJobs(0.95, burstWorkers, 3), burstWorkers, lost, true)
	logBurst(t, "shares", result.onTime)
	checkBurst(t, result)
}

// Guards against another order where nothing waits, or where all routes have one
// priority.
func TestCalmDayIsUnchanged(t *testing.T) {
	calm := burstJobs(0.3, 36, 3)
	equal := burstJobs(1.1, 12, 3)
	for i := range equal {
		equal[i].priority = 0
	}
	for name, c := range map[string]struct {
		jobs    []loadJob
		workers int
	}{"calm": {calm, 36}, "one priority": {equal, 12}} {
		former, result := playBurst(t, c.jobs, c.workers, 0, false), playBurst(t, c.jobs, c.workers, 0, true)
		assert.Equal(t, former.sim.ranOn, result.sim.ranOn, name)
	}
}

// sharedPool returns a pool with one worker of 16 cores, filled by two tasks of 8 cores
// of priority 0 and 2, the second of a host that sends no route.
func sharedPool(t *testing.T) *Pool {
	t.Helper()
	p := newAdoptedPool(t, 16, idleResponse())
	p.cfg.Sharing = true
	first, second := testTask(1, 0, 8, epoch), testTask(2, 0, 8, epoch)
	first.Route, second.Priority = "urgent", 2
	p.Offer(epoch, first)
	p.Offer(epoch, second)
	require.Len(t, actionsOf[Start](p.PopActions(epoch)), 2)
	return p
}

// Guards against late tasks that hold capacity, and against tasks that are sent from
// owner to owner because they are late.
func TestLateTasksAreReturnedOnce(t *testing.T) {
	p := sharedPool(t)
	late, started, lateBefore, inTime := testTask(3, 0, 8, epoch), testTask(4, 0, 8, epoch), testTask(5, 0, 8, epoch.Add(-time.Second)), testTask(6, 0, 8, epoch.Add(time.Second))
	started.JobStarted = true
	for _, task := range []offer.Task{late, started, lateBefore} {
		p.Offer(epoch, task)
	}
	p.PopActions(epoch)
	now := epoch.Add(150 * time.Millisecond)
	assert.Empty(t, actionsOf[SendOutcome](p.PopActions(now)), "no task can be on time")
	p.Offer(now, inTime)
	p.PopActions(now)
	outcomes := actionsOf[SendOutcome](p.PopActions(now))
	require.Len(t, outcomes, 1)
	assert.Equal(t, late.Name, outcomes[0].Outcome.Task)
	assert.Equal(t, returnedLateReason, outcomes[0].Outcome.Why)
	assert.False(t, outcomes[0].Outcome.MayHaveRun)

	p.Tick(now)
	reports := actionsOf[SharedOrder](p.PopActions(now))
	require.Len(t, reports, 1)
	assert.True(t, reports[0].Active && reports[0].Changed)
	assert.Equal(t, map[string]int{"priority-0": 1}, reports[0].ReturnedLate)
	assert.Equal(t, []offer.RouteLoad{
		{Route: "priority-0", WaitingWork: 3 * 800_000, WaitingTasks: 3},
		{Route: "priority-2", RunningCPU: 8000},
		{Route: "urgent", RunningCPU: 8000},
	}, p.Report(now).Routes)
}

// Guards against small tasks that overtake a large one until it is late.
func TestLargeTaskIsNotOvertakenForever(t *testing.T) {
	p := sharedPool(t)
	p.Offer(epoch, testTask(3, 0, 12, epoch))
	p.PopActions(epoch)
	now := epoch.Add(40 * time.Millisecond)
	p.Offer(now, testTask(4, 0, 6, now))
	p.PopActions(now)
	end := func(job int) []Start {
		p.StartAnswered(now, "w", runID(job, 0, 1), 7, fleet.StartAccepted, 0)
		w := p.workers["w"]
		p.handleEnd(now, w, fleet.RunEnd{RunID: runID(job, 0, 1), Reason: fleet.EndedDone})
		return actionsOf[Start](p.PopActions(now))
	}
	assert.Empty(t, end(1), "8 of 16 cores are free and held")
	assert.Zero(t, p.Report(now).Workers[0].Free)
	starts := end(2)
	require.Len(t, starts, 1)
	assert.Equal(t, runID(3, 0, 1), starts[0].Run)
	assert.Nil(t, p.sharing.held)
}
