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

// Guards against admission that makes all routes late together in a burst of one
// route, and against refusals that starve a route within its share.
func TestAdmissionByLoadPattern(t *testing.T) {
	const ms = time.Millisecond
	burstOfLong, burstOfUrgent, begins := [3]int64{10, 30, 60}, [3]int64{50, 30, 20}, [3]int64{10, 60, 30}
	for name, c := range map[string]struct {
		own              int
		waiting, running [3]int64
		change           func(*Job, *Fleet)
		accept           bool
		reason           Reason
	}{
		"burst of long tasks, urgent job":        {0, [3]int64{5, 30, 800}, burstOfLong, nil, true, OnTime},
		"the same, urgent route above its share": {0, [3]int64{5, 30, 800}, [3]int64{20, 20, 60}, nil, true, OnTime},
		"the same, middle job":                   {1, [3]int64{5, 30, 800}, burstOfLong, nil, true, OnTime},
		"the same, job of the burst":             {2, [3]int64{5, 30, 800}, burstOfLong, nil, false, ShareUsed},
		"the same, no host reports running work": {2, [3]int64{5, 30, 800}, [3]int64{}, nil, false, ShareUsed},
		"the same, free workers for all tasks":   {2, [3]int64{5, 30, 800}, burstOfLong, func(j *Job, _ *Fleet) { j.Startable = 5 }, true, FreeCapacity},
		"burst of urgent tasks, urgent job":      {0, [3]int64{100, 0, 0}, burstOfUrgent, nil, false, ShareUsed},
		"the same, wide job, some free workers":  {0, [3]int64{100, 0, 0}, burstOfUrgent, func(j *Job, _ *Fleet) { j.Tasks, j.Startable = 32, 3 }, false, SomeTasks},
		"the same, long job":                     {2, [3]int64{1000, 0, 100}, burstOfUrgent, nil, true, OnTime},
		"burst of urgent tasks begins, long job": {2, [3]int64{500, 0, 100}, begins, nil, true, WithinShare},
		"the same, long tasks wait for long":     {2, [3]int64{500, 0, 400}, begins, nil, false, OwnBacklog},
		"caller leaves before the end":           {1, [3]int64{0, 2000, 10}, burstOfUrgent, nil, false, PastDeadline},
		"the same, on free workers":              {1, [3]int64{0, 9, 9}, begins, func(j *Job, _ *Fleet) { j.Startable, j.Timeout = 2, 100*ms }, false, PastDeadline},
		"capacity is freed slowly":               {1, [3]int64{}, begins, func(_ *Job, f *Fleet) { f.FreeingRate = 50_000 }, true, NothingWaits},
		"returned after its latest start":        {1, [3]int64{0, 0, 10}, begins, func(j *Job, _ *Fleet) { j.Waited = 200 * ms }, false, TooLate},
		"all workers lost":                       {0, [3]int64{1, 0, 0}, burstOfLong, func(_ *Job, f *Fleet) { f.Capacity = 0 }, false, PastDeadline},
	} {
		j, f := Job{
			Tasks: []int{8, 2, 4}[c.own], TaskCPU: 8000, TaskTime: []time.Duration{60 * ms, 200 * ms, 900 * ms}[c.own],
			Chain: []time.Duration{65 * ms, 205 * ms, 905 * ms}[c.own], Objective: []time.Duration{156 * ms, 380 * ms, 1500 * ms}[c.own],
		}, fleetOf(c.own, c.waiting, c.running)
		j.Timeout = j.Objective + 1500*ms
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
	for _, delay := range []time.Duration{time.Second, 1500 * time.Millisecond, 3 * time.Second} {
		callers, sum := map[time.Duration]int{}, time.Duration(0)
		for i := range 1000 {
			after := SpreadRetryAfter(strconv.Itoa(i), delay)
			assert.Zero(t, after%time.Second)
			callers[after]++
			sum += after
		}
		for after, n := range callers {
			assert.LessOrEqual(t, n, 800, "of 1000 callers return after %v", after)
		}
		assert.InDelta(t, 1.25*delay.Seconds(), sum.Seconds()/1000, 0.1)
	}
}
