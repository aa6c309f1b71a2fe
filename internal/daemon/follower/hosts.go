package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

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
}

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
	case len(hosts.Hosts) == 0:
		h.logger.Warn("host list is empty, keeping the last reading")
	default:
		h.last.Store(&hosts)
		h.closeOnce.Do(func() { close(h.first) })
	}
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
