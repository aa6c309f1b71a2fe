// Package presence estimates when another host was last there, from what it sent. What
// waits in a socket while this host stands still is read late and says nothing about the
// time at which it is read. It does no I/O and reads no clock.
package presence

import "time"

// delayMemory is how long the shortest delay of a host's frames is remembered, at least:
// the offset between two steady clocks changes when one of the hosts is suspended.
const delayMemory = 2 * time.Second

// Clock estimates on the clock of this host when the frames of one stream were sent. The
// sender stamps them by a steady clock of its own, whose offset is unknown. The zero
// value is ready to use.
type Clock struct {
	// first is when the first frame was received; delays count from there.
	first time.Time
	// shortest is the shortest delay, plus the clocks' offset, since the given time, and
	// former that of the period before.
	shortest, former time.Duration
	since            time.Time
}

// Start records that the frame with the given stamp was sent at the given time or later.
func (c *Clock) Start(sent time.Time, stamp time.Duration) {
	*c = Clock{first: sent, since: sent, shortest: -stamp, former: -stamp}
}

// Started reports whether Start was called, or a frame received.
func (c *Clock) Started() bool { return !c.first.IsZero() }

// SentAt returns when a frame was sent that was received at the given time, which may be
// when this host read it. The estimate is too late by the shortest delay of the stream's
// recent frames, and never later than received.
func (c *Clock) SentAt(received time.Time, stamp time.Duration) time.Time {
	if !c.Started() {
		c.Start(received, stamp)
	}
	delay := received.Sub(c.first) - stamp
	if received.Sub(c.since) >= delayMemory {
		c.former, c.shortest, c.since = c.shortest, delay, received
	} else {
		c.shortest = min(c.shortest, delay)
	}
	return received.Add(min(c.shortest, c.former) - delay)
}
