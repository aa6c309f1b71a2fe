package nearwait

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// inputs returns those of a task of 100 ms that takes 200 ms elsewhere, where a
// place is free, with a rack that is free after a wait.
func inputs(wait, startBy int) Inputs {
	return Inputs{
		Now: epoch, RunTime: 100 * time.Millisecond, Slowdown: 2, Since: epoch,
		Near: Place{Known: true, At: at(wait)}, Elsewhere: Place{Known: true, Free: true, At: at(0)},
		StartBy: at(startBy), Deadline: at(2000),
	}
}

// Guards against a slow run elsewhere although a place near is free in a moment,
// and against a wait for a place that comes too late.
func TestShortWaitNearBeatsStartingElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Inputs)
		want   Decision
	}{
		"a short wait":                 {func(in *Inputs) {}, Decision{WaitNear, NearEndsEarlier, at(28)}},
		"free near":                    {func(in *Inputs) { in.Near.Free = true }, Decision{Action: StartNear, Reason: NearFree}},
		"longer than the slower run":   {func(in *Inputs) { in.Near.At = at(101) }, Decision{Action: StartElsewhere, Reason: NearEndsLater}},
		"longer with the margin":       {func(in *Inputs) { in.Near.At = at(75) }, Decision{Action: StartElsewhere, Reason: NearEndsLater}},
		"the wait is used up":          {func(in *Inputs) { in.Since = at(-100) }, Decision{Action: StartElsewhere, Reason: WaitUsedUp}},
		"little of the wait is left":   {func(in *Inputs) { in.Since = at(-90) }, Decision{Action: StartElsewhere, Reason: WaitUsedUp}},
		"an end that is overdue":       {func(in *Inputs) { in.Near.At = at(-30) }, Decision{WaitNear, NearEndsEarlier, at(10)}},
		"a long task among short ones": {func(in *Inputs) { in.OthersRunTime = 70 * time.Millisecond }, Decision{Action: StartElsewhere, Reason: LongerThanOthers}},
		"nowhere else":                 {func(in *Inputs) { in.Elsewhere = Place{} }, Decision{WaitNear, NowhereElse, at(2000)}},
		"elsewhere is busy for longer": {func(in *Inputs) {
			in.Near.At, in.Elsewhere, in.StartBy = at(100), Place{Known: true, At: at(150)}, at(600)
		}, Decision{WaitNear, NearEndsEarlier, at(140)}},
		"only near meets the objective":    {func(in *Inputs) { in.StartBy = at(80) }, Decision{WaitNear, OnTimeOnlyNear, at(28)}},
		"neither meets the objective":      {func(in *Inputs) { in.StartBy = at(20) }, Decision{Action: StartElsewhere, Reason: LateNearToo}},
		"the objective is lost already":    {func(in *Inputs) { in.StartBy = at(-1) }, Decision{WaitNear, NearEndsEarlier, at(28)}},
		"only near meets the deadline":     {func(in *Inputs) { in.StartBy, in.Deadline = at(-1), at(150) }, Decision{WaitNear, OnTimeOnlyNear, at(28)}},
		"the wait would cost the deadline": {func(in *Inputs) { in.StartBy, in.Deadline = at(-1), at(310) }, Decision{Action: StartElsewhere, Reason: ObjectiveAtRisk}},
	} {
		t.Run(name, func(t *testing.T) {
			in := inputs(20, 400)
			c.change(&in)
			assert.Equal(t, c.want, Decide(in))
		})
	}
}

// Guards against a wait for a rack that nobody knows or whose workers are away.
func TestUnknownRackDoesNotWait(t *testing.T) {
	in := inputs(0, 400)
	in.Near = Place{}
	assert.Equal(t, Decision{Action: StartElsewhere, Reason: NoNearWorker}, Decide(in))
}

// Guards against a wait after which the task is late although a start elsewhere in
// its place would have been on time: for every wait and objective, a wait ends
// early enough to start elsewhere on time.
func TestWaitNeverCostsTheObjective(t *testing.T) {
	waits := 0
	for wait := -10; wait <= 150; wait += 5 {
		for startBy := -50; startBy <= 600; startBy += 5 {
			for busy := 0; busy <= 120; busy += 40 {
				in := inputs(wait, startBy)
				in.Elsewhere.Free, in.Elsewhere.At = busy == 0, at(busy)
				d := Decide(in)
				lastElsewhere := in.StartBy.Add(-in.Extra())
				if d.Action != WaitNear || at(busy).After(lastElsewhere) {
					continue
				}
				waits++
				assert.False(t, d.Until.Add(reaction+time.Duration(busy)*time.Millisecond).After(lastElsewhere), "wait %d, start by %d, busy %d", wait, startBy, busy)
			}
		}
	}
	assert.Greater(t, waits, 1000)
}

// Guards against an expected start that ignores the tasks ahead or lets two tasks
// have the same place.
func TestExpectedStartCountsTheQueueAhead(t *testing.T) {
	cores := func(n int) fleet.Size { return fleet.Size{MilliCPU: n * 1000} }
	ahead := func(n int) []Demand {
		d := make([]Demand, n)
		for i := range d {
			d[i] = Demand{cores(8), 100 * time.Millisecond}
		}
		return d
	}
	for name, c := range map[string]struct {
		ahead int
		size  int
		want  time.Time
		ok    bool
	}{
		"first in the queue":     {0, 8, at(10), true},
		"one ahead":              {1, 8, at(30), true},
		"two ahead":              {2, 8, at(50), true},
		"three ahead":            {3, 8, at(110), true},
		"two ends for a large":   {0, 16, at(50), true},
		"larger than any worker": {0, 17, time.Time{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			workers := []Worker{
				{Releases: []Release{{at(50), cores(8)}, {at(10), cores(8)}}},
				{Releases: []Release{{at(30), cores(8)}}},
			}
			got, ok := ExpectedStart(epoch, workers, ahead(c.ahead), cores(c.size))
			assert.Equal(t, c.ok, ok)
			assert.Equal(t, c.want, got)
		})
	}
}
