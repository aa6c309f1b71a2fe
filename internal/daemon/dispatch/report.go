package dispatch

import (
	"time"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
)

const (
	// reportInterval is the shortest time between two capacity reports to a
	// peer.
	reportInterval = 20 * time.Millisecond
	// reportIntervalPerPeer lengthens the interval with the number of peers: a
	// report costs about 20 us on either side, and control traffic may use 3% of
	// a core.
	reportIntervalPerPeer = 3 * time.Millisecond
	// remoteZoneFactor multiplies the interval for peers in other zones.
	remoteZoneFactor = 2
	// heartbeatInterval is the longest time between two reports to a peer.
	heartbeatInterval = 150 * time.Millisecond
)

// report adds this host's free capacity to the next frame of each peer whose
// report is due.
func (p *peers) report(now time.Time) {
	sameZone := max(reportInterval, time.Duration(len(p.links))*reportIntervalPerPeer)
	sameZone = min(sameZone, heartbeatInterval/remoteZoneFactor)
	var report *dispatchv1.Room
	for _, l := range p.links {
		interval := sameZone
		if l.host.Zone != p.self.Zone {
			interval = remoteZoneFactor * sameZone
		}
		if now.Sub(l.lastReport) < interval-tickInterval/2 {
			continue
		}
		if report == nil {
			report = capacityReportToProto(p.dispatcher.core.Report(now))
		}
		l.lastReport = now
		l.add(func(f *dispatchv1.Frame) { f.Room = report })
	}
}
