package sharing

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// capacity is that of 350 workers of 16 cores, and load the usual part of it that
// arriving work needs.
const (
	capacity = 350 * 16_000
	load     = 0.95
)

// fleetOf returns three routes of priorities 0, 1 and 2, which usually need 14, 45
// and 41% of the load. Waiting work is in milliseconds of the whole capacity, and
// running work in percent of it.
func fleetOf(own int, waiting, running [3]int64) Fleet {
	f := Fleet{Capacity: capacity, FreeingRate: 3 * capacity, Own: own}
	for i, share := range []float64{0.14, 0.45, 0.41} {
		f.Routes = append(f.Routes, RouteState{
			Rate:  Rate{Route: strconv.Itoa(i), Priority: i, MilliCPU: share * load * capacity},
			Share: share, WaitingWork: waiting[i] * capacity, RunningCPU: running[i] * capacity / 100,
		})
	}
	return f
}

// jobOn returns a job of the usual size of a route, whose caller waits for 1.5 s
// longer than the objective.
func jobOn(route int) Job {
	j := Job{
		Tasks: []int{8, 2, 4}[route], TaskCPU: 8000,
		Chain: time.Duration([]int{65, 205, 905}[route]) * time.Millisecond, Objective: time.Duration([]int{156, 380, 1500}[route]) * time.Millisecond,
	}
	j.Timeout = j.Objective + 1500*time.Millisecond
	return j
}

// Guards against admission that makes all routes late together in a burst of one
// route, and against refusals that starve a route within its share.
func TestAdmissionByLoadPattern(t *testing.T) {
	burstOfLong := [3]int64{10, 60, 30}
	burstOfUrgent := [3]int64{50, 30, 20}
	for name, c := range map[string]struct {
		own              int
		waiting, running [3]int64
		change           func(*Job, *Fleet)
		accept           bool
		reason           Reason
	}{
		"burst of long tasks, urgent job":               {own: 0, waiting: [3]int64{5, 30, 800}, running: [3]int64{10, 30, 60}, accept: true, reason: OnTime},
		"burst of long tasks, urgent above its share":   {own: 0, waiting: [3]int64{5, 30, 800}, running: [3]int64{20, 20, 60}, accept: true, reason: OnTime},
		"burst of long tasks, middle within its share":  {own: 1, waiting: [3]int64{5, 30, 800}, running: [3]int64{10, 30, 60}, accept: true, reason: OnTime},
		"burst of long tasks, job of the burst":         {own: 2, waiting: [3]int64{5, 30, 800}, running: [3]int64{10, 30, 60}, reason: ShareUsed},
		"burst of urgent tasks, job of the burst":       {own: 0, waiting: [3]int64{1000, 0, 0}, running: burstOfUrgent, reason: ShareUsed},
		"burst of urgent tasks, long job":               {own: 2, waiting: [3]int64{1000, 0, 100}, running: burstOfUrgent, accept: true, reason: OnTime},
		"all routes wait, long route within its share":  {own: 2, waiting: [3]int64{1000, 300, 100}, running: burstOfUrgent, accept: true, reason: WithinShare},
		"late by the backlog of a route below share":    {own: 2, waiting: [3]int64{1000, 300, 400}, running: burstOfUrgent, reason: OwnBacklog},
		"middle above its share waits for urgent tasks": {own: 1, waiting: [3]int64{300, 0, 10}, running: burstOfLong, reason: ShareUsed},
		"free workers for some tasks of a wide job": {
			own: 0, waiting: [3]int64{200, 0, 0}, running: burstOfUrgent,
			change: func(j *Job, _ *Fleet) { j.Tasks, j.Startable = 32, 3 }, reason: SomeTasks,
		},
		"free workers for all tasks": {
			own: 2, waiting: [3]int64{5, 30, 800}, running: [3]int64{10, 30, 60},
			change: func(j *Job, _ *Fleet) { j.Startable = 5 }, accept: true, reason: FreeCapacity,
		},
		"caller leaves before the end": {
			own: 1, waiting: [3]int64{0, 2000, 10}, running: burstOfUrgent, reason: PastDeadline,
		},
		"caller leaves before the end, on free workers": {
			own: 1, waiting: [3]int64{0, 0, 10}, running: burstOfUrgent,
			change: func(j *Job, _ *Fleet) { j.Startable, j.Timeout = 2, 100*time.Millisecond }, reason: PastDeadline,
		},
		"nothing waits, capacity is freed slowly": {
			own: 1, running: burstOfLong,
			change: func(_ *Job, f *Fleet) { f.FreeingRate = 50_000 }, accept: true, reason: NothingWaits,
		},
		"returned after its latest start": {
			own: 1, waiting: [3]int64{0, 0, 10}, running: burstOfUrgent,
			change: func(j *Job, _ *Fleet) { j.Waited = 200 * time.Millisecond }, reason: TooLate,
		},
		"all workers lost": {
			own: 0, waiting: [3]int64{1, 0, 0},
			change: func(_ *Job, f *Fleet) { f.Capacity = 0 }, reason: PastDeadline,
		},
		"hosts report no running work, job of the burst": {own: 2, waiting: [3]int64{5, 30, 800}, reason: ShareUsed},
	} {
		j, f := jobOn(c.own), fleetOf(c.own, c.waiting, c.running)
		if c.change != nil {
			c.change(&j, &f)
		}
		d := Decide(j, f)
		assert.Equal(t, c.reason, d.Reason, "%s: %s", name, d)
		assert.Equal(t, c.accept, d.Accept, name)
	}
}

// Guards against refused callers who return together, as they do if the jitter is lost
// when the header is rounded to whole seconds.
func TestRetriesAfterABurstAreSpread(t *testing.T) {
	for _, c := range []struct {
		delay       time.Duration
		first, last int
	}{{time.Second, 1, 2}, {1500 * time.Millisecond, 1, 3}, {3 * time.Second, 3, 5}} {
		count, sum := map[int]int{}, time.Duration(0)
		for i := range 1000 {
			id := strconv.Itoa(i)
			after := SpreadRetryAfter(id, c.delay)
			assert.Equal(t, after, SpreadRetryAfter(id, c.delay))
			assert.Zero(t, after%time.Second)
			count[int(after.Seconds())]++
			sum += after
		}
		assert.Len(t, count, c.last-c.first+1)
		for second, callers := range count {
			assert.LessOrEqual(t, callers, 800, "of 1000 callers return after %d s", second)
		}
		assert.InDelta(t, 1.25*c.delay.Seconds(), sum.Seconds()/1000, 0.1)
	}
}
