package follower

import (
	"context"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// firstReadingWait bounds the wait for the first reading of the host list.
const firstReadingWait = 2 * time.Second

// Site returns the hosts of the last usable reading for the checks of plans.
// It waits a short time for the first one.
func (h *Hosts) ListedHosts(ctx context.Context) config.ListedHosts {
	select {
	case <-h.first:
	case <-ctx.Done():
	case <-time.After(firstReadingWait):
	}
	var s config.ListedHosts
	for _, host := range h.Hosts() {
		switch host.Role {
		case platform.RoleBackend:
			s.Backends = append(s.Backends, config.Backend{
				Name: host.Name, Customer: host.Customer, Slots: host.Slots, Leaving: host.State == platform.HostLeaving,
			})
		case platform.RoleWorker:
			s.Workers = append(s.Workers, config.Worker{Name: host.Name, Cores: host.Cores})
		case platform.RoleEntry:
			s.EntryHosts = append(s.EntryHosts, host.Name)
		}
	}
	return s
}
