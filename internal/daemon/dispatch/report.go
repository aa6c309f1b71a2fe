package dispatch

import (
	"time"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
)

const (
	// reportInterval bounds how often a peer is told of the room.
	reportInterval = 20 * time.Millisecond
	// reportCost spaces the reports further the more peers there are: a report
	// costs some 20 us on either side, and control may take 3% of a core.
	reportCost = 3 * time.Millisecond
	// farReports is how many times less often peers of other zones are told.
	farReports = 2
	// heartbeatInterval is how often peers are told at the least.
	heartbeatInterval = 150 * time.Millisecond
)

// report tells the peers that are due of this host's room.
func (p *peers) report(now time.Time) {
	near := max(reportInterval, time.Duration(len(p.links))*reportCost)
	near = min(near, heartbeatInterval/farReports)
	var room *dispatchv1.Room
	for _, l := range p.links {
		interval := near
		if l.host.Zone != p.self.Zone {
			interval = farReports * near
		}
		if now.Sub(l.reported) < interval-tickInterval/2 {
			continue
		}
		if room == nil {
			room = roomTo(p.d.core.Report(now))
		}
		l.reported = now
		l.add(func(f *dispatchv1.Frame) { f.Room = room })
	}
}
