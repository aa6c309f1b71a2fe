package host

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/coordinator"
)

// minStandstill is the shortest time without an event that counts as a standstill; ticks
// come far more often.
const minStandstill = 100 * time.Millisecond

// StoodStill records, before the first event after a standstill, how long this host has
// done nothing. What it knows of callers is outdated until it has read what they sent
// meanwhile; after a long standstill it offers nothing for them until then.
func (c *Core) StoodStill(now time.Time, lasted time.Duration) {
	if lasted < minStandstill {
		return
	}
	began := now.Add(-lasted)
	c.settle(began)
	if !c.unsettled {
		c.unsettled, c.awake, c.presentAt = true, 0, began
	} else {
		c.awake += began.Sub(c.resumedAt)
	}
	c.resumedAt = now
	if lasted >= c.Pool.MaxHostSilence() {
		c.Coordinator.StoodStill(now)
	}
}

// settle ends the time after a standstill in which this host reads what was sent to it. A
// host that stands still again and again needs as much time awake in all.
func (c *Core) settle(now time.Time) {
	c.unsettled = c.unsettled && c.awake+now.Sub(c.resumedAt) < coordinator.SettleTime
}

// PresentAt returns the last time up to which this host knows which of its callers have
// left: now, unless it stood still a moment ago. Other hosts lease the runs of its jobs by
// this time.
func (c *Core) PresentAt(now time.Time) time.Time {
	if c.unsettled && c.awake+now.Sub(c.resumedAt) < coordinator.SettleTime {
		return c.presentAt
	}
	return now
}
