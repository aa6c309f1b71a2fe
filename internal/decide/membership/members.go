// Package members holds what one entry host knows of the others: the platform's
// host list, which lags and may be wrong, and direct and passed-on evidence. It
// is pure: readings, answers and the time go in, targets and events come out.
package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Options holds the sizes and times of the protocol.
type Options struct {
	// Fanout is the number of peers pinged each round.
	Fanout int
	// Evidence is the number of third hosts that one ping tells about in full.
	// Of all others it tells the age only.
	ReportsPerPing int
	// Fresh is how long a peer counts as alive after it last spoke.
	LivenessTimeout time.Duration
	// Forget is how long a peer is kept that is neither listed nor heard of.
	ForgetAfter time.Duration
}

// DefaultOptions suit fleets of up to some sixty entry hosts with a round each
// second.
func DefaultOptions() Options {
	return Options{Fanout: 2, ReportsPerPing: 3, LivenessTimeout: 8 * time.Second, ForgetAfter: time.Minute}
}

// Listed is an entry host as the platform lists it.
type ListedHost struct {
	Name, Zone, Address string
	Leaving             bool
}

// Report is what an entry host said about itself, directly or through another.
type Report struct {
	Host, Zone, Address string
	Incarnation         ids.Incarnation
	// Version is the configuration version in force.
	Version int64
	Leaving bool
	// Uptime is the age of the incarnation when the host spoke.
	Uptime time.Duration
	// LastLoss is the time since the host lost sight of a peer incarnation;
	// negative if it never did.
	SincePeerLoss time.Duration
	// Age is the time since the host spoke.
	Age time.Duration
}

// Peer is one other entry host.
type Peer struct {
	Name, Zone, Address string
	// Incarnation is the last one heard of, or empty.
	Incarnation ids.Incarnation
	Version     int64
	Leaving     bool
	// Listed is set if the host list names the peer.
	Listed bool
	// Reachable is set while the peer is heard of and answered when it was last
	// called.
	Reachable bool
	// Heard is when the peer last spoke, as far as known.
	LastContact time.Time
	// Uptime is the incarnation's age at Heard.
	Uptime time.Duration
	// LastLoss is when the peer lost sight of another one, or zero.
	LastPeerLoss time.Time

	listedLeaving, saidLeaving bool
	// alive is set until the peer counts as lost, failed if the last call to
	// it failed.
	alive, failed bool
}

// EventKind is what happened to a peer.
type EventKind string

// The kinds of events.
const (
	// EventJoined means that a peer was heard of for the first time or again.
	EventJoined EventKind = "joined"
	// EventLost means that nothing was heard of a peer for too long.
	EventLost EventKind = "lost"
	// EventReplaced means that a peer's process is a new one.
	EventReplaced EventKind = "replaced"
	// EventLeaving means that a peer began a planned stop.
	EventLeaving EventKind = "leaving"
)

// Event is one change in what is known of a peer.
type Event struct {
	Kind EventKind
	Host string
	// Incarnation is the one that joined, left or was lost or replaced.
	Incarnation ids.Incarnation
	// Silent is the time since the peer spoke.
	SilentFor time.Duration
}

// maxGone bounds the replaced incarnations that are remembered.
const maxGone = 512

// Table is one entry host's knowledge of the others. It is not safe for
// concurrent use.
type Table struct {
	self  string
	opts  Options
	rng   *rand.Rand
	peers map[string]*Peer
	// gone holds replaced incarnations and when their end was known.
	gone      map[ids.Incarnation]time.Time
	goneOrder []ids.Incarnation
	lastLoss  time.Time
	// healthy and silent are the rotations of peers to ping.
	healthy, silent rotation
	hints           map[string]time.Time
	// keys holds the names of peers by the key of their incarnation.
	keys map[uint64]string
}

// New returns a table that knows nobody.
func New(self string, opts Options, rng *rand.Rand) *Table {
	return &Table{
		self: self, opts: opts, rng: rng, peers: map[string]*Peer{},
		gone: map[ids.Incarnation]time.Time{}, hints: map[string]time.Time{},
		keys: map[uint64]string{},
	}
}

// List takes a reading of the host list. An empty reading is an outage and
// changes nothing.
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
		p.Leaving = p.listedLeaving || p.saidLeaving
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

// Heard takes a report. Direct means that the host itself was on the line, at
// the address where it is known.
func (t *Table) ReceiveReport(now time.Time, r Report, direct bool) []Event {
	if r.Host == t.self || r.Host == "" || r.Incarnation == "" || t.isGone(r.Incarnation) {
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
		p.failed = false
	}
	return append(events, t.take(at, p, r)...)
}

// replace notes that the peer's incarnation has been followed by another.
func (t *Table) replace(now time.Time, p *Peer, direct bool) Event {
	if direct {
		t.gone[p.Incarnation] = now
		t.goneOrder = append(t.goneOrder, p.Incarnation)
		if len(t.goneOrder) > maxGone {
			delete(t.gone, t.goneOrder[0])
			t.goneOrder = t.goneOrder[1:]
		}
	}
	t.lastLoss = now
	delete(t.keys, IncarnationKey(p.Incarnation))
	p.alive, p.saidLeaving, p.LastPeerLoss = false, false, time.Time{}
	return Event{Kind: EventReplaced, Host: p.Name, Incarnation: p.Incarnation, SilentFor: now.Sub(p.LastContact)}
}

func (t *Table) take(at time.Time, p *Peer, r Report) []Event {
	var events []Event
	if !p.alive {
		events = append(events, Event{Kind: EventJoined, Host: p.Name, Incarnation: r.Incarnation})
	}
	if r.Leaving && !p.saidLeaving {
		events = append(events, Event{Kind: EventLeaving, Host: p.Name, Incarnation: r.Incarnation})
	}
	p.alive, p.Incarnation, p.LastContact, p.Uptime = true, r.Incarnation, at, r.Uptime
	t.keys[IncarnationKey(r.Incarnation)] = p.Name
	p.Version, p.saidLeaving = r.Version, r.Leaving
	p.Leaving = p.listedLeaving || p.saidLeaving
	if r.SincePeerLoss >= 0 {
		p.LastPeerLoss = at.Add(-r.SincePeerLoss)
	}
	if !p.Listed && r.Address != "" {
		p.Zone, p.Address = cmp.Or(r.Zone, p.Zone), r.Address
	}
	p.Reachable = p.alive && !p.failed
	return events
}

// Missed notes that a call to the peer failed.
func (t *Table) CallFailed(host string) {
	if p, ok := t.peers[host]; ok {
		p.failed = true
		p.Reachable = false
	}
}

// Tick returns what was lost since the last call, and forgets peers that are
// neither listed nor heard of.
func (t *Table) Tick(now time.Time) []Event {
	var events []Event
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[name]
		silent := now.Sub(p.LastContact)
		if p.alive && silent >= t.opts.LivenessTimeout {
			p.alive, p.Reachable = false, false
			t.lastLoss = now
			events = append(events, Event{Kind: EventLost, Host: name, Incarnation: p.Incarnation, SilentFor: silent})
		}
		if !p.alive && !p.Listed && silent >= t.opts.ForgetAfter {
			delete(t.keys, IncarnationKey(p.Incarnation))
			delete(t.peers, name)
		}
	}
	return events
}

// Targets returns the peers to ping in this round: some that answer, and at
// least one that does not, if there is one. Every peer has its turn, in a
// random order.
func (t *Table) PingTargets() []string {
	out := t.healthy.next(t, t.opts.Fanout, func(p *Peer) bool { return p.Reachable })
	probes := max(1, t.opts.Fanout-len(out))
	return append(out, t.silent.next(t, probes, func(p *Peer) bool { return !p.Reachable })...)
}

// rotation holds the peers that are still to be pinged.
type rotation struct{ names []string }

// next takes up to n peers that match, and begins again after the last.
func (r *rotation) next(t *Table, n int, match func(p *Peer) bool) []string {
	var out []string
	take := func() {
		for len(r.names) > 0 && len(out) < n {
			name := r.names[0]
			r.names = r.names[1:]
			p, known := t.peers[name]
			if known && p.Address != "" && match(p) && !slices.Contains(out, name) {
				out = append(out, name)
			}
		}
	}
	take()
	if len(out) < n {
		r.names = slices.Sorted(maps.Keys(t.peers))
		t.rng.Shuffle(len(r.names), func(i, j int) { r.names[i], r.names[j] = r.names[j], r.names[i] })
		take()
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

// LastLoss returns when this host last lost sight of a peer incarnation, or
// the zero time.
func (t *Table) LastPeerLoss() time.Time { return t.lastLoss }

// Replaced returns when it was known that the incarnation's process is gone,
// because another process answered in its place.
func (t *Table) ReplacedAt(i ids.Incarnation) (time.Time, bool) {
	at, ok := t.gone[i]
	return at, ok
}

func (t *Table) isGone(i ids.Incarnation) bool {
	_, ok := t.gone[i]
	return ok
}
