package coordinator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// largeRoute is a queue whose jobs may wait.
var largeRoute = fleet.Route{Name: "r", Service: "s", LatencySlack: time.Hour, Stretch: 1.6, MaxAttempts: 3}

// takeOffers returns the tasks that are offered now, with their hosts.
func takeOffers(c *Coordinator) (tasks []offer.Task, hosts []string) {
	for _, o := range actionsOf[Offer](c.PopActions()) {
		for _, t := range o.Tasks {
			tasks, hosts = append(tasks, t), append(hosts, o.Host)
		}
	}
	return tasks, hosts
}

// Guards against a job whose memory grows with the number of its tasks, and against tasks
// of such a job that are offered twice or never.
func TestLargeJobIsOfferedAsItsTasksStart(t *testing.T) {
	const tasks = 5*maxWaitingOffers + 7
	c := coordinatorWithHosts(0)
	job := jobOf(tasks, time.Millisecond)
	job.Steps = append(job.Steps, fleet.Step{Count: tasks, Size: fleet.Size{MilliCPU: 1000}, After: []int{0}})
	require.True(t, c.Submit(epoch, job, largeRoute, time.Hour))
	j := c.jobs[testJob]
	offered := map[fleet.TaskName]bool{}
	waiting, hosts := takeOffers(c)
	require.Len(t, waiting, maxWaitingOffers)
	for n := 0; len(waiting) > 0; n++ {
		task, host := waiting[0], hosts[0]
		waiting, hosts = waiting[1:], hosts[1:]
		require.False(t, offered[task.Name], "%v", task.Name)
		offered[task.Name] = true
		started := outcome(task.Name.Index, offer.Started, "w-"+host, 1)
		started.Task = task.Name
		c.HandleOutcome(epoch, host, started)
		done := started
		done.Result = offer.Done
		c.HandleOutcome(epoch, host, done)
		if n%100 == 0 {
			c.Tick(epoch)
		}
		more, at := takeOffers(c)
		waiting, hosts = append(waiting, more...), append(hosts, at...)
		require.LessOrEqual(t, len(waiting), maxWaitingOffers)
		require.LessOrEqual(t, len(j.tasks), maxWaitingOffers, "tasks with an object")
	}
	assert.Len(t, offered, 2*tasks)
	assert.Equal(t, 2*tasks, j.runCount())
	assert.Zero(t, c.Len(), "answered")
}

// Guards against a job that stands still because its offered tasks were returned and none
// starts, and against tasks at hosts beyond the bound.
func TestReturnedTasksOfALargeJobAreOfferedBeforeFreshOnes(t *testing.T) {
	c := coordinatorWithHosts(0)
	require.True(t, c.Submit(epoch, jobOf(2*maxWaitingOffers, time.Millisecond), largeRoute, time.Hour))
	waiting, hosts := takeOffers(c)
	require.Len(t, waiting, maxWaitingOffers)
	for i, task := range waiting {
		c.HandleOutcome(epoch, hosts[i], offer.Outcome{Host: "self", Task: task.Name, Result: offer.Returned})
	}
	again, _ := takeOffers(c)
	require.Len(t, again, maxWaitingOffers)
	for _, task := range again {
		assert.Less(t, task.Name.Index, maxWaitingOffers)
	}
	assert.Equal(t, maxWaitingOffers, c.jobs[testJob].steps[0].fresh)
}

// Guards against a next driver that runs again what the log says is done, or forgets
// what it says of tasks that nobody has offered yet.
func TestNextDriverOfALargeJobKeepsWhatTheLogSays(t *testing.T) {
	const tasks, first = 3 * maxWaitingOffers, 101
	name := func(index int) fleet.TaskName { return fleet.TaskName{Job: testJob, Index: index} }
	job := jobOf(tasks, time.Millisecond)
	job.BestEffort = false
	drive := ledger.Drive{
		Job: job, Route: largeRoute, FirstRun: first,
		FailedRuns: map[fleet.TaskName]offer.RunSet{name(tasks - 1): {3, 4}},
		Lost:       map[fleet.TaskName][]quarantine.Loss{name(tasks - 2): {{Run: 1, Worker: "w9", Fate: quarantine.Crashed, Alone: true}}},
	}
	for i := 0; i < tasks; i += 3 {
		drive.Done = append(drive.Done, name(i))
	}
	drive.Done = append(drive.Done, name(0), name(tasks))
	c := coordinatorWithHosts(0)
	c.SubmitStored(epoch, drive)
	j := c.jobs[testJob]
	require.Equal(t, 2*maxWaitingOffers, j.remaining[0])
	seen := map[int]offer.Task{}
	for range tasks {
		waiting, hosts := takeOffers(c)
		if len(waiting) == 0 {
			break
		}
		for i, task := range waiting {
			require.NotZero(t, task.Name.Index%3, "done before")
			require.NotContains(t, seen, task.Name.Index)
			require.Equal(t, first, task.NextRun)
			seen[task.Name.Index] = task
			started := outcome(task.Name.Index, offer.Started, "w-"+hosts[i], 1)
			started.Run = first
			c.HandleOutcome(epoch, hosts[i], started)
		}
	}
	require.Len(t, seen, 2*maxWaitingOffers)
	assert.Equal(t, offer.RunSet{3, 4}, seen[tasks-1].FailedRuns)
	assert.True(t, seen[tasks-2].Exclusive)
}

// Guards against a set that differs from a list with an object for each task.
func TestTaskSetEqualsAListOfAllTasks(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(43, seed))
		spec := fleet.Job{ID: testJob}
		var want [][]taskState
		for range 1 + rng.IntN(3) {
			spec.Steps = append(spec.Steps, fleet.Step{Count: 1 + rng.IntN(150)})
			want = append(want, make([]taskState, spec.Steps[len(spec.Steps)-1].Count))
		}
		s := newTaskSet(spec)
		for range 60 {
			step := rng.IntN(len(want))
			index := rng.IntN(len(want[step]))
			switch rng.IntN(3) {
			case 0:
				// A host takes some idle tasks, in order, and then has no room.
				room, visits := rng.IntN(40), rng.IntN(60)
				var got, idle []int
				s.idleTasks(step, func(task *task) bool {
					got = append(got, task.name.Index)
					if room > 0 {
						task.state = taskOffered
						room--
					}
					return len(got) < visits
				})
				for i, state := range want[step] {
					if state == taskIdle {
						idle = append(idle, i)
					}
				}
				for k, i := range got {
					if k < len(idle) && i == idle[k] && s.lookup(step, i).state == taskOffered {
						want[step][i] = taskOffered
						continue
					}
					// Behind the first one that was not taken only those with an object follow.
					require.Contains(t, idle, i)
				}
				require.IsIncreasing(t, append([]int{-2, -1}, got...))
			case 1:
				s.markDone(s.lookup(step, index), rng.IntN(4) == 0)
				want[step][index] = taskDone
			case 2:
				if task := s.lookup(step, index); task.state == taskOffered {
					task.state, want[step][index] = taskIdle, taskIdle
				}
			}
		}
		for step := range want {
			fresh := len(want[step])
			for _, task := range s.tasks {
				if task.name.Step == step {
					fresh--
				}
			}
			for index, state := range want[step] {
				if _, ok := s.position(step, index); !ok && state == taskDone {
					fresh--
				}
			}
			assert.Equal(t, fresh, s.steps[step].fresh, "seed %d", seed)
			for index, state := range want[step] {
				require.Equal(t, state, s.lookup(step, index).state, "seed %d task %d/%d", seed, step, index)
			}
			assert.Nil(t, s.lookup(step, len(want[step])))
			assert.Nil(t, s.lookup(step, -1))
		}
		assert.Nil(t, s.lookup(len(want), 0))
		assert.Nil(t, s.lookup(-1, 0))
	}
}
