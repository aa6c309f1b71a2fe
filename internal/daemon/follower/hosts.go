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

// Hosts polls the host list. It keeps the last usable list, which is one with
// at least one host, and is safe for concurrent use.
type Hosts struct {
	list         platform.HostList
	logger       *log.Logger
	pollInterval time.Duration
	last         atomic.Pointer[platform.Hosts]
	// firstList is closed when the first usable list arrives.
	firstList chan struct{}
	closeOnce sync.Once

	// These are set by Attach before Run.
	peers    HostPeers
	recorder decision.Recorder
}

// HostPeers fetches the host list from other entry hosts.
type HostPeers interface {
	// FetchHosts fetches a host list newer than the version from one peer. It
	// returns the peer's address, and false if the peer has no newer list.
	FetchHosts(ctx context.Context, after int64) (hosts platform.Hosts, from string, ok bool)
}

// Attach sets the peers to fetch from while the platform provides no usable list,
// and the recorder of decisions. It must be called before Run.
func (h *Hosts) Attach(p HostPeers, r decision.Recorder) { h.peers, h.recorder = p, r }

// NewHosts returns a follower that reads the list every pollInterval.
func NewHosts(list platform.HostList, logger *log.Logger, pollInterval time.Duration) *Hosts {
	return &Hosts{list: list, logger: logger, pollInterval: pollInterval, firstList: make(chan struct{})}
}

// Hosts returns the hosts of the last usable list, or nil if there is none.
func (h *Hosts) Hosts() []platform.Host {
	if last := h.last.Load(); last != nil {
		return last.Hosts
	}
	return nil
}

// Run polls the list until ctx ends.
func (h *Hosts) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		h.readOnce(ctx)
		sleep(ctx, h.pollInterval)
	}
	return ctx.Err()
}

func (h *Hosts) readOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	hosts, err := h.list.Hosts(ctx)
	switch {
	case err != nil:
		h.logger.Warn("host list cannot be read; keeping the last one", "error", err)
		h.fetchFromPeer(ctx)
	case len(hosts.Hosts) == 0:
		h.logger.Warn("host list is empty; keeping the last one")
		h.fetchFromPeer(ctx)
	default:
		h.store(hosts)
	}
}

func (h *Hosts) store(hosts platform.Hosts) {
	h.last.Store(&hosts)
	h.closeOnce.Do(func() { close(h.firstList) })
}

// version returns the version of the last usable list, or 0.
func (h *Hosts) version() int64 {
	if last := h.last.Load(); last != nil {
		return last.Version
	}
	return 0
}

// Since returns the last usable list, and true if it is newer than the version.
func (h *Hosts) Since(version int64) (platform.Hosts, bool) {
	last := h.last.Load()
	if last == nil || last.Version <= version {
		return platform.Hosts{}, false
	}
	return *last, true
}

// fetchFromPeer fetches a newer list from a peer. The peer may still reach the
// platform, or may have read a newer list earlier.
func (h *Hosts) fetchFromPeer(ctx context.Context) {
	if h.peers == nil {
		return
	}
	current := h.version()
	hosts, from, ok := h.peers.FetchHosts(ctx, current)
	if !ok || hosts.Version <= current || len(hosts.Hosts) == 0 {
		return
	}
	h.store(hosts)
	h.recorder.Record(decision.Record{
		Part: decision.PartMember, Action: "take host list from peer", Rule: "newer version", Subjects: []string{from},
		Why: fmt.Sprintf("the platform provides no host list; %s has version %d, this host had %d", from, hosts.Version, current),
	})
}

// onlyEntryHost reports whether the list is known and names no entry host other
// than self.
func (h *Hosts) onlyEntryHost(self string) bool {
	hosts := h.Hosts()
	for _, host := range hosts {
		if host.Role == platform.RoleEntry && host.Name != self {
			return false
		}
	}
	return len(hosts) > 0
}
