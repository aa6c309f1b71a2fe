package peers

import (
	"time"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/internal/decide/membership"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// maxHeartbeats is the maximum number of heartbeats accepted from one ping.
const maxHeartbeats = 1024

// localReport returns this host's summary of itself and its evidence about
// other hosts.
func (m *Members) localReport() (*peerv1.HostSummary, *peerv1.Evidence) {
	from := m.summary()
	from.LastPeerLossMs = -1
	if loss := m.LastLoss(); loss >= 0 {
		from.LastPeerLossMs = loss.Milliseconds()
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	evidence := &peerv1.Evidence{}
	for _, r := range m.table.PeerReports(now) {
		evidence.Reports = append(evidence.Reports, &peerv1.Report{
			Host: r.Host, Address: r.Address, Incarnation: string(r.Incarnation), ConfigVersion: r.Version,
			Leaving: r.Leaving, UptimeMs: r.Uptime.Milliseconds(), AgeMs: r.Age.Milliseconds(),
		})
	}
	for _, b := range m.table.Heartbeats(now) {
		evidence.BeatKeys = append(evidence.BeatKeys, b.Key)
		evidence.BeatAgesMs = append(evidence.BeatAgesMs, uint32(b.Age.Milliseconds()))
	}
	for _, h := range m.table.Hints(now) {
		evidence.LeavingBackends = append(evidence.LeavingBackends, &peerv1.LeavingHint{Backend: h.Backend, AgeMs: h.Age.Milliseconds()})
	}
	return from, evidence
}

// applyReport updates the membership table with a peer's summary and evidence.
// Direct is set if the peer replied to a call of this host. The lock is held.
func (m *Members) applyReport(from *peerv1.HostSummary, evidence *peerv1.Evidence, direct bool) []membership.Event {
	now := time.Now()
	events := m.table.ReceiveReport(now, membership.Report{
		Host: from.GetHost(), Zone: from.GetZone(), Address: from.GetAddress(),
		Incarnation: ids.Incarnation(from.GetIncarnation()), Version: from.GetConfigVersion(),
		Leaving: from.GetLeaving(), Uptime: milliseconds(from.GetUptimeMs()), SincePeerLoss: milliseconds(from.GetLastPeerLossMs()),
	}, direct)
	for _, r := range evidence.GetReports() {
		events = append(events, m.table.ReceiveReport(now, membership.Report{
			Host: r.GetHost(), Address: r.GetAddress(), Incarnation: ids.Incarnation(r.GetIncarnation()),
			Version: r.GetConfigVersion(), Leaving: r.GetLeaving(),
			Uptime: milliseconds(r.GetUptimeMs()), SincePeerLoss: -1, Age: milliseconds(r.GetAgeMs()),
		}, false)...)
	}
	keys, ages := evidence.GetBeatKeys(), evidence.GetBeatAgesMs()
	for i := range min(len(keys), len(ages), maxHeartbeats) {
		b := membership.Heartbeat{Key: keys[i], Age: milliseconds(int64(ages[i]))}
		events = append(events, m.table.ReceiveHeartbeat(now, b)...)
	}
	for _, h := range evidence.GetLeavingBackends() {
		m.table.AddHint(now, membership.LeavingHint{Backend: h.GetBackend(), Age: milliseconds(h.GetAgeMs())})
	}
	return events
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
