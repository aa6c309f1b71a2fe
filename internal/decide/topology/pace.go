package topology

import "time"

const (
	// MinReportInterval is the shortest time between two capacity reports to a
	// peer.
	MinReportInterval = 20 * time.Millisecond
	// HeartbeatInterval is the longest time between two frames to a peer. Each
	// frame costs a send, a reception and a wake-up, and a host of a large fleet has
	// some 45 peers.
	HeartbeatInterval = 250 * time.Millisecond
	// SilenceTimeout is how long a peer may send nothing before its stream is closed. It is
	// well below the 1,300 ms after which callers of a lost host submit their jobs again:
	// the former runs must have been stopped by then.
	SilenceTimeout = 3 * HeartbeatInterval
	// reportIntervalPerPeer lengthens the interval with the number of peers, so
	// that a host sends a bounded number of reports: a report costs about 20 us on
	// either side, and control traffic may use 3% of a core.
	reportIntervalPerPeer = 5 * time.Millisecond
	// remoteZoneFactor multiplies the interval for peers in other zones.
	remoteZoneFactor = 2
)

// ReportInterval returns the time between two capacity reports to a peer for a
// host with the given number of peers, unless a message to the peer carries one
// earlier. Up to 50 peers, a host sends at most 200 reports a second; with more,
// each peer gets one per HeartbeatInterval.
func ReportInterval(peers int, sameZone bool) time.Duration {
	interval := max(MinReportInterval, time.Duration(peers)*reportIntervalPerPeer)
	if !sameZone {
		interval *= remoteZoneFactor
	}
	return min(interval, HeartbeatInterval)
}
