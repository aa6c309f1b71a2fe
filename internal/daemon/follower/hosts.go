package follower

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// Hosts follows the host list. It keeps the last usable reading and is safe
// for concurrent use.
type Hosts struct {
	list   platform.HostList
	logger *log.Logger
	poll   time.Duration
	last   atomic.Pointer[platform.Hosts]
	// first is closed with the first usable reading.
	first     chan struct{}
	closeOnce sync.Once

	// These are set by Attach before Run.
	peers    HostPeers
	recorder decision.Recorder
}

// HostPeers are the other entry hosts as sources of the host list.
type HostPeers interface {
	// FetchHosts asks one peer for a host list newer than the version. It
	// returns the peer's address and false if it has none.
	FetchHosts(ctx context.Context, after int64) (hosts platform.Hosts, from string, ok bool)
}

// Attach adds the peers that are asked while the platform gives no list.
func (h *Hosts) Attach(p HostPeers, r decision.Recorder) { h.peers, h.recorder = p, r }

// NewHosts returns a follower that reads the list every poll.
func NewHosts(list platform.HostList, logger *log.Logger, poll time.Duration) *Hosts {
	return &Hosts{list: list, logger: logger, poll: poll, first: make(chan struct{})}
}

// Hosts returns the hosts of the last usable reading.
func (h *Hosts) Hosts() []platform.Host {
	if last := h.last.Load(); last != nil {
		return last.Hosts
	}
	return nil
}

// Run reads the list until ctx ends.
func (h *Hosts) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		h.readOnce(ctx)
		sleep(ctx, h.poll)
	}
	return ctx.Err()
}

func (h *Hosts) readOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	hosts, err := h.list.Hosts(ctx)
	switch {
	case err != nil:
		h.logger.Warn("host list gives no reading", "error", err)
		h.askPeer(ctx)
	case len(hosts.Hosts) == 0:
		h.logger.Warn("host list is empty, keeping the last reading")
		h.askPeer(ctx)
	default:
		h.store(hosts)
	}
}

func (h *Hosts) store(hosts platform.Hosts) {
	h.last.Store(&hosts)
	h.closeOnce.Do(func() { close(h.first) })
}

// version returns the version of the last usable reading, or 0.
func (h *Hosts) version() int64 {
	if last := h.last.Load(); last != nil {
		return last.Version
	}
	return 0
}

// Since returns the last usable reading if it is newer than the version.
func (h *Hosts) Since(version int64) (platform.Hosts, bool) {
	last := h.last.Load()
	if last == nil || last.Version <= version {
		return platform.Hosts{}, false
	}
	return *last, true
}

// askPeer takes a newer reading from a peer, which may reach the platform or
// have read the list before.
func (h *Hosts) askPeer(ctx context.Context) {
	if h.peers == nil {
		return
	}
	held := h.version()
	hosts, from, ok := h.peers.FetchHosts(ctx, held)
	if !ok || hosts.Version <= held || len(hosts.Hosts) == 0 {
		return
	}
	h.store(hosts)
	h.recorder.Record(decision.Record{
		Part: decision.PartMember, Action: "take host list from peer", Rule: "newer version", Subjects: []string{from},
		Why: fmt.Sprintf("the platform gives no host list; %s has version %d, this host had %d", from, hosts.Version, held),
	})
}

// loneEntry reports whether the list is known and names no entry host but
// self.
func (h *Hosts) loneEntry(self string) bool {
	hosts := h.Hosts()
	for _, host := range hosts {
		if host.Role == platform.RoleEntry && host.Name != self {
			return false
		}
	}
	return len(hosts) > 0
}
