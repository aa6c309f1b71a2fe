package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a host that counts as present since the end of a standstill although it
// stood still again before it had settled: the caller had left at the beginning of the
// first standstill, and its end was read after the second one only.
func TestHostThatStandsStillAgainHasNotReadTheEndsOfItsCallers(t *testing.T) {
	c := newIdleHost()
	c.Tick(testEpoch)
	const lasted, between = 500 * time.Millisecond, 5 * time.Millisecond
	c.StoodStill(testEpoch.Add(lasted), lasted)
	c.Tick(testEpoch.Add(lasted))
	again := testEpoch.Add(2*lasted + between)
	c.StoodStill(again, lasted)
	assert.Equal(t, testEpoch, c.PresentAt(again))
}

// Guards against the same as TestResumedHostDoesNotProlongRunsOfCallersThatLeft where the
// host stands still again before it has read that its caller is gone.
func TestSecondStandstillDoesNotProlongRunsOfCallersThatLeft(t *testing.T) {
	const first, second = 400 * time.Millisecond, 300 * time.Millisecond
	for name, hostOf := range map[string]func(f *returningFleet) *simHost{
		"job's host":           func(f *returningFleet) *simHost { return f.entry },
		"job's host and owner": func(f *returningFleet) *simHost { return f.owner },
	} {
		t.Run(name, func(t *testing.T) {
			forThawOrders(t, func(t *testing.T, f *returningFleet) {
				f.stopsLost = true
				h := hostOf(f)
				j := f.newLongJob(10 * time.Second)
				j.next = f.other
				f.submit(j, h)
				f.run(300 * time.Millisecond)
				f.freeze(h, first)
				f.after(time.Millisecond, func() { j.leave() })
				f.after(first+thawTime/2, func() { f.freeze(h, second) })
				f.requireOneRun(t, 1600*time.Millisecond)
			})
		})
	}
}
