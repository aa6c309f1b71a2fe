package follower

import (
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// Site returns the hosts of the last usable reading for the checks of plans.
func (h *Hosts) Site() config.Site {
	var s config.Site
	for _, host := range h.Hosts() {
		switch host.Role {
		case platform.RoleBackend:
			s.Backends = append(s.Backends, config.Backend{
				Name: host.Name, Customer: host.Customer, Slots: host.Slots, Leaving: host.State == platform.HostLeaving,
			})
		case platform.RoleWorker:
			s.Workers = append(s.Workers, config.Worker{Name: host.Name, Cores: host.Cores})
		case platform.RoleEntry:
			s.Entries = append(s.Entries, host.Name)
		}
	}
	return s
}
