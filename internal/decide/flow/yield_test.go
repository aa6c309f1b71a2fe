package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// yieldTimes returns for how long a host of a fleet yields, each time, in a minute in
// which it is saturated whenever saturated returns true.
func yieldTimes(others, saturatedOthers int, saturated func(at time.Duration) bool) (times []time.Duration) {
	var y Yield
	began := time.Duration(0)
	for at := time.Duration(0); at < time.Minute; at += 20 * time.Millisecond {
		if y.Update(epoch.Add(at), saturated(at) && !y.Active(), others, saturatedOthers) {
			if y.Active() {
				began = at
			} else {
				times = append(times, at-began)
			}
		}
	}
	return times
}

// A host whose processor was five times as slow as usual kept its workers and its
// callers for six seconds, started a tenth of their tasks and refused the rest.
func TestSlowHostYieldsWhileOthersAreSound(t *testing.T) {
	always := func(time.Duration) bool { return true }
	assert.Equal(t, []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second}, yieldTimes(28, 6, always))
	assert.Equal(t, []time.Duration{2 * time.Second}, yieldTimes(28, 0, func(at time.Duration) bool { return at < 5*time.Second })[:1])
}

// A burst, or a fleet that is saturated as a whole, must not make hosts give up their
// work: nobody is left to take it.
func TestHostDoesNotYieldToSaturatedOnesOrAfterABurst(t *testing.T) {
	always := func(time.Duration) bool { return true }
	assert.Empty(t, yieldTimes(28, 7, always), "a quarter of the fleet is saturated")
	assert.Empty(t, yieldTimes(2, 0, always), "a third of the fleet would yield")
	assert.Empty(t, yieldTimes(0, 0, always), "no other host")
	assert.Empty(t, yieldTimes(28, 0, func(at time.Duration) bool { return at%time.Second < 900*time.Millisecond }), "bursts")
}
