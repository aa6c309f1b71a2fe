package workerpool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// longTaskFactor is how many times longer than expected the long tasks of these
// tests take.
const longTaskFactor = 7

// offerTasks offers tasks of a job, of eight cores and 100 ms each, that are
// factor times as long as their estimate.
func (s *poolSim) offerTasks(job, count int, factor float64) {
	for i := range count {
		t := testTask(job, i, 8, s.now)
		t.Deadline = s.now.Add(time.Minute)
		s.offer(t, time.Duration(factor*float64(t.Estimate)))
	}
}

// simWithNormalRuns returns a pool whose workers of 16 cores have completed
// normal runs, of two tasks at a time.
func simWithNormalRuns(runs int, speeds ...float64) *poolSim {
	s := newPoolSim(NewPool(DefaultConfig(testLease)), 16, speeds...)
	for i := range runs / 2 {
		s.offerTasks(1000+i, 2, 1)
		s.run(120 * time.Millisecond)
	}
	return s
}

// A task of three in a hundred takes seven times as long as its step suggests.
// Its run must go on while others on the worker progress normally: stopping it
// discards its work, and a new run takes as long.
func TestRunOfLongTaskIsNotStoppedBesideNormalRuns(t *testing.T) {
	s := simWithNormalRuns(8, 1)
	pace := s.pool.paces.pace
	s.offerTasks(1, 1, longTaskFactor)
	for i := range 6 {
		s.offerTasks(10+i, 1, 1)
		s.run(115 * time.Millisecond)
	}
	s.run(time.Second)
	assert.Empty(t, s.stops)
	assert.Contains(t, s.done, fleet.TaskName{Job: runID(1, 0, 1).Task.Job})
	require.NotEmpty(t, s.slow)
	assert.Equal(t, KeptLongTask, s.slow[len(s.slow)-1].Decision)
	assert.InDelta(t, pace, s.pool.workers["w000"].health.pace, 0.1, "the long task counts against its worker's speed")
}

func TestLongTaskIsNotStoppedWithoutEvidenceAgainstItsWorker(t *testing.T) {
	s := simWithNormalRuns(8, 1)
	s.offerTasks(1, 1, longTaskFactor)
	s.run(2 * time.Second)
	assert.Empty(t, s.stops)
	assert.Empty(t, s.probations, "the worker is on probation")
}

// Long tasks are frequent, so that two of them meet on a worker now and then.
func TestTwoLongTasksOnOneWorkerAreNotStoppedWhereLongTasksAreFrequent(t *testing.T) {
	s := simWithNormalRuns(8, 1)
	for i := range minLongTasks {
		s.offerTasks(10+i, 1, longTaskFactor)
		s.run(time.Second)
		s.offerTasks(20+i, 2, 1)
		s.run(time.Second)
	}
	s.offerTasks(1, 2, longTaskFactor)
	s.run(2 * time.Second)
	assert.Empty(t, s.stops)
}

// A worker becomes ten times slower for all its runs: they are stopped when their
// progress is first seen after they are due, and the worker goes on probation as
// early as by the former rule, which took 162 ms and 652 ms.
func TestRunsOfWorkerThatIsSlowForAllRunsAreStopped(t *testing.T) {
	s := simWithNormalRuns(80, 1, 1, 1, 1)
	s.workers["w000"].speed = 0.1
	slowFrom := s.now
	for job := range 20 {
		s.offerTasks(1+job, 2, 1)
		s.run(50 * time.Millisecond)
	}
	require.NotEmpty(t, s.stoppedAt)
	assert.LessOrEqual(t, s.stoppedAt[0].Sub(slowFrom), 165*time.Millisecond)
	require.GreaterOrEqual(t, len(s.probations), 1)
	assert.LessOrEqual(t, s.probations[0].Sub(slowFrom), 655*time.Millisecond)
	for _, stop := range s.slow {
		assert.Equal(t, "w000", stop.Worker)
	}
}

// Where long tasks have been rare, a slow run is its worker's fault, as before.
func TestSlowRunAloneIsStoppedWhereLongTasksAreRare(t *testing.T) {
	s := simWithNormalRuns(minLongTaskRuns, 1)
	s.workers["w000"].speed = 0.1
	s.offerTasks(1, 1, 1)
	s.run(200 * time.Millisecond)
	assert.Len(t, s.stops, 1)
}

// A worker stands still. Its run is stopped at the first poll after it was due,
// also while long tasks are frequent and the other run on it has just ended.
func TestRunThatStandsStillIsStopped(t *testing.T) {
	s := simWithNormalRuns(8, 1)
	s.pool.longTasks = longTasks{share: 0.03, runs: minLongTaskRuns, seen: 12}
	s.workers["w000"].speed = 0
	s.offerTasks(1, 1, 1)
	s.run(200 * time.Millisecond)
	require.Len(t, s.stops, 1)
	assert.Equal(t, StoppedStandingStill, s.slow[0].Decision)
}

// The second run of a task is as slow as the first, which was stopped. The task
// is long, whatever the workers seem to be.
func TestTaskIsStoppedAtMostOnceForSlowness(t *testing.T) {
	s := simWithNormalRuns(8, 1, 1)
	task := testTask(1, 0, 8, s.now)
	task.NextRun, task.Avoid, task.Deadline = 2, "w000", s.now.Add(time.Minute)
	s.pool.workers["w000"].health.slowRuns, s.pool.workers["w001"].health.slowRuns = 9, 9
	s.offer(task, longTaskFactor*task.Estimate)
	s.run(2 * time.Second)
	assert.Empty(t, s.stops)
	assert.Len(t, s.done, 9)
}

// A third of the workers runs at 1.7, two thirds at 0.7 of the nominal speed,
// estimates are off by up to 40%, and three tasks of a hundred are seven times
// as long. The worker is never at fault, so that nearly no run may be stopped.
// The former rule stopped 243 times.
func TestLongTasksOnUnequalWorkersAreNotStopped(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := newPoolSim(NewPool(DefaultConfig(testLease)), 16, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7)
	runs := 0
	for job := range 1500 {
		count := 1 + rng.IntN(3)
		estimateError := 0.6 + 0.8*rng.Float64()
		estimate := time.Duration(50+rng.IntN(300)) * time.Millisecond
		for i := range count {
			runs++
			task := testTask(job, i, 8, s.now)
			task.Estimate, task.Deadline = estimate, s.now.Add(time.Minute)
			length := float64(estimate) * estimateError * (0.85 + 0.3*rng.Float64())
			if rng.Float64() < 0.03 {
				length *= longTaskFactor
			}
			s.offer(task, time.Duration(length))
		}
		s.run(time.Duration(rng.ExpFloat64() * float64(60*time.Millisecond)))
	}
	s.run(5 * time.Second)
	assert.Len(t, s.done, runs)
	assert.LessOrEqual(t, len(s.stops), runs/1000, "of %d runs", runs)
	assert.Empty(t, s.probations, "a healthy worker is on probation")
}
