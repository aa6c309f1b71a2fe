package jobs

import (
	"github.com/parsleyhill/parsleyhill/internal/decide/jobs"
	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// currentHosts returns the workers and the names of the live entry hosts, this
// one first, from the host list.
func (s *Service) currentHosts() ([]jobs.WorkerInfo, []string) {
	state := s.deps.View.State()
	var workers []jobs.WorkerInfo
	entryHosts := []string{s.deps.Settings.Host}
	for _, h := range s.deps.Hosts.Hosts() {
		switch h.Role {
		case platform.RoleWorker:
			evacuated := ""
			if state.Evacuated(h.Zone) {
				evacuated = h.Zone
			}
			workers = append(workers, jobs.WorkerInfo{
				Name: h.Name, Address: h.Address, Rack: h.Rack,
				Capacity: placement.Size{Cores: h.Cores, MemoryMB: h.MemoryMB, Accelerators: h.Accelerators},
				Live:     h.State == platform.HostLive && !drained(state, h.Name), EvacuatedZone: evacuated,
			})
		case platform.RoleEntry:
			if h.State == platform.HostLive && h.Name != s.deps.Settings.Host {
				entryHosts = append(entryHosts, h.Name)
			}
		}
	}
	return workers, entryHosts
}

func drained(state *standing.State, name string) bool {
	if state == nil {
		return false
	}
	_, ok := state.Drains[name]
	return ok
}

// quotaShares returns this host's share of each team's quota of cores: an equal
// part for each entry host, rounded up.
func quotaShares(state *standing.State, entryHosts int) []jobs.Quota {
	if state == nil {
		return nil
	}
	var quotas []jobs.Quota
	for customer, rules := range state.Customers {
		for name, t := range rules.Teams {
			if t.Cores > 0 {
				quotas = append(quotas, jobs.Quota{Customer: customer, Team: name, Cores: (t.Cores + entryHosts - 1) / entryHosts})
			}
		}
	}
	return quotas
}
