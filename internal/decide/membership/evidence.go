package membership

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Heartbeat is a compact report of the last contact with an incarnation, as
// evidence that it was alive then.
type Heartbeat struct {
	// Key is the IncarnationKey of the incarnation.
	Key uint64
	// Age is the time since the incarnation's last message.
	Age time.Duration
}

// IncarnationKey returns a 64-bit hash that identifies an incarnation in
// heartbeats, where it takes less space than the name.
func IncarnationKey(i ids.Incarnation) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(i))
	return h.Sum64()
}

// alivePeers returns the peers that count as alive, sorted by name.
func (t *Table) alivePeers() []*Peer {
	var out []*Peer
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		if p := t.peers[name]; p.alive {
			out = append(out, p)
		}
	}
	return out
}

// Heartbeats returns a heartbeat of every live peer, for the next ping.
func (t *Table) Heartbeats(now time.Time) []Heartbeat {
	alive := t.alivePeers()
	out := make([]Heartbeat, 0, len(alive))
	for _, p := range alive {
		out = append(out, Heartbeat{Key: IncarnationKey(p.Incarnation), Age: now.Sub(p.LastContact)})
	}
	return out
}

// ReceiveHeartbeat updates a peer's last contact from a heartbeat that another
// host passed on, and returns the resulting events. A heartbeat is ignored if
// its incarnation is unknown, if it is not newer than the last contact, or if
// it is older than LivenessTimeout.
func (t *Table) ReceiveHeartbeat(now time.Time, b Heartbeat) []Event {
	p, ok := t.peers[t.namesByKey[b.Key]]
	at := now.Add(-max(0, b.Age))
	if !ok || !at.After(p.LastContact) || now.Sub(at) >= t.opts.LivenessTimeout {
		return nil
	}
	p.Uptime += at.Sub(p.LastContact)
	p.LastContact = at
	if p.alive {
		return nil
	}
	p.alive, p.Reachable = true, !p.callFailed
	return []Event{{Kind: EventJoined, Host: p.Name, Incarnation: p.Incarnation}}
}

// PeerReports returns full reports for the next ping: one of the peer with the
// newest configuration, the others of random live peers.
func (t *Table) PeerReports(now time.Time) []Report {
	alive := t.alivePeers()
	t.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	if len(alive) > 0 {
		version := newestVersion(alive)
		first := slices.IndexFunc(alive, func(p *Peer) bool { return p.Version == version })
		alive[0], alive[first] = alive[first], alive[0]
	}
	alive = alive[:min(len(alive), t.opts.ReportsPerPing)]
	out := make([]Report, 0, len(alive))
	for _, p := range alive {
		out = append(out, Report{
			Host: p.Name, Address: p.Address, Incarnation: p.Incarnation, Version: p.Version,
			Leaving: p.reportedLeaving, Uptime: p.Uptime, SincePeerLoss: -1, Age: now.Sub(p.LastContact),
		})
	}
	return out
}

// newestVersion returns the newest configuration version of the peers.
func newestVersion(peers []*Peer) int64 {
	var version int64
	for _, p := range peers {
		version = max(version, p.Version)
	}
	return version
}

// NewestVersion returns the newest configuration version of a live peer.
func (t *Table) NewestVersion() int64 { return newestVersion(t.alivePeers()) }
