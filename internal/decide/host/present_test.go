package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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
	settled := resumed.Add(100 * time.Millisecond)
	assert.Equal(t, settled, c.PresentAt(settled))
}

// Guards against a busy host, whose rounds take long, that never counts as present: the
// runs of its jobs would lapse everywhere.
func TestBusyHostStaysPresent(t *testing.T) {
	c := newIdleHost()
	now := testEpoch
	const round = 150 * time.Millisecond
	for range 20 {
		now = now.Add(round)
		c.StoodStill(now, round)
		c.Tick(now)
	}
	assert.LessOrEqual(t, now.Sub(c.PresentAt(now)), 2*round)
}
