package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/parsleyhill/parsleyhill/internal/decide/coordinator"
)

func newIdleHost() *Core {
	return New(Config{Name: "h", Zone: "z", MaxLease: testLease, Partitions: 1, Ledger: testLedger()})
}

func TestHostIsPresentFromTheStandstillUntilItHasSettled(t *testing.T) {
	c := newIdleHost()
	c.Tick(testEpoch)
	const lasted = 500 * time.Millisecond
	resumed := testEpoch.Add(lasted)
	c.StoodStill(resumed, lasted)
	assert.Equal(t, testEpoch, c.PresentAt(resumed.Add(50*time.Millisecond)))
	settled := resumed.Add(coordinator.SettleTime)
	assert.Equal(t, settled, c.PresentAt(settled))
}

// Guards against a host that is short of processor time and never counts as present: the
// runs of its jobs would lapse everywhere.
func TestHostThatOftenStandsStillIsPresentInBetween(t *testing.T) {
	const standstill, awake = 120 * time.Millisecond, 50 * time.Millisecond
	c := newIdleHost()
	now, longest := testEpoch, time.Duration(0)
	for range 50 {
		now = now.Add(standstill)
		c.StoodStill(now, standstill)
		c.Tick(now)
		now = now.Add(awake)
		c.Tick(now)
		longest = max(longest, now.Sub(c.PresentAt(now)))
	}
	assert.LessOrEqual(t, longest, 3*(standstill+awake))
}
