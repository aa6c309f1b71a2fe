package fences

import (
	"context"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/daemon/peers"
	"github.com/parsleyhill/parsleyhill/internal/decide/identity"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// refreshInterval is the interval at which the directory is read.
const refreshInterval = 250 * time.Millisecond

// lostAfter is the time without contact after which an unreachable host counts
// as lost.
const lostAfter = 10 * time.Second

// PeerWatcher detects lost incarnations in the directory, those of hosts that
// were replaced or are no longer listed. It implements requests.Peers and is
// safe for concurrent use.
type PeerWatcher struct {
	directory peers.Directory

	mu         sync.Mutex
	known      map[string]ids.Incarnation
	lastLossAt time.Time
}

// NewPeerWatcher returns a watcher of the directory that has detected no loss
// yet.
func NewPeerWatcher(d peers.Directory) *PeerWatcher {
	return &PeerWatcher{directory: d, known: map[string]ids.Incarnation{}}
}

// Run reads the directory periodically until ctx ends.
func (w *PeerWatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		w.refresh(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// refresh reads the directory and compares it with the previous reading. It
// returns the peers in the directory.
func (w *PeerWatcher) refresh(now time.Time) []peers.Peer {
	listed := w.directory.Peers()
	w.mu.Lock()
	defer w.mu.Unlock()
	current := map[string]ids.Incarnation{}
	for _, p := range listed {
		current[p.Host] = p.Incarnation
		if p.Incarnation == "" {
			current[p.Host] = w.known[p.Host]
		}
	}
	for host, incarnation := range w.known {
		if found, ok := current[host]; !ok || incarnation != "" && found != incarnation {
			w.lastLossAt = now
		}
	}
	w.known = current
	return listed
}

// View implements requests.Peers.
func (w *PeerWatcher) View() identity.PeerView {
	now := time.Now()
	var view identity.PeerView
	for _, p := range w.refresh(now) {
		view.Peers = append(view.Peers, p.Host)
	}
	view.LastLoss = w.LastLoss()
	return view
}

// lossReporter is a directory that detects losses itself.
type lossReporter interface {
	// LastLoss returns the time since the last loss, or a negative time if
	// there was none.
	LastLoss() time.Duration
}

// LastLoss returns when this host last lost a peer's incarnation, as seen by the
// watcher or by the directory.
func (w *PeerWatcher) LastLoss() identity.PeerLoss {
	w.mu.Lock()
	defer w.mu.Unlock()
	var loss identity.PeerLoss
	if !w.lastLossAt.IsZero() {
		loss = identity.PeerLoss{Ever: true, Ago: time.Since(w.lastLossAt)}
	}
	reporter, ok := w.directory.(lossReporter)
	if !ok {
		return loss
	}
	if ago := reporter.LastLoss(); ago >= 0 && (!loss.Ever || ago < loss.Ago) {
		loss = identity.PeerLoss{Ever: true, Ago: ago}
	}
	return loss
}

// Lost implements requests.Peers. It relies on the time without contact,
// because the host list lags: a dead host stays listed long after it stopped
// responding. A host on the other side of a network partition counts as lost
// too, since it cannot use the slots on this side.
func (w *PeerWatcher) Lost(host string) bool {
	p, ok := w.directory.Lookup(host)
	return ok && !p.Reachable && p.SilentFor >= lostAfter
}

// HandOverTargets implements requests.Peers.
func (w *PeerWatcher) HandOverTargets() []ids.Incarnation {
	var targets []ids.Incarnation
	for _, p := range w.directory.Peers() {
		if p.Reachable && !p.Leaving && p.Incarnation != "" {
			targets = append(targets, p.Incarnation)
		}
	}
	return targets
}
