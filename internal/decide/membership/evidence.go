package membership

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Beat is the short form of evidence: an incarnation spoke some time ago.
type Heartbeat struct {
	// Key is the key of the incarnation.
	Key uint64
	// Age is the time since it spoke.
	Age time.Duration
}

// Key returns the short form of an incarnation.
func IncarnationKey(i ids.Incarnation) uint64 {
	h := fnv.New64a()
	// Writes to a hash do not fail.
	_, _ = h.Write([]byte(i))
	return h.Sum64()
}

// alive returns the living peers, sorted by name.
func (t *Table) alive() []*Peer {
	var out []*Peer
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		if p := t.peers[name]; p.alive {
			out = append(out, p)
		}
	}
	return out
}

// Beats returns the short evidence of every living peer, for the next ping.
func (t *Table) Heartbeats(now time.Time) []Heartbeat {
	alive := t.alive()
	out := make([]Heartbeat, 0, len(alive))
	for _, p := range alive {
		out = append(out, Heartbeat{Key: IncarnationKey(p.Incarnation), Age: now.Sub(p.LastContact)})
	}
	return out
}

// Beat takes short evidence. Evidence of an unknown incarnation says nothing.
func (t *Table) ReceiveHeartbeat(now time.Time, b Heartbeat) []Event {
	p, ok := t.peers[t.keys[b.Key]]
	at := now.Add(-max(0, b.Age))
	if !ok || !at.After(p.LastContact) || now.Sub(at) >= t.opts.LivenessTimeout {
		return nil
	}
	p.Uptime += at.Sub(p.LastContact)
	p.LastContact = at
	if p.alive {
		return nil
	}
	p.alive, p.Reachable = true, !p.failed
	return []Event{{Kind: EventJoined, Host: p.Name, Incarnation: p.Incarnation}}
}

// Others returns full reports for the next ping: of the peer with the newest
// configuration, and of random others.
func (t *Table) PeerReports(now time.Time) []Report {
	alive := t.alive()
	t.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	if len(alive) > 0 {
		version := newest(alive)
		first := slices.IndexFunc(alive, func(p *Peer) bool { return p.Version == version })
		alive[0], alive[first] = alive[first], alive[0]
	}
	alive = alive[:min(len(alive), t.opts.ReportsPerPing)]
	out := make([]Report, 0, len(alive))
	for _, p := range alive {
		out = append(out, Report{
			Host: p.Name, Address: p.Address, Incarnation: p.Incarnation, Version: p.Version,
			Leaving: p.saidLeaving, Uptime: p.Uptime, SincePeerLoss: -1, Age: now.Sub(p.LastContact),
		})
	}
	return out
}

// newest returns the newest configuration version of the peers.
func newest(peers []*Peer) int64 {
	var version int64
	for _, p := range peers {
		version = max(version, p.Version)
	}
	return version
}

// NewestVersion returns the newest configuration version of a living peer.
func (t *Table) NewestVersion() int64 { return newest(t.alive()) }
