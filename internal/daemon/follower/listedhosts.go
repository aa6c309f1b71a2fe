package follower

import (
	"context"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// firstListTimeout bounds the wait for the first usable host list.
const firstListTimeout = 2 * time.Second

// ListedHosts returns the hosts of the last usable list, for the validation of
// plans. If there is none yet, it waits up to firstListTimeout for the first.
func (h *Hosts) ListedHosts(ctx context.Context) config.ListedHosts {
	select {
	case <-h.firstList:
	case <-ctx.Done():
	case <-time.After(firstListTimeout):
	}
	return Listed(h.Hosts())
}

// Listed converts the platform's host list for the validation of plans.
func Listed(hosts []platform.Host) config.ListedHosts {
	var listed config.ListedHosts
	for _, host := range hosts {
		if !slices.Contains(listed.Zones, host.Zone) {
			listed.Zones = append(listed.Zones, host.Zone)
		}
		switch host.Role {
		case platform.RoleBackend:
			listed.Backends = append(listed.Backends, config.Backend{
				Name: host.Name, Customer: host.Customer, Zone: host.Zone, Slots: host.Slots, Leaving: host.State == platform.HostLeaving,
			})
		case platform.RoleWorker:
			listed.Workers = append(listed.Workers, config.Worker{Name: host.Name, Zone: host.Zone, Cores: host.Cores})
		case platform.RoleEntry:
			listed.EntryHosts = append(listed.EntryHosts, host.Name)
		}
	}
	slices.Sort(listed.Zones)
	return listed
}
