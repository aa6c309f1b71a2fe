package fences

import (
	"context"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/daemon/peers"
	"github.com/parsleyhill/parsleyhill/internal/decide/identity"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// watchInterval is the time between looks at the directory.
const watchInterval = 250 * time.Millisecond

// lostAfter is the silence after which a host counts as lost.
const lostAfter = 10 * time.Second

// Fleet watches the directory for lost incarnations: a host that was replaced
// or is no longer listed. It is a requests.Fleet and safe for concurrent use.
type PeerWatcher struct {
	directory peers.Directory

	mu     sync.Mutex
	last   map[string]ids.Incarnation
	lostAt time.Time
}

// NewFleet returns a fleet that has lost nobody.
func NewPeerWatcher(d peers.Directory) *PeerWatcher {
	return &PeerWatcher{directory: d, last: map[string]ids.Incarnation{}}
}

// Run watches until ctx ends.
func (f *PeerWatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		f.look(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// look compares the directory with the last look.
func (f *PeerWatcher) look(now time.Time) []peers.Peer {
	listed := f.directory.Peers()
	f.mu.Lock()
	defer f.mu.Unlock()
	current := map[string]ids.Incarnation{}
	for _, p := range listed {
		current[p.Host] = p.Incarnation
		if p.Incarnation == "" {
			current[p.Host] = f.last[p.Host]
		}
	}
	for host, inc := range f.last {
		if found, ok := current[host]; !ok || inc != "" && found != inc {
			f.lostAt = now
		}
	}
	f.last = current
	return listed
}

// Fleet implements requests.Fleet.
func (f *PeerWatcher) View() identity.PeerView {
	now := time.Now()
	var fleet identity.PeerView
	for _, p := range f.look(now) {
		fleet.Peers = append(fleet.Peers, p.Host)
	}
	fleet.LastLoss = f.LastLoss()
	return fleet
}

// lossKeeper is a directory that notices losses itself.
type lossKeeper interface {
	// LastLoss returns the time since the last loss, or a negative time.
	LastLoss() time.Duration
}

// Losses returns when this host last lost sight of a peer's incarnation, by
// its own watch or the directory's.
func (f *PeerWatcher) LastLoss() identity.PeerLoss {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loss identity.PeerLoss
	if !f.lostAt.IsZero() {
		loss = identity.PeerLoss{Ever: true, Ago: time.Since(f.lostAt)}
	}
	keeper, ok := f.directory.(lossKeeper)
	if !ok {
		return loss
	}
	if ago := keeper.LastLoss(); ago >= 0 && (!loss.Ever || ago < loss.Ago) {
		loss = identity.PeerLoss{Ever: true, Ago: ago}
	}
	return loss
}

// Lost implements requests.Fleet. The host list lags; a host that died is lost
// by its silence long before it is taken off the list, and a host across a cut
// cannot use the slots on this side.
func (f *PeerWatcher) Lost(host string) bool {
	p, ok := f.directory.Lookup(host)
	return ok && !p.Reachable && p.SilentFor >= lostAfter
}

// Takers implements requests.Fleet.
func (f *PeerWatcher) HandOverTargets() []ids.Incarnation {
	var takers []ids.Incarnation
	for _, p := range f.directory.Peers() {
		if p.Reachable && !p.Leaving && p.Incarnation != "" {
			takers = append(takers, p.Incarnation)
		}
	}
	return takers
}
