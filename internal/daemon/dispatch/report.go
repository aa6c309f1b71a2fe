package dispatch

import (
	"time"
)

const (
	// reportInterval bounds how often peers are told of a change of the room.
	reportInterval = 15 * time.Millisecond
	// heartbeatInterval is how often peers are told at the least.
	heartbeatInterval = 150 * time.Millisecond
)

// reporter remembers when the room was last reported.
type reporter struct {
	sent time.Time
}

// report tells the peers, at times, of this host's room.
func (d *Dispatch) report(now time.Time) {
	if now.Sub(d.reports.sent) >= reportInterval {
		d.reports.sent = now
		d.peers.report(now, d.core.Report(now))
	}
}
