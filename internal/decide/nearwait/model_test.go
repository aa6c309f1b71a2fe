package nearwait

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// rule decides about a task for which no place near is free but one elsewhere is.
// It returns the time until which the task waits, which is now if it doesn't.
type rule func(Inputs) time.Time

var rules = map[string]rule{
	"never":  func(in Inputs) time.Time { return in.Now },
	"always": func(in Inputs) time.Time { return in.Deadline },
	"fixed":  func(in Inputs) time.Time { return in.Since.Add(50 * time.Millisecond) },
	"finish": func(in Inputs) time.Time {
		if d := Decide(in); d.Action == WaitNear {
			return d.Until
		}
		return in.Now
	},
}

// day is a load on racks of workers with two slots each.
type day struct {
	racks, workers int
	// perSecond is the rate of tasks and hot the share that names rack 0; the others
	// name racks in turn.
	perSecond float64
	hot       float64
	runTimes  []time.Duration
}

type waiting struct {
	arrived, until time.Time
	rack           int
	runTime        time.Duration
	// actual is the run time near, of which runTime is the estimate.
	actual time.Duration
}

type outcome struct{ tasks, onTime, near int }

// play runs the day for 5 s of virtual time, in steps of 1 ms. Run times are
// off from what the rule sees by up to 40%.
func (d day) play(r rule) outcome {
	rng := rand.New(rand.NewPCG(1, 2))
	// When each slot is free, when it is expected to be, and its last run time.
	slots, believed, lengths := make([][]time.Time, d.racks), make([][]time.Time, d.racks), make([][]time.Duration, d.racks)
	for i := range slots {
		slots[i], believed[i] = make([]time.Time, 2*d.workers), make([]time.Time, 2*d.workers)
		lengths[i] = make([]time.Duration, 2*d.workers)
	}
	var queue []*waiting
	var o outcome
	start := func(now time.Time, q *waiting, rack, slot int) {
		run, actual := q.runTime, q.actual
		if rack == q.rack {
			o.near++
		} else {
			run, actual = 2*run, 2*actual
		}
		end := now.Add(actual)
		slots[rack][slot], believed[rack][slot], lengths[rack][slot] = end, now.Add(run), run
		if !end.After(q.arrived.Add(q.runTime*16/10 + 60*time.Millisecond)) {
			o.onTime++
		}
	}
	free := func(now time.Time, rack int) int {
		return slices.IndexFunc(slots[rack], func(t time.Time) bool { return !t.After(now) })
	}
	for now, next := epoch, epoch; now.Before(epoch.Add(5 * time.Second)); now = now.Add(time.Millisecond) {
		for ; !next.After(now); next = next.Add(time.Duration(rng.ExpFloat64() / d.perSecond * float64(time.Second))) {
			q := &waiting{arrived: now, runTime: d.runTimes[o.tasks%len(d.runTimes)], rack: rng.IntN(d.racks)}
			q.actual = time.Duration(float64(q.runTime) * (0.6 + 0.8*rng.Float64()))
			if rng.Float64() < d.hot {
				q.rack = 0
			}
			queue = append(queue, q)
			o.tasks++
		}
		ahead := make([][]Demand, d.racks)
		queue = slices.DeleteFunc(queue, func(q *waiting) bool {
			if now.After(q.arrived.Add(q.runTime*16/10 + 1500*time.Millisecond)) {
				return true
			}
			if slot := free(now, q.rack); slot >= 0 {
				start(now, q, q.rack, slot)
				return true
			}
			elsewhere := -1
			for i := 1; i < d.racks && elsewhere < 0 && !now.Before(q.until); i++ {
				if other := (q.rack + i*5) % d.racks; free(now, other) >= 0 {
					elsewhere = other
				}
			}
			if elsewhere >= 0 {
				workers := make([]Worker, len(slots[q.rack]))
				for i, end := range believed[q.rack] {
					workers[i].Releases = []Release{{later(now, end), fleet.Size{MilliCPU: 1}}}
				}
				expected, _ := ExpectedStart(now, workers, ahead[q.rack], fleet.Size{MilliCPU: 1})
				var others time.Duration
				for _, l := range lengths[q.rack] {
					others += l / time.Duration(len(lengths[q.rack]))
				}
				q.until = r(Inputs{
					OthersRunTime: others,
					Now:           now, RunTime: q.runTime, Slowdown: 2, Since: q.arrived, Near: Place{Known: true, At: expected},
					Elsewhere: Place{Known: true, Free: true, At: now.Add(5 * time.Millisecond)},
					StartBy:   q.arrived.Add(q.runTime*6/10 + 60*time.Millisecond), Deadline: q.arrived.Add(q.runTime*16/10 + 1500*time.Millisecond),
				})
				if !now.Before(q.until) {
					start(now, q, elsewhere, free(now, elsewhere))
					return true
				}
			}
			ahead[q.rack] = append(ahead[q.rack], Demand{fleet.Size{MilliCPU: 1}, q.runTime})
			return false
		})
	}
	return o
}

var classes = map[string][]time.Duration{
	"tasks of 60 ms":  {60 * time.Millisecond},
	"tasks of 200 ms": {200 * time.Millisecond},
	"tasks of 900 ms": {900 * time.Millisecond},
	"mixed tasks":     {60 * time.Millisecond, 200 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond, 900 * time.Millisecond},
}

// share is the part of all slots that the tasks would take if all ran near.
func (d day) at(share float64) day {
	var sum time.Duration
	for _, t := range d.runTimes {
		sum += t
	}
	mean := sum.Seconds() / float64(len(d.runTimes))
	d.perSecond = share * float64(2*d.racks*d.workers) / mean
	return d
}

// Guards against a queue at a rack that most tasks name while others are idle.
// Callers need at least as many tasks on time as without any wait, and as with
// waiting always.
func TestHotRackSpillsOver(t *testing.T) {
	for name, runTimes := range classes {
		for _, workers := range []int{8, 20} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				d := day{racks: 13, workers: workers, hot: 0.6, runTimes: runTimes}.at(0.3)
				results := map[string]outcome{}
				for rule, r := range rules {
					results[rule] = d.play(r)
					t.Logf("%d workers, %s: %+v", workers, rule, results[rule])
				}
				assert.GreaterOrEqual(t, results["finish"].onTime, results["never"].onTime)
				assert.GreaterOrEqual(t, results["finish"].onTime, results["always"].onTime)
			})
		}
	}
}

// Guards against slow runs elsewhere on a calm day: callers need 95% of the tasks
// near their data.
func TestCalmDayRunsNear(t *testing.T) {
	for name, runTimes := range classes {
		t.Run(name, func(t *testing.T) {
			d := day{racks: 13, workers: 8, runTimes: runTimes}.at(0.5)
			for rule, r := range rules {
				t.Logf("%s: %+v", rule, d.play(r))
			}
			o := d.play(rules["finish"])
			assert.GreaterOrEqual(t, o.near*100, o.tasks*95)
		})
	}
}
