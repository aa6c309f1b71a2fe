package recovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

var processStart = time.Unix(1000, 0)

func at(age time.Duration) time.Time { return processStart.Add(age) }

// job returns a job with an objective of 1.6 times its path plus 60 ms.
func job(id string, arrived, path, timeout time.Duration) Job {
	return Job{
		ID: id, Arrived: at(arrived), Objective: path*8/5 + 60*ms, CriticalPath: path, Deadline: at(arrived + timeout),
	}
}

// holderAfter returns a holder whose steps ended at the given ages. A missing step has
// not ended.
func holderAfter(ended map[Step]time.Duration) *Holder {
	h := NewHolder(processStart)
	for step, age := range ended {
		h.StepEnded(at(age), step)
	}
	return h
}

func readsAt(age time.Duration) map[Step]time.Duration {
	return map[Step]time.Duration{Configuration: 5 * ms, JobLog: age, EvacuatedZones: 10 * ms, WorkerList: 10 * ms}
}

func with(ended map[Step]time.Duration, step Step, age time.Duration) map[Step]time.Duration {
	ended[step] = age
	return ended
}

func ids(jobs []Job) []string {
	var list []string
	for _, j := range jobs {
		list = append(list, j.ID)
	}
	return list
}

// The shares of the slack of jobs of 60, 200 and 900 ms are 48, 90 and 300 ms. A job
// that is held although capacity comes later loses its caller's time; a job that is
// refused although capacity comes in time is lost.
func TestJobIsHeldIfStartEndsWithinItsShare(t *testing.T) {
	for _, c := range []struct {
		name     string
		ended    map[Step]time.Duration
		now      time.Duration
		path     time.Duration
		timeout  time.Duration
		expected time.Duration
		want     Reason
	}{
		{"nothing ended, long job", nil, 0, 900 * ms, 5000 * ms, 300 * ms, Held},
		{"nothing ended, medium job", nil, 0, 200 * ms, 5000 * ms, 300 * ms, TooLate},
		{"one read is missing", map[Step]time.Duration{Configuration: 5 * ms, JobLog: 9 * ms, WorkerList: 9 * ms}, 50 * ms, 900 * ms, 5000 * ms, 250 * ms, Held},
		{"reads ended early", readsAt(40 * ms), 40 * ms, 900 * ms, 5000 * ms, 200 * ms, Held},
		{"reads ended early, medium job", readsAt(40 * ms), 40 * ms, 200 * ms, 5000 * ms, 200 * ms, TooLate},
		{"join nearly over, medium job", readsAt(40 * ms), 150 * ms, 200 * ms, 5000 * ms, 90 * ms, Held},
		{"worker adopted, medium job", with(readsAt(40*ms), Worker, 160*ms), 160 * ms, 200 * ms, 5000 * ms, 50 * ms, Held},
		{"worker adopted, short job", with(readsAt(40*ms), Worker, 160*ms), 160 * ms, 60 * ms, 5000 * ms, 50 * ms, TooLate},
		{"first poll in progress, short job", with(readsAt(40*ms), Worker, 160*ms), 165 * ms, 60 * ms, 5000 * ms, 45 * ms, Held},
		{"first poll overdue, short job", with(readsAt(40*ms), Worker, 160*ms), 300 * ms, 60 * ms, 5000 * ms, 0, Held},
		{"join overdue", readsAt(40 * ms), 400 * ms, 200 * ms, 5000 * ms, 50 * ms, Held},
		{"store away", nil, 500 * ms, 200 * ms, 5000 * ms, 200 * ms, TooLate},
		{"other hosts have capacity, reads missing", map[Step]time.Duration{Capacity: 30 * ms}, 40 * ms, 200 * ms, 5000 * ms, 60 * ms, Held},
		{"other hosts have capacity, reads missing, short job", map[Step]time.Duration{Capacity: 30 * ms}, 40 * ms, 60 * ms, 5000 * ms, 60 * ms, TooLate},
		{"capacity was known and is lost", with(with(readsAt(40*ms), Worker, 160*ms), Capacity, 190*ms), 400 * ms, 60 * ms, 5000 * ms, 0, Held},
		{"the deadline is earlier than the objective", nil, 0, 900 * ms, 1000 * ms, 300 * ms, TooLate},
		{"the deadline is shorter than the job", with(readsAt(40*ms), Capacity, 160*ms), 160 * ms, 900 * ms, 800 * ms, 0, TooLate},
		{"share ends after the hold period, start too", nil, 850 * ms, 900 * ms, 5000 * ms, 200 * ms, TooLate},
		{"share ends after the hold period, start before", readsAt(40 * ms), 850 * ms, 900 * ms, 5000 * ms, 50 * ms, Held},
		{"last instant of the hold period", with(readsAt(40*ms), Worker, 160*ms), 999 * ms, 900 * ms, 5000 * ms, 0, Held},
		{"hold period over", with(readsAt(40*ms), Worker, 160*ms), 1000 * ms, 900 * ms, 5000 * ms, 0, PeriodOver},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := holderAfter(c.ended)
			assert.Equal(t, c.expected, h.Expected(at(c.now)), "expected rest of the start")
			assert.Equal(t, c.want, h.Add(at(c.now), job("a", c.now, c.path, c.timeout)))
		})
	}
}

// Without a bound, a store that is away would make a host hold jobs until their
// deadlines.
func TestHeldJobIsRefusedWhenItsShareHasPassed(t *testing.T) {
	h := holderAfter(readsAt(40 * ms))
	assert.Equal(t, Held, h.Add(at(100*ms), job("long", 100*ms, 900*ms, 5000*ms)))
	assert.Equal(t, Held, h.Add(at(150*ms), job("medium", 150*ms, 200*ms, 5000*ms)))
	assert.Equal(t, Held, h.Add(at(850*ms), job("late", 850*ms, 900*ms, 5000*ms)))
	for _, c := range []struct {
		now  time.Duration
		want []string
	}{
		{239 * ms, nil},
		{240 * ms, []string{"medium"}},
		{399 * ms, nil},
		{400 * ms, []string{"long"}},
		{999 * ms, nil},
		{1000 * ms, []string{"late"}},
	} {
		assert.Equal(t, c.want, ids(h.Due(at(c.now))), c.now)
	}
	assert.Zero(t, h.Len())
}

// capacityKnown returns the IDs of the jobs that are submitted and refused if there is
// room for the given number of jobs.
func capacityKnown(h *Holder, now time.Time, room int) (submitted, refused []string) {
	refuse := h.CapacityKnown(now, func(Job) bool { return room > 0 }, func(j Job) {
		room--
		submitted = append(submitted, j.ID)
	})
	return submitted, ids(refuse)
}

// A later job must not get the first capacity, jobs must not be refused because the
// first workers have room for few, and a job that cannot meet its deadline must not
// take any.
func TestCapacityKnownSubmitsInOrderOfArrival(t *testing.T) {
	h := holderAfter(with(readsAt(40*ms), Worker, 160*ms))
	for i, path := range []time.Duration{900, 200, 60, 200, 900} {
		arrived := 165*ms + time.Duration(i)*ms
		assert.Equal(t, Held, h.Add(at(arrived), job(fmt.Sprint(i), arrived, path*ms, 400*ms+path*ms)))
	}
	h.Remove("1")
	h.Remove("unknown")
	submitted, refused := capacityKnown(h, at(190*ms), 1)
	assert.Equal(t, []string{"0"}, submitted)
	assert.Empty(t, refused)
	submitted, _ = capacityKnown(h, at(200*ms), 1)
	assert.Equal(t, []string{"2"}, submitted)
	submitted, refused = capacityKnown(h, at(270*ms), 0)
	assert.Equal(t, []string{"3"}, submitted, "its share has passed")
	assert.Empty(t, refused)
	assert.Equal(t, 1, h.Len())

	h = holderAfter(with(readsAt(40*ms), Worker, 160*ms))
	assert.Equal(t, Held, h.Add(at(200*ms), job("short timeout", 200*ms, 200*ms, 300*ms)))
	assert.Equal(t, Held, h.Add(at(201*ms), job("long timeout", 201*ms, 200*ms, 900*ms)))
	submitted, refused = capacityKnown(h, at(301*ms), 1)
	assert.Equal(t, []string{"long timeout"}, submitted, "the process was delayed")
	assert.Equal(t, []string{"short timeout"}, refused)
}

// A round follows each event, so a round that checks all held jobs would occupy the
// loop during the start.
func TestRoundChecksFewJobsWithoutRoom(t *testing.T) {
	h := holderAfter(readsAt(40 * ms))
	for i := range MaxHeld {
		assert.Equal(t, Held, h.Add(at(50*ms), job(fmt.Sprint(i), 50*ms, 900*ms, 5000*ms)))
	}
	checks := 0
	h.CapacityKnown(at(60*ms), func(Job) bool { checks++; return false }, func(Job) { t.Error("submitted") })
	assert.Equal(t, maxUnacceptable, checks)
	assert.Equal(t, MaxHeld, h.Len())
	submitted, _ := capacityKnown(h, at(350*ms), 0)
	assert.Len(t, submitted, MaxHeld, "their shares have passed")
}

// A stopping host must answer held jobs while their callers can still try elsewhere.
func TestStopRefusesHeldAndLaterJobs(t *testing.T) {
	h := holderAfter(readsAt(40 * ms))
	assert.Equal(t, Held, h.Add(at(50*ms), job("a", 50*ms, 900*ms, 5000*ms)))
	assert.Equal(t, Held, h.Add(at(51*ms), job("b", 51*ms, 900*ms, 5000*ms)))
	assert.Equal(t, []string{"a", "b"}, ids(h.Stop()))
	assert.Equal(t, Stopping, h.Add(at(60*ms), job("c", 60*ms, 900*ms, 5000*ms)))
	assert.Empty(t, h.Stop())
}

// A burst of callers must not fill the memory of a starting host.
func TestHeldJobsAreBounded(t *testing.T) {
	h := holderAfter(readsAt(40 * ms))
	for i := range MaxHeld {
		assert.Equal(t, Held, h.Add(at(50*ms), job(fmt.Sprint(i), 50*ms, 900*ms, 5000*ms)))
	}
	assert.Equal(t, TooMany, h.Add(at(50*ms), job("x", 50*ms, 900*ms, 5000*ms)))
	h.Remove("0")
	assert.Equal(t, Held, h.Add(at(50*ms), job("y", 50*ms, 900*ms, 5000*ms)))
}

func TestOnlyFirstEndOfStepCounts(t *testing.T) {
	h := holderAfter(map[Step]time.Duration{Ready: 200 * ms})
	h.StepEnded(at(700*ms), Ready)
	age, ok := h.EndOf(Ready)
	assert.True(t, ok)
	assert.Equal(t, 200*ms, age)
	_, ok = h.EndOf(FirstRun)
	assert.False(t, ok)
	names := map[string]bool{}
	for _, step := range Steps() {
		names[step.String()] = true
	}
	assert.Len(t, names, int(stepCount))
}
