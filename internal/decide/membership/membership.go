// Package membership tracks which other entry hosts one entry host knows, and
// whether they are alive. It combines the platform's host list, which lags and may
// be wrong, with evidence received from the hosts directly or passed on by others.
// It performs no I/O: host lists, reports and the time go in, ping targets and
// events come out.
package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Options holds the parameters of the membership protocol.
type Options struct {
	// Fanout is the number of peers pinged in each round.
	Fanout int
	// ReportsPerPing is the number of third hosts of which one ping carries a full
	// report. Of all other live hosts it carries a heartbeat only.
	ReportsPerPing int
	// LivenessTimeout is how long a peer counts as alive after its last contact.
	LivenessTimeout time.Duration
	// ForgetAfter is the time since the last contact after which a lost peer that is
	// not in the host list is removed.
	ForgetAfter time.Duration
}

// DefaultOptions returns options for fleets of up to about sixty entry hosts with
// one round per second.
func DefaultOptions() Options {
	return Options{Fanout: 2, ReportsPerPing: 3, LivenessTimeout: 8 * time.Second, ForgetAfter: time.Minute}
}

// ListedHost is an entry host in the platform's host list.
type ListedHost struct {
	Name, Zone, Address string
	Leaving             bool
}

// Report is an entry host's report about itself, received directly or passed on by
// another host.
type Report struct {
	Host, Zone, Address string
	Incarnation         ids.Incarnation
	// Version is the configuration version in force on the host.
	Version int64
	Leaving bool
	// Uptime is the age of the incarnation when the host made the report.
	Uptime time.Duration
	// SincePeerLoss is the time since the host last lost contact with a peer
	// incarnation; negative if it never did.
	SincePeerLoss time.Duration
	// Age is the time since the host made the report.
	Age time.Duration
}

// Peer is another entry host.
type Peer struct {
	Name, Zone, Address string
	// Incarnation is the last known incarnation, or empty.
	Incarnation ids.Incarnation
	Version     int64
	Leaving     bool
	// Listed is set if the host list names the peer.
	Listed bool
	// Reachable is set while the peer counts as alive and the last call to it did
	// not fail.
	Reachable bool
	// LastContact is the latest time at which the peer is known to have sent a
	// message.
	LastContact time.Time
	// Uptime is the incarnation's age at LastContact.
	Uptime time.Duration
	// LastPeerLoss is when the peer last lost contact with another incarnation, or
	// zero.
	LastPeerLoss time.Time

	listedLeaving, reportedLeaving bool
	// alive is set from the first contact until the peer is lost or replaced.
	// callFailed is set if the last call to it failed.
	alive, callFailed bool
}

// EventKind is the kind of a change in a peer's state.
type EventKind string

// The kinds of events.
const (
	// EventJoined means that a peer was contacted for the first time, or again after
	// it was lost.
	EventJoined EventKind = "joined"
	// EventLost means that no contact with a peer was known for LivenessTimeout.
	EventLost EventKind = "lost"
	// EventReplaced means that a peer runs as a new incarnation.
	EventReplaced EventKind = "replaced"
	// EventLeaving means that a peer has begun a planned stop.
	EventLeaving EventKind = "leaving"
)

// Event is a change in the state of a peer.
type Event struct {
	Kind EventKind
	Host string
	// Incarnation is the incarnation that joined, is leaving, or was lost or
	// replaced.
	Incarnation ids.Incarnation
	// SilentFor is the time since the last contact.
	SilentFor time.Duration
}

// maxReplaced bounds the number of replaced incarnations that are remembered.
const maxReplaced = 512

// Table is one entry host's knowledge of the others. It is not safe for
// concurrent use.
type Table struct {
	self  string
	opts  Options
	rng   *rand.Rand
	peers map[string]*Peer
	// replaced holds replaced incarnations and when each replacement was detected.
	// replacedOrder holds them oldest first.
	replaced      map[ids.Incarnation]time.Time
	replacedOrder []ids.Incarnation
	lastPeerLoss  time.Time
	// reachableRotation and unreachableRotation order the peers to ping.
	reachableRotation, unreachableRotation rotation
	hints                                  map[string]time.Time
	// namesByKey holds the names of peers by the key of their incarnation.
	namesByKey map[uint64]string
}

// New returns an empty table for the host self.
func New(self string, opts Options, rng *rand.Rand) *Table {
	return &Table{
		self: self, opts: opts, rng: rng, peers: map[string]*Peer{},
		replaced: map[ids.Incarnation]time.Time{}, hints: map[string]time.Time{},
		namesByKey: map[uint64]string{},
	}
}

// UpdateHostList applies the platform's current host list. An empty list is
// treated as an outage of the platform and changes nothing.
func (t *Table) UpdateHostList(hosts []ListedHost) {
	if len(hosts) == 0 {
		return
	}
	for _, p := range t.peers {
		p.Listed, p.listedLeaving = false, false
	}
	for _, h := range hosts {
		if h.Name == t.self {
			continue
		}
		p := t.peer(h.Name)
		p.Listed, p.listedLeaving = true, h.Leaving
		p.Zone, p.Address = h.Zone, h.Address
		p.Leaving = p.listedLeaving || p.reportedLeaving
	}
}

func (t *Table) peer(name string) *Peer {
	p, ok := t.peers[name]
	if !ok {
		p = &Peer{Name: name}
		t.peers[name] = p
	}
	return p
}

// ReceiveReport applies a report to its peer and returns the resulting events.
// Direct means that the report came from the host itself, at its known address.
// Reports of replaced incarnations are ignored, and so are passed-on reports that
// are stale or not newer than what is known.
func (t *Table) ReceiveReport(now time.Time, r Report, direct bool) []Event {
	if r.Host == t.self || r.Host == "" || r.Incarnation == "" || t.isReplaced(r.Incarnation) {
		return nil
	}
	at := now.Add(-max(0, r.Age))
	if !direct && now.Sub(at) >= t.opts.LivenessTimeout {
		return nil
	}
	p := t.peer(r.Host)
	if p.Incarnation == r.Incarnation && !at.After(p.LastContact) && !direct {
		return nil
	}
	var events []Event
	if p.Incarnation != "" && p.Incarnation != r.Incarnation {
		if !direct && !at.Add(-r.Uptime).After(p.LastContact.Add(-p.Uptime)) {
			return nil
		}
		events = append(events, t.replace(now, p, direct))
	}
	if direct {
		p.callFailed = false
	}
	return append(events, t.apply(at, p, r)...)
}

// replace records that another incarnation has replaced the peer's current one.
// Only a direct report proves that the old process has ended.
func (t *Table) replace(now time.Time, p *Peer, direct bool) Event {
	if direct {
		t.replaced[p.Incarnation] = now
		t.replacedOrder = append(t.replacedOrder, p.Incarnation)
		if len(t.replacedOrder) > maxReplaced {
			delete(t.replaced, t.replacedOrder[0])
			t.replacedOrder = t.replacedOrder[1:]
		}
	}
	t.lastPeerLoss = now
	delete(t.namesByKey, IncarnationKey(p.Incarnation))
	p.alive, p.reportedLeaving, p.LastPeerLoss = false, false, time.Time{}
	return Event{Kind: EventReplaced, Host: p.Name, Incarnation: p.Incarnation, SilentFor: now.Sub(p.LastContact)}
}

func (t *Table) apply(at time.Time, p *Peer, r Report) []Event {
	var events []Event
	if !p.alive {
		events = append(events, Event{Kind: EventJoined, Host: p.Name, Incarnation: r.Incarnation})
	}
	if r.Leaving && !p.reportedLeaving {
		events = append(events, Event{Kind: EventLeaving, Host: p.Name, Incarnation: r.Incarnation})
	}
	p.alive, p.Incarnation, p.LastContact, p.Uptime = true, r.Incarnation, at, r.Uptime
	t.namesByKey[IncarnationKey(r.Incarnation)] = p.Name
	p.Version, p.reportedLeaving = r.Version, r.Leaving
	p.Leaving = p.listedLeaving || p.reportedLeaving
	if r.SincePeerLoss >= 0 {
		p.LastPeerLoss = at.Add(-r.SincePeerLoss)
	}
	if !p.Listed && r.Address != "" {
		p.Zone, p.Address = cmp.Or(r.Zone, p.Zone), r.Address
	}
	p.Reachable = p.alive && !p.callFailed
	return events
}

// CallFailed marks a peer as unreachable after a failed call.
func (t *Table) CallFailed(host string) {
	if p, ok := t.peers[host]; ok {
		p.callFailed = true
		p.Reachable = false
	}
}

// Tick returns an event for each peer lost since the last call, and removes lost
// peers that are not listed after ForgetAfter.
func (t *Table) Tick(now time.Time) []Event {
	var events []Event
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[name]
		silent := now.Sub(p.LastContact)
		if p.alive && silent >= t.opts.LivenessTimeout {
			p.alive, p.Reachable = false, false
			t.lastPeerLoss = now
			events = append(events, Event{Kind: EventLost, Host: name, Incarnation: p.Incarnation, SilentFor: silent})
		}
		if !p.alive && !p.Listed && silent >= t.opts.ForgetAfter {
			delete(t.namesByKey, IncarnationKey(p.Incarnation))
			delete(t.peers, name)
		}
	}
	return events
}

// PingTargets returns the peers to ping in this round: up to Fanout reachable ones,
// and at least one unreachable one, if there is any. It cycles through all peers in
// random order.
func (t *Table) PingTargets() []string {
	out := t.reachableRotation.next(t, t.opts.Fanout, func(p *Peer) bool { return p.Reachable })
	probes := max(1, t.opts.Fanout-len(out))
	return append(out, t.unreachableRotation.next(t, probes, func(p *Peer) bool { return !p.Reachable })...)
}

// rotation holds the names of the peers still to be pinged in the current cycle.
type rotation struct{ names []string }

// next removes and returns up to n matching peers. At the end of a cycle it starts
// another one.
func (r *rotation) next(t *Table, n int, match func(p *Peer) bool) []string {
	var out []string
	collect := func() {
		for len(r.names) > 0 && len(out) < n {
			name := r.names[0]
			r.names = r.names[1:]
			p, known := t.peers[name]
			if known && p.Address != "" && match(p) && !slices.Contains(out, name) {
				out = append(out, name)
			}
		}
	}
	collect()
	if len(out) < n {
		r.names = slices.Sorted(maps.Keys(t.peers))
		t.rng.Shuffle(len(r.names), func(i, j int) { r.names[i], r.names[j] = r.names[j], r.names[i] })
		collect()
	}
	return out
}

// Peers returns all peers, sorted by name.
func (t *Table) Peers() []Peer {
	out := make([]Peer, 0, len(t.peers))
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		out = append(out, *t.peers[name])
	}
	return out
}

// Lookup returns the peer with the name.
func (t *Table) Lookup(host string) (Peer, bool) {
	p, ok := t.peers[host]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// LastPeerLoss returns when this host last lost contact with a peer incarnation,
// or the zero time.
func (t *Table) LastPeerLoss() time.Time { return t.lastPeerLoss }

// ReplacedAt returns when it was detected that the incarnation's process has
// ended, because another process answered at its address. It returns false if that
// is not known.
func (t *Table) ReplacedAt(i ids.Incarnation) (time.Time, bool) {
	at, ok := t.replaced[i]
	return at, ok
}

func (t *Table) isReplaced(i ids.Incarnation) bool {
	_, ok := t.replaced[i]
	return ok
}
