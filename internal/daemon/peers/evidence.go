package peers

import (
	"time"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/internal/decide/members"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// maxBeats bounds the short evidence taken from one ping.
const maxBeats = 1024

// tell returns what this host says of itself and of others.
func (m *Members) tell() (*peerv1.HostSummary, *peerv1.Evidence) {
	from := m.summary()
	from.LastPeerLossMs = -1
	if loss := m.LastLoss(); loss >= 0 {
		from.LastPeerLossMs = loss.Milliseconds()
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	evidence := &peerv1.Evidence{}
	for _, r := range m.table.Others(now) {
		evidence.Reports = append(evidence.Reports, &peerv1.Report{
			Host: r.Host, Address: r.Address, Incarnation: string(r.Incarnation), ConfigVersion: r.Version,
			Leaving: r.Leaving, UptimeMs: r.Uptime.Milliseconds(), AgeMs: r.Age.Milliseconds(),
		})
	}
	for _, b := range m.table.Beats(now) {
		evidence.BeatKeys = append(evidence.BeatKeys, b.Key)
		evidence.BeatAgesMs = append(evidence.BeatAgesMs, uint32(b.Age.Milliseconds()))
	}
	for _, h := range m.table.Hints(now) {
		evidence.LeavingBackends = append(evidence.LeavingBackends, &peerv1.LeavingHint{Backend: h.Backend, AgeMs: h.Age.Milliseconds()})
	}
	return from, evidence
}

// hear takes what a peer said. The lock is held.
func (m *Members) hear(from *peerv1.HostSummary, evidence *peerv1.Evidence, direct bool) []members.Event {
	now := time.Now()
	events := m.table.Heard(now, members.Report{
		Host: from.GetHost(), Zone: from.GetZone(), Address: from.GetAddress(),
		Incarnation: ids.Incarnation(from.GetIncarnation()), Version: from.GetConfigVersion(),
		Leaving: from.GetLeaving(), Uptime: milliseconds(from.GetUptimeMs()), LastLoss: milliseconds(from.GetLastPeerLossMs()),
	}, direct)
	for _, r := range evidence.GetReports() {
		events = append(events, m.table.Heard(now, members.Report{
			Host: r.GetHost(), Address: r.GetAddress(), Incarnation: ids.Incarnation(r.GetIncarnation()),
			Version: r.GetConfigVersion(), Leaving: r.GetLeaving(),
			Uptime: milliseconds(r.GetUptimeMs()), LastLoss: -1, Age: milliseconds(r.GetAgeMs()),
		}, false)...)
	}
	keys, ages := evidence.GetBeatKeys(), evidence.GetBeatAgesMs()
	for i := range min(len(keys), len(ages), maxBeats) {
		b := members.Beat{Key: keys[i], Age: milliseconds(int64(ages[i]))}
		events = append(events, m.table.Beat(now, b)...)
	}
	for _, h := range evidence.GetLeavingBackends() {
		m.table.Hint(now, members.Hint{Backend: h.GetBackend(), Age: milliseconds(h.GetAgeMs())})
	}
	return events
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
