package workerpool

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/speed"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// The bounds are the callers' needs, stated before the first measured run.
const (
	// minOnTime is the share of jobs without a task of seven times the length that
	// are on time at 60% use.
	minOnTime = 0.98
	// minOfReference is the share, at 90% use, of the jobs that are on time with one
	// queue that knows all speeds and run times.
	minOfReference = 0.9

	loadStretch = 1.6
	loadSlack   = 60 * time.Millisecond
	loadTime    = 12 * time.Second
	warmUp      = 4 * time.Second
)

// loadJob is one job of the load, with the run time of each task at nominal speed.
type loadJob struct {
	at, base, estimate time.Duration
	priority           int
	sizes              []int
	times              []time.Duration
	long               bool
}

func (j *loadJob) due() time.Duration {
	return j.at + time.Duration(loadStretch*float64(j.base)) + loadSlack
}

// unequalSpeeds returns the speeds of 36 workers: a third runs 1.7 times as fast as
// nominal, the others 0.7 times.
func unequalSpeeds() []float64 {
	speeds := make([]float64, 36)
	for i := range speeds {
		speeds[i] = 0.7
		if i%3 == 0 {
			speeds[i] = 1.7
		}
	}
	return speeds
}

// jobsAtUse returns the load of sch-coop-grown at a share of the capacity of the
// workers of 16 cores.
func jobsAtUse(use float64, speeds []float64) []loadJob {
	rng := rand.New(rand.NewPCG(1, 2))
	classes := []struct {
		rate  float64
		tasks int
		base  time.Duration
	}{{181, 8, 51 * time.Millisecond}, {529, 2, 170 * time.Millisecond}, {33, 4, 760 * time.Millisecond}}
	const longShare, longFactor = 0.03, 7.0
	capacity, demand := 0.0, 0.0
	for _, s := range speeds {
		capacity += 16 * s
	}
	for _, c := range classes {
		demand += c.rate * float64(c.tasks) * c.base.Seconds() * 8 * (1 + longShare*(longFactor-1))
	}
	var jobs []loadJob
	for priority, c := range classes {
		interval := float64(time.Second) / (c.rate * use * capacity / demand)
		for at := rng.ExpFloat64() * interval; at < float64(loadTime); at += rng.ExpFloat64() * interval {
			j := loadJob{at: time.Duration(at), base: c.base, priority: priority}
			j.estimate = time.Duration((0.6 + 0.8*rng.Float64()) * float64(c.base))
			for range c.tasks {
				length := (0.85 + 0.3*rng.Float64()) * float64(c.base)
				if rng.Float64() < longShare {
					length *= longFactor
					j.long = true
				}
				j.sizes = append(j.sizes, 6400+rng.IntN(3201))
				j.times = append(j.times, time.Duration(length))
			}
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b loadJob) int { return cmp.Compare(a.at, b.at) })
	return jobs
}

// onTime is the share of jobs without a long task that are on time, by class, and
// the number of all jobs that are.
type onTime struct {
	share [3]float64
	all   float64
	count int
	fast  [3]float64
}

func rate(jobs []loadJob, ends []time.Duration) onTime {
	var r onTime
	var good, total [3]float64
	for i := range jobs {
		j := &jobs[i]
		if j.at < warmUp {
			continue
		}
		in := ends[i] > 0 && ends[i] <= j.due()
		if in {
			r.count++
		}
		if !j.long {
			total[j.priority]++
			if in {
				good[j.priority]++
			}
		}
	}
	for p := range total {
		r.share[p] = good[p] / total[p]
	}
	r.all = (good[0] + good[1] + good[2]) / (total[0] + total[1] + total[2])
	return r
}

// play runs the load on a pool; without a model, workers are chosen as before.
func play(jobs []loadJob, speeds []float64, model *speed.Model) (onTime, *poolSim) {
	cfg := DefaultConfig(3 * time.Second)
	cfg.Speeds = model
	model.ObserveStretch("s", loadStretch)
	s := newPoolSim(NewPool(cfg), 16, speeds...)
	for _, w := range s.workers {
		model.Register(s.now, w.info)
	}
	started := s.now
	ends, left := make([]time.Duration, len(jobs)), make([]int, len(jobs))
	s.onDone = func(n fleet.TaskName) {
		var i int
		_, _ = fmt.Sscanf(n.Job, "%d", &i)
		if left[i]--; left[i] == 0 {
			ends[i] = s.now.Sub(started)
		}
	}
	for i := range jobs {
		j := &jobs[i]
		left[i] = len(j.times)
		s.after(j.at, func() {
			for k := range j.times {
				s.offer(offer.Task{
					Host: "front", Name: fleet.TaskName{Job: fmt.Sprintf("%06d", i), Index: k}, Service: "s", Priority: j.priority,
					Size: fleet.Size{MilliCPU: j.sizes[k]}, Estimate: j.estimate, MaxAttempts: 3,
					StartBy:  s.now.Add(time.Duration((loadStretch-1)*float64(j.estimate)) + loadSlack),
					Deadline: s.now.Add(j.due() - j.at + 1500*time.Millisecond),
				}, j.times[k])
			}
		})
	}
	s.run(loadTime + 3*time.Second)
	r := rate(jobs, ends)
	var all [3]float64
	for i := range jobs {
		for k := range jobs[i].times {
			name := fleet.TaskName{Job: fmt.Sprintf("%06d", i), Index: k}
			if worker := s.ranOn[name]; worker != "" && jobs[i].at >= warmUp {
				all[jobs[i].priority]++
				if s.workers[worker].speed > 1 {
					r.fast[jobs[i].priority]++
				}
			}
		}
	}
	for p := range all {
		r.fast[p] /= all[p]
	}
	return r, s
}

// playReference runs the load on one queue with complete knowledge of speeds and
// run times: the most urgent task first, on the slowest worker on which it is on
// time, tightest fit first, or else where it ends first.
func playReference(jobs []loadJob, speeds []float64) onTime {
	type task struct{ job, index int }
	type ending struct {
		at     time.Duration
		worker int
		t      task
	}
	free := make([]int, len(speeds))
	for i := range free {
		free[i] = 16000
	}
	var queue []task
	var running []ending
	ends, left := make([]time.Duration, len(jobs)), make([]int, len(jobs))
	latest := func(t task) time.Duration { return jobs[t.job].due() - jobs[t.job].times[t.index] }
	schedule := func(now time.Duration) {
		slices.SortStableFunc(queue, func(a, b task) int {
			return cmp.Or(cmp.Compare(jobs[a.job].priority, jobs[b.job].priority), cmp.Compare(latest(a), latest(b)))
		})
		queue = slices.DeleteFunc(queue, func(t task) bool {
			j, best := &jobs[t.job], -1
			end := func(w int) time.Duration { return now + time.Duration(float64(j.times[t.index])/speeds[w]) }
			for w := range speeds {
				if free[w] < j.sizes[t.index] {
					continue
				}
				if best < 0 {
					best = w
					continue
				}
				in, bestIn := end(w) <= j.due(), end(best) <= j.due()
				switch {
				case in != bestIn:
					if in {
						best = w
					}
				case speeds[w] != speeds[best]:
					if in == (speeds[w] < speeds[best]) {
						best = w
					}
				case free[w] < free[best]:
					best = w
				}
			}
			if best < 0 {
				return false
			}
			free[best] -= j.sizes[t.index]
			running = append(running, ending{end(best), best, t})
			return true
		})
	}
	next := 0
	for next < len(jobs) || len(running) > 0 {
		first := -1
		for i := range running {
			if first < 0 || running[i].at < running[first].at {
				first = i
			}
		}
		if next < len(jobs) && (first < 0 || jobs[next].at <= running[first].at) {
			left[next] = len(jobs[next].times)
			for k := range jobs[next].times {
				queue = append(queue, task{next, k})
			}
			next++
			schedule(jobs[next-1].at)
			continue
		}
		e := running[first]
		running = slices.Delete(running, first, first+1)
		free[e.worker] += jobs[e.t.job].sizes[e.t.index]
		if left[e.t.job]--; left[e.t.job] == 0 {
			ends[e.t.job] = e.at
		}
		schedule(e.at)
	}
	return rate(jobs, ends)
}

// Guards against long tasks on workers on which their jobs are late.
func TestLongTasksGoToFastWorkers(t *testing.T) {
	speeds := unequalSpeeds()
	jobs := jobsAtUse(0.6, speeds)
	former, _ := play(jobs, speeds, nil)
	result, _ := play(jobs, speeds, speed.New())
	reference := playReference(jobs, speeds)
	t.Logf("on time: former %.4f, by speed %.4f, reference %.4f; on fast workers: former %.2f, by speed %.2f",
		former.share, result.share, reference.share, former.fast, result.fast)
	assert.GreaterOrEqual(t, result.all, minOnTime)
	assert.Greater(t, result.fast[2], former.fast[2])
}

// Guards against a placement that falls behind under high load.
func TestHighLoadOnUnequalWorkersStaysNearReference(t *testing.T) {
	speeds := unequalSpeeds()
	jobs := jobsAtUse(0.9, speeds)
	former, _ := play(jobs, speeds, nil)
	result, _ := play(jobs, speeds, speed.New())
	reference := playReference(jobs, speeds)
	t.Logf("jobs on time: former %d, by speed %d, reference %d; shares %.4f, %.4f, %.4f",
		former.count, result.count, reference.count, former.share, result.share, reference.share)
	assert.GreaterOrEqual(t, float64(result.count), minOfReference*float64(reference.count))
}

// Guards against short tasks that occupy the workers that long ones need.
func TestShortTasksLeaveFastWorkersFree(t *testing.T) {
	speeds := unequalSpeeds()
	result, _ := play(jobsAtUse(0.3, speeds), speeds, speed.New())
	assert.Less(t, result.fast[0], 0.1)
	assert.Greater(t, result.fast[2], 0.9)
}

// Guards against another order of workers where their speeds do not decide.
func TestUniformWorkersAreChosenAsBefore(t *testing.T) {
	for name, speeds := range map[string][]float64{
		"equal":      slices.Repeat([]float64{1}, 36),
		"registered": slices.Repeat([]float64{0.8, 1, 1.25}, 12),
	} {
		jobs := jobsAtUse(0.6, speeds)
		_, former := play(jobs, speeds, nil)
		model := speed.New()
		_, result := play(jobs, speeds, model)
		require.Nil(t, model.Active("s"), name)
		assert.Equal(t, former.ranOn, result.ranOn, name)
	}
}
